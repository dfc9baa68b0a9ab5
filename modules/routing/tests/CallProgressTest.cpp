#include "CallProgress.h"

#include <doctest/doctest.h>

namespace sequoiastep::routing {

namespace {

constexpr Instant kNow{ 10'000 };
constexpr Milliseconds kLeftMs = 1000;

// A call with a budget of its own.
struct Play
{
  CallProgress m_call;
  RetryBudget m_budget;

  explicit Play(config::Repeat aRepeat, double aRetries = 10)
  {
    m_call.m_context.m_repeat = aRepeat;
    m_budget.m_allowance = { .m_ratio = 0, .m_extra = aRetries };
  }

  AttemptRecord Start() { return RecordStart(m_call); }
  void FallSilent(AttemptRecord& aAttempt)
  {
    RecordUnresponsive(m_call, aAttempt, m_budget, kLeftMs, kNow);
  }
  void End(AttemptRecord& aAttempt, AttemptOutcome aOutcome, bool aArrived = true)
  {
    const AttemptEnd end{ .m_outcome = aOutcome, .m_arrived = aArrived };
    RecordEnd(m_call, aAttempt, end, m_budget, kLeftMs, kNow);
  }
};

TEST_CASE(
  "an attempt whose node fell silent goes on beside the retry, and the first success ends the call")
{
  Play play(config::Repeat::Safe);
  AttemptRecord first = play.Start();
  play.FallSilent(first);
  CHECK(play.m_call.m_decision == RetryDecision::TryCharged);
  play.Start();
  CHECK(play.m_call.m_inFlight == 2);
  CHECK_FALSE(IsFinished(play.m_call));
  play.End(first, AttemptOutcome::Done);
  CHECK(IsFinished(play.m_call));
}

TEST_CASE("a call is not given up while an attempt whose node fell silent is in flight")
{
  Play play(config::Repeat::Safe, 0);
  AttemptRecord first = play.Start();
  play.FallSilent(first);
  CHECK(play.m_call.m_decision == RetryDecision::StopBudget);
  CHECK_FALSE(IsFinished(play.m_call));
  play.End(first, AttemptOutcome::Unknown);
  CHECK(IsFinished(play.m_call));
}

TEST_CASE("a retry beside a silent attempt that finds no room leaves the call to that attempt")
{
  Play play(config::Repeat::Safe, 1);
  AttemptRecord first = play.Start();
  play.FallSilent(first);
  AttemptRecord second = play.Start();
  CHECK(second.m_charged);
  play.End(second, AttemptOutcome::Overloaded, false);
  CHECK(play.m_call.m_decision == RetryDecision::TryCharged); // The charge was refunded.
  RecordNoTarget(play.m_call, play.m_budget, kNow);
  CHECK_FALSE(IsFinished(play.m_call));
  CHECK(RetriesLeft(play.m_budget, kNow) == doctest::Approx(1));
  play.End(first, AttemptOutcome::Done);
  CHECK(IsFinished(play.m_call));
}

TEST_CASE(
  "a call whose silent attempt fails does not exceed its attempts while the retry is in flight")
{
  Play play(config::Repeat::Safe);
  play.m_call.m_context.m_maxAttempts = 2;
  AttemptRecord first = play.Start();
  play.FallSilent(first);
  AttemptRecord second = play.Start();
  play.End(first, AttemptOutcome::Unknown);
  CHECK(play.m_call.m_decision == RetryDecision::StopInFlight);
  CHECK_FALSE(IsFinished(play.m_call));
  play.End(second, AttemptOutcome::Unknown);
  CHECK(play.m_call.m_decision == RetryDecision::StopAttempts);
  CHECK(IsFinished(play.m_call));
}

TEST_CASE("a call that may run once gets no second attempt while its node is silent")
{
  Play play(config::Repeat::Never);
  AttemptRecord first = play.Start();
  play.FallSilent(first);
  CHECK(play.m_call.m_decision == RetryDecision::Stop);
  CHECK_FALSE(IsFinished(play.m_call));
}

TEST_CASE("a silent attempt that turns out not to have arrived no longer counts as arrived")
{
  Play play(config::Repeat::Safe);
  AttemptRecord first = play.Start();
  play.FallSilent(first);
  CHECK(play.m_call.m_context.m_arrivals == 1);
  play.End(first, AttemptOutcome::Overloaded, false);
  CHECK(play.m_call.m_context.m_arrivals == 0);
  CHECK(play.m_call.m_decision == RetryDecision::TryFree);
}

} // namespace

} // namespace sequoiastep::routing
