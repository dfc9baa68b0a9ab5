/// @file
/// Structured logs: one line of key=value pairs for each event, on standard output.
/// A separate thread writes the lines from a bounded queue, so that slow output never blocks the
/// code that logs.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiastep {

/// Severity of a line.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// @return the name of aLevel in settings and log lines.
std::string_view
NameOf(LogLevel aLevel);

/// Drops lines below aLevel from now on.
void
SetLogLevel(LogLevel aLevel);

/// Adds the node id aNode to every line from now on. Call it before other threads log.
void
SetLogNode(std::string aNode);

/// Numbers of lines that never reached standard output.
struct LogCounts
{
  /// Suppressed by the rate limit of their event.
  std::uint64_t m_suppressed = 0;
  /// Dropped because the queue was full.
  std::uint64_t m_dropped = 0;
};

/// @return counts since the start of the process.
LogCounts
CountsOfLog();

/// Starts the log thread on construction; stops it and writes the remaining lines on destruction.
/// At most one per process. Without one, the calling thread writes its lines itself.
class LogThread
{
public:
  /// @param aLevel lines below this level are dropped.
  explicit LogThread(LogLevel aLevel);
  ~LogThread();
  LogThread(const LogThread&) = delete;
  LogThread& operator=(const LogThread&) = delete;
};

/// Builds one line and passes it to the log thread on destruction.
class LogLine
{
public:
  /// @param aEvent the name of what happened, in lower_case.
  LogLine(LogLevel aLevel, std::string_view aEvent);
  /// A rate-limited line, for events that may be frequent. In each second, the first line of each
  /// cause is written, and a limited number of lines of the event per thread (see LogRates.h).
  /// @param aCause one of a small set of texts; not added to the line.
  LogLine(LogLevel aLevel, std::string_view aEvent, std::string_view aCause);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  /// Adds a string, in quotes if it contains spaces, quotes, equal signs, backslashes or control
  /// characters, or is empty.
  LogLine& Add(std::string_view aKey, std::string_view aValue);
  /// Adds a number.
  template<std::integral Number>
  LogLine& Add(std::string_view aKey, Number aValue)
  {
    return AddInteger(aKey, static_cast<std::int64_t>(aValue));
  }

private:
  LogLine& AddInteger(std::string_view aKey, std::int64_t aValue);
  void Begin(LogLevel aLevel, std::string_view aEvent);

  bool m_enabled;
  std::string m_text;
};

} // namespace sequoiastep
