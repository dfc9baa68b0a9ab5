#include "LoadPlay.h"

#include "AdmissionQueue.h"
#include "Placement.h"
#include "Retry.h"
#include "RouteAverages.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>
#include <string>
#include <tuple>

namespace sequoiastep::routing {

namespace {

constexpr Milliseconds kStartMs = 1'000'000;
constexpr double kUsPerMs = 1000;
constexpr double kMsPerSecond = 1000;
// How often a node sheds requests that wait too long.
constexpr double kTickMs = 20;
// After this time nodes know that a target is gone.
constexpr double kDetectMs = 1000;
constexpr double kHalf = 0.5;
constexpr std::size_t kEveryThird = 3;

enum class EventKind
{
  Arrive,
  Reach,
  RunEnd,
  Return,
  Tick,
  Sample,
};

struct Event
{
  double m_atMs = 0;
  std::uint64_t m_order = 0;
  EventKind m_kind = EventKind::Arrive;
  std::size_t m_call = 0;
  std::size_t m_target = 0;

  bool operator>(const Event& aOther) const
  {
    return std::tie(m_atMs, m_order) > std::tie(aOther.m_atMs, aOther.m_order);
  }
};

struct PlayedCall
{
  std::size_t m_node = 0;
  std::size_t m_target = 0;
  std::size_t m_route = 0;
  double m_arrivedMs = 0;
  double m_sentMs = 0;
  double m_reachedMs = 0;
  double m_startedMs = 0;
  double m_endedMs = 0;
  Milliseconds m_maxWaitMs = 0;
  Placement m_placement;
  RetryContext m_retry;
  LoadReport m_report;
  bool m_counted = false;
};

struct NearNode
{
  std::string m_name;
  std::string m_region;
  std::string m_domain;
  PickState m_state;
  RouteAverages m_runUs;
  RetryBudget m_budget;
};

struct PlayedTarget
{
  AdmissionQueue m_queue;
  RouteAverages m_runUs;
  double m_speed = 1;
  bool m_up = true;
  double m_coldFromMs = -1;
  // Calls on the way to it.
  std::uint32_t m_coming = 0;
};

Instant
At(double aMs)
{
  return Instant{ kStartMs + static_cast<Milliseconds>(aMs) };
}

class Play
{
public:
  explicit Play(const PlaySettings& aSettings)
    : m_settings(aSettings)
    , m_random{ aSettings.m_seed }
  {
    for (std::size_t i = 0; i < aSettings.m_nodes; ++i) {
      const std::size_t region = i % aSettings.m_regions;
      const std::size_t domain = i / aSettings.m_regions % aSettings.m_domainsPerRegion;
      NearNode node{ .m_name = "node-" + std::to_string(i), .m_region = std::to_string(region) };
      node.m_domain = node.m_region + "-" + std::to_string(domain);
      m_nodes.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < aSettings.m_targets; ++i) {
      AddTarget(m_nodes[i]);
    }
    const double meanRunMs =
      std::accumulate(aSettings.m_routeRunMs.begin(), aSettings.m_routeRunMs.end(), 0.0) /
      static_cast<double>(aSettings.m_routeRunMs.size());
    for (const PlayedTarget& target : m_targets) {
      m_capacityPerMs += target.m_speed * aSettings.m_slots / meanRunMs;
    }
  }

  PlayResult Run()
  {
    Schedule(NextGapMs(0), EventKind::Arrive, 0, 0);
    Schedule(0, EventKind::Tick, 0, 0);
    Schedule(0, EventKind::Sample, 0, 0);
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      Handle(event);
    }
    return Finished();
  }

private:
  void AddTarget(const NearNode& aNode)
  {
    PlayedTarget target;
    const double span = m_settings.m_maxSpeed - m_settings.m_minSpeed;
    target.m_speed = m_settings.m_minSpeed + span * m_random.Unit();
    target.m_queue.m_options = { .m_slots = m_settings.m_slots,
                                 .m_queue = m_settings.m_queue,
                                 .m_queueMs = m_settings.m_queueMs };
    m_targets.push_back(std::move(target));
    m_candidates.push_back({ .m_node = aNode.m_name,
                             .m_region = aNode.m_region,
                             .m_failureDomain = aNode.m_domain,
                             .m_slots = static_cast<std::uint16_t>(m_settings.m_slots),
                             .m_warmUpMs = m_settings.m_warmUpMs });
    m_candidateTargets.push_back(m_targets.size() - 1);
  }

  void Schedule(double aAtMs, EventKind aKind, std::size_t aCall, std::size_t aTarget)
  {
    m_events.push({ .m_atMs = aAtMs,
                    .m_order = ++m_eventCount,
                    .m_kind = aKind,
                    .m_call = aCall,
                    .m_target = aTarget });
  }

  double NextGapMs(double aNowMs)
  {
    const bool inBurst = aNowMs >= m_settings.m_burstFromMs && aNowMs < m_settings.m_burstToMs;
    const double load = m_settings.m_load * (inBurst ? m_settings.m_burst : 1);
    return -std::log(1 - m_random.Unit()) / (m_capacityPerMs * load);
  }

  double WayMs(std::size_t aNode, std::size_t aTarget) const
  {
    if (aNode == aTarget) {
      return 0;
    }
    return m_nodes[aNode].m_region == m_nodes[aTarget].m_region ? m_settings.m_regionLinkMs
                                                                : m_settings.m_crossLinkMs;
  }

  void Handle(const Event& aEvent)
  {
    switch (aEvent.m_kind) {
      case EventKind::Arrive:
        Arrive(aEvent.m_atMs);
        break;
      case EventKind::Reach:
        Reach(aEvent.m_call, aEvent.m_atMs);
        break;
      case EventKind::RunEnd:
        EndRun(aEvent.m_call, aEvent.m_target, aEvent.m_atMs);
        break;
      case EventKind::Return:
        Return(aEvent.m_call, aEvent.m_atMs);
        break;
      case EventKind::Tick:
        Tick(aEvent.m_atMs);
        break;
      case EventKind::Sample:
        Sample(aEvent.m_atMs);
        break;
    }
  }

  std::size_t DrawNode()
  {
    if (m_settings.m_regionShares.empty()) {
      return m_random.Below(m_nodes.size());
    }
    double drawn = m_random.Unit();
    std::size_t region = 0;
    while (region + 1 < m_settings.m_regions && drawn >= m_settings.m_regionShares[region]) {
      drawn -= m_settings.m_regionShares[region];
      ++region;
    }
    const std::size_t perRegion = m_nodes.size() / m_settings.m_regions;
    return region + m_settings.m_regions * m_random.Below(perRegion);
  }

  void Arrive(double aNowMs)
  {
    PlayedCall call{ .m_node = DrawNode(),
                     .m_route = m_random.Below(m_settings.m_routeRunMs.size()),
                     .m_arrivedMs = aNowMs,
                     .m_counted = aNowMs >= m_settings.m_countFromMs };
    call.m_retry.m_handovers = 0;
    m_calls.push_back(std::move(call));
    m_counter.m_result.m_requests += m_calls.back().m_counted ? 1 : 0;
    RecordRequest(m_nodes[m_calls.back().m_node].m_budget, At(aNowMs));
    Send(m_calls.size() - 1, aNowMs);
    const double nextMs = aNowMs + NextGapMs(aNowMs);
    if (nextMs < m_settings.m_durationMs) {
      Schedule(nextMs, EventKind::Arrive, 0, 0);
    }
  }

  std::string RouteOf(const PlayedCall& aCall) const { return std::to_string(aCall.m_route); }

  double DeadlineMs(const PlayedCall& aCall) const
  {
    return aCall.m_arrivedMs + m_settings.m_deadlineRuns * m_settings.m_routeRunMs[aCall.m_route];
  }

  double ObjectiveMs(const PlayedCall& aCall) const
  {
    return aCall.m_arrivedMs + m_settings.m_objectiveRuns * m_settings.m_routeRunMs[aCall.m_route];
  }

  // Writes the true load of all targets into a node's view.
  void ShowTrueLoads(NearNode& aNode, double aNowMs)
  {
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
      const PlayedTarget& target = m_targets[m_candidateTargets[i]];
      TargetStats& stats = aNode.m_state.m_targets[m_candidates[i].m_node];
      stats.m_reportedLoad = LoadOf(target) + target.m_coming;
      stats.m_reportedAt = At(aNowMs);
      stats.m_outstandingAtReport = stats.m_outstanding;
      stats.m_serviceUs = target.m_queue.m_serviceUs;
    }
  }

  void Send(std::size_t aCall, double aNowMs)
  {
    PlayedCall& call = m_calls[aCall];
    NearNode& node = m_nodes[call.m_node];
    if (m_settings.m_trueLoads) {
      ShowTrueLoads(node, aNowMs);
    }
    const PickRequest request{ .m_region = node.m_region,
                               .m_failureDomain = node.m_domain,
                               .m_kilobytes = m_settings.m_kilobytes,
                               .m_routeAverageUs =
                                 AverageOf(node.m_runUs, RouteOf(call)).value_or(0),
                               .m_objectiveMs =
                                 static_cast<Milliseconds>(ObjectiveMs(call) - aNowMs) };
    const auto placed =
      Place(call.m_placement, m_candidates, node.m_state, request, At(aNowMs), m_random);
    if (!placed) {
      End(call, false, aNowMs);
      return;
    }
    call.m_target = m_candidateTargets[placed->m_index];
    call.m_maxWaitMs = placed->m_maxWaitMs;
    call.m_sentMs = aNowMs;
    ++call.m_retry.m_handovers;
    CountHandover(call, node, m_candidates[placed->m_index], aNowMs);
    RecordDispatch(node.m_state, m_candidates[placed->m_index].m_node);
    ++m_targets[call.m_target].m_coming;
    const double wayMs = WayMs(call.m_node, call.m_target);
    Schedule(aNowMs + wayMs, EventKind::Reach, aCall, call.m_target);
  }

  void CountHandover(const PlayedCall& aCall,
                     const NearNode& aNode,
                     const Candidate& aTarget,
                     double aNowMs)
  {
    if (!aCall.m_counted) {
      return;
    }
    ++m_counter.m_result.m_handovers;
    CountBytes(aCall);
    const TargetStats* stats = FindStats(aNode.m_state, aTarget.m_node);
    if (stats != nullptr && stats->m_reportedAt > Instant{}) {
      m_counter.m_reportAgesMs.push_back(static_cast<double>(At(aNowMs) - stats->m_reportedAt));
    }
  }

  static std::uint32_t LoadOf(const PlayedTarget& aTarget)
  {
    return aTarget.m_queue.m_running + static_cast<std::uint32_t>(aTarget.m_queue.m_waiting.size());
  }

  void Reach(std::size_t aCall, double aNowMs)
  {
    PlayedCall& call = m_calls[aCall];
    PlayedTarget& target = m_targets[call.m_target];
    --target.m_coming;
    call.m_reachedMs = aNowMs;
    if (!target.m_up) {
      Answer(aCall, AttemptOutcome::NotRun, aNowMs);
      return;
    }
    const AdmissionRequest request{ .m_id = aCall,
                                    .m_caller = m_nodes[call.m_node].m_name,
                                    .m_serviceUs =
                                      AverageOf(target.m_runUs, RouteOf(call)).value_or(0),
                                    .m_deadline = At(DeadlineMs(call)),
                                    .m_objective = At(ObjectiveMs(call)),
                                    .m_maxWaitMs = call.m_maxWaitMs };
    switch (Offer(target.m_queue, request, At(aNowMs)).m_admission) {
      case Admission::Run:
        Start(aCall, aNowMs);
        break;
      case Admission::Shed:
        Answer(aCall, AttemptOutcome::Overloaded, aNowMs);
        break;
      case Admission::Wait:
        break;
    }
  }

  double SpeedNow(const PlayedTarget& aTarget, double aNowMs) const
  {
    if (aTarget.m_coldFromMs < 0) {
      return aTarget.m_speed;
    }
    const double warmShare = (aNowMs - aTarget.m_coldFromMs) / m_settings.m_warmUpMs;
    return aTarget.m_speed * std::clamp(kHalf + kHalf * warmShare, kHalf, 1.0);
  }

  void Start(std::size_t aCall, double aNowMs)
  {
    PlayedCall& call = m_calls[aCall];
    call.m_startedMs = aNowMs;
    const double runMs = m_settings.m_routeRunMs[call.m_route] * (kHalf + m_random.Unit()) /
                         SpeedNow(m_targets[call.m_target], aNowMs);
    Schedule(aNowMs + runMs, EventKind::RunEnd, aCall, call.m_target);
  }

  void Apply(const QueueDecision& aDecision, double aNowMs)
  {
    for (const std::uint64_t id : aDecision.m_shed) {
      Answer(id, AttemptOutcome::Overloaded, aNowMs);
    }
    for (const std::uint64_t id : aDecision.m_run) {
      Start(id, aNowMs);
    }
  }

  void EndRun(std::size_t aCall, std::size_t aTarget, double aNowMs)
  {
    PlayedCall& call = m_calls[aCall];
    PlayedTarget& target = m_targets[aTarget];
    if (!target.m_up) {
      return;
    }
    call.m_endedMs = aNowMs;
    const double ranUs = (aNowMs - call.m_startedMs) * kUsPerMs;
    AddSample(target.m_runUs, RouteOf(call), ranUs);
    Apply(Finish(target.m_queue, At(aNowMs), static_cast<std::int64_t>(ranUs)), aNowMs);
    Answer(aCall, AttemptOutcome::Done, aNowMs);
  }

  // Sends the answer back with the target's load.
  void Answer(std::size_t aCall, AttemptOutcome aOutcome, double aNowMs)
  {
    PlayedCall& call = m_calls[aCall];
    const PlayedTarget& target = m_targets[call.m_target];
    call.m_retry.m_outcome = aOutcome;
    call.m_report = { .m_load = LoadOf(target),
                      .m_serviceUs = static_cast<std::uint32_t>(target.m_queue.m_serviceUs) };
    const double wayMs = WayMs(call.m_node, call.m_target);
    Schedule(aNowMs + wayMs, EventKind::Return, aCall, call.m_target);
  }

  void Return(std::size_t aCall, double aNowMs)
  {
    PlayedCall& call = m_calls[aCall];
    NearNode& node = m_nodes[call.m_node];
    const std::string& targetNode = m_nodes[call.m_target].m_name;
    switch (call.m_retry.m_outcome) {
      case AttemptOutcome::Done:
        RecordDone(call, node, targetNode, aNowMs);
        End(call, true, aNowMs);
        return;
      case AttemptOutcome::Overloaded:
        m_counter.m_result.m_refusedHandovers += call.m_counted ? 1 : 0;
        RecordOverload(node.m_state, targetNode, call.m_report, At(aNowMs), m_random);
        call.m_placement.m_fullNodes.insert(targetNode);
        break;
      default:
        RecordFailure(node.m_state, targetNode, At(aNowMs), m_random);
        call.m_placement.m_excludedNodes.insert(targetNode);
        break;
    }
    call.m_retry.m_leftMs = static_cast<Milliseconds>(DeadlineMs(call) - aNowMs);
    const bool full =
      call.m_retry.m_outcome == AttemptOutcome::Overloaded && call.m_placement.m_anyWait;
    if (full || IsStop(DecideRetry(node.m_budget, call.m_retry, At(aNowMs)))) {
      End(call, false, aNowMs);
      return;
    }
    Send(aCall, aNowMs);
  }

  void RecordDone(const PlayedCall& aCall,
                  NearNode& aNode,
                  const std::string& aTarget,
                  double aNowMs)
  {
    const double ranUs = (aCall.m_endedMs - aCall.m_startedMs) * kUsPerMs;
    const AnswerTimes times{
      .m_latencyUs = static_cast<std::int64_t>((aNowMs - aCall.m_sentMs) * kUsPerMs),
      .m_heldUs = static_cast<std::int64_t>((aCall.m_endedMs - aCall.m_reachedMs) * kUsPerMs),
      .m_ranUs = static_cast<std::int64_t>(ranUs),
      .m_routeAverageUs = AverageOf(aNode.m_runUs, RouteOf(aCall)).value_or(0)
    };
    AddSample(aNode.m_runUs, RouteOf(aCall), ranUs);
    RecordAnswer(aNode.m_state, aTarget, times, aCall.m_report, At(aNowMs));
  }

  void End(const PlayedCall& aCall, bool aAnswered, double aNowMs)
  {
    if (!aCall.m_counted) {
      return;
    }
    if (!aAnswered || aNowMs > DeadlineMs(aCall)) {
      ++m_counter.m_result.m_failed;
      return;
    }
    ++m_counter.m_result.m_answered;
    m_counter.m_result.m_inTime += aNowMs <= ObjectiveMs(aCall) ? 1 : 0;
    m_counter.m_waitsMs.push_back(aCall.m_startedMs - aCall.m_arrivedMs -
                                  WayMs(aCall.m_node, aCall.m_target));
    m_counter.m_result.m_ownDomain +=
      m_nodes[aCall.m_node].m_domain == m_nodes[aCall.m_target].m_domain;
    CountBytes(aCall);
  }

  // Counts a request or an answer on its way.
  void CountBytes(const PlayedCall& aCall)
  {
    const NearNode& near = m_nodes[aCall.m_node];
    const NearNode& far = m_nodes[aCall.m_target];
    if (near.m_region != far.m_region) {
      m_counter.m_result.m_crossRegionKb += kHalf * m_settings.m_kilobytes;
    } else if (near.m_domain != far.m_domain) {
      m_counter.m_result.m_crossDomainKb += kHalf * m_settings.m_kilobytes;
    }
  }

  void Tick(double aNowMs)
  {
    ApplyEvents(aNowMs);
    for (PlayedTarget& target : m_targets) {
      if (target.m_up && !target.m_queue.m_waiting.empty()) {
        Apply(ProcessQueue(target.m_queue, At(aNowMs)), aNowMs);
      }
    }
    if (aNowMs < m_settings.m_durationMs) {
      Schedule(aNowMs + kTickMs, EventKind::Tick, 0, 0);
    }
  }

  static bool IsDue(double aAtMs, double aNowMs)
  {
    return aAtMs > 0 && aNowMs >= aAtMs && aNowMs < aAtMs + kTickMs;
  }

  void ApplyEvents(double aNowMs)
  {
    if (IsDue(m_settings.m_goneAtMs, aNowMs)) {
      for (std::size_t i = 0; i < m_targets.size(); i += kEveryThird) {
        m_targets[i].m_up = false;
      }
    }
    if (m_settings.m_goneAtMs > 0 && IsDue(m_settings.m_goneAtMs + kDetectMs, aNowMs)) {
      DropGone();
    }
    if (IsDue(m_settings.m_coldAtMs, aNowMs)) {
      for (std::size_t i = 0; i < m_targets.size(); i += kEveryThird) {
        m_targets[i].m_coldFromMs = aNowMs;
        m_candidates[i].m_upSince = At(aNowMs);
        for (NearNode& node : m_nodes) {
          node.m_state.m_targets.erase(m_candidates[i].m_node);
        }
      }
    }
  }

  void DropGone()
  {
    std::vector<Candidate> candidates;
    std::vector<std::size_t> targets;
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
      if (m_targets[m_candidateTargets[i]].m_up) {
        candidates.push_back(m_candidates[i]);
        targets.push_back(m_candidateTargets[i]);
      }
    }
    m_candidates = std::move(candidates);
    m_candidateTargets = std::move(targets);
  }

  void Sample(double aNowMs)
  {
    if (aNowMs >= m_settings.m_countFromMs && aNowMs < m_settings.m_durationMs) {
      std::vector<TargetSample> samples;
      for (const PlayedTarget& target : m_targets) {
        samples.push_back(
          { .m_up = target.m_up,
            .m_running = target.m_queue.m_running,
            .m_waiting = static_cast<std::uint32_t>(target.m_queue.m_waiting.size()) });
      }
      AddSample(m_counter, samples, m_settings.m_slots);
    }
    if (aNowMs < m_settings.m_durationMs) {
      Schedule(aNowMs + kSampleMs, EventKind::Sample, 0, 0);
    }
  }

  PlayResult Finished()
  {
    PlayResult& result = m_counter.m_result;
    result.m_capacityPerSecond = m_capacityPerMs * kMsPerSecond;
    result.m_countedSeconds = (m_settings.m_durationMs - m_settings.m_countFromMs) / kMsPerSecond;
    return ResultOf(m_counter);
  }

  const PlaySettings m_settings;
  Random m_random;
  std::vector<NearNode> m_nodes;
  std::vector<PlayedTarget> m_targets;
  std::vector<Candidate> m_candidates;
  // Target of each candidate.
  std::vector<std::size_t> m_candidateTargets;
  std::vector<PlayedCall> m_calls;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_eventCount = 0;
  double m_capacityPerMs = 0;
  PlayCounter m_counter;
};

} // namespace

PlayResult
PlayLoad(const PlaySettings& aSettings)
{
  return Play(aSettings).Run();
}

} // namespace sequoiastep::routing
