/// @file
/// Structured logs: one line of key=value pairs for each event, on standard output.
/// Lines go through a bounded ring to a thread of their own, so that a slow terminal holds up
/// nobody.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiastep {

/// How much a line matters.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// @return the name of aLevel in settings and lines.
std::string_view
NameOf(LogLevel aLevel);

/// Drops lines below aLevel from now on.
void
SetLogLevel(LogLevel aLevel);

/// Names this process in every line from now on. Call it before other threads write lines.
void
SetLogNode(std::string aNode);

/// Lines that never reached standard output.
struct LogCounts
{
  /// Left out by the rate of their event.
  std::uint64_t m_suppressed = 0;
  /// Lost because too many waited to be written.
  std::uint64_t m_dropped = 0;
};

/// @return counts since the start of the process.
LogCounts
CountsOfLog();

/// Starts the log thread on construction; writes what is left and stops it on destruction.
/// One at most in a process. Without one, lines are written at once.
class LogThread
{
public:
  /// @param aLevel lines below this level are dropped.
  explicit LogThread(LogLevel aLevel);
  ~LogThread();
  LogThread(const LogThread&) = delete;
  LogThread& operator=(const LogThread&) = delete;
};

/// Builds one line and hands it over when it goes out of scope.
class LogLine
{
public:
  /// @param aEvent the name of what happened, in lower_case.
  LogLine(LogLevel aLevel, std::string_view aEvent);
  /// A line that may come often. Of each cause the first one in a second is kept, of the event as a
  /// whole a bounded number for each thread (see LogRates.h).
  /// @param aCause one of few texts; it is not added to the line.
  LogLine(LogLevel aLevel, std::string_view aEvent, std::string_view aCause);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  /// Adds a text; quoted if it holds blanks, quotes, equal signs or control characters.
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
