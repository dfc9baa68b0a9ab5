/// @file
/// What a play of a load counts: how even the load of the targets is, and what callers get.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sequoiastep::routing {

/// What a play counted.
struct PlayResult
{
  std::uint64_t m_requests = 0;
  std::uint64_t m_handovers = 0;
  /// Handovers that the target's node refused for lack of room.
  std::uint64_t m_refusedHandovers = 0;
  /// Requests that ended without an answer of a target.
  std::uint64_t m_failed = 0;
  /// Requests answered before their deadline and within their objective.
  std::uint64_t m_answered = 0;
  std::uint64_t m_inTime = 0;
  /// Requests that ran in the caller's own failure domain.
  std::uint64_t m_ownDomain = 0;
  /// Answers of 1 s that the targets can give at the start.
  double m_capacityPerSecond = 0;
  double m_countedSeconds = 0;
  /// Mean over windows of 200 ms: the largest utilisation of a target, as requests at the target
  /// per slot, over the mean of all.
  double m_peakToMean = 0;
  /// Share of windows in which a target has more requests than slots and over 1.3 times the mean
  /// utilisation, while another one uses less than half of its slots.
  double m_unevenWindows = 0;
  /// Mean share of the slots that stand idle while requests wait elsewhere.
  double m_idleWhileWaiting = 0;
  /// Time from the request's arrival to its start, less the way; of answered requests.
  double m_waitP50Ms = 0;
  double m_waitP99Ms = 0;
  /// Age of the latest report of the picked target; those without a report are left out.
  double m_reportAgeP50Ms = 0;
  double m_reportAgeP90Ms = 0;
  /// Kilobytes per request that crossed between failure domains of a region, and between regions,
  /// refused handovers included.
  double m_crossDomainKb = 0;
  double m_crossRegionKb = 0;
};

/// Sums of a play that is under way.
struct PlayCounter
{
  PlayResult m_result;
  std::vector<double> m_waitsMs;
  std::vector<double> m_reportAgesMs;
  /// Sum by target over the samples of the current window of requests per slot.
  std::vector<double> m_windowLoads;
  double m_peakSum = 0;
  double m_idleSum = 0;
  std::uint64_t m_unevenWindows = 0;
  std::uint64_t m_windows = 0;
  std::uint64_t m_samples = 0;
};

/// Requests at a target at one moment.
struct TargetSample
{
  bool m_up = true;
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
};

/// Time between samples.
constexpr double kSampleMs = 10;

/// Counts one sample of all targets, each with aSlots slots.
void
AddSample(PlayCounter& aCounter, const std::vector<TargetSample>& aTargets, std::uint32_t aSlots);

/// @return the result with its means and percentiles.
PlayResult
ResultOf(PlayCounter& aCounter);

/// @return refused handovers per request.
double
RefusedShare(const PlayResult& aResult);

/// @return answers within the objective as a share of what the targets can run.
double
GoodputOf(const PlayResult& aResult);

/// @return answers before the deadline as a share of what the targets can run.
double
ServedOf(const PlayResult& aResult);

} // namespace sequoiastep::routing
