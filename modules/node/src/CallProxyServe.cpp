// Calls that other nodes send to the target beside this node, and requests that they forward.
#include "Address.h"
#include "CallProxy.h"
#include "CallProxyPriv.h"
#include "DelayEstimator.h"
#include "Problem.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>

namespace sequoiastep::node {

namespace asio = net::asio;
using net::Awaitable;
using wire::AnswerT;
using wire::CallT;

// A connection on which another node sends calls to this one.
struct CallProxy::InboundLink
{
  std::string m_node;
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
  link->m_crossRegion = aHello.region != m_identity.m_region;
  link->m_connection = std::make_unique<net::FrameConnection>(std::move(socket));
  routing::EstimateDelay(link->m_delayEstimator, aHello.sent_ms, Clock::Now());
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
  if (aMessage.body.type == wire::Body::Probe) {
    wire::ProbeT answer;
    answer.answer = true;
    aLink->m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(answer))));
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
  if (aCall.forwarded) {
    answer = co_await AnswerForwarded(std::move(aCall));
  } else {
    co_await HoldForVersion(aCall.version);
    answer = co_await m_runner.Run(std::move(aCall), aLink->m_node, aRun);
  }
  answer.id = id;
  span.End(NameOf(answer.outcome), "target");
  aLink->m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(answer))));
}

} // namespace sequoiastep::node
