#include "Random.h"

#include <random>

namespace sequoiastep {

std::uint64_t
EntropySeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace sequoiastep
