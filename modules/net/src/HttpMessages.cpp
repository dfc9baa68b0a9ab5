#include "HttpServer.h"

#include <algorithm>

namespace sequoiastep::net {

HttpResponse
MakeResponse(http::status aStatus, std::string_view aContentType, std::string aBody)
{
  HttpResponse response(aStatus, 11);
  response.set(http::field::content_type, aContentType);
  response.body() = std::move(aBody);
  response.prepare_payload();
  return response;
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string
QueryValue(std::string_view aTarget, std::string_view aKey, std::string_view aDefault)
{
  const std::size_t question = aTarget.find('?');
  std::string_view query =
    question == std::string_view::npos ? std::string_view() : aTarget.substr(question + 1);
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aKey) {
      return std::string(pair.substr(equals + 1));
    }
  }
  return std::string(aDefault);
}

} // namespace sequoiastep::net
