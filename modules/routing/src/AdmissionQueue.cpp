#include "AdmissionQueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace sequoiastep::routing {

namespace {

// Weight of the latest sample in the moving average of the run time.
constexpr double kServiceWeight = 0.1;
constexpr double kMicrosecondsPerMillisecond = 1000;
// A run that takes this much of the usual time still counts as one to expect.
constexpr double kLongRunShare = 1.4;
// Allowance for the answer's way to the caller.
constexpr Milliseconds kAnswerMs = 20;

double
ServiceMs(const AdmissionQueue& aQueue, const AdmissionRequest& aRequest)
{
  const double us = aRequest.m_serviceUs > 0 ? aRequest.m_serviceUs : aQueue.m_serviceUs;
  return us / kMicrosecondsPerMillisecond;
}

// True if the request probably meets its objective when it starts at aNow. Those that would only
// just meet it don't count: run first, as the earliest objective, they would keep all others
// waiting until those only just meet theirs, and every run that takes longer than usual is late.
bool
MeetsObjective(const AdmissionQueue& aQueue, const AdmissionRequest& aRequest, Instant aNow)
{
  const double longRunMs = kLongRunShare * ServiceMs(aQueue, aRequest);
  return aNow + static_cast<Milliseconds>(longRunMs) + kAnswerMs <= aRequest.m_objective;
}

// True if the request probably ends before its deadline, and before the queue closes, when it
// starts at aStart. At the close a run that takes longer than usual would be cut.
bool
EndsInTime(const AdmissionQueue& aQueue, const AdmissionRequest& aRequest, Instant aStart)
{
  const double usualMs = ServiceMs(aQueue, aRequest);
  const auto longRunMs = static_cast<Milliseconds>(kLongRunShare * usualMs);
  if (aQueue.m_closesAt && aStart + longRunMs >= *aQueue.m_closesAt) {
    return false;
  }
  return aStart + static_cast<Milliseconds>(usualMs) < aRequest.m_deadline;
}

std::uint64_t
LastServed(const AdmissionQueue& aQueue, const std::string& aCaller)
{
  const auto served = aQueue.m_lastServed.find(aCaller);
  return served == aQueue.m_lastServed.end() ? 0 : served->second;
}

// True if aLeft runs before aRight.
bool
RunsBefore(const AdmissionQueue& aQueue,
           const AdmissionRequest& aLeft,
           const AdmissionRequest& aRight,
           Instant aNow)
{
  const auto key = [&](const AdmissionRequest& aRequest) {
    const bool late = !MeetsObjective(aQueue, aRequest, aNow);
    return std::tuple(aRequest.m_priority,
                      !aRequest.m_continuesWork,
                      late,
                      late ? aRequest.m_deadline : aRequest.m_objective,
                      LastServed(aQueue, aRequest.m_caller),
                      aRequest.m_arrivalOrder);
  };
  return key(aLeft) < key(aRight);
}

// Time until the slots have finished aWorkMs of queued work and one is free again.
double
DrainTimeMs(const AdmissionQueue& aQueue, double aWorkMs)
{
  const double slots = std::max<double>(1, aQueue.m_options.m_slots);
  const bool hasFreeSlot = aQueue.m_running < aQueue.m_options.m_slots;
  const double nextFreeMs = hasFreeSlot ? 0 : aQueue.m_serviceUs / kMicrosecondsPerMillisecond;
  return (aWorkMs + nextFreeMs) / slots;
}

// Work that runs before a request.
struct WorkAhead
{
  std::size_t m_requests = 0;
  double m_workMs = 0;
};

void
AddWork(WorkAhead& aAhead, const AdmissionQueue& aQueue, const AdmissionRequest& aRequest)
{
  ++aAhead.m_requests;
  aAhead.m_workMs += ServiceMs(aQueue, aRequest);
}

// Time until both a slot is free and the rate lets the request pass.
double
WaitAfterMs(const AdmissionQueue& aQueue, const WorkAhead& aAhead, Instant aNow)
{
  return std::max(DrainTimeMs(aQueue, aAhead.m_workMs),
                  WaitForTokenMs(aQueue.m_rateLimiter, aAhead.m_requests, aNow));
}

WorkAhead
WorkAheadOf(const AdmissionQueue& aQueue, const AdmissionRequest& aRequest, Instant aNow)
{
  WorkAhead ahead;
  for (const AdmissionRequest& waiting : aQueue.m_waiting) {
    if (RunsBefore(aQueue, waiting, aRequest, aNow)) {
      AddWork(ahead, aQueue, waiting);
    }
  }
  return ahead;
}

std::size_t
CountWaiting(const AdmissionQueue& aQueue, const std::string& aCaller)
{
  return static_cast<std::size_t>(std::count_if(
    aQueue.m_waiting.begin(), aQueue.m_waiting.end(), [&](const AdmissionRequest& aRequest) {
      return aRequest.m_caller == aCaller;
    }));
}

// True if the queue is full, or others wait in it as well and the caller has used up its equal
// share.
bool
IsQueueFull(const AdmissionQueue& aQueue, const std::string& aCaller)
{
  const std::size_t own = CountWaiting(aQueue, aCaller);
  const std::size_t callers = aQueue.m_lastServed.size() + (own == 0 ? 1 : 0);
  return aQueue.m_waiting.size() >= aQueue.m_options.m_queue ||
         (callers > 1 && own * callers >= aQueue.m_options.m_queue);
}

void
ForgetIdleCallers(AdmissionQueue& aQueue)
{
  std::erase_if(aQueue.m_lastServed,
                [&](const auto& aItem) { return CountWaiting(aQueue, aItem.first) == 0; });
}

// Sheds the requests that would start too late, given the work ahead of them in the queue.
void
ShedLate(AdmissionQueue& aQueue, Instant aNow, QueueDecision& aDecision)
{
  std::sort(aQueue.m_waiting.begin(),
            aQueue.m_waiting.end(),
            [&](const AdmissionRequest& aLeft, const AdmissionRequest& aRight) {
              return RunsBefore(aQueue, aLeft, aRight, aNow);
            });
  WorkAhead ahead;
  std::erase_if(aQueue.m_waiting, [&](const AdmissionRequest& aRequest) {
    const Instant start = aNow + static_cast<Milliseconds>(WaitAfterMs(aQueue, ahead, aNow));
    if (aNow < aRequest.m_latestStart && EndsInTime(aQueue, aRequest, start)) {
      AddWork(ahead, aQueue, aRequest);
      return false;
    }
    aDecision.m_shed.push_back(aRequest.m_id);
    return true;
  });
}

void
RunNext(AdmissionQueue& aQueue, Instant aNow, QueueDecision& aDecision)
{
  const auto next =
    std::min_element(aQueue.m_waiting.begin(),
                     aQueue.m_waiting.end(),
                     [&](const AdmissionRequest& aLeft, const AdmissionRequest& aRight) {
                       return RunsBefore(aQueue, aLeft, aRight, aNow);
                     });
  aDecision.m_run.push_back(next->m_id);
  aQueue.m_lastServed[next->m_caller] = ++aQueue.m_servedCount;
  aQueue.m_waiting.erase(next);
  ++aQueue.m_running;
}

} // namespace

AdmissionResult
Predict(const AdmissionQueue& aQueue, const AdmissionRequest& aRequest, Instant aNow)
{
  if (aNow >= aRequest.m_deadline) {
    return { .m_admission = Admission::Shed, .m_waitMs = 0 };
  }
  const bool hasFreeSlot = aQueue.m_running < aQueue.m_options.m_slots;
  const bool closed = aQueue.m_closesAt && !EndsInTime(aQueue, aRequest, aNow);
  if (!closed && hasFreeSlot && aQueue.m_waiting.empty() &&
      WaitForTokenMs(aQueue.m_rateLimiter, 0, aNow) == 0) {
    return { .m_admission = Admission::Run, .m_waitMs = 0 };
  }
  AdmissionRequest latest = aRequest;
  latest.m_arrivalOrder = aQueue.m_arrivalCount + 1;
  const WorkAhead ahead = WorkAheadOf(aQueue, latest, aNow);
  const auto wait = static_cast<Milliseconds>(WaitAfterMs(aQueue, ahead, aNow));
  const bool rateLimited = DrainTimeMs(aQueue, ahead.m_workMs) < static_cast<double>(wait);
  const Milliseconds maxWait = std::min(aRequest.m_maxWaitMs, aQueue.m_options.m_queueMs);
  const bool refused = IsQueueFull(aQueue, aRequest.m_caller) || wait > maxWait ||
                       !EndsInTime(aQueue, aRequest, aNow + wait);
  return { .m_admission = refused ? Admission::Shed : Admission::Wait,
           .m_waitMs = wait,
           .m_rateLimited = rateLimited };
}

AdmissionResult
Offer(AdmissionQueue& aQueue, const AdmissionRequest& aRequest, Instant aNow)
{
  const AdmissionResult result = Predict(aQueue, aRequest, aNow);
  if (result.m_admission == Admission::Run) {
    TryTake(aQueue.m_rateLimiter, aNow);
    ++aQueue.m_running;
  }
  if (result.m_admission != Admission::Wait) {
    return result;
  }
  AdmissionRequest waiting = aRequest;
  waiting.m_arrivalOrder = ++aQueue.m_arrivalCount;
  waiting.m_latestStart = std::min(aNow + aQueue.m_options.m_queueMs, aRequest.m_deadline);
  aQueue.m_lastServed.try_emplace(aRequest.m_caller, 0);
  aQueue.m_waiting.push_back(std::move(waiting));
  return result;
}

QueueDecision
ProcessQueue(AdmissionQueue& aQueue, Instant aNow)
{
  QueueDecision decision;
  ShedLate(aQueue, aNow, decision);
  while (aQueue.m_running < aQueue.m_options.m_slots && !aQueue.m_waiting.empty() &&
         TryTake(aQueue.m_rateLimiter, aNow)) {
    RunNext(aQueue, aNow, decision);
  }
  ForgetIdleCallers(aQueue);
  return decision;
}

QueueDecision
Finish(AdmissionQueue& aQueue, Instant aNow, std::int64_t aServiceUs)
{
  aQueue.m_running -= aQueue.m_running > 0 ? 1 : 0;
  if (aServiceUs > 0) {
    const auto service = static_cast<double>(aServiceUs);
    aQueue.m_serviceUs = aQueue.m_serviceUs == 0
                           ? service
                           : aQueue.m_serviceUs + kServiceWeight * (service - aQueue.m_serviceUs);
  }
  return ProcessQueue(aQueue, aNow);
}

QueueDecision
CloseAt(AdmissionQueue& aQueue, Instant aAt, Instant aNow)
{
  aQueue.m_closesAt = aAt;
  return ProcessQueue(aQueue, aNow);
}

QueueDecision
Shorten(AdmissionQueue& aQueue, std::uint64_t aId, Instant aDeadline, Instant aNow)
{
  for (AdmissionRequest& request : aQueue.m_waiting) {
    if (request.m_id == aId) {
      request.m_deadline = std::min(request.m_deadline, aDeadline);
      request.m_latestStart = std::min(request.m_latestStart, aDeadline);
    }
  }
  return ProcessQueue(aQueue, aNow);
}

bool
Withdraw(AdmissionQueue& aQueue, std::uint64_t aId)
{
  const auto removed = std::erase_if(
    aQueue.m_waiting, [&](const AdmissionRequest& aRequest) { return aRequest.m_id == aId; });
  ForgetIdleCallers(aQueue);
  return removed > 0;
}

Milliseconds
RateWaitMs(const AdmissionQueue& aQueue, Instant aNow)
{
  return static_cast<Milliseconds>(
    WaitForTokenMs(aQueue.m_rateLimiter, aQueue.m_waiting.size(), aNow));
}

void
Resize(AdmissionQueue& aQueue, const AdmissionOptions& aOptions)
{
  aQueue.m_options = aOptions;
}

} // namespace sequoiastep::routing
