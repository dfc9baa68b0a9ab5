/// @file
/// Decides whether a version on trial is good or bad, from the counts that the nodes beside the
/// service's targets send. Compares new and old targets by route over the same span.
#pragma once

#include "Clock.h"
#include "Evidence.h"
#include "RolloutTable.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastep::rollout {

/// Times of a rollout, backwards from its deadline.
struct RolloutPlan
{
  /// Earliest and latest time of the verdict that the version is good.
  Instant m_verdictFrom;
  Instant m_verdictBy;
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

/// Newest counts of one target, and older ones to compare spans.
struct TargetHistory
{
  std::string m_version;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  std::uint32_t m_outstanding = 0;
  Instant m_receivedAt;
  /// Counts by time of receipt, oldest first; bounded.
  std::deque<std::pair<Instant, std::map<std::string, RouteCounts, std::less<>>>> m_snapshots;
};

/// The counts of a service's targets, as one judge received them.
struct Judge
{
  OrderId m_order;
  std::map<std::string, TargetHistory, std::less<>> m_targets;
};

/// Stores the counts unless they are older than those known of the node, or of another order.
void
AddEvidence(Judge& aJudge,
            const Rollout& aRollout,
            const wire::RolloutEvidenceT& aEvidence,
            Instant aNow);

/// Judges the rollout by what was received.
/// @param aOldTargets nodes whose targets have another version than the one on trial and are known
/// to be up; the rollout is complete only if all of them reported that nothing is outstanding.
Judgement
Decide(const Judge& aJudge,
       const Rollout& aRollout,
       const RolloutPlan& aPlan,
       const std::vector<std::string>& aOldTargets,
       Instant aNow);

} // namespace sequoiastep::rollout
