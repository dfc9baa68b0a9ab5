#include "RequestWriter.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <utility>

namespace sequoiastep::net {

bool
IsEndByPeer(const error_code& aWriteError)
{
  // A reset that follows the end given by the peer is reported as a broken pipe.
  return !aWriteError || aWriteError == asio::error::broken_pipe;
}

RequestWriter::RequestWriter(tcp::socket& aSocket)
  : m_socket(aSocket)
  , m_ended(aSocket.get_executor())
{
}

error_code
RequestWriter::Start(std::string aBytes, std::shared_ptr<void> aOwner)
{
  m_bytes = std::move(aBytes);
  m_error = {};
  m_stopped = false;
  error_code error;
  m_written = m_socket.write_some(asio::buffer(m_bytes), error);
  if (error && error != asio::error::would_block) {
    return error;
  }
  if (IsIncomplete()) {
    m_running = true;
    asio::co_spawn(m_socket.get_executor(), WriteRemainder(std::move(aOwner)), asio::detached);
  }
  return {};
}

bool
RequestWriter::IsIncomplete() const
{
  return m_written < m_bytes.size();
}

Awaitable<error_code>
RequestWriter::Stop()
{
  m_stopped = true;
  if (m_running) {
    // A write that has met an error already still reports it.
    error_code ignored;
    m_socket.cancel(ignored);
    co_await m_ended.Wait();
  }
  co_return m_error == asio::error::operation_aborted ? error_code() : m_error;
}

Awaitable<void>
RequestWriter::WriteRemainder([[maybe_unused]] std::shared_ptr<void> aOwner)
{
  while (!m_stopped && !m_error && IsIncomplete()) {
    const auto [error, size] =
      co_await m_socket.async_write_some(asio::buffer(m_bytes) + m_written, kAsTuple);
    m_written += size;
    m_error = error;
  }
  m_running = false;
  m_ended.Wake();
}

} // namespace sequoiastep::net
