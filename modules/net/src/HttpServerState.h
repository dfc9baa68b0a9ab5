/// @file
/// State of an HttpServer and of its connections.
#pragma once

#include "ByteBudget.h"
#include "Clock.h"
#include "HttpServer.h"
#include "HttpWakeup.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>

namespace sequoiastep::net {

/// A request in progress and its response.
struct HttpExchange
{
  HttpExchange(ByteBudget& aBuffered, ByteBudget& aHeld)
    : m_buffered(aBuffered)
    , m_request(aHeld)
    , m_answer(aHeld)
  {
  }

  std::optional<HttpResponse> m_response;
  bool m_keepAlive = true;
  /// Bytes of the request's body, if it is large.
  BudgetShare m_buffered;
  /// Bytes of the request's header, and of its body if that is small.
  BudgetShare m_request;
  /// Bytes of the response that were not sent yet.
  BudgetShare m_answer;
  asio::cancellation_signal m_cancel;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// A connection of a client.
struct HttpConnection
{
  HttpConnection(tcp::socket aSocket, ByteBudget& aHeld)
    : m_socket(std::move(aSocket))
    , m_readBuffer(aHeld)
    , m_responseReady(m_socket.get_executor())
    , m_exchangeDone(m_socket.get_executor())
  {
  }

  tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  /// Bytes of m_buffer beyond those that each connection has.
  BudgetShare m_readBuffer;
  /// In the order in which the requests arrived.
  std::deque<HttpExchangePtr> m_exchanges;
  /// The exchange whose request is being received.
  HttpExchangePtr m_receiving;
  /// Wakes the writer: the first exchange may have its response, or the connection ends.
  HttpWakeup m_responseReady;
  /// Wakes the reader: an exchange has ended.
  HttpWakeup m_exchangeDone;
  /// The connection is closed when one of these has passed.
  std::optional<Instant> m_readDeadline;
  std::optional<Instant> m_writeDeadline;
  /// Since when the connection waits for the next request, or that request is being received.
  Instant m_readingSince;
  /// When the client last took bytes of a response, or the first unsent response became known.
  Instant m_sentAt;
  /// No byte of the next request has arrived.
  bool m_betweenRequests = true;
  /// A request was received.
  bool m_used = false;
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

using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

struct HttpServerState : std::enable_shared_from_this<HttpServerState>
{
  HttpServerState(asio::io_context& aContext,
                  HttpLimits aLimits,
                  HttpHandler aHandler,
                  HttpErrorHandler aErrorHandler)
    : m_context(aContext)
    , m_acceptor(aContext)
    , m_limits(aLimits)
    , m_buffered{ .m_max = aLimits.m_maxBufferedBytes, .m_copies = kCopiesOfLargeBody }
    , m_held{ .m_max = aLimits.m_maxHeldBytes }
    , m_handler(std::move(aHandler))
    , m_errorHandler(std::move(aErrorHandler))
  {
  }

  /// A body is held as received, as a call, as an attempt and as it is sent.
  static constexpr std::uint64_t kCopiesOfLargeBody = 4;

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  HttpLimits m_limits;
  /// Bytes of large request bodies.
  ByteBudget m_buffered;
  /// Bytes of read buffers, headers, small bodies and unsent responses.
  ByteBudget m_held;
  HttpCounts m_counts;
  HttpHandler m_handler;
  HttpErrorHandler m_errorHandler;
  HttpOverlapFilter m_mayOverlap;
  std::set<HttpConnectionPtr> m_connections;
  bool m_draining = false;
  bool m_stopping = false;
  bool m_checkingTimeouts = false;
};

} // namespace sequoiastep::net
