/// @file
/// Keeps the requests that one node sends to a version on trial within a share of its own requests
/// for the service. All nodes together then keep the share without a message, also while they can't
/// reach each other.
#pragma once

#include "Clock.h"
#include "Random.h"
#include "RolloutTable.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace sequoiastep::rollout {

/// Part of the allowed share that a trial uses, so that retries and rounding stay within it.
constexpr double kUsedShare = 0.8;

/// One node's requests for a service since it learnt of the order.
struct ServiceExposure
{
  OrderId m_order;
  std::uint64_t m_requests = 0;
  /// Attempts that went to targets of the version on trial, retries included.
  std::uint64_t m_trialAttempts = 0;
  /// Attempts on trial by route, so that each route is covered.
  std::map<std::string, std::uint64_t, std::less<>> m_trialByRoute;
  /// Part of a trial, drawn anew for each, by which the next one waits until the share allows it.
  /// The attempts of all nodes together then have the share as their expected value from the first
  /// request on, though each node sends only few requests; one node never exceeds its share by more
  /// than one attempt.
  double m_rounding = 0;
};

/// State of one node, by service.
struct Exposure
{
  /// Share of a service's requests that the node sends to a version on trial.
  double m_share = 0.08;
  std::map<std::string, ServiceExposure, std::less<>> m_services;
};

/// Counts a request for the service of aRollout and decides whether its first attempt goes to a
/// target on trial. Attempts after the first one never do.
bool
ShouldTry(Exposure& aExposure,
          const Rollout& aRollout,
          std::string_view aRoute,
          Instant aNow,
          Random& aRandom);

/// Takes back a trial attempt that no target received.
void
RefundTrial(Exposure& aExposure, const Rollout& aRollout, std::string_view aRoute);

} // namespace sequoiastep::rollout
