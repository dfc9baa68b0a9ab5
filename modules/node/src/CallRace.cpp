#include "CallRace.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <chrono>
#include <utility>

namespace sequoiastep::node {

namespace asio = net::asio;
using net::Awaitable;
using net::kAsTuple;

namespace {

// The answer of an attempt that ended without one.
wire::AnswerT
MakeBrokenOff()
{
  wire::AnswerT answer;
  answer.outcome = wire::CallOutcome::Unknown;
  answer.arrived = true;
  answer.reason = "the attempt was broken off";
  return answer;
}

} // namespace

AttemptEvents::AttemptEvents(asio::io_context& aContext)
  : m_wake(aContext)
{
}

void
AttemptEvents::Push(AttemptEvent aEvent)
{
  m_events.push_back(std::move(aEvent));
  m_wake.cancel();
}

Awaitable<AttemptEvent>
AttemptEvents::Next()
{
  while (m_events.empty()) {
    m_wake.expires_at(std::chrono::steady_clock::time_point::max());
    co_await m_wake.async_wait(kAsTuple);
  }
  AttemptEvent event = std::move(m_events.front());
  m_events.pop_front();
  co_return event;
}

CallRace::CallRace(asio::io_context& aContext)
  : m_context(aContext)
  , m_events(std::make_shared<AttemptEvents>(aContext))
{
}

CallRace::~CallRace()
{
  for (const CallAttemptPtr& attempt : m_inFlight) {
    if (!attempt->m_ended) {
      attempt->m_abandoned = true;
      attempt->m_cancel.emit(asio::cancellation_type::terminal);
    }
  }
}

void
CallRace::Start(CallAttemptPtr aAttempt, Attempt aRun)
{
  m_inFlight.push_back(aAttempt);
  const asio::cancellation_slot slot = aAttempt->m_cancel.slot();
  auto onEnd = [attempt = std::move(aAttempt),
                events = m_events](const std::exception_ptr& aFailure) {
    if (aFailure) {
      attempt->m_outcome = routing::AttemptOutcome::Unknown;
      attempt->m_answer = MakeBrokenOff();
    }
    attempt->m_ended = true;
    events->Push({ .m_kind = AttemptEvent::Kind::Ended, .m_attempt = attempt });
  };
  asio::co_spawn(m_context, std::move(aRun), asio::bind_cancellation_slot(slot, std::move(onEnd)));
}

Awaitable<AttemptEvent>
CallRace::Next()
{
  AttemptEvent event = co_await m_events->Next();
  if (event.m_kind == AttemptEvent::Kind::Ended) {
    std::erase(m_inFlight, event.m_attempt);
  }
  co_return event;
}

} // namespace sequoiastep::node
