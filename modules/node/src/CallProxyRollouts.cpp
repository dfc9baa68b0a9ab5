// Requests that try a new version of their service.
#include "CallProxy.h"

namespace sequoiastep::node {

namespace asio = net::asio;

void
CallProxy::MakeRolloutCalls()
{
  m_rolloutCalls = std::make_unique<RolloutCalls>(
    *m_settings.m_rollouts,
    m_identity,
    m_shared,
    RolloutCalls::Hooks{
      .m_send =
        [this](
          const std::string& aNode, const NodeAddress& aAddress, wire::RolloutEvidenceT aEvidence) {
          asio::co_spawn(
            m_context,
            m_links.Notify(aNode, aAddress.m_address, wire::MakeEnvelope(std::move(aEvidence))),
            asio::detached);
        },
      .m_notifyControl = m_notifyControl });
  m_runner.SetRolloutHooks({ .m_refusalReason =
                               [this](const routing::TargetReport& aTarget) {
                                 return m_rolloutCalls->RefusalReason(aTarget);
                               },
                             .m_answered =
                               [this](const routing::TargetReport& aTarget,
                                      const wire::CallT& aCall,
                                      const wire::AnswerT& aAnswer) {
                                 m_rolloutCalls->RecordTargetAnswer(aTarget, aCall, aAnswer);
                               } });
}

void
CallProxy::BeginTrial(const CallJob& aJob, CallAttempts& aAttempts)
{
  const auto view = m_shared.m_view.load();
  if (const ServiceRollout* service = m_rolloutCalls->TakeTrial(*view, aJob, m_random)) {
    aAttempts.m_trial = service->m_rollout;
  }
}

// Picks the target of a first attempt on trial. If no target can take it, or the trial ended
// meanwhile, the call goes to a regular target.
std::optional<routing::Candidate>
CallProxy::PlaceTrial(const RoutingView& aView, CallJob& aJob, CallAttempts& aAttempts)
{
  if (!aAttempts.m_trial) {
    return std::nullopt;
  }
  const auto service = aView.m_rollouts.find(aJob.m_call.service);
  const bool current = service != aView.m_rollouts.end() &&
                       service->second.m_rollout.m_order == aAttempts.m_trial->m_order &&
                       service->second.m_rollout.m_phase == rollout::RolloutPhase::Trial;
  std::optional<routing::Candidate> target;
  if (current) {
    target = PlaceAmong(service->second.m_trial, aJob, aAttempts);
  }
  if (!target) {
    EndTrial(aJob, aAttempts, false);
  }
  return target;
}

// The attempt on trial ended, or no target could be picked for it. Later ones go to regular
// targets.
void
CallProxy::EndTrial(const CallJob& aJob, CallAttempts& aAttempts, bool aArrived)
{
  if (!aArrived) {
    m_rolloutCalls->RefundTrial(*aAttempts.m_trial, aJob.m_call.route);
  }
  aAttempts.m_trial.reset();
}

} // namespace sequoiastep::node
