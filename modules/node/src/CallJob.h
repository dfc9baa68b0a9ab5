/// @file
/// State of a call that entered the mesh at this node, and of its attempts.
#pragma once

#include "CallProgress.h"
#include "Clock.h"
#include "Documents.h"
#include "Messages_generated.h"
#include "Picker.h"
#include "Placement.h"
#include "QuotaToken.h"
#include "RolloutTable.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace sequoiastep::node {

/// A caller's request with the routing options of its route.
struct CallJob
{
  wire::CallT m_call;
  /// Targets in other regions may be picked.
  bool m_crossRegion = true;
  config::Repeat m_repeat = config::Repeat::Never;
  bool m_largeAnswers = false;
  std::uint32_t m_maxAttempts = 1;
  Instant m_startedAt;
  Instant m_deadline;
  /// Latency objective of the route: an answer after this instant is late.
  Instant m_objective;
  /// The caller named the trace.
  bool m_tracedByCaller = false;
  /// The request may come from the target beside this node, as far as its route tells.
  bool m_mayBeNested = true;
  /// Estimated size of request and answer.
  double m_estimatedKilobytes = 1;
  /// Token of its workspace's quota; none without a quota.
  std::optional<QuotaToken> m_quotaToken;
};

/// Results of a call's attempts so far.
struct CallAttempts
{
  routing::Placement m_placement;
  /// Node of the latest attempt, and where it lies as seen from this node.
  std::string m_lastNode;
  std::optional<routing::Locality> m_lastPlace;
  routing::CallProgress m_progress;
  /// The rollout by which the first attempt goes to a target on trial; none if it does not.
  std::optional<rollout::Rollout> m_trial;
  /// Answer to return unless a further attempt replaces it.
  wire::AnswerT m_answer;
};

} // namespace sequoiastep::node
