// The directory: every node's own entry in the platform's log, by which nodes find their first
// peers.
//
// A node reads the directory only after the log confirmed the write of its own entry. So of any two
// nodes at least one finds the other, however close together they start.
#include "ControllerPriv.h"

#include <algorithm>

namespace sequoiastep::distribution {

using membership::Member;

namespace {

constexpr Milliseconds kDirectoryBackoffMinMs = 300;
constexpr Milliseconds kDirectoryBackoffMaxMs = 4000;
constexpr Milliseconds kDirectoryDialIntervalMs = 500;
// The nodes spread their writes after a restore of the store over this time.
constexpr std::uint64_t kRewriteSpreadMs = 500;
// Random nodes dialled at once: enough that nodes which start together form one connected group.
constexpr std::size_t kOwnRegionDials = 6;
constexpr std::size_t kOtherRegionDials = 2;

// Regions and addresses of the live members that this node knows.
struct KnownMembers
{
  std::set<std::string, std::less<>> m_addresses;
  std::set<std::string, std::less<>> m_regions;
};

KnownMembers
FindKnownMembers(const Controller& aController)
{
  KnownMembers known;
  for (const auto& [node, record] : aController.m_table.m_members) {
    const Member& member = record.m_member;
    if (node != aController.m_table.m_self && membership::IsLive(member.m_state)) {
      known.m_addresses.insert(member.m_address);
      known.m_regions.insert(member.m_region);
    }
  }
  return known;
}

// A joining node dials its own region first: a join answered from another region crosses a billed
// link.
bool
MayDialOtherRegions(const Controller& aController, Instant aNow)
{
  const bool linkedInRegion =
    std::any_of(aController.m_links.begin(), aController.m_links.end(), [](const auto& aItem) {
      return !aItem.second.m_crossRegion;
    });
  return linkedInRegion || aNow - aController.m_startedAt > aController.m_options.m_joinWaitMs / 2;
}

void
DialRandom(StepContext& aContext, std::vector<std::string> aAddresses, std::size_t aCount)
{
  Random& random = aContext.m_controller.m_random;
  for (std::size_t i = 0; i < std::min(aCount, aAddresses.size()); ++i) {
    std::swap(aAddresses[i], aAddresses[i + random.Below(aAddresses.size() - i)]);
    DialAddress(aContext, aAddresses[i]);
  }
}

// Dials nodes of the directory that are not among the known live members.
void
DialUnknownNodes(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  const KnownMembers known = FindKnownMembers(controller);
  std::map<std::string, std::vector<std::string>> unknown;
  for (const DirectoryEntry& entry : controller.m_directory) {
    for (const std::string& address : entry.m_addresses) {
      if (!known.m_addresses.contains(address)) {
        unknown[entry.m_region].push_back(address);
      }
    }
  }
  for (auto& [region, addresses] : unknown) {
    if (region == controller.m_options.m_region) {
      DialRandom(aContext, std::move(addresses), kOwnRegionDials);
    } else if (!known.m_regions.contains(region) &&
               MayDialOtherRegions(controller, aContext.m_now)) {
      DialRandom(aContext, std::move(addresses), kOtherRegionDials);
    }
  }
}

bool
NeedsMorePeers(const Controller& aController)
{
  if (aController.m_links.empty() || aController.m_phase != JoinPhase::Joined) {
    return true;
  }
  const KnownMembers known = FindKnownMembers(aController);
  return std::any_of(
    aController.m_directory.begin(),
    aController.m_directory.end(),
    [&](const DirectoryEntry& aEntry) { return !known.m_regions.contains(aEntry.m_region); });
}

void
WriteEntryIfDue(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  if (controller.m_directoryWriteInFlight || aContext.m_now < controller.m_nextDirectoryWrite ||
      controller.m_left) {
    return;
  }
  controller.m_directoryWriteInFlight = true;
  aContext.m_actions.emplace_back(
    AppendDirectory{ { .m_region = controller.m_options.m_region,
                       .m_addresses = { controller.m_options.m_address } } });
}

void
ReadDirectoryIfDue(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  const bool unlinked = controller.m_links.empty();
  if (controller.m_directoryReadInFlight || aContext.m_now < controller.m_directoryRetryAt ||
      controller.m_left || !(controller.m_directoryReadDue || unlinked)) {
    return;
  }
  controller.m_directoryReadInFlight = true;
  aContext.m_actions.emplace_back(ReadDirectory{});
}

void
BackOff(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  controller.m_directoryBackoffMs = NextBackoff(controller.m_random,
                                                controller.m_directoryBackoffMs,
                                                kDirectoryBackoffMinMs,
                                                kDirectoryBackoffMaxMs);
  controller.m_directoryRetryAt = aContext.m_now + controller.m_directoryBackoffMs;
}

// The entry may be lost if the store was restored after it was confirmed.
void
ScheduleRewriteIfLost(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  if (controller.m_directoryEra < controller.m_storeEra) {
    const auto delay = static_cast<Milliseconds>(controller.m_random.Below(kRewriteSpreadMs));
    controller.m_nextDirectoryWrite =
      std::min(controller.m_nextDirectoryWrite, aContext.m_now + delay);
  }
}

} // namespace

void
LearnStoreEra(StepContext& aContext, std::uint64_t aEra)
{
  Controller& controller = aContext.m_controller;
  if (aEra <= controller.m_storeEra) {
    return;
  }
  controller.m_storeEra = aEra;
  for (auto& [node, link] : controller.m_links) {
    link.m_heartbeatDue = true;
  }
  ScheduleRewriteIfLost(aContext);
}

void
HandleDirectoryWritten(StepContext& aContext, const DirectoryWritten& aWritten)
{
  Controller& controller = aContext.m_controller;
  controller.m_directoryWriteInFlight = false;
  if (!aWritten.m_ok) {
    BackOff(aContext);
    controller.m_nextDirectoryWrite = controller.m_directoryRetryAt;
    return;
  }
  controller.m_nextDirectoryWrite = aContext.m_now + controller.m_options.m_directoryEveryMs;
  controller.m_directoryEra = aWritten.m_era;
  LearnStoreEra(aContext, aWritten.m_era);
  ScheduleRewriteIfLost(aContext);
  controller.m_directoryReadDue = true;
  controller.m_directoryBackoffMs = 0;
  controller.m_directoryRetryAt = aContext.m_now;
  ReadDirectoryIfDue(aContext);
}

void
HandleDirectoryRead(StepContext& aContext, const DirectoryRead& aRead)
{
  Controller& controller = aContext.m_controller;
  controller.m_directoryReadInFlight = false;
  BackOff(aContext);
  if (!aRead.m_ok) {
    return;
  }
  controller.m_directoryReadDue = false;
  controller.m_directory = aRead.m_entries;
  DialUnknownNodes(aContext);
}

void
TickDirectory(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  WriteEntryIfDue(aContext);
  ReadDirectoryIfDue(aContext);
  if (aContext.m_now >= controller.m_nextDirectoryDial && !controller.m_left &&
      NeedsMorePeers(controller)) {
    controller.m_nextDirectoryDial = aContext.m_now + kDirectoryDialIntervalMs;
    DialUnknownNodes(aContext);
  }
}

} // namespace sequoiastep::distribution
