// A test stand-in for a target: a limited number of slots, slow start, draining, load shedding,
// cancellation when the connection closes (as at a deadline), and health and load endpoints, of
// which the load endpoint can report stale or false values. It names a limit or that it leaves on
// demand, and fails a share of its requests with 500. Counts the runs of each X-Request-Id, so that
// tests can compare them with what callers were told.
#include "Address.h"
#include "Clock.h"
#include "HttpClient.h"
#include "HttpServer.h"
#include "Log.h"
#include "ToolOptions.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>
#include <chrono>
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

constexpr Milliseconds kAnnounceIntervalMs = 500;
constexpr Milliseconds kAnnounceTimeoutMs = 1000;
/// Window in which requests are counted against the limit that the target names.
constexpr Milliseconds kLimitWindowMs = 4000;
constexpr std::uint64_t kPercent = 100;

struct TargetOptions
{
  std::string m_service;
  std::string m_nodeAddress;
  std::uint64_t m_slots = 6;
  Milliseconds m_serviceTimeMs = 1;
  Milliseconds m_warmUpMs = 0;
  Milliseconds m_ttlMs = 3000;
  /// Value that the load endpoint always reports; below 0 it reports the measured load.
  Milliseconds m_fixedLoad = -1;
  /// Software version that it announces; none if empty.
  std::string m_version;
  /// Requests out of 100 that fail with status 500, evenly spread.
  std::uint64_t m_failPercent = 0;
  /// How long the load endpoint repeats a measured load before it takes a new one.
  Milliseconds m_loadLagMs = 0;
  /// Padding in the body of each answer, in bytes.
  std::size_t m_answerBytes = 0;
};

class TargetServer
{
public:
  TargetServer(asio::io_context& aContext, TargetOptions aOptions)
    : m_context(aContext)
    , m_options(std::move(aOptions))
    , m_startedAt(Clock::Now())
  {
  }

  Awaitable<HttpResponse> Handle(HttpRequest aRequest)
  {
    const std::string path(net::PathOf(aRequest.target()));
    if (path == "/standin/runs") {
      co_return RunReport();
    }
    if (path == "/standin/work") {
      m_options.m_serviceTimeMs = std::stoll(aRequest.body());
      co_return net::MakeResponse(http::status::ok, "text/plain", "taken");
    }
    if (path == "/standin/fail") {
      m_options.m_failPercent = std::stoull(aRequest.body());
      co_return net::MakeResponse(http::status::ok, "text/plain", "taken");
    }
    if (path == "/standin/drain") {
      m_draining = true;
      co_return net::MakeResponse(http::status::ok, "text/plain", "draining");
    }
    if (path == "/standin/limit") {
      m_limit = aRequest.body();
      m_arrivals.clear();
      m_maxInWindow = 0;
      co_return net::MakeResponse(http::status::ok, "text/plain", "taken");
    }
    if (path == "/standin/leave") {
      m_leaving = true;
      co_return net::MakeResponse(http::status::ok, "text/plain", "leaving");
    }
    if (path == "/health") {
      co_return net::MakeResponse(http::status::ok, "text/plain", "ok");
    }
    if (path == "/load") {
      co_return net::MakeResponse(http::status::ok, "text/plain", std::to_string(ReportedLoad()));
    }
    HttpResponse response = co_await Serve(std::move(aRequest));
    co_return response;
  }

  /// Announces this target to its local node until the process ends.
  Awaitable<void> Announce(std::string aOwnAddress)
  {
    const net::tcp::endpoint node =
      sequoiastep::Handle([&] { return net::ParseAddress(m_options.m_nodeAddress); },
                          [](const Error&) { return net::tcp::endpoint(); });
    net::HttpClient client(m_context, { .m_endpoint = node });
    for (;;) {
      HttpRequest request(http::verb::post, "/target/v1/announce", 11);
      request.set(http::field::host, m_options.m_nodeAddress);
      json::object announcement{
        { "service", m_options.m_service }, { "address", aOwnAddress },
        { "slots", m_options.m_slots },     { "warm_up_ms", m_options.m_warmUpMs },
        { "ttl_ms", m_options.m_ttlMs },    { "state", m_draining ? "draining" : "up" }
      };
      if (!m_options.m_version.empty()) {
        announcement["version"] = m_options.m_version;
      }
      request.body() = json::serialize(announcement);
      request.prepare_payload();
      net::HttpResult result = co_await client.Send(std::move(request), kAnnounceTimeoutMs);
      asio::steady_timer timer(m_context, std::chrono::milliseconds(kAnnounceIntervalMs));
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

private:
  HttpResponse RunReport() const
  {
    json::object runs;
    for (const auto& [id, count] : m_runs) {
      runs[id] = count;
    }
    return net::MakeResponse(http::status::ok,
                             "application/json",
                             json::serialize(json::object{ { "runs", runs },
                                                           { "total", m_totalRuns },
                                                           { "shed", m_shed },
                                                           { "running", m_running },
                                                           { "failed", m_failed },
                                                           { "cancelled", m_cancelled },
                                                           { "most_running", m_maxRunning },
                                                           { "most_in_4_s", m_maxInWindow } }));
  }

  // Counts the requests of the sliding window that ends now.
  void RecordArrival()
  {
    m_arrivals.push_back(Clock::Now());
    while (m_arrivals.back() - m_arrivals.front() > kLimitWindowMs) {
      m_arrivals.pop_front();
    }
    m_maxInWindow = std::max(m_maxInWindow, m_arrivals.size());
  }

  // Names the limit and the leaving in a response, as a target in need does.
  void AddNotice(HttpResponse& aResponse) const
  {
    if (!m_limit.empty()) {
      aResponse.set("Server-Limit", m_limit);
    }
    if (m_leaving) {
      aResponse.set("Server-Leaving", "1");
    }
  }

  // Returns the fixed load if one is set, else a measured load at most m_loadLagMs old.
  Milliseconds ReportedLoad()
  {
    if (m_options.m_fixedLoad >= 0) {
      return m_options.m_fixedLoad;
    }
    const Instant now = Clock::Now();
    if (now - m_loadSampledAt >= m_options.m_loadLagMs) {
      m_loadSampledAt = now;
      m_sampledLoad = static_cast<Milliseconds>(m_running);
    }
    return m_sampledLoad;
  }

  HttpResponse Shed()
  {
    ++m_shed;
    HttpResponse response =
      net::MakeResponse(http::status::service_unavailable, "text/plain", "full");
    response.set("Sequoiastep-Outcome", "not_run");
    AddNotice(response);
    return response;
  }

  // The value of a header that the node sends or must remove; empty if it did not arrive.
  static std::string_view Received(const HttpRequest& aRequest, std::string_view aName)
  {
    return aRequest[aName];
  }

  // Requests take four times as long during the warm-up.
  Milliseconds ServiceTimeMs() const
  {
    const Milliseconds uptime = Clock::Now() - m_startedAt;
    return uptime < m_options.m_warmUpMs ? m_options.m_serviceTimeMs * 4
                                         : m_options.m_serviceTimeMs;
  }

  Awaitable<HttpResponse> Serve(HttpRequest aRequest)
  {
    RecordArrival();
    if (m_running >= m_options.m_slots || m_draining) {
      co_return Shed();
    }
    // Frees the slot; counts a cancelled request if the coroutine was destroyed before it finished.
    struct Slot
    {
      TargetServer& m_server;
      bool m_finished = false;
      ~Slot()
      {
        --m_server.m_running;
        m_server.m_cancelled += m_finished ? 0 : 1;
      }
    };
    ++m_running;
    ++m_totalRuns;
    m_maxRunning = std::max(m_maxRunning, m_running);
    Slot slot{ .m_server = *this };
    const std::string id(aRequest["X-Request-Id"]);
    if (!id.empty()) {
      ++m_runs[id];
    }
    if (ServiceTimeMs() > 0) {
      asio::steady_timer timer(m_context, std::chrono::milliseconds(ServiceTimeMs()));
      co_await timer.async_wait(asio::use_awaitable);
    }
    slot.m_finished = true;
    m_failureCredit += m_options.m_failPercent;
    if (m_failureCredit >= kPercent) {
      m_failureCredit -= kPercent;
      ++m_failed;
      co_return net::MakeResponse(http::status::internal_server_error, "text/plain", "failed");
    }
    json::object answer{ { "service", m_options.m_service },
                         { "path", std::string_view(aRequest.target()) },
                         { "request", id },
                         { "workspace", Received(aRequest, "Sequoiastep-Tenant") },
                         { "workspace_key", Received(aRequest, "Sequoiastep-Credential") },
                         { "body", std::string_view(aRequest.body()) } };
    if (m_options.m_answerBytes > 0) {
      answer["padding"] = std::string(m_options.m_answerBytes, 'p');
    }
    HttpResponse response =
      net::MakeResponse(http::status::ok, "application/json", json::serialize(answer));
    response.set("X-Request-Id", id);
    AddNotice(response);
    co_return response;
  }

  asio::io_context& m_context;
  TargetOptions m_options;
  Instant m_startedAt;
  std::map<std::string, std::uint64_t> m_runs;
  std::uint64_t m_running = 0;
  std::uint64_t m_maxRunning = 0;
  Milliseconds m_sampledLoad = 0;
  Instant m_loadSampledAt;
  std::uint64_t m_totalRuns = 0;
  std::uint64_t m_shed = 0;
  std::uint64_t m_cancelled = 0;
  std::uint64_t m_failed = 0;
  /// Hundredths of a failure that are due.
  std::uint64_t m_failureCredit = 0;
  bool m_draining = false;
  /// Requests per second that responses name as the limit; empty for none.
  std::string m_limit;
  bool m_leaving = false;
  /// Requests of the last kLimitWindowMs, and the most there were at once since the limit was set.
  std::deque<Instant> m_arrivals;
  std::size_t m_maxInWindow = 0;
};

} // namespace

int
RunTarget(const ToolOptions& aOptions)
{
  asio::io_context context(1);
  const std::string listen = aOptions.Text("listen", "127.0.0.1:0");
  TargetServer target(
    context,
    { .m_service = aOptions.Text("service", "jobboard"),
      .m_nodeAddress = aOptions.Text("node", ""),
      .m_slots = static_cast<std::uint64_t>(aOptions.Number("slots", 6)),
      .m_serviceTimeMs = aOptions.Number("work-ms", 1),
      .m_warmUpMs = aOptions.Number("cold-ms", 0),
      .m_ttlMs = aOptions.Number("ttl-ms", 3000),
      .m_fixedLoad = aOptions.Number("claimed-load", -1),
      .m_version = aOptions.Text("version", ""),
      .m_failPercent = static_cast<std::uint64_t>(aOptions.Number("fail-percent", 0)),
      .m_loadLagMs = aOptions.Number("load-lag-ms", 0),
      .m_answerBytes = static_cast<std::size_t>(aOptions.Number("answer-bytes", 0)) });
  net::HttpServer server(
    context,
    { .m_idleTimeoutMs = 600'000 },
    [&](HttpRequest aRequest) { return target.Handle(std::move(aRequest)); },
    MakeErrorResponse);
  if (!aOptions.Text("node", "").empty()) {
    asio::co_spawn(context, target.Announce(listen), asio::detached);
  }
  return ServeUntilSignal(context, server, listen, "target");
}

} // namespace sequoiastep::tools

int
main(int aCount, char** aArguments)
{
  return sequoiastep::tools::RunTarget(sequoiastep::tools::ToolOptions(aCount, aArguments));
}
