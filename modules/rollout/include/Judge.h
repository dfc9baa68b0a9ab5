/// @file
/// Decides whether a version on trial is good or bad, from the counts that the nodes beside the
/// service's targets send. Compares new and old targets by route over the same span.
#pragma once

#include "Clock.h"
#include "Evidence.h"
#include "RolloutTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastep::rollout {

/// Length of the spans over which the versions are compared.
constexpr Milliseconds kBinMs = 200;
/// Bins that a judge keeps: 60 s, three times the longest rollout that the tests answer for.
constexpr std::size_t kMaxBins = 300;
/// A route has traffic if old targets answered this many of its requests.
constexpr std::uint32_t kRouteTraffic = 150;
/// Answers of the new version that a good verdict needs for each route with traffic, and in all.
constexpr std::uint32_t kMinRouteSamples = 6;
constexpr std::uint32_t kMinSamples = 20;

/// Times of a rollout, backwards from its deadline.
struct RolloutPlan
{
  /// Earliest and latest time of the verdict that the version is good.
  Instant m_verdictFrom;
  Instant m_verdictBy;
  /// A good verdict that lacked samples may still come until then, at the cost of the time that old
  /// targets have to finish.
  Instant m_lastVerdict;
  /// The rollout is not completed earlier, since a version that turns bad under all requests can
  /// still be rolled back.
  Instant m_completeFrom;
  /// The final state is written by then at the latest.
  Instant m_writeBy;
};

/// @param aLongestTimeoutMs longest timeout of the service's routes.
RolloutPlan
MakePlan(const Rollout& aRollout, Milliseconds aLongestTimeoutMs);

/// What the judge concludes.
enum class Verdict
{
  /// Nothing yet.
  Continue,
  /// The version is good: all new requests go to it from now on.
  Shift,
  /// No request is at work at an old target any more: the rollout can be completed.
  Complete,
  /// The version is bad.
  RollBack,
};

/// A verdict and what it rests on.
struct Judgement
{
  Verdict m_verdict = Verdict::Continue;
  /// For logs: route, counts and bounds that decided.
  std::string m_reason;
};

/// Newest counts of one target.
struct TargetHistory
{
  std::string m_version;
  std::uint64_t m_incarnation = 0;
  /// Run of the node before that; its late messages are ignored.
  std::uint64_t m_pastIncarnation = 0;
  std::uint64_t m_sequence = 0;
  std::uint32_t m_outstanding = 0;
  Instant m_receivedAt;
  /// When the first answer was reported; not set before.
  std::optional<Instant> m_firstAnswerAt;
  /// Since when the target has reported no work and no new answers; not set while it has work.
  std::optional<Instant> m_idleSince;
  std::map<std::string, RouteCounts, std::less<>> m_routes;
};

/// Answers of one version to requests of one route in one span of time.
struct Tally
{
  std::uint32_t m_requests = 0;
  std::uint32_t m_errors = 0;
  /// Answers without an error by run time: of targets that have just started, and of the others.
  RunBuckets m_cold{};
  RunBuckets m_warm{};
};

/// Answers by route that were reported in one span of kBinMs.
struct EvidenceBin
{
  std::map<std::string, Tally, std::less<>> m_trial;
  std::map<std::string, Tally, std::less<>> m_old;
};

/// The counts of a service's targets, as one judge received them.
struct Judge
{
  OrderId m_order;
  /// When this judge first received a count after it knew that requests shift to the new version.
  std::optional<Instant> m_shiftedAt;
  std::map<std::string, TargetHistory, std::less<>> m_targets;
  /// By time of receipt divided by kBinMs; the newest kMaxBins.
  std::map<std::int64_t, EvidenceBin> m_bins;
};

/// Stores the counts unless they are older than those known of the node, or of another order.
void
AddEvidence(Judge& aJudge,
            const Rollout& aRollout,
            const wire::RolloutEvidenceT& aEvidence,
            Instant aNow);

/// Judges the rollout by what was received. A version that is neither good nor bad when the final
/// state is due, since it had too few requests or is in doubt, is rolled back, if this judge hears
/// the new and the old targets. If it hears too few of them, it decides nothing.
/// @param aOldTargets nodes whose targets have another version than the one on trial and are known
/// to be up; the rollout is complete only if all of them reported that nothing is outstanding.
Judgement
Decide(const Judge& aJudge,
       const Rollout& aRollout,
       const RolloutPlan& aPlan,
       const std::vector<std::string>& aOldTargets,
       Instant aNow);

} // namespace sequoiastep::rollout
