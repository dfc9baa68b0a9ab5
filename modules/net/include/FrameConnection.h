/// @file
/// A connection that carries frames between two nodes, with a bounded send queue.
#pragma once

#include "AsioTypes.h"
#include "ByteBudget.h"
#include "Frame.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sequoiastep::net {

/// Bytes sent and received over a connection.
struct ByteCounts
{
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
};

struct FrameConnectionState;

/// A connected socket that carries frames. Use from its io_context's thread only. Destroying the
/// FrameConnection closes the connection.
class FrameConnection
{
public:
  using OnMessage = std::function<void(wire::EnvelopeT)>;
  using OnClosed = std::function<void(const std::string& aReason)>;

  /// @param aSocket a connected socket.
  explicit FrameConnection(tcp::socket aSocket);
  ~FrameConnection();
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  /// Counts what is queued for the peer, and what came of an incomplete frame, against aBudget;
  /// call it before Start. If the budget is used up, a connection whose queue is longer than the
  /// longest frame is closed.
  void CountAgainst(std::shared_ptr<ByteBudget> aBudget);
  /// Receives one message before Start: the peer's Hello. Until then the peer is a stranger, and
  /// no longer frame is accepted than a Hello needs.
  /// @param aMessage receives the message.
  /// @param aTimeoutMs time limit in milliseconds, after which the connection is closed.
  /// @return false if no complete, valid message arrived in time or the connection closed or
  /// failed.
  Awaitable<bool> ReceiveOne(wire::EnvelopeT& aMessage, std::int64_t aTimeoutMs);
  /// Starts to read messages until the connection closes. The handlers run on the io_context's
  /// thread; aOnClosed runs once, unless Close was called before.
  void Start(OnMessage aOnMessage, OnClosed aOnClosed);
  /// Queues a frame for sending. If the peer reads so slowly that the queue would exceed its limit,
  /// the connection is closed.
  void Send(std::string aFrame);
  /// Closes the connection at once; no handler runs afterwards.
  void Close();
  /// @return true until the connection is closed.
  bool IsOpen() const;
  /// @return the bytes that are queued or that the peer has not acknowledged; an upper bound.
  std::size_t UndeliveredBytes() const;
  /// @return the bytes sent and received so far.
  const ByteCounts& Bytes() const;
  /// Releases the socket so that another io_context can adopt it; only before Start. Bytes read
  /// past the peer's Hello are lost, so the peer must send nothing more until it has received a
  /// Hello.
  /// @return the socket's descriptor, owned by the caller.
  int Release();

private:
  std::shared_ptr<FrameConnectionState> m_state;
};

} // namespace sequoiastep::net
