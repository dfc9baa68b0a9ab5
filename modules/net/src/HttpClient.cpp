#include "HttpClient.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <vector>

namespace sequoiastep::net {

namespace beast = boost::beast;

namespace {

// A connection and what was read past the last response.
struct PooledConnection
{
  explicit PooledConnection(asio::io_context& aContext)
    : m_stream(aContext)
  {
  }

  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
};

using PooledPtr = std::unique_ptr<PooledConnection>;

} // namespace

struct HttpClientState
{
  HttpClientState(asio::io_context& aContext, HttpClientOptions aOptions)
    : m_context(aContext)
    , m_options(std::move(aOptions))
  {
  }

  asio::io_context& m_context;
  HttpClientOptions m_options;
  std::vector<PooledPtr> m_idle;
};

namespace {

// An idle connection that the server closed becomes readable: it must not carry a request, since
// a failure then could not be told from one after the request was run.
bool
IsUsable(PooledConnection& aConnection)
{
  tcp::socket& socket = aConnection.m_stream.socket();
  error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

PooledPtr
TakeIdle(HttpClientState& aState)
{
  while (!aState.m_idle.empty()) {
    PooledPtr connection = std::move(aState.m_idle.back());
    aState.m_idle.pop_back();
    if (IsUsable(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

HttpResult
Failed(HttpFailure aFailure, const error_code& aError)
{
  return { .m_response = std::nullopt, .m_failure = aFailure, .m_reason = aError.message() };
}

} // namespace

HttpClient::HttpClient(asio::io_context& aContext, HttpClientOptions aOptions)
  : m_state(std::make_shared<HttpClientState>(aContext, std::move(aOptions)))
{
}

HttpClient::~HttpClient() = default;

Awaitable<HttpResult>
HttpClient::Send(HttpRequest aRequest, std::int64_t aTimeoutMs)
{
  const std::shared_ptr<HttpClientState> state = m_state;
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(aTimeoutMs);
  PooledPtr connection = TakeIdle(*state);
  if (!connection) {
    connection = std::make_unique<PooledConnection>(state->m_context);
    const auto connectMs = std::min(state->m_options.m_connectMs, aTimeoutMs);
    connection->m_stream.expires_after(std::chrono::milliseconds(connectMs));
    const auto [error] =
      co_await connection->m_stream.async_connect(state->m_options.m_endpoint, kAsTuple);
    if (error) {
      co_return Failed(HttpFailure::NotSent, error);
    }
    error_code ignored;
    connection->m_stream.socket().set_option(tcp::no_delay(true), ignored);
  }
  connection->m_stream.expires_at(deadline);
  const auto [writeError, written] =
    co_await http::async_write(connection->m_stream, aRequest, kAsTuple);
  if (writeError) {
    co_return Failed(HttpFailure::MaybeSent, writeError);
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(state->m_options.m_maxBodyBytes);
  if (aRequest.method() == http::verb::head) {
    parser.skip(true);
  }
  const auto [readError, size] =
    co_await http::async_read(connection->m_stream, connection->m_buffer, parser, kAsTuple);
  if (readError) {
    const auto failure = parser.got_some() ? HttpFailure::BadResponse : HttpFailure::MaybeSent;
    co_return Failed(failure, readError);
  }
  HttpResult result;
  result.m_response = parser.release();
  if (result.m_response->keep_alive() && state->m_idle.size() < state->m_options.m_maxIdle) {
    connection->m_stream.expires_never();
    state->m_idle.push_back(std::move(connection));
  }
  co_return result;
}

} // namespace sequoiastep::net
