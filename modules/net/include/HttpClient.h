/// @file
/// A pooling HTTP/1.1 client for one address, on one thread's io_context.
#pragma once

#include "AsioTypes.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sequoiastep::net {

/// How far a request got when it failed.
enum class HttpFailure
{
  /// No connection came about: nothing of the request was sent.
  NotSent,
  /// Bytes of the request may have reached the server.
  MaybeSent,
  /// The response was cut short, malformed or not the request's own.
  BadResponse,
  /// No whole response came in time; bytes of the request may have reached the server.
  TimedOut,
};

/// A response or how the request failed.
struct HttpResult
{
  std::optional<HttpResponse> m_response;
  HttpFailure m_failure = HttpFailure::NotSent;
  std::string m_reason;
  /// The request was sent on a connection that had served before.
  bool m_reused = false;
};

/// Options of a client.
struct HttpClientOptions
{
  tcp::endpoint m_endpoint;
  std::int64_t m_connectMs = 1000;
  std::size_t m_maxIdle = 32;
  std::uint64_t m_maxBodyBytes = 64U << 20;
  /// How long an idle connection is used again if the server does not state its timeout.
  std::int64_t m_idleMs = 20'000;
};

struct HttpClientState;

/// Sends requests, reusing idle connections. A connection is used again only if its last response
/// was whole, the request's own and followed by nothing. Use from the io_context's thread only.
class HttpClient
{
public:
  /// @return true if the response belongs to the request.
  using Belongs = std::function<bool(const HttpResponse&)>;

  HttpClient(asio::io_context& aContext, HttpClientOptions aOptions);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends aRequest and waits for the whole response. Cancelling the coroutine closes the
  /// connection, which tells the server that nobody waits any more.
  /// @param aTimeoutMs bound for all of it, in milliseconds.
  Awaitable<HttpResult> Send(HttpRequest aRequest, std::int64_t aTimeoutMs, Belongs aBelongs = {});

private:
  std::shared_ptr<HttpClientState> m_state;
};

} // namespace sequoiastep::net
