/// @file
/// Monotonic time in milliseconds. All code takes the time from here.
#pragma once

#include <compare>
#include <cstdint>

namespace sequoiastep {

/// A duration in milliseconds.
using Milliseconds = std::int64_t;

/// A point on the monotonic clock of this process, in milliseconds.
/// Only comparable within one process.
struct Instant
{
  Milliseconds m_ms = 0;

  auto operator<=>(const Instant&) const = default; // NOLINT(modernize-use-nullptr)
};

/// @return the instant aDelay milliseconds after aStart.
constexpr Instant
operator+(Instant aStart, Milliseconds aDelay)
{
  return Instant{ aStart.m_ms + aDelay };
}

/// @return the milliseconds from aStart to aEnd.
constexpr Milliseconds
operator-(Instant aEnd, Instant aStart)
{
  return aEnd.m_ms - aStart.m_ms;
}

/// Reads the system's clocks. Modules that make decisions never call it; their callers pass them an
/// Instant.
struct Clock
{
  /// @return the current monotonic time.
  static Instant Now();
  /// @return the monotonic time in microseconds, for latency measurements only.
  static std::int64_t NowMicroseconds();
  /// @return milliseconds since the Unix epoch, only for log lines and for keys that contain a
  /// time.
  static Milliseconds UnixMilliseconds();
};

} // namespace sequoiastep
