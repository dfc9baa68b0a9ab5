#include "FrameConnection.h"

#include "Log.h"
#include "SocketOptions.h"

#include <array>
#include <boost/asio/write.hpp>
#include <chrono>
#include <optional>
#include <vector>

namespace sequoiastep::net {

namespace {

constexpr std::size_t kReadBufferBytes = 64U << 10;
// A larger write buffer is freed after its write.
constexpr std::size_t kMaxKeptWriteBufferBytes = 16U << 10;
constexpr std::size_t kMaxSendQueueBytes = 48U << 20;
// A peer that acknowledges nothing for this long counts as dead, even if it closed no connection.
constexpr std::int64_t kUserTimeoutMs = 3000;
constexpr int kMaxDiscardingReads = 256;
// A Hello holds names and addresses only.
constexpr std::size_t kMaxHelloBytes = 64U << 10;

} // namespace

struct FrameConnectionState
{
  explicit FrameConnectionState(tcp::socket aSocket)
    : m_socket(std::move(aSocket))
  {
  }

  tcp::socket m_socket;
  wire::FrameReader m_reader;
  std::string m_writeBuffer;
  std::string m_sendQueue;
  std::shared_ptr<ByteBudget> m_budget;
  std::optional<BudgetShare> m_share;
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

// Returns false if the budget is used up.
bool
CountHeld(FrameConnectionState& aState)
{
  if (!aState.m_share) {
    return true;
  }
  const std::size_t writing = aState.m_writeInFlight ? aState.m_writeBuffer.size() : 0;
  return aState.m_share->Set(aState.m_sendQueue.size() + writing + aState.m_reader.BufferedBytes());
}

// Closing a socket with unread bytes resets the connection, which can destroy what the peer has not
// read yet.
void
DiscardUnread(FrameConnectionState& aState)
{
  std::array<char, 4096> discarded{};
  error_code error;
  for (int reads = 0; reads < kMaxDiscardingReads && aState.m_socket.is_open() && !error; ++reads) {
    aState.m_socket.read_some(asio::buffer(discarded), error);
  }
}

void
FailConnection(const StatePtr& aState, const std::string& aReason)
{
  CloseSocket(*aState);
  const FrameConnection::OnClosed onClosed = std::move(aState->m_onClosed);
  aState->m_onClosed = nullptr;
  aState->m_onMessage = nullptr;
  if (onClosed) {
    onClosed(aReason);
  }
}

// Returns the next envelope of the bytes received so far, or nothing if it is incomplete or
// invalid. If it is invalid, aReason is set.
std::optional<wire::EnvelopeT>
NextEnvelope(FrameConnectionState& aState, std::string& aReason)
{
  return Handle([&] { return aState.m_reader.Next(); },
                [&](const Error& aError) {
                  aReason = aError.m_message;
                  return std::optional<wire::EnvelopeT>();
                });
}

// Waits until the socket is readable, then reads into a buffer that all connections of the thread
// share, so that an idle connection holds no read buffer. Returns false if the connection closed or
// failed.
Awaitable<bool>
ReadSome(StatePtr aState)
{
  const auto [waitError] = co_await aState->m_socket.async_wait(tcp::socket::wait_read, kAsTuple);
  if (waitError) {
    co_return false;
  }
  static thread_local std::vector<char> buffer(kReadBufferBytes);
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
  CountHeld(*aState);
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
      // A copy: the handler may close the connection, which clears m_onMessage.
      const FrameConnection::OnMessage onMessage = aState->m_onMessage;
      onMessage(std::move(*envelope));
    }
    if (!reason.empty()) {
      FailConnection(aState, reason);
      co_return;
    }
    if (!co_await ReadSome(aState)) {
      FailConnection(aState, "the peer closed the connection or it failed");
      co_return;
    }
  }
}

void
WriteQueued(const StatePtr& aState)
{
  if (aState->m_writeInFlight || aState->m_sendQueue.empty() || !aState->m_socket.is_open()) {
    return;
  }
  aState->m_writeInFlight = true;
  aState->m_writeBuffer.clear();
  std::swap(aState->m_writeBuffer, aState->m_sendQueue);
  asio::async_write(aState->m_socket,
                    asio::buffer(aState->m_writeBuffer),
                    [aState](const error_code& aError, std::size_t aSize) {
                      aState->m_writeInFlight = false;
                      aState->m_bytes.m_sent += aSize;
                      if (aError) {
                        FailConnection(aState, aError.message());
                        return;
                      }
                      if (aState->m_writeBuffer.capacity() > kMaxKeptWriteBufferBytes) {
                        aState->m_writeBuffer = std::string();
                      }
                      CountHeld(*aState);
                      WriteQueued(aState);
                    });
}

} // namespace

FrameConnection::FrameConnection(tcp::socket aSocket)
  : m_state(std::make_shared<FrameConnectionState>(std::move(aSocket)))
{
  error_code ignored;
  m_state->m_socket.set_option(tcp::no_delay(true), ignored);
  m_state->m_socket.non_blocking(true, ignored);
  SetUserTimeout(m_state->m_socket, kUserTimeoutMs);
}

FrameConnection::~FrameConnection()
{
  Close();
}

void
FrameConnection::CountAgainst(std::shared_ptr<ByteBudget> aBudget)
{
  m_state->m_budget = std::move(aBudget);
  m_state->m_share.emplace(*m_state->m_budget);
}

Awaitable<bool>
FrameConnection::ReceiveOne(wire::EnvelopeT& aMessage, std::int64_t aTimeoutMs)
{
  const StatePtr state = m_state;
  state->m_reader.SetMaxPayload(kMaxHelloBytes);
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
      state->m_reader.SetMaxPayload(wire::kMaxFramePayloadBytes);
      co_return true;
    }
    if (!reason.empty()) {
      LogLine(LogLevel::Warning, "peer_connection_refused", reason).Add("reason", reason);
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
  const std::size_t queued = m_state->m_sendQueue.size() + aFrame.size();
  const bool isLongQueue = queued > wire::kMaxFramePayloadBytes + aFrame.size();
  if (queued > kMaxSendQueueBytes || (isLongQueue && !CountHeld(*m_state))) {
    const StatePtr state = m_state;
    asio::post(state->m_socket.get_executor(), [state] {
      FailConnection(state, "the peer reads too slowly; the send queue exceeds its limit");
    });
    return;
  }
  if (m_state->m_sendQueue.empty()) {
    m_state->m_sendQueue = std::move(aFrame);
  } else {
    m_state->m_sendQueue += aFrame;
  }
  WriteQueued(m_state);
  CountHeld(*m_state);
}

void
FrameConnection::Close()
{
  m_state->m_onMessage = nullptr;
  m_state->m_onClosed = nullptr;
  DiscardUnread(*m_state);
  CloseSocket(*m_state);
}

bool
FrameConnection::IsOpen() const
{
  return m_state->m_socket.is_open();
}

std::size_t
FrameConnection::UndeliveredBytes() const
{
  if (!IsOpen()) {
    return 0;
  }
  // The write buffer may be partly with the kernel and count twice.
  const std::size_t writing = m_state->m_writeInFlight ? m_state->m_writeBuffer.size() : 0;
  return m_state->m_sendQueue.size() + writing + UnacknowledgedBytes(m_state->m_socket);
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
