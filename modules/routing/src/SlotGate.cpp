#include "SlotGate.h"

#include <algorithm>

namespace sequoiastep::routing {

namespace {

constexpr double kServiceWeight = 0.1;
constexpr double kMicrosecondsPerMillisecond = 1000;

// How long the next request to wait would wait, by what the latest ones took.
Milliseconds
ExpectedWait(const SlotGate& aGate)
{
  const double rounds = (aGate.m_waiting + 1.0) / std::max<double>(1, aGate.m_options.m_slots);
  return static_cast<Milliseconds>(rounds * aGate.m_serviceUs / kMicrosecondsPerMillisecond);
}

void
ForgetEmptyQueue(SlotGate& aGate, const std::string& aCaller)
{
  const auto queue = aGate.m_queues.find(aCaller);
  if (queue != aGate.m_queues.end() && queue->second.empty()) {
    aGate.m_queues.erase(queue);
    std::erase(aGate.m_turns, aCaller);
  }
}

void
ShedLate(SlotGate& aGate, Instant aNow, GateDecision& aDecision)
{
  std::vector<std::string> callers;
  for (auto& [caller, queue] : aGate.m_queues) {
    std::erase_if(queue, [&](const WaitingRequest& aWaiting) {
      if (aNow < aWaiting.m_latestStart) {
        return false;
      }
      aDecision.m_shed.push_back(aWaiting.m_id);
      --aGate.m_waiting;
      return true;
    });
    callers.push_back(caller);
  }
  for (const std::string& caller : callers) {
    ForgetEmptyQueue(aGate, caller);
  }
}

void
RunNext(SlotGate& aGate, GateDecision& aDecision)
{
  const std::string caller = aGate.m_turns.front();
  std::deque<WaitingRequest>& queue = aGate.m_queues[caller];
  aDecision.m_run.push_back(queue.front().m_id);
  queue.pop_front();
  --aGate.m_waiting;
  ++aGate.m_running;
  aGate.m_turns.pop_front();
  if (queue.empty()) {
    aGate.m_queues.erase(caller);
  } else {
    aGate.m_turns.push_back(caller);
  }
}

// The longest queue of one caller; a full gate takes a request of another caller in its place.
std::size_t
ShareOf(const SlotGate& aGate, std::string_view aCaller)
{
  const auto queue = aGate.m_queues.find(aCaller);
  return queue == aGate.m_queues.end() ? 0 : queue->second.size();
}

} // namespace

Admission
Offer(SlotGate& aGate, std::uint64_t aId, std::string_view aCaller, Instant aNow, Instant aDeadline)
{
  if (aNow >= aDeadline) {
    return Admission::Shed;
  }
  if (aGate.m_running < aGate.m_options.m_slots && aGate.m_waiting == 0) {
    ++aGate.m_running;
    return Admission::Run;
  }
  const bool full = aGate.m_waiting >= aGate.m_options.m_queue;
  const std::size_t callers = aGate.m_queues.size() + (ShareOf(aGate, aCaller) == 0 ? 1 : 0);
  const bool overShare =
    callers > 1 && ShareOf(aGate, aCaller) * callers >= aGate.m_options.m_queue;
  if (full || overShare || aNow + ExpectedWait(aGate) >= aDeadline) {
    return Admission::Shed;
  }
  const Instant latest = std::min(aNow + aGate.m_options.m_queueMs, aDeadline);
  std::deque<WaitingRequest>& queue = aGate.m_queues[std::string(aCaller)];
  if (queue.empty()) {
    aGate.m_turns.emplace_back(aCaller);
  }
  queue.push_back({ .m_id = aId, .m_latestStart = latest });
  ++aGate.m_waiting;
  return Admission::Wait;
}

GateDecision
Review(SlotGate& aGate, Instant aNow)
{
  GateDecision decision;
  ShedLate(aGate, aNow, decision);
  while (aGate.m_running < aGate.m_options.m_slots && !aGate.m_turns.empty()) {
    RunNext(aGate, decision);
  }
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
  for (auto& [caller, queue] : aGate.m_queues) {
    const auto removed =
      std::erase_if(queue, [&](const WaitingRequest& aWaiting) { return aWaiting.m_id == aId; });
    if (removed > 0) {
      --aGate.m_waiting;
      ForgetEmptyQueue(aGate, std::string(caller));
      return true;
    }
  }
  return false;
}

void
Resize(SlotGate& aGate, const SlotGateOptions& aOptions)
{
  aGate.m_options = aOptions;
}

} // namespace sequoiastep::routing
