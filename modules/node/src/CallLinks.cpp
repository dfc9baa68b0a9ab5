#include "CallLinks.h"

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

// A call waits this long for a link that is being opened; it may be tried elsewhere meanwhile.
constexpr Milliseconds kConnectWaitMs = 500;
constexpr Milliseconds kReviewMs = 50;

} // namespace

// One call that waits for its answer. The timer ends the wait.
struct CallLinks::Pending
{
  Pending(asio::io_context& aContext, std::int64_t aTimeoutMs, bool aRepeatable)
    : m_timer(aContext, std::chrono::milliseconds(aTimeoutMs))
    , m_repeatable(aRepeatable)
  {
  }

  asio::steady_timer m_timer;
  bool m_repeatable;
  CallReply m_reply{ .m_kind = CallReply::Kind::TimedOut, .m_answer = {} };
};

// The link to one node, from the first wish to call it.
struct CallLinks::Link
{
  bool m_connecting = true;
  std::unique_ptr<net::FrameConnection> m_connection;
  std::map<std::uint64_t, Pending*> m_pending;
  routing::LinkLiveness m_watch;
  /// Bytes that had come when the link was last looked at.
  std::uint64_t m_bytesSeen = 0;
  /// Calls that wait for the connection, or for a sign of life, before they are sent.
  std::set<asio::steady_timer*> m_waiters;
};

CallLinks::CallLinks(asio::io_context& aContext, Identity aIdentity, SharedState& aShared)
  : m_context(aContext)
  , m_identity(std::move(aIdentity))
  , m_shared(aShared)
{
}

Awaitable<void>
CallLinks::Connect(LinkPtr aLink, std::string aNode, std::string aAddress)
{
  wire::HelloT hello;
  auto connection = co_await DialPeer(m_context, m_identity, aAddress, wire::Purpose::Calls, hello);
  aLink->m_connecting = false;
  if (connection && hello.node == aNode && !m_stopped) {
    aLink->m_connection = std::move(connection);
    routing::RecordReceived(aLink->m_watch, Clock::Now());
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
          Break(link, aNode);
        }
      });
  } else {
    LogLine(LogLevel::Info, "call_link_failed", aNode)
      .Add("peer", aNode)
      .Add("address", aAddress)
      .Add("answered_as", hello.node);
    const auto found = m_links.find(aNode);
    if (found != m_links.end() && found->second == aLink) {
      m_links.erase(found);
    }
  }
  Wake(*aLink);
}

Awaitable<CallLinks::LinkPtr>
CallLinks::Ready(std::string aNode, std::string aAddress, std::int64_t aTimeoutMs)
{
  LinkPtr& place = m_links[aNode];
  if (!place) {
    place = std::make_shared<Link>();
    asio::co_spawn(m_context, Connect(place, aNode, aAddress), asio::detached);
  }
  const LinkPtr link = place;
  if (link->m_connecting) {
    co_await Wait(link, std::min<Milliseconds>(aTimeoutMs, kConnectWaitMs));
  }
  const bool open = link->m_connection && link->m_connection->IsOpen();
  co_return open ? link : nullptr;
}

// Waits until the link is woken, for aMostMs at most.
Awaitable<void>
CallLinks::Wait(LinkPtr aLink, Milliseconds aMostMs)
{
  asio::steady_timer timer(m_context, std::chrono::milliseconds(aMostMs));
  struct Forget
  {
    Link& m_link;
    asio::steady_timer* m_timer;
    ~Forget() { m_link.m_waiters.erase(m_timer); }
  };
  aLink->m_waiters.insert(&timer);
  const Forget forget{ .m_link = *aLink, .m_timer = &timer };
  co_await timer.async_wait(kAsTuple);
}

void
CallLinks::Wake(Link& aLink)
{
  for (asio::steady_timer* waiter : aLink.m_waiters) {
    waiter->cancel();
  }
}

// Any bytes show that the peer lives, also those of a large answer that is not whole yet.
void
CallLinks::NoteBytes(Link& aLink, Instant aNow)
{
  const std::uint64_t received = aLink.m_connection->Bytes().m_received;
  if (received != aLink.m_bytesSeen) {
    aLink.m_bytesSeen = received;
    routing::RecordReceived(aLink.m_watch, aNow);
  }
}

void
CallLinks::Ask(Link& aLink)
{
  routing::RecordProbe(aLink.m_watch, Clock::Now());
  aLink.m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(wire::ProbeT())));
}

// Waits for a sign of life on a link that has been quiet. Without one nothing is sent, so that the
// call certainly does not run there.
Awaitable<bool>
CallLinks::Prove(LinkPtr aLink)
{
  if (routing::IsFresh(aLink->m_watch, Clock::Now())) {
    co_return true;
  }
  co_await Wait(aLink, routing::kLinkSilentMs);
  co_return routing::IsFresh(aLink->m_watch, Clock::Now());
}

Awaitable<CallReply>
CallLinks::Call(std::string aNode, std::string aAddress, wire::CallT aCall, std::int64_t aTimeoutMs)
{
  const LinkPtr link = co_await Ready(aNode, aAddress, aTimeoutMs);
  if (link) {
    NoteBytes(*link, Clock::Now());
  }
  if (!link || routing::IsSuspect(link->m_watch, Clock::Now())) {
    co_return CallReply{ .m_kind = CallReply::Kind::NotSent, .m_answer = {} };
  }
  if (!m_watching) {
    m_watching = true;
    asio::co_spawn(m_context, WatchLoop(), asio::detached);
  }
  if (routing::NeedsProbe(link->m_watch, Clock::Now())) {
    Ask(*link);
  }
  if (!aCall.repeatable) {
    const bool proven = co_await Prove(link);
    if (!proven || !link->m_connection->IsOpen()) {
      co_return CallReply{ .m_kind = CallReply::Kind::NotSent, .m_answer = {} };
    }
  }
  aCall.id = m_nextId++;
  aCall.sent_ms = Clock::Now().m_ms;
  const std::uint64_t id = aCall.id;
  Pending pending(m_context, aTimeoutMs, aCall.repeatable);
  link->m_pending.emplace(id, &pending);
  // Runs however this coroutine ends, destruction by cancellation included.
  struct Cleanup
  {
    LinkPtr m_link;
    std::uint64_t m_id;
    ~Cleanup()
    {
      if (m_link->m_pending.erase(m_id) > 0 && m_link->m_connection) {
        wire::CancelT cancel;
        cancel.id = m_id;
        m_link->m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(cancel))));
      }
    }
  };
  const Cleanup cleanup{ .m_link = link, .m_id = id };
  link->m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(aCall))));
  co_await pending.m_timer.async_wait(kAsTuple);
  co_return std::move(pending.m_reply);
}

void
CallLinks::Receive(const LinkPtr& aLink, wire::EnvelopeT aMessage)
{
  routing::RecordReceived(aLink->m_watch, Clock::Now());
  Wake(*aLink);
  if (aMessage.body.type != wire::Body::Answer) {
    return;
  }
  wire::AnswerT& answer = *aMessage.body.AsAnswer();
  const auto found = aLink->m_pending.find(answer.id);
  if (found == aLink->m_pending.end()) {
    m_shared.m_calls.m_lateAnswers.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  Pending& pending = *found->second;
  aLink->m_pending.erase(found);
  pending.m_reply.m_kind = CallReply::Kind::Answered;
  pending.m_reply.m_answer = std::move(answer);
  pending.m_timer.cancel();
}

void
CallLinks::Break(const LinkPtr& aLink, const std::string& aNode)
{
  const auto found = m_links.find(aNode);
  if (found != m_links.end() && found->second == aLink) {
    m_links.erase(found);
  }
  for (const auto& [id, call] : aLink->m_pending) {
    EndAsBroken(*call);
  }
  aLink->m_pending.clear(); // Nobody is there to be told that they are cancelled.
  Wake(*aLink);
}

void
CallLinks::EndAsBroken(Pending& aCall)
{
  aCall.m_reply.m_kind = CallReply::Kind::LinkBroken;
  aCall.m_timer.cancel();
}

// The peer froze or was cut off, or the connection alone went dead. The next call opens a new one;
// what may run only once waits on, since its answer may still come.
void
CallLinks::GiveUp(const std::string& aNode, const LinkPtr& aLink)
{
  LogLine(LogLevel::Info, "call_link_silent", aNode)
    .Add("peer", aNode)
    .Add("heard_ms_ago", Clock::Now() - aLink->m_watch.m_heardAt)
    .Add("waiting_calls", aLink->m_pending.size());
  m_links.erase(aNode);
  for (const auto& [id, call] : aLink->m_pending) {
    if (call->m_repeatable) {
      EndAsBroken(*call);
    }
  }
}

// True if calls wait on the link or a question is open.
bool
CallLinks::IsWatched(const Link& aLink)
{
  return aLink.m_connection && (!aLink.m_pending.empty() || aLink.m_watch.m_probedAt);
}

void
CallLinks::ReviewLinks(Instant aNow)
{
  std::vector<std::string> silent;
  for (const auto& [node, link] : m_links) {
    if (!IsWatched(*link)) {
      continue;
    }
    NoteBytes(*link, aNow);
    if (routing::IsSilent(link->m_watch, aNow)) {
      silent.push_back(node);
    } else if (routing::NeedsProbe(link->m_watch, aNow)) {
      Ask(*link);
    }
  }
  for (const std::string& node : silent) {
    const LinkPtr link = m_links.at(node); // GiveUp forgets the one in the map.
    GiveUp(node, link);
  }
}

Awaitable<void>
CallLinks::WatchLoop()
{
  const auto watched = [](const auto& aItem) { return IsWatched(*aItem.second); };
  do {
    asio::steady_timer timer(m_context, std::chrono::milliseconds(kReviewMs));
    co_await timer.async_wait(kAsTuple);
    ReviewLinks(Clock::Now());
  } while (!m_stopped && std::any_of(m_links.begin(), m_links.end(), watched));
  m_watching = false;
}

void
CallLinks::CloseIdle(const RoutingView& aView)
{
  std::erase_if(m_links, [&](const auto& aItem) {
    const auto& [node, link] = aItem;
    if (link->m_connecting || !link->m_pending.empty()) {
      return false;
    }
    for (const auto& [service, candidates] : aView.m_services) {
      for (const routing::Candidate& candidate : candidates) {
        if (candidate.m_node == node) {
          return false;
        }
      }
    }
    return true;
  });
}

void
CallLinks::Stop()
{
  m_stopped = true;
  m_links.clear();
}

std::size_t
CallLinks::Open() const
{
  return m_links.size();
}

} // namespace sequoiastep::node
