#include "SocketOptions.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sequoiastep::net {

namespace {

constexpr int kProbes = 2;
constexpr std::int64_t kSecondMs = 1000;

} // namespace

void
SetSendTimeout(tcp::socket& aSocket, std::int64_t aSilenceMs)
{
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  error_code ignored;
  aSocket.set_option(UserTimeout(static_cast<int>(aSilenceMs)), ignored);
}

void
SetLiveness(tcp::socket& aSocket, std::int64_t aSilenceMs)
{
  using ProbeAfter = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using ProbeEvery = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using ProbeCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  const auto probeSeconds =
    static_cast<int>(std::max<std::int64_t>(1, aSilenceMs / kSecondMs / (kProbes + 1)));
  error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(ProbeAfter(probeSeconds), ignored);
  aSocket.set_option(ProbeEvery(probeSeconds), ignored);
  aSocket.set_option(ProbeCount(kProbes), ignored);
  SetSendTimeout(aSocket, aSilenceMs);
}

} // namespace sequoiastep::net
