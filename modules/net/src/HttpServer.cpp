#include "HttpServer.h"

#include "Acceptor.h"
#include "Address.h"
#include "ByteBudget.h"
#include "Clock.h"
#include "Log.h"
#include "SocketOptions.h"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <deque>
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
constexpr std::size_t kReadBufferBytes = 4096;
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

// A request in progress and its response.
struct Exchange
{
  explicit Exchange(ByteBudget& aBudget)
    : m_buffered(aBudget)
  {
  }

  std::optional<HttpResponse> m_response;
  bool m_keepAlive = true;
  /// Bytes of the request's body, if it is large.
  BudgetShare m_buffered;
  asio::cancellation_signal m_cancel;
};

using ExchangePtr = std::shared_ptr<Exchange>;

// Suspends coroutines until Wake: a timer that never expires and is cancelled to resume them.
struct Wakeup
{
  explicit Wakeup(const asio::any_io_executor& aExecutor)
    : m_timer(aExecutor, std::chrono::steady_clock::time_point::max())
  {
  }

  Awaitable<void> Wait() { co_await m_timer.async_wait(kAsTuple); }
  void Wake() { m_timer.cancel(); }

  asio::steady_timer m_timer;
};

struct Connection
{
  explicit Connection(tcp::socket aSocket)
    : m_socket(std::move(aSocket))
    , m_responseReady(m_socket.get_executor())
    , m_exchangeDone(m_socket.get_executor())
  {
  }

  tcp::socket m_socket;
  beast::flat_buffer m_buffer;
  /// In the order in which the requests arrived.
  std::deque<ExchangePtr> m_exchanges;
  /// Wakes the writer: the first exchange may have its response, or the connection ends.
  Wakeup m_responseReady;
  /// Wakes the reader: an exchange has ended.
  Wakeup m_exchangeDone;
  /// The connection is closed when one of these has passed.
  std::optional<Instant> m_readDeadline;
  std::optional<Instant> m_writeDeadline;
  /// No byte of the next request has arrived.
  bool m_betweenRequests = true;
  /// The server closes the connection; requests read from now on are not run.
  bool m_closing = false;
  /// The last response announced the close.
  bool m_closeAnnounced = false;
  bool m_readerDone = false;
  /// The last response is written; the client has yet to receive it and to close its side.
  bool m_lingering = false;
  /// While lingering: bytes that the client had not acknowledged when last checked.
  std::size_t m_unacknowledged = 0;
  /// The socket is closed or the client disconnected; the read and write loops end.
  bool m_disconnected = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

// True while a request is being received, handled or answered, or the client has yet to receive the
// rest of the last response.
bool
Owes(const Connection& aConnection)
{
  if (aConnection.m_disconnected) {
    return false;
  }
  const bool halfRead =
    !aConnection.m_betweenRequests && !aConnection.m_readerDone && !aConnection.m_closing;
  return aConnection.m_lingering || !aConnection.m_exchanges.empty() || halfRead;
}

void
Disconnect(Connection& aConnection)
{
  error_code ignored;
  aConnection.m_disconnected = true;
  aConnection.m_socket.close(ignored);
  aConnection.m_responseReady.Wake();
  aConnection.m_exchangeDone.Wake();
}

} // namespace

struct HttpServerState : std::enable_shared_from_this<HttpServerState>
{
  HttpServerState(asio::io_context& aContext,
                  HttpLimits aLimits,
                  HttpHandler aHandler,
                  HttpErrorHandler aErrorHandler)
    : m_context(aContext)
    , m_acceptor(aContext)
    , m_limits(aLimits)
    , m_buffered{ .m_max = aLimits.m_maxBufferedBytes }
    , m_handler(std::move(aHandler))
    , m_errorHandler(std::move(aErrorHandler))
  {
  }

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  HttpLimits m_limits;
  ByteBudget m_buffered;
  HttpHandler m_handler;
  HttpErrorHandler m_errorHandler;
  HttpOverlapFilter m_mayOverlap;
  std::set<ConnectionPtr> m_connections;
  bool m_draining = false;
  bool m_stopping = false;
  bool m_checkingTimeouts = false;
};

namespace {

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

void
SetResponse(Connection& aConnection, Exchange& aExchange, HttpResponse aResponse)
{
  aExchange.m_response = std::move(aResponse);
  aConnection.m_responseReady.Wake();
}

void
StartHandler(const StatePtr& aState,
             const ConnectionPtr& aConnection,
             const ExchangePtr& aExchange,
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
        SetResponse(*aConnection, *aExchange, std::move(aResponse));
      }));
}

// Waits for the first bytes of the next request. Returns false if the connection closed or failed.
Awaitable<bool>
AwaitFirstByte(const StatePtr& aState, Connection& aConnection)
{
  if (aConnection.m_buffer.size() > 0) {
    co_return true;
  }
  aConnection.m_readDeadline = Clock::Now() + aState->m_limits.m_idleTimeoutMs;
  aConnection.m_betweenRequests = true;
  const auto [error, size] = co_await aConnection.m_socket.async_read_some(
    aConnection.m_buffer.prepare(kReadBufferBytes), kAsTuple);
  aConnection.m_buffer.commit(error ? 0 : size);
  co_return !error;
}

Awaitable<void>
SendContinue(Connection& aConnection, const HttpRequest& aRequest)
{
  if (aConnection.m_exchanges.empty() &&
      beast::iequals(aRequest[http::field::expect], "100-continue")) {
    co_await asio::async_write(aConnection.m_socket, asio::buffer(kContinueResponse), kAsTuple);
  }
}

using RequestParser = http::request_parser<http::string_body>;

// Reads the body while the budget for large ones allows it.
Awaitable<error_code>
ReadBody(Connection& aConnection, RequestParser& aParser, BudgetShare& aBuffered)
{
  aParser.eager(true); // Parses all that a read brought, however small its chunks are.
  while (!aParser.is_done()) {
    const std::uint64_t held = aParser.get().body().size();
    const std::uint64_t coming = aParser.content_length_remaining().value_or(0);
    if (held + coming > kMaxSmallBodyBytes && !aBuffered.Set(held + coming)) {
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
            Connection& aConnection,
            BudgetShare& aBuffered,
            error_code& aError)
{
  const bool received = co_await AwaitFirstByte(aState, aConnection);
  if (!received) {
    co_return std::nullopt;
  }
  aConnection.m_betweenRequests = false;
  RequestParser parser;
  parser.header_limit(aState->m_limits.m_maxHeaderBytes);
  parser.body_limit(aState->m_limits.m_maxBodyBytes);
  aConnection.m_readDeadline = Clock::Now() + aState->m_limits.m_headerTimeoutMs;
  auto [error, size] =
    co_await http::async_read_header(aConnection.m_socket, aConnection.m_buffer, parser, kAsTuple);
  if (!error && !parser.is_done()) {
    aConnection.m_readDeadline = Clock::Now() + aState->m_limits.m_transferTimeoutMs;
    co_await SendContinue(aConnection, parser.get());
    error = co_await ReadBody(aConnection, parser, aBuffered);
  }
  aConnection.m_readDeadline.reset();
  aError = error;
  if (error) {
    co_return std::nullopt;
  }
  co_return std::optional<HttpRequest>(parser.release());
}

bool
MayStart(const HttpServerState& aState, const Connection& aConnection, const HttpRequest& aRequest)
{
  if (aConnection.m_exchanges.empty()) {
    return true;
  }
  return aConnection.m_exchanges.size() < kMaxPipelined && aState.m_mayOverlap &&
         aState.m_mayOverlap(aRequest);
}

// Cancels all requests after the client disconnected, since their responses can't be delivered.
void
CancelAll(Connection& aConnection)
{
  aConnection.m_disconnected = true;
  const std::deque<ExchangePtr> exchanges = aConnection.m_exchanges;
  for (const ExchangePtr& exchange : exchanges) {
    exchange->m_cancel.emit(asio::cancellation_type::terminal);
  }
  aConnection.m_responseReady.Wake();
}

// Whether the connection will be closed after the responses in progress. Reading continues
// nevertheless, to detect that the client disconnects.
bool
ClosesAfterPending(const HttpServerState& aState, const Connection& aConnection)
{
  return !aConnection.m_exchanges.empty() &&
         (aState.m_draining || !aConnection.m_exchanges.back()->m_keepAlive);
}

Awaitable<void>
ReadLoop(StatePtr aState, ConnectionPtr aConnection)
{
  Connection& connection = *aConnection;
  while (!connection.m_closing && !connection.m_disconnected) {
    error_code error;
    auto exchange = std::make_shared<Exchange>(aState->m_buffered);
    std::optional<HttpRequest> request =
      co_await ReadRequest(aState, connection, exchange->m_buffered, error);
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
    connection.m_exchanges.push_back(exchange);
    if (!request) {
      exchange->m_keepAlive = false;
      SetResponse(
        connection, *exchange, aState->m_errorHandler(StatusForReadError(error), error.message()));
      break;
    }
    exchange->m_keepAlive = request->keep_alive();
    StartHandler(aState, aConnection, exchange, std::move(*request));
  }
  connection.m_readerDone = true;
  connection.m_responseReady.Wake();
}

// Whether the connection stays open after the first exchange's response. Requests that were already
// read are answered before the connection closes.
bool
IsKeptAliveAfterFirst(const HttpServerState& aState, const Connection& aConnection)
{
  const Exchange& exchange = *aConnection.m_exchanges.front();
  if (aConnection.m_exchanges.size() > 1) {
    return true;
  }
  return exchange.m_keepAlive && !aState.m_draining && exchange.m_response->keep_alive();
}

Awaitable<bool>
WriteFirstResponse(const StatePtr& aState, Connection& aConnection)
{
  const ExchangePtr exchange = aConnection.m_exchanges.front();
  const bool keepAlive = IsKeptAliveAfterFirst(*aState, aConnection);
  exchange->m_response->keep_alive(keepAlive);
  aConnection.m_closing = !keepAlive;
  aConnection.m_closeAnnounced = !keepAlive;
  aConnection.m_writeDeadline = Clock::Now() + aState->m_limits.m_transferTimeoutMs;
  const auto [error, size] =
    co_await http::async_write(aConnection.m_socket, *exchange->m_response, kAsTuple);
  aConnection.m_writeDeadline.reset();
  aConnection.m_exchanges.pop_front();
  aConnection.m_exchangeDone.Wake();
  co_return !error && keepAlive;
}

// Whether the server closes the connection now. If it stops, idle connections are closed, also
// those that became idle after StopAccepting, since their last response did not say that they
// close.
bool
ClosesNow(const HttpServerState& aState, const Connection& aConnection)
{
  const bool stopsIdle = aState.m_stopping && aConnection.m_betweenRequests;
  return aConnection.m_exchanges.empty() &&
         (aConnection.m_readerDone || aConnection.m_closing || stopsIdle);
}

Awaitable<void>
WriteLoop(const StatePtr& aState, Connection& aConnection)
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
Linger(const StatePtr& aState, Connection& aConnection)
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
ExtendLinger(Connection& aConnection, Instant aNow)
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
    const std::set<ConnectionPtr> connections = aState->m_connections;
    for (const ConnectionPtr& connection : connections) {
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
  const auto connection = std::make_shared<Connection>(std::move(aSocket));
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
    if (error || aState->m_connections.size() >= aState->m_limits.m_maxConnections) {
      // Out of descriptors or over the connection limit: an accepted socket is closed. Wait instead
      // of spinning.
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
HttpServer::SetLimits(const HttpLimits& aLimits)
{
  m_state->m_limits = aLimits;
  m_state->m_buffered.m_max = aLimits.m_maxBufferedBytes;
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
  const std::set<ConnectionPtr> connections = m_state->m_connections;
  for (const ConnectionPtr& connection : connections) {
    connection->m_responseReady.Wake();
  }
}

void
HttpServer::CloseAll()
{
  StopAccepting();
  const std::set<ConnectionPtr> connections = m_state->m_connections;
  for (const ConnectionPtr& connection : connections) {
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
                  [](const ConnectionPtr& aConnection) { return Owes(*aConnection); }));
}

} // namespace sequoiastep::net
