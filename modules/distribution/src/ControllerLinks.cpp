// Links: which to open, with what backoff, and whom to accuse when one is silent.
#include "ControllerPriv.h"
#include "Log.h"

#include <algorithm>

namespace sequoiastep::distribution {

using membership::Member;
using membership::MemberState;

namespace {

constexpr Milliseconds kDialBackoffLeastMs = 200;
constexpr Milliseconds kDialBackoffMostMs = 5000;
constexpr Milliseconds kCloseUnwantedMs = 10'000;
constexpr Milliseconds kCloseUnwantedForeignMs = 2000;
constexpr Milliseconds kGoneProbeEveryMs = 5000;
constexpr Milliseconds kDarkAfterStartMs = 3000;
constexpr std::uint32_t kFailuresToAccuse = 2;
constexpr std::size_t kWitnesses = 3;
constexpr std::size_t kShortList = 128;

// Silence after which a link counts as broken.
Milliseconds
MostSilence(const Controller& aController, const Link& aLink)
{
  const Milliseconds home = aController.m_options.m_detector.m_suspectAfterMs;
  return aLink.m_foreign ? home * aController.m_options.m_foreignHeartbeatFactor : home;
}

bool
IsFresh(const Controller& aController, const Link& aLink, Instant aNow)
{
  return aNow - aLink.m_lastHeard < MostSilence(aController, aLink);
}

// Judged by fresher news than a neighbour is accused by: when this node itself is cut off, all
// links must look bad before the first of them has been silent long enough.
membership::LinkHealth
HealthOfLinks(const Controller& aController, Instant aNow)
{
  membership::LinkHealth health;
  const Member& self = Self(aController);
  for (const std::string& node : aController.m_wanted) {
    const Member* peer = FindMember(aController, node);
    health.m_wanted += peer != nullptr && peer->m_region == self.m_region ? 1 : 0;
  }
  const Milliseconds recent = aController.m_options.m_heartbeatMs * 3 / 2;
  for (const auto& [node, link] : aController.m_links) {
    if (aNow - link.m_lastHeard >= recent) {
      continue;
    }
    health.m_working += !link.m_foreign && aController.m_wanted.contains(node) ? 1 : 0;
    const Member* peer = FindMember(aController, node);
    health.m_hasLinkOutsideDomain =
      health.m_hasLinkOutsideDomain ||
      (peer != nullptr && peer->m_failureDomain != self.m_failureDomain);
  }
  return health;
}

void
DialNode(Turn& aTurn, std::string_view aNode)
{
  const Member* member = FindMember(aTurn.m_controller, aNode);
  if (member != nullptr && FindLink(aTurn.m_controller, aNode) == nullptr) {
    DialAddress(aTurn, member->m_address);
  }
}

// Asks a few nodes outside the own failure domain whether this node can be reached at all.
void
DialWitnesses(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  const Member& self = Self(controller);
  std::vector<std::string_view> strangers;
  for (const auto& [node, record] : controller.m_table.m_members) {
    const Member& member = record.m_member;
    if (membership::IsLive(member.m_state) && member.m_failureDomain != self.m_failureDomain) {
      strangers.push_back(node);
    }
  }
  for (std::size_t i = 0; i < kWitnesses && !strangers.empty(); ++i) {
    DialNode(aTurn, strangers[controller.m_random.Below(strangers.size())]);
  }
}

void
FindDarkDomains(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  std::set<DomainKey> dark;
  const bool reader = ReaderRank(controller) < controller.m_options.m_topology.m_readers;
  if (reader && aTurn.m_now - controller.m_startedAt > kDarkAfterStartMs) {
    for (const auto& [key, order] : controller.m_topology.m_domainOrder) {
      const bool alone = order.size() == 1 && order.front() == controller.m_table.m_self;
      const bool linked = std::any_of(order.begin(), order.end(), [&](const std::string& aNode) {
        const Link* link = FindLink(controller, aNode);
        return link != nullptr && IsFresh(controller, *link, aTurn.m_now);
      });
      if (key.m_region == controller.m_options.m_region && !alone && !linked) {
        dark.insert(key);
      }
    }
  }
  if (dark != controller.m_dark) {
    controller.m_dark = std::move(dark);
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
  aController.m_wanted = DesiredLinks(aController.m_topology,
                                      Self(aController),
                                      aController.m_options.m_topology,
                                      aController.m_dark);
}

void
JudgeSilentLinks(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  const bool doubting = membership::IsLikelyIsolated(HealthOfLinks(controller, aTurn.m_now));
  if (doubting) {
    DialWitnesses(aTurn);
  }
  std::vector<std::string> silent;
  for (const auto& [node, link] : controller.m_links) {
    if (!IsFresh(controller, link, aTurn.m_now)) {
      silent.push_back(node);
    }
  }
  for (const std::string& node : silent) {
    if (!doubting) {
      AccuseMember(aTurn, node);
    }
    const Link& link = controller.m_links.at(node);
    if (aTurn.m_now - link.m_lastHeard > 2 * MostSilence(controller, link)) {
      aTurn.m_actions.emplace_back(CloseLink{ .m_node = node });
      controller.m_links.erase(node);
    }
  }
}

void
CloseUnwanted(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  std::vector<std::string> closing;
  for (auto& [node, link] : controller.m_links) {
    if (!link.m_outbound || controller.m_wanted.contains(node) ||
        controller.m_phase != JoinPhase::Joined) {
      link.m_unwantedSince.reset();
      continue;
    }
    if (!link.m_unwantedSince) {
      link.m_unwantedSince = aTurn.m_now;
    }
    const Milliseconds keep = link.m_foreign ? kCloseUnwantedForeignMs : kCloseUnwantedMs;
    if (aTurn.m_now - *link.m_unwantedSince > keep) {
      closing.push_back(node);
    }
  }
  for (const std::string& node : closing) {
    aTurn.m_actions.emplace_back(CloseLink{ .m_node = node });
    controller.m_links.erase(node);
  }
}

// After a healed cut both sides may hold each other for gone; somebody has to try.
void
ProbeGone(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  if (aTurn.m_now < controller.m_nextGoneProbe ||
      ReaderRank(controller) >= controller.m_options.m_topology.m_readers) {
    return;
  }
  controller.m_nextGoneProbe = aTurn.m_now + kGoneProbeEveryMs;
  std::vector<std::string> gone;
  for (const auto& [node, record] : controller.m_table.m_members) {
    if (record.m_member.m_state == MemberState::Gone) {
      gone.push_back(node);
    }
  }
  if (!gone.empty()) {
    DialNode(aTurn, gone[controller.m_random.Below(gone.size())]);
  }
}

} // namespace

void
DialAddress(Turn& aTurn, const std::string& aAddress)
{
  Controller& controller = aTurn.m_controller;
  if (aAddress.empty() || aAddress == controller.m_options.m_address || controller.m_left) {
    return;
  }
  Dial& dial = controller.m_dials[aAddress];
  if (dial.m_inFlight || aTurn.m_now < dial.m_notBefore) {
    return;
  }
  dial.m_inFlight = true;
  aTurn.m_actions.emplace_back(OpenLink{ .m_address = aAddress });
}

void
HandleLinkOpened(Turn& aTurn, const LinkOpened& aOpened)
{
  Controller& controller = aTurn.m_controller;
  controller.m_dials.erase(aOpened.m_address);
  Link link;
  link.m_address = aOpened.m_address;
  link.m_outbound = aOpened.m_outbound;
  link.m_openedAt = aTurn.m_now;
  link.m_lastHeard = aTurn.m_now;
  link.m_foreign = aOpened.m_region != controller.m_options.m_region;
  controller.m_links.insert_or_assign(aOpened.m_node, link);
  if (controller.m_phase != JoinPhase::Joined && controller.m_phase != JoinPhase::Joining) {
    AskToJoin(aTurn, aOpened.m_node);
  }
  const Member* peer = FindMember(controller, aOpened.m_node);
  const bool stranger = peer == nullptr || !membership::IsLive(peer->m_state);
  // Two lists that grew apart are merged. A node that dials in may only be starting: it asks, or is
  // told at once if the list is short.
  const bool tells = aOpened.m_outbound || controller.m_table.m_members.size() <= kShortList;
  if (stranger && tells && controller.m_phase == JoinPhase::Joined) {
    SendAllMembers(aTurn, aOpened.m_node);
    return;
  }
  wire::MemberUpdateT update;
  update.entries.push_back(
    std::make_unique<wire::MemberEntryT>(membership::ToWire(Self(controller))));
  SendTo(aTurn, aOpened.m_node, ShareMessage(std::move(update)));
}

void
HandleLinkClosed(Turn& aTurn, const LinkClosed& aClosed)
{
  Controller& controller = aTurn.m_controller;
  controller.m_links.erase(aClosed.m_node);
  if (controller.m_phase == JoinPhase::Joining && controller.m_joinPeer == aClosed.m_node) {
    controller.m_phase = JoinPhase::Searching;
  }
  if (controller.m_wanted.contains(aClosed.m_node)) {
    DialNode(aTurn, aClosed.m_node);
  }
}

void
HandleConnectFailed(Turn& aTurn, const ConnectFailed& aFailed)
{
  Controller& controller = aTurn.m_controller;
  Dial& dial = controller.m_dials[aFailed.m_address];
  dial.m_inFlight = false;
  ++dial.m_failures;
  dial.m_delayMs =
    NextDelay(controller.m_random, dial.m_delayMs, kDialBackoffLeastMs, kDialBackoffMostMs);
  dial.m_notBefore = aTurn.m_now + dial.m_delayMs;
  if (dial.m_failures < kFailuresToAccuse ||
      membership::IsLikelyIsolated(HealthOfLinks(controller, aTurn.m_now))) {
    return;
  }
  for (const auto& [node, record] : controller.m_table.m_members) {
    if (record.m_member.m_address == aFailed.m_address) {
      const std::string accused = node;
      AccuseMember(aTurn, accused);
      return;
    }
  }
}

void
TickLinks(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  RefreshTopology(controller);
  if (controller.m_phase != JoinPhase::Joined || controller.m_left) {
    return;
  }
  JudgeSilentLinks(aTurn);
  FindDarkDomains(aTurn);
  for (const std::string& node : controller.m_wanted) {
    DialNode(aTurn, node);
  }
  CloseUnwanted(aTurn);
  ProbeGone(aTurn);
  std::erase_if(controller.m_dials, [&](const auto& aItem) {
    const Dial& dial = aItem.second;
    return !dial.m_inFlight && aTurn.m_now - dial.m_notBefore > kCloseUnwantedMs;
  });
}

} // namespace sequoiastep::distribution
