/// @file
/// An HTTP/1.1 server over Beast for one thread's io_context.
#pragma once

#include "AsioTypes.h"
#include "Error.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sequoiastep::net {

/// Bounds of what one connection may send, and of how long it may take.
struct HttpLimits
{
  std::uint32_t m_maxHeaderBytes = 16U << 10;
  std::uint64_t m_maxBodyBytes = 8U << 20;
  std::int64_t m_idleMs = 60'000;
  /// Longest time for the header of a request, from its first byte.
  std::int64_t m_headerMs = 15'000;
  /// Longest time for the body of a request to come in or one response to go out.
  std::int64_t m_transferMs = 15'000;
  std::size_t m_maxConnections = 4096;
};

/// Answers one request. Runs on the server's thread. It is cancelled if the client leaves.
using HttpHandler = std::function<Awaitable<HttpResponse>(HttpRequest)>;

/// @return true if the request may run beside others of its connection. One that may not is started
/// only once all requests before it were answered.
using HttpOverlap = std::function<bool(const HttpRequest&)>;

/// Makes the response to a request that could not be read.
using HttpErrorBody = std::function<HttpResponse(http::status, const std::string&)>;

struct HttpServerState;

/// Accepts connections until stopped. Pipelined requests run side by side and are answered in their
/// order. Use from the io_context's thread only.
class HttpServer
{
public:
  HttpServer(asio::io_context& aContext,
             HttpLimits aLimits,
             HttpHandler aHandler,
             HttpErrorBody aErrorBody);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to accept.
  /// @return the bound endpoint (port 0 asks for any), or PortInUse.
  Result<tcp::endpoint> Listen(const tcp::endpoint& aEndpoint);
  /// Lets requests overlap; before Listen. Without it a connection's requests run one by one.
  void SetOverlap(HttpOverlap aMayOverlap);
  /// Sets bounds for requests that begin from now on.
  void SetLimits(const HttpLimits& aLimits);
  /// Asks clients to go elsewhere: each connection ends after the responses it is owed now.
  void EndConnections();
  /// Takes no further connections and ends each open one after the responses it is owed.
  void StopAccepting();
  /// Closes all connections now.
  void CloseAll();
  /// @return open connections.
  std::size_t Connections() const;

private:
  std::shared_ptr<HttpServerState> m_state;
};

/// @return a response of aStatus with aBody, sized and ready to send.
HttpResponse
MakeResponse(http::status aStatus, std::string_view aContentType, std::string aBody);

/// @return the path of a request target, without its query.
std::string_view
PathOf(std::string_view aTarget);

/// @return the value of aKey in the query of a request target, or aDefault.
std::string
QueryValue(std::string_view aTarget, std::string_view aKey, std::string_view aDefault);

} // namespace sequoiastep::net
