/// @file
/// Claims of keys that callers made up, as the log orders them: the first claim of a key wins,
/// whoever made it. Every node that replays a claim stream comes to the same index.
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

/// Streams over which the keys are spread.
constexpr std::uint32_t kClaimStreams = 8;

/// One claim, as a record of a claim stream holds it.
struct ClaimRecord
{
  std::string m_key;
  /// Who may run the request.
  std::string m_node;
  std::uint64_t m_incarnation = 0;
};

/// A claim and where the log holds it.
struct PlacedClaim
{
  ClaimRecord m_record;
  std::uint64_t m_offset = 0;
};

/// What replay of one claim stream has come to.
struct ClaimIndex
{
  /// Most keys that are held; over it, new keys are refused.
  std::size_t m_maxKeys = 50'000;
  /// Offset of the next record to read.
  std::uint64_t m_next = 0;
  std::map<std::string, PlacedClaim, std::less<>> m_claims;
  /// Keys by offset, so that expired ones are found.
  std::map<std::uint64_t, std::string> m_byOffset;
};

/// @return the stream that holds claims of aKey.
std::uint32_t
ClaimStreamOf(std::string_view aKey);

/// @return aRecord as the body of a record.
std::string
EncodeClaim(const ClaimRecord& aRecord);

/// Replays one record; a body that is no claim is passed over.
void
ReplayClaim(ClaimIndex& aIndex, std::uint64_t aOffset, std::string_view aBody);

/// Drops claims below the first offset that the log still holds.
void
ExpireClaims(ClaimIndex& aIndex, std::uint64_t aFirst);

/// @return the first claim of aKey, or nothing.
const PlacedClaim*
FindClaim(const ClaimIndex& aIndex, std::string_view aKey);

/// @return true if no further key can be held.
bool
IsFull(const ClaimIndex& aIndex);

/// @return milliseconds since the Unix epoch that a UUID of version 7 bears, or nothing.
std::optional<Milliseconds>
TimeOfKey(std::string_view aKey);

} // namespace sequoiastep::idempotency
