/// @file
/// One connection between two nodes: frames in, frames out, with a bounded backlog.
#pragma once

#include "AsioTypes.h"
#include "Frame.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sequoiastep::net {

/// Bytes that went over a connection.
struct ByteCounts
{
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
};

struct FrameConnectionState;

/// A connected socket that carries frames. Use from its io_context's thread only. The connection
/// closes when the last FrameConnection to it is destroyed.
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

  /// Waits for one message; used for the greeting before Start.
  /// @return false if the connection closed, failed or was silent for aTimeoutMs.
  Awaitable<bool> ReceiveOne(wire::EnvelopeT& aMessage, std::int64_t aTimeoutMs);
  /// Reads until the connection closes. The handlers run on the io_context's thread;
  /// aOnClosed runs once, unless Close was called before.
  void Start(OnMessage aOnMessage, OnClosed aOnClosed);
  /// Queues a frame. A peer that reads so slowly that the backlog is over its limit is closed.
  void Send(std::string aFrame);
  /// Closes at once; no handler runs after it.
  void Close();
  /// @return true until the connection is closed.
  bool IsOpen() const;
  /// @return the bytes so far.
  const ByteCounts& Bytes() const;
  /// Gives up the socket so that another io_context can take it; only before Start.
  /// Bytes read past the greeting are lost, so the peer must wait for the answer to it.
  /// @return the socket's descriptor.
  int Release();

private:
  std::shared_ptr<FrameConnectionState> m_state;
};

} // namespace sequoiastep::net
