// A stand-in for a target: slots, cold start, drain, shedding, cancellation, deadlines, and health
// and load endpoints that can lag or lie. It keeps its own record of what ran, by X-Request-Id.
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

constexpr Milliseconds kAnnounceMs = 500;
constexpr Milliseconds kAnnounceTimeoutMs = 1000;

struct TargetOptions
{
  std::string m_service;
  std::string m_nodeAddress;
  std::uint64_t m_slots = 6;
  Milliseconds m_workMs = 1;
  Milliseconds m_coldMs = 0;
  Milliseconds m_ttlMs = 3000;
  /// Fixed answer of the load endpoint; below 0 it tells the truth.
  Milliseconds m_claimedLoad = -1;
  /// How old the load is that the endpoint tells.
  Milliseconds m_loadLagMs = 0;
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
      co_return Runs();
    }
    if (path == "/standin/work") {
      m_options.m_workMs = std::stoll(aRequest.body());
      co_return net::MakeResponse(http::status::ok, "text/plain", "taken");
    }
    if (path == "/standin/drain") {
      m_draining = true;
      co_return net::MakeResponse(http::status::ok, "text/plain", "draining");
    }
    if (path == "/health") {
      co_return net::MakeResponse(http::status::ok, "text/plain", "ok");
    }
    if (path == "/load") {
      co_return net::MakeResponse(http::status::ok, "text/plain", std::to_string(ToldLoad()));
    }
    HttpResponse response = co_await Work(std::move(aRequest));
    co_return response;
  }

  /// Announces itself to the node beside it until the process ends.
  Awaitable<void> Announce(std::string aOwnAddress)
  {
    const net::tcp::endpoint node =
      sequoiastep::Handle([&] { return net::ParseAddress(m_options.m_nodeAddress); },
                          [](const Error&) { return net::tcp::endpoint(); });
    net::HttpClient client(m_context, { .m_endpoint = node });
    for (;;) {
      HttpRequest request(http::verb::post, "/target/v1/announce", 11);
      request.set(http::field::host, m_options.m_nodeAddress);
      request.body() = json::serialize(json::object{ { "service", m_options.m_service },
                                                     { "address", aOwnAddress },
                                                     { "slots", m_options.m_slots },
                                                     { "warm_up_ms", m_options.m_coldMs },
                                                     { "ttl_ms", m_options.m_ttlMs },
                                                     { "state", m_draining ? "draining" : "up" } });
      request.prepare_payload();
      net::HttpResult result = co_await client.Send(std::move(request), kAnnounceTimeoutMs);
      asio::steady_timer timer(m_context, std::chrono::milliseconds(kAnnounceMs));
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

private:
  HttpResponse Runs() const
  {
    json::object runs;
    for (const auto& [id, count] : m_runs) {
      runs[id] = count;
    }
    return net::MakeResponse(http::status::ok,
                             "application/json",
                             json::serialize(json::object{ { "runs", runs },
                                                           { "total", m_total },
                                                           { "shed", m_shed },
                                                           { "cancelled", m_cancelled },
                                                           { "most_running", m_mostRunning } }));
  }

  // The load endpoint may lie, or tell what was true a while ago.
  Milliseconds ToldLoad()
  {
    if (m_options.m_claimedLoad >= 0) {
      return m_options.m_claimedLoad;
    }
    const Instant now = Clock::Now();
    if (now - m_loadTakenAt >= m_options.m_loadLagMs) {
      m_loadTakenAt = now;
      m_loadTaken = static_cast<Milliseconds>(m_running);
    }
    return m_loadTaken;
  }

  HttpResponse Shed()
  {
    ++m_shed;
    HttpResponse response =
      net::MakeResponse(http::status::service_unavailable, "text/plain", "full");
    response.set("Sequoiastep-Outcome", "not_run");
    return response;
  }

  Milliseconds WorkMs() const
  {
    const Milliseconds up = Clock::Now() - m_startedAt;
    return up < m_options.m_coldMs ? m_options.m_workMs * 4 : m_options.m_workMs;
  }

  Awaitable<HttpResponse> Work(HttpRequest aRequest)
  {
    if (m_running >= m_options.m_slots || m_draining) {
      co_return Shed();
    }
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
    ++m_total;
    m_mostRunning = std::max(m_mostRunning, m_running);
    Slot slot{ .m_server = *this };
    const std::string id(aRequest["X-Request-Id"]);
    if (!id.empty()) {
      ++m_runs[id];
    }
    if (WorkMs() > 0) {
      asio::steady_timer timer(m_context, std::chrono::milliseconds(WorkMs()));
      co_await timer.async_wait(asio::use_awaitable);
    }
    slot.m_finished = true;
    HttpResponse response = net::MakeResponse(
      http::status::ok,
      "application/json",
      json::serialize(json::object{ { "service", m_options.m_service },
                                    { "path", std::string_view(aRequest.target()) },
                                    { "request", id },
                                    { "body", std::string_view(aRequest.body()) } }));
    response.set("X-Request-Id", id);
    co_return response;
  }

  asio::io_context& m_context;
  TargetOptions m_options;
  Instant m_startedAt;
  std::map<std::string, std::uint64_t> m_runs;
  std::uint64_t m_running = 0;
  std::uint64_t m_mostRunning = 0;
  Milliseconds m_loadTaken = 0;
  Instant m_loadTakenAt;
  std::uint64_t m_total = 0;
  std::uint64_t m_shed = 0;
  std::uint64_t m_cancelled = 0;
  bool m_draining = false;
};

} // namespace

int
RunTarget(const ToolOptions& aOptions)
{
  asio::io_context context(1);
  const std::string listen = aOptions.Text("listen", "127.0.0.1:0");
  TargetServer target(context,
                      { .m_service = aOptions.Text("service", "jobboard"),
                        .m_nodeAddress = aOptions.Text("node", ""),
                        .m_slots = static_cast<std::uint64_t>(aOptions.Number("slots", 6)),
                        .m_workMs = aOptions.Number("work-ms", 1),
                        .m_coldMs = aOptions.Number("cold-ms", 0),
                        .m_ttlMs = aOptions.Number("ttl-ms", 3000),
                        .m_claimedLoad = aOptions.Number("claimed-load", -1),
                        .m_loadLagMs = aOptions.Number("load-lag-ms", 0) });
  net::HttpServer server(
    context,
    { .m_idleTimeoutMs = 600'000 },
    [&](HttpRequest aRequest) { return target.Handle(std::move(aRequest)); },
    BadRequest);
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
