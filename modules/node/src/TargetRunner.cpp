#include "TargetRunner.h"

#include "Address.h"
#include "Log.h"
#include "Names.h"
#include "NoticeWire.h"
#include "Problem.h"
#include "RequestLimit.h"
#include "TargetAnswer.h"
#include "TargetExchange.h"

#include <algorithm>
#include <chrono>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace http = net::http;
using net::Awaitable;
using net::HttpRequest;
using net::HttpResult;
using net::kAsTuple;
using wire::AnswerT;
using wire::CallOutcome;
using wire::CallT;

namespace {

// How long after the target reports that it is leaving queued requests may still be dispatched.
constexpr Milliseconds kLeavingDispatchMs = 800;
constexpr Milliseconds kUnreachableBackoffMs = 500;
constexpr Milliseconds kConnectTimeoutMs = 1000;
constexpr Milliseconds kMinRetryAfterMs = 100;
constexpr Milliseconds kMaxRetryAfterMs = 1500;

void
LogNotice(const routing::StatedNotice& aStated, std::string_view aSource)
{
  const routing::TargetNotice& notice = aStated.m_notice;
  LogLine(LogLevel::Info, "target_notice", aSource)
    .Add("target", aStated.m_id)
    .Add("limit_per_s", wire::LimitText(notice.m_perSecond))
    .Add("leaving", notice.m_leaving ? "yes" : "no")
    .Add("source", aSource);
}

} // namespace

void
Abandon(TargetRun& aRun)
{
  const bool cancels = aRun.m_repeatable || !aRun.m_dispatched;
  const std::string_view action = !aRun.m_dispatched ? "dropped"
                                  : cancels          ? "broken_off"
                                                     : "left_to_end";
  LogLine(LogLevel::Info, "call_abandoned", action)
    .Add("id", aRun.m_requestId)
    .Add("action", action)
    .Add("repeatable", aRun.m_repeatable ? "yes" : "no");
  if (cancels) {
    aRun.m_cancel.emit(net::asio::cancellation_type::terminal);
  }
}

std::shared_ptr<TargetRun>
MakeTargetRun(const CallT& aCall)
{
  auto run = std::make_shared<TargetRun>();
  run->m_requestId = aCall.request_id;
  run->m_repeatable = aCall.repeatable;
  return run;
}

// A request in the admission queue. Its timer is cancelled when the queue admits or sheds it.
struct TargetRunner::QueuedRequest
{
  QueuedRequest(net::asio::io_context& aContext, Milliseconds aMaxWaitMs)
    : m_timer(aContext, std::chrono::milliseconds(aMaxWaitMs))
  {
  }

  net::asio::steady_timer m_timer;
  bool m_decided = false;
  bool m_admitted = false;
};

TargetRunner::TargetRunner(net::asio::io_context& aContext,
                           SharedState& aShared,
                           CallMetrics& aMetrics,
                           std::shared_ptr<net::ByteBudget> aBudget)
  : m_context(aContext)
  , m_shared(aShared)
  , m_metrics(aMetrics)
  , m_budget(std::move(aBudget))
{
}

void
TargetRunner::SetRolloutHooks(RolloutHooks aHooks)
{
  m_rolloutHooks = std::move(aHooks);
}

std::string_view
TargetRunner::VersionRefusal() const
{
  return m_rolloutHooks.m_refusalReason ? m_rolloutHooks.m_refusalReason(m_target)
                                        : std::string_view();
}

void
TargetRunner::ApplyServiceLimits(const std::string& aService)
{
  routing::AdmissionOptions options;
  options.m_slots = std::max<std::uint32_t>(1, m_target.m_slots);
  const auto snapshot = m_shared.m_snapshot.load();
  if (snapshot) {
    const auto service = snapshot->m_effective->m_services.find(aService);
    if (service != snapshot->m_effective->m_services.end()) {
      options.m_queue = service->second.m_queueLimit;
      options.m_queueMs = service->second.m_queueTimeoutMs;
    }
  }
  routing::Resize(m_admissionQueue, options);
}

void
TargetRunner::SetTarget(const routing::TargetReport& aReport)
{
  const bool targetChanged =
    !m_client || aReport.m_address != m_target.m_address || aReport.m_id != m_target.m_id;
  if (targetChanged) {
    net::HttpClientOptions options;
    options.m_endpoint = Handle([&] { return net::ParseAddress(aReport.m_address); },
                                [](const Error&) { return net::tcp::endpoint(); });
    options.m_connectTimeoutMs = kConnectTimeoutMs;
    options.m_maxIdleConnections = aReport.m_slots;
    options.m_budget = m_budget;
    m_client = std::make_shared<net::HttpClient>(m_context, options);
    m_leavingSince.reset();
    m_unreachableUntil = {};
  }
  m_target = aReport;
  m_targetPresent = true;
  routing::SetIncarnation(m_notice, aReport.m_id, aReport.m_bornMs);
  routing::SetRate(m_admissionQueue.m_rateLimiter, Notice().m_perSecond, Clock::Now());
  if (!IsLeaving()) {
    m_leavingSince.reset();
  } else if (!m_leavingSince) {
    m_leavingSince = Clock::Now();
  }
  ApplyServiceLimits(m_target.m_service);
}

void
TargetRunner::RemoveTarget()
{
  m_targetPresent = false;
}

void
TargetRunner::StopTakingWork()
{
  m_stopping = true;
}

void
TargetRunner::CloseAt(Instant aAt)
{
  ApplyDecision(routing::CloseAt(m_admissionQueue, aAt, Clock::Now()));
}

void
TargetRunner::Shorten(const TargetRun& aRun)
{
  if (aRun.m_queueId && aRun.m_answerBy) {
    ApplyDecision(
      routing::Shorten(m_admissionQueue, *aRun.m_queueId, *aRun.m_answerBy, Clock::Now()));
  }
}

std::uint32_t
TargetRunner::Outstanding() const
{
  return m_admissionQueue.m_running + static_cast<std::uint32_t>(m_admissionQueue.m_waiting.size());
}

const routing::TargetReport*
TargetRunner::Target() const
{
  return m_targetPresent ? &m_target : nullptr;
}

const routing::TargetNotice&
TargetRunner::Notice() const
{
  return m_notice.m_stated.m_notice;
}

// Applies what a response of the given incarnation says about the target, unless another one took
// its place.
void
TargetRunner::RecordNotice(const std::string& aId,
                           std::optional<std::int64_t> aBornMs,
                           const net::HttpResponse& aResponse)
{
  if (aId != m_target.m_id || aBornMs != m_target.m_bornMs) {
    return;
  }
  if (routing::ApplyResponse(m_notice, adapter::DecodeNotice(aResponse))) {
    UseNotice("response");
  }
}

void
TargetRunner::RecallNotice(const routing::StatedNotice& aStated, std::string_view aSource)
{
  if (routing::Recall(m_notice, aStated)) {
    UseNotice(aSource);
  }
}

// Makes the notice in force take effect.
void
TargetRunner::UseNotice(std::string_view aSource)
{
  const routing::TargetNotice& notice = Notice();
  routing::SetRate(m_admissionQueue.m_rateLimiter, notice.m_perSecond, Clock::Now());
  if (notice.m_leaving && !m_leavingSince) {
    m_leavingSince = Clock::Now();
  }
  LogNotice(m_notice.m_stated, aSource);
}

bool
TargetRunner::IsLeaving() const
{
  return m_target.m_leaving || Notice().m_leaving;
}

AnswerT
TargetRunner::MakeRefusal(std::string_view aReason, bool aOverloaded) const
{
  AnswerT answer;
  answer.outcome = CallOutcome::NotRun;
  answer.reason = aReason;
  answer.overloaded = aOverloaded;
  answer.outstanding = static_cast<std::uint16_t>(Outstanding());
  answer.service_us = static_cast<std::uint32_t>(m_admissionQueue.m_serviceUs);
  return answer;
}

// Refuses and logs a call that can't run here, whatever the load. Returns nothing if it can.
std::optional<AnswerT>
TargetRunner::RefuseUnfit(const CallT& aCall, std::string_view aCaller) const
{
  const std::string reason = RefusalReason(aCall);
  if (reason.empty()) {
    return std::nullopt;
  }
  LogRefused(aCall, aCaller, reason, 0);
  return MakeRefusal(reason, false);
}

// Why the target has no room in time.
std::string_view
TargetRunner::FullReason(const routing::AdmissionResult& aAdmission, const TargetRun* aRun) const
{
  if (m_admissionQueue.m_closesAt) {
    return "the node beside the target stops before the request could end";
  }
  if (aRun != nullptr && aRun->m_answerBy) {
    return "the caller's node stops before the request could end";
  }
  return aAdmission.m_rateLimited ? "the target is at the limit that it named"
                                  : "the target is full";
}

// Refuses and logs a call for which the target has no room in time.
AnswerT
TargetRunner::RefuseFull(const CallT& aCall,
                         std::string_view aCaller,
                         const routing::AdmissionResult& aAdmission,
                         std::string_view aReason) const
{
  AnswerT full = MakeRefusal(aReason, true);
  full.retry_after_ms = static_cast<std::uint32_t>(
    std::clamp<Milliseconds>(aAdmission.m_waitMs, kMinRetryAfterMs, kMaxRetryAfterMs));
  LogRefused(aCall, aCaller, full.reason, aAdmission.m_waitMs);
  return full;
}

std::optional<AnswerT>
TargetRunner::RefuseEarly(const CallT& aCall, const std::string& aCaller, Milliseconds aBodyMs)
{
  if (std::optional<AnswerT> refusal = RefuseUnfit(aCall, aCaller)) {
    return refusal;
  }
  const Instant now = Clock::Now();
  routing::AdmissionRequest request = MakeAdmissionRequest(aCall, aCaller);
  // The request asks for a slot when its body is complete.
  request.m_deadline = request.m_deadline + -aBodyMs;
  routing::AdmissionResult predicted = routing::Predict(m_admissionQueue, request, now);
  const bool waitsForBody = aBodyMs > request.m_maxWaitMs;
  if (predicted.m_admission != routing::Admission::Shed && !waitsForBody) {
    return std::nullopt;
  }
  predicted.m_waitMs = std::max(predicted.m_waitMs, aBodyMs);
  return RefuseFull(aCall, aCaller, predicted, FullReason(predicted, nullptr));
}

void
TargetRunner::ApplyDecision(const routing::QueueDecision& aDecision)
{
  for (const std::uint64_t id : aDecision.m_run) {
    QueuedRequest& queued = *m_queued.at(id);
    queued.m_decided = true;
    queued.m_admitted = true;
    queued.m_timer.cancel();
  }
  for (const std::uint64_t id : aDecision.m_shed) {
    QueuedRequest& queued = *m_queued.at(id);
    queued.m_decided = true;
    queued.m_timer.cancel();
  }
}

void
TargetRunner::ShedExpired()
{
  if (!m_admissionQueue.m_waiting.empty()) {
    ApplyDecision(routing::ProcessQueue(m_admissionQueue, Clock::Now()));
  }
}

// Where callers need the key of a workspace, only targets' own calls come without one. Elsewhere
// the two can't be told apart.
bool
TargetRunner::IsCallOfTarget(const CallT& aCall) const
{
  const auto snapshot = m_shared.m_snapshot.load();
  return aCall.workspace.empty() && snapshot &&
         !snapshot->m_effective->m_workspaces.m_byName.empty();
}

routing::AdmissionRequest
TargetRunner::MakeAdmissionRequest(const CallT& aCall, const std::string& aCaller)
{
  const Instant now = Clock::Now();
  // Workspaces take turns in the queue, whichever nodes their requests come from.
  routing::AdmissionRequest request{ .m_id = m_nextId++,
                                     .m_caller =
                                       aCall.workspace.empty() ? aCaller : aCall.workspace,
                                     .m_priority = aCall.priority,
                                     .m_continuesWork = IsCallOfTarget(aCall),
                                     .m_serviceUs =
                                       routing::AverageOf(m_serviceUs, aCall.route).value_or(0),
                                     .m_deadline = now + aCall.timeout_ms,
                                     .m_maxWaitMs = static_cast<Milliseconds>(aCall.most_wait_ms) };
  if (aCall.objective_ms != 0) {
    request.m_objective = now + aCall.objective_ms;
  }
  return request;
}

// Returns the decision on the request, after its wait if it was queued.
Awaitable<routing::AdmissionResult>
TargetRunner::Admit(routing::AdmissionRequest aRequest)
{
  const Instant now = Clock::Now();
  const std::uint64_t id = aRequest.m_id;
  routing::AdmissionResult result = routing::Offer(m_admissionQueue, aRequest, now);
  if (result.m_admission != routing::Admission::Wait) {
    co_return result;
  }
  QueuedRequest queued(m_context, aRequest.m_deadline - now + 1);
  m_queued.emplace(id, &queued);
  struct Cleanup
  {
    TargetRunner& m_runner;
    QueuedRequest& m_request;
    std::uint64_t m_id;
    bool m_slotUsed = false;
    ~Cleanup()
    {
      m_runner.m_queued.erase(m_id);
      if (!m_request.m_decided) {
        routing::Withdraw(m_runner.m_admissionQueue, m_id);
      } else if (m_request.m_admitted && !m_slotUsed) {
        // The call was cancelled after it was granted a slot, so it gives the slot back.
        m_runner.ApplyDecision(routing::Finish(m_runner.m_admissionQueue, Clock::Now(), 0));
      }
    }
  };
  Cleanup cleanup{ .m_runner = *this, .m_request = queued, .m_id = id };
  co_await queued.m_timer.async_wait(kAsTuple);
  cleanup.m_slotUsed = queued.m_admitted;
  result.m_admission = queued.m_admitted ? routing::Admission::Run : routing::Admission::Shed;
  co_return result;
}

Awaitable<AnswerT>
TargetRunner::Dispatch(const CallT& aCall, Instant aDeadline, std::shared_ptr<TargetRun> aRun)
{
  // Checked again just before sending, since the process may have been paused meanwhile.
  const Instant latestEnd = std::min(aDeadline, aRun->m_answerBy.value_or(aDeadline));
  const Milliseconds left = latestEnd - Clock::Now();
  if (left <= 0) {
    co_return MakeRefusal("the deadline passed in the queue", false);
  }
  if (m_leavingSince && Clock::Now() - *m_leavingSince > kLeavingDispatchMs) {
    co_return MakeRefusal("the target leaves", false);
  }
  if (const std::string_view reason = VersionRefusal(); !reason.empty()) {
    co_return MakeRefusal(reason, false);
  }
  aRun->m_dispatched = true;
  m_shared.m_calls.m_dispatched.fetch_add(1, std::memory_order_relaxed);
  const std::shared_ptr<net::HttpClient> client = m_client;
  const std::string targetId = m_target.m_id;
  const std::optional<std::int64_t> bornMs = m_target.m_bornMs;
  const std::string id = aCall.request_id;
  HttpRequest request = MakeTargetRequest(aCall, m_target, left);
  net::HttpClient::ResponseMatcher belongs = [&id](const net::HttpResponse& aResponse) {
    return id.empty() || aResponse[adapter::kRequestId] == id;
  };
  HttpResult result = co_await client->Send(std::move(request), left, std::move(belongs));
  if (result.m_response) {
    RecordNotice(targetId, bornMs, *result.m_response);
  } else if (result.m_failure == net::HttpFailure::NotSent) {
    m_unreachableUntil = Clock::Now() + kUnreachableBackoffMs;
  }
  co_return AnswerFrom(std::move(result));
}

// Returns why the call is refused, or an empty text if it is not.
std::string
TargetRunner::RefusalReason(const CallT& aCall) const
{
  if (m_stopping || !m_targetPresent || IsLeaving()) {
    return "the target here takes no new work";
  }
  if (aCall.service != m_target.m_service) {
    return "the target here is of another service";
  }
  if (Clock::Now() < m_unreachableUntil) {
    return "the target refuses connections";
  }
  return std::string(VersionRefusal());
}

void
TargetRunner::LogRefused(const CallT& aCall,
                         std::string_view aCaller,
                         std::string_view aReason,
                         Milliseconds aWaitMs) const
{
  LogLine(LogLevel::Info, "call_refused", aReason)
    .Add("id", aCall.request_id)
    .Add("from", aCaller)
    .Add("route", aCall.route)
    .Add("reason", aReason)
    .Add("target", m_target.m_id)
    .Add("slots", m_admissionQueue.m_options.m_slots)
    .Add("running", m_admissionQueue.m_running)
    .Add("waiting", m_admissionQueue.m_waiting.size())
    .Add("wait_ms", aWaitMs)
    .Add("most_wait_ms", aCall.most_wait_ms)
    .Add("timeout_ms", aCall.timeout_ms);
}

// Logs the call if it failed or missed its latency objective at this node.
void
TargetRunner::LogIfFailedOrLate(const CallT& aCall,
                                std::string_view aCaller,
                                const AnswerT& aAnswer,
                                std::int64_t aWaitedUs) const
{
  const bool failed = aAnswer.outcome != CallOutcome::Done || IsServerError(aAnswer);
  const std::int64_t objectiveUs = std::int64_t{ aCall.objective_ms } * 1000;
  const bool late = objectiveUs != 0 && aAnswer.held_us > objectiveUs;
  if (!failed && !late) {
    return;
  }
  const std::string_view reason = failed ? std::string_view(aAnswer.reason) : "slow";
  LogLine(LogLevel::Info, failed ? "call_failed" : "call_late", reason)
    .Add("id", aCall.request_id)
    .Add("from", aCaller)
    .Add("route", aCall.route)
    .Add("target", m_target.m_id)
    .Add("outcome", NameOf(aAnswer.outcome))
    .Add("status", aAnswer.status)
    .Add("reason", reason)
    .Add("arrived", aAnswer.arrived ? "yes" : "no")
    .Add("waited_us", aWaitedUs)
    .Add("held_us", aAnswer.held_us)
    .Add("timeout_ms", aCall.timeout_ms)
    .Add("objective_ms", aCall.objective_ms)
    .Add("running", m_admissionQueue.m_running)
    .Add("waiting", m_admissionQueue.m_waiting.size());
}

Awaitable<AnswerT>
TargetRunner::Run(CallT aCall, std::string aCaller, std::shared_ptr<TargetRun> aRun)
{
  if (aCall.remembered) {
    RecallNotice(FromWire(*aCall.remembered), "peer");
  }
  AnswerT answer = co_await RunAdmitted(aCall, std::move(aCaller), std::move(aRun));
  if (aCall.remembered || Notice() != routing::TargetNotice{}) {
    answer.notice = ToWire(m_notice.m_stated);
    answer.rate_wait_ms =
      static_cast<std::uint32_t>(routing::RateWaitMs(m_admissionQueue, Clock::Now()));
  }
  co_return answer;
}

Awaitable<AnswerT>
TargetRunner::RunAdmitted(const CallT& aCall, std::string aCaller, std::shared_ptr<TargetRun> aRun)
{
  if (std::optional<AnswerT> refusal = RefuseUnfit(aCall, aCaller)) {
    co_return std::move(*refusal);
  }
  ApplyServiceLimits(aCall.service);
  const std::int64_t arrivedUs = Clock::NowMicroseconds();
  const Instant deadline = Clock::Now() + aCall.timeout_ms;
  routing::AdmissionRequest request = MakeAdmissionRequest(aCall, aCaller);
  request.m_deadline = std::min(request.m_deadline, aRun->m_answerBy.value_or(request.m_deadline));
  aRun->m_queueId = request.m_id;
  const routing::AdmissionResult admission = co_await Admit(std::move(request));
  const bool admitted = admission.m_admission == routing::Admission::Run;
  const std::int64_t waitedUs = Clock::NowMicroseconds() - arrivedUs;
  m_metrics.RecordQueueWait(admitted ? QueueResult::Run : QueueResult::Refused, waitedUs);
  if (!admitted) {
    m_shared.m_calls.m_shed.fetch_add(1, std::memory_order_relaxed);
    co_return RefuseFull(aCall, aCaller, admission, FullReason(admission, aRun.get()));
  }
  struct SlotRelease
  {
    TargetRunner& m_runner;
    const std::string& m_route;
    std::int64_t m_startUs;
    bool m_durationKnown = false;
    ~SlotRelease()
    {
      const std::int64_t ran = m_durationKnown ? Clock::NowMicroseconds() - m_startUs : 0;
      if (m_durationKnown) {
        routing::AddSample(m_runner.m_serviceUs, m_route, static_cast<double>(ran));
        m_runner.m_metrics.RecordTargetTime(ran);
      }
      m_runner.ApplyDecision(routing::Finish(m_runner.m_admissionQueue, Clock::Now(), ran));
    }
  };
  AnswerT answer;
  const routing::TargetReport target = m_target; // Another one may take its place meanwhile.
  {
    const std::int64_t startUs = Clock::NowMicroseconds();
    SlotRelease release{ .m_runner = *this, .m_route = aCall.route, .m_startUs = startUs };
    answer = co_await Dispatch(aCall, deadline, aRun);
    answer.ran_us = static_cast<std::uint32_t>(Clock::NowMicroseconds() - startUs);
    release.m_durationKnown = answer.outcome == CallOutcome::Done || answer.timed_out;
  }
  if (m_rolloutHooks.m_answered && aRun->m_dispatched) {
    m_rolloutHooks.m_answered(target, aCall, answer);
  }
  answer.outstanding = static_cast<std::uint16_t>(Outstanding());
  answer.service_us = static_cast<std::uint32_t>(m_admissionQueue.m_serviceUs);
  answer.held_us = static_cast<std::uint32_t>(Clock::NowMicroseconds() - arrivedUs);
  LogIfFailedOrLate(aCall, aCaller, answer, waitedUs);
  co_return answer;
}

} // namespace sequoiastep::node
