/// @file
/// Admission control for the slots of the target beside the node: runs, queues or sheds each
/// request. It keeps the rate that the target accepts as well.
///
/// Queued requests are ordered by priority, then those that can still meet their latency objective
/// come before those that can't: under overload the target runs the requests that gain most from
/// it. A request that would miss its deadline is shed as soon as this is predicted, not when the
/// deadline passes.
#pragma once

#include "Clock.h"
#include "RateLimiter.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastep::routing {

/// What happens to an offered request.
enum class Admission
{
  Run,
  Wait,
  /// Refused: it was not run.
  Shed,
};

/// Limits of an admission queue.
struct AdmissionOptions
{
  /// Requests that run at the same time.
  std::uint32_t m_slots = 1;
  /// Queue limit in requests.
  std::uint32_t m_queue = 12;
  /// Maximum time in the queue.
  Milliseconds m_queueMs = 200;
};

/// A request that is offered to the queue.
struct AdmissionRequest
{
  std::uint64_t m_id = 0;
  /// The caller, for fairness between callers.
  std::string m_caller;
  /// Priority; 0 is the highest.
  std::uint32_t m_priority = 0;
  /// It is a call of a target that works on another request, whose work is lost if it is refused.
  /// Such calls run before new requests of the same priority.
  bool m_continuesWork = false;
  /// Expected run time in microseconds; 0 to use the queue's average.
  double m_serviceUs = 0;
  /// The caller's deadline.
  Instant m_deadline;
  /// When the latency objective is over; the default means that only the deadline applies.
  Instant m_objective{ std::numeric_limits<Milliseconds>::max() };
  /// It is shed, so that the caller's node tries another target, rather than wait longer than this.
  Milliseconds m_maxWaitMs = std::numeric_limits<Milliseconds>::max();
  /// Set by the queue: it is shed if it has not started by then.
  Instant m_latestStart;
  /// Set by the queue: its sequence number in the order of arrival.
  std::uint64_t m_arrivalOrder = 0;
};

/// The queue's state. Between otherwise equal requests callers are served in turn, and no caller
/// may fill the queue while others wait in it as well.
struct AdmissionQueue
{
  AdmissionOptions m_options;
  /// Rate that the target accepts, whatever slots are free.
  RateLimiter m_rateLimiter;
  std::uint32_t m_running = 0;
  std::vector<AdmissionRequest> m_waiting;
  /// Moving average of how long a request runs, in microseconds.
  double m_serviceUs = 0;
  /// Set when the node stops: requests that would probably end later are shed.
  std::optional<Instant> m_closesAt;
  /// For each caller with queued requests, m_servedCount when it was last served, or 0.
  std::map<std::string, std::uint64_t, std::less<>> m_lastServed;
  std::uint64_t m_servedCount = 0;
  std::uint64_t m_arrivalCount = 0;
};

/// Result of an offer.
struct AdmissionResult
{
  Admission m_admission = Admission::Shed;
  /// Estimated wait.
  Milliseconds m_waitMs = 0;
  /// The wait is for the rate that the target accepts, not for a slot.
  bool m_rateLimited = false;
};

/// Ids of the queued requests that now run or are shed.
struct QueueDecision
{
  std::vector<std::uint64_t> m_run;
  std::vector<std::uint64_t> m_shed;
};

/// @return what Offer would decide about a request, whose m_arrivalOrder is taken as the latest.
AdmissionResult
Predict(const AdmissionQueue& aQueue, const AdmissionRequest& aRequest, Instant aNow);

/// Decides whether a request runs, is queued or is shed.
AdmissionResult
Offer(AdmissionQueue& aQueue, const AdmissionRequest& aRequest, Instant aNow);

/// Records that a running request ended.
/// @param aServiceUs its run time in microseconds; 0 to leave the average as it is.
/// @return the queued requests that run now and those that are shed.
QueueDecision
Finish(AdmissionQueue& aQueue, Instant aNow, std::int64_t aServiceUs);

/// Sheds from now on the requests, queued ones too, that would probably end after aAt.
/// @return the queued requests that run now and those that are shed.
QueueDecision
CloseAt(AdmissionQueue& aQueue, Instant aAt, Instant aNow);

/// Moves the deadline of a queued request to aDeadline if that is earlier.
/// @return the queued requests that run now and those that are shed.
QueueDecision
Shorten(AdmissionQueue& aQueue, std::uint64_t aId, Instant aDeadline, Instant aNow);

/// Removes a queued request because its caller left.
/// @return false if it was not queued.
bool
Withdraw(AdmissionQueue& aQueue, std::uint64_t aId);

/// Sheds the queued requests that would start too late, and runs others while slots are free.
QueueDecision
ProcessQueue(AdmissionQueue& aQueue, Instant aNow);

/// @return the time until the rate that the target accepts lets one more request pass.
Milliseconds
RateWaitMs(const AdmissionQueue& aQueue, Instant aNow);

/// Sets new limits. Added slots are used from the next ProcessQueue on.
void
Resize(AdmissionQueue& aQueue, const AdmissionOptions& aOptions);

} // namespace sequoiastep::routing
