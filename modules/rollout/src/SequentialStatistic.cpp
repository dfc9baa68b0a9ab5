#include "SequentialStatistic.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace sequoiastep::rollout {

namespace {

// Bins of a span in which the old version's share of bad answers is estimated, and how far before
// and after a bin such a span may begin.
constexpr std::int64_t kSpanBins = 3;
constexpr std::int64_t kSpansBefore = 5;
constexpr std::int64_t kSpansAfter = 1;
// Answers that the prior counts for: of all routes for a route, and of aFloor for all routes.
constexpr double kPriorAnswers = 20;
// A span with fewer answers tells nothing.
constexpr double kMinSpanAnswers = 5;
// Share that is assumed where the old version had no requests lately, in which case trouble that
// would have hit it as well can't be told from a bad version.
constexpr double kUncomparedRate = 0.10;
constexpr double kMaxRate = 0.95;
// Keeps the statistic finite.
constexpr double kMaxStatistic = 1e30;

BinCount
Sum(const Series& aSeries, std::int64_t aBegin, std::int64_t aEnd)
{
  BinCount sum;
  const std::int64_t end = std::min<std::int64_t>(aEnd, static_cast<std::int64_t>(aSeries.size()));
  for (std::int64_t bin = std::max<std::int64_t>(aBegin, 0); bin < end; ++bin) {
    sum.m_answers += aSeries[bin].m_answers;
    sum.m_bad += aSeries[bin].m_bad;
  }
  return sum;
}

} // namespace

std::vector<double>
NullRates(const Series& aOld, const Series& aOldOfAll, double aFloor)
{
  std::vector<double> rates(aOldOfAll.size());
  double latest = aFloor;
  for (std::int64_t bin = 0; bin < static_cast<std::int64_t>(rates.size()); ++bin) {
    double highest = 0;
    for (std::int64_t begin = bin - kSpansBefore; begin <= bin + kSpansAfter; ++begin) {
      const BinCount all = Sum(aOldOfAll, begin, begin + kSpanBins);
      if (all.m_answers < kMinSpanAnswers) {
        continue;
      }
      const double ofAll = (all.m_bad + aFloor * kPriorAnswers) / (all.m_answers + kPriorAnswers);
      const BinCount own = Sum(aOld, begin, begin + kSpanBins);
      const double ofRoute = (own.m_bad + ofAll * kPriorAnswers) / (own.m_answers + kPriorAnswers);
      highest = std::max(highest, ofRoute);
    }
    if (highest > 0) {
      latest = std::clamp(highest, aFloor, kMaxRate);
      rates[bin] = latest;
    } else {
      rates[bin] = std::max(latest, kUncomparedRate);
    }
  }
  return rates;
}

LogRatios
LogRatiosOf(const Series& aTrial, const std::vector<double>& aNull, const Effects& aEffects)
{
  LogRatios ratios(aTrial.size());
  for (std::size_t bin = 0; bin < aTrial.size(); ++bin) {
    const double good = aNull[bin];
    for (std::size_t effect = 0; effect < kEffects; ++effect) {
      const double bad = good + (1 - good) * aEffects[effect];
      ratios[bin][effect] =
        aTrial[bin].m_bad * std::log(bad / good) +
        (aTrial[bin].m_answers - aTrial[bin].m_bad) * std::log((1 - bad) / (1 - good));
    }
  }
  return ratios;
}

void
AddTo(LogRatios& aSum, const LogRatios& aMore)
{
  aSum.resize(std::max(aSum.size(), aMore.size()));
  for (std::size_t bin = 0; bin < aMore.size(); ++bin) {
    for (std::size_t effect = 0; effect < kEffects; ++effect) {
      aSum[bin][effect] += aMore[bin][effect];
    }
  }
}

double
LogStatistic(const LogRatios& aRatios)
{
  std::array<double, kEffects> statistics{};
  for (const auto& bin : aRatios) {
    for (std::size_t effect = 0; effect < kEffects; ++effect) {
      if (bin[effect] != 0) { // No answers, no evidence.
        statistics[effect] =
          std::min(kMaxStatistic, (1 + statistics[effect]) * std::exp(bin[effect]));
      }
    }
  }
  double sum = 0;
  for (const double statistic : statistics) {
    sum += statistic;
  }
  return std::log(std::max(sum / kEffects, 1 / kMaxStatistic));
}

} // namespace sequoiastep::rollout
