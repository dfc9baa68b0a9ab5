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
constexpr double kUncomparedRate = 0.03;
constexpr double kMaxRate = 0.95;
// Standard deviations by which a span has to be above the usual share to count as trouble. Taking
// the highest of all spans doubled the time to find a slow version, as the highest is mostly
// chance.
constexpr double kDeviations = 3;
// In trouble the new version may exceed its usual share by this much more than the old one: when
// all targets were eight times slower, the cold new ones had up to twice the time-outs.
constexpr double kTroubleMargin = 1;
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

// @return the share of bad answers, drawn towards aPrior if there are few.
double
Shrunk(const BinCount& aCount, double aPrior)
{
  return (aCount.m_bad + aPrior * kPriorAnswers) / (aCount.m_answers + kPriorAnswers);
}

// True if the share of bad answers is above aUsual by more than chance explains.
bool
IsAbove(const BinCount& aCount, double aUsual)
{
  const double expected = aCount.m_answers * aUsual;
  return aCount.m_bad - expected > kDeviations * std::sqrt(expected * (1 - aUsual)) + 0.5;
}

} // namespace

std::vector<double>
NullRates(const Series& aOld, const Series& aOldOfAll, double aFloor)
{
  const auto bins = static_cast<std::int64_t>(aOldOfAll.size());
  const double usualOfAll = Shrunk(Sum(aOldOfAll, 0, bins), aFloor);
  const double usual = std::max(aFloor, Shrunk(Sum(aOld, 0, bins), usualOfAll));
  std::vector<double> rates(aOldOfAll.size());
  for (std::int64_t bin = 0; bin < bins; ++bin) {
    double highest = usual;
    bool compared = false;
    for (std::int64_t begin = bin - kSpansBefore; begin <= bin + kSpansAfter; ++begin) {
      const BinCount all = Sum(aOldOfAll, begin, begin + kSpanBins);
      compared = compared || all.m_answers >= kMinSpanAnswers;
      const double ofAll = IsAbove(all, usualOfAll) ? Shrunk(all, aFloor) : usualOfAll;
      const BinCount own = Sum(aOld, begin, begin + kSpanBins);
      if (ofAll > usualOfAll || IsAbove(own, usual)) {
        const double share = Shrunk(own, ofAll);
        highest = std::max(highest, share + kTroubleMargin * (share - usual));
      }
    }
    rates[bin] = std::min(compared ? highest : std::max(highest, kUncomparedRate), kMaxRate);
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
