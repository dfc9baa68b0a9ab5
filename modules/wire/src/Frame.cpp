#include "Frame.h"

#include "Compression.h"

#include <fmt/core.h>

namespace sequoiastep::wire {

namespace {

constexpr std::uint8_t kFlagCompressed = 1;
// Smallest payload of a control message that is compressed.
constexpr std::size_t kMinCompressedBytes = 512;
// Consumed bytes that may remain in the buffer in front of an incomplete frame.
constexpr std::size_t kMaxConsumedBytes = 64U << 10;

struct FrameHeader
{
  std::uint8_t m_format = 0;
  std::uint8_t m_flags = 0;
  std::uint32_t m_length = 0;
};

bool
IsCallMessage(Body aType)
{
  return aType == Body::Call || aType == Body::Answer || aType == Body::Cancel ||
         aType == Body::Probe || aType == Body::BodyGrant || aType == Body::BodyChunk ||
         aType == Body::Shorten;
}

void
AppendHeader(std::string& aFrame, std::uint8_t aFlags, std::size_t aLength)
{
  const auto length = static_cast<std::uint32_t>(aLength);
  aFrame += 'S';
  aFrame += 'Q';
  aFrame += static_cast<char>(kFrameFormat);
  aFrame += static_cast<char>(aFlags);
  for (int shift = 0; shift < 32; shift += 8) {
    aFrame += static_cast<char>((length >> shift) & 0xffU);
  }
}

Result<FrameHeader>
ParseHeader(std::string_view aBytes, std::size_t aMaxPayload)
{
  if (aBytes[0] != 'S' || aBytes[1] != 'Q') {
    return Fail(ErrorKind::BadFrame,
                "the bytes are not a frame of this protocol; check that the address is a peer "
                "address of a node");
  }
  FrameHeader header{ .m_format = static_cast<std::uint8_t>(aBytes[2]),
                      .m_flags = static_cast<std::uint8_t>(aBytes[3]) };
  for (std::size_t i = 0; i < 4; ++i) {
    header.m_length |= static_cast<std::uint32_t>(static_cast<std::uint8_t>(aBytes[4 + i]))
                       << (8 * i);
  }
  if (header.m_format != kFrameFormat) {
    return Fail(
      ErrorKind::NewerFormat,
      fmt::format(
        "frame format {} differs from this node's format {}; upgrade the older of the two nodes",
        header.m_format,
        kFrameFormat));
  }
  if ((header.m_flags & ~kFlagCompressed) != 0) {
    return Fail(ErrorKind::BadFrame, "unknown frame flags; upgrade this node");
  }
  if (header.m_length > aMaxPayload) {
    return Fail(
      ErrorKind::TooLarge,
      fmt::format("frame payload of {} bytes is over the limit of {}; send smaller bodies",
                  header.m_length,
                  aMaxPayload));
  }
  return header;
}

Result<EnvelopeT>
DecodePayload(std::string_view aPayload)
{
  flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(aPayload.data()),
                                 aPayload.size());
  if (!VerifyEnvelopeBuffer(verifier)) {
    return Fail(ErrorKind::BadFrame, "the frame's payload is damaged; the connection is closed");
  }
  EnvelopeT envelope;
  GetEnvelope(aPayload.data())->UnPackTo(&envelope);
  if (envelope.body.type == Body::NONE || envelope.body.value == nullptr) {
    return Fail(ErrorKind::BadFrame,
                "the frame holds no message of a known type; upgrade this node");
  }
  return envelope;
}

} // namespace

std::string
EncodeFrame(const EnvelopeT& aEnvelope)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Envelope::Pack(builder, &aEnvelope));
  const std::string_view plain(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                               builder.GetSize());
  std::string frame;
  if (plain.size() >= kMinCompressedBytes && !IsCallMessage(aEnvelope.body.type)) {
    const std::string compressed = Compress(plain);
    frame.reserve(kFrameHeaderBytes + compressed.size());
    AppendHeader(frame, kFlagCompressed, compressed.size());
    return frame += compressed;
  }
  frame.reserve(kFrameHeaderBytes + plain.size());
  AppendHeader(frame, 0, plain.size());
  return frame += plain;
}

void
FrameReader::Feed(std::string_view aBytes)
{
  if (m_consumed == m_buffer.size()) {
    m_buffer = std::string(); // An idle connection keeps no buffer.
    m_consumed = 0;
  } else if (m_consumed > kMaxConsumedBytes) {
    m_buffer.erase(0, m_consumed);
    m_consumed = 0;
  }
  m_buffer += aBytes;
}

Result<std::optional<EnvelopeT>>
FrameReader::Next()
{
  const std::string_view unread = std::string_view(m_buffer).substr(m_consumed);
  if (unread.size() < kFrameHeaderBytes) {
    return std::optional<EnvelopeT>();
  }
  BOOST_LEAF_AUTO(header, ParseHeader(unread, m_maxPayload));
  if (unread.size() - kFrameHeaderBytes < header.m_length) {
    return std::optional<EnvelopeT>();
  }
  const std::string_view payload = unread.substr(kFrameHeaderBytes, header.m_length);
  m_consumed += kFrameHeaderBytes + header.m_length;
  if ((header.m_flags & kFlagCompressed) == 0) {
    // A copy: the payload may be unaligned in the buffer, and FlatBuffers requires alignment.
    const std::string aligned(payload);
    BOOST_LEAF_AUTO(envelope, DecodePayload(aligned));
    return std::optional<EnvelopeT>(std::move(envelope));
  }
  BOOST_LEAF_AUTO(plain, Decompress(payload, m_maxPayload));
  BOOST_LEAF_AUTO(envelope, DecodePayload(plain));
  return std::optional<EnvelopeT>(std::move(envelope));
}

} // namespace sequoiastep::wire
