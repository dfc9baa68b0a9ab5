// The HTTP server and client over loopback: pipelining, draining and reuse of connections.
#include "HttpServer.h"
#include "ScriptedServer.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <map>
#include <vector>

using namespace sequoiastep;
using namespace sequoiastep::net;

namespace {

HttpResponse
ErrorResponse(http::status aStatus, const std::string& aReason)
{
  return MakeResponse(aStatus, "text/plain", aReason);
}

// A server whose requests wait until the test answers them by path.
struct HeldServer
{
  explicit HeldServer(asio::io_context& aContext, HttpLimits aLimits = {})
    : m_context(aContext)
    , m_server(
        aContext,
        aLimits,
        [this](HttpRequest aRequest) { return Hold(std::move(aRequest)); },
        ErrorResponse)
  {
    m_server.SetOverlapFilter(
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

std::string
ReceiveUntil(asio::io_context& aContext, tcp::socket& aSocket, const std::string& aDelimiter)
{
  std::string text;
  aSocket.non_blocking(true);
  RunUntil(aContext, [&] {
    char bytes[1024];
    error_code error;
    const std::size_t size = aSocket.read_some(asio::buffer(bytes), error);
    text.append(bytes, size);
    return text.find(aDelimiter) != std::string::npos ||
           (error && error != asio::error::would_block);
  });
  return text;
}

constexpr const char* kCompleteResponse =
  "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("pipelined requests run concurrently and are answered in order of arrival")
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
  const std::string text = ReceiveUntil(context, client, "/b");
  CHECK(text.find("\r\n\r\n/a") < text.find("\r\n\r\n/b"));
}

TEST_CASE("a request that may not overlap starts only after those before it were answered")
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
  for (int iteration = 0; iteration < 50; ++iteration) {
    context.restart();
    context.run_one_for(std::chrono::milliseconds(1));
  }
  CHECK(server.m_started.size() == 1);
  server.Answer("/a");
  REQUIRE(RunUntil(context, [&] { return server.m_started.size() == 2; }));
  server.Answer("/b");
  CHECK(ReceiveUntil(context, client, "/b").find("\r\n\r\n/b") != std::string::npos);
}

TEST_CASE("a client that disconnects cancels all its pipelined requests")
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
  CHECK(RunUntil(context, [&] { return server.m_server.ConnectionCount() == 0; }));
}

TEST_CASE("a client that disconnects cancels its request, also after Connection: close")
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
  CHECK(RunUntil(context, [&] { return server.m_server.ConnectionCount() == 0; }));
}

TEST_CASE("while connections drain, a request already read is answered with Connection: close")
{
  asio::io_context context(1);
  HeldServer server(context);
  tcp::socket client(context);
  client.connect(server.m_endpoint);
  asio::write(client, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")));
  REQUIRE(RunUntil(context, [&] { return server.m_started.size() == 1; }));
  server.m_server.DrainConnections();
  server.Answer("/a");
  const std::string text = ReceiveUntil(context, client, "\r\n\r\n/a");
  CHECK(text.find("Connection: close") != std::string::npos);
  CHECK(text.find("\r\n\r\n/a") != std::string::npos);
}

TEST_CASE("while connections drain, a client that keeps pipelining can't keep its connection")
{
  asio::io_context context;
  HeldServer server(context);
  tcp::socket client(context);
  client.connect(server.m_endpoint);
  asio::write(client, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
  REQUIRE(RunUntil(context, [&] { return server.m_started.size() == 1; }));
  server.m_server.DrainConnections();
  asio::write(client, asio::buffer(std::string("GET /b HTTP/1.1\r\nHost: h\r\n\r\n")));
  // Enough iterations for the second request to be read.
  RunUntil(context, [iterations = 0]() mutable { return ++iterations > 50; });
  server.Answer("/a");
  const std::string text = ReceiveUntil(context, client, "/a");
  CHECK(text.find("Connection: close") != std::string::npos);
  // The request behind the closing response was not run: the client resends it.
  CHECK(server.m_started == std::vector<std::string>{ "/a" });
}

// Guards against a stop that cuts responses which are still being written.
TEST_CASE("a response is owed to its client until the client has received all of it")
{
  constexpr std::size_t kBytes = 16U << 20; // Far more than the kernel buffers.
  asio::io_context context;
  HttpServer server(
    context,
    {},
    [](const HttpRequest&) -> Awaitable<HttpResponse> {
      co_return MakeResponse(http::status::ok, "text/plain", std::string(kBytes, 'x'));
    },
    ErrorResponse);
  const auto endpoint = Handle(
    [&] {
      return server.Listen({ asio::ip::make_address("127.0.0.1"), 0 });
    },
    [](const Error&) { return tcp::endpoint(); });
  tcp::socket client(context, tcp::v4());
  client.set_option(asio::socket_base::receive_buffer_size(1 << 19));
  client.connect(endpoint);
  RunUntil(
    context, [&] { return server.ConnectionCount() == 1; }, 100);
  CHECK(server.OwedConnections() == 0);
  SUBCASE("half a request is owed its rest")
  {
    asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\nHo")));
    CHECK(RunUntil(
      context, [&] { return server.OwedConnections() == 1; }, 1000));
    server.StopAccepting();
    asio::write(client, asio::buffer(std::string("st: x\r\n\r\n")));
  }
  SUBCASE("a whole request")
  {
    asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    RunUntil(
      context, [&] { return false; }, 50);
    server.StopAccepting();
  }
  RunUntil(
    context, [] { return false; }, 50);
  CHECK(server.OwedConnections() == 1);
  client.non_blocking(true);
  std::size_t received = 0;
  std::vector<char> bytes(1U << 16);
  const bool complete = RunUntil(
    context,
    [&] {
      error_code error;
      received += client.read_some(asio::buffer(bytes), error);
      return error == asio::error::eof;
    },
    100'000);
  CHECK(complete);
  CHECK(received > kBytes);
  CHECK(server.OwedConnections() == 1);
  client.close();
  CHECK(RunUntil(context, [&] { return server.OwedConnections() == 0; }));
}

// Guards against stops that wait for clients to close connections on which nothing is due.
TEST_CASE("an idle connection that the server closes is owed nothing")
{
  asio::io_context context;
  HeldServer held(context);
  tcp::socket client(context);
  client.connect(held.m_endpoint);
  asio::write(client, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")));
  REQUIRE(RunUntil(context, [&] { return held.m_started.size() == 1; }));
  held.Answer("/a");
  ReceiveUntil(context, client, "\r\n\r\n/a");
  held.m_server.StopAccepting();
  RunUntil(
    context, [] { return false; }, 20);
  CHECK(held.m_server.ConnectionCount() == 1);
  CHECK(held.m_server.OwedConnections() == 0);
}

TEST_CASE("a connection is reused after a complete response that belongs to its request")
{
  asio::io_context context(1);
  ScriptedServer server(context, kCompleteResponse);
  const auto results = SendTwice(server, context);
  REQUIRE(results.size() == 2);
  CHECK(results[1].m_response->body() == "ok");
  CHECK(results[1].m_reused);
  CHECK(server.m_connections == 1);
}

TEST_CASE("a connection with bytes after the response is not reused")
{
  asio::io_context context(1);
  ScriptedServer server(context, std::string(kCompleteResponse) + kCompleteResponse);
  const auto results = SendTwice(server, context);
  REQUIRE(results.size() == 2);
  CHECK(results[0].m_response->body() == "ok");
  CHECK(server.m_connections == 2);
}

TEST_CASE("a response that belongs to another request is rejected and its connection closed")
{
  asio::io_context context(1);
  ScriptedServer server(context, kCompleteResponse);
  const auto results = SendTwice(
    server, context, [](const HttpResponse& aResponse) { return aResponse["X-Id"] == "b"; });
  REQUIRE(results.size() == 2);
  CHECK_FALSE(results[0].m_response);
  CHECK(results[0].m_failure == HttpFailure::BadResponse);
  CHECK(server.m_connections == 2);
}

TEST_CASE("an interim response is skipped")
{
  asio::io_context context(1);
  ScriptedServer server(context, std::string("HTTP/1.1 100 Continue\r\n\r\n") + kCompleteResponse);
  const auto results = SendTwice(server, context);
  REQUIRE(results.size() == 2);
  CHECK(results[0].m_response->result() == http::status::ok);
  CHECK(results[1].m_reused);
}

TEST_CASE("bytes that are not an HTTP response fail the request")
{
  asio::io_context context(1);
  ScriptedServer server(context, "\x01\x02 nothing\r\n\r\n");
  const auto results = SendTwice(server, context);
  REQUIRE(results.size() == 2);
  CHECK_FALSE(results[0].m_response);
  CHECK(results[0].m_failure != HttpFailure::NotSent);
}

namespace {

constexpr std::size_t kMegabyte = 1U << 20;
// For some hundred megabytes in pieces of a kilobyte.
constexpr int kFloodIterations = 400'000;

// A server that sends a prefix and then the same bytes again and again, until the client closes.
struct EndlessServer
{
  EndlessServer(asio::io_context& aContext, std::string aPrefix, const std::string& aRepeated)
    : m_acceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_prefix(std::move(aPrefix))
  {
    while (m_repeated.size() < kMegabyte / 16) {
      m_repeated += aRepeated;
    }
    asio::co_spawn(aContext, Accept(aContext), asio::detached);
  }

  Awaitable<void> Accept(asio::io_context& aContext)
  {
    for (;;) {
      auto [error, socket] = co_await m_acceptor.async_accept(kAsTuple);
      if (error) {
        co_return;
      }
      ++m_open;
      asio::co_spawn(aContext, Flood(std::move(socket)), asio::detached);
    }
  }

  Awaitable<void> Flood(tcp::socket aSocket)
  {
    std::string bytes = m_prefix;
    for (;;) {
      const auto [error, size] = co_await asio::async_write(aSocket, asio::buffer(bytes), kAsTuple);
      m_sent += size;
      if (error) {
        --m_open;
        co_return;
      }
      bytes = m_repeated;
    }
  }

  tcp::acceptor m_acceptor;
  std::string m_prefix;
  std::string m_repeated;
  std::size_t m_sent = 0;
  int m_open = 0;
};

// Sends requests to a server that floods, all at once, and returns how many bytes it could send.
std::size_t
BytesTaken(const std::string& aPrefix, const std::string& aRepeated, int aRequests)
{
  CAPTURE(aPrefix);
  asio::io_context context(1);
  EndlessServer server(context, aPrefix, aRepeated);
  HttpClient client(context, { .m_endpoint = server.m_acceptor.local_endpoint() });
  int ended = 0;
  for (int i = 0; i < aRequests; ++i) {
    asio::co_spawn(
      context,
      [&]() -> Awaitable<void> {
        HttpRequest request(http::verb::get, "/", 11);
        request.set(http::field::host, "h");
        const HttpResult result = co_await client.Send(std::move(request), 30'000);
        CHECK_FALSE(result.m_response);
        CHECK(result.m_failure == HttpFailure::BadResponse);
        ++ended;
      },
      asio::detached);
  }
  CHECK(RunUntil(
    context, [&] { return ended == aRequests && server.m_open == 0; }, kFloodIterations));
  return server.m_sent;
}

} // namespace

TEST_CASE("bytes of a server without end are cut off with bounded memory, wherever they come")
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  // What the kernel buffers between the two ends is not held by the process.
  constexpr std::size_t kInKernel = 8 * kMegabyte;
  constexpr std::size_t kSmall = kMegabyte + kInKernel;
  CHECK(BytesTaken("", "x", 1) < kSmall);
  CHECK(BytesTaken(ok, "x-more: yes\r\n", 1) < kSmall);
  CHECK(BytesTaken(ok + "x-long: ", "x", 1) < kSmall);
  CHECK(BytesTaken("", "HTTP/1.1 100 Continue\r\n\r\n", 1) < kSmall);
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  CHECK(BytesTaken(chunked, "x", 1) < kSmall);
  CHECK(BytesTaken(chunked + "5;name=", "x", 1) < kSmall);
  CHECK(BytesTaken(chunked + "0\r\n", "x-more: yes\r\n", 1) < kSmall);
  constexpr std::size_t kBody = 9 * kMegabyte + kInKernel;
  CHECK(BytesTaken(chunked, "1000\r\n" + std::string(4096, 'x') + "\r\n", 1) < kBody);
  // Half of these bytes is framing, which is not kept.
  CHECK(BytesTaken(chunked, "5\r\nhello\r\n", 1) < 2 * kBody);
  CHECK(BytesTaken(ok + "\r\n", "x", 1) < kBody);
  CHECK(BytesTaken(ok + "Content-Length: 99999999999\r\n\r\n", "x", 1) < kSmall);
}

TEST_CASE("many endless bodies at once share one bound")
{
  constexpr int kRequests = 12;
  constexpr std::size_t kInKernel = 8 * kMegabyte;
  CHECK(BytesTaken("HTTP/1.1 200 OK\r\n\r\n", "x", kRequests) <
        17 * kMegabyte + kRequests * kInKernel);
}

TEST_CASE("a connect that the sender cancels is not taken for a server that refuses connections")
{
  asio::io_context context;
  // A server that accepts nothing: once its queue is full, further connects get no answer.
  tcp::acceptor acceptor(context);
  acceptor.open(tcp::v4());
  acceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
  acceptor.listen(0);
  std::vector<tcp::socket> queued;
  for (int i = 0; i < 4; ++i) {
    queued.emplace_back(context).async_connect(acceptor.local_endpoint(), [](error_code) {});
  }
  RunUntil(
    context, [] { return false; }, 50);
  HttpClient client(context, { .m_endpoint = acceptor.local_endpoint() });
  asio::cancellation_signal cancel;
  std::optional<HttpResult> result;
  asio::co_spawn(context,
                 client.Send(HttpRequest(http::verb::get, "/", 11), 5000),
                 asio::bind_cancellation_slot(
                   cancel.slot(), [&](const std::exception_ptr& aFailure, HttpResult aResult) {
                     CHECK_FALSE(aFailure);
                     result = std::move(aResult);
                   }));
  RunUntil(
    context, [&] { return result.has_value(); }, 50);
  REQUIRE_FALSE(result);
  cancel.emit(asio::cancellation_type::terminal);
  REQUIRE(RunUntil(context, [&] { return result.has_value(); }));
  CHECK(result->m_failure == HttpFailure::Cancelled);
}

TEST_CASE("large bodies beyond the budget are refused at once, and small ones still pass")
{
  asio::io_context context;
  HeldServer held(context, { .m_maxBufferedBytes = 100'000 });
  HttpClient client(context, { .m_endpoint = held.m_endpoint });
  std::map<std::string, http::status> answers;
  const auto post = [&](const std::string& aPath, std::size_t aBytes) {
    HttpRequest request(http::verb::post, aPath, 11);
    request.body().assign(aBytes, 'b');
    request.prepare_payload();
    asio::co_spawn(context,
                   client.Send(std::move(request), 5000),
                   [&answers, aPath](const std::exception_ptr&, HttpResult aResult) {
                     answers[aPath] =
                       aResult.m_response ? aResult.m_response->result() : http::status::unknown;
                   });
  };
  const auto started = [&](std::size_t aCount) {
    return RunUntil(context, [&] { return held.m_started.size() == aCount; });
  };
  // A client that stalls in the middle of its body holds what it announced.
  tcp::socket stalled(context);
  stalled.connect(held.m_endpoint);
  asio::write(stalled,
              asio::buffer(std::string("POST /s HTTP/1.1\r\nHost: x\r\n"
                                       "Content-Length: 40000\r\n\r\nbbb")));
  post("/large", 60'000);
  REQUIRE(started(1));
  post("/second", 60'000);
  REQUIRE(RunUntil(context, [&] { return answers.contains("/second"); }));
  CHECK(answers["/second"] == http::status::service_unavailable);
  post("/small", 10'000);
  REQUIRE(started(2));
  held.Answer("/small");
  held.Answer("/large");
  REQUIRE(RunUntil(context, [&] { return answers.size() == 3; }));
  CHECK(answers["/large"] == http::status::ok);
  CHECK(answers["/small"] == http::status::ok);
  post("/third", 60'000);
  REQUIRE(started(3));
  CHECK(held.m_started.back() == "/third");
}
