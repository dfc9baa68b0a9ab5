// Plays loads on placement and admission with stale reports, and checks that the load is even.
#include "LoadPlay.h"
#include "Placement.h"

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
  // Long queues make these plays slow: with 10 s each they took 14 s.
  constexpr double kPlayMs = 5000;
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    CAPTURE(seed);
    const double full =
      GoodputOf(PlayLoad({ .m_seed = seed, .m_load = 1, .m_durationMs = kPlayMs }));
    const double twice =
      GoodputOf(PlayLoad({ .m_seed = seed, .m_load = 2, .m_durationMs = kPlayMs }));
    CAPTURE(full);
    CHECK(twice >= 0.95 * full);
  }
}

// Guards against nodes that ask several targets in vain, since what they know of them is old.
TEST_CASE("at 0.8 of the capacity less than 2 of 100 requests are refused by a target")
{
  constexpr std::uint64_t kSeeds = 4;
  double refused = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const PlayResult result = PlayLoad({ .m_seed = seed, .m_load = 0.8 });
    CHECK(result.m_failed == 0);
    refused += RefusedShare(result) / kSeeds;
  }
  CHECK(refused < 0.02);
}

// Guards against a region that keeps, until they fail, the requests that its own targets can't run,
// because it expects the targets of other regions to be as busy.
TEST_CASE("a region with more requests than its targets can run is served by the others")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    CAPTURE(seed);
    const PlayResult result = PlayLoad({ .m_seed = seed,
                                         .m_targets = 17,
                                         .m_routeRunMs = { 20, 35, 50, 70, 90 },
                                         .m_load = 0.8,
                                         .m_regionShares = { 0.5, 0.25, 0.25 } });
    CHECK(static_cast<double>(result.m_failed) < 0.02 * static_cast<double>(result.m_requests));
  }
}

TEST_CASE("a call waits beyond the expected wait as long as its objective and its run allow")
{
  const std::vector<Candidate> candidates{ kTarget };
  const auto maxWaitMs = [&](Milliseconds aObjectiveMs, double aRouteAverageUs) {
    Placement placement;
    Random random{ 3 };
    const PickRequest request{ .m_kilobytes = 0,
                               .m_routeAverageUs = aRouteAverageUs,
                               .m_objectiveMs = aObjectiveMs };
    return Place(placement, candidates, {}, request, kNow, random)->m_maxWaitMs;
  };
  CHECK(maxWaitMs(400, 100'000) == 60);
  // At most one run, so that a target that turns out to be busy is still left.
  CHECK(maxWaitMs(4000, 100'000) == 100);
  // As before with a short, missed or unknown objective, or before the route's first answer.
  CHECK(maxWaitMs(100, 100'000) == 40);
  CHECK(maxWaitMs(-50, 100'000) == 40);
  CHECK(maxWaitMs(4000, 0) == 40);
}
