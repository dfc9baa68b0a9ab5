#include "Base64.h"

#include <boost/beast/core/detail/base64.hpp>

namespace sequoiastep {

namespace base64 = boost::beast::detail::base64;

std::string
EncodeBase64(std::string_view aBytes)
{
  std::string text(base64::encoded_size(aBytes.size()), '\0');
  text.resize(base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  std::string bytes(base64::decoded_size(aText.size()), '\0');
  const auto [written, read] = base64::decode(bytes.data(), aText.data(), aText.size());
  const std::string_view rest = aText.substr(read);
  if (aText.size() % 4 != 0 || rest.find_first_not_of('=') != std::string_view::npos ||
      rest.size() > 2) {
    return std::nullopt;
  }
  bytes.resize(written);
  return bytes;
}

} // namespace sequoiastep
