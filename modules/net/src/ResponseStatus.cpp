#include "ResponseStatus.h"

namespace sequoiastep::net {

namespace {

constexpr std::uint32_t kMinStatus = 100;
constexpr std::uint32_t kMaxStatus = 599;
constexpr std::uint32_t kMinFinalStatus = 200;
// Ends the use of HTTP on the connection. No request asks for another protocol.
constexpr std::uint32_t kSwitchingProtocols = 101;

} // namespace

ResponseKind
KindOfResponse(std::uint32_t aStatus)
{
  if (aStatus < kMinStatus || aStatus > kMaxStatus || aStatus == kSwitchingProtocols) {
    return ResponseKind::Invalid;
  }
  return aStatus < kMinFinalStatus ? ResponseKind::Interim : ResponseKind::Final;
}

} // namespace sequoiastep::net
