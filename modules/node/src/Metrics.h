/// @file
/// Prometheus text of what the control thread knows.
#pragma once

#include "Controller.h"
#include "LogClient.h"
#include "PeerLinks.h"

#include <string>

namespace sequoiastep::node {

/// @return version, convergence, members by state, control bytes by class, and counts.
std::string
ControlMetricsText(const distribution::Controller& aController,
                   const ControlBytes& aBytes,
                   const platform::LogClientCounts& aLog);

} // namespace sequoiastep::node
