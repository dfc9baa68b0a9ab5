// Plays loads on placement and admission with stale reports, and checks that the load is even.
#include "LoadPlay.h"

#include <doctest/doctest.h>

using namespace sequoiastep::routing;

// Guards against a rule for busy targets that sends calls out of their failure domain in calm.
TEST_CASE("with low load calls stay in the failure domain and none is refused")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    CAPTURE(seed);
    const PlayResult result = PlayLoad({ .m_seed = seed, .m_load = 0.1 });
    CHECK(static_cast<double>(result.m_ownDomain) >= 0.99 * static_cast<double>(result.m_requests));
    CHECK(result.m_refusedHandovers == 0);
    CHECK(result.m_failed == 0);
    CHECK(result.m_waitP99Ms < 1);
  }
}

// Guards against overload that costs answers: work refused late or run for nothing.
TEST_CASE("twice the load that the targets can run does not lower the answers in time")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    CAPTURE(seed);
    const double full = GoodputOf(PlayLoad({ .m_seed = seed, .m_load = 1 }));
    const double twice = GoodputOf(PlayLoad({ .m_seed = seed, .m_load = 2 }));
    CAPTURE(full);
    CHECK(twice >= 0.95 * full);
  }
}
