/// @file
/// The member list: each node's copy of the state of all nodes, merged without a coordinator.
///
/// Versions of a member's entry are ordered by counter, then incarnation, then state; the greatest
/// wins. Only the member itself raises its counter. Others may only mark it Suspect or Gone at the
/// counter they know, which the member refutes by raising its counter.
#pragma once

#include "Clock.h"
#include "Departure.h"
#include "Messages_generated.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::membership {

using wire::MemberState;

/// Number of buckets in the digest exchange, which finds entries that differ between two nodes.
constexpr std::size_t kDigestBuckets = 64;

/// @return the name of aState in admin responses and logs.
std::string_view
NameOf(MemberState aState);

/// A member's entry: one node and the target next to it.
struct Member
{
  std::string m_node;
  /// Random number drawn when the process started.
  std::uint64_t m_incarnation = 0;
  /// Version of the entry; only the member itself raises it.
  std::uint32_t m_counter = 0;
  MemberState m_state = MemberState::Starting;
  /// Peer address, IP:PORT.
  std::string m_address;
  std::string m_region;
  std::string m_failureDomain;
  /// Service of the target next to the node; empty while there is none.
  std::string m_service;
  /// Maximum number of requests that the target runs concurrently.
  std::uint16_t m_slots = 0;
  /// Warm-up time of a new target, in milliseconds, during which its share of the load ramps up.
  std::uint32_t m_warmUpMs = 0;
  /// Requests per second that the target accepts from all nodes together; none if it named no
  /// limit.
  std::optional<double> m_perSecond;
  /// Targets of the host that left. They outlive the process that acknowledged them: versions of
  /// the entry are merged in this, whichever overrides the other.
  std::vector<Departure> m_departures;
  /// Software version of the target; empty if it reported none.
  std::string m_version;
};

/// A member's entry and when this node saw it change.
struct MemberRecord
{
  Member m_member;
  /// When this node first saw the current state.
  Instant m_stateSince;
  /// When this node first saw the current incarnation and service; warm-up counts from here.
  Instant m_upSince;
};

using MemberMap = std::map<std::string, MemberRecord, std::less<>>;

/// One node's copy of the member list, its own entry included.
struct MemberTable
{
  std::string m_self;
  MemberMap m_members;
};

/// Result of merging an entry from a peer.
enum class MergeResult
{
  /// The entry was new or newer and is now in the table; it should be passed on.
  Changed,
  /// The entry was in the table already.
  Known,
  /// The table holds a newer entry, which should be sent back to the sender.
  Older,
  /// The entry was about this node and overrode its own or named departures that its own lacked;
  /// the table now holds this node's entry with a higher counter, to be passed on as a refutation.
  Refuted,
};

/// @return true unless aState is Suspect or Gone: the member may be used for roles and links.
bool
IsLive(MemberState aState);

/// @return true if aLeft overrides aRight, an entry of the same node.
bool
Overrides(const Member& aLeft, const Member& aRight);

/// Merges an entry from a peer into the table.
MergeResult
MergeMember(MemberTable& aTable, const Member& aEntry, Instant aNow);

/// Replaces this node's own entry by aEntry with a counter above both.
/// @return the entry to pass on.
const Member&
UpdateSelf(MemberTable& aTable, const Member& aEntry, Instant aNow);

/// Removes members that have been Gone for longer than aRetention (milliseconds).
/// @return true if any was removed.
bool
PurgeGone(MemberTable& aTable, Instant aNow, Milliseconds aRetention);

/// @return one digest per bucket of the entries that are not Gone.
std::array<std::uint64_t, kDigestBuckets>
BucketDigests(const MemberTable& aTable);

/// @return one digest of all entries that are not Gone.
std::uint64_t
TableDigest(const MemberTable& aTable);

/// @return the digest bucket of a node, by the hash of its name.
std::size_t
BucketOf(std::string_view aNode);

/// @return aMember as a wire message.
wire::MemberEntryT
ToWire(const Member& aMember);

/// @return the entry in a wire message.
Member
FromWire(const wire::MemberEntryT& aEntry);

} // namespace sequoiastep::membership
