/// @file
/// Runs a node: its threads, from opening the ports to the graceful stop.
#pragma once

#include "Error.h"
#include "Settings.h"

#include <string>

namespace sequoiastep::node {

/// Runs a node until SIGTERM, SIGINT or a drain request, then drains and stops it.
/// @param aPath file that the settings were read from. SIGHUP reads it again and applies its log
/// level.
/// @return success once everything is closed, or PortInUse if a port could not be opened.
Result<void>
RunNode(const Settings& aSettings, const std::string& aPath);

} // namespace sequoiastep::node
