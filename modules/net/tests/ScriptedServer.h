/// @file
/// A server on loopback for tests of HttpClient that sends the same bytes to every request.
#pragma once

#include "HttpClient.h"
#include "RunUntil.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastep::net {

/// Sends the same response to every request, keeps its connections open and counts them.
struct ScriptedServer
{
  ScriptedServer(asio::io_context& aContext, std::string aAnswer)
    : m_acceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_answer(std::move(aAnswer))
  {
    asio::co_spawn(aContext, Accept(), asio::detached);
  }

  Awaitable<void> Accept()
  {
    for (;;) {
      auto [error, socket] = co_await m_acceptor.async_accept(kAsTuple);
      if (error) {
        co_return;
      }
      ++m_connections;
      asio::co_spawn(m_acceptor.get_executor(), Serve(std::move(socket)), asio::detached);
    }
  }

  Awaitable<void> Serve(tcp::socket aSocket)
  {
    asio::streambuf buffer;
    for (;;) {
      const auto [error, size] =
        co_await asio::async_read_until(aSocket, buffer, "\r\n\r\n", kAsTuple);
      if (error) {
        co_return;
      }
      buffer.consume(size);
      co_await asio::async_write(aSocket, asio::buffer(m_answer), kAsTuple);
    }
  }

  tcp::acceptor m_acceptor;
  std::string m_answer;
  int m_connections = 0;
};

/// Sends two requests in sequence.
/// @return their results.
inline std::vector<HttpResult>
SendTwice(ScriptedServer& aServer,
          asio::io_context& aContext,
          const HttpClient::ResponseMatcher& aMatches = {})
{
  HttpClient client(aContext, { .m_endpoint = aServer.m_acceptor.local_endpoint() });
  std::vector<HttpResult> results;
  const auto send = [&]() -> Awaitable<void> {
    for (int i = 0; i < 2; ++i) {
      HttpRequest request(http::verb::get, "/", 11);
      request.set(http::field::host, "x");
      HttpResult result = co_await client.Send(std::move(request), 5000, aMatches);
      results.push_back(std::move(result));
    }
  };
  asio::co_spawn(aContext, send, asio::detached);
  RunUntil(aContext, [&] { return results.size() == 2; });
  return results;
}

} // namespace sequoiastep::net
