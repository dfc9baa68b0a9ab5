/// @file
/// Writes a request while its response is being read.
#pragma once

#include "AsioTypes.h"
#include "HttpWakeup.h"

#include <cstddef>
#include <memory>
#include <string>

namespace sequoiastep::net {

/// Decides whether the end of file that was read from a connection is the end that the peer gave it
/// (FIN). A reset or a time-out is reported only once, to the first call on the socket. If that is
/// a write, reads give the end of file after the bytes received.
/// @param aWriteError the first error of a write that ran beside the reads; none if there was none.
/// @return true if the peer ended the connection, false if it broke.
bool
IsEndByPeer(const error_code& aWriteError);

/// Writes requests to one connection, one at a time. Use from the socket's thread only.
class RequestWriter
{
public:
  /// @param aSocket a non-blocking socket that outlives this object.
  explicit RequestWriter(tcp::socket& aSocket);

  /// Writes what the socket accepts at once, and the remainder concurrently with reads, because the
  /// server may respond before it has read the whole request.
  /// @param aOwner kept alive until the remainder is written.
  /// @return the error if nothing could be written.
  error_code Start(std::string aBytes, std::shared_ptr<void> aOwner);

  /// @return true unless the socket accepted the whole request.
  bool IsIncomplete() const;

  /// Gives up what the socket has not accepted yet; doesn't wait for the peer.
  /// @return the first error of the writes; none if they were only given up.
  Awaitable<error_code> Stop();

private:
  Awaitable<void> WriteRemainder(std::shared_ptr<void> aOwner);

  tcp::socket& m_socket;
  std::string m_bytes;
  std::size_t m_written = 0;
  error_code m_error;
  bool m_running = false;
  bool m_stopped = false;
  HttpWakeup m_ended;
};

} // namespace sequoiastep::net
