/// @file
/// Rate limit for log lines, per event. The first line of each cause is always written, others up
/// to a limit per second, so that a flood of one event neither costs much nor hides rare lines.
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

/// Limits for each event.
struct LogRateOptions
{
  std::uint32_t m_linesPerSecond = 100;
  /// Causes tracked per second; the lines of further ones have no exemption from the limit.
  std::size_t m_maxCauses = 32;
};

/// State of the rate limit of one event.
struct EventRate
{
  /// Start of the current window of one second.
  Instant m_windowStart;
  /// Lines written in the window.
  std::uint32_t m_lines = 0;
  /// Causes seen in the window.
  std::set<std::string, std::less<>> m_causes;
  /// Lines suppressed since the last one that was written.
  std::uint64_t m_suppressed = 0;
};

/// Rate limits of all events.
struct LogRates
{
  LogRateOptions m_options;
  std::map<std::string, EventRate, std::less<>> m_events;
};

/// Whether a line is written.
struct LogAdmission
{
  bool m_write = false;
  /// Lines of the event that were suppressed just before this one.
  std::uint64_t m_suppressed = 0;
};

/// Decides whether a line of aEvent with the cause aCause is written, and counts it.
LogAdmission
AdmitLine(LogRates& aRates, std::string_view aEvent, std::string_view aCause, Instant aNow);

} // namespace sequoiastep
