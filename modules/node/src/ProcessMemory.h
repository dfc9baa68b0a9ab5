/// @file
/// Keeps the memory of the process close to what it holds.
#pragma once

#include "Clock.h"

#include <cstdint>

namespace sequoiastep::node {

/// Makes the allocator return freed memory to the system: large blocks at once, whatever was
/// allocated before. Call it before other threads start.
void
ReturnFreedMemory();

/// Returns free memory between blocks in use to the system.
class MemoryTrimmer
{
public:
  /// Trims if aClosed has risen since the last call, at most once a second.
  /// @param aClosed how many connections were closed because memory was used up.
  void Review(std::uint64_t aClosed, Instant aNow);

private:
  std::uint64_t m_closed = 0;
  Instant m_nextAt;
};

} // namespace sequoiastep::node
