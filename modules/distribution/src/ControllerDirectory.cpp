// The directory: each node's own entry in the platform's log, and finding first peers by it.
//
// A node reads the directory only after its own entry is certainly written. So of any two nodes at
// least one finds the other, however close together they start.
#include "ControllerPriv.h"

#include <algorithm>

namespace sequoiastep::distribution {

using membership::Member;

namespace {

constexpr Milliseconds kAgainLeastMs = 300;
constexpr Milliseconds kAgainMostMs = 4000;
constexpr Milliseconds kDialAgainMs = 500;
// Enough random dials that nodes which start together form one group.
constexpr std::size_t kHomeDials = 6;
constexpr std::size_t kForeignDials = 2;

// Regions and addresses that this node already knows live members of.
struct Known
{
  std::set<std::string, std::less<>> m_addresses;
  std::set<std::string, std::less<>> m_regions;
};

Known
KnownMembers(const Controller& aController)
{
  Known known;
  for (const auto& [node, record] : aController.m_table.m_members) {
    const Member& member = record.m_member;
    if (node != aController.m_table.m_self && membership::IsLive(member.m_state)) {
      known.m_addresses.insert(member.m_address);
      known.m_regions.insert(member.m_region);
    }
  }
  return known;
}

// A starter turns to its own region first: what it is told by another one crosses a paid link.
bool
MayDialForeign(const Controller& aController, Instant aNow)
{
  const bool homeLinked = std::any_of(aController.m_links.begin(),
                                      aController.m_links.end(),
                                      [](const auto& aItem) { return !aItem.second.m_foreign; });
  return homeLinked || aNow - aController.m_startedAt > aController.m_options.m_joinWaitMs / 2;
}

void
DialSome(Turn& aTurn, std::vector<std::string> aAddresses, std::size_t aMost)
{
  Random& random = aTurn.m_controller.m_random;
  for (std::size_t i = 0; i < std::min(aMost, aAddresses.size()); ++i) {
    std::swap(aAddresses[i], aAddresses[i + random.Below(aAddresses.size() - i)]);
    DialAddress(aTurn, aAddresses[i]);
  }
}

// Dials nodes of the directory that nobody here knows yet.
void
DialStrangers(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  const Known known = KnownMembers(controller);
  std::map<std::string, std::vector<std::string>> strangers;
  for (const DirectoryEntry& entry : controller.m_directory) {
    for (const std::string& address : entry.m_addresses) {
      if (!known.m_addresses.contains(address)) {
        strangers[entry.m_region].push_back(address);
      }
    }
  }
  for (auto& [region, addresses] : strangers) {
    if (region == controller.m_options.m_region) {
      DialSome(aTurn, std::move(addresses), kHomeDials);
    } else if (!known.m_regions.contains(region) && MayDialForeign(controller, aTurn.m_now)) {
      DialSome(aTurn, std::move(addresses), kForeignDials);
    }
  }
}

bool
KnowsTooLittle(const Controller& aController)
{
  if (aController.m_links.empty() || aController.m_phase != JoinPhase::Joined) {
    return true;
  }
  const Known known = KnownMembers(aController);
  return std::any_of(
    aController.m_directory.begin(),
    aController.m_directory.end(),
    [&](const DirectoryEntry& aEntry) { return !known.m_regions.contains(aEntry.m_region); });
}

void
WriteEntryIfDue(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  if (controller.m_directoryWriting || aTurn.m_now < controller.m_nextDirectory ||
      controller.m_left) {
    return;
  }
  controller.m_directoryWriting = true;
  aTurn.m_actions.emplace_back(
    AppendDirectory{ { .m_region = controller.m_options.m_region,
                       .m_addresses = { controller.m_options.m_address } } });
}

void
ReadIfDue(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  const bool alone = controller.m_links.empty();
  if (controller.m_directoryReading || aTurn.m_now < controller.m_directoryRetryAt ||
      controller.m_left || !(controller.m_directoryDue || alone)) {
    return;
  }
  controller.m_directoryReading = true;
  aTurn.m_actions.emplace_back(ReadDirectory{});
}

void
BackOff(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  controller.m_directoryDelayMs =
    NextDelay(controller.m_random, controller.m_directoryDelayMs, kAgainLeastMs, kAgainMostMs);
  controller.m_directoryRetryAt = aTurn.m_now + controller.m_directoryDelayMs;
}

} // namespace

void
HandleDirectoryWritten(Turn& aTurn, const DirectoryWritten& aWritten)
{
  Controller& controller = aTurn.m_controller;
  controller.m_directoryWriting = false;
  if (!aWritten.m_ok) {
    BackOff(aTurn);
    controller.m_nextDirectory = controller.m_directoryRetryAt;
    return;
  }
  controller.m_nextDirectory = aTurn.m_now + controller.m_options.m_directoryEveryMs;
  controller.m_directoryDue = true;
  controller.m_directoryDelayMs = 0;
  controller.m_directoryRetryAt = aTurn.m_now;
  ReadIfDue(aTurn);
}

void
HandleDirectoryRead(Turn& aTurn, const DirectoryRead& aRead)
{
  Controller& controller = aTurn.m_controller;
  controller.m_directoryReading = false;
  BackOff(aTurn);
  if (!aRead.m_ok) {
    return;
  }
  controller.m_directoryDue = false;
  controller.m_directory = aRead.m_entries;
  DialStrangers(aTurn);
}

void
TickDirectory(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  WriteEntryIfDue(aTurn);
  ReadIfDue(aTurn);
  if (aTurn.m_now >= controller.m_nextStrangers && !controller.m_left &&
      KnowsTooLittle(controller)) {
    controller.m_nextStrangers = aTurn.m_now + kDialAgainMs;
    DialStrangers(aTurn);
  }
}

} // namespace sequoiastep::distribution
