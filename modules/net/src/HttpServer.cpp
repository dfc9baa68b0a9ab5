#include "HttpServer.h"

#include "Acceptor.h"
#include "Address.h"
#include "HttpServerBounds.h"
#include "HttpServerState.h"
#include "Log.h"
#include "SocketOptions.h"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <set>

namespace sequoiastep::net {

namespace beast = boost::beast;

namespace {

constexpr Milliseconds kAcceptBackoffMs = 50;
// Interval between checks for connections past their deadlines.
constexpr Milliseconds kTimeoutCheckMs = 250;
// How long the client may take to close its side after it received the last response, and to
// receive more of that response.
constexpr Milliseconds kLingerMs = 1000;
constexpr std::size_t kMaxPipelined = 32;
// While more of its responses is unsent, no further request of a connection starts.
constexpr std::uint64_t kMaxUnsentBytes = 256U << 10;
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

// True while a request is being received, handled or answered, or the client has yet to receive the
// rest of the last response.
bool
Owes(const HttpConnection& aConnection)
{
  if (aConnection.m_disconnected) {
    return false;
  }
  const bool halfRead =
    !aConnection.m_betweenRequests && !aConnection.m_readerDone && !aConnection.m_closing;
  return aConnection.m_lingering || !aConnection.m_exchanges.empty() || halfRead;
}

using StatePtr = std::shared_ptr<HttpServerState>;

http::status
StatusForReadError(const error_code& aError)
{
  if (aError == http::error::body_limit) {
    return http::status::payload_too_large;
  }
  if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
    return http::status::request_header_fields_too_large;
  }
  if (aError == asio::error::no_memory) { // From ReadBody.
    return http::status::service_unavailable;
  }
  return http::status::bad_request;
}

// Whether the request itself is invalid, as opposed to a failure of the connection.
bool
IsBadRequest(const error_code& aError)
{
  return aError == asio::error::no_memory ||
         (aError.category() == http::make_error_code(http::error::bad_method).category() &&
          aError != http::error::end_of_stream && aError != http::error::partial_message);
}

// Counts and logs a request that was refused because of the server's bounds.
void
RecordRefusal(HttpServerState& aState, const error_code& aError)
{
  const http::status status = StatusForReadError(aError);
  if (status == http::status::service_unavailable) {
    ++aState.m_counts.m_refusedForMemory;
    LogLine(LogLevel::Warning, "request_refused", "memory")
      .Add("reason", "there is no room for the request")
      .Add("held_bytes", aState.m_held.m_used)
      .Add("body_bytes", aState.m_buffered.m_used);
  } else if (status == http::status::request_header_fields_too_large) {
    ++aState.m_counts.m_refusedTooLong;
    LogLine(LogLevel::Warning, "request_refused", "length")
      .Add("reason", "the header, the trailers or the framing of a chunk is too long")
      .Add("limit_bytes", aState.m_limits.m_maxHeaderBytes);
  }
}

void
SetResponse(HttpServerState& aState,
            HttpConnection& aConnection,
            HttpExchange& aExchange,
            HttpResponse aResponse)
{
  if (aConnection.m_disconnected) {
    return; // Nobody waits for it.
  }
  aExchange.m_response = std::move(aResponse);
  HoldAnswer(aState, aConnection, aExchange);
  aConnection.m_responseReady.Wake();
}

void
StartHandler(const StatePtr& aState,
             const HttpConnectionPtr& aConnection,
             const HttpExchangePtr& aExchange,
             HttpRequest aRequest)
{
  asio::co_spawn(
    aState->m_context,
    aState->m_handler(std::move(aRequest)),
    asio::bind_cancellation_slot(
      aExchange->m_cancel.slot(),
      [aState, aConnection, aExchange](const std::exception_ptr& aFailure, HttpResponse aResponse) {
        if (aFailure) {
          aResponse = aState->m_errorHandler(http::status::bad_gateway, "the call was broken off");
        }
        SetResponse(*aState, *aConnection, *aExchange, std::move(aResponse));
      }));
}

// Waits for the first bytes of the next request. Returns false if the connection closed or failed.
Awaitable<bool>
AwaitFirstByte(const StatePtr& aState, HttpConnection& aConnection)
{
  aConnection.m_readingSince = Clock::Now();
  if (aConnection.m_buffer.size() > 0) {
    co_return true;
  }
  aConnection.m_buffer.clear();
  if (aConnection.m_buffer.capacity() > kReadBufferBytes) {
    aConnection.m_buffer.shrink_to_fit();
  }
  BoundReadBuffer(*aState, aConnection);
  aConnection.m_readDeadline = Clock::Now() + aState->m_limits.m_idleTimeoutMs;
  aConnection.m_betweenRequests = true;
  const auto [error, size] = co_await aConnection.m_socket.async_read_some(
    aConnection.m_buffer.prepare(kReadBufferBytes), kAsTuple);
  aConnection.m_buffer.commit(error ? 0 : size);
  co_return !error;
}

Awaitable<void>
SendContinue(HttpConnection& aConnection, const HttpRequest& aRequest)
{
  if (aConnection.m_exchanges.empty() &&
      beast::iequals(aRequest[http::field::expect], "100-continue")) {
    co_await asio::async_write(aConnection.m_socket, asio::buffer(kContinueResponse), kAsTuple);
  }
}

using RequestParser = http::request_parser<http::string_body>;

// Reads the header while there is room for it; aBytes receives its size.
Awaitable<error_code>
ReadHeader(const StatePtr& aState,
           HttpConnection& aConnection,
           RequestParser& aParser,
           std::uint64_t& aBytes)
{
  while (!aParser.is_header_done()) {
    if (!BoundReadBuffer(*aState, aConnection)) {
      co_return asio::error::no_memory;
    }
    const auto [error, size] =
      co_await http::async_read_some(aConnection.m_socket, aConnection.m_buffer, aParser, kAsTuple);
    aBytes += size;
    if (error) {
      co_return error;
    }
  }
  co_return error_code();
}

// Reads the body while there is room for it.
Awaitable<error_code>
ReadBody(const StatePtr& aState,
         HttpConnection& aConnection,
         RequestParser& aParser,
         HttpExchange& aExchange,
         std::uint64_t aHeaderBytes)
{
  aParser.eager(true); // Parses all that a read brought, however small its chunks are.
  while (!aParser.is_done()) {
    const std::uint64_t held = aParser.get().body().size();
    const std::uint64_t coming = aParser.content_length_remaining().value_or(0);
    const bool large = held + coming > kMaxSmallBodyBytes;
    if (large && !aExchange.m_buffered.Set(held + coming)) {
      co_return asio::error::no_memory;
    }
    if (!HoldRequest(*aState, aConnection, aExchange, aHeaderBytes + (large ? 0 : held)) ||
        !BoundReadBuffer(*aState, aConnection)) {
      co_return asio::error::no_memory;
    }
    const auto [error, size] =
      co_await http::async_read_some(aConnection.m_socket, aConnection.m_buffer, aParser, kAsTuple);
    if (error) {
      co_return error;
    }
  }
  co_return error_code();
}

// Returns nothing if the connection ended or the request is invalid or too much;
// IsBadRequest(aError) tells which.
Awaitable<std::optional<HttpRequest>>
ReadRequest(const StatePtr& aState,
            HttpConnection& aConnection,
            HttpExchange& aExchange,
            error_code& aError)
{
  const bool received = co_await AwaitFirstByte(aState, aConnection);
  if (!received) {
    co_return std::nullopt;
  }
  aConnection.m_betweenRequests = false;
  aConnection.m_used = true;
  aConnection.m_readingSince = Clock::Now();
  RequestParser parser;
  parser.header_limit(aState->m_limits.m_maxHeaderBytes);
  parser.body_limit(aState->m_limits.m_maxBodyBytes);
  aConnection.m_readDeadline = Clock::Now() + aState->m_limits.m_headerTimeoutMs;
  std::uint64_t headerBytes = 0;
  error_code error = co_await ReadHeader(aState, aConnection, parser, headerBytes);
  if (!error && !HoldRequest(*aState, aConnection, aExchange, headerBytes)) {
    error = asio::error::no_memory;
  }
  if (!error && !parser.is_done()) {
    aConnection.m_readDeadline = Clock::Now() + aState->m_limits.m_transferTimeoutMs;
    co_await SendContinue(aConnection, parser.get());
    error = co_await ReadBody(aState, aConnection, parser, aExchange, headerBytes);
  }
  aConnection.m_readDeadline.reset();
  aError = error;
  if (error) {
    co_return std::nullopt;
  }
  co_return std::optional<HttpRequest>(parser.release());
}

bool
MayStart(const HttpServerState& aState,
         const HttpConnection& aConnection,
         const HttpRequest& aRequest)
{
  if (aConnection.m_exchanges.empty()) {
    return true;
  }
  return aConnection.m_exchanges.size() < kMaxPipelined &&
         UnsentBytes(aConnection) <= kMaxUnsentBytes && aState.m_mayOverlap &&
         aState.m_mayOverlap(aRequest);
}

// Whether the connection will be closed after the responses in progress. Reading continues
// nevertheless, to detect that the client disconnects.
bool
ClosesAfterPending(const HttpServerState& aState, const HttpConnection& aConnection)
{
  return !aConnection.m_exchanges.empty() &&
         (aState.m_draining || !aConnection.m_exchanges.back()->m_keepAlive);
}

Awaitable<void>
ReadLoop(StatePtr aState, HttpConnectionPtr aConnection)
{
  HttpConnection& connection = *aConnection;
  while (!connection.m_closing && !connection.m_disconnected) {
    error_code error;
    auto exchange = std::make_shared<HttpExchange>(aState->m_buffered, aState->m_held);
    connection.m_receiving = exchange;
    std::optional<HttpRequest> request = co_await ReadRequest(aState, connection, *exchange, error);
    while (request && !connection.m_disconnected && !MayStart(*aState, connection, *request)) {
      co_await connection.m_exchangeDone.Wait();
    }
    if (connection.m_closing || connection.m_disconnected) {
      break;
    }
    if (request && ClosesAfterPending(*aState, connection)) {
      continue; // Not run: it follows the last request to be answered; the client resends it.
    }
    if (!request && !IsBadRequest(error)) {
      CancelAll(connection);
      break;
    }
    connection.m_receiving.reset();
    connection.m_exchanges.push_back(exchange);
    if (!request) {
      exchange->m_keepAlive = false;
      RecordRefusal(*aState, error);
      SetResponse(*aState,
                  connection,
                  *exchange,
                  aState->m_errorHandler(StatusForReadError(error), error.message()));
      break;
    }
    exchange->m_keepAlive = request->keep_alive();
    StartHandler(aState, aConnection, exchange, std::move(*request));
  }
  connection.m_receiving.reset();
  connection.m_readerDone = true;
  connection.m_responseReady.Wake();
}

// Whether the connection stays open after the first exchange's response. Requests that were already
// read are answered before the connection closes.
bool
IsKeptAliveAfterFirst(const HttpServerState& aState, const HttpConnection& aConnection)
{
  const HttpExchange& exchange = *aConnection.m_exchanges.front();
  if (aConnection.m_exchanges.size() > 1) {
    return true;
  }
  return exchange.m_keepAlive && !aState.m_draining && exchange.m_response->keep_alive();
}

Awaitable<bool>
WriteFirstResponse(const StatePtr& aState, HttpConnection& aConnection)
{
  const HttpExchangePtr exchange = aConnection.m_exchanges.front();
  const bool keepAlive = IsKeptAliveAfterFirst(*aState, aConnection);
  exchange->m_response->keep_alive(keepAlive);
  aConnection.m_closing = !keepAlive;
  aConnection.m_closeAnnounced = !keepAlive;
  aConnection.m_writeDeadline = Clock::Now() + aState->m_limits.m_transferTimeoutMs;
  http::response_serializer<http::string_body> serializer(*exchange->m_response);
  error_code error;
  while (!error && !serializer.is_done()) {
    const auto [writeError, size] =
      co_await http::async_write_some(aConnection.m_socket, serializer, kAsTuple);
    error = writeError;
    aConnection.m_sentAt = Clock::Now();
  }
  exchange->m_answer.Set(0);
  aConnection.m_writeDeadline.reset();
  aConnection.m_exchanges.pop_front();
  aConnection.m_exchangeDone.Wake();
  co_return !error && keepAlive;
}

// Whether the server closes the connection now. If it stops, idle connections are closed, also
// those that became idle after StopAccepting, since their last response did not say that they
// close.
bool
ClosesNow(const HttpServerState& aState, const HttpConnection& aConnection)
{
  const bool stopsIdle = aState.m_stopping && aConnection.m_betweenRequests;
  return aConnection.m_exchanges.empty() &&
         (aConnection.m_readerDone || aConnection.m_closing || stopsIdle);
}

Awaitable<void>
WriteLoop(const StatePtr& aState, HttpConnection& aConnection)
{
  while (!aConnection.m_disconnected) {
    if (aConnection.m_exchanges.empty() || !aConnection.m_exchanges.front()->m_response) {
      if (ClosesNow(*aState, aConnection)) {
        aConnection.m_closing = true;
        co_return;
      }
      co_await aConnection.m_responseReady.Wait();
      continue;
    }
    const bool keepAlive = co_await WriteFirstResponse(aState, aConnection);
    if (!keepAlive) {
      co_return;
    }
  }
}

// Reads until the client closes: closing a socket with unread bytes sends a reset, which can
// destroy the last response in transit.
Awaitable<void>
Linger(const StatePtr& aState, HttpConnection& aConnection)
{
  error_code ignored;
  aConnection.m_unacknowledged = UnacknowledgedBytes(aConnection.m_socket);
  // An idle connection whose client has received everything owes nothing.
  aConnection.m_lingering = aConnection.m_closeAnnounced || aConnection.m_unacknowledged > 0;
  aConnection.m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  aConnection.m_readDeadline = Clock::Now() + kLingerMs;
  aConnection.m_writeDeadline = Clock::Now() + aState->m_limits.m_transferTimeoutMs;
  while (!aConnection.m_readerDone && aConnection.m_socket.is_open()) {
    co_await aConnection.m_responseReady.Wait();
  }
  std::array<char, kReadBufferBytes> discarded{};
  for (;;) {
    const auto [error, size] =
      co_await aConnection.m_socket.async_read_some(asio::buffer(discarded), kAsTuple);
    if (error) {
      co_return;
    }
  }
}

// A client that still receives the last response may take longer to close its side.
void
ExtendLinger(HttpConnection& aConnection, Instant aNow)
{
  if (!aConnection.m_lingering) {
    return;
  }
  const std::size_t unacknowledged = UnacknowledgedBytes(aConnection.m_socket);
  if (unacknowledged < aConnection.m_unacknowledged) {
    aConnection.m_unacknowledged = unacknowledged;
    aConnection.m_readDeadline = aNow + kLingerMs;
  }
}

// Closes the connections whose deadlines have passed. An idle deadline does not apply while
// requests are in progress. Ends when no connection is open.
Awaitable<void>
TimeoutLoop(StatePtr aState)
{
  while (!aState->m_connections.empty()) {
    asio::steady_timer timer(aState->m_context, std::chrono::milliseconds(kTimeoutCheckMs));
    co_await timer.async_wait(kAsTuple);
    const Instant now = Clock::Now();
    const std::set<HttpConnectionPtr> connections = aState->m_connections;
    for (const HttpConnectionPtr& connection : connections) {
      ExtendLinger(*connection, now);
      const bool readOverdue = connection->m_readDeadline && now >= *connection->m_readDeadline;
      const bool writeOverdue = connection->m_writeDeadline && now >= *connection->m_writeDeadline;
      const bool busy = connection->m_betweenRequests && !connection->m_exchanges.empty();
      if (writeOverdue || (readOverdue && !busy)) {
        Disconnect(*connection);
      }
    }
  }
  aState->m_checkingTimeouts = false;
}

Awaitable<void>
Serve(StatePtr aState, tcp::socket aSocket)
{
  const auto connection = std::make_shared<HttpConnection>(std::move(aSocket), aState->m_held);
  aState->m_connections.insert(connection);
  if (!aState->m_checkingTimeouts) {
    aState->m_checkingTimeouts = true;
    asio::co_spawn(aState->m_context, TimeoutLoop(aState), asio::detached);
  }
  asio::co_spawn(aState->m_context, ReadLoop(aState, connection), asio::detached);
  co_await WriteLoop(aState, *connection);
  if (!connection->m_disconnected) {
    co_await Linger(aState, *connection);
  }
  Disconnect(*connection);
  aState->m_connections.erase(connection);
}

Awaitable<void>
AcceptLoop(StatePtr aState)
{
  while (!aState->m_stopping) {
    auto [error, socket] = co_await aState->m_acceptor.async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error || !MayKeep(*aState, socket)) {
      // Out of descriptors or over a limit: an accepted socket is closed. Wait instead of spinning.
      socket.close(error);
      asio::steady_timer backoff(aState->m_context, std::chrono::milliseconds(kAcceptBackoffMs));
      co_await backoff.async_wait(kAsTuple);
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
                       HttpErrorHandler aErrorHandler)
  : m_state(std::make_shared<HttpServerState>(aContext,
                                              aLimits,
                                              std::move(aHandler),
                                              std::move(aErrorHandler)))
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
HttpServer::SetOverlapFilter(HttpOverlapFilter aMayOverlap)
{
  m_state->m_mayOverlap = std::move(aMayOverlap);
}

void
HttpServer::SetBudget(std::shared_ptr<ByteBudget> aBudget)
{
  m_state->m_buffered.m_common = aBudget;
  m_state->m_held.m_common = std::move(aBudget);
}

void
HttpServer::SetLimits(const HttpLimits& aLimits)
{
  m_state->m_limits = aLimits;
  m_state->m_buffered.m_max = aLimits.m_maxBufferedBytes;
  m_state->m_held.m_max = aLimits.m_maxHeldBytes;
}

void
HttpServer::DrainConnections()
{
  m_state->m_draining = true;
}

void
HttpServer::StopAccepting()
{
  m_state->m_draining = true;
  m_state->m_stopping = true;
  error_code ignored;
  m_state->m_acceptor.close(ignored);
  const std::set<HttpConnectionPtr> connections = m_state->m_connections;
  for (const HttpConnectionPtr& connection : connections) {
    connection->m_responseReady.Wake();
  }
}

void
HttpServer::CloseAll()
{
  StopAccepting();
  const std::set<HttpConnectionPtr> connections = m_state->m_connections;
  for (const HttpConnectionPtr& connection : connections) {
    Disconnect(*connection);
  }
}

std::size_t
HttpServer::ConnectionCount() const
{
  return m_state->m_connections.size();
}

std::size_t
HttpServer::OwedConnections() const
{
  return static_cast<std::size_t>(
    std::count_if(m_state->m_connections.begin(),
                  m_state->m_connections.end(),
                  [](const HttpConnectionPtr& aConnection) { return Owes(*aConnection); }));
}

const HttpCounts&
HttpServer::Counts() const
{
  return m_state->m_counts;
}

std::uint64_t
HttpServer::HeldBytes() const
{
  return m_state->m_held.m_used;
}

std::uint64_t
HttpServer::BufferedBytes() const
{
  return m_state->m_buffered.m_used;
}

} // namespace sequoiastep::net
