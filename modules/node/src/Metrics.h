/// @file
/// Metrics of the control thread in Prometheus text format.
#pragma once

#include "Controller.h"
#include "LogClient.h"
#include "PeerLinks.h"

#include <string>

namespace sequoiastep::node {

/// @return the configuration version, convergence by region, members by state, control bytes by
/// scope and direction, and counters.
std::string
ControlMetricsText(const distribution::Controller& aController,
                   const ControlBytes& aBytes,
                   const platform::LogClientCounts& aLog);

} // namespace sequoiastep::node
