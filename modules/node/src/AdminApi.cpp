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

constexpr std::string_view kJsonContentType = "application/json";
constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::int64_t kMaxPublishWaitMs = 60'000;

HttpResponse
JsonResponse(http::status aStatus, const json::object& aBody)
{
  return net::MakeResponse(aStatus, kJsonContentType, json::serialize(aBody));
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

// Compares in a time that does not depend on where the texts differ, so that it does not reveal how
// much of a guessed secret is right.
bool
ConstantTimeEquals(std::string_view aLeft, std::string_view aRight)
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

// A publish request without an answer yet. Its timer is cancelled when the answer arrives.
struct AdminApi::PendingPublish
{
  explicit PendingPublish(asio::io_context& aContext)
    : m_timer(aContext, std::chrono::milliseconds(kMaxPublishWaitMs))
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
AdminApi::IsAuthorized(const HttpRequest& aRequest) const
{
  const std::string& token = m_settings.m_adminToken;
  return token.empty() ||
         ConstantTimeEquals(aRequest[http::field::authorization], "Bearer " + token);
}

void
AdminApi::CompletePublish(const distribution::AnswerPublish& aAnswer)
{
  const auto found = m_pending.find(aAnswer.m_request);
  if (found != m_pending.end()) {
    found->second->m_answer = aAnswer;
    found->second->m_timer.cancel();
  }
}

Awaitable<HttpResponse>
AdminApi::Publish(HttpRequest aRequest)
{
  const std::uint64_t request = m_nextRequest++;
  PendingPublish pending(m_context);
  pending.m_answer.m_outcome.m_reason =
    "the outcome is not known yet; ask again under the same publish id";
  m_pending.emplace(request, &pending);
  struct PendingRemover
  {
    std::map<std::uint64_t, PendingPublish*>& m_pending;
    std::uint64_t m_request;
    ~PendingRemover() { m_pending.erase(m_request); }
  };
  const PendingRemover remover{ .m_pending = m_pending, .m_request = request };
  // Posted, since the answer may arrive while the event is handled: the wait must have started by
  // then.
  asio::post(m_context, [this, request, text = std::move(aRequest.body())] {
    m_hooks.m_feed(distribution::PublishRequested{ .m_request = request, .m_text = text });
  });
  co_await pending.m_timer.async_wait(net::kAsTuple);
  co_return PublishResponse(pending.m_answer);
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
  std::map<std::string, std::uint64_t> liveMembers;
  for (const auto& [node, record] : controller.m_table.m_members) {
    const membership::Member& member = record.m_member;
    liveMembers[member.m_region] += membership::IsLive(member.m_state) ? 1 : 0;
  }
  json::array regions;
  for (const distribution::RegionSummary& region :
       distribution::SummarizeRegions(controller.m_summaries, now)) {
    regions.push_back(json::object{ { "region", region.m_region },
                                    { "nodes", region.m_nodes },
                                    { "members", liveMembers[region.m_region] },
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
    if (member.m_perSecond) {
      members.back().as_object()["limit_per_second"] = *member.m_perSecond;
    }
    if (!member.m_version.empty()) {
      members.back().as_object()["target_version"] = member.m_version;
    }
  }
  return JsonResponse(http::status::ok, { { "members", members } });
}

HttpResponse
AdminApi::GetRollouts() const
{
  const distribution::Controller& controller = m_controlPlane.ControllerState();
  json::array rollouts;
  for (const auto& [service, rollout] : controller.m_rollouts.m_services) {
    std::map<std::string, std::uint64_t> targets;
    for (const auto& [node, record] : controller.m_table.m_members) {
      const membership::Member& member = record.m_member;
      if (member.m_service == service && membership::IsLive(member.m_state)) {
        ++targets[member.m_version];
      }
    }
    json::object targetCounts;
    for (const auto& [version, count] : targets) {
      targetCounts[version] = count;
    }
    rollouts.push_back(json::object{ { "service", service },
                                     { "version", rollout.m_version },
                                     { "established", rollout.m_established },
                                     { "phase", rollout::NameOf(rollout.m_phase) },
                                     { "stored", rollout.m_finalOffset.has_value() },
                                     { "order", rollout.m_order.m_offset },
                                     { "era", rollout.m_order.m_era },
                                     { "duration_ms", rollout.m_durationMs },
                                     { "left_ms", rollout.m_deadline - Clock::Now() },
                                     { "targets", targetCounts } });
  }
  return JsonResponse(http::status::ok, { { "rollouts", rollouts } });
}

Awaitable<HttpResponse>
AdminApi::GetMetrics() const
{
  std::string text = ControlMetricsText(
    m_controlPlane.ControllerState(), m_controlPlane.Bytes(), m_controlPlane.LogCounts());
  text += m_controlPlane.LogMetricsText();
  if (m_settings.m_rollouts) {
    text += fmt::format("sequoiastep_rollout_orders_refused_total {}\n",
                        m_controlPlane.RefusedRolloutOrders());
  }
  text +=
    fmt::format("sequoiastep_peer_handshake_waits_total {}\n", m_controlPlane.HandshakeWaits());
  const std::string calls = co_await m_hooks.m_callMetrics();
  text += calls;
  co_return net::MakeResponse(http::status::ok, "text/plain; version=0.0.4", std::move(text));
}

Awaitable<HttpResponse>
AdminApi::HandleMetrics(HttpRequest aRequest)
{
  if (aRequest.method() != http::verb::get || net::PathOf(aRequest.target()) != kMetricsPath) {
    co_return MakeProblem(http::status::not_found,
                          CallOutcome::NotRun,
                          "not found; this address serves only GET /metrics");
  }
  HttpResponse response = co_await GetMetrics();
  co_return response;
}

Awaitable<HttpResponse>
AdminApi::Handle(HttpRequest aRequest)
{
  const std::string path(net::PathOf(aRequest.target()));
  const bool isGet = aRequest.method() == http::verb::get;
  const bool isPost = aRequest.method() == http::verb::post;
  if (isPost && !IsAuthorized(aRequest)) {
    co_return MakeProblem(http::status::unauthorized,
                          CallOutcome::NotRun,
                          "send the node's admin token in the header Authorization: Bearer");
  }
  if (isPost && path == "/admin/v1/config") {
    HttpResponse response = co_await Publish(std::move(aRequest));
    co_return response;
  }
  if (isPost && path == "/admin/v1/drain") {
    m_hooks.m_drain();
    co_return JsonResponse(http::status::ok, { { "draining", true } });
  }
  if (isGet && (path == adapter::kReadyPath || path == "/admin/v1/ready")) {
    const bool ready = m_controlPlane.AcceptsCalls();
    co_return JsonResponse(ready ? http::status::ok : http::status::service_unavailable,
                           { { "ready", ready } });
  }
  if (isGet && path == "/admin/v1/config") {
    co_return GetConfig(aRequest);
  }
  if (isGet && path == "/admin/v1/status") {
    co_return GetStatus();
  }
  if (isGet && path == "/admin/v1/members") {
    co_return GetMembers();
  }
  if (isGet && path == "/admin/v1/rollouts" && m_settings.m_rollouts) {
    co_return GetRollouts();
  }
  if (isGet && path == "/admin/v1/spans") {
    co_return net::MakeResponse(http::status::ok, "text/plain", RecentSpans());
  }
  if (isGet && path == "/admin/v1/metrics") {
    HttpResponse response = co_await GetMetrics();
    co_return response;
  }
  co_return MakeProblem(http::status::not_found,
                        CallOutcome::NotRun,
                        "admin path or method not found; see docs/OPERATIONS.md");
}

} // namespace sequoiastep::node
