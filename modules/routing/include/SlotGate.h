/// @file
/// Guards the slots of the target beside the node: runs, queues or sheds each request.
///
/// Waiting requests go by rank, then those that can still meet their latency objective before those
/// that can't: under overload the target works on what is of most use. What would be too late for
/// its deadline is shed as soon as that shows, not when it is over.
#pragma once

#include "Clock.h"

#include <cstdint>
#include <limits>
#include <map>
#include <string>
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

/// A request at the gate.
struct GateRequest
{
  std::uint64_t m_id = 0;
  /// Whom it came from, for fair turns.
  std::string m_caller;
  /// Rank; 0 comes first.
  std::uint32_t m_priority = 0;
  /// How long it will probably run, in microseconds; 0 if it is like the others.
  double m_serviceUs = 0;
  /// The caller's deadline.
  Instant m_deadline;
  /// When its answer is of full use; none if there is no objective but the deadline.
  Instant m_objective{ std::numeric_limits<Milliseconds>::max() };
  /// It would rather try another target than wait longer than this.
  Milliseconds m_mostWaitMs = std::numeric_limits<Milliseconds>::max();
  /// Set by the gate: the latest instant at which running it is of use.
  Instant m_latestStart;
  /// Set by the gate: its place in the order of arrival.
  std::uint64_t m_arrival = 0;
};

/// The gate's state. Callers take turns among equals, and one that floods leaves room for others.
struct SlotGate
{
  SlotGateOptions m_options;
  std::uint32_t m_running = 0;
  std::vector<GateRequest> m_waiting;
  /// Moving average of how long a request runs, in microseconds.
  double m_serviceUs = 0;
  /// When each caller with waiting requests was last served, by count of requests.
  std::map<std::string, std::uint64_t, std::less<>> m_servedAt;
  std::uint64_t m_served = 0;
  std::uint64_t m_arrivals = 0;
};

/// What the gate says to an offered request.
struct GateAnswer
{
  Admission m_admission = Admission::Shed;
  /// How long it would probably wait.
  Milliseconds m_waitMs = 0;
};

/// What the gate decided about waiting requests.
struct GateDecision
{
  std::vector<std::uint64_t> m_run;
  std::vector<std::uint64_t> m_shed;
};

/// Offers a request to the gate.
GateAnswer
Offer(SlotGate& aGate, const GateRequest& aRequest, Instant aNow);

/// Notes that a running request ended.
/// @param aServiceUs how long it ran; 0 if that tells nothing.
/// @return the requests that run now and those whose time is over.
GateDecision
Finish(SlotGate& aGate, Instant aNow, std::int64_t aServiceUs);

/// Takes a waiting request out because its caller left.
/// @return false if it was not waiting.
bool
Withdraw(SlotGate& aGate, std::uint64_t aId);

/// Turns away the waiting requests that would be too late, and runs others if slots are free.
GateDecision
Review(SlotGate& aGate, Instant aNow);

/// Sets new sizes; a larger one takes effect with the next Review.
void
Resize(SlotGate& aGate, const SlotGateOptions& aOptions);

} // namespace sequoiastep::routing
