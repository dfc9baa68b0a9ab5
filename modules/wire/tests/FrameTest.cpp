#include "Frame.h"
#include "Compression.h"
#include "Random.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::wire;

namespace {

constexpr int kMutations = 4000;

std::string
SampleFrame(std::size_t aBodyBytes)
{
  CallT call;
  call.id = 7;
  call.service = "jobboard";
  call.target = "/jobs/today";
  call.headers.push_back(std::make_unique<HeaderT>());
  call.headers.back()->name = "accept";
  call.headers.back()->value = "*/*";
  call.body.assign(aBodyBytes, 'b');
  return EncodeFrame(MakeEnvelope(std::move(call)));
}

struct ReadResult
{
  std::optional<EnvelopeT> m_message;
  std::optional<ErrorKind> m_error;
};

ReadResult
ReadOne(FrameReader& aReader)
{
  ReadResult result;
  result.m_message = Handle([&] { return aReader.Next(); },
                            [&](const Error& aError) {
                              result.m_error = aError.m_kind;
                              return std::optional<EnvelopeT>();
                            });
  return result;
}

} // namespace

TEST_CASE("frames are reassembled however the stream is split")
{
  const std::string frames = SampleFrame(10) + SampleFrame(3000) + SampleFrame(0);
  for (const std::size_t chunkBytes :
       { std::size_t{ 1 }, std::size_t{ 7 }, std::size_t{ 100'000 } }) {
    FrameReader reader;
    std::size_t frameCount = 0;
    for (std::size_t i = 0; i < frames.size(); i += chunkBytes) {
      reader.Feed(std::string_view(frames).substr(i, chunkBytes));
      while (ReadOne(reader).m_message) {
        ++frameCount;
      }
    }
    CHECK(frameCount == 3);
  }
}

TEST_CASE("the buffer does not grow with a stream that always ends within a frame")
{
  const std::string frame = SampleFrame(1000);
  const std::string stream = frame + frame;
  FrameReader reader;
  std::size_t maxBuffered = 0;
  reader.Feed(std::string_view(frame).substr(0, 100));
  for (int i = 0; i < 2000; ++i) {
    reader.Feed(std::string_view(stream).substr(100, frame.size()));
    while (ReadOne(reader).m_message) {
    }
    maxBuffered = std::max(maxBuffered, reader.BufferedBytes());
  }
  CHECK(maxBuffered < 100'000);
}

TEST_CASE("a wrong protocol, format, flag or length in a frame gives the matching error kind")
{
  const auto errorOf = [](std::string aFrame, std::size_t aOffset, char aByte) {
    aFrame[aOffset] = aByte;
    FrameReader reader;
    reader.Feed(aFrame);
    return ReadOne(reader).m_error;
  };
  CHECK(errorOf(SampleFrame(5), 0, 'G') == ErrorKind::BadFrame);
  CHECK(errorOf(SampleFrame(5), 2, 9) == ErrorKind::NewerFormat);
  CHECK(errorOf(SampleFrame(5), 3, 0x40) == ErrorKind::BadFrame);
  CHECK(errorOf(SampleFrame(5), 7, 0x7f) == ErrorKind::TooLarge);
}

TEST_CASE("a reader accepts no longer payload than was set, before any of it came")
{
  FrameReader reader;
  reader.SetMaxPayload(1000);
  reader.Feed(std::string_view("SQ\x01\x00\xe9\x03\x00\x00", 8)); // 1001 bytes.
  const bool refused = Handle(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(reader.Next());
      return false;
    },
    [](const Error& aError) { return aError.m_kind == ErrorKind::TooLarge; });
  CHECK(refused);
}

TEST_CASE("mutated frames never crash the reader")
{
  Random random{ 42 };
  std::size_t errors = 0;
  for (int i = 0; i < kMutations; ++i) {
    std::string frame = SampleFrame(random.Below(600));
    const std::uint64_t changes = 1 + random.Below(4);
    for (std::uint64_t change = 0; change < changes; ++change) {
      frame[random.Below(frame.size())] = static_cast<char>(random.Next());
    }
    frame.resize(frame.size() - random.Below(3));
    FrameReader reader;
    reader.Feed(frame);
    errors += ReadOne(reader).m_error ? 1 : 0;
  }
  CHECK(errors > 0);
}

TEST_CASE("a delta is small for a small change and can't be restored without its prefix")
{
  Random random{ 1 };
  std::string before;
  for (int i = 0; i < 20'000; ++i) {
    before += static_cast<char>('a' + random.Below(26));
  }
  std::string after = before;
  after.replace(9000, 4, "1234");
  const std::string delta = CompressDelta(after, before);
  CHECK(delta.size() < 200);
  const auto restore = [&](std::string_view aPrefix) {
    return Handle([&] { return Decompress(delta, 1U << 20, aPrefix); },
                  [](const Error&) { return std::string(); });
  };
  CHECK(restore(before) == after);
  CHECK(restore("") != after);
}
