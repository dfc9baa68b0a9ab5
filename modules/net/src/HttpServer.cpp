#include "HttpServer.h"

#include "Acceptor.h"
#include "Address.h"
#include "Log.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <fmt/core.h>
#include <list>
#include <optional>

namespace sequoiastep::net {

namespace beast = boost::beast;

namespace {

constexpr std::int64_t kAcceptPauseMs = 50;

} // namespace

struct HttpServerState : std::enable_shared_from_this<HttpServerState>
{
  HttpServerState(asio::io_context& aContext,
                  HttpLimits aLimits,
                  HttpHandler aHandler,
                  HttpErrorBody aErrorBody)
    : m_context(aContext)
    , m_acceptor(aContext)
    , m_limits(aLimits)
    , m_handler(std::move(aHandler))
    , m_errorBody(std::move(aErrorBody))
  {
  }

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  HttpLimits m_limits;
  HttpHandler m_handler;
  HttpErrorBody m_errorBody;
  bool m_stopping = false;
  /// Connections that wait for a request, closed at once by StopAccepting.
  std::list<beast::tcp_stream*> m_idle;
  std::list<beast::tcp_stream*> m_open;
};

namespace {

using StatePtr = std::shared_ptr<HttpServerState>;

// Ends when the client closes its side; never while it only sends more bytes.
Awaitable<void>
WaitForClose(beast::tcp_stream& aStream)
{
  tcp::socket& socket = aStream.socket();
  for (;;) {
    const auto [waitError] = co_await socket.async_wait(tcp::socket::wait_read, kAsTuple);
    if (waitError) {
      co_return;
    }
    char byte = 0;
    error_code peekError;
    const std::size_t size =
      socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
    if (size == 0 || peekError) {
      co_return;
    }
    // A pipelined request waits; look again later whether the client is still there.
    asio::steady_timer pause(socket.get_executor(), std::chrono::milliseconds(kAcceptPauseMs));
    co_await pause.async_wait(kAsTuple);
  }
}

Awaitable<std::optional<HttpResponse>>
RunHandler(const StatePtr& aState, beast::tcp_stream& aStream, HttpRequest aRequest)
{
  using namespace asio::experimental::awaitable_operators;
  auto result = co_await (aState->m_handler(std::move(aRequest)) || WaitForClose(aStream));
  if (result.index() == 1) {
    co_return std::nullopt;
  }
  co_return std::optional<HttpResponse>(std::move(std::get<0>(result)));
}

http::status
StatusForReadError(const error_code& aError)
{
  if (aError == http::error::body_limit) {
    return http::status::payload_too_large;
  }
  if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
    return http::status::request_header_fields_too_large;
  }
  return http::status::bad_request;
}

bool
IsSilentEnd(const error_code& aError)
{
  return aError == http::error::end_of_stream || aError == beast::error::timeout ||
         aError == asio::error::connection_reset || aError == asio::error::operation_aborted ||
         aError == asio::error::eof;
}

Awaitable<bool>
SendResponse(const StatePtr& aState, beast::tcp_stream& aStream, HttpResponse aResponse)
{
  aStream.expires_after(std::chrono::milliseconds(aState->m_limits.m_transferMs));
  const auto [error, size] = co_await http::async_write(aStream, aResponse, kAsTuple);
  co_return !error;
}

// Reads the next request. Gives nothing if the connection must end; a bad request was answered.
Awaitable<std::optional<HttpRequest>>
ReadRequest(const StatePtr& aState, beast::tcp_stream& aStream, beast::flat_buffer& aBuffer)
{
  http::request_parser<http::string_body> parser;
  parser.header_limit(aState->m_limits.m_maxHeaderBytes);
  parser.body_limit(aState->m_limits.m_maxBodyBytes);
  aStream.expires_after(std::chrono::milliseconds(aState->m_limits.m_idleMs));
  const auto place = aState->m_idle.insert(aState->m_idle.end(), &aStream);
  auto [error, size] = co_await http::async_read_header(aStream, aBuffer, parser, kAsTuple);
  aState->m_idle.erase(place);
  if (!error) {
    aStream.expires_after(std::chrono::milliseconds(aState->m_limits.m_transferMs));
    const auto [bodyError, bodySize] =
      co_await http::async_read(aStream, aBuffer, parser, kAsTuple);
    error = bodyError;
  }
  if (!error) {
    co_return std::optional<HttpRequest>(parser.release());
  }
  if (!IsSilentEnd(error)) {
    HttpResponse response = aState->m_errorBody(StatusForReadError(error), error.message());
    response.keep_alive(false);
    co_await SendResponse(aState, aStream, std::move(response));
  }
  co_return std::nullopt;
}

Awaitable<void>
Serve(StatePtr aState, tcp::socket aSocket)
{
  beast::tcp_stream stream(std::move(aSocket));
  const auto place = aState->m_open.insert(aState->m_open.end(), &stream);
  beast::flat_buffer buffer;
  bool keep = true;
  while (keep) {
    std::optional<HttpRequest> request = co_await ReadRequest(aState, stream, buffer);
    if (!request) {
      break;
    }
    const bool wantsKeep = request->keep_alive();
    stream.expires_never();
    std::optional<HttpResponse> response = co_await RunHandler(aState, stream, std::move(*request));
    if (!response) {
      break;
    }
    keep = wantsKeep && !aState->m_stopping && response->keep_alive();
    response->keep_alive(keep);
    keep = co_await SendResponse(aState, stream, std::move(*response)) && keep;
  }
  error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  aState->m_open.erase(place);
}

Awaitable<void>
AcceptLoop(StatePtr aState)
{
  while (!aState->m_stopping) {
    auto [error, socket] = co_await aState->m_acceptor.async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error || aState->m_open.size() >= aState->m_limits.m_maxConnections) {
      // Out of descriptors or connections: wait instead of spinning; the client sees a close.
      asio::steady_timer pause(aState->m_context, std::chrono::milliseconds(kAcceptPauseMs));
      co_await pause.async_wait(kAsTuple);
      continue;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(aState->m_context, Serve(aState, std::move(socket)), asio::detached);
  }
}

} // namespace

HttpServer::HttpServer(asio::io_context& aContext,
                       HttpLimits aLimits,
                       HttpHandler aHandler,
                       HttpErrorBody aErrorBody)
  : m_state(std::make_shared<HttpServerState>(aContext,
                                              aLimits,
                                              std::move(aHandler),
                                              std::move(aErrorBody)))
{
}

HttpServer::~HttpServer() = default;

Result<tcp::endpoint>
HttpServer::Listen(const tcp::endpoint& aEndpoint)
{
  BOOST_LEAF_AUTO(bound, OpenAcceptor(m_state->m_acceptor, aEndpoint));
  asio::co_spawn(m_state->m_context, AcceptLoop(m_state), asio::detached);
  return bound;
}

void
HttpServer::StopAccepting()
{
  m_state->m_stopping = true;
  error_code ignored;
  m_state->m_acceptor.close(ignored);
  for (beast::tcp_stream* stream : m_state->m_idle) {
    stream->socket().shutdown(tcp::socket::shutdown_both, ignored);
  }
}

void
HttpServer::CloseAll()
{
  StopAccepting();
  error_code ignored;
  for (beast::tcp_stream* stream : m_state->m_open) {
    stream->socket().shutdown(tcp::socket::shutdown_both, ignored);
  }
}

std::size_t
HttpServer::Connections() const
{
  return m_state->m_open.size();
}

HttpResponse
MakeResponse(http::status aStatus, std::string_view aContentType, std::string aBody)
{
  HttpResponse response(aStatus, 11);
  response.set(http::field::content_type, aContentType);
  response.body() = std::move(aBody);
  response.prepare_payload();
  return response;
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string
QueryValue(std::string_view aTarget, std::string_view aKey, std::string_view aDefault)
{
  const std::size_t question = aTarget.find('?');
  std::string_view query =
    question == std::string_view::npos ? std::string_view() : aTarget.substr(question + 1);
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aKey) {
      return std::string(pair.substr(equals + 1));
    }
  }
  return std::string(aDefault);
}

} // namespace sequoiastep::net
