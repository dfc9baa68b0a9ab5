#include "Hash.h"

#include <xxhash.h>

namespace sequoiastep {

std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace sequoiastep
