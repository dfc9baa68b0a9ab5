#include "Members.h"

#include "Hash.h"
#include "NameTable.h"
#include "RequestLimit.h"
#include "StartTime.h"

#include <algorithm>
#include <tuple>

namespace sequoiastep::membership {

namespace {

constexpr std::array<NameRow<MemberState>, 5> kStateNames{ {
  { MemberState::Starting, "starting" },
  { MemberState::Up, "up" },
  { MemberState::Draining, "draining" },
  { MemberState::Suspect, "suspect" },
  { MemberState::Gone, "gone" },
} };

std::uint64_t
EntryDigest(const Member& aMember)
{
  std::uint64_t digest = Hash64(aMember.m_node, aMember.m_incarnation);
  digest ^= (std::uint64_t{ aMember.m_counter } << 8) | static_cast<std::uint8_t>(aMember.m_state);
  for (const Departure& departure : aMember.m_departures) {
    digest ^=
      Hash64(departure.m_id, static_cast<std::uint64_t>(wire::EncodeStartTime(departure.m_bornMs)));
  }
  return Hash64({ reinterpret_cast<const char*>(&digest), sizeof digest });
}

void
Store(MemberTable& aTable, const Member& aEntry, Instant aNow)
{
  const auto old = aTable.m_members.find(aEntry.m_node);
  MemberRecord record{ .m_member = aEntry, .m_stateSince = aNow, .m_upSince = aNow };
  if (old != aTable.m_members.end()) {
    const Member& before = old->second.m_member;
    const bool sameTarget =
      before.m_incarnation == aEntry.m_incarnation && before.m_service == aEntry.m_service;
    record.m_upSince = sameTarget ? old->second.m_upSince : aNow;
    record.m_stateSince = before.m_state == aEntry.m_state ? old->second.m_stateSince : aNow;
    MergeDepartures(record.m_member.m_departures, before.m_departures);
  } else {
    MergeDepartures(record.m_member.m_departures, {}); // Sorts and bounds what a peer sent.
  }
  aTable.m_members[aEntry.m_node] = std::move(record);
}

} // namespace

std::string_view
NameOf(MemberState aState)
{
  return NameIn(kStateNames, aState);
}

bool
IsLive(MemberState aState)
{
  return aState != MemberState::Suspect && aState != MemberState::Gone;
}

bool
Overrides(const Member& aLeft, const Member& aRight)
{
  return std::tie(aLeft.m_counter, aLeft.m_incarnation, aLeft.m_state) >
         std::tie(aRight.m_counter, aRight.m_incarnation, aRight.m_state);
}

MergeResult
MergeMember(MemberTable& aTable, const Member& aEntry, Instant aNow)
{
  const auto known = aTable.m_members.find(aEntry.m_node);
  if (aEntry.m_node == aTable.m_self && known != aTable.m_members.end()) {
    Member self = known->second.m_member;
    const bool departed = MergeDepartures(self.m_departures, aEntry.m_departures);
    if (!departed && !Overrides(aEntry, self)) {
      return Overrides(self, aEntry) ? MergeResult::Older : MergeResult::Known;
    }
    self.m_counter = std::max(self.m_counter, aEntry.m_counter);
    UpdateSelf(aTable, self, aNow);
    return MergeResult::Refuted;
  }
  if (known == aTable.m_members.end()) {
    Store(aTable, aEntry, aNow);
    return MergeResult::Changed;
  }
  if (Overrides(aEntry, known->second.m_member)) {
    Store(aTable, aEntry, aNow);
    return MergeResult::Changed;
  }
  if (MergeDepartures(known->second.m_member.m_departures, aEntry.m_departures)) {
    return MergeResult::Changed;
  }
  return Overrides(known->second.m_member, aEntry) ? MergeResult::Older : MergeResult::Known;
}

const Member&
UpdateSelf(MemberTable& aTable, const Member& aEntry, Instant aNow)
{
  Member entry = aEntry;
  const auto known = aTable.m_members.find(aTable.m_self);
  const std::uint32_t knownCounter =
    known == aTable.m_members.end() ? 0 : known->second.m_member.m_counter;
  entry.m_node = aTable.m_self;
  entry.m_counter = std::max(entry.m_counter, knownCounter) + 1;
  Store(aTable, entry, aNow);
  return aTable.m_members.find(aTable.m_self)->second.m_member;
}

bool
PurgeGone(MemberTable& aTable, Instant aNow, Milliseconds aRetention)
{
  const auto purgedCount = std::erase_if(aTable.m_members, [&](const auto& aItem) {
    const MemberRecord& record = aItem.second;
    return record.m_member.m_state == MemberState::Gone && aNow - record.m_stateSince > aRetention;
  });
  return purgedCount > 0;
}

std::size_t
BucketOf(std::string_view aNode)
{
  return Hash64(aNode) % kDigestBuckets;
}

std::array<std::uint64_t, kDigestBuckets>
BucketDigests(const MemberTable& aTable)
{
  std::array<std::uint64_t, kDigestBuckets> digests{};
  for (const auto& [node, record] : aTable.m_members) {
    if (record.m_member.m_state != MemberState::Gone) {
      digests[BucketOf(node)] ^= EntryDigest(record.m_member);
    }
  }
  return digests;
}

std::uint64_t
TableDigest(const MemberTable& aTable)
{
  std::uint64_t digest = 0;
  for (const std::uint64_t bucket : BucketDigests(aTable)) {
    digest ^= bucket;
  }
  return digest;
}

wire::MemberEntryT
ToWire(const Member& aMember)
{
  wire::MemberEntryT entry;
  entry.node = aMember.m_node;
  entry.incarnation = aMember.m_incarnation;
  entry.counter = aMember.m_counter;
  entry.state = aMember.m_state;
  entry.address = aMember.m_address;
  entry.region = aMember.m_region;
  entry.failure_domain = aMember.m_failureDomain;
  entry.service = aMember.m_service;
  entry.slots = aMember.m_slots;
  entry.warm_up_ms = aMember.m_warmUpMs;
  entry.per_second = wire::EncodeLimit(aMember.m_perSecond);
  for (const Departure& departure : aMember.m_departures) {
    auto left = std::make_unique<wire::DepartureT>();
    left->id = departure.m_id;
    left->born_ms = wire::EncodeStartTime(departure.m_bornMs);
    entry.departures.push_back(std::move(left));
  }
  entry.version = aMember.m_version;
  return entry;
}

Member
FromWire(const wire::MemberEntryT& aEntry)
{
  std::vector<Departure> departures;
  for (const auto& left : aEntry.departures) {
    departures.push_back({ .m_id = left->id, .m_bornMs = wire::DecodeStartTime(left->born_ms) });
  }
  return { .m_node = aEntry.node,
           .m_incarnation = aEntry.incarnation,
           .m_counter = aEntry.counter,
           .m_state = aEntry.state,
           .m_address = aEntry.address,
           .m_region = aEntry.region,
           .m_failureDomain = aEntry.failure_domain,
           .m_service = aEntry.service,
           .m_slots = aEntry.slots,
           .m_warmUpMs = aEntry.warm_up_ms,
           .m_perSecond = wire::DecodeLimit(aEntry.per_second),
           .m_departures = std::move(departures),
           .m_version = aEntry.version };
}

} // namespace sequoiastep::membership
