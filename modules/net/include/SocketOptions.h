/// @file
/// Socket options by which a connection detects a dead or silent peer, and what the peer has not
/// acknowledged.
#pragma once

#include "AsioTypes.h"

#include <cstddef>

namespace sequoiastep::net {

/// Sends small writes without delay (TCP_NODELAY), probes a silent connection (keep-alive) and
/// resets it if the peer acknowledges nothing for aTimeoutMs milliseconds. Errors are ignored.
void
EnableDeadPeerDetection(tcp::socket& aSocket, std::int64_t aTimeoutMs);

/// Sets TCP_USER_TIMEOUT: the connection is reset if sent data stays unacknowledged for aTimeoutMs
/// milliseconds. Errors are ignored.
void
SetUserTimeout(tcp::socket& aSocket, std::int64_t aTimeoutMs);

/// @return the bytes that the kernel holds because the peer has not acknowledged them; 0 if the
/// kernel does not tell.
std::size_t
UnacknowledgedBytes(tcp::socket& aSocket);

} // namespace sequoiastep::net
