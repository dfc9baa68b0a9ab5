/// @file
/// Zstandard compression, standalone or as a delta against bytes that both sides hold.
#pragma once

#include "Error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace sequoiastep::wire {

/// @return aPlain compressed on its own; empty if compression fails.
std::string
Compress(std::string_view aPlain);

/// @return aPlain compressed as a delta against aPrefix, which the receiver must hold byte for
/// byte; empty if compression fails.
std::string
CompressDelta(std::string_view aPlain, std::string_view aPrefix);

/// @param aLimit largest accepted size of the decompressed bytes.
/// @param aPrefix the prefix that CompressDelta was given; empty for the output of Compress.
/// @return the decompressed bytes, or BadFrame or TooLarge.
Result<std::string>
Decompress(std::string_view aCompressed, std::size_t aLimit, std::string_view aPrefix = {});

} // namespace sequoiastep::wire
