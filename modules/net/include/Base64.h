/// @file
/// Base64 text, as the platform's log writes record bodies.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep {

/// @return aBytes in base64.
std::string
EncodeBase64(std::string_view aBytes);

/// @return the bytes of aText, or nothing if it is not base64.
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace sequoiastep
