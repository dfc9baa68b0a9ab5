#include "SocketOptions.h"

#include <algorithm>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace sequoiastep::net {

namespace {

constexpr int kProbeCount = 2;
constexpr std::int64_t kSecondMs = 1000;

} // namespace

void
SetUserTimeout(tcp::socket& aSocket, std::int64_t aTimeoutMs)
{
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  error_code ignored;
  aSocket.set_option(UserTimeout(static_cast<int>(aTimeoutMs)), ignored);
}

void
EnableDeadPeerDetection(tcp::socket& aSocket, std::int64_t aTimeoutMs)
{
  using ProbeIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using ProbeInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using ProbeCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  const auto probeSeconds =
    static_cast<int>(std::max<std::int64_t>(1, aTimeoutMs / kSecondMs / (kProbeCount + 1)));
  error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(ProbeIdle(probeSeconds), ignored);
  aSocket.set_option(ProbeInterval(probeSeconds), ignored);
  aSocket.set_option(ProbeCount(kProbeCount), ignored);
  SetUserTimeout(aSocket, aTimeoutMs);
}

std::size_t
UnacknowledgedBytes(tcp::socket& aSocket)
{
  int bytes = 0;
  const bool known = aSocket.is_open() && ::ioctl(aSocket.native_handle(), SIOCOUTQ, &bytes) == 0;
  return known && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace sequoiastep::net
