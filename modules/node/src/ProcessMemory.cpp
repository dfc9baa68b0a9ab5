#include "ProcessMemory.h"

#include <malloc.h>

namespace sequoiastep::node {

namespace {

// By default the allocator raises this threshold to the largest block that was freed, up to 32 MB,
// and keeps large blocks in fragmented heaps from then on: a node with 16 MB of unsent answers took
// up to 135 MB.
constexpr int kMmapThresholdBytes = 256 << 10;
constexpr int kTrimThresholdBytes = 2 << 20;
constexpr Milliseconds kTrimIntervalMs = 1000;

} // namespace

void
ReturnFreedMemory()
{
  ::mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  ::mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

void
MemoryTrimmer::Review(std::uint64_t aClosed, Instant aNow)
{
  if (aClosed == m_closed || aNow < m_nextAt) {
    return;
  }
  m_closed = aClosed;
  m_nextAt = aNow + kTrimIntervalMs;
  ::malloc_trim(0);
}

} // namespace sequoiastep::node
