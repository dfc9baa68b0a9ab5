#include "HttpServerBounds.h"

#include "Log.h"

#include <algorithm>
#include <fcntl.h>
#include <limits>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>

namespace sequoiastep::net {

namespace {

// A request is held as received, as a call, as an attempt and as it is sent.
constexpr std::uint64_t kCopiesOfRequest = 4;
// What a response takes besides its body, roughly.
constexpr std::uint64_t kResponseHeaderBytes = 512;
// A connection that waits for a request is not closed for a new one before it has waited this long.
constexpr Milliseconds kMinIdleMs = 1000;
// For a new request, only a connection is closed whose client makes no progress for so long. Else
// the new one is refused, so that many requests in progress don't close connections of quick
// clients.
constexpr Milliseconds kMinSlowMs = 250;
// Of the common budget, a server closes connections only for what it holds beyond this part of its
// own.
constexpr std::uint64_t kCommonDivisor = 4;

bool
IsOver(const HttpServerState& aState)
{
  const ByteBudget& held = aState.m_held;
  if (held.m_used > held.m_max) {
    return true;
  }
  return held.m_common && !held.m_common->HasRoom(0) && held.m_used > held.m_max / kCommonDivisor;
}

// How long the client has left unread a response, or takes to send its request.
Milliseconds
WaitOf(const HttpConnection& aConnection, Instant aNow)
{
  return aNow - (UnsentBytes(aConnection) > 0 ? aConnection.m_sentAt : aConnection.m_readingSince);
}

// The bytes that are freed at once if the connection is closed. Those of requests in progress are
// not.
std::uint64_t
FreedBytes(const HttpConnection& aConnection)
{
  const std::uint64_t receiving =
    aConnection.m_receiving ? aConnection.m_receiving->m_request.Bytes() : 0;
  return UnsentBytes(aConnection) + aConnection.m_readBuffer.Bytes() + receiving;
}

HttpConnectionPtr
Slowest(const HttpServerState& aState, const HttpConnection& aKept, Milliseconds aMinWaitMs)
{
  const Instant now = Clock::Now();
  HttpConnectionPtr slowest;
  std::pair<Milliseconds, std::uint64_t> most;
  for (const HttpConnectionPtr& connection : aState.m_connections) {
    const std::uint64_t bytes = FreedBytes(*connection);
    if (connection->m_disconnected || connection.get() == &aKept || bytes == 0) {
      continue;
    }
    const std::pair<Milliseconds, std::uint64_t> cost(WaitOf(*connection, now), bytes);
    if (cost.first >= aMinWaitMs && (!slowest || cost > most)) {
      slowest = connection;
      most = cost;
    }
  }
  return slowest;
}

void
CloseForRoom(HttpServerState& aState, HttpConnection& aConnection)
{
  LogLine(LogLevel::Warning, "connection_closed", "memory")
    .Add("reason", "the client is the slowest and memory for callers is used up")
    .Add("unsent_bytes", UnsentBytes(aConnection))
    .Add("waited_ms", WaitOf(aConnection, Clock::Now()));
  ++aState.m_counts.m_closedForMemory;
  CancelAll(aConnection);
  Disconnect(aConnection);
  aConnection.m_readBuffer.Set(0);
  if (aConnection.m_receiving) {
    aConnection.m_receiving->m_request.Set(0);
  }
  for (const HttpExchangePtr& exchange : aConnection.m_exchanges) {
    exchange->m_answer.Set(0);
  }
}

// Closes the slowest connections until the server is within its bounds. Returns false if it is not,
// though no other than aKept is left that made no progress for aMinWaitMs.
bool
MakeRoom(HttpServerState& aState, const HttpConnection& aKept, Milliseconds aMinWaitMs)
{
  while (IsOver(aState)) {
    const HttpConnectionPtr slowest = Slowest(aState, aKept, aMinWaitMs);
    if (!slowest) {
      return false;
    }
    CloseForRoom(aState, *slowest);
  }
  return true;
}

// The number of descriptors that may be open before some are left only for other uses than callers.
std::size_t
DescriptorsForCallers(const HttpLimits& aLimits)
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return std::numeric_limits<std::size_t>::max();
  }
  return limit.rlim_cur - std::min<std::size_t>(aLimits.m_reservedDescriptors, limit.rlim_cur / 2);
}

// Closes a connection that waits for a request, for a new one: rather one that was never used, and
// of those the one that waits longest.
bool
CloseLongestIdle(HttpServerState& aState)
{
  const Instant now = Clock::Now();
  HttpConnectionPtr longest;
  std::pair<bool, Milliseconds> most;
  for (const HttpConnectionPtr& connection : aState.m_connections) {
    const bool idle = connection->m_betweenRequests && connection->m_exchanges.empty() &&
                      !connection->m_disconnected && !connection->m_lingering;
    const std::pair<bool, Milliseconds> wait(!connection->m_used, now - connection->m_readingSince);
    if (idle && wait.second >= kMinIdleMs && (!longest || wait > most)) {
      longest = connection;
      most = wait;
    }
  }
  if (!longest) {
    return false;
  }
  ++aState.m_counts.m_closedForConnections;
  LogLine(LogLevel::Warning, "connection_closed", "idle")
    .Add("reason", "there are too many connections and this one waited longest for a request")
    .Add("waited_ms", most.second);
  Disconnect(*longest);
  return true;
}

// Moves the socket to the lowest free descriptor, such as that of a connection just closed, so that
// the number of a new descriptor goes on to tell how many are open.
void
UseLowestDescriptor(tcp::socket& aSocket)
{
  error_code error;
  const tcp::endpoint local = aSocket.local_endpoint(error);
  const int old = error ? -1 : aSocket.release(error);
  if (error) {
    return;
  }
  const int lowest = ::fcntl(old, F_DUPFD_CLOEXEC, 0); // NOLINT(cppcoreguidelines-pro-type-vararg)
  if (lowest >= 0) {
    ::close(old);
  }
  aSocket.assign(local.protocol(), lowest >= 0 ? lowest : old, error);
}

} // namespace

void
Disconnect(HttpConnection& aConnection)
{
  error_code ignored;
  aConnection.m_disconnected = true;
  aConnection.m_socket.close(ignored);
  aConnection.m_responseReady.Wake();
  aConnection.m_exchangeDone.Wake();
}

void
CancelAll(HttpConnection& aConnection)
{
  aConnection.m_disconnected = true;
  const std::deque<HttpExchangePtr> exchanges = aConnection.m_exchanges;
  for (const HttpExchangePtr& exchange : exchanges) {
    exchange->m_cancel.emit(asio::cancellation_type::terminal);
  }
  aConnection.m_responseReady.Wake();
}

std::uint64_t
UnsentBytes(const HttpConnection& aConnection)
{
  std::uint64_t bytes = 0;
  for (const HttpExchangePtr& exchange : aConnection.m_exchanges) {
    bytes += exchange->m_answer.Bytes();
  }
  return bytes;
}

bool
BoundReadBuffer(HttpServerState& aState, HttpConnection& aConnection)
{
  // Chunk sizes, chunk extensions and trailers are parsed when they are whole, so that they are
  // bounded like a header. What was read of pipelined requests must fit in any case.
  aConnection.m_buffer.max_size(
    std::max<std::size_t>(aState.m_limits.m_maxHeaderBytes, aConnection.m_buffer.size()) +
    kReadBufferBytes);
  const std::size_t capacity = aConnection.m_buffer.capacity();
  aConnection.m_readBuffer.Set(capacity - std::min(capacity, kReadBufferBytes));
  return MakeRoom(aState, aConnection, kMinSlowMs);
}

bool
HoldRequest(HttpServerState& aState,
            HttpConnection& aConnection,
            HttpExchange& aExchange,
            std::uint64_t aBytes)
{
  aExchange.m_request.Set(aBytes * kCopiesOfRequest);
  return MakeRoom(aState, aConnection, kMinSlowMs);
}

void
HoldAnswer(HttpServerState& aState, HttpConnection& aConnection, HttpExchange& aExchange)
{
  if (UnsentBytes(aConnection) == 0) {
    aConnection.m_sentAt = Clock::Now();
  }
  aExchange.m_answer.Set(aExchange.m_response->body().size() + kResponseHeaderBytes);
  const bool several = UnsentBytes(aConnection) > aExchange.m_answer.Bytes();
  if (!MakeRoom(aState, aConnection, 0) && several) {
    CloseForRoom(aState, aConnection);
  }
}

bool
MayKeep(HttpServerState& aState, tcp::socket& aSocket)
{
  // The kernel gives out the lowest free descriptor, so that its number tells how many are open.
  const auto descriptor = static_cast<std::size_t>(aSocket.native_handle());
  const bool descriptorsLeft = descriptor < DescriptorsForCallers(aState.m_limits);
  if (descriptorsLeft && aState.m_connections.size() < aState.m_limits.m_maxConnections) {
    return true;
  }
  if (CloseLongestIdle(aState)) {
    UseLowestDescriptor(aSocket);
    return true;
  }
  ++aState.m_counts.m_refusedConnections;
  LogLine(LogLevel::Warning, "connection_refused", descriptorsLeft ? "connections" : "descriptors")
    .Add("reason", descriptorsLeft ? "connection limit" : "descriptors are kept for other uses")
    .Add("connections", aState.m_connections.size());
  return false;
}

} // namespace sequoiastep::net
