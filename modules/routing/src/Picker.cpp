#include "Picker.h"

#include "NameTable.h"

#include <algorithm>
#include <array>

namespace sequoiastep::routing {

const TargetStats*
FindStats(const PickState& aState, std::string_view aNode)
{
  const auto found = aState.m_targets.find(aNode);
  return found == aState.m_targets.end() ? nullptr : &found->second;
}

namespace {

constexpr double kLatencyWeight = 0.2;
constexpr double kUsPerMs = 1000;
// What is assumed of a target and of the way to it before the first answer.
constexpr double kUnknownServiceUs = 250'000;
constexpr std::array<double, 3> kUnknownWayMs{ 0.5, 4, 18 };
constexpr double kLeastRampShare = 0.1;
constexpr Milliseconds kReportKeepMs = 500;
constexpr Milliseconds kAvoidLeastMs = 100;
constexpr Milliseconds kAvoidMostMs = 5000;
constexpr std::uint32_t kMostDoublings = 6;
// One answer says little of a target's speed: requests of one route differ.
constexpr double kLeastSlowness = 0.2;
constexpr double kMostSlowness = 5;
// Equal costs are told apart by chance, so that nodes with the same view do not all pick the same.
constexpr double kNoiseMs = 2;
constexpr double kNoiseShare = 0.1;
// How often a target that never answered this node is tried for what it may be worth, by its place:
// nodes near it try it soon, and its bytes cost those far away.
constexpr std::array<double, 3> kExploreShares{ 0.05, 0.01, 0.001 };
constexpr double kExploreMostKilobytes = 16;
constexpr Milliseconds kExploreUntilMs = 20'000;
// Time within this share of the objective counts by the weight only.
constexpr double kCalmShare = 0.5;
constexpr double kCalmWeight = 0.1;

constexpr std::array<NameRow<Place>, 3> kPlaceNames{ {
  { Place::OwnDomain, "own_domain" },
  { Place::OwnRegion, "own_region" },
  { Place::OtherRegion, "other_region" },
} };

// A candidate with what is known of it now.
struct Ranked
{
  std::size_t m_index = 0;
  double m_costMs = 0;
  /// The part of the cost that is guessed rather than known.
  double m_guessedMs = 0;
  bool m_trusted = true;
  /// How often it is picked for what it may be worth.
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
BytesMs(const PickRequest& aRequest, Place aPlace)
{
  switch (aPlace) {
    case Place::OwnDomain:
      return 0;
    case Place::OwnRegion:
      return aRequest.m_kilobytes * aRequest.m_prices.m_crossDomainMsPerKb;
    case Place::OtherRegion:
      break;
  }
  return aRequest.m_kilobytes * aRequest.m_prices.m_crossRegionMsPerKb;
}

// How long a request of the route runs there: what the target usually runs tells nothing of it,
// its speed does. A target that warms up is slower than it will be.
double
ServiceMs(const Candidate& aCandidate, const TargetStats& aStats, double aUsualUs, Instant aNow)
{
  return aUsualUs / kUsPerMs * aStats.m_slowness * (2 - RampShare(aCandidate, aNow));
}

// What an answer after aTimeMs costs a caller.
double
LatenessMs(double aTimeMs, Milliseconds aObjectiveMs)
{
  const double calm = kCalmShare * static_cast<double>(std::max<Milliseconds>(0, aObjectiveMs));
  return kCalmWeight * std::min(aTimeMs, calm) + std::max(0.0, aTimeMs - calm);
}

bool
IsAvoided(const Candidate& aCandidate, const TargetStats& aStats, Instant aNow)
{
  return aNow < aStats.m_avoidUntil && aCandidate.m_upSince <= aStats.m_avoidedAt;
}

bool
IsNew(const Candidate& aCandidate, const TargetStats& aStats, Instant aNow)
{
  const Milliseconds up = aNow - aCandidate.m_upSince;
  return aStats.m_latencyUs == 0 && aStats.m_outstanding == 0 && up < kExploreUntilMs;
}

Ranked
Rank(std::size_t aIndex,
     const Candidate& aCandidate,
     const PickState& aState,
     const PickRequest& aRequest,
     double aUsualUs,
     Instant aNow)
{
  const TargetStats& stats = StatsOf(aState, aCandidate.m_node);
  const Place place = PlaceOf(aCandidate, aRequest.m_region, aRequest.m_failureDomain);
  const double way =
    stats.m_wayUs > 0 ? stats.m_wayUs / kUsPerMs : kUnknownWayMs[static_cast<std::size_t>(place)];
  const double wait = PredictedWaitMs(aCandidate, stats, aNow);
  return { .m_index = aIndex,
           .m_costMs = BytesMs(aRequest, place) +
                       LatenessMs(way + ServiceMs(aCandidate, stats, aUsualUs, aNow) + wait,
                                  aRequest.m_objectiveMs),
           .m_guessedMs = way + wait,
           .m_trusted = !aCandidate.m_suspect && !IsAvoided(aCandidate, stats, aNow),
           .m_exploreShare =
             IsNew(aCandidate, stats, aNow) ? kExploreShares[static_cast<std::size_t>(place)] : 0 };
}

// What a request usually takes at the service's targets.
double
UsualServiceUs(const std::vector<Candidate>& aCandidates, const PickState& aState)
{
  double sum = 0;
  double count = 0;
  for (const Candidate& candidate : aCandidates) {
    const TargetStats& stats = StatsOf(aState, candidate.m_node);
    if (stats.m_serviceUs > 0) {
      sum += stats.m_serviceUs;
      ++count;
    }
  }
  return count > 0 ? sum / count : kUnknownServiceUs;
}

std::vector<Ranked>
RankAll(const std::vector<Candidate>& aCandidates,
        const PickState& aState,
        const PickRequest& aRequest,
        Instant aNow)
{
  const double usualUs =
    aRequest.m_usualUs > 0 ? aRequest.m_usualUs : UsualServiceUs(aCandidates, aState);
  std::vector<Ranked> ranked;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const Candidate& candidate = aCandidates[i];
    const bool foreign = candidate.m_region != aRequest.m_region;
    const bool tried = aRequest.m_tried != nullptr && aRequest.m_tried->contains(candidate.m_node);
    if (!tried && (!foreign || aRequest.m_crossRegion)) {
      ranked.push_back(Rank(i, candidate, aState, aRequest, usualUs, aNow));
    }
  }
  return ranked;
}

// Keeps the trusted ones, unless they are too few to tell trouble of targets from one's own.
void
DropDistrusted(std::vector<Ranked>& aRanked)
{
  const auto trusted = static_cast<double>(std::count_if(
    aRanked.begin(), aRanked.end(), [](const Ranked& aOne) { return aOne.m_trusted; }));
  if (trusted > 0 && trusted >= kLeastTrustedShare * static_cast<double>(aRanked.size())) {
    std::erase_if(aRanked, [](const Ranked& aOne) { return !aOne.m_trusted; });
  }
}

std::size_t
Cheapest(const std::vector<Ranked>& aRanked, Random& aRandom)
{
  const Ranked* best = nullptr;
  double bestMs = 0;
  for (const Ranked& ranked : aRanked) {
    const double noise = aRandom.Unit() * (kNoiseMs + kNoiseShare * ranked.m_guessedMs);
    if (best == nullptr || ranked.m_costMs + noise < bestMs) {
      best = &ranked;
      bestMs = ranked.m_costMs + noise;
    }
  }
  return best->m_index;
}

void
TakeReport(TargetStats& aStats, const LoadReport& aReport, Instant aNow)
{
  aStats.m_reported = aReport.m_load;
  aStats.m_reportedAt = aNow;
  aStats.m_outstandingThen = aStats.m_outstanding;
  if (aReport.m_serviceUs > 0) {
    aStats.m_serviceUs = aReport.m_serviceUs;
  }
}

void
Blend(double& aAverage, double aValue)
{
  aAverage = aAverage == 0 ? aValue : aAverage + kLatencyWeight * (aValue - aAverage);
}

} // namespace

std::string_view
NameOf(Place aPlace)
{
  return NameIn(kPlaceNames, aPlace);
}

Place
PlaceOf(const Candidate& aCandidate, std::string_view aRegion, std::string_view aFailureDomain)
{
  if (aCandidate.m_region != aRegion) {
    return Place::OtherRegion;
  }
  return aCandidate.m_failureDomain == aFailureDomain ? Place::OwnDomain : Place::OwnRegion;
}

double
RampShare(const Candidate& aCandidate, Instant aNow)
{
  const Milliseconds up = aNow - aCandidate.m_upSince;
  if (aCandidate.m_warmUpMs == 0 || up >= aCandidate.m_warmUpMs) {
    return 1;
  }
  return std::max(kLeastRampShare, static_cast<double>(up) / aCandidate.m_warmUpMs);
}

double
PredictedWaitMs(const Candidate& aCandidate, const TargetStats& aStats, Instant aNow)
{
  const double slots = std::max(1.0, aCandidate.m_slots * RampShare(aCandidate, aNow));
  const double serviceMs =
    (aStats.m_serviceUs > 0 ? aStats.m_serviceUs : kUnknownServiceUs) / kUsPerMs;
  const Milliseconds age = aNow - aStats.m_reportedAt;
  double load = aStats.m_outstanding;
  if (age < kReportKeepMs) {
    // What was there at the report drains as the slots work; what this node sent since is on top.
    const double done = std::min<double>(aStats.m_reported, slots) * static_cast<double>(age) /
                        std::max(1.0, serviceMs);
    const double sent =
      std::max(0.0, static_cast<double>(aStats.m_outstanding) - aStats.m_outstandingThen);
    load = std::max(load, std::max(0.0, aStats.m_reported - done) + sent);
  }
  return std::max(0.0, load + 1 - slots) * serviceMs / slots;
}

std::optional<std::size_t>
Pick(const std::vector<Candidate>& aCandidates,
     const PickState& aState,
     const PickRequest& aRequest,
     Instant aNow,
     Random& aRandom)
{
  std::vector<Ranked> ranked = RankAll(aCandidates, aState, aRequest, aNow);
  if (ranked.empty()) {
    return std::nullopt;
  }
  DropDistrusted(ranked);
  for (const Ranked& one : ranked) {
    if (one.m_exploreShare > 0 && aRequest.m_kilobytes < kExploreMostKilobytes &&
        aRandom.Unit() < one.m_exploreShare) {
      return one.m_index;
    }
  }
  return Cheapest(ranked, aRandom);
}

void
NoteDispatch(PickState& aState, std::string_view aNode)
{
  ++aState.m_targets[std::string(aNode)].m_outstanding;
}

void
NoteAbandoned(PickState& aState, std::string_view aNode)
{
  TargetStats& stats = aState.m_targets[std::string(aNode)];
  stats.m_outstanding -= stats.m_outstanding > 0 ? 1 : 0;
}

void
NoteAnswer(PickState& aState,
           std::string_view aNode,
           const AnswerTimes& aTimes,
           const LoadReport& aReport,
           Instant aNow)
{
  NoteAbandoned(aState, aNode);
  TargetStats& stats = aState.m_targets[std::string(aNode)];
  const std::int64_t wayUs = std::max<std::int64_t>(1, aTimes.m_latencyUs - aTimes.m_heldUs);
  Blend(stats.m_latencyUs, static_cast<double>(aTimes.m_latencyUs));
  Blend(stats.m_wayUs, static_cast<double>(wayUs));
  if (aTimes.m_ranUs > 0 && aTimes.m_usualUs > 0) {
    const double slowness = static_cast<double>(aTimes.m_ranUs) / aTimes.m_usualUs;
    Blend(stats.m_slowness, std::clamp(slowness, kLeastSlowness, kMostSlowness));
  }
  TakeReport(stats, aReport, aNow);
  stats.m_failures = 0;
  stats.m_avoidUntil = {};
}

void
NoteFailure(PickState& aState, std::string_view aNode, Instant aNow, Random& aRandom)
{
  NoteAbandoned(aState, aNode);
  TargetStats& stats = aState.m_targets[std::string(aNode)];
  const Milliseconds most =
    std::min(kAvoidMostMs, kAvoidLeastMs << std::min(stats.m_failures, kMostDoublings));
  const auto spread = static_cast<std::uint64_t>(most / 2 + 1);
  stats.m_avoidUntil = aNow + (most / 2 + static_cast<Milliseconds>(aRandom.Below(spread)));
  stats.m_avoidedAt = aNow;
  ++stats.m_failures;
}

void
NoteOverload(PickState& aState, std::string_view aNode, const LoadReport& aReport, Instant aNow)
{
  NoteAbandoned(aState, aNode);
  TakeReport(aState.m_targets[std::string(aNode)], aReport, aNow);
}

} // namespace sequoiastep::routing
