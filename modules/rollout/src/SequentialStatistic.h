/// @file
/// Sequential test of whether the answers of a new version are bad more often than those of the old
/// one in the same spans of time. A Shiryaev-Roberts statistic, so that a version that turns bad
/// late is found as fast as one that is bad from the start.
#pragma once

#include <array>
#include <vector>

namespace sequoiastep::rollout {

/// Answers in one bin, and how many of them were bad.
struct BinCount
{
  double m_answers = 0;
  double m_bad = 0;
};

/// Counts of consecutive bins.
using Series = std::vector<BinCount>;

/// Number of effects that one test looks for.
constexpr std::size_t kEffects = 3;

/// Shares of the answers that a bad version spoils, for each of which there is a statistic.
using Effects = std::array<double, kEffects>;

/// Logarithm of the likelihood ratio of each bin and effect.
using LogRatios = std::vector<std::array<double, kEffects>>;

/// Estimates from the old version how often answers of a good version are bad in each bin: the
/// share over all bins, or, if spans around the bin have significantly more, the highest of theirs.
/// The spans reach beyond the bin, since the counts of one span arrive up to a second apart.
/// @param aOld the old version's counts of the route.
/// @param aOldOfAll the old version's counts of all routes, which a route with few requests is
/// judged by.
/// @param aFloor the share is taken to be at least this.
std::vector<double>
NullRates(const Series& aOld, const Series& aOldOfAll, double aFloor);

/// @param aTrial the new version's counts.
/// @param aNull from NullRates(), at least as many bins as aTrial.
LogRatios
LogRatiosOf(const Series& aTrial, const std::vector<double>& aNull, const Effects& aEffects);

/// Adds the logarithms of aMore to those of aSum, bin by bin.
void
AddTo(LogRatios& aSum, const LogRatios& aMore);

/// @return the logarithm of the mean over the effects of the Shiryaev-Roberts statistics. For a
/// good version its probability to reach x in m bins with answers is m x exp(-x) at most.
double
LogStatistic(const LogRatios& aRatios);

} // namespace sequoiastep::rollout
