// One attempt of a call: runs it at its target, here or beside another node, and records what the
// answer says of the target.
#include "CallProxy.h"
#include "Log.h"
#include "NoticeWire.h"
#include "Problem.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <chrono>

namespace sequoiastep::node {

namespace asio = net::asio;
using net::Awaitable;
using net::kAsTuple;
using routing::AttemptOutcome;
using wire::AnswerT;
using wire::CallOutcome;
using wire::CallT;

namespace {

// The node beside the target enforces the deadline too, and its answer tells more than a timeout
// here; so this node waits for it a little longer.
constexpr Milliseconds kAnswerGraceMs = 30;

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
CallProxy::RunAttempt(const CallJob& aJob,
                      const CallAttempt& aAttempt,
                      CallLinks::OnSilent aOnSilent)
{
  const routing::Candidate& target = aAttempt.m_target;
  CallT call = aJob.m_call;
  call.most_wait_ms = static_cast<std::uint32_t>(aAttempt.m_maxWaitMs);
  const Milliseconds left = std::max<Milliseconds>(1, DeadlineOf(aJob) - Clock::Now());
  call.timeout_ms = static_cast<std::uint32_t>(left);
  call.objective_ms = static_cast<std::int32_t>(aJob.m_objective - Clock::Now());
  if (target.m_node == m_identity.m_node) {
    AnswerT answer = co_await RunAtLocalTarget(std::move(call));
    co_return answer;
  }
  if (const auto known = m_noticeMemory.find(target.m_node); known != m_noticeMemory.end()) {
    call.remembered = ToWire(known->second.m_stated);
  }
  const bool crossesRegion = target.m_region != m_identity.m_region;
  const std::size_t sentBytes = call.body.size();
  CallReply reply = co_await m_links.Call(
    target.m_node, target.m_address, std::move(call), left + kAnswerGraceMs, std::move(aOnSilent));
  if (crossesRegion) {
    m_shared.m_calls.m_crossRegionBytes.fetch_add(sentBytes + reply.m_answer.body.size());
  }
  if (const auto& notice = reply.m_answer.notice;
      notice && reply.m_kind == CallReply::Kind::Answered) {
    routing::Remember(m_noticeMemory, target.m_node, FromWire(*notice), Clock::Now());
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
    case AttemptOutcome::Unresponsive:
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

// Carries out an attempt and updates the target's statistics, also if it is cancelled.
Awaitable<void>
CallProxy::TryTarget(std::shared_ptr<const CallJob> aJob,
                     CallAttemptPtr aAttempt,
                     std::shared_ptr<AttemptEvents> aEvents)
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
  const std::string& node = aAttempt->m_target.m_node;
  routing::RecordDispatch(m_pickState, node);
  StatsGuard guard{ .m_pickState = m_pickState, .m_node = node };
  auto onSilent = [aAttempt, aEvents] {
    aEvents->Push({ .m_kind = AttemptEvent::Kind::Unresponsive, .m_attempt = aAttempt });
  };
  AnswerT answer = co_await RunAttempt(*aJob, *aAttempt, std::move(onSilent));
  if (aAttempt->m_abandoned) {
    co_return; // That it ended tells nothing about the target.
  }
  guard.m_recorded = true;
  const std::int64_t elapsedUs = Clock::NowMicroseconds() - startUs;
  aAttempt->m_outcome = RecordOutcome(*aJob, answer, node, elapsedUs);
  aAttempt->m_answer = std::move(answer);
}

} // namespace sequoiastep::node
