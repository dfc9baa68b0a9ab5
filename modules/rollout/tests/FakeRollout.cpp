#include "FakeRollout.h"

#include "Exposure.h"
#include "VersionSplit.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <memory>
#include <queue>

namespace sequoiastep::rollout {

namespace {

constexpr Instant kOrderedAt{ 1'000'000 };
constexpr Milliseconds kStepMs = 10;
constexpr Milliseconds kJudgeEveryMs = 100;
// A message of the judge reaches the nodes within this time.
constexpr Milliseconds kFloodMs = 200;
constexpr Milliseconds kColdMs = 3000;
constexpr Milliseconds kTimeoutMs = 2500;
constexpr double kSlowFactor = 8;
constexpr double kTroubleErrors = 0.45;
constexpr double kBusySlots = 0.75;
constexpr double kTargetLoad = 0.6;
constexpr double kRunSigma = 0.5;
constexpr double kTailShare = 0.02;
constexpr double kTailFactor = 4;
constexpr double kMsPerSecond = 1000;

struct Target
{
  std::string m_node;
  std::string m_version;
  bool m_new = false;
  int m_running = 0;
  // Routes of waiting requests.
  std::deque<std::size_t> m_waiting;
  TargetEvidence m_evidence;
};

struct Completion
{
  Instant m_at;
  std::size_t m_target = 0;
  std::size_t m_route = 0;
  bool m_failed = false;
  bool m_bad = false;
  double m_runMs = 0;
  bool operator>(const Completion& aOther) const { return m_at > aOther.m_at; }
};

struct Message
{
  Instant m_at;
  std::shared_ptr<wire::RolloutEvidenceT> m_evidence;
  bool operator>(const Message& aOther) const { return m_at > aOther.m_at; }
};

template<typename T>
using EarliestFirst = std::priority_queue<T, std::vector<T>, std::greater<>>;

struct Player
{
  Play m_play;
  Random m_random;
  Outcome m_outcome;
  Rollout m_rollout;
  Milliseconds m_timeoutMs = 0;
  double m_perSecond = 0;
  double m_faultShare = 0;
  Milliseconds m_faultFromMs = 0;
  Milliseconds m_troubleFromMs = 0;
  Milliseconds m_troubleUntilMs = 0;
  int m_slots = 1;
  double m_baseErrors = 0;
  std::vector<std::string> m_routes;
  std::vector<double> m_weights;
  std::vector<double> m_runMs;
  std::vector<Target> m_targets;
  std::vector<Exposure> m_nodes;
  std::vector<std::size_t> m_old, m_new, m_trial;
  std::vector<std::string> m_oldNames;
  std::vector<routing::Candidate> m_candidates;
  VersionHistory m_history;
  std::optional<Instant> m_reviewAt;
  std::optional<std::size_t> m_badHost;
  EarliestFirst<Completion> m_completions;
  EarliestFirst<Message> m_messages;
  Judge m_judge;
  Instant m_now = kOrderedAt;
  // When the current phase has reached all nodes that hear it.
  Instant m_phaseSpreadAt;
  RolloutPhase m_phaseBefore = RolloutPhase::Trial;

  double Between(double aLow, double aHigh) { return aLow + (aHigh - aLow) * m_random.Unit(); }
  Milliseconds Elapsed() const { return m_now - kOrderedAt; }

  explicit Player(const Play& aPlay);
  void MakeRoutes();
  void MakeTargets();
  void SplitTargets();
  Outcome Run();
  void Arrive();
  void Send(std::size_t aNode);
  bool Hears(std::size_t aNode) const;
  RolloutPhase PhaseAt(std::size_t aNode);
  void Dispatch(std::size_t aTarget, std::size_t aRoute);
  void Start(std::size_t aTarget, std::size_t aRoute);
  void Finish(const Completion& aCompletion);
  bool IsHit(const Target& aTarget, std::size_t aRoute);
  double DrawRunMs(const Target& aTarget, std::size_t aRoute);
  bool InTrouble(Trouble aTrouble) const;
  void Report();
  void Decide();
  void SetPhase(RolloutPhase aPhase);
};

Player::Player(const Play& aPlay)
  : m_play(aPlay)
  , m_random{ aPlay.m_seed * 7919 + 13 }
{
  m_perSecond = aPlay.m_requestsPerSecond.value_or(Between(100, 900));
  const bool slow = aPlay.m_fault == Fault::Slow;
  m_faultShare = aPlay.m_faultShare.value_or(Between(slow ? 0.3 : 0.05, 0.5));
  m_rollout.m_service = "cart";
  m_rollout.m_version = "v2";
  m_rollout.m_established = "v1";
  m_rollout.m_order = { .m_era = 1, .m_offset = aPlay.m_seed };
  m_rollout.m_durationMs =
    aPlay.m_durationMs.value_or(static_cast<Milliseconds>(Between(10'000, 20'000)));
  m_rollout.m_deadline = kOrderedAt + m_rollout.m_durationMs;
  m_rollout.m_learnedAt = kOrderedAt;
  m_faultFromMs =
    aPlay.m_fault == Fault::LateErrors ? static_cast<Milliseconds>(Between(2'000, 4'000)) : 0;
  m_troubleFromMs = static_cast<Milliseconds>(Between(500, 6'000));
  m_troubleUntilMs = m_troubleFromMs + static_cast<Milliseconds>(Between(1'000, 4'000));
  m_baseErrors = Between(0, 0.005);
  MakeRoutes();
  MakeTargets();
  m_nodes.resize(static_cast<std::size_t>(aPlay.m_nodes));
  m_outcome.m_durationMs = m_rollout.m_durationMs;
  m_outcome.m_sizes =
    fmt::format("seed={} rate={:.0f} routes={} old={} slots={} duration={} share={:.2f}",
                aPlay.m_seed,
                m_perSecond,
                m_routes.size(),
                m_old.size(),
                m_slots,
                m_rollout.m_durationMs,
                m_faultShare);
}

void
Player::MakeRoutes()
{
  const int minimum = m_play.m_fault == Fault::ErrorsOnOneRoute ? 2 : 1;
  const int routes =
    m_play.m_routes.value_or(minimum + static_cast<int>(m_random.Below(5 - minimum)));
  double total = 0;
  for (int route = 0; route < routes; ++route) {
    m_routes.push_back("route-" + std::to_string(route));
    m_weights.push_back(Between(0.4, 1));
    m_runMs.push_back(20 * std::pow(25, m_random.Unit())); // 20 to 500 ms.
    total += m_weights.back();
  }
  for (double& weight : m_weights) {
    weight /= total;
  }
  m_timeoutMs = kTimeoutMs;
}

void
Player::MakeTargets()
{
  const int count = m_play.m_oldTargets.value_or(6 + static_cast<int>(m_random.Below(41)));
  double meanRunMs = 0;
  for (std::size_t route = 0; route < m_routes.size(); ++route) {
    meanRunMs += m_weights[route] * m_runMs[route] * 1.2;
  }
  const double busy = m_perSecond * meanRunMs / kMsPerSecond;
  m_slots = std::max(2, static_cast<int>(std::ceil(busy / count / kTargetLoad)));
  for (int index = 0; index < 2 * count; ++index) {
    Target target;
    target.m_new = index >= count;
    target.m_version = target.m_new ? "v2" : "v1";
    target.m_node = target.m_version + "-" + std::to_string(index);
    m_candidates.push_back({ .m_node = target.m_node, .m_version = target.m_version });
    (target.m_new ? m_new : m_old).push_back(m_targets.size());
    if (!target.m_new) {
      m_oldNames.push_back(target.m_node);
    }
    m_targets.push_back(std::move(target));
  }
  SplitTargets();
}

void
Player::SplitTargets()
{
  const VersionedCandidates split = SplitByVersion(m_candidates, &m_rollout, m_history, 0.1, m_now);
  m_reviewAt = split.m_reviewAt;
  m_trial.clear();
  for (const routing::Candidate& candidate : split.m_trial) {
    for (const std::size_t target : m_new) {
      if (m_targets[target].m_node == candidate.m_node) {
        m_trial.push_back(target);
      }
    }
  }
  if (!m_badHost && !m_trial.empty()) {
    m_badHost = m_trial.front();
  }
}

bool
Player::Hears(std::size_t aNode) const
{
  return static_cast<double>(aNode) >= m_play.m_deafNodes * static_cast<double>(m_nodes.size());
}

RolloutPhase
Player::PhaseAt(std::size_t aNode)
{
  if (!Hears(aNode)) {
    return RolloutPhase::Trial;
  }
  if (m_now < m_phaseSpreadAt) { // The flood is on its way.
    const bool reached = static_cast<double>(m_phaseSpreadAt - m_now) <
                         static_cast<double>(kFloodMs) * m_random.Unit();
    return reached ? m_rollout.m_phase : m_phaseBefore;
  }
  return m_rollout.m_phase;
}

bool
Player::InTrouble(Trouble aTrouble) const
{
  return m_play.m_trouble == aTrouble && Elapsed() >= m_troubleFromMs &&
         Elapsed() < m_troubleUntilMs;
}

bool
Player::IsHit(const Target& aTarget, std::size_t aRoute)
{
  if (!aTarget.m_new || m_play.m_fault == Fault::None || Elapsed() < m_faultFromMs) {
    return false;
  }
  if (m_play.m_fault == Fault::ErrorsOnOneRoute && aRoute != 0) {
    return false;
  }
  if (m_play.m_fault == Fault::ErrorsUnderLoad &&
      aTarget.m_running < kBusySlots * static_cast<double>(m_slots)) {
    return false;
  }
  return m_random.Unit() < m_faultShare;
}

double
Player::DrawRunMs(const Target& aTarget, std::size_t aRoute)
{
  const double normal = std::sqrt(-2 * std::log(1 - m_random.Unit())) *
                        std::cos(2 * 3.14159265358979 * m_random.Unit());
  double runMs = m_runMs[aRoute] * std::exp(kRunSigma * normal);
  if (m_random.Unit() < kTailShare) {
    runMs *= kTailFactor;
  }
  if (aTarget.m_new && Elapsed() < kColdMs) {
    runMs *= 2 - static_cast<double>(Elapsed()) / kColdMs;
  }
  return InTrouble(Trouble::Slow) ? runMs * kSlowFactor : runMs;
}

void
Player::Start(std::size_t aTarget, std::size_t aRoute)
{
  Target& target = m_targets[aTarget];
  ++target.m_running;
  const bool hit = IsHit(target, aRoute);
  const bool slow = hit && m_play.m_fault == Fault::Slow;
  Completion completion{ .m_target = aTarget, .m_route = aRoute, .m_bad = hit };
  completion.m_failed = (hit && !slow) || m_random.Unit() < m_baseErrors ||
                        (InTrouble(Trouble::Errors) && m_random.Unit() < kTroubleErrors) ||
                        (m_play.m_badHost && aTarget == *m_badHost && m_random.Unit() < 0.5);
  completion.m_runMs = DrawRunMs(target, aRoute) * (slow ? kSlowFactor : 1);
  if (completion.m_runMs > static_cast<double>(m_timeoutMs)) {
    completion.m_runMs = static_cast<double>(m_timeoutMs);
    completion.m_failed = true;
  }
  completion.m_at = m_now + static_cast<Milliseconds>(completion.m_runMs);
  m_completions.push(completion);
}

void
Player::Dispatch(std::size_t aTarget, std::size_t aRoute)
{
  Target& target = m_targets[aTarget];
  if (target.m_running < m_slots) {
    Start(aTarget, aRoute);
  } else if (target.m_waiting.size() < static_cast<std::size_t>(m_slots) / 2) {
    target.m_waiting.push_back(aRoute);
  }
}

void
Player::Finish(const Completion& aCompletion)
{
  Target& target = m_targets[aCompletion.m_target];
  --target.m_running;
  RecordAnswer(target.m_evidence,
               m_rollout,
               target.m_version,
               m_routes[aCompletion.m_route],
               aCompletion.m_failed,
               aCompletion.m_runMs);
  if (aCompletion.m_bad) {
    ++m_outcome.m_bad;
    if (m_outcome.m_bad == 20) {
      m_outcome.m_twentiethBadMs = Elapsed();
    } else if (m_outcome.m_bad == 50) {
      m_outcome.m_fiftiethBadMs = Elapsed();
    }
  }
  if (!target.m_waiting.empty()) {
    const std::size_t route = target.m_waiting.front();
    target.m_waiting.pop_front();
    Start(aCompletion.m_target, route);
  }
}

void
Player::Send(std::size_t aNode)
{
  double drawn = m_random.Unit();
  std::size_t route = 0;
  while (route + 1 < m_routes.size() && drawn >= m_weights[route]) {
    drawn -= m_weights[route++];
  }
  Rollout seen = m_rollout;
  seen.m_phase = PhaseAt(aNode);
  const bool tried = ShouldTry(m_nodes[aNode], seen, m_routes[route], m_now, m_random);
  const bool toNew =
    tried || seen.m_phase == RolloutPhase::Shifting || seen.m_phase == RolloutPhase::Completed;
  const auto& targets = tried ? m_trial : toNew ? m_new : m_old;
  // The less loaded one of two.
  std::size_t target = targets[m_random.Below(targets.size())];
  const std::size_t other = targets[m_random.Below(targets.size())];
  if (m_targets[other].m_running < m_targets[target].m_running) {
    target = other;
  }
  ++m_outcome.m_requests;
  m_outcome.m_toNew += toNew ? 1 : 0;
  m_outcome.m_mostBeyondShare = std::max(m_outcome.m_mostBeyondShare,
                                         static_cast<double>(m_outcome.m_toNew) -
                                           0.1 * static_cast<double>(m_outcome.m_requests));
  Dispatch(target, route);
}

void
Player::Arrive()
{
  // Poisson arrivals.
  double left = m_perSecond * kStepMs / kMsPerSecond;
  for (left += std::log(1 - m_random.Unit()); left > 0; left += std::log(1 - m_random.Unit())) {
    Send(m_random.Below(m_nodes.size()));
  }
}

void
Player::Report()
{
  for (Target& target : m_targets) {
    const auto outstanding = static_cast<std::uint32_t>(target.m_running + target.m_waiting.size());
    auto message =
      TakeDueEvidence(target.m_evidence, m_rollout, target.m_version, outstanding, m_now);
    if (!message || m_random.Unit() < m_play.m_evidenceLoss) {
      continue;
    }
    message->node = target.m_node;
    message->incarnation = 1;
    m_messages.push({ .m_at = m_now + m_play.m_evidenceDelayMs,
                      .m_evidence = std::make_shared<wire::RolloutEvidenceT>(*message) });
  }
  while (!m_messages.empty() && m_messages.top().m_at <= m_now) {
    AddEvidence(m_judge, m_rollout, *m_messages.top().m_evidence, m_now);
    m_messages.pop();
  }
}

void
Player::SetPhase(RolloutPhase aPhase)
{
  m_phaseBefore = m_rollout.m_phase;
  m_rollout.m_phase = aPhase;
  m_phaseSpreadAt = m_now + kFloodMs;
  m_outcome.m_phase = aPhase;
  if (aPhase == RolloutPhase::Shifting) {
    m_outcome.m_shiftedAtMs = Elapsed();
  } else {
    m_outcome.m_endedAtMs = Elapsed();
  }
}

void
Player::Decide()
{
  const RolloutPlan plan = MakePlan(m_rollout, m_timeoutMs);
  const Judgement judgement = rollout::Decide(m_judge, m_rollout, plan, m_oldNames, m_now);
  if (!judgement.m_reason.empty()) {
    m_outcome.m_reason = judgement.m_reason;
  }
  switch (judgement.m_verdict) {
    case Verdict::Continue:
      break;
    case Verdict::Shift:
      SetPhase(RolloutPhase::Shifting);
      break;
    case Verdict::RollBack:
      SetPhase(RolloutPhase::RolledBack);
      break;
    case Verdict::Complete:
      for (const std::size_t target : m_old) {
        m_outcome.m_atOldWhenCompleted += m_targets[target].m_running;
      }
      SetPhase(RolloutPhase::Completed);
      break;
  }
}

Outcome
Player::Run()
{
  const Instant end = m_rollout.m_deadline;
  for (; m_now < end; m_now = m_now + kStepMs) {
    while (!m_completions.empty() && m_completions.top().m_at <= m_now) {
      const Completion completion = m_completions.top();
      m_completions.pop();
      Finish(completion);
    }
    if (m_reviewAt && m_now >= *m_reviewAt && m_rollout.m_phase == RolloutPhase::Trial) {
      SplitTargets();
    }
    Arrive();
    Report();
    if (!IsFinal(m_rollout.m_phase) && Elapsed() % kJudgeEveryMs == 0) {
      Decide();
    }
    if (IsFinal(m_rollout.m_phase) && m_play.m_deafNodes == 0) {
      break;
    }
  }
  m_outcome.m_beyondShare = static_cast<double>(m_outcome.m_toNew) -
                            0.1 * (static_cast<double>(m_outcome.m_requests) +
                                   m_perSecond * static_cast<double>(end - m_now) / kMsPerSecond);
  return m_outcome;
}

} // namespace

Outcome
PlayRollout(const Play& aPlay)
{
  return Player(aPlay).Run();
}

} // namespace sequoiastep::rollout
