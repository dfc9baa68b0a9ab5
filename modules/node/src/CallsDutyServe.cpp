// Calls that come from other nodes, for the target beside this one.
#include "Address.h"
#include "CallsDuty.h"
#include "CallsDutyPriv.h"
#include "DelayEstimator.h"
#include "Problem.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>

namespace sequoiastep::node {

namespace asio = net::asio;
using net::Awaitable;
using wire::AnswerT;
using wire::CallT;

// A link by which another node sends calls here.
struct CallsDuty::Inbound
{
  std::string m_node;
  bool m_foreign = false;
  std::unique_ptr<net::FrameConnection> m_connection;
  routing::DelayEstimator m_transit;
  std::map<std::uint64_t, std::shared_ptr<TargetRun>> m_calls;
};

void
CallsDuty::TakeCallSocket(int aDescriptor, const wire::HelloT& aHello)
{
  net::error_code error;
  net::tcp::socket socket(m_context);
  socket.assign(net::tcp::v4(), aDescriptor, error);
  if (error) {
    return;
  }
  auto inbound = std::make_shared<Inbound>();
  inbound->m_node = aHello.node;
  inbound->m_foreign = aHello.region != m_identity.m_region;
  inbound->m_connection = std::make_unique<net::FrameConnection>(std::move(socket));
  routing::EstimateDelay(inbound->m_transit, aHello.sent_ms, Clock::Now());
  m_inbound.insert(inbound);
  inbound->m_connection->Send(wire::EncodeFrame(MakeHello(m_identity, wire::Purpose::Calls)));
  inbound->m_connection->Start(
    [this, weak = std::weak_ptr<Inbound>(inbound)](wire::EnvelopeT aMessage) {
      if (const InboundPtr strong = weak.lock()) {
        Receive(strong, std::move(aMessage));
      }
    },
    [this, weak = std::weak_ptr<Inbound>(inbound)](const std::string&) {
      if (const InboundPtr strong = weak.lock()) {
        // Nobody can get the answers any more: what still waits need not run.
        const auto calls = strong->m_calls;
        for (const auto& [id, run] : calls) {
          Abandon(*run);
        }
        m_inbound.erase(strong);
      }
    });
}

void
CallsDuty::Receive(const InboundPtr& aInbound, wire::EnvelopeT aMessage)
{
  if (aMessage.body.type == wire::Body::Cancel) {
    const auto found = aInbound->m_calls.find(aMessage.body.AsCancel()->id);
    if (found != aInbound->m_calls.end()) {
      m_shared.m_calls.m_cancelled.fetch_add(1, std::memory_order_relaxed);
      const auto run = found->second;
      Abandon(*run);
    }
    return;
  }
  if (aMessage.body.type == wire::Body::Probe) {
    wire::ProbeT answer;
    answer.answer = true;
    aInbound->m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(answer))));
    return;
  }
  if (aMessage.body.type != wire::Body::Call) {
    return;
  }
  CallT call = std::move(*aMessage.body.AsCall());
  // What the call waited in buffers, as while this process was paused, is time of its deadline.
  const Milliseconds age = routing::EstimateDelay(aInbound->m_transit, call.sent_ms, Clock::Now());
  call.timeout_ms -= static_cast<std::uint32_t>(std::min<Milliseconds>(age, call.timeout_ms));
  const auto run = MakeTargetRun(call);
  aInbound->m_calls[call.id] = run;
  asio::co_spawn(
    m_context,
    Serve(aInbound, std::move(call), run),
    asio::bind_cancellation_slot(run->m_cancel.slot(), [run](const std::exception_ptr&) {}));
}

Awaitable<void>
CallsDuty::Serve(InboundPtr aInbound, CallT aCall, std::shared_ptr<TargetRun> aRun)
{
  const InProgress progress(m_serving);
  const std::uint64_t id = aCall.id;
  struct Forget
  {
    Inbound& m_inbound;
    std::uint64_t m_id;
    ~Forget() { m_inbound.m_calls.erase(m_id); }
  };
  const Forget forget{ .m_inbound = *aInbound, .m_id = id };
  const Span span(TraceOf(aCall), "serve", m_random);
  aCall.parent_span = span.Context().m_parent;
  AnswerT answer;
  if (aCall.forwarded) {
    answer = co_await AnswerForwarded(std::move(aCall));
  } else {
    co_await HoldForVersion(aCall.version);
    answer = co_await m_runner.Run(std::move(aCall), aInbound->m_node, aRun);
  }
  answer.id = id;
  span.End(NameOf(answer.outcome), "target");
  aInbound->m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(answer))));
}

} // namespace sequoiastep::node
