/// @file
/// Options of the quotas that hold over all nodes together.
#pragma once

#include "Clock.h"

#include <cstdint>

namespace sequoiastep::quota {

/// Tolerances of the quotas.
struct Options
{
  /// Length of the sliding window in which requests are counted.
  Milliseconds m_windowMs = 5000;
  /// Requests beyond the quota that may run in a window: this share of it, and m_slack more.
  double m_over = 0.1;
  double m_slack = 20;
  /// Lifetime of granted tokens.
  Milliseconds m_lifetimeMs = 400;
};

/// Limits of one workspace.
struct Limits
{
  /// Requests per second; 0 for no quota.
  double m_ratePerSecond = 0;
  /// Requests that the quota allows at once beyond the rate.
  double m_burst = 0;

  friend bool operator==(const Limits&, const Limits&) = default;
};

/// A new owner whose predecessor may still grant waits this long. It covers the difference between
/// the times at which two nodes learn of the same failure.
constexpr Milliseconds kTakeoverHoldMs = 1500;
/// Margin over the lifetime of tokens that a new owner waits if its predecessor announced that it
/// leaves, and so grants nothing more.
constexpr Milliseconds kHandoverMarginMs = 100;
/// A longer time between two events of a node counts as a pause of its process. Others may have
/// taken over its work during a pause. Nodes accuse each other after 2.5 s of silence.
constexpr Milliseconds kPauseGapMs = 1000;

/// @return the lifetime of tokens: m_lifetimeMs, or less if the tokens that a continuous load can
/// keep unspent would exceed four fifths of m_over.
Milliseconds
TokenLifetime(const Options& aOptions);

/// @return the most requests of one workspace that may run in a window, over all nodes.
double
WindowBound(const Options& aOptions, const Limits& aLimits);

/// @return requests per window that all nodes together may admit without asking the owner: a
/// quarter of the slack, and half of what tokens in stock leave of m_over. The owner's bucket uses
/// half of the slack; the rest absorbs requests that reach targets later than others.
double
FloorPerWindow(const Options& aOptions, const Limits& aLimits);

} // namespace sequoiastep::quota
