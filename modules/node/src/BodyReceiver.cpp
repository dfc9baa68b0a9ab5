#include "BodyReceiver.h"

#include "Frame.h"
#include "Log.h"

#include <chrono>

namespace sequoiastep::node {

namespace asio = net::asio;
using net::Awaitable;
using net::kAsTuple;

// A body that is being received. Its timer expires with the call and is cancelled when the body is
// complete.
struct BodyReceiver::PendingBody
{
  PendingBody(asio::io_context& aContext, const wire::CallT& aCall, SendFrame aSend)
    : m_call(aCall.id)
    , m_size(aCall.body_size)
    , m_send(std::move(aSend))
    , m_timer(aContext, std::chrono::milliseconds(aCall.timeout_ms))
  {
  }

  std::uint64_t m_transfer = 0;
  /// The call's id at the sender.
  std::uint64_t m_call;
  std::size_t m_size;
  SendFrame m_send;
  asio::steady_timer m_timer;
  std::vector<std::uint8_t> m_bytes;
};

BodyReceiver::BodyReceiver(asio::io_context& aContext, const routing::IntakeOptions& aOptions)
  : m_context(aContext)
{
  m_intake.m_options = aOptions;
}

Awaitable<bool>
BodyReceiver::Receive(InboundCallId aId, wire::CallT& aCall, SendFrame aSend)
{
  const Instant now = Clock::Now();
  PendingBody body(m_context, aCall, std::move(aSend));
  body.m_transfer = m_nextTransfer++;
  m_pending[aId] = &body;
  m_byTransfer[body.m_transfer] = &body;
  struct Cleanup
  {
    BodyReceiver& m_receiver;
    InboundCallId m_id;
    std::uint64_t m_transfer;
    ~Cleanup()
    {
      routing::End(m_receiver.m_intake, m_transfer);
      m_receiver.m_pending.erase(m_id);
      m_receiver.m_byTransfer.erase(m_transfer);
      m_receiver.SendGrants();
    }
  };
  const Cleanup cleanup{ .m_receiver = *this, .m_id = aId, .m_transfer = body.m_transfer };
  routing::BodyTransfer transfer{ .m_size = aCall.body_size, .m_priority = aCall.priority };
  if (aCall.objective_ms != 0) {
    transfer.m_objective = now + aCall.objective_ms;
  }
  routing::Begin(m_intake, body.m_transfer, transfer, now);
  SendGrants();
  co_await body.m_timer.async_wait(kAsTuple);
  const bool complete = body.m_bytes.size() == body.m_size;
  aCall.body = std::move(body.m_bytes);
  co_return complete;
}

void
BodyReceiver::AddChunk(InboundCallId aId, const wire::BodyChunkT& aChunk)
{
  const auto found = m_pending.find(aId);
  if (found == m_pending.end()) {
    return; // The call has ended meanwhile.
  }
  PendingBody& body = *found->second;
  if (!routing::Receive(m_intake, body.m_transfer, aChunk.bytes.size(), Clock::Now())) {
    LogLine(LogLevel::Warning, "body_refused", "ungranted")
      .Add("reason", "the sender sent more of the body than was granted")
      .Add("call", body.m_call);
    body.m_timer.cancel();
    return;
  }
  body.m_bytes.insert(body.m_bytes.end(), aChunk.bytes.begin(), aChunk.bytes.end());
  if (body.m_bytes.size() == body.m_size) {
    body.m_timer.cancel();
  }
  SendGrants();
}

void
BodyReceiver::SendGrants()
{
  for (const routing::BodyGrant& grant : routing::NextGrants(m_intake, Clock::Now())) {
    const PendingBody& body = *m_byTransfer.at(grant.m_id);
    wire::BodyGrantT message;
    message.id = body.m_call;
    message.up_to = static_cast<std::uint32_t>(grant.m_upTo);
    body.m_send(wire::EncodeFrame(wire::MakeEnvelope(std::move(message))));
  }
}

std::uint32_t
BodyReceiver::TransferMs(std::uint64_t aSize) const
{
  return static_cast<std::uint32_t>(routing::TransferMs(m_intake, aSize));
}

std::size_t
BodyReceiver::Count() const
{
  return m_pending.size();
}

} // namespace sequoiastep::node
