/// @file
/// Opening a port, with an error that names the remedy.
#pragma once

#include "AsioTypes.h"
#include "Error.h"

namespace sequoiastep::net {

/// Opens aAcceptor on aEndpoint.
/// @return the bound endpoint (port 0 asks for any), or PortInUse.
Result<tcp::endpoint>
OpenAcceptor(tcp::acceptor& aAcceptor, const tcp::endpoint& aEndpoint);

} // namespace sequoiastep::net
