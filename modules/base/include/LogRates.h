/// @file
/// How many lines of one event may be written: the first of each cause always, others up to a rate,
/// so that a flood of one event neither costs much nor hides what is rare.
#pragma once

#include "Clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace sequoiastep {

/// Bounds for each event.
struct LogRateOptions
{
  std::uint32_t m_linesPerSecond = 100;
  /// Causes beyond this number count as one.
  std::size_t m_mostCauses = 32;
};

/// Lines of one event in the current second.
struct EventRate
{
  Instant m_second;
  std::uint32_t m_lines = 0;
  std::set<std::string, std::less<>> m_causes;
  /// Lines left out since the last one that was written.
  std::uint64_t m_suppressed = 0;
};

/// Rates of all events.
struct LogRates
{
  LogRateOptions m_options;
  std::map<std::string, EventRate, std::less<>> m_events;
};

/// What becomes of a line.
struct LogAdmission
{
  bool m_write = false;
  /// Lines of the event that were left out before this one.
  std::uint64_t m_suppressed = 0;
};

/// Decides on a line of aEvent that was caused by aCause.
LogAdmission
AdmitLine(LogRates& aRates, std::string_view aEvent, std::string_view aCause, Instant aNow);

} // namespace sequoiastep
