// Requests of callers: picks route and targets, retries, and makes the response.
#include "Address.h"
#include "CallLog.h"
#include "CallProxy.h"
#include "CallProxyPriv.h"
#include "CallerAccess.h"
#include "Headers.h"
#include "Log.h"
#include "Names.h"
#include "ParseNumber.h"
#include "Problem.h"

#include <boost/beast/http/field.hpp>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace http = net::http;
using net::Awaitable;
using net::HttpRequest;
using net::HttpResponse;
using routing::AttemptOutcome;
using wire::AnswerT;
using wire::CallOutcome;

namespace {

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

// Whether the answer of an attempt that ended is more to the caller than those before it. Any
// earlier target may have run the call, so an attempt that reached none does not replace its
// answer; nor does a lost answer replace a target's error.
bool
ReplacesAnswer(const CallAttempts& aAttempts, const AnswerT& aAnswer)
{
  if (!aAnswer.arrived) {
    return aAttempts.m_progress.m_context.m_arrivals == 0;
  }
  return aAnswer.outcome == CallOutcome::Done || aAttempts.m_answer.outcome != CallOutcome::Done;
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

// Makes the next attempt, or nothing if no target is left. The first attempt of a trial goes to the
// new version if a target of it can be picked.
CallAttemptPtr
CallProxy::NextAttempt(const CallJob& aJob, CallAttempts& aAttempts)
{
  const auto view = m_shared.m_view.load();
  CallAttemptPtr attempt = PlaceTrial(*view, aJob, aAttempts);
  const auto service = view->m_services.find(aJob.m_call.service);
  if (!attempt && service != view->m_services.end()) {
    attempt = PlaceAmong(service->second, aJob, aAttempts);
  }
  routing::CallProgress& progress = aAttempts.m_progress;
  if (!attempt) {
    routing::RecordNoTarget(progress, BudgetOf(aJob.m_call.service), Clock::Now());
    return nullptr;
  }
  if (progress.m_context.m_handovers > 0) {
    m_shared.m_calls.m_retries.fetch_add(1, std::memory_order_relaxed);
  }
  const routing::Candidate& target = attempt->m_target;
  aAttempts.m_lastNode = target.m_node;
  aAttempts.m_lastPlace =
    routing::LocalityOf(target, m_identity.m_region, m_identity.m_failureDomain);
  attempt->m_record = routing::RecordStart(progress);
  return attempt;
}

CallAttemptPtr
CallProxy::PlaceAmong(const std::vector<routing::Candidate>& aCandidates,
                      const CallJob& aJob,
                      CallAttempts& aAttempts)
{
  const auto placed = routing::Place(
    aAttempts.m_placement, aCandidates, m_pickState, PickRequestFor(aJob), Clock::Now(), m_random);
  if (!placed) {
    return nullptr;
  }
  auto attempt = std::make_shared<CallAttempt>();
  attempt->m_target = aCandidates[placed->m_index];
  attempt->m_maxWaitMs = placed->m_maxWaitMs;
  return attempt;
}

// The node beside an attempt's target fell silent. The attempt goes on, and a retry may be added.
void
CallProxy::HandleUnresponsive(const CallJob& aJob, CallAttempts& aAttempts, CallAttempt& aAttempt)
{
  const Instant now = Clock::Now();
  const std::string& node = aAttempt.m_target.m_node;
  routing::RetryBudget& budget = BudgetOf(aJob.m_call.service);
  m_shared.m_calls.m_unresponsive.fetch_add(1, std::memory_order_relaxed);
  routing::RecordUnresponsive(m_pickState, node, now, m_random);
  aAttempts.m_placement.m_excludedNodes.insert(node);
  routing::RecordUnresponsive(
    aAttempts.m_progress, aAttempt.m_record, budget, DeadlineOf(aJob) - now, now);
  LogUnresponsiveAttempt(aJob, aAttempts, node, routing::RetriesLeft(budget, now));
}

// Records the result of an attempt and decides whether another one follows.
void
CallProxy::HandleAttemptEnd(const CallJob& aJob, CallAttempts& aAttempts, CallAttempt& aAttempt)
{
  const Instant now = Clock::Now();
  routing::RetryBudget& budget = BudgetOf(aJob.m_call.service);
  const bool targetFull = aAttempt.m_outcome == AttemptOutcome::Overloaded;
  routing::Placement& placement = aAttempts.m_placement;
  (targetFull ? placement.m_fullNodes : placement.m_excludedNodes).insert(aAttempt.m_target.m_node);
  if (aAttempt.m_trial && !aAttempt.m_answer.arrived) {
    m_rolloutCalls->RefundTrial(*aAttempt.m_trial, aJob.m_call.route);
  }
  const routing::AttemptEnd end{ .m_outcome = aAttempt.m_outcome,
                                 .m_arrived = aAttempt.m_answer.arrived,
                                 .m_targetsFull = targetFull && placement.m_anyWait };
  routing::RecordEnd(
    aAttempts.m_progress, aAttempt.m_record, end, budget, DeadlineOf(aJob) - now, now);
  if (aAttempt.m_outcome != AttemptOutcome::Done) {
    LogFailedAttempt(aJob, aAttempts, aAttempt, routing::RetriesLeft(budget, now));
  }
  if (ReplacesAnswer(aAttempts, aAttempt.m_answer)) {
    aAttempts.m_answer = std::move(aAttempt.m_answer);
  }
}

// Waits until something happens to an attempt and takes account of it.
Awaitable<void>
CallProxy::HandleNextEvent(CallRace& aRace, const CallJob& aJob, CallAttempts& aAttempts)
{
  const AttemptEvent event = co_await aRace.Next();
  if (event.m_kind == AttemptEvent::Kind::Ended) {
    HandleAttemptEnd(aJob, aAttempts, *event.m_attempt);
  } else if (!event.m_attempt->m_ended) {
    HandleUnresponsive(aJob, aAttempts, *event.m_attempt);
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
  attempts.m_progress.m_context.m_repeat = aJob.m_repeat;
  attempts.m_progress.m_context.m_maxAttempts = aJob.m_maxAttempts;
  if (m_rolloutCalls) {
    BeginTrial(aJob, attempts);
  }
  // Attempts that are cancelled may outlive this coroutine.
  const auto job = std::make_shared<const CallJob>(std::move(aJob));
  CallerLeftGuard leftGuard(*job, attempts);
  CallRace race(m_context);
  while (!routing::IsFinished(attempts.m_progress)) {
    if (!routing::IsStop(attempts.m_progress.m_decision)) {
      if (const CallAttemptPtr attempt = NextAttempt(*job, attempts)) {
        race.Start(attempt, TryTarget(job, attempt, race.Events()));
      }
    } else {
      co_await HandleNextEvent(race, *job, attempts);
    }
  }
  leftGuard.Dismiss();
  if (m_rolloutCalls) {
    m_rolloutCalls->RecordCallEnd(*job, attempts.m_answer);
  }
  ReturnUnusedToken(*job, attempts);
  RecordCallEnd(*job, attempts, span.ElapsedUs());
  span.End(NameOf(attempts.m_answer.outcome), attempts.m_lastNode);
  co_return Respond(*job, attempts.m_answer);
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
