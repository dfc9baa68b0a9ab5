/// @file
/// Zstandard compression, plain and as a delta against bytes that both sides hold.
#pragma once

#include "Error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace sequoiastep::wire {

/// @return aPlain compressed by itself.
std::string
Compress(std::string_view aPlain);

/// @return aPlain compressed against aPrefix, which the receiver must hold byte for byte.
std::string
CompressDelta(std::string_view aPlain, std::string_view aPrefix);

/// @param aLimit largest plain size accepted, in bytes.
/// @param aPrefix what CompressDelta was given; empty for Compress.
/// @return the plain bytes, or BadFrame or TooLarge.
Result<std::string>
Decompress(std::string_view aPacked, std::size_t aLimit, std::string_view aPrefix = {});

} // namespace sequoiastep::wire
