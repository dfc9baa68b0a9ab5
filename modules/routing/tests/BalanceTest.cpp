// Plays loads on placement and admission with stale reports, and checks that the load is even.
#include "LoadPlay.h"
#include "Picker.h"

#include <doctest/doctest.h>
#include <vector>

using namespace sequoiastep;
using namespace sequoiastep::routing;

namespace {

constexpr Instant kNow{ 1'000'000 };
constexpr Milliseconds kGapMs = 100;
constexpr std::uint32_t kServiceUs = 100'000;
const Candidate kTarget{ .m_node = "east-a1", .m_slots = 6 };

// Reports at a distance of kGapMs, the last one at kNow.
void
Report(PickState& aState, const std::vector<std::uint32_t>& aLoads)
{
  auto at = kNow + -kGapMs * static_cast<Milliseconds>(aLoads.size() - 1);
  for (const std::uint32_t load : aLoads) {
    RecordDispatch(aState, kTarget.m_node);
    RecordAnswer(aState,
                 kTarget.m_node,
                 { .m_latencyUs = kServiceUs + 1000, .m_heldUs = kServiceUs },
                 { .m_load = load, .m_serviceUs = kServiceUs },
                 at);
    at = at + kGapMs;
  }
}

double
WaitAfterMs(const PickState& aState, Milliseconds aAgeMs)
{
  return PredictedWaitMs(kTarget, *FindStats(aState, kTarget.m_node), kNow + aAgeMs);
}

} // namespace

// Guards against overrun in turns: nodes that take a target to be idle because its latest report
// is some run times old, though others go on to send to it.
TEST_CASE("a target that is usually busy is expected to be busy after its latest report")
{
  PickState state;
  Report(state, std::vector<std::uint32_t>(20, 12));
  const double freshMs = WaitAfterMs(state, 0);
  CHECK(freshMs > 50);
  for (const Milliseconds ageMs : { 100, 300, 499, 800, 1900 }) {
    CAPTURE(ageMs);
    CHECK(WaitAfterMs(state, ageMs) > 0.9 * freshMs);
  }
  CHECK(WaitAfterMs(state, 2000) == 0);
}

// Guards against one report that decides until the next one: load beyond the usual drains, and a
// moment of idleness ends.
TEST_CASE("the latest report gives way to the usual load within some runs")
{
  std::vector<std::uint32_t> loads(20, 3);
  loads.push_back(12);
  PickState busyNow;
  Report(busyNow, loads);
  CHECK(WaitAfterMs(busyNow, 0) > 50);
  CHECK(WaitAfterMs(busyNow, 400) == 0);
  loads.assign(20, 14);
  loads.push_back(0);
  PickState idleNow;
  Report(idleNow, loads);
  CHECK(WaitAfterMs(idleNow, 0) == 0);
  CHECK(WaitAfterMs(idleNow, 400) > 50);
}

// Guards against a single wrong report that keeps calls away for as long as the usual load counts.
TEST_CASE("one report of a huge load repels calls only while the report itself counts")
{
  for (const std::size_t before : { 0, 1, 2, 10 }) {
    CAPTURE(before);
    std::vector<std::uint32_t> loads(before, 1);
    loads.push_back(100);
    PickState state;
    Report(state, loads);
    CHECK(WaitAfterMs(state, 0) > 1000);
    CHECK(WaitAfterMs(state, 501) == 0);
  }
}

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
