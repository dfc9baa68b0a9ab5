// Heartbeats: position and version of the sender, liveness, and the summaries of subtrees and
// failure domains.
#include "ControllerPriv.h"

#include <algorithm>

namespace sequoiastep::distribution {

namespace {

constexpr Milliseconds kAllSummariesIntervalMs = 3000;
constexpr Milliseconds kSummaryRetentionMs = 40'000;

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
OwnSubtreeSummary(const Controller& aController)
{
  const membership::Member& self = Self(aController);
  DomainSummary summary{ .m_key = { self.m_region, self.m_failureDomain },
                         .m_nodes = 1,
                         .m_lowestVersion = aController.m_replay->m_version,
                         .m_sequence = 0 };
  const auto* order = OwnDomainOrder(aController);
  if (order == nullptr) {
    return summary;
  }
  const std::size_t fanOut = aController.m_options.m_topology.m_fanOut;
  for (const std::string& child : TreeChildren(*order, self.m_node, fanOut)) {
    const auto link = aController.m_links.find(child);
    if (link != aController.m_links.end() && link->second.m_subtreeSummary) {
      summary = CombineSummaries(summary, *link->second.m_subtreeSummary);
    }
  }
  return summary;
}

// The head of a failure domain makes the domain's summary from that of its whole tree.
void
SummarizeOwnDomain(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  if (!IsDomainHead(controller)) {
    return;
  }
  DomainSummary summary = OwnSubtreeSummary(controller);
  const auto known = controller.m_summaries.m_domains.find(summary.m_key);
  if (known != controller.m_summaries.m_domains.end()) {
    const DomainSummary& old = known->second.m_summary;
    const bool same =
      old.m_nodes == summary.m_nodes && old.m_lowestVersion == summary.m_lowestVersion;
    if (same && aContext.m_now - known->second.m_updatedAt < controller.m_options.m_heartbeatMs) {
      return;
    }
    summary.m_sequence = old.m_sequence;
  }
  ++summary.m_sequence;
  UpdateSummary(controller.m_summaries, summary, aContext.m_now);
}

// True if summaries of failure domains are sent over the link: down the trees and between readers,
// heads and regions, but not over chords, which would deliver them a second time.
bool
CarriesSummaries(const Controller& aController, std::string_view aNode, const Link& aLink)
{
  const auto* order = OwnDomainOrder(aController);
  const std::size_t fanOut = aController.m_options.m_topology.m_fanOut;
  if (aLink.m_crossRegion) {
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
HasSameValues(const DomainSummary& aLeft, const DomainSummary& aRight)
{
  return aLeft.m_nodes == aRight.m_nodes && aLeft.m_lowestVersion == aRight.m_lowestVersion;
}

// True if the domain's summary must be sent over the link now. Only those of the own region are
// sent to another region, which knows its own.
bool
IsSummaryDue(const Controller& aController,
             const Link& aLink,
             const DomainSummary& aSummary,
             bool aAll)
{
  if (aLink.m_crossRegion && aSummary.m_key.m_region != aController.m_options.m_region) {
    return false;
  }
  const auto sent = aLink.m_summariesSent.find(aSummary.m_key);
  return aAll || sent == aLink.m_summariesSent.end() || !HasSameValues(sent->second, aSummary);
}

void
MarkSummariesDue(Controller& aController)
{
  for (auto& [node, link] : aController.m_links) {
    if (CarriesSummaries(aController, node, link)) {
      link.m_summariesDue = true;
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

// The parent gets the summary of this node's subtree; summaries of whole failure domains are sent
// down the tree and to other domains and regions.
void
AddSummaries(StepContext& aContext,
             std::string_view aNode,
             Link& aLink,
             wire::HeartbeatT& aHeartbeat)
{
  Controller& controller = aContext.m_controller;
  aLink.m_summariesDue = false;
  if (OwnParent(controller) == aNode) {
    DomainSummary subtree = OwnSubtreeSummary(controller);
    subtree.m_key = {}; // The parent is in the same failure domain.
    aHeartbeat.subtree = std::make_unique<wire::DomainSummaryT>(ToWire(subtree));
  }
  if (!CarriesSummaries(controller, aNode, aLink)) {
    return;
  }
  const Milliseconds factor =
    aLink.m_crossRegion ? controller.m_options.m_crossRegionHeartbeatFactor : 1;
  const bool all = aContext.m_now - aLink.m_allSummariesSentAt >= kAllSummariesIntervalMs * factor;
  if (all) {
    aLink.m_allSummariesSentAt = aContext.m_now;
  }
  for (const auto& [key, entry] : controller.m_summaries.m_domains) {
    if (IsSummaryDue(controller, aLink, entry.m_summary, all)) {
      aLink.m_summariesSent[key] = entry.m_summary;
      aHeartbeat.domains.push_back(std::make_unique<wire::DomainSummaryT>(ToWire(entry.m_summary)));
    }
  }
}

void
MergeSummaries(StepContext& aContext, Link& aLink, const wire::HeartbeatT& aHeartbeat)
{
  Controller& controller = aContext.m_controller;
  if (aHeartbeat.subtree) {
    const DomainSummary subtree = FromWire(*aHeartbeat.subtree);
    const bool changed =
      !aLink.m_subtreeSummary || !HasSameValues(*aLink.m_subtreeSummary, subtree);
    aLink.m_subtreeSummary = subtree;
    Link* parent = FindLink(controller, OwnParent(controller));
    if (changed && parent != nullptr) {
      parent->m_summariesDue = true;
    }
  }
  const std::uint64_t changes = controller.m_summaries.m_changes;
  for (const auto& row : aHeartbeat.domains) {
    UpdateSummary(controller.m_summaries, FromWire(*row), aContext.m_now);
  }
  if (controller.m_summaries.m_changes != changes) {
    MarkSummariesDue(controller);
  }
}

} // namespace

void
HandleHeartbeat(StepContext& aContext, std::string_view aNode, const wire::HeartbeatT& aHeartbeat)
{
  constexpr std::uint32_t kNoLogContact = 0xffffffffU;
  Controller& controller = aContext.m_controller;
  Link& link = *FindLink(controller, aNode);
  link.m_peerPosition = std::max(link.m_peerPosition, aHeartbeat.applied);
  link.m_peerVersion = std::max(link.m_peerVersion, aHeartbeat.version);
  if (aHeartbeat.log_contact_age_ms != kNoLogContact) {
    link.m_peerLogContact = aContext.m_now + -Milliseconds{ aHeartbeat.log_contact_age_ms };
  }
  if (controller.m_pauseCheckPending && aHeartbeat.echo != 0 &&
      aHeartbeat.echo == controller.m_pauseCheckNonce) {
    controller.m_minReadyPosition = std::max(controller.m_minReadyPosition, aHeartbeat.applied);
    controller.m_pauseCheckPending = false;
  }
  HandleDepartureEcho(aContext, aNode, aHeartbeat.echo);
  MergeSummaries(aContext, link, aHeartbeat);
  CompareMemberDigest(aContext, aNode, aHeartbeat.member_digest);
  PullIfBehind(aContext, aNode);
  link.m_peerOperatorVersion = std::max(link.m_peerOperatorVersion, aHeartbeat.operator_version);
  PullOperatorIfBehind(aContext, aNode, link);
  LearnStoreEra(aContext, aHeartbeat.store_era);
  CompareRolloutDigest(aContext, aNode, aHeartbeat.rollout_digest);
}

void
SendHeartbeat(StepContext& aContext, std::string_view aNode, Link& aLink, std::uint64_t aEcho)
{
  Controller& controller = aContext.m_controller;
  wire::HeartbeatT heartbeat;
  heartbeat.applied = controller.m_replay->m_position;
  heartbeat.version = controller.m_replay->m_version;
  heartbeat.member_digest = controller.m_memberDigest;
  heartbeat.log_contact_age_ms = LogContactAge(controller, aContext.m_now);
  heartbeat.echo = aEcho;
  heartbeat.operator_version = HeldOperatorVersion(controller);
  heartbeat.store_era = controller.m_storeEra;
  heartbeat.rollout_digest = rollout::Digest(controller.m_rollouts);
  AddSummaries(aContext, aNode, aLink, heartbeat);
  aLink.m_heartbeatDue = false;
  aLink.m_heartbeatSentAt = aContext.m_now;
  SendTo(aContext, aNode, MakeSharedMessage(std::move(heartbeat)));
}

void
TickHeartbeats(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  DropStale(controller.m_summaries, aContext.m_now, kSummaryRetentionMs);
  const std::uint64_t changes = controller.m_summaries.m_changes;
  SummarizeOwnDomain(aContext);
  if (controller.m_summaries.m_changes != changes) {
    MarkSummariesDue(controller);
  }
  const ControllerOptions& options = controller.m_options;
  for (auto& [node, link] : controller.m_links) {
    if (link.m_behindSince) {
      PullIfBehind(aContext, node); // Between regions the next heartbeat may be seconds away.
    }
    PullOperatorIfBehind(aContext, node, link);
    const Milliseconds sinceHeartbeat = aContext.m_now - link.m_heartbeatSentAt;
    const Milliseconds interval = link.m_crossRegion
                                    ? options.m_heartbeatMs * options.m_crossRegionHeartbeatFactor
                                    : options.m_heartbeatMs;
    const bool summariesDue = link.m_summariesDue && sinceHeartbeat >= options.m_summaryIntervalMs;
    if (link.m_heartbeatDue || summariesDue || sinceHeartbeat >= interval) {
      SendHeartbeat(aContext, node, link, 0);
    }
  }
}

} // namespace sequoiastep::distribution
