#include "CallLinks.h"

#include "Log.h"

#include <chrono>

namespace sequoiastep::node {

namespace asio = net::asio;
using net::Awaitable;
using net::kAsTuple;

namespace {

constexpr std::int64_t kMostConnectMs = 1500;

} // namespace

// One call that waits for its answer. The timer ends the wait.
struct CallLinks::Pending
{
  Pending(asio::io_context& aContext, std::int64_t aTimeoutMs)
    : m_timer(aContext, std::chrono::milliseconds(aTimeoutMs))
  {
  }

  asio::steady_timer m_timer;
  CallReply m_reply{ .m_kind = CallReply::Kind::TimedOut, .m_answer = {} };
};

// The link to one node, from the first wish to call it.
struct CallLinks::Link
{
  explicit Link(asio::io_context& aContext)
    : m_connected(aContext, std::chrono::milliseconds(kMostConnectMs))
  {
  }

  /// Waited for while connecting; cancelled when that ended.
  asio::steady_timer m_connected;
  bool m_connecting = true;
  std::unique_ptr<net::FrameConnection> m_connection;
  std::map<std::uint64_t, Pending*> m_pending;
};

CallLinks::CallLinks(asio::io_context& aContext, Identity aIdentity, Shared& aShared)
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
  aLink->m_connected.cancel();
}

Awaitable<CallLinks::LinkPtr>
CallLinks::Ready(std::string aNode, std::string aAddress, std::int64_t aTimeoutMs)
{
  LinkPtr& place = m_links[aNode];
  if (!place) {
    place = std::make_shared<Link>(m_context);
    asio::co_spawn(m_context, Connect(place, aNode, aAddress), asio::detached);
  }
  const LinkPtr link = place;
  if (link->m_connecting) {
    asio::steady_timer limit(m_context, std::chrono::milliseconds(aTimeoutMs));
    limit.async_wait([link](const net::error_code& aError) {
      if (!aError) {
        link->m_connected.cancel();
      }
    });
    co_await link->m_connected.async_wait(kAsTuple);
  }
  const bool open = link->m_connection && link->m_connection->IsOpen();
  co_return open ? link : nullptr;
}

Awaitable<CallReply>
CallLinks::Call(std::string aNode, std::string aAddress, wire::CallT aCall, std::int64_t aTimeoutMs)
{
  const LinkPtr link = co_await Ready(aNode, aAddress, aTimeoutMs);
  if (!link) {
    co_return CallReply{ .m_kind = CallReply::Kind::NotSent, .m_answer = {} };
  }
  aCall.id = m_nextId++;
  aCall.sent_ms = Clock::Now().m_ms;
  const std::uint64_t id = aCall.id;
  Pending pending(m_context, aTimeoutMs);
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
  const auto pending = std::move(aLink->m_pending);
  aLink->m_pending.clear();
  for (const auto& [id, call] : pending) {
    call->m_reply.m_kind = CallReply::Kind::LinkBroken;
    call->m_timer.cancel();
  }
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
