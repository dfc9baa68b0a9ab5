#include "RolloutCalls.h"

#include "Problem.h"

#include <algorithm>
#include <fmt/core.h>

namespace sequoiastep::node {

using rollout::Rollout;
using rollout::RolloutPhase;
using wire::AnswerT;
using wire::CallOutcome;
using wire::CallT;

namespace {

// A target whose version is replaced takes requests for this long after its node learnt of it:
// other nodes may learn a little later, and would find no target at all.
constexpr Milliseconds kReplacedGraceMs = 700;
constexpr std::uint16_t kStatusInternalError = 500;
constexpr std::uint16_t kStatusGatewayTimeout = 504;
constexpr double kMicrosecondsPerMs = 1000;

const Rollout*
FindActive(const RoutingView& aView, std::string_view aService)
{
  const auto found = aView.m_rollouts.find(aService);
  const bool active =
    found != aView.m_rollouts.end() && !rollout::IsFinal(found->second.m_rollout.m_phase);
  return active ? &found->second.m_rollout : nullptr;
}

// A connection that broke and an answer that did not come in time count as errors of the target.
bool
IsFailure(const AnswerT& aAnswer)
{
  return IsServerError(aAnswer) || aAnswer.outcome == CallOutcome::Unknown;
}

bool
MayComeFromNestedCall(const AnswerT& aAnswer)
{
  return aAnswer.outcome == CallOutcome::Done &&
         (aAnswer.status == kStatusInternalError || aAnswer.status == kStatusGatewayTimeout);
}

} // namespace

RolloutCalls::RolloutCalls(const Rollouts& aSettings,
                           const Identity& aIdentity,
                           SharedState& aShared,
                           Hooks aHooks)
  : m_identity(aIdentity)
  , m_shared(aShared)
  , m_hooks(std::move(aHooks))
  , m_judges(aIdentity.m_node,
             aShared,
             { .m_send =
                 [this](const std::string& aNode, wire::RolloutEvidenceT aEvidence) {
                   SendTo(*m_shared.m_view.load(), aNode, std::move(aEvidence));
                 },
               .m_notifyControl = m_hooks.m_notifyControl })
{
  m_exposure.m_share = aSettings.m_share * rollout::kUsedShare;
}

const ServiceRollout*
RolloutCalls::TakeTrial(const RoutingView& aView, const CallJob& aJob, Random& aRandom)
{
  const auto found = aView.m_rollouts.find(aJob.m_call.service);
  if (found == aView.m_rollouts.end() || found->second.m_rollout.m_phase != RolloutPhase::Trial) {
    return nullptr;
  }
  const ServiceRollout& service = found->second;
  const bool tries =
    rollout::ShouldTry(m_exposure, service.m_rollout, aJob.m_call.route, Clock::Now(), aRandom);
  if (tries && service.m_trial.empty()) {
    RefundTrial(service.m_rollout, aJob.m_call.route);
    return nullptr;
  }
  return tries ? &service : nullptr;
}

void
RolloutCalls::RefundTrial(const Rollout& aRollout, std::string_view aRoute)
{
  rollout::RefundTrial(m_exposure, aRollout, aRoute);
}

void
RolloutCalls::RecordCallEnd(const CallJob& aJob, const AnswerT& aAnswer)
{
  const bool failed = aAnswer.outcome != CallOutcome::Done || IsServerError(aAnswer);
  if (!failed || !aJob.m_mayBeNested || aJob.m_call.service == m_targetService) {
    return;
  }
  NestedFailure failure{ .m_at = Clock::Now(), .m_trace = std::nullopt };
  if (aJob.m_tracedByCaller) {
    failure.m_trace = { .m_high = aJob.m_call.trace_high, .m_low = aJob.m_call.trace_low };
  }
  RecordNestedFailure(m_nestedFailures, failure);
}

void
RolloutCalls::RecordTargetAnswer(const routing::TargetReport& aTarget,
                                 const CallT& aCall,
                                 const AnswerT& aAnswer)
{
  const auto view = m_shared.m_view.load();
  const Rollout* rollout = view ? FindActive(*view, aTarget.m_service) : nullptr;
  if (rollout == nullptr || aAnswer.outcome == CallOutcome::NotRun) {
    return;
  }
  const double runMs = aAnswer.ran_us / kMicrosecondsPerMs;
  const Instant start = Clock::Now() + -(static_cast<Milliseconds>(runMs) + 1);
  const TraceId trace{ .m_high = aCall.trace_high, .m_low = aCall.trace_low };
  const bool explained =
    MayComeFromNestedCall(aAnswer) && MayExplain(m_nestedFailures, trace, start);
  if (explained) {
    return;
  }
  rollout::RecordAnswer(
    m_evidence, *rollout, aTarget.m_version, aCall.route, IsFailure(aAnswer), runMs);
}

// Notes when this node learnt that its target's version is replaced.
void
RolloutCalls::ReviewReplaced(const Rollout& aRollout,
                             const routing::TargetReport& aTarget,
                             Instant aNow)
{
  const bool replaced =
    aRollout.m_phase == RolloutPhase::Shifting && aTarget.m_version != aRollout.m_version;
  const bool noted = m_replaced && m_replaced->m_order == aRollout.m_order &&
                     m_replaced->m_id == aTarget.m_id && m_replaced->m_bornMs == aTarget.m_bornMs &&
                     m_replaced->m_version == aTarget.m_version;
  if (replaced && !noted) {
    m_replaced = { .m_order = aRollout.m_order,
                   .m_id = aTarget.m_id,
                   .m_bornMs = aTarget.m_bornMs,
                   .m_version = aTarget.m_version,
                   .m_since = aNow };
  } else if (!noted || aRollout.m_phase == RolloutPhase::RolledBack) {
    m_replaced.reset();
  }
}

// True if the target gets no request any more. It stays so once the rollout is completed, as the
// target is being stopped then; a new target of the same version is another one.
bool
RolloutCalls::IsReplaced(const Rollout& aRollout,
                         const routing::TargetReport& aTarget,
                         Instant aNow) const
{
  return m_replaced && m_replaced->m_order == aRollout.m_order &&
         m_replaced->m_id == aTarget.m_id && m_replaced->m_bornMs == aTarget.m_bornMs &&
         m_replaced->m_version == aTarget.m_version &&
         aRollout.m_phase != RolloutPhase::RolledBack &&
         aNow - m_replaced->m_since >= kReplacedGraceMs;
}

std::string_view
RolloutCalls::RefusalReason(const routing::TargetReport& aTarget)
{
  const auto view = m_shared.m_view.load();
  if (!view) {
    return {};
  }
  const auto found = view->m_rollouts.find(aTarget.m_service);
  if (found == view->m_rollouts.end()) {
    return {};
  }
  const Rollout& rollout = found->second.m_rollout;
  if (rollout.m_phase == RolloutPhase::RolledBack && rollout.m_version == aTarget.m_version) {
    return "the version of the target here was rolled back";
  }
  return IsReplaced(rollout, aTarget, Clock::Now()) ? "the version of the target here is replaced"
                                                    : std::string_view();
}

void
RolloutCalls::SendTo(const RoutingView& aView,
                     const std::string& aNode,
                     wire::RolloutEvidenceT aEvidence)
{
  const auto found = aView.m_nodes.find(aNode);
  if (found != aView.m_nodes.end()) {
    m_hooks.m_send(aNode, found->second, std::move(aEvidence));
  }
}

void
RolloutCalls::Receive(const std::string& aNode, wire::RolloutEvidenceT aEvidence)
{
  aEvidence.node = aNode;
  if (const auto view = m_shared.m_view.load()) {
    m_judges.Receive(aEvidence, *view, Clock::Now());
  }
}

void
RolloutCalls::SendEvidence(const std::shared_ptr<const RoutingView>& aView,
                           const routing::TargetReport& aTarget,
                           std::uint32_t aOutstanding,
                           Instant aNow)
{
  const Rollout* rollout = FindActive(*aView, aTarget.m_service);
  if (rollout == nullptr) {
    return;
  }
  // An old target that may still get requests counts as busy, since some may be on their way to it.
  const bool open = aTarget.m_version != rollout->m_version && !IsReplaced(*rollout, aTarget, aNow);
  const std::uint32_t outstanding = open ? std::max(1U, aOutstanding) : aOutstanding;
  auto evidence =
    rollout::TakeDueEvidence(m_evidence, *rollout, aTarget.m_version, outstanding, aNow);
  if (!evidence) {
    return;
  }
  evidence->node = m_identity.m_node;
  evidence->incarnation = m_identity.m_incarnation;
  for (const std::string& judge : m_judges.JudgesOf(aView, rollout->m_service)) {
    if (judge == m_identity.m_node) {
      m_judges.Receive(*evidence, *aView, aNow);
    } else {
      SendTo(*aView, judge, *evidence);
    }
  }
}

void
RolloutCalls::Tick(const routing::TargetReport* aTarget, std::uint32_t aOutstanding)
{
  const auto view = m_shared.m_view.load();
  if (!view || view->m_rollouts.empty()) {
    return;
  }
  const Instant now = Clock::Now();
  m_targetService = aTarget == nullptr ? std::string() : aTarget->m_service;
  const auto found = view->m_rollouts.find(m_targetService);
  if (aTarget != nullptr && found != view->m_rollouts.end()) {
    ReviewReplaced(found->second.m_rollout, *aTarget, now);
    SendEvidence(view, *aTarget, aOutstanding, now);
  }
  m_judges.Review(view, now);
}

void
RolloutCalls::AppendMetrics(std::string& aText) const
{
  const auto view = m_shared.m_view.load();
  if (!view) {
    return;
  }
  for (const auto& [service, entry] : view->m_rollouts) {
    aText += fmt::format("sequoiastep_rollout_phase{{service=\"{}\",phase=\"{}\"}} 1\n",
                         service,
                         rollout::NameOf(entry.m_rollout.m_phase));
  }
  for (const auto& [service, counts] : m_exposure.m_services) {
    aText += fmt::format(
      "sequoiastep_rollout_requests{{service=\"{}\"}} {}\n", service, counts.m_requests);
    aText += fmt::format(
      "sequoiastep_rollout_trial_attempts{{service=\"{}\"}} {}\n", service, counts.m_trialAttempts);
  }
  m_judges.AppendMetrics(aText);
}

} // namespace sequoiastep::node
