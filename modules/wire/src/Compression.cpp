#include "Compression.h"

#include <algorithm>
#include <fmt/core.h>
#include <memory>
#include <zstd.h>

namespace sequoiastep::wire {

namespace {

constexpr int kCompressionLevel = 3;
constexpr int kMinWindowLog = 17;
constexpr int kMaxWindowLog = 27;

struct FreeCompressor
{
  void operator()(ZSTD_CCtx* aContext) const { ZSTD_freeCCtx(aContext); }
};

struct FreeDecompressor
{
  void operator()(ZSTD_DCtx* aContext) const { ZSTD_freeDCtx(aContext); }
};

// The window must span the plain bytes and the whole prefix before them. aBytes is the sum of both.
int
WindowLogFor(std::size_t aBytes)
{
  int windowLog = kMinWindowLog;
  while (windowLog < kMaxWindowLog && (std::size_t{ 1 } << windowLog) < aBytes) {
    ++windowLog;
  }
  return windowLog;
}

} // namespace

std::string
Compress(std::string_view aPlain)
{
  return CompressDelta(aPlain, {});
}

std::string
CompressDelta(std::string_view aPlain, std::string_view aPrefix)
{
  const std::unique_ptr<ZSTD_CCtx, FreeCompressor> context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kCompressionLevel);
  if (!aPrefix.empty()) {
    ZSTD_CCtx_setParameter(
      context.get(), ZSTD_c_windowLog, WindowLogFor(aPlain.size() + aPrefix.size()));
    ZSTD_CCtx_refPrefix(context.get(), aPrefix.data(), aPrefix.size());
  }
  std::string compressed(ZSTD_compressBound(aPlain.size()), '\0');
  const std::size_t size = ZSTD_compress2(
    context.get(), compressed.data(), compressed.size(), aPlain.data(), aPlain.size());
  compressed.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return compressed;
}

Result<std::string>
Decompress(std::string_view aCompressed, std::size_t aLimit, std::string_view aPrefix)
{
  const unsigned long long size = ZSTD_getFrameContentSize(aCompressed.data(), aCompressed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Fail(ErrorKind::BadFrame, "the compressed bytes are damaged; they are asked for again");
  }
  if (size > aLimit) {
    return Fail(ErrorKind::TooLarge,
                fmt::format("{} decompressed bytes are over the limit of {}", size, aLimit));
  }
  const std::unique_ptr<ZSTD_DCtx, FreeDecompressor> context(ZSTD_createDCtx());
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kMaxWindowLog);
  if (!aPrefix.empty()) {
    ZSTD_DCtx_refPrefix(context.get(), aPrefix.data(), aPrefix.size());
  }
  std::string plain(size, '\0');
  const std::size_t written = ZSTD_decompressDCtx(
    context.get(), plain.data(), plain.size(), aCompressed.data(), aCompressed.size());
  if (ZSTD_isError(written) != 0 || written != size) {
    return Fail(ErrorKind::BadFrame, "the compressed bytes are damaged; they are asked for again");
  }
  return plain;
}

} // namespace sequoiastep::wire
