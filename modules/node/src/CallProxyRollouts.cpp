// Requests that try a new version of their service.
#include "CallProxy.h"

#include <utility>

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

// Makes the first attempt of a trial. If no target can take it, or the trial ended meanwhile, the
// call goes to a regular target, as all later attempts do.
CallAttemptPtr
CallProxy::PlaceTrial(const RoutingView& aView, const CallJob& aJob, CallAttempts& aAttempts)
{
  if (!aAttempts.m_trial) {
    return nullptr;
  }
  const rollout::Rollout trial = *std::exchange(aAttempts.m_trial, std::nullopt);
  const auto service = aView.m_rollouts.find(aJob.m_call.service);
  const bool current = service != aView.m_rollouts.end() &&
                       service->second.m_rollout.m_order == trial.m_order &&
                       service->second.m_rollout.m_phase == rollout::RolloutPhase::Trial;
  CallAttemptPtr attempt;
  if (current) {
    attempt = PlaceAmong(service->second.m_trial, aJob, aAttempts);
  }
  if (attempt) {
    attempt->m_trial = trial;
  } else {
    m_rolloutCalls->RefundTrial(trial, aJob.m_call.route);
  }
  return attempt;
}

} // namespace sequoiastep::node
