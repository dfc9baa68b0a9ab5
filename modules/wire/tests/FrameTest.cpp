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

struct Outcome
{
  std::optional<EnvelopeT> m_message;
  std::optional<ErrorKind> m_error;
};

Outcome
ReadOne(FrameReader& aReader)
{
  Outcome outcome;
  outcome.m_message = Handle([&] { return aReader.Next(); },
                             [&](const Error& aError) {
                               outcome.m_error = aError.m_kind;
                               return std::optional<EnvelopeT>();
                             });
  return outcome;
}

} // namespace

TEST_CASE("frames come out whole however the bytes are cut")
{
  const std::string frames = SampleFrame(10) + SampleFrame(3000) + SampleFrame(0);
  for (const std::size_t step : { std::size_t{ 1 }, std::size_t{ 7 }, std::size_t{ 100'000 } }) {
    FrameReader reader;
    std::size_t found = 0;
    for (std::size_t i = 0; i < frames.size(); i += step) {
      reader.Feed(std::string_view(frames).substr(i, step));
      while (ReadOne(reader).m_message) {
        ++found;
      }
    }
    CHECK(found == 3);
  }
}

TEST_CASE("a stream that always ends within a frame does not grow the buffer")
{
  const std::string frame = SampleFrame(1000);
  const std::string stream = frame + frame;
  FrameReader reader;
  std::size_t most = 0;
  reader.Feed(std::string_view(frame).substr(0, 100));
  for (int i = 0; i < 2000; ++i) {
    reader.Feed(std::string_view(stream).substr(100, frame.size()));
    while (ReadOne(reader).m_message) {
    }
    most = std::max(most, reader.BufferedBytes());
  }
  CHECK(most < 100'000);
}

TEST_CASE("a frame of another format, another protocol or over the limit is an error of its kind")
{
  const auto errorOf = [](std::string aFrame, std::size_t aPlace, char aByte) {
    aFrame[aPlace] = aByte;
    FrameReader reader;
    reader.Feed(aFrame);
    return ReadOne(reader).m_error;
  };
  CHECK(errorOf(SampleFrame(5), 0, 'G') == ErrorKind::BadFrame);
  CHECK(errorOf(SampleFrame(5), 2, 9) == ErrorKind::NewerFormat);
  CHECK(errorOf(SampleFrame(5), 3, 0x40) == ErrorKind::BadFrame);
  CHECK(errorOf(SampleFrame(5), 7, 0x7f) == ErrorKind::TooLarge);
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

TEST_CASE("a delta needs its prefix and is small for a small change")
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
