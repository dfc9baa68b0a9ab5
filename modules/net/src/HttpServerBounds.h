/// @file
/// Keeps the connections of an HttpServer within its bounds on memory and descriptors, whatever
/// clients send or leave unread.
#pragma once

#include "HttpServerState.h"

namespace sequoiastep::net {

/// A connection's first read buffer; it is not counted, since the number of connections is bounded.
constexpr std::size_t kReadBufferBytes = 4096;

/// Closes the socket and ends the read and write loops of the connection.
void
Disconnect(HttpConnection& aConnection);

/// Cancels all requests of a connection, since their responses can't be delivered.
void
CancelAll(HttpConnection& aConnection);

/// @return the bytes of responses that the client has not taken yet.
std::uint64_t
UnsentBytes(const HttpConnection& aConnection);

/// Sets how much may be buffered while a request is received, and counts what is.
/// @return false if that is more than there is room for.
bool
BoundReadBuffer(HttpServerState& aState, HttpConnection& aConnection);

/// Counts the parts of a request that were received: of its header, and of its body if that is
/// small.
/// @return false if that is more than there is room for.
bool
HoldRequest(HttpServerState& aState,
            HttpConnection& aConnection,
            HttpExchange& aExchange,
            std::uint64_t aBytes);

/// Counts a response that is to be sent. Without room for it, the connections that progress slowest
/// are closed; this one too, if it alone leaves too much unread.
void
HoldAnswer(HttpServerState& aState, HttpConnection& aConnection, HttpExchange& aExchange);

/// @return true if another connection may be kept besides those that are open and aSocket, which
/// was just accepted. If there are too many, one that waits for a request may be closed for it.
bool
MayKeep(HttpServerState& aState, tcp::socket& aSocket);

} // namespace sequoiastep::net
