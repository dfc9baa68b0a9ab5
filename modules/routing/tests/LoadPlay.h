/// @file
/// Plays the load of a service on the pure routing modules in simulated time: near nodes place
/// calls from stale reports, links delay them, and far nodes admit them for targets of unequal
/// speed. Equal settings give equal results.
#pragma once

#include "Clock.h"
#include "LoadPlayCount.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sequoiastep::routing {

/// A deployment, its load and the events of a play. All times are in milliseconds from its start.
struct PlaySettings
{
  std::uint64_t m_seed = 1;
  std::size_t m_nodes = 90;
  /// Target i is beside node i. Nodes and thereby targets take turns over the regions, then over
  /// the failure domains of a region.
  std::size_t m_targets = 46;
  std::size_t m_regions = 3;
  std::size_t m_domainsPerRegion = 3;
  std::uint32_t m_slots = 6;
  std::uint32_t m_queue = 64;
  Milliseconds m_queueMs = 60'000;
  /// Run times are divided by the target's speed, which is uniform between these.
  double m_minSpeed = 0.5;
  double m_maxSpeed = 1.5;
  /// Mean run times of the routes at speed 1; a call's route is drawn from them. Each run takes
  /// 0.5 to 1.5 times the mean.
  std::vector<double> m_routeRunMs{ 100 };
  /// Objective and deadline of a call, in mean run times of its route at speed 1.
  double m_objectiveRuns = 4;
  double m_deadlineRuns = 12;
  /// Request and answer together, half each. A refused handover transfers the request.
  double m_kilobytes = 2;
  /// Offered load as a share of what the targets can run at the start.
  double m_load = 0.8;
  /// Share of the requests that come from each region; equal shares if empty.
  std::vector<double> m_regionShares;
  /// Between these times the load is multiplied by m_burst.
  double m_burst = 1;
  double m_burstFromMs = 4000;
  double m_burstToMs = 7000;
  /// From this time on every third target is gone, or none if 0. Nodes drop it from their
  /// candidates kDetectMs later.
  double m_goneAtMs = 0;
  /// From this time on every third target is replaced by a new one that warms up; none if 0.
  double m_coldAtMs = 0;
  std::uint32_t m_warmUpMs = 5000;
  /// Requests that arrive before this time are not counted.
  double m_countFromMs = 2000;
  double m_durationMs = 10'000;
  /// Bound for comparison: each pick sees the true load of all targets, calls on the way included.
  bool m_trueLoads = false;
  /// One-way latency within a region and between regions.
  double m_regionLinkMs = 0.5;
  double m_crossLinkMs = 8;
};

/// Plays the load.
PlayResult
PlayLoad(const PlaySettings& aSettings);

} // namespace sequoiastep::routing
