/// @file
/// An HTTP/1.1 server based on Beast, on one thread's io_context.
#pragma once

#include "AsioTypes.h"
#include "ByteBudget.h"
#include "Error.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sequoiastep::net {

/// A request body of more bytes counts as large: it takes part in the bounds on memory and on what
/// crosses links, so that requests with small ones pass when those with large ones don't.
constexpr std::size_t kMaxSmallBodyBytes = 16U << 10;

/// Limits on the size of requests, on timeouts in milliseconds and on the number of connections.
struct HttpLimits
{
  std::uint32_t m_maxHeaderBytes = 16U << 10;
  std::uint64_t m_maxBodyBytes = 8U << 20;
  /// Most bytes of large bodies of all requests that are being received or handled. A request that
  /// would exceed it is answered 503 and not handled.
  std::uint64_t m_maxBufferedBytes = 64U << 20;
  /// Most bytes of read buffers, headers, small bodies and unsent responses. Beyond it, the
  /// connections whose clients progress slowest are closed.
  std::uint64_t m_maxHeldBytes = 64U << 20;
  /// Longest wait for the first byte of a request while no request is in progress.
  std::int64_t m_idleTimeoutMs = 60'000;
  /// Longest time to receive the header of a request, from its first byte.
  std::int64_t m_headerTimeoutMs = 15'000;
  /// Longest time to receive the body of a request or to send one response.
  std::int64_t m_transferTimeoutMs = 15'000;
  std::size_t m_maxConnections = 4096;
  /// Descriptors that connections of this server leave free, of those that the process may open; at
  /// most half of them.
  std::size_t m_reservedDescriptors = 0;
};

/// What a server refused or closed because of its bounds. The counts never decrease.
struct HttpCounts
{
  /// Connections closed because they were the slowest when memory was used up.
  std::uint64_t m_closedForMemory = 0;
  /// Connections without a request that were closed for new ones.
  std::uint64_t m_closedForConnections = 0;
  /// New connections closed at once: too many are open, or too few descriptors are left.
  std::uint64_t m_refusedConnections = 0;
  /// Requests refused because there was no room for them.
  std::uint64_t m_refusedForMemory = 0;
  /// Requests refused because their header, trailers or the framing of a chunk is too long.
  std::uint64_t m_refusedTooLong = 0;
};

/// Handles one request. Runs on the server's thread; cancelled if the client disconnects.
using HttpHandler = std::function<Awaitable<HttpResponse>(HttpRequest)>;

/// @return true if the request may run concurrently with others of its connection. Any other
/// request starts only after all requests before it were answered.
using HttpOverlapFilter = std::function<bool(const HttpRequest&)>;

/// Makes the response, with the given reason, to an invalid request or to one whose handler threw
/// or was cancelled.
using HttpErrorHandler = std::function<HttpResponse(http::status, const std::string&)>;

struct HttpServerState;

/// Accepts connections until stopped. Pipelined requests can run concurrently and are answered in
/// the order of their arrival. Use from the io_context's thread only.
class HttpServer
{
public:
  HttpServer(asio::io_context& aContext,
             HttpLimits aLimits,
             HttpHandler aHandler,
             HttpErrorHandler aErrorHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to accept connections.
  /// @return the bound endpoint, with the assigned port if aEndpoint has port 0, or PortInUse.
  Result<tcp::endpoint> Listen(const tcp::endpoint& aEndpoint);
  /// Selects the requests that may run concurrently; call it before Listen. Without a filter the
  /// requests of a connection run one by one.
  void SetOverlapFilter(HttpOverlapFilter aMayOverlap);
  /// Makes what the server holds count against aBudget as well; call it before Listen.
  void SetBudget(std::shared_ptr<ByteBudget> aBudget);
  /// Sets the limits for requests that begin from now on.
  void SetLimits(const HttpLimits& aLimits);
  /// Makes clients connect elsewhere: each connection is closed after the responses to the requests
  /// read so far, the last of which says `Connection: close`.
  void DrainConnections();
  /// Accepts no further connections, closes idle ones and drains the others as DrainConnections
  /// does.
  void StopAccepting();
  /// Stops accepting and closes all connections at once.
  void CloseAll();
  /// @return the number of open connections.
  std::size_t ConnectionCount() const;
  /// @return the number of connections on which the server still owes the client something: a
  /// request is being received, handled or answered, or the client has yet to receive the rest of
  /// the last response before a close.
  std::size_t OwedConnections() const;
  /// @return what was refused or closed because of the server's bounds.
  const HttpCounts& Counts() const;
  /// @return the bytes of read buffers, headers, small bodies and unsent responses.
  std::uint64_t HeldBytes() const;
  /// @return the bytes of large request bodies.
  std::uint64_t BufferedBytes() const;

private:
  std::shared_ptr<HttpServerState> m_state;
};

/// @return a response of aStatus with aBody, its Content-Length set.
HttpResponse
MakeResponse(http::status aStatus, std::string_view aContentType, std::string aBody);

/// @return the path of a request target, without its query.
std::string_view
PathOf(std::string_view aTarget);

/// @return the value of aKey in the query of a request target, or aDefault.
std::string
QueryValue(std::string_view aTarget, std::string_view aKey, std::string_view aDefault);

} // namespace sequoiastep::net
