// Bounds of the HTTP server and client on what strangers send or leave unread.
#include "HttpClient.h"
#include "HttpServer.h"
#include "RunUntil.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace sequoiastep;
using namespace sequoiastep::net;

namespace {

constexpr std::size_t kMegabyte = 1U << 20;

HttpResponse
ErrorResponse(http::status aStatus, const std::string& aReason)
{
  return MakeResponse(aStatus, "text/plain", aReason);
}

// A server whose answers have as many bytes as the path says.
struct SizedServer
{
  SizedServer(asio::io_context& aContext, HttpLimits aLimits)
    : m_context(aContext)
    , m_server(
        aContext,
        aLimits,
        [](HttpRequest aRequest) { return Answer(std::move(aRequest)); },
        ErrorResponse)
  {
    m_endpoint = Handle(
      [&] {
        return m_server.Listen({ asio::ip::make_address("127.0.0.1"), 0 });
      },
      [](const Error&) { return tcp::endpoint(); });
  }

  static Awaitable<HttpResponse> Answer(HttpRequest aRequest)
  {
    const std::size_t size = std::stoul(std::string(aRequest.target().substr(1)));
    co_return MakeResponse(http::status::ok, "text/plain", std::string(size, 'a'));
  }

  // Connects a client that receives little at a time.
  tcp::socket Connect()
  {
    tcp::socket socket(m_context);
    socket.open(tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    socket.connect(m_endpoint);
    socket.non_blocking(true);
    return socket;
  }

  asio::io_context& m_context;
  HttpServer m_server;
  tcp::endpoint m_endpoint;
};

void
Request(tcp::socket& aSocket, std::size_t aAnswerBytes)
{
  const std::string text = "GET /" + std::to_string(aAnswerBytes) + " HTTP/1.1\r\nHost: x\r\n\r\n";
  error_code error;
  asio::write(aSocket, asio::buffer(text), error);
}

// Sends aHead and then aPart until the server answers; returns the answer's first line.
std::string
AnswerToEndless(SizedServer& aServer, const std::string& aHead, const std::string& aPart)
{
  tcp::socket socket(aServer.m_context);
  socket.connect(aServer.m_endpoint);
  socket.non_blocking(true);
  std::string unsent = aHead;
  std::string answer;
  std::size_t sent = 0;
  RunUntil(aServer.m_context, [&] {
    while (unsent.size() < 65'536 && sent < 16 * kMegabyte) {
      unsent += aPart;
    }
    error_code error;
    const std::size_t written = socket.write_some(asio::buffer(unsent), error);
    sent += written;
    unsent.erase(0, written);
    char bytes[1024];
    const std::size_t size = socket.read_some(asio::buffer(bytes), error);
    answer.append(bytes, size);
    CHECK(aServer.m_server.HeldBytes() < 256U << 10);
    return answer.find("\r\n") != std::string::npos || (error && error != asio::error::would_block);
  });
  return answer.substr(0, answer.find("\r\n"));
}

const std::string kChunkedHead =
  "POST /5 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("a budget counts what its owners hold, with copies, against the common one")
{
  const auto common = std::make_shared<ByteBudget>(ByteBudget{ .m_max = 1000 });
  ByteBudget once{ .m_max = 800, .m_common = common };
  ByteBudget thrice{ .m_max = 800, .m_common = common, .m_copies = 3 };
  {
    BudgetShare first(once);
    BudgetShare second(thrice);
    CHECK(first.Set(400));
    CHECK(second.Set(200));
    CHECK(common->m_used == 1000);
    CHECK_FALSE(once.HasRoom(1));
    CHECK_FALSE(second.Set(201));
    CHECK(second.Set(100));
    CHECK(common->m_used == 700);
    CHECK_FALSE(first.Set(801)); // More than its owner may have.
  }
  CHECK(common->m_used == 0);
  CHECK(once.m_used == 0);
}

TEST_CASE("what a client sends without end besides the body is cut off at the header limit")
{
  asio::io_context context;
  SizedServer server(context, { .m_maxHeaderBytes = 16U << 10 });
  const std::string tooLong = "HTTP/1.1 431 Request Header Fields Too Large";
  CHECK(AnswerToEndless(server, kChunkedHead + "0\r\n", "x-more: yes\r\n") == tooLong);
  CHECK(AnswerToEndless(server, kChunkedHead + "5", ";name=value") == tooLong);
  CHECK(AnswerToEndless(server, kChunkedHead, "0") == tooLong);
  CHECK(AnswerToEndless(server, "GET /5 HTTP/1.1\r\n", "x-more: yes\r\n") == tooLong);
  CHECK(server.m_server.Counts().m_refusedTooLong == 4);
  RunUntil(context, [&] { return server.m_server.ConnectionCount() == 0; });
  CHECK(server.m_server.HeldBytes() == 0);
}

TEST_CASE("trailers and extensions within the header limit are accepted")
{
  asio::io_context context;
  SizedServer server(context, { .m_maxHeaderBytes = 16U << 10 });
  const std::string extension = ";name=" + std::string(10'000, 'e');
  const std::string trailer = "x-more: " + std::string(10'000, 't') + "\r\n";
  CHECK(AnswerToEndless(server,
                        kChunkedHead + "5" + extension + "\r\nhello\r\n0\r\n" + trailer + "\r\n",
                        "\r\n") == "HTTP/1.1 200 OK");
}

TEST_CASE("when unsent answers use up the memory, the reader that waits longest is closed")
{
  asio::io_context context;
  SizedServer server(context, { .m_maxHeldBytes = 40 * kMegabyte });
  constexpr std::size_t kAnswerBytes = 16 * kMegabyte; // More than the kernel buffers.
  std::vector<tcp::socket> readers;
  const auto held = [&](std::size_t aAnswers) {
    return RunUntil(
      context, [&] { return server.m_server.HeldBytes() > aAnswers * kAnswerBytes; }, 2000);
  };
  for (std::size_t i = 0; i < 2; ++i) {
    readers.push_back(server.Connect());
    Request(readers.back(), kAnswerBytes);
    REQUIRE(held(i + 1));
    RunUntil(
      context, [] { return false; }, 20);
  }
  CHECK(server.m_server.Counts().m_closedForMemory == 0);
  readers.push_back(server.Connect());
  Request(readers.back(), kAnswerBytes);
  REQUIRE(RunUntil(context, [&] { return server.m_server.Counts().m_closedForMemory == 1; }));
  CHECK(server.m_server.HeldBytes() <= 40 * kMegabyte);
  REQUIRE(RunUntil(context, [&] { return server.m_server.ConnectionCount() == 2; }));
  // The first reader was closed: its answer ends early.
  std::size_t received = 0;
  error_code error;
  RunUntil(context, [&] {
    char bytes[65'536];
    const std::size_t size = readers[0].read_some(asio::buffer(bytes), error);
    received += size;
    return error && error != asio::error::would_block;
  });
  CHECK(received < kAnswerBytes);
  // An ordinary request goes on to be served.
  HttpClient client(context, { .m_endpoint = server.m_endpoint });
  std::optional<HttpResult> result;
  asio::co_spawn(
    context,
    client.Send(HttpRequest(http::verb::get, "/100", 11), 5000),
    [&](const std::exception_ptr&, HttpResult aResult) { result = std::move(aResult); });
  REQUIRE(RunUntil(context, [&] { return result.has_value(); }));
  REQUIRE(result->m_response);
  CHECK(result->m_response->result() == http::status::ok);
}

TEST_CASE("an answer longer than the memory for all is sent if it is the only one")
{
  asio::io_context context;
  SizedServer server(context, { .m_maxHeldBytes = kMegabyte });
  HttpClient client(context, { .m_endpoint = server.m_endpoint });
  std::optional<HttpResult> result;
  asio::co_spawn(
    context,
    client.Send(HttpRequest(http::verb::get, "/4000000", 11), 5000),
    [&](const std::exception_ptr&, HttpResult aResult) { result = std::move(aResult); });
  REQUIRE(RunUntil(context, [&] { return result.has_value(); }));
  REQUIRE(result->m_response);
  CHECK(result->m_response->body().size() == 4'000'000);
}

TEST_CASE("at the connection limit, an idle connection is closed for a new one")
{
  asio::io_context context;
  SizedServer server(context, { .m_maxConnections = 3 });
  std::vector<tcp::socket> idle;
  for (int i = 0; i < 3; ++i) {
    idle.push_back(server.Connect());
    const std::size_t count = idle.size();
    REQUIRE(RunUntil(context, [&] { return server.m_server.ConnectionCount() == count; }));
  }
  // Those that just connected are not closed; the new one is.
  idle.push_back(server.Connect());
  REQUIRE(RunUntil(context, [&] { return server.m_server.Counts().m_refusedConnections == 1; }));
  RunUntil(
    context, [] { return false; }, 1300);
  HttpClient client(context, { .m_endpoint = server.m_endpoint });
  std::optional<HttpResult> result;
  asio::co_spawn(
    context,
    client.Send(HttpRequest(http::verb::get, "/100", 11), 5000),
    [&](const std::exception_ptr&, HttpResult aResult) { result = std::move(aResult); });
  REQUIRE(RunUntil(context, [&] { return result.has_value(); }));
  CHECK(result->m_response.has_value());
  CHECK(server.m_server.Counts().m_closedForConnections == 1);
  CHECK(server.m_server.ConnectionCount() <= 3);
}

TEST_CASE("a large response waits at its source while the common budget is used up")
{
  asio::io_context context;
  SizedServer server(context, {});
  const auto common = std::make_shared<ByteBudget>(ByteBudget{ .m_max = kMegabyte });
  ByteBudget others{ .m_max = 8 * kMegabyte, .m_common = common };
  HttpClient client(
    context, { .m_endpoint = server.m_endpoint, .m_maxBodyBytes = kMegabyte, .m_budget = common });
  std::vector<std::size_t> sizes;
  const auto get = [&](const std::string& aPath) {
    asio::co_spawn(context,
                   client.Send(HttpRequest(http::verb::get, aPath, 11), 20'000),
                   [&](const std::exception_ptr&, HttpResult aResult) {
                     sizes.push_back(aResult.m_response ? aResult.m_response->body().size() : 0);
                   });
  };
  {
    BudgetShare used(others);
    used.Set(4 * kMegabyte);
    // Longer than one body together: both can't be received while others use the memory.
    get("/1000000");
    get("/1000000");
    get("/1000");
    std::uint64_t most = 0;
    REQUIRE(RunUntil(context, [&] {
      most = std::max(most, common->m_used);
      return sizes.size() == 3;
    }));
    CHECK(most < 8 * kMegabyte); // Ten if both were received at once.
  }
  CHECK(std::count(sizes.begin(), sizes.end(), 1'000'000) == 2);
  CHECK(std::count(sizes.begin(), sizes.end(), 1000) == 1);
  CHECK(common->m_used == 0);
}
