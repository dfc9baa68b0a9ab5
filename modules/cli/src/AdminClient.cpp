#include "AdminClient.h"

#include "Address.h"
#include "AsioTypes.h"
#include "HttpClient.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <fmt/core.h>

namespace sequoiastep::cli {

namespace http = net::http;

namespace {

// Longer than the 60 s for which a node may hold a publish request.
constexpr std::int64_t kResponseTimeoutMs = 65'000;

net::Awaitable<void>
Exchange(net::HttpClient& aClient, net::HttpRequest aRequest, net::HttpResult& aResult)
{
  aResult = co_await aClient.Send(std::move(aRequest), kResponseTimeoutMs);
}

} // namespace

Result<AdminResponse>
SendAdminRequest(const AdminRequest& aRequest)
{
  BOOST_LEAF_AUTO(endpoint, net::ParseAddress(aRequest.m_address));
  net::asio::io_context context(1);
  net::HttpClient client(context, { .m_endpoint = endpoint });
  net::HttpRequest request(
    aRequest.m_post ? http::verb::post : http::verb::get, aRequest.m_target, 11);
  request.set(http::field::host, aRequest.m_address);
  request.set(http::field::connection, "close");
  if (!aRequest.m_token.empty()) {
    request.set(http::field::authorization, "Bearer " + aRequest.m_token);
  }
  request.body() = aRequest.m_body;
  request.prepare_payload();
  net::HttpResult result;
  net::asio::co_spawn(context, Exchange(client, std::move(request), result), net::asio::detached);
  context.run();
  if (!result.m_response) {
    return Fail(
      ErrorKind::Unreachable,
      fmt::format("no response from {} ({}); check the address and that the node is running",
                  aRequest.m_address,
                  result.m_reason));
  }
  return AdminResponse{ .m_status = result.m_response->result_int(),
                        .m_body = result.m_response->body() };
}

} // namespace sequoiastep::cli
