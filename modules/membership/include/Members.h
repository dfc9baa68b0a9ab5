/// @file
/// The member list: what each node knows of the others, merged by rules that need no coordinator.
///
/// A member's entry is ordered by counter, then incarnation, then state. Only the member itself
/// raises its counter; others may only accuse (Suspect) or declare it Gone at the counter they
/// know.
#pragma once

#include "Clock.h"
#include "Messages_generated.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::membership {

using wire::MemberState;

/// Buckets of the digest exchange.
constexpr std::size_t kDigestBuckets = 64;

/// @return the name of aState in answers and logs.
std::string_view
NameOf(MemberState aState);

/// One node and the target beside it.
struct Member
{
  std::string m_node;
  /// Random number drawn when the process started.
  std::uint64_t m_incarnation = 0;
  std::uint32_t m_counter = 0;
  MemberState m_state = MemberState::Starting;
  /// Peer address, IP:PORT.
  std::string m_address;
  std::string m_region;
  std::string m_failureDomain;
  /// Service of the target beside the node; empty while there is none.
  std::string m_service;
  /// Requests the target takes at once.
  std::uint16_t m_slots = 0;
  /// How long a new target ramps up, in milliseconds.
  std::uint32_t m_warmUpMs = 0;
};

/// A member and when this node saw it change.
struct MemberRecord
{
  Member m_member;
  /// When the current state began, as seen here.
  Instant m_since;
  /// When the target beside it was first seen up.
  Instant m_upSince;
};

using MemberMap = std::map<std::string, MemberRecord, std::less<>>;

/// All that one node knows of the members, itself included.
struct MemberTable
{
  std::string m_self;
  MemberMap m_members;
};

/// What became of an entry that came from a peer.
enum class MergeResult
{
  /// The entry was new; it should be passed on.
  Changed,
  /// The entry was known.
  Known,
  /// This node knows a newer one; the sender should be told.
  Older,
  /// The entry was about this node and wrong; the table now holds a refutation to pass on.
  Refuted,
};

/// @return true if a member in aState may be used for roles and links.
bool
IsLive(MemberState aState);

/// @return true if aLeft overrides aRight for the same node.
bool
Overrides(const Member& aLeft, const Member& aRight);

/// Merges an entry from a peer into the table.
MergeResult
MergeMember(MemberTable& aTable, const Member& aEntry, Instant aNow);

/// Applies a change that this node makes to its own entry, with a new counter.
/// @return the entry to pass on.
const Member&
UpdateSelf(MemberTable& aTable, const Member& aEntry, Instant aNow);

/// Forgets members that have been Gone for longer than aKeep.
/// @return true if any was forgotten.
bool
ForgetGone(MemberTable& aTable, Instant aNow, Milliseconds aKeep);

/// @return digests of the entries that are not Gone, by bucket.
std::array<std::uint64_t, kDigestBuckets>
BucketDigests(const MemberTable& aTable);

/// @return one digest of all entries that are not Gone.
std::uint64_t
TableDigest(const MemberTable& aTable);

/// @return the bucket of a node.
std::size_t
BucketOf(std::string_view aNode);

/// @return the entry as a message.
wire::MemberEntryT
ToWire(const Member& aMember);

/// @return the message as an entry.
Member
FromWire(const wire::MemberEntryT& aEntry);

} // namespace sequoiastep::membership
