/// @file
/// An HTTP/1.1 client with a connection pool for one endpoint, on one thread's io_context.
#pragma once

#include "AsioTypes.h"
#include "ByteBudget.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sequoiastep::net {

/// How far a request got when it failed.
enum class HttpFailure
{
  /// No connection could be established: nothing of the request was sent.
  NotSent,
  /// The sender cancelled the request while it was connecting: nothing of it was sent.
  Cancelled,
  /// Bytes of the request may have reached the server.
  MaybeSent,
  /// The response was truncated, malformed, invalid (see ResponseStatus.h), too long or belongs to
  /// another request.
  BadResponse,
  /// No complete response arrived in time; bytes of the request may have reached the server.
  TimedOut,
};

/// A response, or how and why the request failed.
struct HttpResult
{
  std::optional<HttpResponse> m_response;
  HttpFailure m_failure = HttpFailure::NotSent;
  std::string m_reason;
  /// The request was sent on a connection that had carried an earlier request.
  bool m_reused = false;
};

/// Options of a client.
struct HttpClientOptions
{
  tcp::endpoint m_endpoint;
  std::int64_t m_connectTimeoutMs = 1000;
  std::size_t m_maxIdleConnections = 32;
  /// Longest body of a response. It must fit into one frame between nodes.
  std::uint64_t m_maxBodyBytes = 8U << 20;
  /// Most bytes of bodies that are received at the same time, all responses together.
  std::uint64_t m_maxReceivingBytes = 16U << 20;
  /// Budget that these bytes count against as well; null for none. While it is used up, no more
  /// than one response of the longest body is received.
  std::shared_ptr<ByteBudget> m_budget;
  /// How long an idle connection may be reused if the server states no timeout in Keep-Alive.
  std::int64_t m_idleTimeoutMs = 20'000;
};

struct HttpClientState;

/// Sends requests, reusing idle connections. A connection is reused only if its last response was
/// complete, belonged to its request and was followed by no further bytes. Use from the
/// io_context's thread only.
class HttpClient
{
public:
  /// @return true if the response belongs to the request.
  using ResponseMatcher = std::function<bool(const HttpResponse&)>;

  HttpClient(asio::io_context& aContext, HttpClientOptions aOptions);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends aRequest and waits for the complete response. Cancelling the coroutine closes the
  /// connection, which tells the server that the response is no longer wanted.
  /// @param aTimeoutMs limit in milliseconds for connecting, sending and receiving together.
  /// @param aMatches checks the response; if it returns false, the request fails with BadResponse.
  /// If empty, every response is accepted.
  Awaitable<HttpResult> Send(HttpRequest aRequest,
                             std::int64_t aTimeoutMs,
                             ResponseMatcher aMatches = {});

private:
  std::shared_ptr<HttpClientState> m_state;
};

} // namespace sequoiastep::net
