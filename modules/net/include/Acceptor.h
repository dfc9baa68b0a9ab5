/// @file
/// Opens listening TCP sockets.
#pragma once

#include "AsioTypes.h"
#include "Error.h"

namespace sequoiastep::net {

/// Binds aAcceptor to aEndpoint and starts to listen.
/// @return the bound endpoint, with the assigned port if aEndpoint has port 0, or PortInUse with a
/// message that says how to resolve it.
Result<tcp::endpoint>
OpenAcceptor(tcp::acceptor& aAcceptor, const tcp::endpoint& aEndpoint);

} // namespace sequoiastep::net
