/// @file
/// Frames between nodes: an 8-byte header and one verified FlatBuffers Envelope.
/// Header: 'S' 'Q', format, flags, then the payload's length in bytes as 32 bits, little-endian.
#pragma once

#include "Error.h"
#include "Messages_generated.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep::wire {

/// Version of the frame and message format that this build supports.
constexpr std::uint8_t kFrameFormat = 1;
constexpr std::size_t kFrameHeaderBytes = 8;
/// Largest payload of one frame, before and after decompression.
constexpr std::size_t kMaxFramePayloadBytes = 16U << 20;

/// @return an envelope around aMessage, one of the tables of the union Body.
template<typename MessageTable>
EnvelopeT
MakeEnvelope(MessageTable&& aMessage)
{
  EnvelopeT envelope;
  envelope.body.Set(std::forward<MessageTable>(aMessage));
  return envelope;
}

/// @return aEnvelope as one frame; control messages of 512 bytes or more are compressed, messages
/// of calls never.
std::string
EncodeFrame(const EnvelopeT& aEnvelope);

/// Splits a byte stream into envelopes. Use one reader for each connection and direction.
class FrameReader
{
public:
  /// Accepts no payload of more than aBytes from now on, before and after decompression; by default
  /// kMaxFramePayloadBytes.
  void SetMaxPayload(std::size_t aBytes) { m_maxPayload = aBytes; }
  /// Adds bytes received from the connection.
  void Feed(std::string_view aBytes);

  /// @return the next complete envelope, nothing if more bytes are needed, or BadFrame, TooLarge or
  /// NewerFormat. After an error the connection must be closed.
  Result<std::optional<EnvelopeT>> Next();

  /// @return the number of buffered bytes, including those of frames that Next has returned.
  std::size_t BufferedBytes() const { return m_buffer.size(); }

private:
  std::string m_buffer;
  std::size_t m_consumed = 0;
  std::size_t m_maxPayload = kMaxFramePayloadBytes;
};

} // namespace sequoiastep::wire
