#include "ResponseStatus.h"

namespace sequoiastep::net {

namespace {

constexpr std::uint32_t kMinStatus = 100;
constexpr std::uint32_t kMaxStatus = 599;
constexpr std::uint32_t kMinFinalStatus = 200;
// Ends the use of HTTP on the connection. No request asks for another protocol.
constexpr std::uint32_t kSwitchingProtocols = 101;
constexpr std::uint32_t kNoContent = 204;
constexpr std::uint32_t kNotModified = 304;

} // namespace

ResponseKind
KindOfResponse(std::uint32_t aStatus)
{
  if (aStatus < kMinStatus || aStatus > kMaxStatus || aStatus == kSwitchingProtocols) {
    return ResponseKind::Invalid;
  }
  return aStatus < kMinFinalStatus ? ResponseKind::Interim : ResponseKind::Final;
}

bool
IsFinalResponse(std::uint32_t aStatus, std::size_t aBodyBytes)
{
  const bool mayHaveBody = aStatus != kNoContent && aStatus != kNotModified;
  return KindOfResponse(aStatus) == ResponseKind::Final && (mayHaveBody || aBodyBytes == 0);
}

} // namespace sequoiastep::net
