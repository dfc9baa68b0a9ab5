/// @file
/// Latency histograms of the call path. Use on the calls thread only.
#pragma once

#include "CallJob.h"
#include "Histogram.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace sequoiastep::node {

/// Labels of one histogram of calls.
struct CallLabels
{
  /// By the route: "once" if its requests may not be repeated, else "large" for large answers or
  /// "safe".
  std::string_view m_kind;
  /// Call outcome; "target_error" for a server error of the target, "late" for a success after the
  /// latency objective.
  std::string_view m_outcome;
  /// Where the last target lies as seen from this node; "none" if there was none.
  std::string_view m_place;

  auto operator<=>(const CallLabels&) const = default; // NOLINT(modernize-use-nullptr)
};

/// How a request's wait for a slot of the target beside this node ended.
enum class QueueResult
{
  Run,
  Refused,
};

/// Records call, queue and target times.
class CallMetrics
{
public:
  /// Records a call that ended.
  /// @param aElapsedUs time from its arrival to its end, in microseconds.
  void RecordCall(const CallJob& aJob, const CallAttempts& aAttempts, std::int64_t aElapsedUs);
  /// Records a request's wait for a slot of the target, in microseconds.
  void RecordQueueWait(QueueResult aResult, std::int64_t aWaitedUs);
  /// Records a request's time at the target, in microseconds.
  void RecordTargetTime(std::int64_t aElapsedUs);
  /// Appends Prometheus text.
  void AppendText(std::string& aText) const;

private:
  std::map<CallLabels, Histogram> m_calls;
  Histogram m_queueWaitRun;
  Histogram m_queueWaitRefused;
  Histogram m_targetTime;
};

} // namespace sequoiastep::node
