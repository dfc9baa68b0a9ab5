// Heartbeats: how far each side is, who is alive, and the sums along the tree.
#include "ControllerPriv.h"

#include <algorithm>

namespace sequoiastep::distribution {

namespace {

constexpr Milliseconds kAllSumsEveryMs = 3000;
constexpr Milliseconds kSummaryKeepMs = 40'000;

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
      sum = CombineSummaries(sum, *link->second.m_subtree);
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
    if (same && aTurn.m_now - known->second.m_updatedAt < controller.m_options.m_heartbeatMs) {
      return;
    }
    sum.m_sequence = old.m_sequence;
  }
  ++sum.m_sequence;
  UpdateSummary(controller.m_summaries, sum, aTurn.m_now);
}

// True if sums of failure domains travel over the link: down the trees and between readers, heads
// and regions, but not over chords, which would carry them a second time.
bool
CarriesSums(const Controller& aController, std::string_view aNode, const Link& aLink)
{
  const auto* order = OwnDomainOrder(aController);
  const std::size_t fanOut = aController.m_options.m_topology.m_fanOut;
  if (aLink.m_foreign) {
    return true;
  }
  if (order != nullptr && TreeParent(*order, aNode, fanOut) == aController.m_table.m_self) {
    return true;
  }
  const auto readers = aController.m_topology.m_readerOrder.find(aController.m_options.m_region);
  if (readers == aController.m_topology.m_readerOrder.end()) {
    return false;
  }
  const std::size_t count = aController.m_options.m_topology.m_readers;
  return RankIn(readers->second, aNode) < count || ReaderRank(aController) < count;
}

bool
IsSame(const DomainSummary& aLeft, const DomainSummary& aRight)
{
  return aLeft.m_nodes == aRight.m_nodes && aLeft.m_lowestVersion == aRight.m_lowestVersion;
}

// True if the sum of the domain has to go over the link now. A region is not told its own sums.
bool
IsSumDue(const Controller& aController, const Link& aLink, const DomainSummary& aSum, bool aAll)
{
  if (aLink.m_foreign && aSum.m_key.m_region != aController.m_options.m_region) {
    return false;
  }
  const auto sent = aLink.m_sumsSent.find(aSum.m_key);
  return aAll || sent == aLink.m_sumsSent.end() || !IsSame(sent->second, aSum);
}

void
NoteSumsChanged(Controller& aController)
{
  for (auto& [node, link] : aController.m_links) {
    if (CarriesSums(aController, node, link)) {
      link.m_sumsDue = true;
    }
  }
}

std::string
OwnParent(const Controller& aController)
{
  const auto* order = OwnDomainOrder(aController);
  const std::size_t fanOut = aController.m_options.m_topology.m_fanOut;
  return order == nullptr ? std::string() : TreeParent(*order, aController.m_table.m_self, fanOut);
}

// Sums go up to the parent; rows of whole domains go down and across.
void
AddSums(Turn& aTurn, std::string_view aNode, Link& aLink, wire::HeartbeatT& aHeartbeat)
{
  Controller& controller = aTurn.m_controller;
  aLink.m_sumsDue = false;
  if (OwnParent(controller) == aNode) {
    DomainSummary subtree = OwnSubtree(controller);
    subtree.m_key = {}; // The parent is of the same domain.
    aHeartbeat.subtree = std::make_unique<wire::DomainSummaryT>(ToWire(subtree));
  }
  if (!CarriesSums(controller, aNode, aLink)) {
    return;
  }
  const Milliseconds factor = aLink.m_foreign ? controller.m_options.m_foreignHeartbeatFactor : 1;
  const bool all = aTurn.m_now - aLink.m_allSumsSentAt >= kAllSumsEveryMs * factor;
  if (all) {
    aLink.m_allSumsSentAt = aTurn.m_now;
  }
  for (const auto& [key, entry] : controller.m_summaries.m_domains) {
    if (IsSumDue(controller, aLink, entry.m_summary, all)) {
      aLink.m_sumsSent[key] = entry.m_summary;
      aHeartbeat.domains.push_back(std::make_unique<wire::DomainSummaryT>(ToWire(entry.m_summary)));
    }
  }
}

void
TakeSums(Turn& aTurn, Link& aLink, const wire::HeartbeatT& aHeartbeat)
{
  Controller& controller = aTurn.m_controller;
  if (aHeartbeat.subtree) {
    const DomainSummary subtree = FromWire(*aHeartbeat.subtree);
    const bool changed = !aLink.m_subtree || !IsSame(*aLink.m_subtree, subtree);
    aLink.m_subtree = subtree;
    Link* parent = FindLink(controller, OwnParent(controller));
    if (changed && parent != nullptr) {
      parent->m_sumsDue = true;
    }
  }
  const std::uint64_t changes = controller.m_summaries.m_changes;
  for (const auto& row : aHeartbeat.domains) {
    UpdateSummary(controller.m_summaries, FromWire(*row), aTurn.m_now);
  }
  if (controller.m_summaries.m_changes != changes) {
    NoteSumsChanged(controller);
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
  link.m_peerOperator = std::max(link.m_peerOperator, aHeartbeat.operator_version);
  PullOperatorIfBehind(aTurn, aNode, link);
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
  heartbeat.operator_version = HeldOperatorVersion(controller);
  AddSums(aTurn, aNode, aLink, heartbeat);
  aLink.m_heartbeatDue = false;
  aLink.m_lastSent = aTurn.m_now;
  SendTo(aTurn, aNode, ShareMessage(std::move(heartbeat)));
}

void
TickHeartbeats(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  DropStale(controller.m_summaries, aTurn.m_now, kSummaryKeepMs);
  const std::uint64_t changes = controller.m_summaries.m_changes;
  SummarizeOwnDomain(aTurn);
  if (controller.m_summaries.m_changes != changes) {
    NoteSumsChanged(controller);
  }
  const ControllerOptions& options = controller.m_options;
  for (auto& [node, link] : controller.m_links) {
    if (link.m_behindSince) {
      PullIfBehind(aTurn, node); // Between regions the next heartbeat may be seconds away.
    }
    PullOperatorIfBehind(aTurn, node, link);
    const Milliseconds silence = aTurn.m_now - link.m_lastSent;
    const Milliseconds every = link.m_foreign
                                 ? options.m_heartbeatMs * options.m_foreignHeartbeatFactor
                                 : options.m_heartbeatMs;
    const bool sumsDue = link.m_sumsDue && silence >= options.m_sumsEveryMs;
    if (link.m_heartbeatDue || sumsDue || silence >= every) {
      SendHeartbeat(aTurn, node, link, 0);
    }
  }
}

} // namespace sequoiastep::distribution
