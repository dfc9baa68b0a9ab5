#include "HttpClient.h"

#include "Clock.h"
#include "RequestWriter.h"
#include "ResponseStatus.h"
#include "SocketOptions.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/ostream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <vector>

namespace sequoiastep::net {

namespace beast = boost::beast;

namespace {

constexpr Milliseconds kSecondMs = 1000;
// An idle connection is no longer reused this long before the server's stated idle timeout ends.
constexpr Milliseconds kIdleMarginMs = 1000;
constexpr std::int64_t kDeadPeerTimeoutMs = 3000;
// Bounds what is not body: a header, the size of a chunk with its extensions, or trailers.
constexpr std::size_t kMaxUnparsedBytes = 128U << 10;
constexpr std::uint32_t kMaxInterimResponses = 8;
// A body is held as received, as an answer and as it is sent on.
constexpr std::uint64_t kCopiesOfResponse = 3;
// Responses of up to this size are received whatever else is held.
constexpr std::uint64_t kSmallResponseBytes = 16U << 10;
// Pause between checks for room.
constexpr Milliseconds kRoomPollMs = 5;

// A connection and the bytes read past its last response.
struct PooledConnection
{
  explicit PooledConnection(asio::io_context& aContext)
    : m_socket(aContext)
    , m_timer(aContext)
    , m_writer(m_socket)
  {
  }

  tcp::socket m_socket;
  asio::steady_timer m_timer;
  RequestWriter m_writer;
  beast::flat_buffer m_buffer{ kMaxUnparsedBytes };
  bool m_timedOut = false;
  Instant m_reusableUntil;
};

using PooledPtr = std::shared_ptr<PooledConnection>;

} // namespace

struct HttpClientState
{
  HttpClientState(asio::io_context& aContext, HttpClientOptions aOptions)
    : m_context(aContext)
    , m_options(std::move(aOptions))
    , m_receiving{ .m_max = m_options.m_maxReceivingBytes,
                   .m_common = m_options.m_budget,
                   .m_copies = kCopiesOfResponse }
  {
  }

  asio::io_context& m_context;
  HttpClientOptions m_options;
  std::vector<PooledPtr> m_idle;
  /// Bytes of the bodies that are being received.
  ByteBudget m_receiving;
};

namespace {

void
Close(PooledConnection& aConnection)
{
  error_code ignored;
  aConnection.m_timer.cancel();
  aConnection.m_socket.close(ignored);
}

// Closes the connection when the coroutine ends, also by cancellation, unless it was pooled again.
struct CloseGuard
{
  PooledPtr m_connection;
  bool m_pooled = false;

  explicit CloseGuard(PooledPtr aConnection)
    : m_connection(std::move(aConnection))
  {
  }
  ~CloseGuard()
  {
    if (!m_pooled) {
      Close(*m_connection);
    }
  }
  CloseGuard(const CloseGuard&) = delete;
  CloseGuard& operator=(const CloseGuard&) = delete;
};

void
CloseAfter(const PooledPtr& aConnection, Milliseconds aDelayMs)
{
  aConnection->m_timedOut = false;
  aConnection->m_timer.expires_after(std::chrono::milliseconds(aDelayMs));
  aConnection->m_timer.async_wait([weak = std::weak_ptr(aConnection)](const error_code& aError) {
    const PooledPtr connection = weak.lock();
    if (!aError && connection) {
      connection->m_timedOut = true;
      Close(*connection);
    }
  });
}

// An idle connection becomes readable if the server closed it or sent unsolicited bytes. It must
// not be reused, because a failure could then not be distinguished from one after the request ran.
bool
IsReusable(PooledConnection& aConnection)
{
  if (Clock::Now() >= aConnection.m_reusableUntil) {
    return false;
  }
  error_code error;
  char byte = 0;
  aConnection.m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

PooledPtr
PopIdle(HttpClientState& aState)
{
  while (!aState.m_idle.empty()) {
    PooledPtr connection = std::move(aState.m_idle.back());
    aState.m_idle.pop_back();
    if (IsReusable(*connection)) {
      return connection;
    }
    Close(*connection);
  }
  return nullptr;
}

// How long the connection may be reused while idle, by the Keep-Alive header; aDefault without one.
Milliseconds
IdleTimeout(const HttpResponse& aResponse, Milliseconds aDefault)
{
  const std::string_view text = aResponse[http::field::keep_alive];
  const std::size_t at = text.find("timeout=");
  if (at == std::string_view::npos) {
    return aDefault;
  }
  const std::string_view digits = text.substr(at + std::string_view("timeout=").size());
  Milliseconds seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::max<Milliseconds>(0, seconds * kSecondMs - kIdleMarginMs);
}

using ResponseParser = http::response_parser<http::string_body>;

ResponseKind
KindOf(const ResponseParser& aParser)
{
  return KindOfResponse(aParser.get().result_int());
}

// True once the header shows that the response is invalid: its body need not be received.
bool
IsKnownInvalid(const ResponseParser& aParser)
{
  return aParser.is_header_done() && KindOf(aParser) == ResponseKind::Invalid;
}

// Whether a large response must wait before more of it is read.
bool
MustWait(const HttpClientState& aState, std::uint64_t aComing)
{
  const ByteBudget& receiving = aState.m_receiving;
  if (!receiving.m_common) {
    return false;
  }
  return receiving.m_used + aComing > aState.m_options.m_maxBodyBytes &&
         !receiving.HasRoom(aComing);
}

// Leaves the rest of a large response unread while there is no room for it, so that it waits at its
// source. Room for a body of known size is taken at once: two that have a part of it each would
// wait for each other.
Awaitable<error_code>
AwaitRoom(HttpClientState& aState,
          PooledPtr aConnection,
          const ResponseParser& aParser,
          BudgetShare& aShare)
{
  const std::uint64_t held = aParser.get().body().size();
  const auto remaining = aParser.content_length_remaining();
  const std::uint64_t size = held + remaining.value_or(0);
  if (size <= kSmallResponseBytes || size > aState.m_options.m_maxBodyBytes ||
      (remaining && size <= aShare.Bytes())) {
    co_return error_code();
  }
  while (MustWait(aState, size - std::min(size, aShare.Bytes()))) {
    asio::steady_timer timer(aState.m_context, std::chrono::milliseconds(kRoomPollMs));
    const auto [error] = co_await timer.async_wait(kAsTuple);
    if (error || !aConnection->m_socket.is_open()) {
      co_return asio::error::operation_aborted;
    }
  }
  aShare.Set(std::max(size, aShare.Bytes()));
  co_return error_code();
}

// Reads one whole response; bounded in memory, whatever the server sends. Fails if it is invalid.
Awaitable<error_code>
ReadResponse(HttpClientState& aState, PooledPtr aConnection, ResponseParser& aParser)
{
  BudgetShare share(aState.m_receiving);
  while (!aParser.is_done()) {
    if (aState.m_receiving.m_common && aParser.is_header_done()) {
      const error_code waitError = co_await AwaitRoom(aState, aConnection, aParser, share);
      if (waitError) {
        co_return waitError;
      }
    }
    const auto [error, size] = co_await http::async_read_some(
      aConnection->m_socket, aConnection->m_buffer, aParser, kAsTuple);
    if (error) {
      co_return error;
    }
    if (IsKnownInvalid(aParser)) {
      co_return http::error::bad_status;
    }
    share.Set(std::max<std::uint64_t>(share.Bytes(), aParser.get().body().size()));
    if (aState.m_receiving.m_used > aState.m_receiving.m_max) {
      co_return http::error::body_limit;
    }
  }
  if (aParser.need_eof()) {
    const error_code writeError = co_await aConnection->m_writer.Stop();
    co_return IsEndByPeer(writeError) ? error_code() : writeError;
  }
  co_return error_code();
}

// Reads the final response into aParser, past interim ones.
Awaitable<error_code>
ReadFinalResponse(HttpClientState& aState,
                  PooledPtr aConnection,
                  bool aHead,
                  std::optional<ResponseParser>& aParser)
{
  for (std::uint32_t interim = 0; interim <= kMaxInterimResponses; ++interim) {
    aParser.emplace();
    aParser->body_limit(aState.m_options.m_maxBodyBytes);
    aParser->skip(aHead);
    aParser->eager(true); // Parses all that a read brought, however small its chunks are.
    const error_code error = co_await ReadResponse(aState, aConnection, *aParser);
    if (error || KindOf(*aParser) != ResponseKind::Interim) {
      co_return error;
    }
  }
  co_return http::error::bad_status;
}

HttpResult
MakeFailure(HttpFailure aFailure, std::string aReason)
{
  return { .m_response = std::nullopt, .m_failure = aFailure, .m_reason = std::move(aReason) };
}

std::string
Serialize(const HttpRequest& aRequest)
{
  std::string text;
  http::request<http::empty_body> header(aRequest.base());
  beast::flat_buffer buffer;
  beast::ostream(buffer) << header;
  text.assign(static_cast<const char*>(buffer.data().data()), buffer.size());
  text += aRequest.body();
  return text;
}

Awaitable<error_code>
Connect(HttpClientState& aState, PooledPtr aConnection, Milliseconds aTimeoutMs)
{
  CloseAfter(aConnection, std::min<Milliseconds>(aState.m_options.m_connectTimeoutMs, aTimeoutMs));
  const auto [error] =
    co_await aConnection->m_socket.async_connect(aState.m_options.m_endpoint, kAsTuple);
  if (error) {
    co_return error;
  }
  error_code ignored;
  EnableDeadPeerDetection(aConnection->m_socket, kDeadPeerTimeoutMs);
  aConnection->m_socket.non_blocking(true, ignored);
  co_return error_code();
}

// Pools the connection again if it can carry another request.
void
ReturnToPool(HttpClientState& aState, CloseGuard& aGuard, const HttpResponse& aResponse)
{
  PooledConnection& connection = *aGuard.m_connection;
  const bool reusable = connection.m_buffer.size() == 0 && !connection.m_writer.IsIncomplete();
  if (!reusable || !aResponse.keep_alive() ||
      aState.m_idle.size() >= aState.m_options.m_maxIdleConnections) {
    return;
  }
  connection.m_timer.cancel();
  connection.m_reusableUntil =
    Clock::Now() + IdleTimeout(aResponse, aState.m_options.m_idleTimeoutMs);
  aState.m_idle.push_back(aGuard.m_connection);
  aGuard.m_pooled = true;
}

} // namespace

HttpClient::HttpClient(asio::io_context& aContext, HttpClientOptions aOptions)
  : m_state(std::make_shared<HttpClientState>(aContext, std::move(aOptions)))
{
}

HttpClient::~HttpClient()
{
  for (const PooledPtr& connection : m_state->m_idle) {
    Close(*connection);
  }
  m_state->m_idle.clear();
}

Awaitable<HttpResult>
HttpClient::Send(HttpRequest aRequest, std::int64_t aTimeoutMs, ResponseMatcher aMatches)
{
  const std::shared_ptr<HttpClientState> state = m_state;
  const Instant deadline = Clock::Now() + aTimeoutMs;
  PooledPtr connection = PopIdle(*state);
  const bool reused = connection != nullptr;
  if (!reused) {
    connection = std::make_shared<PooledConnection>(state->m_context);
  }
  CloseGuard guard(connection);
  if (!reused) {
    const error_code error = co_await Connect(*state, connection, aTimeoutMs);
    if (error) {
      const auto cancellation = co_await asio::this_coro::cancellation_state;
      const bool cancelled = cancellation.cancelled() != asio::cancellation_type::none;
      co_return MakeFailure(cancelled ? HttpFailure::Cancelled : HttpFailure::NotSent,
                            error.message());
    }
  }
  CloseAfter(connection, std::max<Milliseconds>(1, deadline - Clock::Now()));
  const error_code writeError = connection->m_writer.Start(Serialize(aRequest), connection);
  if (writeError) {
    co_return MakeFailure(HttpFailure::MaybeSent, writeError.message());
  }
  std::optional<ResponseParser> parser;
  const bool head = aRequest.method() == http::verb::head;
  const error_code readError = co_await ReadFinalResponse(*state, connection, head, parser);
  HttpResult result;
  result.m_reused = reused;
  if (readError) {
    result.m_failure = parser->got_some() ? HttpFailure::BadResponse : HttpFailure::MaybeSent;
    result.m_failure = connection->m_timedOut ? HttpFailure::TimedOut : result.m_failure;
    result.m_reason = connection->m_timedOut ? "no whole response in time" : readError.message();
    co_return result;
  }
  HttpResponse response = parser->release();
  if (aMatches && !aMatches(response)) {
    result.m_failure = HttpFailure::BadResponse;
    result.m_reason = "the response is not the request's own";
    co_return result;
  }
  ReturnToPool(*state, guard, response);
  result.m_response = std::move(response);
  co_return result;
}

} // namespace sequoiastep::net
