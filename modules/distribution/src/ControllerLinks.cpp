// Links: which to open and close, the backoff of connection attempts, and the accusation of peers
// whose link is silent.
#include "ControllerPriv.h"
#include "Log.h"

#include <algorithm>

namespace sequoiastep::distribution {

using membership::Member;
using membership::MemberState;

namespace {

constexpr Milliseconds kDialBackoffMinMs = 200;
constexpr Milliseconds kDialBackoffMaxMs = 5000;
constexpr Milliseconds kCloseUnwantedMs = 10'000;
constexpr Milliseconds kCloseUnwantedCrossRegionMs = 2000;
constexpr Milliseconds kGoneProbeIntervalMs = 5000;
constexpr Milliseconds kDomainCheckAfterStartMs = 3000;
constexpr std::uint32_t kDialFailuresToAccuse = 2;
constexpr std::size_t kWitnessDials = 3;
constexpr std::size_t kMaxUnsolicitedMembers = 128;

// Silence after which a link counts as broken.
Milliseconds
MaxSilence(const Controller& aController, const Link& aLink)
{
  const Milliseconds withinRegion = aController.m_options.m_detector.m_suspectAfterMs;
  return aLink.m_crossRegion ? withinRegion * aController.m_options.m_crossRegionHeartbeatFactor
                             : withinRegion;
}

bool
IsFresh(const Controller& aController, const Link& aLink, Instant aNow)
{
  return aNow - aLink.m_lastHeard < MaxSilence(aController, aLink);
}

// The limit is shorter than that for accusing a peer: if this node itself is cut off, all its links
// must count as not working before the first of them has been silent long enough to accuse a peer.
membership::LinkHealth
HealthOfLinks(const Controller& aController, Instant aNow)
{
  membership::LinkHealth health;
  const Member& self = Self(aController);
  for (const std::string& node : aController.m_desiredLinks) {
    const Member* peer = FindMember(aController, node);
    health.m_wanted += peer != nullptr && peer->m_region == self.m_region ? 1 : 0;
  }
  const Milliseconds recent = aController.m_options.m_heartbeatMs * 3 / 2;
  for (const auto& [node, link] : aController.m_links) {
    if (aNow - link.m_lastHeard >= recent) {
      continue;
    }
    health.m_working += !link.m_crossRegion && aController.m_desiredLinks.contains(node) ? 1 : 0;
    const Member* peer = FindMember(aController, node);
    health.m_hasLinkOutsideDomain =
      health.m_hasLinkOutsideDomain ||
      (peer != nullptr && peer->m_failureDomain != self.m_failureDomain);
  }
  return health;
}

void
DialNode(StepContext& aContext, std::string_view aNode)
{
  const Member* member = FindMember(aContext.m_controller, aNode);
  if (member != nullptr && FindLink(aContext.m_controller, aNode) == nullptr) {
    DialAddress(aContext, member->m_address);
  }
}

// Dials a few members outside this node's failure domain, to learn whether this node is reachable
// at all.
void
DialWitnesses(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  const Member& self = Self(controller);
  std::vector<std::string_view> candidates;
  for (const auto& [node, record] : controller.m_table.m_members) {
    const Member& member = record.m_member;
    if (membership::IsLive(member.m_state) && member.m_failureDomain != self.m_failureDomain) {
      candidates.push_back(node);
    }
  }
  for (std::size_t i = 0; i < kWitnessDials && !candidates.empty(); ++i) {
    DialNode(aContext, candidates[controller.m_random.Below(candidates.size())]);
  }
}

void
FindUnreachableDomains(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  std::set<DomainKey> unreachable;
  const bool isReader = ReaderRank(controller) < controller.m_options.m_topology.m_readers;
  if (isReader && aContext.m_now - controller.m_startedAt > kDomainCheckAfterStartMs) {
    for (const auto& [key, order] : controller.m_topology.m_domainOrder) {
      const bool alone = order.size() == 1 && order.front() == controller.m_table.m_self;
      const bool linked = std::any_of(order.begin(), order.end(), [&](const std::string& aNode) {
        const Link* link = FindLink(controller, aNode);
        return link != nullptr && IsFresh(controller, *link, aContext.m_now);
      });
      if (key.m_region == controller.m_options.m_region && !alone && !linked) {
        unreachable.insert(key);
      }
    }
  }
  if (unreachable != controller.m_unreachableDomains) {
    controller.m_unreachableDomains = std::move(unreachable);
    controller.m_topologyDirty = true;
  }
}

void
RefreshTopology(Controller& aController)
{
  if (!aController.m_topologyDirty) {
    return;
  }
  aController.m_topologyDirty = false;
  aController.m_topology = MakeTopology(aController.m_table);
  aController.m_memberDigest = membership::TableDigest(aController.m_table);
  aController.m_desiredLinks = DesiredLinks(aController.m_topology,
                                            Self(aController),
                                            aController.m_options.m_topology,
                                            aController.m_unreachableDomains);
}

void
HandleSilentLinks(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  const bool selfIsolated = membership::IsLikelyIsolated(HealthOfLinks(controller, aContext.m_now));
  if (selfIsolated) {
    DialWitnesses(aContext);
  }
  std::vector<std::string> silent;
  for (const auto& [node, link] : controller.m_links) {
    if (!IsFresh(controller, link, aContext.m_now)) {
      silent.push_back(node);
    }
  }
  for (const std::string& node : silent) {
    if (!selfIsolated) {
      AccuseMember(aContext, node);
    }
    const Link& link = controller.m_links.at(node);
    if (aContext.m_now - link.m_lastHeard > 2 * MaxSilence(controller, link)) {
      aContext.m_actions.emplace_back(CloseLink{ .m_node = node });
      controller.m_links.erase(node);
    }
  }
}

void
CloseUnwanted(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  std::vector<std::string> closing;
  for (auto& [node, link] : controller.m_links) {
    if (!link.m_outbound || controller.m_desiredLinks.contains(node) ||
        controller.m_phase != JoinPhase::Joined) {
      link.m_unwantedSince.reset();
      continue;
    }
    if (!link.m_unwantedSince) {
      link.m_unwantedSince = aContext.m_now;
    }
    const Milliseconds keep = link.m_crossRegion ? kCloseUnwantedCrossRegionMs : kCloseUnwantedMs;
    if (aContext.m_now - *link.m_unwantedSince > keep) {
      closing.push_back(node);
    }
  }
  for (const std::string& node : closing) {
    aContext.m_actions.emplace_back(CloseLink{ .m_node = node });
    controller.m_links.erase(node);
  }
}

// After a network partition has healed, each side may still hold the other's members as Gone, so
// readers dial one of them from time to time.
void
ProbeGoneMember(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  if (aContext.m_now < controller.m_nextGoneProbe ||
      ReaderRank(controller) >= controller.m_options.m_topology.m_readers) {
    return;
  }
  controller.m_nextGoneProbe = aContext.m_now + kGoneProbeIntervalMs;
  std::vector<std::string> gone;
  for (const auto& [node, record] : controller.m_table.m_members) {
    if (record.m_member.m_state == MemberState::Gone) {
      gone.push_back(node);
    }
  }
  if (!gone.empty()) {
    DialNode(aContext, gone[controller.m_random.Below(gone.size())]);
  }
}

} // namespace

void
DialAddress(StepContext& aContext, const std::string& aAddress)
{
  Controller& controller = aContext.m_controller;
  if (aAddress.empty() || aAddress == controller.m_options.m_address || controller.m_left) {
    return;
  }
  DialState& dial = controller.m_dials[aAddress];
  if (dial.m_inFlight || aContext.m_now < dial.m_notBefore) {
    return;
  }
  dial.m_inFlight = true;
  aContext.m_actions.emplace_back(OpenLink{ .m_address = aAddress });
}

void
HandleLinkOpened(StepContext& aContext, const LinkOpened& aOpened)
{
  Controller& controller = aContext.m_controller;
  controller.m_dials.erase(aOpened.m_address);
  Link link;
  link.m_address = aOpened.m_address;
  link.m_outbound = aOpened.m_outbound;
  link.m_openedAt = aContext.m_now;
  link.m_lastHeard = aContext.m_now;
  link.m_crossRegion = aOpened.m_region != controller.m_options.m_region;
  controller.m_links.insert_or_assign(aOpened.m_node, link);
  if (controller.m_phase != JoinPhase::Joined && controller.m_phase != JoinPhase::Joining) {
    RequestJoin(aContext, aOpened.m_node);
  }
  const Member* peer = FindMember(controller, aOpened.m_node);
  const bool peerNotLive = peer == nullptr || !membership::IsLive(peer->m_state);
  // Merges member lists that diverged. A node that dialled this one may only be starting: it asks
  // with a Join, or gets the list unasked if it is short.
  const bool sendsList =
    aOpened.m_outbound || controller.m_table.m_members.size() <= kMaxUnsolicitedMembers;
  if (peerNotLive && sendsList && controller.m_phase == JoinPhase::Joined) {
    SendAllMembers(aContext, aOpened.m_node);
  } else {
    wire::MemberUpdateT update;
    update.entries.push_back(
      std::make_unique<wire::MemberEntryT>(membership::ToWire(Self(controller))));
    SendTo(aContext, aOpened.m_node, MakeSharedMessage(std::move(update)));
  }
  SendAllRollouts(aContext, aOpened.m_node);
  RequestDepartureEchoes(aContext, aOpened.m_node);
}

void
HandleLinkClosed(StepContext& aContext, const LinkClosed& aClosed)
{
  Controller& controller = aContext.m_controller;
  controller.m_links.erase(aClosed.m_node);
  if (controller.m_phase == JoinPhase::Joining && controller.m_joinPeer == aClosed.m_node) {
    controller.m_phase = JoinPhase::Searching;
  }
  if (controller.m_desiredLinks.contains(aClosed.m_node)) {
    DialNode(aContext, aClosed.m_node);
  }
}

void
HandleConnectFailed(StepContext& aContext, const ConnectFailed& aFailed)
{
  Controller& controller = aContext.m_controller;
  DialState& dial = controller.m_dials[aFailed.m_address];
  dial.m_inFlight = false;
  ++dial.m_failures;
  dial.m_backoffMs =
    NextBackoff(controller.m_random, dial.m_backoffMs, kDialBackoffMinMs, kDialBackoffMaxMs);
  dial.m_notBefore = aContext.m_now + dial.m_backoffMs;
  if (dial.m_failures < kDialFailuresToAccuse ||
      membership::IsLikelyIsolated(HealthOfLinks(controller, aContext.m_now))) {
    return;
  }
  for (const auto& [node, record] : controller.m_table.m_members) {
    if (record.m_member.m_address == aFailed.m_address) {
      const std::string accused = node;
      AccuseMember(aContext, accused);
      return;
    }
  }
}

void
TickLinks(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  RefreshTopology(controller);
  if (controller.m_phase != JoinPhase::Joined || controller.m_left) {
    return;
  }
  HandleSilentLinks(aContext);
  FindUnreachableDomains(aContext);
  for (const std::string& node : controller.m_desiredLinks) {
    DialNode(aContext, node);
  }
  CloseUnwanted(aContext);
  ProbeGoneMember(aContext);
  std::erase_if(controller.m_dials, [&](const auto& aItem) {
    const DialState& dial = aItem.second;
    return !dial.m_inFlight && aContext.m_now - dial.m_notBefore > kCloseUnwantedMs;
  });
}

} // namespace sequoiastep::distribution
