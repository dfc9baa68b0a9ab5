#include "CallLinks.h"

#include "HttpServer.h"
#include "LinkLiveness.h"
#include "Log.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <vector>

namespace sequoiastep::node {

namespace asio = net::asio;
using net::Awaitable;
using net::kAsTuple;

namespace {

// Maximum wait of a call for a link that is being opened; after it the call may be tried at another
// node.
constexpr Milliseconds kMaxConnectWaitMs = 500;
constexpr Milliseconds kReviewIntervalMs = 50;
// Other frames of the link are sent between two chunks.
constexpr std::size_t kBodyChunkBytes = 16U << 10;
// How long a node that could not be reached counts as silent.
constexpr Milliseconds kSilentNodeMs = 5000;
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

// A call that waits for its answer. The wait ends when the timer expires or is cancelled.
struct CallLinks::PendingCall
{
  PendingCall(asio::io_context& aContext,
              std::int64_t aTimeoutMs,
              bool aRepeatable,
              OnSilent aOnSilent)
    : m_timer(aContext, std::chrono::milliseconds(aTimeoutMs))
    , m_repeatable(aRepeatable)
    , m_onSilent(std::move(aOnSilent))
  {
  }

  /// Returns true if the peer may have the whole request. It runs nothing before.
  bool MayRun() const { return m_bodySent == m_body.size(); }

  asio::steady_timer m_timer;
  bool m_repeatable;
  OnSilent m_onSilent;
  /// Body that is sent in chunks; empty if the call itself carries it.
  std::vector<std::uint8_t> m_body;
  std::size_t m_bodySent = 0;
  /// The link that it was sent over, and its id there.
  std::weak_ptr<Link> m_link;
  std::uint64_t m_id = 0;
  CallReply m_reply{ .m_kind = CallReply::Kind::TimedOut, .m_answer = {} };
};

// An ask for quota tokens that waits for its reply. The wait ends when the timer expires or is
// cancelled.
struct CallLinks::PendingAsk
{
  asio::steady_timer m_timer;
  std::optional<wire::QuotaGrantT> m_grant;
};

// The link to one node; exists from the first call to it, while the connection is still opened.
struct CallLinks::Link
{
  bool m_connecting = true;
  std::unique_ptr<net::FrameConnection> m_connection;
  /// Calls that wait for an answer, by call id.
  std::map<std::uint64_t, PendingCall*> m_pending;
  /// Asks for quota tokens that wait for a reply, by ask id.
  std::map<std::uint64_t, PendingAsk*> m_asks;
  std::optional<Instant> m_askedAt;
  routing::LinkLiveness m_liveness;
  /// Bytes received until the last RecordReceivedBytes().
  std::uint64_t m_receivedBytes = 0;
  /// Timers of calls that, before they are sent, wait for the connection or for a sign of life.
  std::set<asio::steady_timer*> m_waiters;
};

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

// Any received bytes show that the peer is alive, also those of a large answer that is still
// incomplete.
void
CallLinks::RecordReceivedBytes(Link& aLink, Instant aNow)
{
  const std::uint64_t received = aLink.m_connection->Bytes().m_received;
  if (received != aLink.m_receivedBytes) {
    aLink.m_receivedBytes = received;
    routing::RecordReceived(aLink.m_liveness, aNow);
  }
}

void
CallLinks::SendProbe(Link& aLink)
{
  routing::RecordProbe(aLink.m_liveness, Clock::Now());
  aLink.m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(wire::ProbeT())));
}

// Waits for a sign of life on a link that has been quiet. Without one the call is not sent, so it
// certainly does not run at that node.
Awaitable<bool>
CallLinks::ConfirmAlive(LinkPtr aLink)
{
  if (routing::IsFresh(aLink->m_liveness, Clock::Now())) {
    co_return true;
  }
  co_await WaitForWake(aLink, routing::kLinkSilentMs);
  co_return routing::IsFresh(aLink->m_liveness, Clock::Now());
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

void
CallLinks::StartLivenessLoop()
{
  if (!m_livenessLoopRuns) {
    m_livenessLoopRuns = true;
    asio::co_spawn(m_context, LivenessLoop(), asio::detached);
  }
}

Awaitable<std::optional<wire::QuotaGrantT>>
CallLinks::AskQuota(std::string aNode,
                    std::string aAddress,
                    wire::QuotaAskT aAsk,
                    Milliseconds aTimeoutMs)
{
  const Instant start = Clock::Now();
  const LinkPtr link = co_await OpenLink(aNode, std::move(aAddress), aTimeoutMs);
  const Milliseconds left = aTimeoutMs - (Clock::Now() - start);
  if (!link || left <= 0) {
    co_return std::nullopt;
  }
  PendingAsk pending{ .m_timer = asio::steady_timer(m_context, std::chrono::milliseconds(left)),
                      .m_grant = std::nullopt };
  aAsk.id = m_nextId++;
  const std::uint64_t id = aAsk.id;
  link->m_askedAt = Clock::Now();
  link->m_asks.emplace(id, &pending);
  struct RemoveAsk
  {
    Link& m_link;
    std::uint64_t m_id;
    ~RemoveAsk() { m_link.m_asks.erase(m_id); }
  };
  const RemoveAsk removeAsk{ .m_link = *link, .m_id = id };
  link->m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(aAsk))));
  co_await pending.m_timer.async_wait(kAsTuple);
  if (!pending.m_grant && link->m_connection->IsOpen()) {
    // A peer of an older build answers the probe only. A dead link is found and dropped.
    RecordReceivedBytes(*link, Clock::Now());
    if (routing::NeedsProbe(link->m_liveness, Clock::Now())) {
      SendProbe(*link);
      StartLivenessLoop();
    }
  }
  co_return std::move(pending.m_grant);
}

// The ask may have timed out meanwhile; its tokens then stay unused.
void
CallLinks::ReceiveGrant(Link& aLink, const wire::QuotaGrantT& aGrant)
{
  const auto found = aLink.m_asks.find(aGrant.id);
  if (found != aLink.m_asks.end()) {
    found->second->m_grant = aGrant;
    found->second->m_timer.cancel();
  }
}

void
CallLinks::ForgetSilentNodes(Instant aNow)
{
  std::erase_if(m_silentNodes,
                [&](const auto& aItem) { return aNow - aItem.second > kSilentNodeMs; });
}

LinkSample
CallLinks::Sample(Instant aNow)
{
  ForgetSilentNodes(aNow);
  const auto heard = std::count_if(m_links.begin(), m_links.end(), [&](const auto& aItem) {
    return aItem.second->m_connection && !m_silentNodes.contains(aItem.first);
  });
  return { .m_heard = static_cast<std::size_t>(heard), .m_silent = m_silentNodes.size() };
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

// The peer froze, was partitioned from this node, is slow, or only the connection is dead. The next
// call opens a new connection. Calls keep waiting on the old one, since their answers may still
// arrive; only one that may run once and can't run yet is withdrawn, to be sent elsewhere.
void
CallLinks::DropSilent(const std::string& aNode, const LinkPtr& aLink)
{
  LogLine(LogLevel::Info, "call_link_silent", aNode)
    .Add("peer", aNode)
    .Add("heard_ms_ago", Clock::Now() - aLink->m_liveness.m_heardAt)
    .Add("waiting_calls", aLink->m_pending.size());
  m_silentNodes[aNode] = Clock::Now();
  m_links.erase(aNode);
  for (const auto& [id, call] : aLink->m_pending) {
    if (!call->m_repeatable && !call->MayRun()) {
      FailCall(*call);
    } else if (call->m_onSilent) {
      call->m_onSilent();
    }
  }
}

// True if calls wait for answers on the link or a probe is unanswered.
bool
CallLinks::NeedsLivenessCheck(const Link& aLink)
{
  return aLink.m_connection && (!aLink.m_pending.empty() || aLink.m_liveness.m_probedAt);
}

void
CallLinks::ReviewLinks(Instant aNow)
{
  std::vector<std::string> silent;
  for (const auto& [node, link] : m_links) {
    if (!NeedsLivenessCheck(*link)) {
      continue;
    }
    RecordReceivedBytes(*link, aNow);
    if (routing::IsSilent(link->m_liveness, aNow)) {
      silent.push_back(node);
    } else if (routing::NeedsProbe(link->m_liveness, aNow)) {
      SendProbe(*link);
    }
  }
  for (const std::string& node : silent) {
    const LinkPtr link = m_links.at(node); // DropSilent erases the one in the map.
    DropSilent(node, link);
  }
}

Awaitable<void>
CallLinks::LivenessLoop()
{
  const auto needsCheck = [](const auto& aItem) { return NeedsLivenessCheck(*aItem.second); };
  do {
    asio::steady_timer timer(m_context, std::chrono::milliseconds(kReviewIntervalMs));
    co_await timer.async_wait(kAsTuple);
    ReviewLinks(Clock::Now());
  } while (!m_stopped && std::any_of(m_links.begin(), m_links.end(), needsCheck));
  m_livenessLoopRuns = false;
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
