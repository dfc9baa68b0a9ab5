// Connections that end while HttpClient still writes its request: whether the response is whole.
#include "Clock.h"
#include "HttpClient.h"
#include "RunUntil.h"

#include <array>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <utility>

using namespace sequoiastep;
using namespace sequoiastep::net;

namespace {

// More than the buffers of both sockets take.
constexpr std::size_t kLongUpload = 6U << 20;
constexpr Milliseconds kFillMs = 50;
constexpr Milliseconds kTimeoutMs = 5000;
// A response that is whole must not wait for the timeout.
constexpr Milliseconds kPromptMs = 1000;

const std::string kPart(1000, 'p');

// A POST whose server reads little of it. The client runs only in Run and in Result, so that a test
// decides how much of what the server does the client finds at once.
struct Upload
{
  explicit Upload(std::size_t aBytes = kLongUpload, http::verb aMethod = http::verb::post)
    : m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_client(m_context, { .m_endpoint = m_acceptor.local_endpoint() })
    , m_peer(m_context)
  {
    asio::co_spawn(m_context, Send(aBytes, aMethod), asio::detached);
    Run(kFillMs);
    m_acceptor.accept(m_peer);
    std::array<char, 1000> bytes{};
    m_peer.read_some(asio::buffer(bytes));
    Run(kFillMs);
  }

  Awaitable<void> Send(std::size_t aBytes, http::verb aMethod)
  {
    HttpRequest request(aMethod, "/", 11);
    request.set(http::field::host, "x");
    request.body().assign(aBytes, 'u');
    request.prepare_payload();
    m_result = co_await m_client.Send(std::move(request), kTimeoutMs);
  }

  void Run(Milliseconds aDurationMs)
  {
    m_context.restart();
    m_context.run_for(std::chrono::milliseconds(aDurationMs));
  }

  void Answer(const std::string& aBytes) { asio::write(m_peer, asio::buffer(aBytes)); }
  void End() { m_peer.shutdown(tcp::socket::shutdown_send); }
  // Closed with unread bytes, the socket sends a reset.
  void Close() { m_peer.close(); }

  void Reset()
  {
    m_peer.set_option(asio::socket_base::linger(true, 0));
    m_peer.close();
  }

  HttpResult& Result()
  {
    const Instant start = Clock::Now();
    REQUIRE(RunUntil(m_context, [&] { return m_result.has_value(); }));
    m_waitedMs = Clock::Now() - start;
    return *m_result;
  }

  void CheckBroken()
  {
    const HttpResult& result = Result();
    CHECK_FALSE(result.m_response);
    CHECK(result.m_failure == HttpFailure::BadResponse);
    CHECK(m_waitedMs < kPromptMs);
  }

  void CheckWhole(const std::string& aBody)
  {
    const HttpResult& result = Result();
    REQUIRE(result.m_response);
    CHECK(result.m_response->body() == aBody);
    CHECK(m_waitedMs < kPromptMs);
  }

  asio::io_context m_context{ 1 };
  tcp::acceptor m_acceptor;
  HttpClient m_client;
  tcp::socket m_peer;
  std::optional<HttpResult> m_result;
  Milliseconds m_waitedMs = 0;
};

// Heads of responses whose body lasts until the connection ends.
const std::array<std::string, 6> kUnboundedHeads{
  "HTTP/1.1 200 OK\r\n\r\n",
  "HTTP/1.0 200 OK\r\n\r\n",
  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
  "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n",
  "HTTP/1.1 404 Not Found\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
};

} // namespace

// Guards against a part of a response that was given to callers as the whole one.
TEST_CASE("a response without a length fails if its connection is reset during the upload")
{
  for (const std::string& head : kUnboundedHeads) {
    for (const Milliseconds pauseMs : { 0, 30, 100, 400 }) {
      CAPTURE(head);
      CAPTURE(pauseMs);
      Upload upload;
      upload.Answer(head + kPart);
      if (pauseMs > 0) {
        upload.Run(pauseMs);
      }
      upload.Reset();
      upload.CheckBroken();
    }
  }
}

TEST_CASE("a response without a length fails if a peer closes with much of the upload unread")
{
  for (const Milliseconds pauseMs : { 0, 30 }) {
    Upload upload;
    upload.Answer(kUnboundedHeads[0] + kPart);
    upload.Run(pauseMs);
    upload.Close();
    upload.CheckBroken();
  }
}

TEST_CASE("a response without a length fails if its connection is reset after the upload")
{
  for (const std::size_t size : { 0, 100, 100'000 }) {
    Upload upload(size);
    upload.Answer(kUnboundedHeads[0] + kPart);
    upload.Run(kFillMs);
    upload.Reset();
    upload.CheckBroken();
  }
}

TEST_CASE("a response with a length or chunks fails if its connection is reset before its end")
{
  for (const std::string head :
       { "Content-Length: 1001\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3E8\r\n" }) {
    Upload upload;
    upload.Answer("HTTP/1.1 200 OK\r\n" + head + kPart);
    upload.Run(kFillMs);
    upload.Reset();
    upload.CheckBroken();
  }
}

TEST_CASE("a response without a length is whole if its peer ends it while the upload is unread")
{
  for (const std::string& head : kUnboundedHeads) {
    for (const Milliseconds pauseMs : { 0, 30, 100 }) {
      CAPTURE(head);
      CAPTURE(pauseMs);
      Upload upload;
      upload.Answer(head + kPart);
      if (pauseMs > 0) {
        upload.Run(pauseMs);
      }
      upload.End();
      upload.CheckWhole(kPart);
    }
  }
}

TEST_CASE("a response without a length is whole if a reset follows the end that its peer gave it")
{
  for (const std::string& head : kUnboundedHeads) {
    CAPTURE(head);
    Upload upload;
    upload.Answer(head + kPart);
    upload.End();
    upload.Close();
    upload.CheckWhole(kPart);
  }
}

TEST_CASE("an empty response without a length is whole only if its peer ends it")
{
  Upload ended;
  ended.Answer(kUnboundedHeads[0]);
  ended.End();
  ended.CheckWhole("");
  Upload reset;
  reset.Answer(kUnboundedHeads[0]);
  reset.Reset();
  reset.CheckBroken();
}

TEST_CASE("a response that has no body is whole with its header, also if a reset follows")
{
  for (const std::string status : { "204 No Content", "304 Not Modified" }) {
    Upload upload;
    upload.Answer("HTTP/1.1 " + status + "\r\n\r\n");
    upload.Reset();
    upload.CheckWhole("");
  }
  Upload upload(kLongUpload, http::verb::head);
  upload.Answer("HTTP/1.1 200 OK\r\n\r\n");
  upload.Reset();
  upload.CheckWhole("");
}

TEST_CASE("a response of known length is whole, also if a reset follows")
{
  Upload upload;
  upload.Answer("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + kPart);
  upload.Reset();
  upload.CheckWhole(kPart);
}
