#include "Comparison.h"

#include "SequentialStatistic.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <set>

namespace sequoiastep::rollout {

namespace {

// Counts of a bin are compared when those of the old targets for the same span have come as well.
constexpr Milliseconds kSettleMs = 100;

// Errors of a good version are assumed to be at least this share.
constexpr double kErrorFloor = 0.01;
constexpr Effects kErrorEffects{ 0.05, 0.15, 0.45 };

// An answer is slow if it takes longer than all but this share of the old version's answers, times
// a factor that a good version may be slower by.
constexpr double kSlowFloor = 0.02;
constexpr Effects kSlowEffects{ 0.10, 0.25, 0.40 };
// The factors, in buckets: 1.4, and 2 for a target that has just started.
constexpr std::size_t kWarmAllowance = 1;
constexpr std::size_t kColdAllowance = kBucketsPerDoubling;
// Old answers of a route from which its usual run time is known.
constexpr double kMinUsual = 40;

// Bad answers at the worst target tell of its host if the others, which should have had this many
// at the same rate, had fewer than the given part of them.
constexpr double kMinExpectedElsewhere = 3;
constexpr double kHostPart = 0.3;
// A single bad answer at the others may be chance.
constexpr double kMinElsewhere = 2;
// While the others had too few requests to tell, a sign is a doubt at most: it keeps the version
// from being called good, but does not roll it back, unless there are kMaxUnclear bad answers.
constexpr double kUnclearStrength = 10;
constexpr double kMaxUnclear = 40;

constexpr std::string_view kAllRoutes = "*";

// The bins without gaps, oldest first.
struct Span
{
  std::int64_t m_first = 0;
  std::size_t m_bins = 0;
  // Bins that are settled.
  std::size_t m_settled = 0;
};

Span
SpanOf(const Judge& aJudge, Instant aNow)
{
  if (aJudge.m_bins.empty()) {
    return {};
  }
  const std::int64_t first = aJudge.m_bins.begin()->first;
  const std::int64_t bins = aJudge.m_bins.rbegin()->first + 1 - first;
  const std::int64_t settled = (aNow.m_ms - kSettleMs) / kBinMs - first;
  return { .m_first = first,
           .m_bins = static_cast<std::size_t>(bins),
           .m_settled = static_cast<std::size_t>(std::clamp<std::int64_t>(settled, 0, bins)) };
}

double
CountFrom(const RunBuckets& aBuckets, std::size_t aFirst)
{
  return std::accumulate(aBuckets.begin() + std::min(aFirst, kRunBuckets), aBuckets.end(), 0.0);
}

using CountOf = std::function<BinCount(const Tally&)>;
using Tallies = std::map<std::string, Tally, std::less<>>;

Series
SeriesOf(const Judge& aJudge,
         const Span& aSpan,
         std::size_t aBins,
         Tallies EvidenceBin::*aSide,
         const std::string& aRoute,
         const CountOf& aCount)
{
  Series series(aBins);
  for (const auto& [index, bin] : aJudge.m_bins) {
    const auto position = static_cast<std::size_t>(index - aSpan.m_first);
    const auto tally = (bin.*aSide).find(aRoute);
    if (position < aBins && tally != (bin.*aSide).end()) {
      series[position] = aCount(tally->second);
    }
  }
  return series;
}

BinCount
Total(const Series& aSeries)
{
  BinCount total;
  for (const BinCount& bin : aSeries) {
    total.m_answers += bin.m_answers;
    total.m_bad += bin.m_bad;
  }
  return total;
}

BinCount
ErrorsOf(const Tally& aTally)
{
  return { .m_answers = static_cast<double>(aTally.m_requests),
           .m_bad = static_cast<double>(aTally.m_errors) };
}

// How answers of one route are counted as bad, for one kind of fault.
struct RouteRule
{
  CountOf m_trial;
  CountOf m_old;
  // Counts of one target since the order.
  std::function<BinCount(const RouteCounts&)> m_target;
};

struct Kind
{
  std::string_view m_name;
  double m_floor;
  Effects m_effects;
  // By route.
  std::map<std::string, RouteRule, std::less<>> m_rules;
};

std::set<std::string>
RoutesOf(const Judge& aJudge)
{
  std::set<std::string> routes;
  for (const auto& [index, bin] : aJudge.m_bins) {
    for (const auto& [route, tally] : bin.m_trial) {
      routes.insert(route);
    }
  }
  return routes;
}

RouteRule
ErrorRule()
{
  return { .m_trial = ErrorsOf, .m_old = ErrorsOf, .m_target = [](const RouteCounts& aCounts) {
            return BinCount{ .m_answers = static_cast<double>(aCounts.m_requests),
                             .m_bad = static_cast<double>(aCounts.m_errors) };
          } };
}

// The first bucket with answers that are slow for the old version; none if too little is known.
std::optional<std::size_t>
SlowFrom(const Judge& aJudge, const std::string& aRoute)
{
  std::array<double, kRunBuckets> counts{};
  for (const auto& [index, bin] : aJudge.m_bins) {
    const auto tally = bin.m_old.find(aRoute);
    if (tally == bin.m_old.end()) {
      continue;
    }
    for (std::size_t bucket = 0; bucket < kRunBuckets; ++bucket) {
      counts[bucket] += tally->second.m_warm[bucket] + tally->second.m_cold[bucket];
    }
  }
  const double total = std::accumulate(counts.begin(), counts.end(), 0.0);
  if (total < kMinUsual) {
    return std::nullopt;
  }
  double above = 0;
  std::size_t first = kRunBuckets;
  while (first > 0 && above + counts[first - 1] <= kSlowFloor * total) {
    --first;
    above += counts[first];
  }
  return first;
}

RouteRule
SlowRule(std::size_t aSlowFrom)
{
  const auto old = [aSlowFrom](const Tally& aTally) {
    return BinCount{
      .m_answers = CountFrom(aTally.m_cold, 0) + CountFrom(aTally.m_warm, 0),
      .m_bad = CountFrom(aTally.m_cold, aSlowFrom) + CountFrom(aTally.m_warm, aSlowFrom),
    };
  };
  const auto trial = [aSlowFrom](const Tally& aTally) {
    return BinCount{
      .m_answers = CountFrom(aTally.m_cold, 0) + CountFrom(aTally.m_warm, 0),
      .m_bad = CountFrom(aTally.m_cold, aSlowFrom + kColdAllowance) +
               CountFrom(aTally.m_warm, aSlowFrom + kWarmAllowance),
    };
  };
  const auto target = [aSlowFrom](const RouteCounts& aCounts) {
    return BinCount{ .m_answers = CountFrom(aCounts.m_buckets, 0),
                     .m_bad = CountFrom(aCounts.m_buckets, aSlowFrom + kWarmAllowance) };
  };
  return { .m_trial = trial, .m_old = old, .m_target = target };
}

/// Whether several targets of the new version show the same.
enum class Backing
{
  /// Others show it as well, or there is no other.
  Several,
  /// The others had too few requests to tell.
  Unclear,
  /// The others don't show it: its host may be what is bad.
  OneHost,
};

Backing
BackingOf(const Judge& aJudge, const Rollout& aRollout, const Kind& aKind, std::string_view aRoute)
{
  Series targets;
  for (const auto& [node, target] : aJudge.m_targets) {
    if (target.m_version != aRollout.m_version) {
      continue;
    }
    BinCount sum;
    for (const auto& [route, counts] : target.m_routes) {
      const auto rule = aKind.m_rules.find(route);
      if (rule != aKind.m_rules.end() && (aRoute == kAllRoutes || aRoute == route)) {
        const BinCount own = rule->second.m_target(counts);
        sum.m_answers += own.m_answers;
        sum.m_bad += own.m_bad;
      }
    }
    targets.push_back(sum);
  }
  const auto worst = std::max_element(
    targets.begin(), targets.end(), [](const BinCount& aLeft, const BinCount& aRight) {
      return aLeft.m_bad < aRight.m_bad;
    });
  if (targets.size() < 2 || worst->m_answers == 0) {
    return Backing::Several;
  }
  const BinCount all = Total(targets);
  const double others = all.m_bad - worst->m_bad;
  const double expected = (all.m_answers - worst->m_answers) * worst->m_bad / worst->m_answers;
  if (others >= kMinElsewhere && others >= kHostPart * expected) {
    return Backing::Several;
  }
  if (expected >= kMinExpectedElsewhere) {
    return Backing::OneHost;
  }
  return worst->m_bad >= kMaxUnclear ? Backing::Several : Backing::Unclear;
}

struct RouteSeries
{
  Series m_trial;
  Series m_old;
};

Suspicion
SuspicionOf(const Kind& aKind,
            std::string_view aRoute,
            const LogRatios& aRatios,
            const BinCount& aTrial,
            const BinCount& aOld)
{
  return { .m_strength = LogStatistic(aRatios),
           .m_route = std::string(aRoute),
           .m_kind = std::string(aKind.m_name),
           .m_bad = aTrial.m_bad,
           .m_answers = aTrial.m_answers,
           .m_oldBad = aOld.m_bad,
           .m_oldAnswers = aOld.m_answers };
}

void
CompareKind(const Judge& aJudge,
            const Rollout& aRollout,
            const Kind& aKind,
            const Span& aSpan,
            Suspicion& aStrongest)
{
  std::map<std::string, RouteSeries> routes;
  Series trialOfAll(aSpan.m_settled);
  Series oldOfAll(aSpan.m_bins);
  const auto addTo = [](Series& aSum, const Series& aMore) {
    for (std::size_t bin = 0; bin < aSum.size(); ++bin) {
      aSum[bin].m_answers += aMore[bin].m_answers;
      aSum[bin].m_bad += aMore[bin].m_bad;
    }
  };
  for (const auto& [route, rule] : aKind.m_rules) {
    RouteSeries& series = routes[route];
    series.m_trial =
      SeriesOf(aJudge, aSpan, aSpan.m_settled, &EvidenceBin::m_trial, route, rule.m_trial);
    series.m_old = SeriesOf(aJudge, aSpan, aSpan.m_bins, &EvidenceBin::m_old, route, rule.m_old);
    addTo(trialOfAll, series.m_trial);
    addTo(oldOfAll, series.m_old);
  }
  const auto consider = [&](Suspicion aFound) {
    if (aFound.m_strength <= aStrongest.m_strength) {
      return;
    }
    const Backing backing = BackingOf(aJudge, aRollout, aKind, aFound.m_route);
    if (backing == Backing::Unclear) {
      aFound.m_strength = std::min(aFound.m_strength, kUnclearStrength);
    } else if (backing == Backing::OneHost) {
      return;
    }
    if (aFound.m_strength > aStrongest.m_strength) {
      aStrongest = std::move(aFound);
    }
  };
  LogRatios ratiosOfAll(aSpan.m_settled);
  for (const auto& [route, series] : routes) {
    const LogRatios ratios = LogRatiosOf(
      series.m_trial, NullRates(series.m_old, oldOfAll, aKind.m_floor), aKind.m_effects);
    AddTo(ratiosOfAll, ratios);
    consider(SuspicionOf(aKind, route, ratios, Total(series.m_trial), Total(series.m_old)));
  }
  consider(SuspicionOf(aKind, kAllRoutes, ratiosOfAll, Total(trialOfAll), Total(oldOfAll)));
}

} // namespace

Suspicion
Compare(const Judge& aJudge, const Rollout& aRollout, Instant aNow)
{
  const Span span = SpanOf(aJudge, aNow);
  Kind errors{ .m_name = "errors", .m_floor = kErrorFloor, .m_effects = kErrorEffects };
  Kind slow{ .m_name = "slow", .m_floor = kSlowFloor, .m_effects = kSlowEffects };
  for (const std::string& route : RoutesOf(aJudge)) {
    errors.m_rules.emplace(route, ErrorRule());
    if (const auto slowFrom = SlowFrom(aJudge, route)) {
      slow.m_rules.emplace(route, SlowRule(*slowFrom));
    }
  }
  Suspicion strongest;
  CompareKind(aJudge, aRollout, errors, span, strongest);
  CompareKind(aJudge, aRollout, slow, span, strongest);
  return strongest;
}

} // namespace sequoiastep::rollout
