/// @file
/// Compares the answers of the new version with those of the old one, by route and over all routes,
/// for errors and for slowness.
#pragma once

#include "Judge.h"

#include <string>
#include <vector>

namespace sequoiastep::rollout {

/// The strongest sign that the new version is bad.
struct Suspicion
{
  /// Logarithm of the statistic; see LogStatistic().
  double m_strength = 0;
  /// Route, or "*" for all together.
  std::string m_route;
  std::string m_kind;
  /// Counts since the order.
  double m_bad = 0;
  double m_answers = 0;
  double m_oldBad = 0;
  double m_oldAnswers = 0;
};

/// Looks for the strongest sign. Signs that only one of several targets shows don't count,
/// since its host may be what is bad.
Suspicion
Compare(const Judge& aJudge, const Rollout& aRollout, Instant aNow);

} // namespace sequoiastep::rollout
