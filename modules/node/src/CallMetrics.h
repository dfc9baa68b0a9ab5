/// @file
/// Histograms of the call path. Used on the calls thread only.
#pragma once

#include "CallJob.h"
#include "Histogram.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace sequoiastep::node {

/// What the series of calls differ in.
struct CallSeries
{
  /// "safe", "large" or "once", by the route.
  std::string_view m_kind;
  std::string_view m_outcome;
  /// Where the last target lay; "none" if there was none.
  std::string_view m_place;

  auto operator<=>(const CallSeries&) const = default; // NOLINT(modernize-use-nullptr)
};

/// What became of a request at the target beside the node.
enum class QueueEnd
{
  Run,
  Refused,
};

/// All of them.
class CallMetrics
{
public:
  /// Counts a call that ended.
  /// @param aElapsedUs from its arrival to its end, in microseconds.
  void NoteCall(const CallJob& aJob, const CallAttempts& aAttempts, std::int64_t aElapsedUs);
  /// Counts a request's wait for a slot of the target, in microseconds.
  void NoteQueue(QueueEnd aEnd, std::int64_t aWaitedUs);
  /// Counts a request's time at the target, in microseconds.
  void NoteRun(std::int64_t aRanUs);
  /// Appends Prometheus text.
  void AppendText(std::string& aText) const;

private:
  std::map<CallSeries, Histogram> m_calls;
  Histogram m_queueRun;
  Histogram m_queueRefused;
  Histogram m_run;
};

} // namespace sequoiastep::node
