/// @file
/// A pooling HTTP/1.1 client for one address, on one thread's io_context.
#pragma once

#include "AsioTypes.h"

#include <cstddef>
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
  /// The response was cut short or malformed.
  BadResponse,
};

/// A response or how the request failed.
struct HttpResult
{
  std::optional<HttpResponse> m_response;
  HttpFailure m_failure = HttpFailure::NotSent;
  std::string m_reason;
};

/// Options of a client.
struct HttpClientOptions
{
  tcp::endpoint m_endpoint;
  std::int64_t m_connectMs = 1000;
  std::size_t m_maxIdle = 32;
  std::uint64_t m_maxBodyBytes = 16U << 20;
};

struct HttpClientState;

/// Sends requests, reusing idle connections. Use from the io_context's thread only.
class HttpClient
{
public:
  HttpClient(asio::io_context& aContext, HttpClientOptions aOptions);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends aRequest and waits for the whole response. Cancelling the coroutine closes the
  /// connection, which tells the server that nobody waits any more.
  /// @param aTimeoutMs bound for all of it, in milliseconds.
  Awaitable<HttpResult> Send(HttpRequest aRequest, std::int64_t aTimeoutMs);

private:
  std::shared_ptr<HttpClientState> m_state;
};

} // namespace sequoiastep::net
