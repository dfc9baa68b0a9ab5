#include "Headers.h"

#include "Names.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace sequoiastep::node {

namespace {

constexpr std::array<std::string_view, 20> kHopByHopHeaders{
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
  "expect",
  "traceparent",
  "sequoiastep-timeout-ms",
  "sequoiastep-version",
  "sequoiastep-outcome",
  adapter::kDeadlineMs,
  adapter::kExpectedTarget,
  adapter::kCallerService,
  adapter::kWorkspaceKey,
  adapter::kWorkspace,
};

} // namespace

bool
IsHopByHopHeader(std::string_view aName)
{
  return std::any_of(
    kHopByHopHeaders.begin(), kHopByHopHeaders.end(), [&](std::string_view aHopByHop) {
      return boost::beast::iequals(aHopByHop, aName);
    });
}

HeaderList
EndToEndHeaders(const net::http::fields& aFields)
{
  // The sender may list further hop-by-hop headers in its Connection header.
  net::http::token_list connectionTokens(aFields[net::http::field::connection]);
  HeaderList headers;
  for (const auto& field : aFields) {
    if (IsHopByHopHeader(field.name_string()) || connectionTokens.exists(field.name_string())) {
      continue;
    }
    auto header = std::make_unique<wire::HeaderT>();
    header->name = field.name_string();
    header->value = field.value();
    headers.push_back(std::move(header));
  }
  return headers;
}

net::HttpRequest
RequestFrom(const wire::CallT& aCall)
{
  net::HttpRequest request;
  request.version(11);
  request.method_string(aCall.method);
  request.target(aCall.target);
  for (const auto& header : aCall.headers) {
    request.insert(header->name, header->value);
  }
  request.body().assign(aCall.body.begin(), aCall.body.end());
  return request;
}

net::HttpResponse
ResponseFrom(const wire::AnswerT& aAnswer)
{
  net::HttpResponse response;
  response.version(11);
  response.result(aAnswer.status);
  for (const auto& header : aAnswer.headers) {
    response.insert(header->name, header->value);
  }
  response.body().assign(aAnswer.body.begin(), aAnswer.body.end());
  response.prepare_payload();
  return response;
}

} // namespace sequoiastep::node
