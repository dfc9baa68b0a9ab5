/// @file
/// A whole node: its threads, from the first listen to the graceful stop.
#pragma once

#include "Error.h"
#include "Settings.h"

#include <string>

namespace sequoiastep::node {

/// Runs a node until SIGTERM, SIGINT or a drain request, and stops it gracefully.
/// @param aPath file that the settings were read from; SIGHUP reads it again.
/// @return success once everything is closed, or PortInUse if a port could not be had.
Result<void>
RunNode(const Settings& aSettings, const std::string& aPath);

} // namespace sequoiastep::node
