#include "ParseNumber.h"

#include <charconv>

namespace sequoiastep {

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* textEnd = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), textEnd, number);
  return error == std::errc() && end == textEnd ? std::optional(number) : std::nullopt;
}

} // namespace sequoiastep
