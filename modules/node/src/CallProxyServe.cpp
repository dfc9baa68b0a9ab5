// Calls that other nodes send to the target beside this node, and requests that they forward.
#include "Address.h"
#include "CallProxy.h"
#include "CallProxyPriv.h"
#include "DelayEstimator.h"
#include "Log.h"
#include "Problem.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>

namespace sequoiastep::node {

namespace asio = net::asio;
using net::Awaitable;
using wire::AnswerT;
using wire::CallOutcome;
using wire::CallT;

// A connection on which another node sends calls to this one.
struct CallProxy::InboundLink
{
  std::string m_node;
  /// Number of the link, unique in this process.
  std::uint64_t m_number = 0;
  bool m_crossRegion = false;
  std::unique_ptr<net::FrameConnection> m_connection;
  /// Measures how long calls were in transit.
  routing::DelayEstimator m_delayEstimator;
  /// Calls in progress, by call id.
  std::map<std::uint64_t, std::shared_ptr<TargetRun>> m_calls;
};

void
CallProxy::AdoptCallSocket(int aDescriptor, const wire::HelloT& aHello)
{
  net::error_code error;
  net::tcp::socket socket(m_context);
  socket.assign(net::tcp::v4(), aDescriptor, error);
  if (error) {
    return;
  }
  auto link = std::make_shared<InboundLink>();
  link->m_node = aHello.node;
  link->m_number = m_nextInboundLink++;
  link->m_crossRegion = aHello.region != m_identity.m_region;
  link->m_connection = std::make_unique<net::FrameConnection>(std::move(socket));
  routing::EstimateDelay(link->m_delayEstimator, aHello.sent_ms, Clock::Now());
  link->m_connection->CountAgainst(m_budget.m_links);
  m_inboundLinks.insert(link);
  link->m_connection->Send(wire::EncodeFrame(MakeHello(m_identity, wire::Purpose::Calls)));
  link->m_connection->Start(
    [this, weak = std::weak_ptr<InboundLink>(link)](wire::EnvelopeT aMessage) {
      if (const InboundLinkPtr strong = weak.lock()) {
        Receive(strong, std::move(aMessage));
      }
    },
    [this, weak = std::weak_ptr<InboundLink>(link)](const std::string&) {
      if (const InboundLinkPtr strong = weak.lock()) {
        // The answers can't be delivered any more, so calls that still wait need not run.
        const auto calls = strong->m_calls;
        for (const auto& [id, run] : calls) {
          Abandon(*run);
        }
        m_inboundLinks.erase(strong);
      }
    });
}

// Bytes on the links from other nodes that those have not received.
std::size_t
CallProxy::UndeliveredBytes() const
{
  std::size_t bytes = 0;
  for (const InboundLinkPtr& link : m_inboundLinks) {
    bytes += link->m_connection->UndeliveredBytes();
  }
  return bytes;
}

// Ends all calls of other nodes; those that were dispatched are answered as unknown.
void
CallProxy::EndInboundCalls()
{
  const auto links = m_inboundLinks;
  for (const InboundLinkPtr& link : links) {
    const auto calls = link->m_calls;
    for (const auto& [id, run] : calls) {
      run->m_cancel.emit(asio::cancellation_type::terminal);
    }
  }
}

void
CallProxy::Receive(const InboundLinkPtr& aLink, wire::EnvelopeT aMessage)
{
  if (aMessage.body.type == wire::Body::Cancel) {
    const auto found = aLink->m_calls.find(aMessage.body.AsCancel()->id);
    if (found != aLink->m_calls.end()) {
      m_shared.m_calls.m_cancelled.fetch_add(1, std::memory_order_relaxed);
      const auto run = found->second;
      Abandon(*run);
    }
    return;
  }
  if (aMessage.body.type == wire::Body::Shorten) {
    const wire::ShortenT& shorten = *aMessage.body.AsShorten();
    const auto found = aLink->m_calls.find(shorten.id);
    if (found != aLink->m_calls.end()) {
      const auto run = found->second;
      run->m_answerBy = Clock::Now() + shorten.within_ms;
      m_runner.Shorten(*run);
    }
    return;
  }
  if (aMessage.body.type == wire::Body::Probe) {
    wire::ProbeT answer;
    answer.answer = true;
    aLink->m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(answer))));
    return;
  }
  if (aMessage.body.type == wire::Body::BodyChunk) {
    const wire::BodyChunkT& chunk = *aMessage.body.AsBodyChunk();
    m_bodies.AddChunk({ .m_link = aLink->m_number, .m_call = chunk.id }, chunk);
    return;
  }
  if (aMessage.body.type == wire::Body::RolloutEvidence && m_rolloutCalls) {
    m_rolloutCalls->Receive(aLink->m_node, std::move(*aMessage.body.AsRolloutEvidence()));
    return;
  }
  if (aMessage.body.type == wire::Body::QuotaAsk) {
    if (m_quotas.IsEnabled()) {
      aLink->m_connection->Send(
        wire::EncodeFrame(wire::MakeEnvelope(m_quotas.Answer(*aMessage.body.AsQuotaAsk()))));
    }
    return;
  }
  if (aMessage.body.type != wire::Body::Call) {
    return;
  }
  CallT call = std::move(*aMessage.body.AsCall());
  // Time that the call spent in buffers, such as while this process was paused, counts against its
  // deadline.
  const Milliseconds age =
    routing::EstimateDelay(aLink->m_delayEstimator, call.sent_ms, Clock::Now());
  call.timeout_ms -= static_cast<std::uint32_t>(std::min<Milliseconds>(age, call.timeout_ms));
  const auto run = MakeTargetRun(call);
  aLink->m_calls[call.id] = run;
  asio::co_spawn(
    m_context,
    ServeCall(aLink, std::move(call), run),
    asio::bind_cancellation_slot(run->m_cancel.slot(), [run](const std::exception_ptr&) {}));
}

// The answer to a call whose body would take more memory than there is.
AnswerT
CallProxy::RefuseBody(const CallT& aCall, const std::string& aCaller)
{
  ++m_bodiesRefused;
  LogLine(LogLevel::Warning, "body_refused", "memory")
    .Add("reason", "there is no room for the body")
    .Add("peer", aCaller)
    .Add("bytes", aCall.body_size);
  AnswerT answer;
  answer.outcome = CallOutcome::NotRun;
  answer.overloaded = true;
  answer.reason = "this node has no room for the body";
  return answer;
}

// Receives the body that a call announces, unless the call would be refused afterwards. Returns the
// answer to the call if it does not run.
Awaitable<std::optional<AnswerT>>
CallProxy::ReceiveBody(InboundLinkPtr aLink, CallT& aCall, net::BudgetShare& aShare)
{
  const Instant start = Clock::Now();
  if (!m_budget.MayReceiveBody(aCall.body_size)) {
    co_return RefuseBody(aCall, aLink->m_node);
  }
  aShare.Set(aCall.body_size);
  if (!aCall.forwarded) {
    std::optional<AnswerT> refusal =
      m_runner.RefuseEarly(aCall, aLink->m_node, m_bodies.TransferMs(aCall.body_size));
    if (refusal) {
      co_return refusal;
    }
  }
  const InboundCallId id{ .m_link = aLink->m_number, .m_call = aCall.id };
  BodyReceiver::SendFrame send = [weak = std::weak_ptr(aLink)](std::string aFrame) {
    if (const InboundLinkPtr link = weak.lock()) {
      link->m_connection->Send(std::move(aFrame));
    }
  };
  const bool complete = co_await m_bodies.Receive(id, aCall, std::move(send));
  if (!complete) {
    AnswerT answer;
    answer.outcome = CallOutcome::NotRun;
    answer.overloaded = true;
    answer.reason = "the body did not arrive in time";
    co_return answer;
  }
  const Milliseconds elapsedMs = Clock::Now() - start;
  aCall.timeout_ms -=
    static_cast<std::uint32_t>(std::min<Milliseconds>(elapsedMs, aCall.timeout_ms));
  aCall.objective_ms -= aCall.objective_ms == 0 ? 0 : static_cast<std::int32_t>(elapsedMs);
  // The body has crossed the network, so that any other target would cost more than the wait here.
  aCall.most_wait_ms = static_cast<std::uint32_t>(routing::kAnyWaitMs);
  co_return std::nullopt;
}

Awaitable<void>
CallProxy::ServeCall(InboundLinkPtr aLink, CallT aCall, std::shared_ptr<TargetRun> aRun)
{
  const ScopedCount progress(m_inboundCalls);
  const std::uint64_t id = aCall.id;
  struct RemoveCall
  {
    InboundLink& m_link;
    std::uint64_t m_id;
    ~RemoveCall() { m_link.m_calls.erase(m_id); }
  };
  const RemoveCall removeCall{ .m_link = *aLink, .m_id = id };
  const Span span(TraceOf(aCall), "serve", m_random);
  aCall.parent_span = span.Context().m_parentSpan;
  AnswerT answer;
  const std::int64_t arrivedUs = Clock::NowMicroseconds();
  std::optional<AnswerT> refusal;
  net::BudgetShare body(m_budget.m_bodies);
  if (aCall.body_size > 0) {
    refusal = co_await ReceiveBody(aLink, aCall, body);
  }
  const auto bodyUs = static_cast<std::uint32_t>(Clock::NowMicroseconds() - arrivedUs);
  if (refusal) {
    answer = std::move(*refusal);
  } else if (aCall.forwarded) {
    answer = co_await AnswerForwarded(std::move(aCall));
  } else {
    co_await HoldForVersion(aCall.version);
    answer = co_await m_runner.Run(std::move(aCall), aLink->m_node, aRun);
  }
  answer.id = id;
  answer.held_us += bodyUs;
  answer.body_wait_ms = m_bodies.TransferMs(0);
  answer.outstanding = static_cast<std::uint16_t>(answer.outstanding + m_bodies.Count());
  span.End(NameOf(answer.outcome), "target");
  aLink->m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(answer))));
}

} // namespace sequoiastep::node
