/// @file
/// The attempts of one call that are in flight at the same time.
#pragma once

#include "AsioTypes.h"
#include "CallProgress.h"
#include "Messages_generated.h"
#include "Picker.h"
#include "RolloutTable.h"

#include <boost/asio/cancellation_signal.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace sequoiastep::node {

/// One attempt of a call at a target.
struct CallAttempt
{
  routing::Candidate m_target;
  routing::AttemptRecord m_record;
  /// The node beside the target refuses the call rather than let it wait longer for a slot.
  Milliseconds m_maxWaitMs = 0;
  /// The rollout by which it goes to a target on trial; none if it does not.
  std::optional<rollout::Rollout> m_trial;
  /// Cancels the attempt.
  net::asio::cancellation_signal m_cancel;
  /// Nobody waits for its answer any more.
  bool m_abandoned = false;
  bool m_ended = false;
  /// How it ended, and its answer.
  routing::AttemptOutcome m_outcome = routing::AttemptOutcome::Unknown;
  wire::AnswerT m_answer;
};

using CallAttemptPtr = std::shared_ptr<CallAttempt>;

/// What happened to an attempt.
struct AttemptEvent
{
  enum class Kind
  {
    /// The node beside the target fell silent; the attempt goes on.
    Unresponsive,
    Ended,
  };

  Kind m_kind = Kind::Ended;
  CallAttemptPtr m_attempt;
};

/// Events of a call's attempts, in order of occurrence.
class AttemptEvents
{
public:
  explicit AttemptEvents(net::asio::io_context& aContext);

  void Push(AttemptEvent aEvent);
  /// Waits for the next event. One coroutine may wait at a time.
  net::Awaitable<AttemptEvent> Next();

private:
  net::asio::steady_timer m_wake;
  std::deque<AttemptEvent> m_events;
};

/// Runs the attempts of one call. Attempts that are in flight when it is destroyed are cancelled:
/// an answer came first, or the caller left.
class CallRace
{
public:
  /// Carries out one attempt and sets its outcome and answer.
  using Attempt = net::Awaitable<void>;

  explicit CallRace(net::asio::io_context& aContext);
  ~CallRace();
  CallRace(const CallRace&) = delete;
  CallRace& operator=(const CallRace&) = delete;

  /// Starts an attempt.
  /// @param aRun carries it out.
  void Start(CallAttemptPtr aAttempt, Attempt aRun);
  /// Waits until something happens to an attempt. One that has ended is no longer in flight.
  net::Awaitable<AttemptEvent> Next();
  /// @return where the node's silence during an attempt is reported.
  const std::shared_ptr<AttemptEvents>& Events() const { return m_events; }

private:
  net::asio::io_context& m_context;
  std::shared_ptr<AttemptEvents> m_events;
  std::vector<CallAttemptPtr> m_inFlight;
};

} // namespace sequoiastep::node
