// Heartbeats: how far each side is, who is alive, and the sums along the tree.
#include "ControllerPriv.h"

#include <algorithm>

namespace sequoiastep::distribution {

namespace {

constexpr Milliseconds kDomainsEveryMs = 3000;
constexpr Milliseconds kSummaryKeepMs = 15'000;

wire::DomainSummaryT
ToWire(const DomainSummary& aSummary)
{
  wire::DomainSummaryT summary;
  summary.region = aSummary.m_key.m_region;
  summary.failure_domain = aSummary.m_key.m_failureDomain;
  summary.nodes = aSummary.m_nodes;
  summary.lowest_version = aSummary.m_lowestVersion;
  summary.sequence = aSummary.m_sequence;
  return summary;
}

DomainSummary
FromWire(const wire::DomainSummaryT& aSummary)
{
  return { .m_key = { aSummary.region, aSummary.failure_domain },
           .m_nodes = aSummary.nodes,
           .m_lowestVersion = aSummary.lowest_version,
           .m_sequence = aSummary.sequence };
}

DomainSummary
OwnSubtree(const Controller& aController)
{
  const membership::Member& self = Self(aController);
  DomainSummary sum{ .m_key = { self.m_region, self.m_failureDomain },
                     .m_nodes = 1,
                     .m_lowestVersion = aController.m_replay->m_version,
                     .m_sequence = 0 };
  const auto* order = OwnDomainOrder(aController);
  if (order == nullptr) {
    return sum;
  }
  const std::size_t fanOut = aController.m_options.m_topology.m_fanOut;
  for (const std::string& child : TreeChildren(*order, self.m_node, fanOut)) {
    const auto link = aController.m_links.find(child);
    if (link != aController.m_links.end() && link->second.m_subtree) {
      sum = Add(sum, *link->second.m_subtree);
    }
  }
  return sum;
}

// The head of a domain turns the sum of its whole tree into the domain's summary.
void
SummarizeOwnDomain(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  if (!HeadsOwnDomain(controller)) {
    return;
  }
  DomainSummary sum = OwnSubtree(controller);
  const auto known = controller.m_summaries.m_domains.find(sum.m_key);
  if (known != controller.m_summaries.m_domains.end()) {
    const DomainSummary& old = known->second.m_summary;
    const bool same = old.m_nodes == sum.m_nodes && old.m_lowestVersion == sum.m_lowestVersion;
    if (same && aTurn.m_now - known->second.m_heardAt < controller.m_options.m_heartbeatMs) {
      return;
    }
    sum.m_sequence = old.m_sequence;
  }
  ++sum.m_sequence;
  TakeSummary(controller.m_summaries, sum, aTurn.m_now);
}

// Sums go up to the parent; domain rows go everywhere but up.
void
AddSums(Turn& aTurn, std::string_view aNode, Link& aLink, wire::HeartbeatT& aHeartbeat)
{
  Controller& controller = aTurn.m_controller;
  const auto* order = OwnDomainOrder(controller);
  const std::size_t fanOut = controller.m_options.m_topology.m_fanOut;
  const bool toParent =
    order != nullptr && TreeParent(*order, controller.m_table.m_self, fanOut) == aNode;
  if (toParent) {
    aHeartbeat.subtree = std::make_unique<wire::DomainSummaryT>(ToWire(OwnSubtree(controller)));
    return;
  }
  const bool due = aLink.m_domainsSent != controller.m_summaries.m_changes ||
                   aTurn.m_now - aLink.m_domainsSentAt >= kDomainsEveryMs;
  if (!due) {
    return;
  }
  aLink.m_domainsSent = controller.m_summaries.m_changes;
  aLink.m_domainsSentAt = aTurn.m_now;
  for (const auto& [key, entry] : controller.m_summaries.m_domains) {
    aHeartbeat.domains.push_back(std::make_unique<wire::DomainSummaryT>(ToWire(entry.m_summary)));
  }
}

void
TakeSums(Turn& aTurn, Link& aLink, const wire::HeartbeatT& aHeartbeat)
{
  Controller& controller = aTurn.m_controller;
  if (aHeartbeat.subtree) {
    const DomainSummary subtree = FromWire(*aHeartbeat.subtree);
    const bool changed = !aLink.m_subtree || aLink.m_subtree->m_nodes != subtree.m_nodes ||
                         aLink.m_subtree->m_lowestVersion != subtree.m_lowestVersion;
    aLink.m_subtree = subtree;
    const auto* order = OwnDomainOrder(controller);
    if (changed && order != nullptr) {
      const std::size_t fanOut = controller.m_options.m_topology.m_fanOut;
      Link* parent = FindLink(controller, TreeParent(*order, controller.m_table.m_self, fanOut));
      if (parent != nullptr) {
        parent->m_heartbeatDue = true;
      }
    }
  }
  for (const auto& row : aHeartbeat.domains) {
    TakeSummary(controller.m_summaries, FromWire(*row), aTurn.m_now);
  }
}

} // namespace

void
HandleHeartbeat(Turn& aTurn, std::string_view aNode, const wire::HeartbeatT& aHeartbeat)
{
  constexpr std::uint32_t kNever = 0xffffffffU;
  Controller& controller = aTurn.m_controller;
  Link& link = *FindLink(controller, aNode);
  link.m_peerPosition = std::max(link.m_peerPosition, aHeartbeat.applied);
  link.m_peerVersion = std::max(link.m_peerVersion, aHeartbeat.version);
  if (aHeartbeat.log_contact_age_ms != kNever) {
    link.m_peerLogContact = aTurn.m_now + -Milliseconds{ aHeartbeat.log_contact_age_ms };
  }
  if (controller.m_mustCheckPeers && aHeartbeat.echo != 0 &&
      aHeartbeat.echo == controller.m_checkNonce) {
    controller.m_floor = std::max(controller.m_floor, aHeartbeat.applied);
    controller.m_mustCheckPeers = false;
  }
  TakeSums(aTurn, link, aHeartbeat);
  CompareMemberDigest(aTurn, aNode, aHeartbeat.member_digest);
  PullIfBehind(aTurn, aNode);
}

void
SendHeartbeat(Turn& aTurn, std::string_view aNode, Link& aLink, std::uint64_t aEcho)
{
  Controller& controller = aTurn.m_controller;
  wire::HeartbeatT heartbeat;
  heartbeat.applied = controller.m_replay->m_position;
  heartbeat.version = controller.m_replay->m_version;
  heartbeat.member_digest = controller.m_memberDigest;
  heartbeat.log_contact_age_ms = LogContactAge(controller, aTurn.m_now);
  heartbeat.echo = aEcho;
  AddSums(aTurn, aNode, aLink, heartbeat);
  aLink.m_heartbeatDue = false;
  aLink.m_lastSent = aTurn.m_now;
  SendTo(aTurn, aNode, ShareMessage(std::move(heartbeat)));
}

void
TickHeartbeats(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  const std::uint64_t changes = controller.m_summaries.m_changes;
  DropStale(controller.m_summaries, aTurn.m_now, kSummaryKeepMs);
  SummarizeOwnDomain(aTurn);
  for (auto& [node, link] : controller.m_links) {
    const bool sumsChanged = link.m_domainsSent != changes;
    if (link.m_heartbeatDue || sumsChanged ||
        aTurn.m_now - link.m_lastSent >= controller.m_options.m_heartbeatMs) {
      SendHeartbeat(aTurn, node, link, 0);
    }
  }
}

} // namespace sequoiastep::distribution
