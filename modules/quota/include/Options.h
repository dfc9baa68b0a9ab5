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

} // namespace sequoiastep::quota
