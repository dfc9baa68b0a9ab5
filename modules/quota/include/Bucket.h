/// @file
/// A token bucket.
#pragma once

#include "Clock.h"

#include <cstdint>

namespace sequoiastep::quota {

/// Tokens that can be taken. A default bucket is empty.
struct Bucket
{
  double m_tokens = 0;
  /// Time up to which tokens have been added. If it lies in the future, none are added until then.
  Instant m_filledAt;
};

/// Rate and depth of a bucket.
struct BucketLimits
{
  double m_ratePerSecond = 0;
  double m_depth = 0;
};

/// Adds the tokens of the time since the last call, and removes those above the depth.
void
Refill(Bucket& aBucket, const BucketLimits& aLimits, Instant aNow);

/// Takes up to aWanted whole tokens.
/// @return the number of tokens taken.
std::uint32_t
TakeTokens(Bucket& aBucket, std::uint32_t aWanted);

/// Empties the bucket; it stays empty until aUntil.
void
EmptyUntil(Bucket& aBucket, Instant aUntil);

} // namespace sequoiastep::quota
