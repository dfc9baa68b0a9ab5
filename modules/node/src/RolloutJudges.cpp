#include "RolloutJudges.h"

#include "Log.h"

#include <algorithm>
#include <fmt/core.h>

namespace sequoiastep::node {

using rollout::Judgement;
using rollout::Rollout;
using rollout::RolloutPhase;
using rollout::Verdict;

namespace {

constexpr Milliseconds kReviewIntervalMs = 100;
// The second judge acts when the first one has been silent for this long.
constexpr Milliseconds kFirstSilentMs = 1500;
// A judge that hears no counts for this long does not claim its place.
constexpr Milliseconds kEvidenceSilentMs = 1500;
constexpr Milliseconds kSignIntervalMs = 500;
// The same verdict is announced again if the phase did not change by then.
constexpr Milliseconds kAnnounceIntervalMs = 500;

RolloutPhase
PhaseAfter(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::Shift:
      return RolloutPhase::Shifting;
    case Verdict::Complete:
      return RolloutPhase::Completed;
    case Verdict::RollBack:
      return RolloutPhase::RolledBack;
    case Verdict::Continue:
      break;
  }
  return RolloutPhase::Trial;
}

} // namespace

RolloutJudges::RolloutJudges(std::string aNode, SharedState& aShared, Hooks aHooks)
  : m_node(std::move(aNode))
  , m_shared(aShared)
  , m_hooks(std::move(aHooks))
{
}

RolloutJudges::Seat&
RolloutJudges::SeatOf(const Rollout& aRollout, Instant aNow)
{
  Seat& seat = m_seats[aRollout.m_service];
  if (seat.m_judge.m_order != aRollout.m_order) {
    seat = { .m_judge = { .m_order = aRollout.m_order }, .m_since = aNow };
  }
  return seat;
}

const std::vector<std::string>&
RolloutJudges::JudgesOf(const std::shared_ptr<const RoutingView>& aView,
                        const std::string& aService)
{
  if (aView != m_judgesView) {
    m_judgesView = aView;
    m_judges.clear();
  }
  const auto known = m_judges.find(aService);
  if (known != m_judges.end()) {
    return known->second;
  }
  std::vector<std::string> nodes;
  nodes.reserve(aView->m_nodes.size());
  for (const auto& [node, address] : aView->m_nodes) {
    nodes.push_back(node);
  }
  return m_judges[aService] = rollout::JudgesOf(aService, nodes);
}

void
RolloutJudges::Receive(const wire::RolloutEvidenceT& aEvidence,
                       const RoutingView& aView,
                       Instant aNow)
{
  const auto service = aView.m_rollouts.find(aEvidence.service);
  const rollout::OrderId order{ .m_era = aEvidence.order_era, .m_offset = aEvidence.order_offset };
  if (service == aView.m_rollouts.end() || service->second.m_rollout.m_order != order) {
    return;
  }
  const Rollout& rollout = service->second.m_rollout;
  Seat& seat = SeatOf(rollout, aNow);
  const auto judges = m_judges.find(aEvidence.service);
  if (judges != m_judges.end() && !judges->second.empty() &&
      judges->second.front() == aEvidence.node) {
    seat.m_firstHeardAt = aNow;
  }
  if (aEvidence.sequence == 0) {
    return; // Another judge's sign of life.
  }
  seat.m_evidenceAt = aNow;
  rollout::AddEvidence(seat.m_judge, rollout, aEvidence, aNow);
}

void
RolloutJudges::Review(const std::shared_ptr<const RoutingView>& aView, Instant aNow)
{
  if (aNow - m_reviewedAt < kReviewIntervalMs) {
    return;
  }
  m_reviewedAt = aNow;
  for (const auto& [service, entry] : aView->m_rollouts) {
    if (rollout::IsFinal(entry.m_rollout.m_phase)) {
      m_seats.erase(service);
    } else {
      ReviewService(aView, entry, aNow);
    }
  }
}

void
RolloutJudges::ReviewService(const std::shared_ptr<const RoutingView>& aView,
                             const ServiceRollout& aService,
                             Instant aNow)
{
  const Rollout& rollout = aService.m_rollout;
  const std::vector<std::string>& judges = JudgesOf(aView, rollout.m_service);
  const auto rank = std::find(judges.begin(), judges.end(), m_node) - judges.begin();
  if (static_cast<std::size_t>(rank) == judges.size()) {
    m_seats.erase(rollout.m_service);
    return;
  }
  Seat& seat = SeatOf(rollout, aNow);
  if (rank == 0 && judges.size() > 1) {
    SendSign(rollout, seat, judges[1], aNow);
  }
  const Instant heard = std::max(seat.m_firstHeardAt, seat.m_since);
  if (rank > 0 && aNow - heard < kFirstSilentMs) {
    return;
  }
  const rollout::RolloutPlan plan = rollout::MakePlan(rollout, LongestTimeout(rollout.m_service));
  const Judgement judgement =
    rollout::Decide(seat.m_judge, rollout, plan, aService.m_oldTargets, aNow);
  if (judgement.m_verdict != Verdict::Continue) {
    Announce(rollout, seat, judgement, aNow);
  }
}

// Tells the second judge that this one is at work, so that only one of them decides. A judge that
// hears no counts leaves the decision to the other one.
void
RolloutJudges::SendSign(const Rollout& aRollout,
                        Seat& aSeat,
                        const std::string& aOther,
                        Instant aNow)
{
  if (aNow - aSeat.m_signSentAt < kSignIntervalMs ||
      aNow - aSeat.m_evidenceAt > kEvidenceSilentMs) {
    return;
  }
  aSeat.m_signSentAt = aNow;
  wire::RolloutEvidenceT sign;
  sign.service = aRollout.m_service;
  sign.order_era = aRollout.m_order.m_era;
  sign.order_offset = aRollout.m_order.m_offset;
  sign.node = m_node;
  m_hooks.m_send(aOther, std::move(sign));
}

void
RolloutJudges::Announce(const Rollout& aRollout,
                        Seat& aSeat,
                        const Judgement& aJudgement,
                        Instant aNow)
{
  if (aSeat.m_decided == aJudgement.m_verdict && aNow - aSeat.m_decidedAt < kAnnounceIntervalMs) {
    return;
  }
  aSeat.m_decided = aJudgement.m_verdict;
  aSeat.m_decidedAt = aNow;
  const RolloutPhase phase = PhaseAfter(aJudgement.m_verdict);
  LogLine(LogLevel::Info, "rollout_judged")
    .Add("service", aRollout.m_service)
    .Add("version", aRollout.m_version)
    .Add("order", aRollout.m_order.m_offset)
    .Add("phase", rollout::NameOf(phase))
    .Add("evidence", aJudgement.m_reason)
    .Add("left_ms", aRollout.m_deadline - aNow);
  m_hooks.m_notifyControl(distribution::RolloutDecided{ .m_service = aRollout.m_service,
                                                        .m_order = aRollout.m_order,
                                                        .m_phase = phase,
                                                        .m_finalOffset = std::nullopt,
                                                        .m_reason = aJudgement.m_reason });
}

// The longest timeout of the routes that lead to the service.
Milliseconds
RolloutJudges::LongestTimeout(std::string_view aService)
{
  Milliseconds longest = 0;
  const auto snapshot = m_shared.m_snapshot.load();
  if (!snapshot) {
    return longest;
  }
  const config::EffectiveConfig& config = *snapshot->m_effective;
  for (const config::Route& route : config.m_routes) {
    for (const config::WeightedCluster& target : route.m_clusters) {
      const auto cluster = config.m_clusters.find(target.m_cluster);
      if (cluster != config.m_clusters.end() && cluster->second.m_service == aService) {
        longest = std::max<Milliseconds>(longest, route.m_timeoutMs);
      }
    }
  }
  return longest;
}

void
RolloutJudges::AppendMetrics(std::string& aText) const
{
  for (const auto& [service, seat] : m_seats) {
    std::uint64_t samples = 0;
    for (const auto& [node, target] : seat.m_judge.m_targets) {
      for (const auto& [route, counts] : target.m_routes) {
        samples += counts.m_requests;
      }
    }
    aText +=
      fmt::format("sequoiastep_rollout_judged_samples{{service=\"{}\"}} {}\n", service, samples);
  }
}

} // namespace sequoiastep::node
