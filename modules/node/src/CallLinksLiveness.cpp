// Finds links whose peer is silent: probes, and what follows from an unanswered one.
#include "CallLinks.h"
#include "CallLinksPriv.h"
#include "Log.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace sequoiastep::node {

namespace asio = net::asio;
using net::Awaitable;
using net::kAsTuple;

namespace {

constexpr Milliseconds kReviewIntervalMs = 50;
// How long a node that could not be reached counts as silent.
constexpr Milliseconds kSilentNodeMs = 5000;

} // namespace

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
CallLinks::StartLivenessLoop()
{
  if (!m_livenessLoopRuns) {
    m_livenessLoopRuns = true;
    asio::co_spawn(m_context, LivenessLoop(), asio::detached);
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

} // namespace sequoiastep::node
