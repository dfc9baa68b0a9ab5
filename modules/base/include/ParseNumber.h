/// @file
/// Parses numbers in headers, queries and documents.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace sequoiastep {

/// @return the number that aText consists of, decimal digits only; nothing if it is anything else
/// or too large.
std::optional<std::uint64_t>
ParseNumber(std::string_view aText);

} // namespace sequoiastep
