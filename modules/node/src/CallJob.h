/// @file
/// A call that entered at this node, and what came of its attempts so far.
#pragma once

#include "Clock.h"
#include "Documents.h"
#include "Messages_generated.h"
#include "Picker.h"
#include "Retry.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace sequoiastep::node {

/// One call on its way through this node.
struct CallJob
{
  wire::CallT m_call;
  bool m_crossRegion = true;
  config::Repeat m_repeat = config::Repeat::Never;
  bool m_largeAnswers = false;
  std::uint32_t m_maxAttempts = 1;
  Instant m_startedAt;
  Instant m_deadline;
  Instant m_objective;
  /// Bytes that probably travel, request and answer.
  double m_kilobytes = 1;
};

/// What came of a call's attempts so far.
struct CallAttempts
{
  /// Nodes that are not tried again for this call.
  std::set<std::string, std::less<>> m_failed;
  std::set<std::string, std::less<>> m_hadNoRoom;
  std::string m_lastNode;
  std::optional<routing::Locality> m_lastPlace;
  /// The current attempt accepts any wait.
  bool m_lastRound = false;
  routing::RetryDecision m_verdict = routing::RetryDecision::TryFree;
  routing::RetryContext m_question;
  /// What the caller gets if nothing better comes.
  wire::AnswerT m_answer;
};

} // namespace sequoiastep::node
