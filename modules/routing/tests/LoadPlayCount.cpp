#include "LoadPlayCount.h"

#include <algorithm>
#include <limits>

namespace sequoiastep::routing {

namespace {

constexpr double kWindowMs = 200;
constexpr auto kSamplesPerWindow = static_cast<std::uint64_t>(kWindowMs / kSampleMs);
constexpr double kUnevenRatio = 1.3;
constexpr double kIdleShare = 0.5;
constexpr double kMedian = 0.5;
constexpr double kHigh = 0.9;
constexpr double kHighest = 0.99;

double
Percentile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::ptrdiff_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + rank, aValues.end());
  return aValues[static_cast<std::size_t>(rank)];
}

void
EndWindow(PlayCounter& aCounter, const std::vector<TargetSample>& aTargets)
{
  double sum = 0;
  double largest = 0;
  double smallest = std::numeric_limits<double>::max();
  double count = 0;
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    if (aTargets[i].m_up) {
      const double load = aCounter.m_windowLoads[i] / kSamplesPerWindow;
      sum += load;
      largest = std::max(largest, load);
      smallest = std::min(smallest, load);
      ++count;
    }
  }
  const double mean = sum / std::max(1.0, count);
  aCounter.m_peakSum += mean > 0 ? largest / mean : 1;
  const bool overrun = largest > 1 && largest > kUnevenRatio * mean;
  aCounter.m_unevenWindows += overrun && smallest < kIdleShare ? 1 : 0;
  ++aCounter.m_windows;
  aCounter.m_windowLoads.clear();
}

double
ShareOfCapacity(const PlayResult& aResult, std::uint64_t aCount)
{
  return static_cast<double>(aCount) / (aResult.m_capacityPerSecond * aResult.m_countedSeconds);
}

} // namespace

void
AddSample(PlayCounter& aCounter, const std::vector<TargetSample>& aTargets, std::uint32_t aSlots)
{
  std::uint32_t idle = 0;
  std::uint32_t waiting = 0;
  double slots = 0;
  aCounter.m_windowLoads.resize(aTargets.size());
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    const TargetSample& target = aTargets[i];
    if (target.m_up) {
      const std::uint32_t load = target.m_running + target.m_waiting;
      aCounter.m_windowLoads[i] += static_cast<double>(load) / aSlots;
      idle += aSlots - std::min(target.m_running, aSlots);
      waiting += target.m_waiting;
      slots += aSlots;
    }
  }
  aCounter.m_idleSum += std::min(idle, waiting) / std::max(1.0, slots);
  if (++aCounter.m_samples % kSamplesPerWindow == 0) {
    EndWindow(aCounter, aTargets);
  }
}

PlayResult
ResultOf(PlayCounter& aCounter)
{
  PlayResult result = aCounter.m_result;
  const auto windows = static_cast<double>(std::max<std::uint64_t>(1, aCounter.m_windows));
  const auto samples = static_cast<double>(std::max<std::uint64_t>(1, aCounter.m_samples));
  const auto requests = static_cast<double>(std::max<std::uint64_t>(1, result.m_requests));
  result.m_peakToMean = aCounter.m_peakSum / windows;
  result.m_unevenWindows = static_cast<double>(aCounter.m_unevenWindows) / windows;
  result.m_idleWhileWaiting = aCounter.m_idleSum / samples;
  result.m_waitP50Ms = Percentile(aCounter.m_waitsMs, kMedian);
  result.m_waitP99Ms = Percentile(aCounter.m_waitsMs, kHighest);
  result.m_reportAgeP50Ms = Percentile(aCounter.m_reportAgesMs, kMedian);
  result.m_reportAgeP90Ms = Percentile(aCounter.m_reportAgesMs, kHigh);
  result.m_crossDomainKb /= requests;
  result.m_crossRegionKb /= requests;
  return result;
}

double
RefusedShare(const PlayResult& aResult)
{
  return static_cast<double>(aResult.m_refusedHandovers) /
         static_cast<double>(std::max<std::uint64_t>(1, aResult.m_requests));
}

double
GoodputOf(const PlayResult& aResult)
{
  return ShareOfCapacity(aResult, aResult.m_inTime);
}

double
ServedOf(const PlayResult& aResult)
{
  return ShareOfCapacity(aResult, aResult.m_answered);
}

} // namespace sequoiastep::routing
