#include "FrameConnection.h"

#include "Log.h"
#include "SocketOptions.h"

#include <boost/asio/write.hpp>
#include <chrono>
#include <optional>
#include <vector>

namespace sequoiastep::net {

namespace {

constexpr std::size_t kReadBytes = 64U << 10;
constexpr std::size_t kKeptWriteBytes = 16U << 10;
constexpr std::size_t kMaxBacklogBytes = 48U << 20;
// A peer that acknowledges nothing for this long is gone, also if it closed nothing.
constexpr std::int64_t kSilenceMs = 3000;

} // namespace

struct FrameConnectionState
{
  explicit FrameConnectionState(tcp::socket aSocket)
    : m_socket(std::move(aSocket))
  {
  }

  tcp::socket m_socket;
  wire::FrameReader m_reader;
  std::string m_writing;
  std::string m_pending;
  ByteCounts m_bytes;
  bool m_writeInFlight = false;
  FrameConnection::OnMessage m_onMessage;
  FrameConnection::OnClosed m_onClosed;
};

namespace {

using StatePtr = std::shared_ptr<FrameConnectionState>;

void
CloseSocket(FrameConnectionState& aState)
{
  error_code ignored;
  aState.m_socket.close(ignored);
}

void
Fail(const StatePtr& aState, const std::string& aReason)
{
  CloseSocket(*aState);
  const FrameConnection::OnClosed onClosed = std::move(aState->m_onClosed);
  aState->m_onClosed = nullptr;
  aState->m_onMessage = nullptr;
  if (onClosed) {
    onClosed(aReason);
  }
}

// Takes the next envelope out of the bytes read so far. A damaged stream leaves aReason set.
std::optional<wire::EnvelopeT>
NextEnvelope(FrameConnectionState& aState, std::string& aReason)
{
  return Handle([&] { return aState.m_reader.Next(); },
                [&](const Error& aError) {
                  aReason = aError.m_message;
                  return std::optional<wire::EnvelopeT>();
                });
}

// Waits until bytes have come, then reads them into a buffer that all connections of the thread
// share: an idle connection holds no read buffer.
Awaitable<bool>
ReadSome(StatePtr aState)
{
  const auto [waitError] = co_await aState->m_socket.async_wait(tcp::socket::wait_read, kAsTuple);
  if (waitError) {
    co_return false;
  }
  static thread_local std::vector<char> buffer(kReadBytes);
  error_code error;
  const std::size_t size = aState->m_socket.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block) {
    co_return true;
  }
  if (error || size == 0) {
    co_return false;
  }
  aState->m_bytes.m_received += size;
  aState->m_reader.Feed({ buffer.data(), size });
  co_return true;
}

Awaitable<void>
ReadLoop(StatePtr aState)
{
  for (;;) {
    std::string reason;
    while (auto envelope = NextEnvelope(*aState, reason)) {
      if (!aState->m_onMessage) {
        co_return;
      }
      // Kept alive here: a handler may close the connection it came from.
      const FrameConnection::OnMessage onMessage = aState->m_onMessage;
      onMessage(std::move(*envelope));
    }
    if (!reason.empty()) {
      Fail(aState, reason);
      co_return;
    }
    if (!co_await ReadSome(aState)) {
      Fail(aState, "the peer closed the connection");
      co_return;
    }
  }
}

void
WritePending(const StatePtr& aState)
{
  if (aState->m_writeInFlight || aState->m_pending.empty() || !aState->m_socket.is_open()) {
    return;
  }
  aState->m_writeInFlight = true;
  aState->m_writing.clear();
  std::swap(aState->m_writing, aState->m_pending);
  asio::async_write(aState->m_socket,
                    asio::buffer(aState->m_writing),
                    [aState](const error_code& aError, std::size_t aSize) {
                      aState->m_writeInFlight = false;
                      aState->m_bytes.m_sent += aSize;
                      if (aError) {
                        Fail(aState, aError.message());
                        return;
                      }
                      if (aState->m_writing.capacity() > kKeptWriteBytes) {
                        aState->m_writing = std::string();
                      }
                      WritePending(aState);
                    });
}

} // namespace

FrameConnection::FrameConnection(tcp::socket aSocket)
  : m_state(std::make_shared<FrameConnectionState>(std::move(aSocket)))
{
  error_code ignored;
  m_state->m_socket.set_option(tcp::no_delay(true), ignored);
  m_state->m_socket.non_blocking(true, ignored);
  SetSendTimeout(m_state->m_socket, kSilenceMs);
}

FrameConnection::~FrameConnection()
{
  Close();
}

Awaitable<bool>
FrameConnection::ReceiveOne(wire::EnvelopeT& aMessage, std::int64_t aTimeoutMs)
{
  const StatePtr state = m_state;
  asio::steady_timer timer(state->m_socket.get_executor(), std::chrono::milliseconds(aTimeoutMs));
  timer.async_wait([state](const error_code& aError) {
    if (!aError) {
      CloseSocket(*state);
    }
  });
  for (;;) {
    std::string reason;
    auto envelope = NextEnvelope(*state, reason);
    if (envelope) {
      aMessage = std::move(*envelope);
      co_return true;
    }
    if (!reason.empty()) {
      LogLine(LogLevel::Warning, "peer_connection_refused").Add("reason", reason);
      co_return false;
    }
    if (!co_await ReadSome(state)) {
      co_return false;
    }
  }
}

void
FrameConnection::Start(OnMessage aOnMessage, OnClosed aOnClosed)
{
  m_state->m_onMessage = std::move(aOnMessage);
  m_state->m_onClosed = std::move(aOnClosed);
  asio::co_spawn(m_state->m_socket.get_executor(), ReadLoop(m_state), asio::detached);
}

void
FrameConnection::Send(std::string aFrame)
{
  if (!m_state->m_socket.is_open()) {
    return;
  }
  if (m_state->m_pending.size() + aFrame.size() > kMaxBacklogBytes) {
    const StatePtr state = m_state;
    asio::post(state->m_socket.get_executor(), [state] {
      Fail(state, "the peer reads too slowly; its backlog is over the limit");
    });
    return;
  }
  if (m_state->m_pending.empty()) {
    m_state->m_pending = std::move(aFrame);
  } else {
    m_state->m_pending += aFrame;
  }
  WritePending(m_state);
}

void
FrameConnection::Close()
{
  m_state->m_onMessage = nullptr;
  m_state->m_onClosed = nullptr;
  CloseSocket(*m_state);
}

bool
FrameConnection::IsOpen() const
{
  return m_state->m_socket.is_open();
}

const ByteCounts&
FrameConnection::Bytes() const
{
  return m_state->m_bytes;
}

int
FrameConnection::Release()
{
  error_code ignored;
  return m_state->m_socket.release(ignored);
}

} // namespace sequoiastep::net
