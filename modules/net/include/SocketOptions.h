/// @file
/// Options that make a dead or silent peer show on a connection that waits.
#pragma once

#include "AsioTypes.h"

namespace sequoiastep::net {

/// Sends small writes at once, probes a silent connection, and breaks it when nothing was
/// acknowledged for aSilenceMs.
void
SetLiveness(tcp::socket& aSocket, std::int64_t aSilenceMs);

/// Breaks a connection when nothing that was sent was acknowledged for aSilenceMs.
void
SetSendTimeout(tcp::socket& aSocket, std::int64_t aSilenceMs);

} // namespace sequoiastep::net
