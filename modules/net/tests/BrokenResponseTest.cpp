// Responses that are none: each must fail its request, so that nothing of it reaches a caller.
#include "ResponseStatus.h"
#include "ScriptedServer.h"

#include <doctest/doctest.h>
#include <fmt/core.h>
#include <string>

using namespace sequoiastep;
using namespace sequoiastep::net;

namespace {

constexpr const char* kFinalResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A response that is sound but for its status code, perhaps.
std::string
WithStatus(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + " Reason\r\nContent-Length: 4\r\n\r\nbody";
}

// A response whose header holds one more line.
std::string
WithHeaderLine(const std::string& aLine)
{
  return "HTTP/1.1 200 OK\r\n" + aLine + "\r\nContent-Length: 4\r\n\r\nbody";
}

// What became of two requests to a server that gives this answer.
struct TwoResults
{
  explicit TwoResults(const std::string& aAnswer)
  {
    asio::io_context context(1);
    ScriptedServer server(context, aAnswer);
    m_results = SendTwice(server, context);
    m_connections = server.m_connections;
    REQUIRE(m_results.size() == 2);
  }

  std::vector<HttpResult> m_results;
  int m_connections = 0;
};

// Expects that requests get this answer rejected, and its connection is not used again.
void
CheckBroken(const std::string& aAnswer)
{
  CAPTURE(aAnswer);
  const TwoResults two(aAnswer);
  for (const HttpResult& result : two.m_results) {
    CHECK_FALSE(result.m_response);
    CHECK(result.m_failure == HttpFailure::BadResponse);
  }
  CHECK(two.m_connections == 2);
}

// Expects that requests get a final response of this status from this answer.
void
CheckFinal(const std::string& aAnswer, unsigned aStatus)
{
  CAPTURE(aAnswer);
  const TwoResults two(aAnswer);
  for (const HttpResult& result : two.m_results) {
    REQUIRE(result.m_response);
    CHECK(result.m_response->result_int() == aStatus);
  }
}

} // namespace

TEST_CASE("a status code outside 100 to 599 is invalid, and one from 200 on is final")
{
  for (std::uint32_t status = 0; status < 100; ++status) {
    CHECK(KindOfResponse(status) == ResponseKind::Invalid);
  }
  for (std::uint32_t status = 200; status < 600; ++status) {
    CHECK(KindOfResponse(status) == ResponseKind::Final);
  }
  for (std::uint32_t status = 600; status < 1100; ++status) {
    CHECK(KindOfResponse(status) == ResponseKind::Invalid);
  }
}

// Guards against a target in trouble whose answer with status 000 reached callers.
TEST_CASE("a response whose status code is out of range fails the request")
{
  for (const char* status : { "000", "001", "099", "600", "700", "999" }) {
    CheckBroken(WithStatus(status));
    // Without a length the body would last until the connection ends.
    CheckBroken(fmt::format("HTTP/1.1 {} Reason\r\n\r\n", status));
    CheckBroken(fmt::format("HTTP/1.1 {} Reason\r\n\r\n{}", status, kFinalResponse));
  }
}

TEST_CASE("a status line that is none fails the request")
{
  for (const char* status : { "", "0", "20", "2000", "-01", "2 0", "2OO", "0x2" }) {
    CheckBroken(WithStatus(status));
  }
  for (const char* version :
       { "HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/1", "http/1.1", " HTTP/1.1" }) {
    CheckBroken(fmt::format("{} 200 OK\r\nContent-Length: 4\r\n\r\nbody", version));
  }
}

// Guards against 101, which was given to callers as the final answer.
TEST_CASE("a switch to a protocol that no request asked for fails the request")
{
  CheckBroken("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n");
  CheckBroken(
    std::string("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n") +
    kFinalResponse);
}

// Guards against interim responses of other codes than 100, 102 and 103, which were given to
// callers as the final answer.
TEST_CASE("interim responses of any code precede the final response")
{
  for (int status = 100; status < 200; ++status) {
    if (status != 101) {
      const std::string interim = fmt::format("HTTP/1.1 {} Interim\r\nX-Note: a\r\n\r\n", status);
      CheckFinal(interim + kFinalResponse, 200);
    }
  }
}

TEST_CASE("every status code from 200 to 599 may be final, also those without a registered meaning")
{
  for (const unsigned status : { 200U, 218U, 299U, 399U, 418U, 499U, 500U, 599U }) {
    CheckFinal(WithStatus(std::to_string(status)), status);
  }
}

TEST_CASE("a header that holds a line which is no field fails the request")
{
  using namespace std::string_literals;
  for (const std::string& name : { "X Name"s,
                                   " X-Name"s,
                                   "X-Name "s,
                                   "X\tName"s,
                                   "X-Name\t"s,
                                   "X\0Name"s,
                                   "X\x01Name"s,
                                   "X\x7fName"s,
                                   "X\rName"s,
                                   "X(Name"s,
                                   "Content-Length "s,
                                   "Content Length"s,
                                   "Transfer-Encoding\t"s,
                                   "\x0bTransfer-Encoding"s,
                                   ""s }) {
    CheckBroken(WithHeaderLine(name + ": 1"));
  }
  for (const std::string& value : { "a\0b"s, "a\x01z"s, "a\x7fz"s, "a\rb"s }) {
    CheckBroken(WithHeaderLine("X-Name: " + value));
  }
  CheckBroken(WithHeaderLine("no colon"));
}

TEST_CASE("trailers that are no fields fail the request")
{
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
  CheckFinal(chunked + "X-Name: 1\r\n\r\n", 200);
  for (const char* line : { "X Name: 1", "X-Name : 1", "X\x01Name: 1", "X-Name: a\x01z" }) {
    CheckBroken(chunked + line + "\r\n\r\n");
  }
}
