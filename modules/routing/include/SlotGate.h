/// @file
/// Guards the slots of the target beside the node: runs, queues or sheds each request.
#pragma once

#include "Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::routing {

/// What becomes of a request that comes to the gate.
enum class Admission
{
  Run,
  Wait,
  /// Turned away: it was not run.
  Shed,
};

/// Sizes of a gate.
struct SlotGateOptions
{
  std::uint32_t m_slots = 1;
  std::uint32_t m_queue = 12;
  Milliseconds m_queueMs = 200;
};

/// A request that waits.
struct WaitingRequest
{
  std::uint64_t m_id = 0;
  /// The latest instant at which running it is of use.
  Instant m_latestStart;
};

/// The gate's state. Callers take turns, so that one that floods does not starve the others.
struct SlotGate
{
  SlotGateOptions m_options;
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  /// Moving average of how long a request runs, in microseconds.
  double m_serviceUs = 0;
  std::map<std::string, std::deque<WaitingRequest>, std::less<>> m_queues;
  /// Callers with waiting requests, the next to be served first.
  std::deque<std::string> m_turns;
};

/// What the gate decided about waiting requests.
struct GateDecision
{
  std::vector<std::uint64_t> m_run;
  std::vector<std::uint64_t> m_shed;
};

/// Offers a request to the gate.
/// @param aCaller whom it came from, for fair turns.
/// @param aDeadline the caller's deadline.
Admission
Offer(SlotGate& aGate,
      std::uint64_t aId,
      std::string_view aCaller,
      Instant aNow,
      Instant aDeadline);

/// Notes that a running request ended.
/// @param aServiceUs how long it ran; 0 if that tells nothing.
/// @return the requests that run now and those whose time is over.
GateDecision
Finish(SlotGate& aGate, Instant aNow, std::int64_t aServiceUs);

/// Takes a waiting request out because its caller left.
/// @return false if it was not waiting.
bool
Withdraw(SlotGate& aGate, std::uint64_t aId);

/// Turns away the waiting requests whose time is over, and runs others if slots are free.
GateDecision
Review(SlotGate& aGate, Instant aNow);

/// Sets new sizes; a larger one takes effect with the next Review.
void
Resize(SlotGate& aGate, const SlotGateOptions& aOptions);

} // namespace sequoiastep::routing
