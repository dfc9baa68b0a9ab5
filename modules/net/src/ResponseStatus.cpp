#include "ResponseStatus.h"

namespace sequoiastep::net {

namespace {

constexpr std::uint32_t kMinStatus = 100;
constexpr std::uint32_t kMaxStatus = 599;
constexpr std::uint32_t kMinFinalStatus = 200;
constexpr std::uint32_t kSwitchingProtocols = 101;

} // namespace

ResponseKind
KindOfResponse(std::uint32_t aStatus)
{
  if (aStatus < kMinStatus || aStatus > kMaxStatus) {
    return ResponseKind::Invalid;
  }
  if (aStatus < kMinFinalStatus && aStatus != kSwitchingProtocols) {
    return ResponseKind::Interim;
  }
  return ResponseKind::Final;
}

} // namespace sequoiastep::net
