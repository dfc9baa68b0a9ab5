/// @file
/// Judges the rollouts of the services that this node is a judge of.
#pragma once

#include "Events.h"
#include "Judge.h"
#include "SharedState.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::node {

/// The first judge of a service decides; the second one only while the first one is silent. Used on
/// the calls thread only.
class RolloutJudges
{
public:
  struct Hooks
  {
    /// Sends a message to another node; it may get lost.
    std::function<void(const std::string& aNode, wire::RolloutEvidenceT)> m_send;
    /// Passes an event to the controller.
    std::function<void(distribution::Event)> m_notifyControl;
  };

  RolloutJudges(std::string aNode, SharedState& aShared, Hooks aHooks);

  /// Takes up what a node counted, or the sign of life of another judge, which has no version.
  void Receive(const wire::RolloutEvidenceT& aEvidence, const RoutingView& aView, Instant aNow);
  /// Decides where it is due. Call it every 20 to 100 ms.
  void Review(const std::shared_ptr<const RoutingView>& aView, Instant aNow);
  /// @return the judges of aService, preferred one first.
  const std::vector<std::string>& JudgesOf(const std::shared_ptr<const RoutingView>& aView,
                                           const std::string& aService);
  /// Appends Prometheus text.
  void AppendMetrics(std::string& aText) const;

private:
  /// This node's part in judging one service.
  struct Seat
  {
    rollout::Judge m_judge;
    /// When this node first saw the order.
    Instant m_since;
    Instant m_evidenceAt;
    /// When the first judge last sent anything.
    Instant m_firstHeardAt;
    Instant m_signSentAt;
    Instant m_decidedAt;
    rollout::Verdict m_decided = rollout::Verdict::Continue;
  };

  Seat& SeatOf(const rollout::Rollout& aRollout, Instant aNow);
  void ReviewService(const std::shared_ptr<const RoutingView>& aView,
                     const ServiceRollout& aService,
                     Instant aNow);
  void SendSign(const rollout::Rollout& aRollout,
                Seat& aSeat,
                const std::string& aOther,
                Instant aNow);
  void Announce(const rollout::Rollout& aRollout,
                Seat& aSeat,
                const rollout::Judgement& aJudgement,
                Instant aNow);
  Milliseconds LongestTimeout(std::string_view aService);

  std::string m_node;
  SharedState& m_shared;
  Hooks m_hooks;
  std::map<std::string, Seat, std::less<>> m_seats;
  /// View for which the judges below were computed.
  std::shared_ptr<const RoutingView> m_judgesView;
  std::map<std::string, std::vector<std::string>, std::less<>> m_judges;
  Instant m_reviewedAt;
};

} // namespace sequoiastep::node
