#include "SlotGate.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace sequoiastep::routing {

namespace {

constexpr double kServiceWeight = 0.1;
constexpr double kMicrosecondsPerMillisecond = 1000;

double
ServiceMs(const SlotGate& aGate, const GateRequest& aRequest)
{
  const double us = aRequest.m_serviceUs > 0 ? aRequest.m_serviceUs : aGate.m_serviceUs;
  return us / kMicrosecondsPerMillisecond;
}

bool
MeetsObjective(const SlotGate& aGate, const GateRequest& aRequest, Instant aNow)
{
  return aNow + static_cast<Milliseconds>(ServiceMs(aGate, aRequest)) <= aRequest.m_objective;
}

std::uint64_t
ServedAt(const SlotGate& aGate, const std::string& aCaller)
{
  const auto served = aGate.m_servedAt.find(aCaller);
  return served == aGate.m_servedAt.end() ? 0 : served->second;
}

// True if aLeft goes before aRight.
bool
GoesBefore(const SlotGate& aGate, const GateRequest& aLeft, const GateRequest& aRight, Instant aNow)
{
  const auto key = [&](const GateRequest& aRequest) {
    const bool late = !MeetsObjective(aGate, aRequest, aNow);
    return std::tuple(aRequest.m_priority,
                      late,
                      late ? aRequest.m_deadline : aRequest.m_objective,
                      ServedAt(aGate, aRequest.m_caller),
                      aRequest.m_arrival);
  };
  return key(aLeft) < key(aRight);
}

// Time until the slots have done aWorkMs of waiting work and one is free again.
double
WaitBehind(const SlotGate& aGate, double aWorkMs)
{
  const double slots = std::max<double>(1, aGate.m_options.m_slots);
  const bool free = aGate.m_running < aGate.m_options.m_slots;
  const double first = free ? 0 : aGate.m_serviceUs / kMicrosecondsPerMillisecond;
  return (aWorkMs + first) / slots;
}

Milliseconds
WaitOf(const SlotGate& aGate, const GateRequest& aRequest, Instant aNow)
{
  double ahead = 0;
  for (const GateRequest& waiting : aGate.m_waiting) {
    ahead += GoesBefore(aGate, waiting, aRequest, aNow) ? ServiceMs(aGate, waiting) : 0;
  }
  return static_cast<Milliseconds>(WaitBehind(aGate, ahead));
}

std::size_t
WaitingOf(const SlotGate& aGate, const std::string& aCaller)
{
  return static_cast<std::size_t>(
    std::count_if(aGate.m_waiting.begin(), aGate.m_waiting.end(), [&](const GateRequest& aRequest) {
      return aRequest.m_caller == aCaller;
    }));
}

// True if the queue is full, or the caller has its share of a queue that others wait in as well.
bool
HasNoRoom(const SlotGate& aGate, const std::string& aCaller)
{
  const std::size_t own = WaitingOf(aGate, aCaller);
  const std::size_t callers = aGate.m_servedAt.size() + (own == 0 ? 1 : 0);
  return aGate.m_waiting.size() >= aGate.m_options.m_queue ||
         (callers > 1 && own * callers >= aGate.m_options.m_queue);
}

void
ForgetIdleCallers(SlotGate& aGate)
{
  std::erase_if(aGate.m_servedAt,
                [&](const auto& aItem) { return WaitingOf(aGate, aItem.first) == 0; });
}

// Those that would start too late, by the work that goes before them, are of no use waiting.
void
ShedLate(SlotGate& aGate, Instant aNow, GateDecision& aDecision)
{
  std::sort(aGate.m_waiting.begin(),
            aGate.m_waiting.end(),
            [&](const GateRequest& aLeft, const GateRequest& aRight) {
              return GoesBefore(aGate, aLeft, aRight, aNow);
            });
  double ahead = 0;
  std::erase_if(aGate.m_waiting, [&](const GateRequest& aRequest) {
    const Instant start = aNow + static_cast<Milliseconds>(WaitBehind(aGate, ahead));
    if (aNow < aRequest.m_latestStart && start < aRequest.m_deadline) {
      ahead += ServiceMs(aGate, aRequest);
      return false;
    }
    aDecision.m_shed.push_back(aRequest.m_id);
    return true;
  });
}

void
RunNext(SlotGate& aGate, Instant aNow, GateDecision& aDecision)
{
  const auto next = std::min_element(aGate.m_waiting.begin(),
                                     aGate.m_waiting.end(),
                                     [&](const GateRequest& aLeft, const GateRequest& aRight) {
                                       return GoesBefore(aGate, aLeft, aRight, aNow);
                                     });
  aDecision.m_run.push_back(next->m_id);
  aGate.m_servedAt[next->m_caller] = ++aGate.m_served;
  aGate.m_waiting.erase(next);
  ++aGate.m_running;
}

} // namespace

GateAnswer
Offer(SlotGate& aGate, const GateRequest& aRequest, Instant aNow)
{
  if (aNow >= aRequest.m_deadline) {
    return { .m_admission = Admission::Shed, .m_waitMs = 0 };
  }
  if (aGate.m_running < aGate.m_options.m_slots && aGate.m_waiting.empty()) {
    ++aGate.m_running;
    return { .m_admission = Admission::Run, .m_waitMs = 0 };
  }
  GateRequest waiting = aRequest;
  waiting.m_arrival = ++aGate.m_arrivals;
  const Milliseconds wait = WaitOf(aGate, waiting, aNow);
  if (HasNoRoom(aGate, aRequest.m_caller) || wait > aRequest.m_mostWaitMs ||
      aNow + wait >= aRequest.m_deadline) {
    return { .m_admission = Admission::Shed, .m_waitMs = wait };
  }
  waiting.m_latestStart = std::min(aNow + aGate.m_options.m_queueMs, aRequest.m_deadline);
  aGate.m_servedAt.try_emplace(aRequest.m_caller, 0);
  aGate.m_waiting.push_back(std::move(waiting));
  return { .m_admission = Admission::Wait, .m_waitMs = wait };
}

GateDecision
Review(SlotGate& aGate, Instant aNow)
{
  GateDecision decision;
  ShedLate(aGate, aNow, decision);
  while (aGate.m_running < aGate.m_options.m_slots && !aGate.m_waiting.empty()) {
    RunNext(aGate, aNow, decision);
  }
  ForgetIdleCallers(aGate);
  return decision;
}

GateDecision
Finish(SlotGate& aGate, Instant aNow, std::int64_t aServiceUs)
{
  aGate.m_running -= aGate.m_running > 0 ? 1 : 0;
  if (aServiceUs > 0) {
    const auto service = static_cast<double>(aServiceUs);
    aGate.m_serviceUs = aGate.m_serviceUs == 0
                          ? service
                          : aGate.m_serviceUs + kServiceWeight * (service - aGate.m_serviceUs);
  }
  return Review(aGate, aNow);
}

bool
Withdraw(SlotGate& aGate, std::uint64_t aId)
{
  const auto removed = std::erase_if(
    aGate.m_waiting, [&](const GateRequest& aRequest) { return aRequest.m_id == aId; });
  ForgetIdleCallers(aGate);
  return removed > 0;
}

void
Resize(SlotGate& aGate, const SlotGateOptions& aOptions)
{
  aGate.m_options = aOptions;
}

} // namespace sequoiastep::routing
