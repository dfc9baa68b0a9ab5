// Calls that enter at this node: their route, the targets they are handed to, and what callers get.
#include "Address.h"
#include "CallLog.h"
#include "CallsDuty.h"
#include "CallsDutyPriv.h"
#include "Headers.h"
#include "Log.h"
#include "Names.h"
#include "Problem.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/beast/http/field.hpp>
#include <charconv>
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

// The node beside the target keeps the deadline itself; its answer is truer than a timeout here.
constexpr Milliseconds kAnswerGraceMs = 30;
// More than any caller waits.
constexpr std::uint64_t kLongestWaitMs = 86'400'000;
// When a caller that was turned away may come back, if nothing tells better.
constexpr Milliseconds kRetryAfterLeastMs = 150;
constexpr std::uint64_t kRetryAfterSpreadMs = 250;
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kKilobyte = 1000;
// Headers of a request and its answer.
constexpr double kMessageKilobytes = 1;
// What is assumed of a route with large answers before the first one.
constexpr double kLargeKilobytes = 64;
// Targets that are asked for a place with a short wait before a longer one is accepted.
constexpr std::uint32_t kShortWaitTries = 3;
constexpr std::uint32_t kAnyWait = 0xffffffffU;
constexpr Milliseconds kShortWaitMs = 40;

std::optional<std::uint64_t>
NumberHeader(const HttpRequest& aRequest, std::string_view aName)
{
  const std::string_view text = aRequest[aName];
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

config::RouteQuery
QueryOf(const HttpRequest& aRequest)
{
  return { .m_host = aRequest[http::field::host],
           .m_method = aRequest.method_string(),
           .m_path = net::PathOf(aRequest.target()) };
}

// The least of the route's timeout and what the caller says it will wait.
Milliseconds
TimeLeft(const HttpRequest& aRequest, const config::Route& aRoute)
{
  auto left = static_cast<Milliseconds>(aRoute.m_timeoutMs);
  for (const std::string_view name :
       { std::string_view("Sequoiastep-Timeout-Ms"), adapter::kDeadlineMs }) {
    if (const auto waits = NumberHeader(aRequest, name)) {
      const auto most = std::min<std::uint64_t>(*waits, kLongestWaitMs);
      left = std::min(left, routing::CallTimeout(static_cast<Milliseconds>(most)));
    }
  }
  return left;
}

routing::LoadReport
ReportOf(const AnswerT& aAnswer)
{
  return { .m_load = aAnswer.outstanding, .m_serviceUs = aAnswer.service_us };
}

AttemptOutcome
OutcomeOf(const AnswerT& aAnswer)
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
CallsDuty::MayOverlap(const HttpRequest& aRequest) const
{
  const auto snapshot = m_shared.m_snapshot.load();
  const config::Route* route =
    snapshot ? config::FindRoute(*snapshot->m_effective, QueryOf(aRequest)) : nullptr;
  return route != nullptr && route->m_repeat == config::Repeat::Safe;
}

routing::RetryBudget&
CallsDuty::BudgetOf(const std::string& aService)
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
CallsDuty::MakeJob(const HttpRequest& aRequest,
                   const config::Snapshot& aSnapshot,
                   const config::Route& aRoute)
{
  const std::size_t place = routing::NextCluster(m_weightTurns, aRoute, m_random);
  const config::Cluster& cluster =
    aSnapshot.m_effective->m_clusters.find(aRoute.m_clusters[place].m_cluster)->second;
  const TraceContext trace = ParseTraceparent(aRequest["traceparent"])
                               .value_or(StartTrace(m_random, m_settings.m_traceSample));
  CallJob job;
  job.m_crossRegion = cluster.m_crossRegion;
  job.m_repeat = aRoute.m_repeat;
  job.m_largeAnswers = aRoute.m_largeAnswers;
  job.m_maxAttempts = aRoute.m_maxAttempts;
  job.m_startedAt = Clock::Now();
  job.m_deadline = job.m_startedAt + TimeLeft(aRequest, aRoute);
  job.m_objective = job.m_startedAt + aRoute.m_objectiveMs;
  job.m_call.service = cluster.m_service;
  job.m_call.method = aRequest.method_string();
  job.m_call.target = aRequest.target();
  job.m_call.headers = EndToEndHeaders(aRequest);
  job.m_call.body.assign(aRequest.body().begin(), aRequest.body().end());
  job.m_call.version = aSnapshot.m_version;
  job.m_call.trace_high = trace.m_traceHigh;
  job.m_call.trace_low = trace.m_traceLow;
  job.m_call.parent_span = trace.m_parent;
  job.m_call.sampled = trace.m_sampled;
  job.m_call.caller_service = m_settings.m_targetService;
  job.m_call.request_id = aRequest[adapter::kRequestId];
  job.m_call.repeatable = aRoute.m_repeat == config::Repeat::Safe;
  job.m_call.priority = aRoute.m_priority;
  job.m_call.route = aRoute.m_name;
  const double usual = aRoute.m_largeAnswers ? kLargeKilobytes : 0;
  job.m_kilobytes = kMessageKilobytes + static_cast<double>(aRequest.body().size()) / kKilobyte +
                    routing::AverageOf(m_answerKilobytes, aRoute.m_name).value_or(usual);
  return job;
}

Awaitable<HttpResponse>
CallsDuty::Route(HttpRequest aRequest)
{
  co_await HoldWhileStale();
  // One snapshot from here to the end of the call.
  std::shared_ptr<const config::Snapshot> snapshot = m_shared.m_snapshot.load();
  if (!m_shared.m_ready.load() || !snapshot) {
    constexpr std::string_view kNotReady = "this node is not ready yet; try another node or later";
    CountOutcome(CallOutcome::NotRun);
    LogRejected(aRequest[adapter::kRequestId], kNotReady, snapshot ? snapshot->m_version : 0);
    HttpResponse response =
      MakeProblem(http::status::service_unavailable, CallOutcome::NotRun, kNotReady);
    response.set(http::field::retry_after, "0.3");
    co_return response;
  }
  if (const auto wanted = NumberHeader(aRequest, "Sequoiastep-Version")) {
    co_await HoldForVersion(*wanted);
    snapshot = m_shared.m_snapshot.load();
  }
  const config::Route* route = config::FindRoute(*snapshot->m_effective, QueryOf(aRequest));
  if (route == nullptr) {
    CountOutcome(CallOutcome::NotRun);
    LogRejected(aRequest[adapter::kRequestId], "no route", snapshot->m_version);
    co_return MakeProblem(
      http::status::not_found,
      CallOutcome::NotRun,
      fmt::format("version {} has no route for this path and method", snapshot->m_version));
  }
  CallJob job = MakeJob(aRequest, *snapshot, *route);
  HttpResponse response = co_await RunJob(std::move(job));
  response.set("Sequoiastep-Version", std::to_string(snapshot->m_version));
  co_return response;
}

// Runs a call at the target beside this node. If this coroutine is cancelled, what may run only
// once and was started goes on without it.
Awaitable<AnswerT>
CallsDuty::RunHere(CallT aCall)
{
  struct Waiting
  {
    explicit Waiting(asio::io_context& aContext)
      : m_done(aContext, std::chrono::steady_clock::time_point::max())
    {
    }
    asio::steady_timer m_done;
    std::optional<AnswerT> m_answer;
  };
  auto waiting = std::make_shared<Waiting>(m_context);
  const auto run = MakeTargetRun(aCall);
  struct Leave
  {
    std::shared_ptr<Waiting> m_waiting;
    std::shared_ptr<TargetRun> m_run;
    ~Leave()
    {
      if (!m_waiting->m_answer) {
        Abandon(*m_run);
      }
    }
  };
  const Leave leave{ .m_waiting = waiting, .m_run = run };
  asio::co_spawn(
    m_context,
    m_runner.Run(std::move(aCall), m_identity.m_node, run),
    asio::bind_cancellation_slot(
      run->m_cancel.slot(), [waiting, run](const std::exception_ptr& aFailure, AnswerT aAnswer) {
        if (aFailure) {
          aAnswer = AnswerT();
          aAnswer.outcome = CallOutcome::Unknown;
          aAnswer.reason = "the call was broken off";
        }
        waiting->m_answer = std::move(aAnswer);
        waiting->m_done.cancel();
      }));
  co_await waiting->m_done.async_wait(kAsTuple);
  if (!waiting->m_answer) {
    // The wait was cancelled: the caller left.
    AnswerT unknown;
    unknown.outcome = CallOutcome::Unknown;
    unknown.arrived = run->m_dispatched;
    unknown.reason = "the caller left";
    co_return unknown;
  }
  co_return std::move(*waiting->m_answer);
}

Awaitable<AnswerT>
CallsDuty::Attempt(const CallJob& aJob, const routing::Candidate& aTarget)
{
  CallT call = aJob.m_call;
  const Milliseconds left = std::max<Milliseconds>(1, aJob.m_deadline - Clock::Now());
  call.timeout_ms = static_cast<std::uint32_t>(left);
  call.objective_ms = static_cast<std::int32_t>(aJob.m_objective - Clock::Now());
  if (aTarget.m_node == m_identity.m_node) {
    AnswerT answer = co_await RunHere(std::move(call));
    co_return answer;
  }
  const bool foreign = aTarget.m_region != m_identity.m_region;
  const std::size_t sentBytes = call.body.size();
  CallReply reply = co_await m_links.Call(
    aTarget.m_node, aTarget.m_address, std::move(call), left + kAnswerGraceMs);
  if (foreign) {
    m_shared.m_calls.m_crossRegionBytes.fetch_add(sentBytes + reply.m_answer.body.size());
  }
  AnswerT answer;
  switch (reply.m_kind) {
    case CallReply::Kind::Answered:
      co_return std::move(reply.m_answer);
    case CallReply::Kind::NotSent:
      answer.outcome = CallOutcome::NotRun;
      answer.reason = "the node beside the target can't be reached";
      break;
    case CallReply::Kind::LinkBroken:
      answer.outcome = CallOutcome::Unknown;
      answer.arrived = true;
      answer.reason = "the link to the node beside the target broke after the call was sent";
      break;
    case CallReply::Kind::TimedOut:
      answer.outcome = CallOutcome::Unknown;
      answer.arrived = true;
      answer.timed_out = true;
      answer.reason = "no answer came within the deadline";
      break;
  }
  co_return answer;
}

AttemptOutcome
CallsDuty::Judge(const CallJob& aJob,
                 const AnswerT& aAnswer,
                 const std::string& aNode,
                 std::int64_t aElapsedUs)
{
  const Instant now = Clock::Now();
  const AttemptOutcome outcome = OutcomeOf(aAnswer);
  switch (outcome) {
    case AttemptOutcome::Done:
    case AttemptOutcome::Failed:
      LogTrusted(aNode);
      NoteRun(aJob, aAnswer, aNode, aElapsedUs);
      break;
    case AttemptOutcome::Overloaded:
      routing::RecordOverload(m_picks, aNode, ReportOf(aAnswer), now);
      break;
    case AttemptOutcome::NotRun:
    case AttemptOutcome::TurnedAway:
    case AttemptOutcome::Unknown:
      routing::RecordFailure(m_picks, aNode, now, m_random);
      LogAvoided(aNode, aAnswer.reason);
      break;
  }
  return outcome;
}

// A target's own error may come sooner than an answer would, so only answers tell of speed.
void
CallsDuty::NoteRun(const CallJob& aJob,
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
  routing::RecordAnswer(m_picks, aNode, times, ReportOf(aAnswer), Clock::Now());
}

void
CallsDuty::LogTrusted(const std::string& aNode) const
{
  const routing::TargetStats* stats = routing::FindStats(m_picks, aNode);
  if (stats != nullptr && stats->m_failures > 0) {
    LogLine(LogLevel::Info, "target_trusted", aNode)
      .Add("at", aNode)
      .Add("failures_before", stats->m_failures);
  }
}

void
CallsDuty::LogAvoided(const std::string& aNode, const std::string& aReason) const
{
  const routing::TargetStats* stats = routing::FindStats(m_picks, aNode);
  LogLine(LogLevel::Info, "target_avoided", aNode)
    .Add("at", aNode)
    .Add("failures", stats->m_failures)
    .Add("for_ms", stats->m_avoidUntil - Clock::Now())
    .Add("reason", aReason);
}

std::optional<routing::Candidate>
CallsDuty::PickTarget(const CallJob& aJob, const std::set<std::string, std::less<>>& aTried)
{
  const auto view = m_shared.m_view.load();
  const auto service = view->m_services.find(aJob.m_call.service);
  if (service == view->m_services.end()) {
    return std::nullopt;
  }
  const auto picked =
    routing::Pick(service->second,
                  m_picks,
                  { .m_region = m_identity.m_region,
                    .m_failureDomain = m_identity.m_failureDomain,
                    .m_crossRegion = aJob.m_crossRegion,
                    .m_tried = &aTried,
                    .m_kilobytes = aJob.m_kilobytes,
                    .m_routeAverageUs = routing::AverageOf(m_runUs, aJob.m_call.route).value_or(0),
                    .m_objectiveMs = aJob.m_objective - Clock::Now() },
                  Clock::Now(),
                  m_random);
  return picked ? std::optional(service->second[*picked]) : std::nullopt;
}

// One attempt, with what it shows of the target noted however it ends.
Awaitable<AttemptOutcome>
CallsDuty::TryTarget(const CallJob& aJob, const routing::Candidate& aTarget, AnswerT& aAnswer)
{
  struct Leave
  {
    routing::PickState& m_picks;
    const std::string& m_node;
    bool m_judged = false;
    ~Leave()
    {
      if (!m_judged) {
        routing::RecordAbandoned(m_picks, m_node);
      }
    }
  };
  const std::int64_t startUs = Clock::NowMicroseconds();
  routing::RecordDispatch(m_picks, aTarget.m_node);
  Leave leave{ .m_picks = m_picks, .m_node = aTarget.m_node };
  aAnswer = co_await Attempt(aJob, aTarget);
  leave.m_judged = true;
  co_return Judge(aJob, aAnswer, aTarget.m_node, Clock::NowMicroseconds() - startUs);
}

// How long a call may wait at a target while others may have room: what moving it would cost.
Milliseconds
CallsDuty::ShortWait(const CallJob& aJob) const
{
  const routing::TransferCosts prices;
  return kShortWaitMs + static_cast<Milliseconds>(aJob.m_kilobytes * prices.m_crossDomainMsPerKb);
}

// The next target for a call, or nothing if none is left. Tells the call how long it may wait
// there.
std::optional<routing::Candidate>
CallsDuty::NextTarget(CallJob& aJob, CallAttempts& aAttempts)
{
  auto target = PickTarget(aJob, aAttempts.m_failed);
  if (!target) {
    aAttempts.m_verdict = RetryDecision::StopNoTarget;
    return std::nullopt;
  }
  // A target that had no room and is still the best one is worth its wait.
  aAttempts.m_lastRound = aAttempts.m_hadNoRoom.contains(target->m_node) ||
                          aAttempts.m_hadNoRoom.size() >= kShortWaitTries;
  aJob.m_call.most_wait_ms =
    aAttempts.m_lastRound ? kAnyWait : static_cast<std::uint32_t>(ShortWait(aJob));
  if (aAttempts.m_question.m_handovers > 0) {
    m_shared.m_calls.m_retries.fetch_add(1, std::memory_order_relaxed);
  }
  aAttempts.m_lastNode = target->m_node;
  aAttempts.m_lastPlace =
    routing::LocalityOf(*target, m_identity.m_region, m_identity.m_failureDomain);
  ++aAttempts.m_question.m_handovers;
  return target;
}

// Takes what came of an attempt and decides whether there is another one.
void
CallsDuty::TakeAttempt(const CallJob& aJob, CallAttempts& aAttempts, AnswerT aNext)
{
  routing::RetryBudget& budget = BudgetOf(aJob.m_call.service);
  const bool hadNoRoom = aAttempts.m_question.m_outcome == AttemptOutcome::Overloaded;
  (hadNoRoom ? aAttempts.m_hadNoRoom : aAttempts.m_failed).insert(aAttempts.m_lastNode);
  const bool charged = aAttempts.m_verdict == RetryDecision::TryCharged;
  if (charged && !aNext.arrived) {
    routing::RefundRetry(budget, Clock::Now());
  }
  aAttempts.m_question.m_arrivals += aNext.arrived ? 1 : 0;
  aAttempts.m_question.m_leftMs = aJob.m_deadline - Clock::Now();
  aAttempts.m_verdict = hadNoRoom && aAttempts.m_lastRound
                          ? RetryDecision::StopFull
                          : routing::DecideRetry(budget, aAttempts.m_question, Clock::Now());
  if (aAttempts.m_question.m_outcome != AttemptOutcome::Done) {
    LogAttempt(aJob, aAttempts, aNext, routing::RetriesLeft(budget, Clock::Now()));
  }
  // What an earlier target may have done outweighs that a later one did nothing.
  if (!charged || aNext.arrived) {
    aAttempts.m_answer = std::move(aNext);
  }
}

Awaitable<HttpResponse>
CallsDuty::RunJob(CallJob aJob)
{
  const Span span(TraceOf(aJob.m_call), "route", m_random);
  aJob.m_call.parent_span = span.Context().m_parent;
  routing::RecordRequest(BudgetOf(aJob.m_call.service), Clock::Now());
  CallAttempts attempts;
  attempts.m_answer.outcome = CallOutcome::NotRun;
  attempts.m_answer.reason = "the service has no target now";
  attempts.m_question.m_repeat = aJob.m_repeat;
  attempts.m_question.m_handovers = 0;
  attempts.m_question.m_maxAttempts = aJob.m_maxAttempts;
  CallerWatch watch(aJob, attempts);
  while (!routing::IsStop(attempts.m_verdict)) {
    const auto target = NextTarget(aJob, attempts);
    if (!target) {
      break;
    }
    AnswerT next;
    attempts.m_question.m_outcome = co_await TryTarget(aJob, *target, next);
    TakeAttempt(aJob, attempts, std::move(next));
  }
  watch.End();
  NoteEnd(aJob, attempts, span.ElapsedUs());
  span.End(NameOf(attempts.m_answer.outcome), attempts.m_lastNode);
  co_return Respond(aJob, attempts.m_answer);
}

void
CallsDuty::NoteEnd(const CallJob& aJob, const CallAttempts& aAttempts, std::int64_t aElapsedUs)
{
  m_metrics.NoteCall(aJob, aAttempts, aElapsedUs);
  LogEnd(aJob, aAttempts);
  if (aAttempts.m_answer.outcome == CallOutcome::Done) {
    const auto bytes = static_cast<double>(aAttempts.m_answer.body.size());
    routing::AddSample(m_answerKilobytes, aJob.m_call.route, bytes / kKilobyte);
  }
}

HttpResponse
CallsDuty::Respond(const CallJob& aJob, const AnswerT& aAnswer)
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
    const Milliseconds after =
      aAnswer.retry_after_ms > 0
        ? static_cast<Milliseconds>(aAnswer.retry_after_ms)
        : kRetryAfterLeastMs + static_cast<Milliseconds>(m_random.Below(kRetryAfterSpreadMs));
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
