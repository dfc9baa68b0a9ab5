#include "HttpServer.h"

#include "Acceptor.h"
#include "Address.h"
#include "Clock.h"
#include "Log.h"

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

constexpr Milliseconds kAcceptPauseMs = 50;
constexpr Milliseconds kSweepMs = 250;
// How long the client may take to notice that the connection ends.
constexpr Milliseconds kLingerMs = 1000;
constexpr std::size_t kMostPipelined = 32;
constexpr std::size_t kReadBytes = 4096;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// One request and its answer, in the order of arrival.
struct Exchange
{
  std::optional<HttpResponse> m_response;
  bool m_clientKeeps = true;
  asio::cancellation_signal m_cancel;
};

using ExchangePtr = std::shared_ptr<Exchange>;

// A timer that never fires by itself: coroutines wait for its cancellation.
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
    , m_answered(m_socket.get_executor())
    , m_room(m_socket.get_executor())
  {
  }

  tcp::socket m_socket;
  beast::flat_buffer m_buffer;
  std::deque<ExchangePtr> m_exchanges;
  /// Wakes the writer: the first exchange may have its answer.
  Wakeup m_answered;
  /// Wakes the reader: an exchange ended.
  Wakeup m_room;
  /// After these the connection is cut.
  std::optional<Instant> m_readBy;
  std::optional<Instant> m_writeBy;
  /// No byte of a next request came yet.
  bool m_betweenRequests = true;
  /// The last response said that the connection ends; what was read after it is not run.
  bool m_closing = false;
  bool m_readerDone = false;
  bool m_gone = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

void
Cut(Connection& aConnection)
{
  error_code ignored;
  aConnection.m_gone = true;
  aConnection.m_socket.close(ignored);
  aConnection.m_answered.Wake();
  aConnection.m_room.Wake();
}

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
  HttpOverlap m_mayOverlap;
  std::set<ConnectionPtr> m_open;
  bool m_ending = false;
  bool m_stopping = false;
  bool m_sweeping = false;
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
  return http::status::bad_request;
}

// Errors of the request itself, as against those of the connection.
bool
IsBadRequest(const error_code& aError)
{
  return aError.category() == http::make_error_code(http::error::bad_method).category() &&
         aError != http::error::end_of_stream && aError != http::error::partial_message;
}

void
Answer(Connection& aConnection, Exchange& aExchange, HttpResponse aResponse)
{
  aExchange.m_response = std::move(aResponse);
  aConnection.m_answered.Wake();
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
          aResponse = aState->m_errorBody(http::status::bad_gateway, "the call was broken off");
        }
        Answer(*aConnection, *aExchange, std::move(aResponse));
      }));
}

// Reads more bytes of a request, or notices that the client left.
Awaitable<bool>
AwaitFirstByte(const StatePtr& aState, Connection& aConnection)
{
  if (aConnection.m_buffer.size() > 0) {
    co_return true;
  }
  aConnection.m_readBy = Clock::Now() + aState->m_limits.m_idleMs;
  aConnection.m_betweenRequests = true;
  const auto [error, size] = co_await aConnection.m_socket.async_read_some(
    aConnection.m_buffer.prepare(kReadBytes), kAsTuple);
  aConnection.m_buffer.commit(error ? 0 : size);
  co_return !error;
}

Awaitable<void>
SendContinue(Connection& aConnection, const HttpRequest& aRequest)
{
  if (aConnection.m_exchanges.empty() &&
      beast::iequals(aRequest[http::field::expect], "100-continue")) {
    co_await asio::async_write(aConnection.m_socket, asio::buffer(kContinue), kAsTuple);
  }
}

// Gives nothing if the connection ended; aError tells whether the request was at fault.
Awaitable<std::optional<HttpRequest>>
ReadRequest(const StatePtr& aState, Connection& aConnection, error_code& aError)
{
  const bool begun = co_await AwaitFirstByte(aState, aConnection);
  if (!begun) {
    co_return std::nullopt;
  }
  aConnection.m_betweenRequests = false;
  http::request_parser<http::string_body> parser;
  parser.header_limit(aState->m_limits.m_maxHeaderBytes);
  parser.body_limit(aState->m_limits.m_maxBodyBytes);
  aConnection.m_readBy = Clock::Now() + aState->m_limits.m_headerMs;
  auto [error, size] =
    co_await http::async_read_header(aConnection.m_socket, aConnection.m_buffer, parser, kAsTuple);
  if (!error && !parser.is_done()) {
    aConnection.m_readBy = Clock::Now() + aState->m_limits.m_transferMs;
    co_await SendContinue(aConnection, parser.get());
    const auto [bodyError, bodySize] =
      co_await http::async_read(aConnection.m_socket, aConnection.m_buffer, parser, kAsTuple);
    error = bodyError;
  }
  aConnection.m_readBy.reset();
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
  return aConnection.m_exchanges.size() < kMostPipelined && aState.m_mayOverlap &&
         aState.m_mayOverlap(aRequest);
}

// The client left: nobody waits for the answers.
void
CancelAll(Connection& aConnection)
{
  aConnection.m_gone = true;
  const std::deque<ExchangePtr> exchanges = aConnection.m_exchanges;
  for (const ExchangePtr& exchange : exchanges) {
    exchange->m_cancel.emit(asio::cancellation_type::terminal);
  }
  aConnection.m_answered.Wake();
}

// True if the last response in progress will close the connection. Reading goes on, to notice a
// client that leaves.
bool
TakesNoMore(const HttpServerState& aState, const Connection& aConnection)
{
  return !aConnection.m_exchanges.empty() &&
         (aState.m_ending || !aConnection.m_exchanges.back()->m_clientKeeps);
}

Awaitable<void>
ReadLoop(StatePtr aState, ConnectionPtr aConnection)
{
  Connection& connection = *aConnection;
  while (!connection.m_closing && !connection.m_gone) {
    error_code error;
    std::optional<HttpRequest> request = co_await ReadRequest(aState, connection, error);
    while (request && !connection.m_gone && !MayStart(*aState, connection, *request)) {
      co_await connection.m_room.Wait();
    }
    if (connection.m_closing || connection.m_gone) {
      break;
    }
    if (request && TakesNoMore(*aState, connection)) {
      continue; // It lies behind the response that will close: the client sends it again.
    }
    if (!request && !IsBadRequest(error)) {
      CancelAll(connection);
      break;
    }
    auto exchange = std::make_shared<Exchange>();
    connection.m_exchanges.push_back(exchange);
    if (!request) {
      exchange->m_clientKeeps = false;
      Answer(
        connection, *exchange, aState->m_errorBody(StatusForReadError(error), error.message()));
      break;
    }
    exchange->m_clientKeeps = request->keep_alive();
    StartHandler(aState, aConnection, exchange, std::move(*request));
  }
  connection.m_readerDone = true;
  connection.m_answered.Wake();
}

// Whether the connection goes on after the first exchange's answer. While it ends, requests that
// were read already are still answered.
bool
KeepsAfterFirst(const HttpServerState& aState, const Connection& aConnection)
{
  const Exchange& exchange = *aConnection.m_exchanges.front();
  if (aConnection.m_exchanges.size() > 1) {
    return true;
  }
  return exchange.m_clientKeeps && !aState.m_ending && exchange.m_response->keep_alive();
}

Awaitable<bool>
WriteFirst(const StatePtr& aState, Connection& aConnection)
{
  const ExchangePtr exchange = aConnection.m_exchanges.front();
  const bool keep = KeepsAfterFirst(*aState, aConnection);
  exchange->m_response->keep_alive(keep);
  aConnection.m_closing = !keep;
  aConnection.m_writeBy = Clock::Now() + aState->m_limits.m_transferMs;
  const auto [error, size] =
    co_await http::async_write(aConnection.m_socket, *exchange->m_response, kAsTuple);
  aConnection.m_writeBy.reset();
  aConnection.m_exchanges.pop_front();
  aConnection.m_room.Wake();
  co_return !error && keep;
}

Awaitable<void>
WriteLoop(const StatePtr& aState, Connection& aConnection)
{
  while (!aConnection.m_gone) {
    if (aConnection.m_exchanges.empty() || !aConnection.m_exchanges.front()->m_response) {
      if (aConnection.m_exchanges.empty() && (aConnection.m_readerDone || aConnection.m_closing)) {
        co_return;
      }
      co_await aConnection.m_answered.Wait();
      continue;
    }
    const bool keep = co_await WriteFirst(aState, aConnection);
    if (!keep) {
      co_return;
    }
  }
}

// Unread bytes would turn the close into a reset that destroys the last answer on its way.
Awaitable<void>
Linger(Connection& aConnection)
{
  error_code ignored;
  aConnection.m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  aConnection.m_readBy = Clock::Now() + kLingerMs;
  while (!aConnection.m_readerDone && aConnection.m_socket.is_open()) {
    co_await aConnection.m_answered.Wait();
  }
  std::array<char, kReadBytes> dropped{};
  for (;;) {
    const auto [error, size] =
      co_await aConnection.m_socket.async_read_some(asio::buffer(dropped), kAsTuple);
    if (error) {
      co_return;
    }
  }
}

Awaitable<void>
SweepLoop(StatePtr aState)
{
  while (!aState->m_open.empty()) {
    asio::steady_timer timer(aState->m_context, std::chrono::milliseconds(kSweepMs));
    co_await timer.async_wait(kAsTuple);
    const Instant now = Clock::Now();
    const std::set<ConnectionPtr> open = aState->m_open;
    for (const ConnectionPtr& connection : open) {
      const bool unread = connection->m_readBy && now >= *connection->m_readBy;
      const bool unwritten = connection->m_writeBy && now >= *connection->m_writeBy;
      const bool busy = connection->m_betweenRequests && !connection->m_exchanges.empty();
      if (unwritten || (unread && !busy)) {
        Cut(*connection);
      }
    }
  }
  aState->m_sweeping = false;
}

Awaitable<void>
Serve(StatePtr aState, tcp::socket aSocket)
{
  const auto connection = std::make_shared<Connection>(std::move(aSocket));
  aState->m_open.insert(connection);
  if (!aState->m_sweeping) {
    aState->m_sweeping = true;
    asio::co_spawn(aState->m_context, SweepLoop(aState), asio::detached);
  }
  asio::co_spawn(aState->m_context, ReadLoop(aState, connection), asio::detached);
  co_await WriteLoop(aState, *connection);
  if (!connection->m_gone) {
    co_await Linger(*connection);
  }
  Cut(*connection);
  aState->m_open.erase(connection);
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
HttpServer::SetOverlap(HttpOverlap aMayOverlap)
{
  m_state->m_mayOverlap = std::move(aMayOverlap);
}

void
HttpServer::SetLimits(const HttpLimits& aLimits)
{
  m_state->m_limits = aLimits;
}

void
HttpServer::EndConnections()
{
  m_state->m_ending = true;
}

void
HttpServer::StopAccepting()
{
  m_state->m_ending = true;
  m_state->m_stopping = true;
  error_code ignored;
  m_state->m_acceptor.close(ignored);
  const std::set<ConnectionPtr> open = m_state->m_open;
  for (const ConnectionPtr& connection : open) {
    if (connection->m_exchanges.empty() && connection->m_betweenRequests) {
      connection->m_closing = true;
      connection->m_answered.Wake();
    }
  }
}

void
HttpServer::CloseAll()
{
  StopAccepting();
  const std::set<ConnectionPtr> open = m_state->m_open;
  for (const ConnectionPtr& connection : open) {
    Cut(*connection);
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
