// A stand-in for the platform's append-only log: streams in memory, bounded waits, limited
// retention, a limit on appends a second, and faults that can be switched on over POST
// /admin/v1/faults.
#include "Address.h"
#include "Base64.h"
#include "Clock.h"
#include "HttpServer.h"
#include "Log.h"
#include "Random.h"
#include "ToolOptions.h"

#include <boost/asio/signal_set.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <deque>
#include <fmt/core.h>
#include <map>
#include <string>

namespace sequoiastep::tools {

namespace asio = net::asio;
namespace http = net::http;
namespace json = boost::json;
using net::Awaitable;
using net::HttpRequest;
using net::HttpResponse;

namespace {

constexpr std::string_view kStreamsPrefix = "/v1/streams/";
constexpr Milliseconds kPollMs = 5;
constexpr Milliseconds kLostAnswerMs = 600'000;

struct Record
{
  std::uint64_t m_offset = 0;
  std::string m_body;
  Instant m_at;
};

struct Stream
{
  std::deque<Record> m_records;
  std::uint64_t m_first = 0;
  std::uint64_t m_next = 0;
};

struct Faults
{
  bool m_outage = false;
  Milliseconds m_delayMs = 0;
  /// Appends that take effect but whose answer never comes.
  std::uint64_t m_loseAnswers = 0;
};

struct LogOptions
{
  Milliseconds m_keepMs = 86'400'000;
  std::uint64_t m_keepRecords = 100'000;
  std::uint64_t m_appendsPerSecond = 300;
  /// Largest gap between the offsets of two records.
  std::uint64_t m_offsetGap = 0;
};

class LogServer
{
public:
  LogServer(asio::io_context& aContext, LogOptions aOptions)
    : m_context(aContext)
    , m_options(aOptions)
  {
  }

  Awaitable<HttpResponse> Handle(HttpRequest aRequest)
  {
    const std::string path(net::PathOf(aRequest.target()));
    if (path == "/admin/v1/faults") {
      co_return SetFaults(aRequest.body());
    }
    if (path == "/admin/v1/counts") {
      co_return Json(
        http::status::ok,
        { { "reads", m_reads }, { "appends", m_appends }, { "read_bytes", m_readBytes } });
    }
    if (m_faults.m_delayMs > 0) {
      co_await Sleep(m_faults.m_delayMs);
    }
    if (m_faults.m_outage) {
      co_return Json(http::status::service_unavailable, { { "error", "outage" } });
    }
    if (!path.starts_with(kStreamsPrefix)) {
      co_return Json(http::status::not_found, { { "error", "no such path" } });
    }
    std::string name = path.substr(kStreamsPrefix.size());
    const bool records = name.ends_with("/records");
    if (records) {
      name.resize(name.size() - std::string_view("/records").size());
    }
    Expire(m_streams[name]);
    if (!records) {
      const Stream& stream = m_streams[name];
      co_return Json(http::status::ok, { { "first", stream.m_first }, { "next", stream.m_next } });
    }
    if (aRequest.method() == http::verb::post) {
      HttpResponse response = co_await Append(name, std::move(aRequest.body()));
      co_return response;
    }
    HttpResponse response = co_await Read(name, std::string(aRequest.target()));
    co_return response;
  }

private:
  static HttpResponse Json(http::status aStatus, const json::object& aBody)
  {
    return net::MakeResponse(aStatus, "application/json", json::serialize(aBody));
  }

  Awaitable<void> Sleep(Milliseconds aDelay)
  {
    asio::steady_timer timer(m_context, std::chrono::milliseconds(aDelay));
    co_await timer.async_wait(asio::use_awaitable);
  }

  HttpResponse SetFaults(const std::string& aBody)
  {
    boost::system::error_code error;
    const json::value value = json::parse(aBody, error);
    if (error || !value.is_object()) {
      return Json(http::status::bad_request, { { "error", "send a JSON object" } });
    }
    const json::object& object = value.get_object();
    if (const json::value* outage = object.if_contains("outage")) {
      m_faults.m_outage = outage->is_bool() && outage->get_bool();
    }
    if (const json::value* delay = object.if_contains("delay_ms")) {
      m_faults.m_delayMs = delay->to_number<Milliseconds>();
    }
    if (const json::value* lose = object.if_contains("lose_answers")) {
      m_faults.m_loseAnswers = lose->to_number<std::uint64_t>();
    }
    return Json(http::status::ok, { { "taken", true } });
  }

  void Expire(Stream& aStream) const
  {
    const Instant now = Clock::Now();
    while (!aStream.m_records.empty() &&
           (aStream.m_records.size() > m_options.m_keepRecords ||
            now - aStream.m_records.front().m_at > m_options.m_keepMs)) {
      aStream.m_first = aStream.m_records.front().m_offset + 1;
      aStream.m_records.pop_front();
    }
  }

  bool IsOverRate()
  {
    const Instant now = Clock::Now();
    if (now - m_window >= 1000) {
      m_window = now;
      m_appendsInWindow = 0;
    }
    return ++m_appendsInWindow > m_options.m_appendsPerSecond;
  }

  Awaitable<HttpResponse> Append(std::string aName, std::string aBody)
  {
    if (IsOverRate()) {
      co_return Json(http::status::too_many_requests, { { "error", "over the append rate" } });
    }
    Stream& stream = m_streams[aName];
    const std::uint64_t offset = stream.m_next + m_random.Below(m_options.m_offsetGap + 1);
    stream.m_records.push_back(
      { .m_offset = offset, .m_body = std::move(aBody), .m_at = Clock::Now() });
    stream.m_next = offset + 1;
    ++m_appends;
    if (m_faults.m_loseAnswers > 0) {
      --m_faults.m_loseAnswers;
      co_await Sleep(kLostAnswerMs);
    }
    co_return Json(http::status::created, { { "offset", offset } });
  }

  Awaitable<HttpResponse> Read(std::string aName, std::string aTarget)
  {
    const std::uint64_t from = std::stoull(net::QueryValue(aTarget, "from", "0"));
    const std::uint64_t most = std::stoull(net::QueryValue(aTarget, "max", "100"));
    const auto waitMs =
      static_cast<Milliseconds>(std::stoull(net::QueryValue(aTarget, "wait_ms", "0")));
    ++m_reads;
    const Instant start = Clock::Now();
    while (m_streams[aName].m_next <= from && Clock::Now() - start < waitMs && !m_faults.m_outage) {
      co_await Sleep(kPollMs);
    }
    const Stream& stream = m_streams[aName];
    if (from < stream.m_first) {
      co_return Json(http::status::gone, { { "first", stream.m_first } });
    }
    json::array records;
    for (const Record& record : stream.m_records) {
      if (record.m_offset >= from && records.size() < most) {
        records.push_back(
          json::object{ { "offset", record.m_offset }, { "body", EncodeBase64(record.m_body) } });
      }
    }
    HttpResponse response =
      Json(http::status::ok, { { "records", records }, { "next", stream.m_next } });
    m_readBytes += response.body().size();
    co_return response;
  }

  asio::io_context& m_context;
  LogOptions m_options;
  Random m_random{ 7 };
  std::map<std::string, Stream> m_streams;
  Faults m_faults;
  Instant m_window;
  std::uint64_t m_appendsInWindow = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_appends = 0;
  std::uint64_t m_readBytes = 0;
};

} // namespace

int
RunLog(const ToolOptions& aOptions)
{
  asio::io_context context(1);
  LogServer log(
    context,
    { .m_keepMs = aOptions.Number("keep-ms", 86'400'000),
      .m_keepRecords = static_cast<std::uint64_t>(aOptions.Number("keep-records", 100'000)),
      .m_appendsPerSecond = static_cast<std::uint64_t>(aOptions.Number("appends-per-second", 300)),
      .m_offsetGap = static_cast<std::uint64_t>(aOptions.Number("offset-gap", 0)) });
  net::HttpServer server(
    context,
    { .m_idleMs = 600'000 },
    [&](HttpRequest aRequest) { return log.Handle(std::move(aRequest)); },
    BadRequest);
  return ServeUntilSignal(context, server, aOptions.Text("listen", "127.0.0.1:0"), "log");
}

} // namespace sequoiastep::tools

int
main(int aCount, char** aArguments)
{
  return sequoiastep::tools::RunLog(sequoiastep::tools::ToolOptions(aCount, aArguments));
}
