/// @file
/// 64-bit hashes (XXH3) for digests, rendezvous hashing and buckets.
#pragma once

#include <cstdint>
#include <string_view>

namespace sequoiastep {

/// @return the XXH3 hash of aBytes with the seed aSeed; the same on every node.
std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

} // namespace sequoiastep
