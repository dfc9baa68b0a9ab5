/// @file
/// Plays a rollout of one service: callers, targets with slots, evidence that is late or lost, and
/// a judge. All randomness comes from one seed.
#pragma once

#include "Judge.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sequoiastep::rollout {

/// What is wrong with the new version.
enum class Fault
{
  None,
  Errors,
  Slow,
  /// Errors that begin 2 to 4 s after the order.
  LateErrors,
  /// Errors on one route only.
  ErrorsOnOneRoute,
  /// Errors while three quarters of a target's slots are busy.
  ErrorsUnderLoad,
};

/// What hits old and new targets alike for a few seconds.
enum class Trouble
{
  None,
  /// 45 % of the answers fail.
  Errors,
  /// Eight times the usual run time.
  Slow,
};

/// A rollout to play. By default sizes are drawn from the seed.
struct Play
{
  std::uint64_t m_seed = 1;
  Fault m_fault = Fault::None;
  Trouble m_trouble = Trouble::None;
  /// Share of the answers that the fault hits; drawn if not set: 0.05 to 0.5, for slow ones 0.3 to
  /// 0.5.
  std::optional<double> m_faultShare;
  std::optional<double> m_requestsPerSecond;
  std::optional<Milliseconds> m_durationMs;
  std::optional<int> m_oldTargets;
  std::optional<int> m_routes;
  /// Nodes at which requests come in.
  int m_nodes = 80;
  /// Part of these nodes that learn of the order, but hear nothing of the others after it.
  double m_deafNodes = 0;
  Milliseconds m_evidenceDelayMs = 500;
  double m_evidenceLoss = 0.1;
  /// One host of a new target fails half of its requests, which is no fault of the version.
  bool m_badHost = false;
};

/// How a rollout went. Times count from the order.
struct Outcome
{
  RolloutPhase m_phase = RolloutPhase::Trial;
  std::optional<Milliseconds> m_shiftedAtMs;
  std::optional<Milliseconds> m_endedAtMs;
  /// When the new version had given 20 and 50 bad answers.
  std::optional<Milliseconds> m_twentiethBadMs;
  std::optional<Milliseconds> m_fiftiethBadMs;
  std::uint64_t m_bad = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_toNew = 0;
  /// Most requests that the new version ever had beyond a tenth of those until then.
  double m_mostBeyondShare = 0;
  /// Requests that the new version had beyond a tenth of those from the order to the deadline.
  double m_beyondShare = 0;
  /// Requests in progress at old targets when the judge called the rollout complete.
  int m_atOldWhenCompleted = 0;
  Milliseconds m_durationMs = 0;
  std::string m_reason;
  /// Sizes, for messages of failed checks.
  std::string m_sizes;
};

/// Plays until the rollout has a final phase, and at least until aPlay's deadline if nodes are
/// deaf.
Outcome
PlayRollout(const Play& aPlay);

} // namespace sequoiastep::rollout
