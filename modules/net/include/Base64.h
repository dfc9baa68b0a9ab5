/// @file
/// Base64, the encoding of record bodies in the platform's log.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep {

/// @return aBytes encoded as base64.
std::string
EncodeBase64(std::string_view aBytes);

/// @return the decoded bytes, or nothing if aText is not valid base64.
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace sequoiastep
