/// @file
/// A whole node: its threads, from the first listen to the graceful stop.
#pragma once

#include "Error.h"
#include "Settings.h"

namespace sequoiastep::node {

/// Runs a node until SIGTERM, SIGINT or a drain request, and stops it gracefully.
/// @return success once everything is closed, or PortInUse if a port could not be had.
Result<void>
RunNode(const Settings& aSettings);

} // namespace sequoiastep::node
