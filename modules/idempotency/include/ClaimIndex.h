/// @file
/// Index of claims on idempotency keys that callers generate themselves. A claim is a log record
/// that names the node that may run the request. The first claim of a key in log order wins,
/// whichever node wrote it, so every node that replays a claim stream builds the same index.
#pragma once

#include "Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::idempotency {

/// Number of log streams over which the keys are spread by hash.
constexpr std::uint32_t kClaimStreams = 8;

/// One claim: the content of a claim stream record.
struct ClaimRecord
{
  std::string m_key;
  /// Node that may run the request.
  std::string m_node;
  /// Incarnation of m_node that wrote the claim.
  std::uint64_t m_incarnation = 0;
};

/// A claim and the offset of its record in the claim stream.
struct LoggedClaim
{
  ClaimRecord m_record;
  std::uint64_t m_offset = 0;
};

/// State built by replaying one claim stream.
struct ClaimIndex
{
  /// Maximum number of keys; at this size IsFull() is true and new keys are refused. Replay itself
  /// does not enforce it.
  std::size_t m_maxKeys = 50'000;
  /// Offset of the next record to read.
  std::uint64_t m_nextOffset = 0;
  std::map<std::string, LoggedClaim, std::less<>> m_claims;
  /// Keys by offset, to find the claims that have expired.
  std::map<std::uint64_t, std::string> m_byOffset;
};

/// @return the index of the stream that holds the claims of aKey, below kClaimStreams.
std::uint32_t
ClaimStreamOf(std::string_view aKey);

/// @return aRecord as the body of a log record (JSON).
std::string
EncodeClaim(const ClaimRecord& aRecord);

/// Replays one record. Skips records that were replayed before, bodies that are not a claim, and
/// claims of a key that is already claimed.
void
ReplayClaim(ClaimIndex& aIndex, std::uint64_t aOffset, std::string_view aBody);

/// Drops claims below aFirstOffset, the first offset that the log still holds or is certain to
/// hold. Replay continues there or later.
void
ExpireClaims(ClaimIndex& aIndex, std::uint64_t aFirstOffset);

/// @return the first claim of aKey, or null.
const LoggedClaim*
FindClaim(const ClaimIndex& aIndex, std::string_view aKey);

/// @return true if the index holds m_maxKeys keys or more.
bool
IsFull(const ClaimIndex& aIndex);

/// @return the timestamp in aKey, in milliseconds since the Unix epoch, or nothing if aKey is not a
/// UUID of version 7.
std::optional<Milliseconds>
UuidV7Timestamp(std::string_view aKey);

} // namespace sequoiastep::idempotency
