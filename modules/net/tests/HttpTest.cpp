// The HTTP server and client over loopback: pipelining, and which connections are used again.
#include "HttpClient.h"
#include "HttpServer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <map>
#include <vector>

using namespace sequoiastep;
using namespace sequoiastep::net;

namespace {

HttpResponse
BadBody(http::status aStatus, const std::string& aReason)
{
  return MakeResponse(aStatus, "text/plain", aReason);
}

// Requests wait until the test answers them by path.
struct HeldServer
{
  explicit HeldServer(asio::io_context& aContext)
    : m_context(aContext)
    , m_server(
        aContext,
        {},
        [this](HttpRequest aRequest) { return Hold(std::move(aRequest)); },
        BadBody)
  {
    m_server.SetOverlap(
      [](const HttpRequest& aRequest) { return aRequest.method() == http::verb::get; });
    m_endpoint = Handle(
      [&] {
        return m_server.Listen({ asio::ip::make_address("127.0.0.1"), 0 });
      },
      [](const Error&) { return tcp::endpoint(); });
  }

  Awaitable<HttpResponse> Hold(HttpRequest aRequest)
  {
    const std::string path(aRequest.target());
    m_started.push_back(path);
    asio::steady_timer& timer =
      m_held.try_emplace(path, m_context, std::chrono::steady_clock::time_point::max())
        .first->second;
    co_await timer.async_wait(kAsTuple);
    m_ended.push_back(path);
    co_return MakeResponse(http::status::ok, "text/plain", path);
  }

  void Answer(const std::string& aPath) { m_held.at(aPath).cancel(); }

  asio::io_context& m_context;
  HttpServer m_server;
  tcp::endpoint m_endpoint;
  std::vector<std::string> m_started;
  std::vector<std::string> m_ended;
  std::map<std::string, asio::steady_timer> m_held;
};

// Runs what is ready until aDone holds; gives up after many turns.
template<typename Done>
bool
RunUntil(asio::io_context& aContext, Done aDone)
{
  for (int turn = 0; turn < 20'000; ++turn) {
    if (aDone()) {
      return true;
    }
    aContext.restart();
    aContext.run_one_for(std::chrono::milliseconds(1));
  }
  return false;
}

std::string
Received(asio::io_context& aContext, tcp::socket& aSocket, const std::string& aUntil)
{
  std::string text;
  aSocket.non_blocking(true);
  RunUntil(aContext, [&] {
    char bytes[1024];
    error_code error;
    const std::size_t size = aSocket.read_some(asio::buffer(bytes), error);
    text.append(bytes, size);
    return text.find(aUntil) != std::string::npos || (error && error != asio::error::would_block);
  });
  return text;
}

// A server that sends a given answer to whatever comes, and counts its connections.
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

// Sends two requests one after the other.
std::vector<HttpResult>
SendTwice(ScriptedServer& aServer,
          asio::io_context& aContext,
          const HttpClient::Belongs& aBelongs = {})
{
  HttpClient client(aContext, { .m_endpoint = aServer.m_acceptor.local_endpoint() });
  std::vector<HttpResult> results;
  const auto send = [&]() -> Awaitable<void> {
    for (int i = 0; i < 2; ++i) {
      HttpRequest request(http::verb::get, "/", 11);
      request.set(http::field::host, "x");
      HttpResult result = co_await client.Send(std::move(request), 5000, aBelongs);
      results.push_back(std::move(result));
    }
  };
  asio::co_spawn(aContext, send, asio::detached);
  RunUntil(aContext, [&] { return results.size() == 2; });
  return results;
}

constexpr const char* kWhole = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("pipelined requests run side by side and are answered in their order")
{
  asio::io_context context(1);
  HeldServer server(context);
  tcp::socket client(context);
  client.connect(server.m_endpoint);
  asio::write(client,
              asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
                                       "GET /b HTTP/1.1\r\nHost: x\r\n\r\n")));
  REQUIRE(RunUntil(context, [&] { return server.m_started.size() == 2; }));
  server.Answer("/b");
  REQUIRE(RunUntil(context, [&] { return server.m_ended.size() == 1; }));
  server.Answer("/a");
  const std::string text = Received(context, client, "/b");
  CHECK(text.find("\r\n\r\n/a") < text.find("\r\n\r\n/b"));
}

TEST_CASE("a request that may not overlap starts only once those before it were answered")
{
  asio::io_context context(1);
  HeldServer server(context);
  tcp::socket client(context);
  client.connect(server.m_endpoint);
  asio::write(
    client,
    asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
                             "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")));
  REQUIRE(RunUntil(context, [&] { return server.m_started.size() == 1; }));
  for (int turn = 0; turn < 50; ++turn) {
    context.restart();
    context.run_one_for(std::chrono::milliseconds(1));
  }
  CHECK(server.m_started.size() == 1);
  server.Answer("/a");
  REQUIRE(RunUntil(context, [&] { return server.m_started.size() == 2; }));
  server.Answer("/b");
  CHECK(Received(context, client, "/b").find("\r\n\r\n/b") != std::string::npos);
}

TEST_CASE("a client that leaves ends its requests, also behind pipelined ones")
{
  asio::io_context context(1);
  HeldServer server(context);
  {
    tcp::socket client(context);
    client.connect(server.m_endpoint);
    asio::write(client,
                asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
                                         "GET /b HTTP/1.1\r\nHost: x\r\n\r\n")));
    REQUIRE(RunUntil(context, [&] { return server.m_started.size() == 2; }));
  }
  CHECK(RunUntil(context, [&] { return server.m_ended.size() == 2; }));
  CHECK(RunUntil(context, [&] { return server.m_server.Connections() == 0; }));
}

TEST_CASE("a client that leaves ends its request, also if it said that the connection closes")
{
  asio::io_context context(1);
  HeldServer server(context);
  {
    tcp::socket client(context);
    client.connect(server.m_endpoint);
    const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    asio::write(client, asio::buffer(request));
    REQUIRE(RunUntil(context, [&] { return server.m_started.size() == 1; }));
  }
  CHECK(RunUntil(context, [&] { return server.m_ended.size() == 1; }));
  CHECK(RunUntil(context, [&] { return server.m_server.Connections() == 0; }));
}

TEST_CASE("while connections end, a request that was read is answered and told to close")
{
  asio::io_context context(1);
  HeldServer server(context);
  tcp::socket client(context);
  client.connect(server.m_endpoint);
  asio::write(client, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")));
  REQUIRE(RunUntil(context, [&] { return server.m_started.size() == 1; }));
  server.m_server.EndConnections();
  server.Answer("/a");
  const std::string text = Received(context, client, "\r\n\r\n/a");
  CHECK(text.find("Connection: close") != std::string::npos);
  CHECK(text.find("\r\n\r\n/a") != std::string::npos);
}

TEST_CASE("while connections end, a client that never stops pipelining can't keep its connection")
{
  asio::io_context context;
  HeldServer server(context);
  tcp::socket client(context);
  client.connect(server.m_endpoint);
  asio::write(client, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
  REQUIRE(RunUntil(context, [&] { return server.m_started.size() == 1; }));
  server.m_server.EndConnections();
  asio::write(client, asio::buffer(std::string("GET /b HTTP/1.1\r\nHost: h\r\n\r\n")));
  // Long enough for the second request to be read.
  RunUntil(context, [turns = 0]() mutable { return ++turns > 50; });
  server.Answer("/a");
  const std::string text = Received(context, client, "/a");
  CHECK(text.find("Connection: close") != std::string::npos);
  // What comes behind the response that closes was not taken: the client sends it again.
  CHECK(server.m_started == std::vector<std::string>{ "/a" });
}

TEST_CASE("a connection is used again after a whole answer of the request's own")
{
  asio::io_context context(1);
  ScriptedServer server(context, kWhole);
  const auto results = SendTwice(server, context);
  REQUIRE(results.size() == 2);
  CHECK(results[1].m_response->body() == "ok");
  CHECK(results[1].m_reused);
  CHECK(server.m_connections == 1);
}

TEST_CASE("a connection with bytes behind the answer is not used again")
{
  asio::io_context context(1);
  ScriptedServer server(context, std::string(kWhole) + kWhole);
  const auto results = SendTwice(server, context);
  REQUIRE(results.size() == 2);
  CHECK(results[0].m_response->body() == "ok");
  CHECK(server.m_connections == 2);
}

TEST_CASE("an answer that is not the request's own is no answer, and its connection is closed")
{
  asio::io_context context(1);
  ScriptedServer server(context, kWhole);
  const auto results = SendTwice(
    server, context, [](const HttpResponse& aResponse) { return aResponse["X-Id"] == "b"; });
  REQUIRE(results.size() == 2);
  CHECK_FALSE(results[0].m_response);
  CHECK(results[0].m_failure == HttpFailure::BadResponse);
  CHECK(server.m_connections == 2);
}

TEST_CASE("an interim response is passed over")
{
  asio::io_context context(1);
  ScriptedServer server(context, std::string("HTTP/1.1 100 Continue\r\n\r\n") + kWhole);
  const auto results = SendTwice(server, context);
  REQUIRE(results.size() == 2);
  CHECK(results[0].m_response->result() == http::status::ok);
  CHECK(results[1].m_reused);
}

TEST_CASE("bytes that are no answer are told as such")
{
  asio::io_context context(1);
  ScriptedServer server(context, "\x01\x02 nothing\r\n\r\n");
  const auto results = SendTwice(server, context);
  REQUIRE(results.size() == 2);
  CHECK_FALSE(results[0].m_response);
  CHECK(results[0].m_failure != HttpFailure::NotSent);
}
