// Links to other nodes and the calls on them.
#include "CallLinks.h"
#include "CallLinksPriv.h"
#include "HttpServer.h"
#include "LinkLiveness.h"
#include "Log.h"

#include <algorithm>
#include <chrono>

namespace sequoiastep::node {

namespace asio = net::asio;
using net::Awaitable;
using net::kAsTuple;

namespace {

// Maximum wait of a call for a link that is being opened; after it the call may be tried at another
// node.
constexpr Milliseconds kMaxConnectWaitMs = 500;
// Other frames of the link are sent between two chunks.
constexpr std::size_t kBodyChunkBytes = 16U << 10;
// How long a link without calls stays open after an ask for quota tokens.
constexpr Milliseconds kAskLinkIdleMs = 30'000;

void
LogInvalidAnswer(std::string_view aNode, std::string_view aRequestId, const wire::AnswerT& aAnswer)
{
  LogLine(LogLevel::Warning, "call_answer_invalid", aNode)
    .Add("id", aRequestId)
    .Add("peer", aNode)
    .Add("status", aAnswer.status)
    .Add("bytes", aAnswer.body.size());
}

} // namespace

CallLinks::CallLinks(asio::io_context& aContext,
                     Identity aIdentity,
                     SharedState& aShared,
                     std::shared_ptr<net::ByteBudget> aBudget)
  : m_context(aContext)
  , m_identity(std::move(aIdentity))
  , m_shared(aShared)
  , m_budget(std::move(aBudget))
{
}

Awaitable<void>
CallLinks::Connect(LinkPtr aLink, std::string aNode, std::string aAddress)
{
  wire::HelloT hello;
  auto connection = co_await DialPeer(m_context, m_identity, aAddress, wire::Purpose::Calls, hello);
  aLink->m_connecting = false;
  if (connection && hello.node == aNode && !m_stopped) {
    m_silentNodes.erase(aNode);
    aLink->m_connection = std::move(connection);
    aLink->m_connection->CountAgainst(m_budget);
    routing::RecordReceived(aLink->m_liveness, Clock::Now());
    aLink->m_connection->Start(
      [this, weak = std::weak_ptr<Link>(aLink)](wire::EnvelopeT aMessage) {
        if (const LinkPtr link = weak.lock()) {
          Receive(link, std::move(aMessage));
        }
      },
      [this, aNode, weak = std::weak_ptr<Link>(aLink)](const std::string& aReason) {
        if (const LinkPtr link = weak.lock()) {
          LogLine(LogLevel::Info, "call_link_lost", aReason)
            .Add("peer", aNode)
            .Add("reason", aReason)
            .Add("waiting_calls", link->m_pending.size());
          HandleClosed(link, aNode);
        }
      });
  } else {
    m_silentNodes[aNode] = Clock::Now();
    LogLine(LogLevel::Info, "call_link_failed", aNode)
      .Add("peer", aNode)
      .Add("address", aAddress)
      .Add("answered_as", hello.node);
    const auto found = m_links.find(aNode);
    if (found != m_links.end() && found->second == aLink) {
      m_links.erase(found);
    }
  }
  WakeWaiters(*aLink);
}

Awaitable<CallLinks::LinkPtr>
CallLinks::OpenLink(std::string aNode, std::string aAddress, std::int64_t aTimeoutMs)
{
  LinkPtr& entry = m_links[aNode];
  if (!entry) {
    entry = std::make_shared<Link>();
    asio::co_spawn(m_context, Connect(entry, aNode, aAddress), asio::detached);
  }
  const LinkPtr link = entry;
  if (link->m_connecting) {
    co_await WaitForWake(link, std::min<Milliseconds>(aTimeoutMs, kMaxConnectWaitMs));
  }
  const bool open = link->m_connection && link->m_connection->IsOpen();
  co_return open ? link : nullptr;
}

// Waits for WakeWaiters(), for aMaxMs at most.
Awaitable<void>
CallLinks::WaitForWake(LinkPtr aLink, Milliseconds aMaxMs)
{
  asio::steady_timer timer(m_context, std::chrono::milliseconds(aMaxMs));
  struct RemoveWaiter
  {
    Link& m_link;
    asio::steady_timer* m_timer;
    ~RemoveWaiter() { m_link.m_waiters.erase(m_timer); }
  };
  aLink->m_waiters.insert(&timer);
  const RemoveWaiter removeWaiter{ .m_link = *aLink, .m_timer = &timer };
  co_await timer.async_wait(kAsTuple);
}

void
CallLinks::WakeWaiters(Link& aLink)
{
  for (asio::steady_timer* waiter : aLink.m_waiters) {
    waiter->cancel();
  }
}

Awaitable<CallReply>
CallLinks::Call(std::string aNode,
                std::string aAddress,
                wire::CallT aCall,
                std::int64_t aTimeoutMs,
                OnSilent aOnSilent)
{
  const LinkPtr link = co_await OpenLink(aNode, aAddress, aTimeoutMs);
  if (link) {
    RecordReceivedBytes(*link, Clock::Now());
  }
  if (!link || routing::IsSuspect(link->m_liveness, Clock::Now())) {
    co_return CallReply{ .m_kind = CallReply::Kind::NotSent, .m_answer = {} };
  }
  StartLivenessLoop();
  if (routing::NeedsProbe(link->m_liveness, Clock::Now())) {
    SendProbe(*link);
  }
  if (!aCall.repeatable) {
    const bool alive = co_await ConfirmAlive(link);
    if (!alive || !link->m_connection->IsOpen()) {
      co_return CallReply{ .m_kind = CallReply::Kind::NotSent, .m_answer = {} };
    }
  }
  if (m_answerBy) {
    const Milliseconds left = std::max<Milliseconds>(1, *m_answerBy - Clock::Now());
    aCall.timeout_ms = std::min(aCall.timeout_ms, static_cast<std::uint32_t>(left));
  }
  const bool forwarded = aCall.forwarded;
  const std::string requestId = aCall.request_id;
  aCall.id = m_nextId++;
  aCall.sent_ms = Clock::Now().m_ms;
  const std::uint64_t id = aCall.id;
  PendingCall pending(m_context, aTimeoutMs, aCall.repeatable, std::move(aOnSilent));
  if (aCall.body.size() > net::kMaxSmallBodyBytes) {
    pending.m_body = std::move(aCall.body);
    aCall.body.clear();
    aCall.body_size = static_cast<std::uint32_t>(pending.m_body.size());
  }
  pending.m_link = link;
  pending.m_id = id;
  link->m_pending.emplace(id, &pending);
  m_waiting.insert(&pending);
  // Runs however this coroutine ends, also if a cancellation destroys it.
  struct CancelUnanswered
  {
    CallLinks& m_links;
    PendingCall* m_call;
    LinkPtr m_link;
    std::uint64_t m_id;
    ~CancelUnanswered()
    {
      m_links.m_waiting.erase(m_call);
      if (m_link->m_pending.erase(m_id) > 0 && m_link->m_connection) {
        wire::CancelT cancel;
        cancel.id = m_id;
        m_link->m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(cancel))));
      }
    }
  };
  const CancelUnanswered cancelUnanswered{
    .m_links = *this, .m_call = &pending, .m_link = link, .m_id = id
  };
  link->m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(aCall))));
  co_await pending.m_timer.async_wait(kAsTuple);
  if (pending.m_reply.m_kind == CallReply::Kind::TimedOut && !pending.MayRun()) {
    pending.m_reply.m_kind = CallReply::Kind::BodyNotTaken;
  }
  if (pending.m_reply.m_kind == CallReply::Kind::Answered &&
      !IsValidAnswer(pending.m_reply.m_answer, forwarded)) {
    pending.m_reply.m_kind = CallReply::Kind::InvalidAnswer;
    LogInvalidAnswer(aNode, requestId, pending.m_reply.m_answer);
  }
  co_return std::move(pending.m_reply);
}

Awaitable<void>
CallLinks::Notify(std::string aNode, std::string aAddress, wire::EnvelopeT aMessage)
{
  const LinkPtr link = co_await OpenLink(aNode, aAddress, kMaxConnectWaitMs);
  if (!link) {
    co_return;
  }
  RecordReceivedBytes(*link, Clock::Now());
  // A link that is dead is found and dropped also if it carries no call.
  if (routing::NeedsProbe(link->m_liveness, Clock::Now())) {
    SendProbe(*link);
  }
  StartLivenessLoop();
  link->m_connection->Send(wire::EncodeFrame(aMessage));
}

// Sends the bytes of a call's body that the peer granted.
void
CallLinks::SendBody(Link& aLink, const wire::BodyGrantT& aGrant)
{
  const auto found = aLink.m_pending.find(aGrant.id);
  if (found == aLink.m_pending.end()) {
    return; // The call has ended meanwhile.
  }
  PendingCall& call = *found->second;
  const std::size_t upTo = std::min<std::size_t>(aGrant.up_to, call.m_body.size());
  while (call.m_bodySent < upTo) {
    const std::size_t size = std::min(kBodyChunkBytes, upTo - call.m_bodySent);
    const auto start = call.m_body.begin() + static_cast<std::ptrdiff_t>(call.m_bodySent);
    wire::BodyChunkT chunk;
    chunk.id = aGrant.id;
    chunk.bytes.assign(start, start + static_cast<std::ptrdiff_t>(size));
    call.m_bodySent += size;
    aLink.m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(chunk))));
  }
}

void
CallLinks::Receive(const LinkPtr& aLink, wire::EnvelopeT aMessage)
{
  routing::RecordReceived(aLink->m_liveness, Clock::Now());
  WakeWaiters(*aLink);
  if (aMessage.body.type == wire::Body::BodyGrant) {
    SendBody(*aLink, *aMessage.body.AsBodyGrant());
    return;
  }
  if (aMessage.body.type == wire::Body::QuotaGrant) {
    ReceiveGrant(*aLink, *aMessage.body.AsQuotaGrant());
    return;
  }
  if (aMessage.body.type != wire::Body::Answer) {
    return;
  }
  wire::AnswerT& answer = *aMessage.body.AsAnswer();
  const auto found = aLink->m_pending.find(answer.id);
  if (found == aLink->m_pending.end()) {
    m_shared.m_calls.m_lateAnswers.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  PendingCall& pending = *found->second;
  aLink->m_pending.erase(found);
  pending.m_reply.m_kind = CallReply::Kind::Answered;
  pending.m_reply.m_answer = std::move(answer);
  pending.m_timer.cancel();
}

void
CallLinks::HandleClosed(const LinkPtr& aLink, const std::string& aNode)
{
  const auto found = m_links.find(aNode);
  if (found != m_links.end() && found->second == aLink) {
    m_links.erase(found);
  }
  for (const auto& [id, call] : aLink->m_pending) {
    FailCall(*call);
  }
  aLink->m_pending.clear(); // The peer is gone: no Cancel is sent.
  for (const auto& [id, ask] : aLink->m_asks) {
    ask->m_timer.cancel();
  }
  WakeWaiters(*aLink);
}

void
CallLinks::FailCall(PendingCall& aCall)
{
  aCall.m_reply.m_kind = aCall.MayRun() ? CallReply::Kind::LinkBroken : CallReply::Kind::NotSent;
  aCall.m_timer.cancel();
}

void
CallLinks::ShortenCalls(Instant aAt)
{
  m_answerBy = aAt;
  const Milliseconds left = std::max<Milliseconds>(1, aAt - Clock::Now());
  for (const PendingCall* call : m_waiting) {
    const LinkPtr link = call->m_link.lock();
    if (link && link->m_connection) {
      wire::ShortenT shorten;
      shorten.id = call->m_id;
      shorten.within_ms = static_cast<std::uint32_t>(left);
      link->m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(shorten))));
    }
  }
}

void
CallLinks::EndWaits()
{
  for (PendingCall* call : m_waiting) {
    call->m_timer.cancel();
  }
}

void
CallLinks::CloseIdle(const RoutingView& aView)
{
  ForgetSilentNodes(Clock::Now());
  std::erase_if(m_links, [&](const auto& aItem) {
    const std::string& node = aItem.first;
    const LinkPtr& link = aItem.second;
    const bool asked = link->m_askedAt && Clock::Now() - *link->m_askedAt < kAskLinkIdleMs;
    if (link->m_connecting || !link->m_pending.empty() || asked) {
      return false;
    }
    const auto isNode = [&node](const routing::Candidate& aCandidate) {
      return aCandidate.m_node == node;
    };
    const bool isRegular =
      std::any_of(aView.m_services.begin(), aView.m_services.end(), [&](const auto& aService) {
        return std::any_of(aService.second.begin(), aService.second.end(), isNode);
      });
    const bool isOnTrial =
      std::any_of(aView.m_rollouts.begin(), aView.m_rollouts.end(), [&](const auto& aService) {
        const auto& trial = aService.second.m_trial;
        return std::any_of(trial.begin(), trial.end(), isNode);
      });
    return !isRegular && !isOnTrial;
  });
}

void
CallLinks::Stop()
{
  m_stopped = true;
  m_links.clear();
}

std::size_t
CallLinks::LinkCount() const
{
  return m_links.size();
}

} // namespace sequoiastep::node
