#include "Judge.h"

#include "Comparison.h"

#include <algorithm>
#include <fmt/format.h>

namespace sequoiastep::rollout {

namespace {

// The store write and its repetition.
constexpr Milliseconds kWriteMs = 1000;
// Old targets get at least this long to finish: the phase has to reach all nodes, and two reports
// of each old target have to come.
constexpr Milliseconds kMinFinishMs = 2000;
// ... and at most this part of the rollout.
constexpr Milliseconds kFinishPart = 4;
// The good verdict is reached this part of the rollout before it is due.
constexpr Milliseconds kVerdictPart = 20;

// A target that reported within this time is heard.
constexpr Milliseconds kHeardMs = 1500;
// A target that has just started may be slower for 3 s from its first request on. Its first count
// comes as late as the following ones.
constexpr Milliseconds kColdMs = 3000;
// A new phase has reached all nodes that can be reached, and what they sent before has arrived.
constexpr Milliseconds kPhaseSpreadMs = 1000;
// Two reports of an idle target are this long apart at least.
constexpr Milliseconds kIdleMs = 300;

// Logarithm of the statistic from which the version is bad. With 100 bins, four routes, two kinds
// of fault and the sum over all routes the false rollbacks are at most 100 x 10 x exp(-12) = 0.6 %.
constexpr double kBadStrength = 12;
// From here on the version is not called good. Below kUnclearStrength.
constexpr double kDoubtStrength = 8;

RouteCounts
Difference(const RouteCounts& aNewer, const RouteCounts* aOlder)
{
  RouteCounts difference = aNewer;
  if (aOlder == nullptr || aOlder->m_requests > aNewer.m_requests) {
    return difference;
  }
  difference.m_requests -= aOlder->m_requests;
  difference.m_errors -= std::min(aOlder->m_errors, aNewer.m_errors);
  difference.m_runMs -= aOlder->m_runMs;
  difference.m_runMsSquared -= aOlder->m_runMsSquared;
  for (std::size_t bucket = 0; bucket < kRunBuckets; ++bucket) {
    difference.m_buckets[bucket] -= std::min(aOlder->m_buckets[bucket], aNewer.m_buckets[bucket]);
  }
  return difference;
}

RouteCounts
FromWire(const wire::RouteEvidenceT& aEntry)
{
  RouteCounts counts;
  counts.m_requests = aEntry.requests;
  counts.m_errors = aEntry.errors;
  counts.m_runMs = aEntry.run_ms;
  counts.m_runMsSquared = aEntry.run_ms_squared;
  std::copy_n(aEntry.run_buckets.begin(),
              std::min(aEntry.run_buckets.size(), kRunBuckets),
              counts.m_buckets.begin());
  return counts;
}

bool
IsOutdated(const TargetHistory& aTarget, const wire::RolloutEvidenceT& aEvidence)
{
  if (aEvidence.incarnation == aTarget.m_incarnation) {
    return aEvidence.sequence <= aTarget.m_sequence;
  }
  return aTarget.m_sequence > 0 && aEvidence.incarnation == aTarget.m_pastIncarnation;
}

// Counts start from zero with a new run of the node and with a new version.
void
StartAnewIfChanged(TargetHistory& aTarget, const wire::RolloutEvidenceT& aEvidence)
{
  const bool sameRun = aTarget.m_sequence == 0 || aTarget.m_incarnation == aEvidence.incarnation;
  if (aTarget.m_sequence > 0 && sameRun && aTarget.m_version == aEvidence.version) {
    return;
  }
  aTarget = { .m_version = aEvidence.version,
              .m_incarnation = aEvidence.incarnation,
              .m_pastIncarnation = sameRun ? aTarget.m_pastIncarnation : aTarget.m_incarnation };
}

void
AddTo(Tally& aTally, const RouteCounts& aCounts, bool aCold)
{
  aTally.m_requests += aCounts.m_requests;
  aTally.m_errors += aCounts.m_errors;
  RunBuckets& buckets = aCold ? aTally.m_cold : aTally.m_warm;
  for (std::size_t bucket = 0; bucket < kRunBuckets; ++bucket) {
    buckets[bucket] += aCounts.m_buckets[bucket];
  }
}

// Adds what is new since the target's last report to the bin.
// @return the number of new answers.
std::uint32_t
AddNewAnswers(EvidenceBin& aBin,
              TargetHistory& aTarget,
              const Rollout& aRollout,
              const wire::RolloutEvidenceT& aEvidence,
              Instant aNow)
{
  auto& side = aTarget.m_version == aRollout.m_version ? aBin.m_trial : aBin.m_old;
  std::uint32_t answers = 0;
  for (const auto& entry : aEvidence.routes) {
    if (entry == nullptr) {
      continue;
    }
    const RouteCounts counts = FromWire(*entry);
    const auto known = aTarget.m_routes.find(entry->route);
    const RouteCounts fresh =
      Difference(counts, known == aTarget.m_routes.end() ? nullptr : &known->second);
    if (fresh.m_requests == 0) {
      continue;
    }
    if (!aTarget.m_firstAnswerAt) {
      aTarget.m_firstAnswerAt = aNow;
    }
    AddTo(side[entry->route], fresh, aNow - *aTarget.m_firstAnswerAt < kColdMs);
    aTarget.m_routes[entry->route] = counts;
    answers += fresh.m_requests;
  }
  return answers;
}

bool
IsHeard(const TargetHistory& aTarget, Instant aNow)
{
  return aNow - aTarget.m_receivedAt <= kHeardMs;
}

// True if this judge hears the new version and at least half of the old targets.
bool
HearsEnough(const Judge& aJudge,
            const Rollout& aRollout,
            const std::vector<std::string>& aOldTargets,
            Instant aNow)
{
  const bool hearsTrial =
    std::any_of(aJudge.m_targets.begin(), aJudge.m_targets.end(), [&](const auto& aEntry) {
      return aEntry.second.m_version == aRollout.m_version && IsHeard(aEntry.second, aNow);
    });
  const auto heard =
    std::count_if(aOldTargets.begin(), aOldTargets.end(), [&](const std::string& aNode) {
      const auto target = aJudge.m_targets.find(aNode);
      return target != aJudge.m_targets.end() && IsHeard(target->second, aNow);
    });
  return hearsTrial && static_cast<std::size_t>(heard) * 2 >= aOldTargets.size();
}

// @return the route with too few samples, "*" for all together, or nothing if there are enough.
std::optional<std::string>
RouteWithFewSamples(const Judge& aJudge)
{
  struct Answers
  {
    std::uint32_t m_trial = 0;
    std::uint32_t m_old = 0;
  };
  std::map<std::string, Answers> routes;
  std::uint32_t total = 0;
  for (const auto& [index, bin] : aJudge.m_bins) {
    for (const auto& [route, tally] : bin.m_trial) {
      routes[route].m_trial += tally.m_requests;
      total += tally.m_requests;
    }
    for (const auto& [route, tally] : bin.m_old) {
      routes[route].m_old += tally.m_requests;
    }
  }
  for (const auto& [route, answers] : routes) {
    if (answers.m_old >= kRouteTraffic && answers.m_trial < kMinRouteSamples) {
      return route;
    }
  }
  return total < kMinSamples ? std::optional<std::string>("*") : std::nullopt;
}

// @return an old target that may still have work, or nothing.
const std::string*
BusyOldTarget(const Judge& aJudge, const std::vector<std::string>& aOldTargets, Instant aNow)
{
  for (const std::string& node : aOldTargets) {
    const auto found = aJudge.m_targets.find(node);
    if (found == aJudge.m_targets.end()) {
      return &node;
    }
    const TargetHistory& target = found->second;
    const bool idle = target.m_idleSince && target.m_receivedAt - *target.m_idleSince >= kIdleMs &&
                      target.m_receivedAt - *aJudge.m_shiftedAt >= kPhaseSpreadMs &&
                      IsHeard(target, aNow);
    if (!idle) {
      return &node;
    }
  }
  return nullptr;
}

Judgement
JudgeShift(const Judge& aJudge,
           const RolloutPlan& aPlan,
           const std::vector<std::string>& aOldTargets,
           Instant aNow)
{
  if (aNow < aPlan.m_completeFrom) {
    return { .m_verdict = Verdict::Continue, .m_reason = "waits=watch" };
  }
  if (!aJudge.m_shiftedAt || aNow - *aJudge.m_shiftedAt < kPhaseSpreadMs) {
    return { .m_verdict = Verdict::Continue, .m_reason = "waits=phase" };
  }
  if (const std::string* busy = BusyOldTarget(aJudge, aOldTargets, aNow)) {
    return { .m_verdict = Verdict::Continue, .m_reason = "waits=" + *busy };
  }
  return { .m_verdict = Verdict::Complete, .m_reason = "old_targets=idle" };
}

std::string
Describe(const Suspicion& aSuspicion)
{
  return fmt::format("kind={} route={} bad={}/{} old={}/{} strength={:.1f}",
                     aSuspicion.m_kind.empty() ? "none" : aSuspicion.m_kind,
                     aSuspicion.m_route.empty() ? "none" : aSuspicion.m_route,
                     aSuspicion.m_bad,
                     aSuspicion.m_answers,
                     aSuspicion.m_oldBad,
                     aSuspicion.m_oldAnswers,
                     aSuspicion.m_strength);
}

Judgement
JudgeTrial(const Judge& aJudge,
           const Rollout& aRollout,
           const RolloutPlan& aPlan,
           const std::vector<std::string>& aOldTargets,
           const Suspicion& aSuspicion,
           Instant aNow)
{
  if (aNow < aPlan.m_verdictFrom) {
    return {};
  }
  if (!HearsEnough(aJudge, aRollout, aOldTargets, aNow)) {
    return { .m_verdict = Verdict::Continue, .m_reason = "waits=reports" };
  }
  const auto fewSamples = RouteWithFewSamples(aJudge);
  if (!fewSamples && aSuspicion.m_strength < kDoubtStrength) {
    if (aNow < aPlan.m_lastVerdict) {
      return { .m_verdict = Verdict::Shift, .m_reason = Describe(aSuspicion) };
    }
  }
  // Without an old target a rollback would leave the service with none.
  if (aNow >= aPlan.m_writeBy && !aOldTargets.empty()) {
    return { .m_verdict = Verdict::RollBack,
             .m_reason = "undecided=" + fewSamples.value_or("doubt") + " " + Describe(aSuspicion) };
  }
  return { .m_verdict = Verdict::Continue,
           .m_reason = fewSamples ? "few_samples=" + *fewSamples : Describe(aSuspicion) };
}

} // namespace

RolloutPlan
MakePlan(const Rollout& aRollout, Milliseconds aLongestTimeoutMs)
{
  const Milliseconds longest = aRollout.m_durationMs / kFinishPart;
  const Milliseconds finish =
    std::clamp(aLongestTimeoutMs, std::min(kMinFinishMs, longest), longest);
  RolloutPlan plan;
  plan.m_writeBy = aRollout.m_deadline + -kWriteMs;
  plan.m_verdictBy = plan.m_writeBy + -finish;
  plan.m_verdictFrom = plan.m_verdictBy + -(aRollout.m_durationMs / kVerdictPart);
  plan.m_completeFrom = plan.m_writeBy + -(aRollout.m_durationMs / kVerdictPart);
  plan.m_lastVerdict = plan.m_verdictBy + finish / 4;
  return plan;
}

void
AddEvidence(Judge& aJudge,
            const Rollout& aRollout,
            const wire::RolloutEvidenceT& aEvidence,
            Instant aNow)
{
  if (aJudge.m_order != aRollout.m_order) {
    aJudge = { .m_order = aRollout.m_order };
  }
  const OrderId order{ .m_era = aEvidence.order_era, .m_offset = aEvidence.order_offset };
  if (order != aRollout.m_order) {
    return;
  }
  TargetHistory& target = aJudge.m_targets[aEvidence.node];
  if (IsOutdated(target, aEvidence)) {
    return;
  }
  if (aRollout.m_phase == RolloutPhase::Shifting && !aJudge.m_shiftedAt) {
    aJudge.m_shiftedAt = aNow;
  }
  StartAnewIfChanged(target, aEvidence);
  target.m_sequence = aEvidence.sequence;
  target.m_receivedAt = aNow;
  target.m_outstanding = aEvidence.outstanding;
  EvidenceBin& bin = aJudge.m_bins[aNow.m_ms / kBinMs];
  const std::uint32_t answers = AddNewAnswers(bin, target, aRollout, aEvidence, aNow);
  if (aEvidence.outstanding > 0) {
    target.m_idleSince.reset();
  } else if (answers > 0 || !target.m_idleSince) {
    target.m_idleSince = aNow;
  }
  while (aJudge.m_bins.size() > kMaxBins) {
    aJudge.m_bins.erase(aJudge.m_bins.begin());
  }
}

Judgement
Decide(const Judge& aJudge,
       const Rollout& aRollout,
       const RolloutPlan& aPlan,
       const std::vector<std::string>& aOldTargets,
       Instant aNow)
{
  if (IsFinal(aRollout.m_phase) || aJudge.m_order != aRollout.m_order) {
    return {};
  }
  const Suspicion suspicion = Compare(aJudge, aRollout, aNow);
  if (suspicion.m_strength >= kBadStrength) {
    return { .m_verdict = Verdict::RollBack, .m_reason = Describe(suspicion) };
  }
  if (aRollout.m_phase == RolloutPhase::Shifting) {
    return JudgeShift(aJudge, aPlan, aOldTargets, aNow);
  }
  return JudgeTrial(aJudge, aRollout, aPlan, aOldTargets, suspicion, aNow);
}

} // namespace sequoiastep::rollout
