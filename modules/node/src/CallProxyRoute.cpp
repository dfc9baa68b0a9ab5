// Requests of callers: picks route and targets, retries, and makes the response.
#include "Address.h"
#include "CallLog.h"
#include "CallProxy.h"
#include "CallProxyPriv.h"
#include "CallerAccess.h"
#include "Headers.h"
#include "Log.h"
#include "Names.h"
#include "NoticeWire.h"
#include "ParseNumber.h"
#include "Problem.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/beast/http/field.hpp>
#include <chrono>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace asio = net::asio;
namespace http = net::http;
using net::Awaitable;
using net::HttpRequest;
using net::HttpResponse;
using net::kAsTuple;
using routing::AttemptOutcome;
using routing::RetryDecision;
using wire::AnswerT;
using wire::CallOutcome;
using wire::CallT;

namespace {

// The node beside the target enforces the deadline too, and its answer tells more than a timeout
// here; so this node waits for it a little longer.
constexpr Milliseconds kAnswerGraceMs = 30;
// Upper bound for timeouts that callers send: one day.
constexpr std::uint64_t kMaxCallerTimeoutMs = 86'400'000;
// Retry-After of a refused request if the target's node gave none: the minimum plus random jitter.
constexpr Milliseconds kRetryAfterMinMs = 150;
constexpr std::uint64_t kRetryAfterJitterMs = 250;
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kKilobyte = 1000;
// Assumed size of the headers of a request and its answer.
constexpr double kHeadersKilobytes = 1;
// Assumed answer size of a route with large answers before its first answer.
constexpr double kLargeAnswerKilobytes = 64;

// The smallest of the route's timeout and the timeouts in the caller's headers, the latter less the
// time that the answer needs to reach the caller.
Milliseconds
EffectiveTimeout(const HttpRequest& aRequest, const config::Route& aRoute)
{
  auto left = static_cast<Milliseconds>(aRoute.m_timeoutMs);
  for (const std::string_view name :
       { std::string_view("Sequoiastep-Timeout-Ms"), adapter::kDeadlineMs }) {
    if (const auto timeout = ParseNumber(aRequest[name])) {
      const auto timeoutMs = std::min<std::uint64_t>(*timeout, kMaxCallerTimeoutMs);
      left = std::min(left, routing::CallTimeout(static_cast<Milliseconds>(timeoutMs)));
    }
  }
  return left;
}

routing::LoadReport
LoadReportOf(const AnswerT& aAnswer)
{
  return { .m_load = aAnswer.outstanding,
           .m_serviceUs = aAnswer.service_us,
           .m_rateWaitMs = static_cast<Milliseconds>(aAnswer.rate_wait_ms),
           .m_bodyWaitMs = static_cast<Milliseconds>(aAnswer.body_wait_ms) };
}

AttemptOutcome
AttemptOutcomeOf(const AnswerT& aAnswer)
{
  switch (aAnswer.outcome) {
    case CallOutcome::Done:
      return IsServerError(aAnswer) ? AttemptOutcome::Failed : AttemptOutcome::Done;
    case CallOutcome::NotRun:
      if (aAnswer.arrived) {
        return AttemptOutcome::TurnedAway;
      }
      return aAnswer.overloaded ? AttemptOutcome::Overloaded : AttemptOutcome::NotRun;
    case CallOutcome::Unknown:
    case CallOutcome::Failed:
      break;
  }
  return AttemptOutcome::Unknown;
}

} // namespace

bool
CallProxy::MayOverlap(const HttpRequest& aRequest) const
{
  const auto snapshot = m_shared.m_snapshot.load();
  const config::Route* route =
    snapshot ? config::FindRoute(*snapshot->m_effective, RouteQueryOf(aRequest)) : nullptr;
  return route != nullptr && route->m_repeat == config::Repeat::Safe;
}

// When the caller must have the answer: at its deadline, or earlier if this node stops before.
Instant
CallProxy::DeadlineOf(const CallJob& aJob) const
{
  return m_drainPlan ? std::min(aJob.m_deadline, m_drainPlan->m_answerBy) : aJob.m_deadline;
}

routing::RetryBudget&
CallProxy::BudgetOf(const std::string& aService)
{
  const auto view = m_shared.m_view.load();
  const double nodes = view ? std::max<double>(1, static_cast<double>(view->m_nodes.size())) : 1;
  const Retries& retries = m_settings.m_retries;
  routing::RetryBudget& budget = m_budgets[aService];
  budget.m_allowance = { .m_ratio = retries.m_ratio * retries.m_share,
                         .m_extra = retries.m_extra * retries.m_share / nodes,
                         .m_windowMs = static_cast<Milliseconds>(retries.m_windowMs) };
  return budget;
}

CallJob
CallProxy::MakeJob(const HttpRequest& aRequest,
                   const config::Snapshot& aSnapshot,
                   const config::Route& aRoute)
{
  const std::size_t index = routing::NextCluster(m_weightTurns, aRoute, m_random);
  const config::Cluster& cluster =
    aSnapshot.m_effective->m_clusters.find(aRoute.m_clusters[index].m_cluster)->second;
  const auto callerTrace = ParseTraceparent(aRequest["traceparent"]);
  const TraceContext trace =
    callerTrace ? *callerTrace : StartTrace(m_random, m_settings.m_traceSample);
  CallJob job;
  job.m_tracedByCaller = callerTrace.has_value();
  // Targets have no key of a workspace.
  job.m_mayBeNested = aRoute.m_public || aSnapshot.m_effective->m_workspaces.m_byName.empty();
  job.m_crossRegion = cluster.m_crossRegion;
  job.m_repeat = aRoute.m_repeat;
  job.m_largeAnswers = aRoute.m_largeAnswers;
  job.m_maxAttempts = aRoute.m_maxAttempts;
  job.m_startedAt = Clock::Now();
  job.m_deadline = job.m_startedAt + EffectiveTimeout(aRequest, aRoute);
  job.m_objective = job.m_startedAt + aRoute.m_objectiveMs;
  job.m_call.service = cluster.m_service;
  job.m_call.method = aRequest.method_string();
  job.m_call.target = aRequest.target();
  job.m_call.headers = EndToEndHeaders(aRequest);
  job.m_call.body.assign(aRequest.body().begin(), aRequest.body().end());
  job.m_call.version = aSnapshot.m_version;
  job.m_call.trace_high = trace.m_traceHigh;
  job.m_call.trace_low = trace.m_traceLow;
  job.m_call.parent_span = trace.m_parentSpan;
  job.m_call.sampled = trace.m_sampled;
  job.m_call.caller_service = m_settings.m_targetService;
  job.m_call.request_id = aRequest[adapter::kRequestId];
  job.m_call.repeatable = aRoute.m_repeat == config::Repeat::Safe;
  job.m_call.workspace = WorkspaceOf(aRequest);
  const config::Workspace* workspace =
    config::FindWorkspace(aSnapshot.m_effective->m_workspaces, job.m_call.workspace);
  job.m_call.priority =
    workspace == nullptr ? aRoute.m_priority : workspace->m_priority.value_or(aRoute.m_priority);
  job.m_call.route = aRoute.m_name;
  const double assumedAnswer = aRoute.m_largeAnswers ? kLargeAnswerKilobytes : 0;
  job.m_estimatedKilobytes =
    kHeadersKilobytes + static_cast<double>(aRequest.body().size()) / kKilobyte +
    routing::AverageOf(m_answerKilobytes, aRoute.m_name).value_or(assumedAnswer);
  return job;
}

HttpResponse
CallProxy::RefuseNotReady(const HttpRequest& aRequest)
{
  constexpr std::string_view kNotReady = "this node is not ready yet; try another node or later";
  const auto snapshot = m_shared.m_snapshot.load();
  CountOutcome(CallOutcome::NotRun);
  LogRejectedRequest(aRequest[adapter::kRequestId], kNotReady, snapshot ? snapshot->m_version : 0);
  HttpResponse response =
    MakeProblem(http::status::service_unavailable, CallOutcome::NotRun, kNotReady);
  response.set(http::field::retry_after, "0.3");
  return response;
}

Awaitable<HttpResponse>
CallProxy::Route(HttpRequest aRequest)
{
  co_await HoldWhileControlStale();
  // One snapshot from here to the end of the call.
  std::shared_ptr<const config::Snapshot> snapshot = m_shared.m_snapshot.load();
  if (!m_shared.m_ready.load() || !snapshot) {
    co_return RefuseNotReady(aRequest);
  }
  if (const auto wanted = ParseNumber(aRequest["Sequoiastep-Version"])) {
    co_await HoldForVersion(*wanted);
    snapshot = m_shared.m_snapshot.load();
  }
  const config::Route* route = config::FindRoute(*snapshot->m_effective, RouteQueryOf(aRequest));
  if (route == nullptr) {
    CountOutcome(CallOutcome::NotRun);
    LogRejectedRequest(aRequest[adapter::kRequestId], "no route", snapshot->m_version);
    co_return MakeProblem(
      http::status::not_found,
      CallOutcome::NotRun,
      fmt::format("version {} has no route for this path and method", snapshot->m_version));
  }
  CallJob job = MakeJob(aRequest, *snapshot, *route);
  auto refusal = co_await TakeQuotaToken(snapshot, job);
  if (refusal) {
    co_return std::move(*refusal);
  }
  HttpResponse response = co_await RunJob(std::move(job));
  response.set("Sequoiastep-Version", std::to_string(snapshot->m_version));
  co_return response;
}

// Runs a call at the target beside this node. If this coroutine is cancelled, a call that may run
// only once and was dispatched runs to its end.
Awaitable<AnswerT>
CallProxy::RunAtLocalTarget(CallT aCall)
{
  struct PendingRun
  {
    explicit PendingRun(asio::io_context& aContext)
      : m_done(aContext, std::chrono::steady_clock::time_point::max())
    {
    }
    asio::steady_timer m_done;
    std::optional<AnswerT> m_answer;
  };
  auto pending = std::make_shared<PendingRun>(m_context);
  const auto run = MakeTargetRun(aCall);
  m_localRuns.insert(run);
  struct AbandonGuard
  {
    CallProxy& m_proxy;
    std::shared_ptr<PendingRun> m_pending;
    std::shared_ptr<TargetRun> m_run;
    ~AbandonGuard()
    {
      m_proxy.m_localRuns.erase(m_run);
      if (!m_pending->m_answer) {
        Abandon(*m_run);
      }
    }
  };
  const AbandonGuard guard{ .m_proxy = *this, .m_pending = pending, .m_run = run };
  asio::co_spawn(
    m_context,
    m_runner.Run(std::move(aCall), m_identity.m_node, run),
    asio::bind_cancellation_slot(
      run->m_cancel.slot(), [pending, run](const std::exception_ptr& aFailure, AnswerT aAnswer) {
        if (aFailure) {
          aAnswer = AnswerT();
          aAnswer.outcome = CallOutcome::Unknown;
          aAnswer.reason = "the call was broken off";
        }
        pending->m_answer = std::move(aAnswer);
        pending->m_done.cancel();
      }));
  co_await pending->m_done.async_wait(kAsTuple);
  if (!pending->m_answer) {
    // The wait was cancelled because the caller disconnected.
    AnswerT unknown;
    unknown.outcome = CallOutcome::Unknown;
    unknown.arrived = run->m_dispatched;
    unknown.reason = "the caller left";
    co_return unknown;
  }
  co_return std::move(*pending->m_answer);
}

Awaitable<AnswerT>
CallProxy::RunAttempt(const CallJob& aJob, const routing::Candidate& aTarget)
{
  CallT call = aJob.m_call;
  const Milliseconds left = std::max<Milliseconds>(1, DeadlineOf(aJob) - Clock::Now());
  call.timeout_ms = static_cast<std::uint32_t>(left);
  call.objective_ms = static_cast<std::int32_t>(aJob.m_objective - Clock::Now());
  if (aTarget.m_node == m_identity.m_node) {
    AnswerT answer = co_await RunAtLocalTarget(std::move(call));
    co_return answer;
  }
  if (const auto known = m_noticeMemory.find(aTarget.m_node); known != m_noticeMemory.end()) {
    call.remembered = ToWire(known->second.m_stated);
  }
  const bool crossesRegion = aTarget.m_region != m_identity.m_region;
  const std::size_t sentBytes = call.body.size();
  CallReply reply = co_await m_links.Call(
    aTarget.m_node, aTarget.m_address, std::move(call), left + kAnswerGraceMs);
  if (crossesRegion) {
    m_shared.m_calls.m_crossRegionBytes.fetch_add(sentBytes + reply.m_answer.body.size());
  }
  if (const auto& notice = reply.m_answer.notice;
      notice && reply.m_kind == CallReply::Kind::Answered) {
    routing::Remember(m_noticeMemory, aTarget.m_node, FromWire(*notice), Clock::Now());
  }
  co_return AnswerFrom(std::move(reply));
}

// Classifies the answer of an attempt and updates the target's statistics.
AttemptOutcome
CallProxy::RecordOutcome(const CallJob& aJob,
                         const AnswerT& aAnswer,
                         const std::string& aNode,
                         std::int64_t aElapsedUs)
{
  const Instant now = Clock::Now();
  const AttemptOutcome outcome = AttemptOutcomeOf(aAnswer);
  switch (outcome) {
    case AttemptOutcome::Done:
    case AttemptOutcome::Failed:
      LogTargetTrusted(aNode);
      RecordAnswer(aJob, aAnswer, aNode, aElapsedUs);
      break;
    case AttemptOutcome::Overloaded:
      routing::RecordOverload(m_pickState, aNode, LoadReportOf(aAnswer), now, m_random);
      break;
    case AttemptOutcome::NotRun:
    case AttemptOutcome::TurnedAway:
    case AttemptOutcome::Unknown:
      routing::RecordFailure(m_pickState, aNode, now, m_random);
      LogTargetAvoided(aNode, aAnswer.reason);
      break;
  }
  return outcome;
}

// Server errors may return sooner than regular answers, so they are left out of the run times.
void
CallProxy::RecordAnswer(const CallJob& aJob,
                        const AnswerT& aAnswer,
                        const std::string& aNode,
                        std::int64_t aElapsedUs)
{
  routing::AnswerTimes times{ .m_latencyUs = aElapsedUs, .m_heldUs = aAnswer.held_us };
  if (!IsServerError(aAnswer)) {
    times.m_ranUs = aAnswer.ran_us;
    times.m_routeAverageUs = routing::AverageOf(m_runUs, aJob.m_call.route).value_or(0);
    routing::AddSample(m_runUs, aJob.m_call.route, aAnswer.ran_us);
  }
  routing::RecordAnswer(m_pickState, aNode, times, LoadReportOf(aAnswer), Clock::Now());
}

// Logs that a target is no longer avoided, since it answered after failures.
void
CallProxy::LogTargetTrusted(const std::string& aNode) const
{
  const routing::TargetStats* stats = routing::FindStats(m_pickState, aNode);
  if (stats != nullptr && stats->m_failures > 0) {
    LogLine(LogLevel::Info, "target_trusted", aNode)
      .Add("at", aNode)
      .Add("failures_before", stats->m_failures);
  }
}

// Logs that a target is avoided for a while after a failure.
void
CallProxy::LogTargetAvoided(const std::string& aNode, const std::string& aReason) const
{
  const routing::TargetStats* stats = routing::FindStats(m_pickState, aNode);
  LogLine(LogLevel::Info, "target_avoided", aNode)
    .Add("at", aNode)
    .Add("failures", stats->m_failures)
    .Add("for_ms", stats->m_avoidUntil - Clock::Now())
    .Add("reason", aReason);
}

routing::PickRequest
CallProxy::PickRequestFor(const CallJob& aJob) const
{
  return { .m_region = m_identity.m_region,
           .m_failureDomain = m_identity.m_failureDomain,
           .m_crossRegion = aJob.m_crossRegion,
           .m_kilobytes = aJob.m_estimatedKilobytes,
           .m_largeBody = aJob.m_call.body.size() > net::kMaxSmallBodyBytes,
           .m_routeAverageUs = routing::AverageOf(m_runUs, aJob.m_call.route).value_or(0),
           .m_objectiveMs = aJob.m_objective - Clock::Now() };
}

// Runs one attempt and updates the target's statistics, also if the coroutine is cancelled.
Awaitable<AttemptOutcome>
CallProxy::TryTarget(const CallJob& aJob, const routing::Candidate& aTarget, AnswerT& aAnswer)
{
  struct StatsGuard
  {
    routing::PickState& m_pickState;
    const std::string& m_node;
    bool m_recorded = false;
    ~StatsGuard()
    {
      if (!m_recorded) {
        routing::RecordAbandoned(m_pickState, m_node);
      }
    }
  };
  const std::int64_t startUs = Clock::NowMicroseconds();
  routing::RecordDispatch(m_pickState, aTarget.m_node);
  StatsGuard guard{ .m_pickState = m_pickState, .m_node = aTarget.m_node };
  aAnswer = co_await RunAttempt(aJob, aTarget);
  guard.m_recorded = true;
  co_return RecordOutcome(aJob, aAnswer, aTarget.m_node, Clock::NowMicroseconds() - startUs);
}

// Picks the target of the next attempt, or nothing if none is left, and sets the call's maximum
// wait for a slot there. The first attempt of a trial goes to the new version if a target of it can
// be picked.
std::optional<routing::Candidate>
CallProxy::NextTarget(CallJob& aJob, CallAttempts& aAttempts)
{
  const auto view = m_shared.m_view.load();
  std::optional<routing::Candidate> target = PlaceTrial(*view, aJob, aAttempts);
  const auto service = view->m_services.find(aJob.m_call.service);
  if (!target && service != view->m_services.end()) {
    target = PlaceAmong(service->second, aJob, aAttempts);
  }
  if (!target) {
    aAttempts.m_retryDecision = RetryDecision::StopNoTarget;
    return std::nullopt;
  }
  if (aAttempts.m_retryContext.m_handovers > 0) {
    m_shared.m_calls.m_retries.fetch_add(1, std::memory_order_relaxed);
  }
  aAttempts.m_lastNode = target->m_node;
  aAttempts.m_lastPlace =
    routing::LocalityOf(*target, m_identity.m_region, m_identity.m_failureDomain);
  ++aAttempts.m_retryContext.m_handovers;
  return target;
}

std::optional<routing::Candidate>
CallProxy::PlaceAmong(const std::vector<routing::Candidate>& aCandidates,
                      CallJob& aJob,
                      CallAttempts& aAttempts)
{
  const auto placed = routing::Place(
    aAttempts.m_placement, aCandidates, m_pickState, PickRequestFor(aJob), Clock::Now(), m_random);
  if (!placed) {
    return std::nullopt;
  }
  aJob.m_call.most_wait_ms = static_cast<std::uint32_t>(placed->m_maxWaitMs);
  return aCandidates[placed->m_index];
}

// Records the result of an attempt and decides whether another one follows.
void
CallProxy::HandleAttemptResult(const CallJob& aJob, CallAttempts& aAttempts, AnswerT aAnswer)
{
  routing::RetryBudget& budget = BudgetOf(aJob.m_call.service);
  const bool targetFull = aAttempts.m_retryContext.m_outcome == AttemptOutcome::Overloaded;
  routing::Placement& placement = aAttempts.m_placement;
  (targetFull ? placement.m_fullNodes : placement.m_excludedNodes).insert(aAttempts.m_lastNode);
  const bool charged = aAttempts.m_retryDecision == RetryDecision::TryCharged;
  if (charged && !aAnswer.arrived) {
    routing::RefundRetry(budget, Clock::Now());
  }
  aAttempts.m_retryContext.m_arrivals += aAnswer.arrived ? 1 : 0;
  aAttempts.m_retryContext.m_leftMs = DeadlineOf(aJob) - Clock::Now();
  aAttempts.m_retryDecision =
    targetFull && placement.m_anyWait
      ? RetryDecision::StopFull
      : routing::DecideRetry(budget, aAttempts.m_retryContext, Clock::Now());
  if (aAttempts.m_retryContext.m_outcome != AttemptOutcome::Done) {
    LogFailedAttempt(aJob, aAttempts, aAnswer, routing::RetriesLeft(budget, Clock::Now()));
  }
  // An earlier target may have run the call, so a retry that reached no target does not replace
  // that attempt's answer.
  if (!charged || aAnswer.arrived) {
    aAttempts.m_answer = std::move(aAnswer);
  }
}

Awaitable<HttpResponse>
CallProxy::RunJob(CallJob aJob)
{
  const Span span(TraceOf(aJob.m_call), "route", m_random);
  aJob.m_call.parent_span = span.Context().m_parentSpan;
  routing::RecordRequest(BudgetOf(aJob.m_call.service), Clock::Now());
  CallAttempts attempts;
  attempts.m_answer.outcome = CallOutcome::NotRun;
  attempts.m_answer.reason = "the service has no target now";
  attempts.m_retryContext.m_repeat = aJob.m_repeat;
  attempts.m_retryContext.m_handovers = 0;
  attempts.m_retryContext.m_maxAttempts = aJob.m_maxAttempts;
  if (m_rolloutCalls) {
    BeginTrial(aJob, attempts);
  }
  CallerLeftGuard leftGuard(aJob, attempts);
  while (!routing::IsStop(attempts.m_retryDecision)) {
    const auto target = NextTarget(aJob, attempts);
    if (!target) {
      break;
    }
    AnswerT answer;
    attempts.m_retryContext.m_outcome = co_await TryTarget(aJob, *target, answer);
    if (attempts.m_trial) {
      EndTrial(aJob, attempts, answer.arrived);
    }
    HandleAttemptResult(aJob, attempts, std::move(answer));
  }
  leftGuard.Dismiss();
  if (m_rolloutCalls) {
    m_rolloutCalls->RecordCallEnd(aJob, attempts.m_answer);
  }
  ReturnUnusedToken(aJob, attempts);
  RecordCallEnd(aJob, attempts, span.ElapsedUs());
  span.End(NameOf(attempts.m_answer.outcome), attempts.m_lastNode);
  co_return Respond(aJob, attempts.m_answer);
}

void
CallProxy::RecordCallEnd(const CallJob& aJob,
                         const CallAttempts& aAttempts,
                         std::int64_t aElapsedUs)
{
  m_metrics.RecordCall(aJob, aAttempts, aElapsedUs);
  LogCallEnd(aJob, aAttempts);
  if (aAttempts.m_answer.outcome == CallOutcome::Done) {
    const auto bytes = static_cast<double>(aAttempts.m_answer.body.size());
    routing::AddSample(m_answerKilobytes, aJob.m_call.route, bytes / kKilobyte);
  }
}

HttpResponse
CallProxy::Respond(const CallJob& aJob, const AnswerT& aAnswer)
{
  CountOutcome(aAnswer.outcome);
  if (aAnswer.outcome == CallOutcome::Done) {
    return ResponseFrom(aAnswer);
  }
  HttpResponse response;
  if (aAnswer.outcome == CallOutcome::NotRun) {
    response = MakeProblem(http::status::service_unavailable,
                           aAnswer.outcome,
                           aAnswer.reason + "; it is safe to send the request again");
    Milliseconds after =
      aAnswer.retry_after_ms > 0
        ? static_cast<Milliseconds>(aAnswer.retry_after_ms)
        : kRetryAfterMinMs + static_cast<Milliseconds>(m_random.Below(kRetryAfterJitterMs));
    if (m_drainPlan) {
      after = routing::RetryAfterInDrain(*m_drainPlan, after, Clock::Now());
    }
    response.set(http::field::retry_after,
                 fmt::format("{:.3f}", static_cast<double>(after) / kMillisecondsPerSecond));
  } else {
    const bool late = aAnswer.timed_out || Clock::Now() >= aJob.m_deadline;
    response = MakeProblem(late ? http::status::gateway_timeout : http::status::bad_gateway,
                           aAnswer.outcome,
                           aAnswer.reason +
                             "; it may have been run, ask the service before sending it again");
  }
  if (!aJob.m_call.request_id.empty()) {
    response.set(adapter::kRequestId, aJob.m_call.request_id);
  }
  return response;
}

} // namespace sequoiastep::node
