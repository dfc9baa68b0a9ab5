/// @file
/// The call path's part in rollouts: which requests try a new version, what the target beside this
/// node answered, and the judging of it.
#pragma once

#include "CallJob.h"
#include "Evidence.h"
#include "Exposure.h"
#include "NestedFailures.h"
#include "PeerLinks.h"
#include "RolloutJudges.h"
#include "Settings.h"
#include "SharedState.h"
#include "TargetRecord.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep::node {

/// Exists only if the settings have rollouts. Used on the calls thread only.
class RolloutCalls
{
public:
  struct Hooks
  {
    /// Sends a message to another node; it may get lost.
    std::function<void(const std::string& aNode, const NodeAddress&, wire::RolloutEvidenceT)>
      m_send;
    /// Passes an event to the controller.
    std::function<void(distribution::Event)> m_notifyControl;
  };

  RolloutCalls(const Rollouts& aSettings,
               const Identity& aIdentity,
               SharedState& aShared,
               Hooks aHooks);

  /// Counts a request and decides whether its first attempt goes to a target on trial.
  /// @return the rollout of the service if so, else null.
  const ServiceRollout* TakeTrial(const RoutingView& aView, const CallJob& aJob, Random& aRandom);
  /// Takes back a trial attempt that reached no target.
  void RefundTrial(const rollout::Rollout& aRollout, std::string_view aRoute);
  /// Counts a call that a caller of this node made and that has ended: it may be one of the target
  /// beside this node.
  void RecordCallEnd(const CallJob& aJob, const wire::AnswerT& aAnswer);
  /// Counts the end of a request that was sent to the target beside this node.
  void RecordTargetAnswer(const routing::TargetReport& aTarget,
                          const wire::CallT& aCall,
                          const wire::AnswerT& aAnswer);
  /// @return why the target's version may get no request now; empty if it may.
  std::string_view RefusalReason(const routing::TargetReport& aTarget);
  /// Takes up a message of the node aNode.
  void Receive(const std::string& aNode, wire::RolloutEvidenceT aEvidence);
  /// Sends counts and decides where it is due. Call it every 20 to 100 ms.
  /// @param aTarget the target beside this node; null if there is none.
  /// @param aOutstanding requests that run or wait at it.
  void Tick(const routing::TargetReport* aTarget, std::uint32_t aOutstanding);
  /// Appends Prometheus text.
  void AppendMetrics(std::string& aText) const;

private:
  /// A target whose version is replaced, and since when.
  struct ReplacedTarget
  {
    rollout::OrderId m_order;
    std::string m_id;
    std::optional<std::int64_t> m_bornMs;
    std::string m_version;
    Instant m_since;
  };

  void SendTo(const RoutingView& aView, const std::string& aNode, wire::RolloutEvidenceT aEvidence);
  void SendEvidence(const std::shared_ptr<const RoutingView>& aView,
                    const routing::TargetReport& aTarget,
                    std::uint32_t aOutstanding,
                    Instant aNow);
  void ReviewReplaced(const rollout::Rollout& aRollout,
                      const routing::TargetReport& aTarget,
                      Instant aNow);
  bool IsReplaced(const rollout::Rollout& aRollout,
                  const routing::TargetReport& aTarget,
                  Instant aNow) const;

  Identity m_identity;
  SharedState& m_shared;
  Hooks m_hooks;
  RolloutJudges m_judges;
  rollout::Exposure m_exposure;
  rollout::TargetEvidence m_evidence;
  NestedFailures m_nestedFailures;
  /// Service of the target beside this node.
  std::string m_targetService;
  std::optional<ReplacedTarget> m_replaced;
};

} // namespace sequoiastep::node
