// Asks for quota tokens over the links for calls.
#include "CallLinks.h"
#include "CallLinksPriv.h"

#include <chrono>

namespace sequoiastep::node {

namespace asio = net::asio;
using net::Awaitable;
using net::kAsTuple;

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

} // namespace sequoiastep::node
