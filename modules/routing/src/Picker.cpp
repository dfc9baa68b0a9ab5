#include "Picker.h"

#include "NameTable.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace sequoiastep::routing {

const TargetStats*
FindStats(const PickState& aState, std::string_view aNode)
{
  const auto found = aState.m_targets.find(aNode);
  return found == aState.m_targets.end() ? nullptr : &found->second;
}

namespace {

// Weight of the latest sample in the moving averages.
constexpr double kAverageWeight = 0.2;
constexpr double kUsPerMs = 1000;
constexpr double kMsPerSecond = 1000;
// Lower bound for targets that accept almost nothing, so that their wait stays finite.
constexpr double kMinLimitedSlots = 0.02;
// Run time of a target and round-trip time by locality that are assumed before the first answer.
constexpr double kDefaultServiceUs = 250'000;
constexpr std::array<double, 3> kDefaultRttMs{ 0.5, 4, 18 };
constexpr double kMinWarmUpShare = 0.1;
// A report counts for this long, so that a wrong one neither attracts nor repels calls for long.
constexpr Milliseconds kReportMaxAgeMs = 500;
// For this long after the latest report the usual load counts. With 500 ms, 0.064 instead of 0.041
// handovers per request were refused in the played load at 0.8 of the capacity.
constexpr Milliseconds kUsualLoadMaxAgeMs = 2000;
// Reports, each within kUsualLoadMaxAgeMs of the one before, that make a usual load.
constexpr std::uint32_t kUsualLoadReports = 3;
// Weight of targets of unknown load, as idle ones, in the average over all targets that is expected
// of an unknown one in another region; in the own region it is 1. With 1 for both, nodes took far
// targets to be idle and sent 0.37 KB instead of 0.16 KB per request to other regions in the played
// load at the capacity. With 0.1, a region kept what its own targets could not run.
constexpr double kFarUnknownWeight = 0.25;
// Lower bound of the run time in which a report gives way to the usual load.
constexpr double kMinRunMs = 5;
// Time constant of the usual load. With 1500 ms the played loads came out the same.
constexpr double kUsualLoadMs = 500;
// Later reports count in the usual load for at most twice that load and this, so that a wrong one
// does not repel calls for kUsualLoadMaxAgeMs.
constexpr double kUsualLoadRise = 4;
constexpr Milliseconds kAvoidMinMs = 100;
constexpr Milliseconds kAvoidMaxMs = 5000;
constexpr std::uint32_t kMaxDoublings = 6;
constexpr Milliseconds kRateWaitMaxMs = 3000;
// Bounds on one sample of slowness: requests of one route differ, so that one answer says little.
constexpr double kMinSlowness = 0.2;
constexpr double kMaxSlowness = 5;
// Random tie-breaking between similar costs, so that nodes with the same view don't all pick the
// same target.
constexpr double kNoiseMs = 2;
constexpr double kNoiseShare = 0.1;
// Probability by locality that a call explores a target that never answered this node. It is higher
// for nodes near it; for those far away the transfer costs more.
constexpr std::array<double, 3> kExploreShares{ 0.05, 0.01, 0.001 };
constexpr double kExploreMaxKilobytes = 16;
constexpr Milliseconds kExploreMaxUptimeMs = 20'000;
// Latency within this share of the objective counts with the reduced weight only.
constexpr double kSlackShare = 0.5;
constexpr double kSlackWeight = 0.1;

constexpr std::array<NameRow<Locality>, 3> kLocalityNames{ {
  { Locality::OwnDomain, "own_domain" },
  { Locality::OwnRegion, "own_region" },
  { Locality::OtherRegion, "other_region" },
} };

// A candidate with its estimated cost.
struct ScoredCandidate
{
  std::size_t m_index = 0;
  double m_costMs = 0;
  /// Part of the cost that is an estimate: round-trip time and wait. Noise scales with it.
  double m_estimatedMs = 0;
  /// Part of the cost that is the wait for a slot.
  double m_slotWaitMs = 0;
  bool m_trusted = true;
  /// Probability that it is picked for exploration.
  double m_exploreShare = 0;
};

const TargetStats&
StatsOf(const PickState& aState, std::string_view aNode)
{
  static const TargetStats kNone;
  const TargetStats* found = FindStats(aState, aNode);
  return found == nullptr ? kNone : *found;
}

double
TransferCostMs(const PickRequest& aRequest, Locality aLocality)
{
  switch (aLocality) {
    case Locality::OwnDomain:
      return 0;
    case Locality::OwnRegion:
      return aRequest.m_kilobytes * aRequest.m_transferCosts.m_crossDomainMsPerKb;
    case Locality::OtherRegion:
      break;
  }
  return aRequest.m_kilobytes * aRequest.m_transferCosts.m_crossRegionMsPerKb;
}

// Estimated run time of a request of the route at the target: the route's average times the
// target's slowness. The target's own average is not used, since it depends on the mix of its
// routes. A target that warms up is slower than later.
double
ServiceMs(const Candidate& aCandidate, const TargetStats& aStats, double aAverageUs, Instant aNow)
{
  return aAverageUs / kUsPerMs * aStats.m_slowness * (2 - WarmUpShare(aCandidate, aNow));
}

// Slots that the target can use at the rate that it accepts, while it warms up or is warm.
double
UsableSlots(const Candidate& aCandidate, double aServiceMs, Instant aNow)
{
  const double slots = std::max(1.0, aCandidate.m_slots * WarmUpShare(aCandidate, aNow));
  if (!aCandidate.m_perSecond) {
    return slots;
  }
  return std::clamp(*aCandidate.m_perSecond * aServiceMs / kMsPerSecond, kMinLimitedSlots, slots);
}

// Cost of a latency to the caller. Latency within kSlackShare of the objective counts little.
double
LatencyCostMs(double aLatencyMs, Milliseconds aObjectiveMs)
{
  const double slack = kSlackShare * static_cast<double>(std::max<Milliseconds>(0, aObjectiveMs));
  return kSlackWeight * std::min(aLatencyMs, slack) + std::max(0.0, aLatencyMs - slack);
}

bool
IsAvoided(const Candidate& aCandidate, const TargetStats& aStats, Instant aNow)
{
  return aNow < aStats.m_avoidUntil && aCandidate.m_upSince <= aStats.m_avoidedAt;
}

bool
IsUnexplored(const Candidate& aCandidate, const TargetStats& aStats, Instant aNow)
{
  const Milliseconds uptimeMs = aNow - aCandidate.m_upSince;
  return aStats.m_latencyUs == 0 && aStats.m_outstanding == 0 && uptimeMs < kExploreMaxUptimeMs;
}

bool
IsLoadKnown(const TargetStats& aStats, Instant aNow)
{
  const bool hasUsualLoad = aStats.m_reportsInRow >= kUsualLoadReports;
  return aNow - aStats.m_reportedAt < (hasUsualLoad ? kUsualLoadMaxAgeMs : kReportMaxAgeMs);
}

// Load that the target has now by its reports: that of the latest one gives way to the usual load
// within about one run. Calls that this node sent since the report are not included.
double
LoadFromReports(const TargetStats& aStats, double aServiceMs, Instant aNow)
{
  const Milliseconds ageMs = aNow - aStats.m_reportedAt;
  if (ageMs >= kReportMaxAgeMs) {
    return aStats.m_usualLoad;
  }
  const double left = std::exp(-static_cast<double>(ageMs) / std::max(kMinRunMs, aServiceMs));
  return aStats.m_usualLoad + left * (aStats.m_reportedLoad - aStats.m_usualLoad);
}

// What this node knows of a candidate.
struct KnownTarget
{
  const TargetStats* m_stats = nullptr;
  // PredictedWaitMs.
  double m_waitMs = 0;
  bool m_loadKnown = false;
};

// Averages over the targets of a service.
struct ServiceAverages
{
  double m_runUs = 0;
  // Expected wait at a target of unknown load in the own and in another region.
  double m_waitMs = 0;
  double m_farWaitMs = 0;
};

double
WaitOf(const KnownTarget& aKnown, const ServiceAverages& aAverages, Locality aLocality)
{
  const double expectedMs =
    aLocality == Locality::OtherRegion ? aAverages.m_farWaitMs : aAverages.m_waitMs;
  return aKnown.m_loadKnown ? aKnown.m_waitMs : std::max(aKnown.m_waitMs, expectedMs);
}

ScoredCandidate
ScoreCandidate(std::size_t aIndex,
               const Candidate& aCandidate,
               const KnownTarget& aKnown,
               const PickRequest& aRequest,
               const ServiceAverages& aAverages,
               Instant aNow)
{
  const TargetStats& stats = *aKnown.m_stats;
  const Locality locality = LocalityOf(aCandidate, aRequest.m_region, aRequest.m_failureDomain);
  const double rttMs = stats.m_rttUs > 0 ? stats.m_rttUs / kUsPerMs
                                         : kDefaultRttMs[static_cast<std::size_t>(locality)];
  const double bodyWaitMs =
    aRequest.m_largeBody ? static_cast<double>(stats.m_bodiesUntil - aNow) : 0;
  const double slotWaitMs = WaitOf(aKnown, aAverages, locality);
  const double waitMs = std::max(slotWaitMs, bodyWaitMs);
  return { .m_index = aIndex,
           .m_costMs =
             TransferCostMs(aRequest, locality) +
             LatencyCostMs(rttMs + ServiceMs(aCandidate, stats, aAverages.m_runUs, aNow) + waitMs,
                           aRequest.m_objectiveMs),
           .m_estimatedMs = rttMs + waitMs,
           .m_slotWaitMs = slotWaitMs,
           .m_trusted = !aCandidate.m_suspect && !IsAvoided(aCandidate, stats, aNow),
           .m_exploreShare = IsUnexplored(aCandidate, stats, aNow)
                               ? kExploreShares[static_cast<std::size_t>(locality)]
                               : 0 };
}

// Looks up each candidate once, since the lookups by name are most of the time of a pick.
std::vector<KnownTarget>
LookUp(const std::vector<Candidate>& aCandidates, const PickState& aState, Instant aNow)
{
  std::vector<KnownTarget> known;
  known.reserve(aCandidates.size());
  for (const Candidate& candidate : aCandidates) {
    const TargetStats& stats = StatsOf(aState, candidate.m_node);
    known.push_back({ .m_stats = &stats,
                      .m_waitMs = PredictedWaitMs(candidate, stats, aNow),
                      .m_loadKnown = IsLoadKnown(stats, aNow) });
  }
  return known;
}

ServiceAverages
AveragesOf(const std::vector<KnownTarget>& aKnown, double aRouteAverageUs)
{
  double waitMs = 0;
  double farWeight = 0;
  double runUs = 0;
  double withRun = 0;
  for (const KnownTarget& known : aKnown) {
    waitMs += known.m_loadKnown ? known.m_waitMs : 0;
    farWeight += known.m_loadKnown ? 1 : kFarUnknownWeight;
    if (known.m_stats->m_serviceUs > 0) {
      runUs += known.m_stats->m_serviceUs;
      ++withRun;
    }
  }
  ServiceAverages averages;
  if (!aKnown.empty()) {
    averages.m_waitMs = waitMs / static_cast<double>(aKnown.size());
    averages.m_farWaitMs = waitMs / farWeight;
  }
  if (aRouteAverageUs > 0) {
    averages.m_runUs = aRouteAverageUs;
  } else {
    averages.m_runUs = withRun > 0 ? runUs / withRun : kDefaultServiceUs;
  }
  return averages;
}

std::vector<ScoredCandidate>
ScoreEligible(const std::vector<Candidate>& aCandidates,
              const PickState& aState,
              const PickRequest& aRequest,
              Instant aNow)
{
  const std::vector<KnownTarget> known = LookUp(aCandidates, aState, aNow);
  const ServiceAverages averages = AveragesOf(known, aRequest.m_routeAverageUs);
  std::vector<ScoredCandidate> scored;
  scored.reserve(aCandidates.size());
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const Candidate& candidate = aCandidates[i];
    const bool otherRegion = candidate.m_region != aRequest.m_region;
    const bool tried = aRequest.m_tried != nullptr && aRequest.m_tried->contains(candidate.m_node);
    if (!tried && (!otherRegion || aRequest.m_crossRegion)) {
      scored.push_back(ScoreCandidate(i, candidate, known[i], aRequest, averages, aNow));
    }
  }
  return scored;
}

// Keeps the trusted ones, unless they are so few that the fault may lie with this node rather than
// with the targets.
void
DropUntrusted(std::vector<ScoredCandidate>& aScored)
{
  const auto trusted = static_cast<double>(std::count_if(
    aScored.begin(), aScored.end(), [](const ScoredCandidate& aOne) { return aOne.m_trusted; }));
  if (trusted > 0 && trusted >= kMinTrustedShare * static_cast<double>(aScored.size())) {
    std::erase_if(aScored, [](const ScoredCandidate& aOne) { return !aOne.m_trusted; });
  }
}

const ScoredCandidate&
Cheapest(const std::vector<ScoredCandidate>& aScored, Random& aRandom)
{
  const ScoredCandidate* best = nullptr;
  double bestCostMs = 0;
  for (const ScoredCandidate& scored : aScored) {
    const double noise = aRandom.Unit() * (kNoiseMs + kNoiseShare * scored.m_estimatedMs);
    if (best == nullptr || scored.m_costMs + noise < bestCostMs) {
      best = &scored;
      bestCostMs = scored.m_costMs + noise;
    }
  }
  return *best;
}

// Averages over time, since busy targets are heard of less often.
void
AddToUsualLoad(TargetStats& aStats, double aLoad, Instant aNow)
{
  const Milliseconds sinceMs = std::max<Milliseconds>(1, aNow - aStats.m_reportedAt);
  if (sinceMs >= kUsualLoadMaxAgeMs) {
    aStats.m_reportsInRow = 1;
    aStats.m_usualLoad = aLoad;
    return;
  }
  ++aStats.m_reportsInRow;
  const double weight = 1 - std::exp(-static_cast<double>(sinceMs) / kUsualLoadMs);
  const double bounded = std::min(aLoad, 2 * aStats.m_usualLoad + kUsualLoadRise);
  aStats.m_usualLoad += weight * (bounded - aStats.m_usualLoad);
}

void
ApplyReport(TargetStats& aStats, const LoadReport& aReport, Instant aNow)
{
  AddToUsualLoad(aStats, aReport.m_load, aNow);
  aStats.m_reportedLoad = aReport.m_load;
  aStats.m_reportedAt = aNow;
  aStats.m_outstandingAtReport = aStats.m_outstanding;
  if (aReport.m_serviceUs > 0) {
    aStats.m_serviceUs = aReport.m_serviceUs;
  }
  aStats.m_rateLimitedUntil = aNow + aReport.m_rateWaitMs;
  aStats.m_bodiesUntil = aNow + aReport.m_bodyWaitMs;
}

// aBaseMs doubled for each of aRepeats up to aMaxMs, of which at least half is kept.
Milliseconds
BackoffMs(Milliseconds aBaseMs, std::uint32_t aRepeats, Milliseconds aMaxMs, Random& aRandom)
{
  const Milliseconds backoffMs = std::min(aMaxMs, aBaseMs << std::min(aRepeats, kMaxDoublings));
  const auto jitterRangeMs = static_cast<std::uint64_t>(backoffMs / 2 + 1);
  return backoffMs / 2 + static_cast<Milliseconds>(aRandom.Below(jitterRangeMs));
}

void
UpdateAverage(double& aAverage, double aValue)
{
  aAverage = aAverage == 0 ? aValue : aAverage + kAverageWeight * (aValue - aAverage);
}

} // namespace

std::string_view
NameOf(Locality aLocality)
{
  return NameIn(kLocalityNames, aLocality);
}

Locality
LocalityOf(const Candidate& aCandidate, std::string_view aRegion, std::string_view aFailureDomain)
{
  if (aCandidate.m_region != aRegion) {
    return Locality::OtherRegion;
  }
  return aCandidate.m_failureDomain == aFailureDomain ? Locality::OwnDomain : Locality::OwnRegion;
}

double
WarmUpShare(const Candidate& aCandidate, Instant aNow)
{
  const Milliseconds uptimeMs = aNow - aCandidate.m_upSince;
  if (aCandidate.m_warmUpMs == 0 || uptimeMs >= aCandidate.m_warmUpMs) {
    return 1;
  }
  return std::max(kMinWarmUpShare, static_cast<double>(uptimeMs) / aCandidate.m_warmUpMs);
}

double
PredictedWaitMs(const Candidate& aCandidate, const TargetStats& aStats, Instant aNow)
{
  const double serviceMs =
    (aStats.m_serviceUs > 0 ? aStats.m_serviceUs : kDefaultServiceUs) / kUsPerMs;
  const double slots = UsableSlots(aCandidate, serviceMs, aNow);
  double load = aStats.m_outstanding;
  if (IsLoadKnown(aStats, aNow)) {
    const double sent =
      std::max(0.0, static_cast<double>(aStats.m_outstanding) - aStats.m_outstandingAtReport);
    load = std::max(load, LoadFromReports(aStats, serviceMs, aNow) + sent);
  }
  const double slotWaitMs = std::max(0.0, load + 1 - slots) * serviceMs / slots;
  return std::max(slotWaitMs, static_cast<double>(aStats.m_rateLimitedUntil - aNow));
}

std::optional<PickedTarget>
Pick(const std::vector<Candidate>& aCandidates,
     const PickState& aState,
     const PickRequest& aRequest,
     Instant aNow,
     Random& aRandom)
{
  std::vector<ScoredCandidate> scored = ScoreEligible(aCandidates, aState, aRequest, aNow);
  if (scored.empty()) {
    return std::nullopt;
  }
  DropUntrusted(scored);
  for (const ScoredCandidate& entry : scored) {
    if (entry.m_exploreShare > 0 && aRequest.m_kilobytes < kExploreMaxKilobytes &&
        aRandom.Unit() < entry.m_exploreShare) {
      return PickedTarget{ .m_index = entry.m_index, .m_waitMs = entry.m_slotWaitMs };
    }
  }
  const ScoredCandidate& best = Cheapest(scored, aRandom);
  return PickedTarget{ .m_index = best.m_index, .m_waitMs = best.m_slotWaitMs };
}

void
RecordDispatch(PickState& aState, std::string_view aNode)
{
  ++aState.m_targets[std::string(aNode)].m_outstanding;
}

void
RecordAbandoned(PickState& aState, std::string_view aNode)
{
  TargetStats& stats = aState.m_targets[std::string(aNode)];
  stats.m_outstanding -= stats.m_outstanding > 0 ? 1 : 0;
}

void
RecordAnswer(PickState& aState,
             std::string_view aNode,
             const AnswerTimes& aTimes,
             const LoadReport& aReport,
             Instant aNow)
{
  RecordAbandoned(aState, aNode);
  TargetStats& stats = aState.m_targets[std::string(aNode)];
  const std::int64_t rttUs = std::max<std::int64_t>(1, aTimes.m_latencyUs - aTimes.m_heldUs);
  UpdateAverage(stats.m_latencyUs, static_cast<double>(aTimes.m_latencyUs));
  UpdateAverage(stats.m_rttUs, static_cast<double>(rttUs));
  if (aTimes.m_ranUs > 0 && aTimes.m_routeAverageUs > 0) {
    const double slowness = static_cast<double>(aTimes.m_ranUs) / aTimes.m_routeAverageUs;
    UpdateAverage(stats.m_slowness, std::clamp(slowness, kMinSlowness, kMaxSlowness));
  }
  ApplyReport(stats, aReport, aNow);
  stats.m_failures = 0;
  stats.m_rateRefusals = 0;
  stats.m_avoidUntil = {};
}

void
RecordFailure(PickState& aState, std::string_view aNode, Instant aNow, Random& aRandom)
{
  RecordAbandoned(aState, aNode);
  RecordUnresponsive(aState, aNode, aNow, aRandom);
}

void
RecordUnresponsive(PickState& aState, std::string_view aNode, Instant aNow, Random& aRandom)
{
  TargetStats& stats = aState.m_targets[std::string(aNode)];
  stats.m_avoidUntil = aNow + BackoffMs(kAvoidMinMs, stats.m_failures, kAvoidMaxMs, aRandom);
  stats.m_avoidedAt = aNow;
  ++stats.m_failures;
}

void
RecordOverload(PickState& aState,
               std::string_view aNode,
               const LoadReport& aReport,
               Instant aNow,
               Random& aRandom)
{
  RecordAbandoned(aState, aNode);
  TargetStats& stats = aState.m_targets[std::string(aNode)];
  ApplyReport(stats, aReport, aNow);
  if (aReport.m_rateWaitMs > 0) {
    stats.m_rateLimitedUntil =
      aNow + BackoffMs(aReport.m_rateWaitMs, stats.m_rateRefusals, kRateWaitMaxMs, aRandom);
    ++stats.m_rateRefusals;
  }
}

} // namespace sequoiastep::routing
