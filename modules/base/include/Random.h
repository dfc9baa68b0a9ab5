/// @file
/// A small seeded random number generator, so that every random decision can be reproduced from the
/// seed.
#pragma once

#include <cstdint>

namespace sequoiastep {

/// SplitMix64. Not cryptographically secure.
struct Random
{
  std::uint64_t m_state = 1;

  /// @return the next 64 random bits.
  std::uint64_t Next()
  {
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
  }

  /// @return a number in [0, aBound); 0 if aBound is 0.
  std::uint64_t Below(std::uint64_t aBound) { return aBound == 0 ? 0 : Next() % aBound; }

  /// @return a number in [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
};

/// @return a seed from the system's entropy source, for running nodes.
std::uint64_t
EntropySeed();

} // namespace sequoiastep
