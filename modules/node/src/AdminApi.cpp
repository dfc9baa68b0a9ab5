#include "AdminApi.h"

#include "ControlPlane.h"
#include "Metrics.h"
#include "Names.h"
#include "Problem.h"
#include "Trace.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace asio = net::asio;
namespace http = net::http;
namespace json = boost::json;
using net::Awaitable;
using net::HttpRequest;
using net::HttpResponse;

namespace {

constexpr std::string_view kJson = "application/json";
constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::int64_t kMostPublishWaitMs = 60'000;

HttpResponse
JsonResponse(http::status aStatus, const json::object& aBody)
{
  return net::MakeResponse(aStatus, kJson, json::serialize(aBody));
}

HttpResponse
PublishResponse(const distribution::AnswerPublish& aAnswer)
{
  const config::Outcome& outcome = aAnswer.m_outcome;
  http::status status = http::status::accepted;
  std::string_view name = "not_known_yet";
  if (aAnswer.m_known) {
    name = config::NameOf(outcome.m_outcome);
    switch (outcome.m_outcome) {
      case config::PublishOutcome::Accepted:
        status = http::status::ok;
        break;
      case config::PublishOutcome::Conflict:
        status = http::status::conflict;
        break;
      case config::PublishOutcome::Refused:
        status = http::status::unprocessable_entity;
        break;
    }
  }
  return JsonResponse(
    status,
    { { "outcome", name }, { "version", outcome.m_version }, { "reason", outcome.m_reason } });
}

// Compares in a time that does not depend on where the texts differ.
bool
IsEqualSecret(std::string_view aLeft, std::string_view aRight)
{
  unsigned difference = aLeft.size() == aRight.size() ? 0 : 1;
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    const char other = aRight.empty() ? '\0' : aRight[i % aRight.size()];
    difference |= static_cast<unsigned char>(aLeft[i] ^ other);
  }
  return difference == 0;
}

std::string_view
PhaseName(distribution::JoinPhase aPhase)
{
  switch (aPhase) {
    case distribution::JoinPhase::Searching:
      return "searching";
    case distribution::JoinPhase::Joining:
      return "joining";
    case distribution::JoinPhase::FromLog:
      return "from_log";
    case distribution::JoinPhase::Joined:
      return "joined";
  }
  return "?";
}

} // namespace

// A publish request that waits; the timer is cancelled when the answer came.
struct AdminApi::WaitingRequest
{
  explicit WaitingRequest(asio::io_context& aContext)
    : m_timer(aContext, std::chrono::milliseconds(kMostPublishWaitMs))
  {
  }

  asio::steady_timer m_timer;
  distribution::AnswerPublish m_answer;
};

AdminApi::AdminApi(asio::io_context& aContext,
                   const Settings& aSettings,
                   const ControlPlane& aControlPlane,
                   Hooks aHooks)
  : m_context(aContext)
  , m_settings(aSettings)
  , m_controlPlane(aControlPlane)
  , m_hooks(std::move(aHooks))
{
}

AdminApi::~AdminApi() = default;

bool
AdminApi::IsAllowed(const HttpRequest& aRequest) const
{
  const std::string& token = m_settings.m_adminToken;
  return token.empty() || IsEqualSecret(aRequest[http::field::authorization], "Bearer " + token);
}

void
AdminApi::AnswerPublish(const distribution::AnswerPublish& aAnswer)
{
  const auto found = m_waiting.find(aAnswer.m_request);
  if (found != m_waiting.end()) {
    found->second->m_answer = aAnswer;
    found->second->m_timer.cancel();
  }
}

Awaitable<HttpResponse>
AdminApi::Publish(HttpRequest aRequest)
{
  const std::uint64_t request = m_nextRequest++;
  WaitingRequest waiting(m_context);
  waiting.m_answer.m_outcome.m_reason =
    "the outcome is not known yet; ask again under the same publish id";
  m_waiting.emplace(request, &waiting);
  struct Forget
  {
    std::map<std::uint64_t, WaitingRequest*>& m_waiting;
    std::uint64_t m_request;
    ~Forget() { m_waiting.erase(m_request); }
  };
  const Forget forget{ .m_waiting = m_waiting, .m_request = request };
  // The answer may come while the event is handled, before the wait: so it is posted.
  asio::post(m_context, [this, request, text = std::move(aRequest.body())] {
    m_hooks.m_feed(distribution::PublishRequested{ .m_request = request, .m_text = text });
  });
  co_await waiting.m_timer.async_wait(net::kAsTuple);
  co_return PublishResponse(waiting.m_answer);
}

HttpResponse
AdminApi::GetConfig(const HttpRequest& aRequest) const
{
  const distribution::Controller& controller = m_controlPlane.ControllerState();
  const std::string region =
    net::QueryValue(aRequest.target(), "region", controller.m_options.m_region);
  const config::ReplayState& state = *controller.m_replay;
  return JsonResponse(http::status::ok,
                      { { "version", state.m_version },
                        { "digest", fmt::format("{:016x}", state.m_digest) },
                        { "region", region },
                        { "effective", config::EffectiveDocument(state.m_documents, region) } });
}

HttpResponse
AdminApi::GetStatus() const
{
  const distribution::Controller& controller = m_controlPlane.ControllerState();
  const membership::Member& self = distribution::Self(controller);
  const Instant now = Clock::Now();
  std::map<std::string, std::uint64_t> live;
  for (const auto& [node, record] : controller.m_table.m_members) {
    const membership::Member& member = record.m_member;
    live[member.m_region] += membership::IsLive(member.m_state) ? 1 : 0;
  }
  json::array regions;
  for (const distribution::RegionSummary& region :
       distribution::ByRegion(controller.m_summaries, now)) {
    regions.push_back(json::object{ { "region", region.m_region },
                                    { "nodes", region.m_nodes },
                                    { "members", live[region.m_region] },
                                    { "lowest_version", region.m_lowestVersion },
                                    { "age_ms", region.m_ageMs } });
  }
  return JsonResponse(
    http::status::ok,
    { { "node", self.m_node },
      { "region", self.m_region },
      { "failure_domain", self.m_failureDomain },
      { "version",
        std::max(controller.m_replay->m_version, distribution::HeldOperatorVersion(controller)) },
      { "position", controller.m_replay->m_position },
      { "digest", fmt::format("{:016x}", controller.m_replay->m_digest) },
      { "ready", controller.m_ready },
      { "phase", PhaseName(controller.m_phase) },
      { "state", membership::NameOf(self.m_state) },
      { "reader_rank", static_cast<std::int64_t>(distribution::ReaderRank(controller)) },
      { "links", controller.m_links.size() },
      { "blocked", controller.m_blockedReason },
      { "regions", regions } });
}

HttpResponse
AdminApi::GetMembers() const
{
  json::array members;
  for (const auto& [node, record] : m_controlPlane.ControllerState().m_table.m_members) {
    const membership::Member& member = record.m_member;
    members.push_back(json::object{ { "node", node },
                                    { "state", membership::NameOf(member.m_state) },
                                    { "region", member.m_region },
                                    { "failure_domain", member.m_failureDomain },
                                    { "address", member.m_address },
                                    { "service", member.m_service },
                                    { "slots", member.m_slots },
                                    { "counter", member.m_counter } });
  }
  return JsonResponse(http::status::ok, { { "members", members } });
}

Awaitable<HttpResponse>
AdminApi::GetMetrics() const
{
  std::string text = ControlMetricsText(
    m_controlPlane.ControllerState(), m_controlPlane.Bytes(), m_controlPlane.LogCounts());
  text += m_controlPlane.LogMetricsText();
  const std::string calls = co_await m_hooks.m_callMetrics();
  text += calls;
  co_return net::MakeResponse(http::status::ok, "text/plain; version=0.0.4", std::move(text));
}

Awaitable<HttpResponse>
AdminApi::HandleMetrics(HttpRequest aRequest)
{
  if (aRequest.method() != http::verb::get || net::PathOf(aRequest.target()) != kMetricsPath) {
    co_return MakeProblem(
      http::status::not_found, CallOutcome::NotRun, "only GET /metrics is served here");
  }
  HttpResponse response = co_await GetMetrics();
  co_return response;
}

Awaitable<HttpResponse>
AdminApi::Handle(HttpRequest aRequest)
{
  const std::string path(net::PathOf(aRequest.target()));
  const bool reads = aRequest.method() == http::verb::get;
  const bool writes = aRequest.method() == http::verb::post;
  if (writes && !IsAllowed(aRequest)) {
    co_return MakeProblem(http::status::unauthorized,
                          CallOutcome::NotRun,
                          "send the admin token of the node's settings as Authorization: Bearer");
  }
  if (writes && path == "/admin/v1/config") {
    HttpResponse response = co_await Publish(std::move(aRequest));
    co_return response;
  }
  if (writes && path == "/admin/v1/drain") {
    m_hooks.m_drain();
    co_return JsonResponse(http::status::ok, { { "draining", true } });
  }
  if (reads && (path == adapter::kReadyPath || path == "/admin/v1/ready")) {
    const bool ready = m_controlPlane.AcceptsCalls();
    co_return JsonResponse(ready ? http::status::ok : http::status::service_unavailable,
                           { { "ready", ready } });
  }
  if (reads && path == "/admin/v1/config") {
    co_return GetConfig(aRequest);
  }
  if (reads && path == "/admin/v1/status") {
    co_return GetStatus();
  }
  if (reads && path == "/admin/v1/members") {
    co_return GetMembers();
  }
  if (reads && path == "/admin/v1/spans") {
    co_return net::MakeResponse(http::status::ok, "text/plain", RecentSpans());
  }
  if (reads && path == "/admin/v1/metrics") {
    HttpResponse response = co_await GetMetrics();
    co_return response;
  }
  co_return MakeProblem(http::status::not_found,
                        CallOutcome::NotRun,
                        "no such admin path or method; see docs/OPERATIONS.md");
}

} // namespace sequoiastep::node
