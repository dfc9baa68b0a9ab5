#include "ResponseStatus.h"

#include <boost/beast/http/status.hpp>

namespace sequoiastep::net {

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t kMinStatus = 100;
constexpr std::uint32_t kMaxStatus = 599;

// As long as the library's table of codes.
bool
IsInterimStatus(std::uint32_t aStatus)
{
  const http::status status = http::int_to_status(aStatus);
  return http::to_status_class(status) == http::status_class::informational &&
         status != http::status::switching_protocols;
}

} // namespace

ResponseKind
KindOfResponse(std::uint32_t aStatus)
{
  if (aStatus < kMinStatus || aStatus > kMaxStatus) {
    return ResponseKind::Invalid;
  }
  return IsInterimStatus(aStatus) ? ResponseKind::Interim : ResponseKind::Final;
}

} // namespace sequoiastep::net
