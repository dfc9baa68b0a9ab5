#include "Exposure.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace sequoiastep;
using namespace sequoiastep::rollout;

namespace {

constexpr Instant kNow{ 1'000'000 };
constexpr double kShare = 0.1;
constexpr double kSlack = 50;

Rollout
Order(std::uint64_t aOffset)
{
  return { .m_service = "cart",
           .m_version = "v2",
           .m_order = { .m_era = 1, .m_offset = aOffset },
           .m_durationMs = 20'000,
           .m_deadline = kNow + 20'000 };
}

struct Fleet
{
  std::vector<Exposure> m_nodes;
  Random m_random;
  std::uint64_t m_requests = 0;
  std::uint64_t m_trials = 0;
  std::map<std::string, std::uint64_t> m_trialsByRoute;

  Fleet(std::size_t aNodes, std::uint64_t aSeed)
    : m_nodes(aNodes)
    , m_random{ aSeed }
  {
  }

  bool Request(std::size_t aNode, const std::string& aRoute)
  {
    ++m_requests;
    const bool tried = ShouldTry(m_nodes[aNode], Order(7), aRoute, kNow, m_random);
    m_trials += tried ? 1 : 0;
    m_trialsByRoute[aRoute] += tried ? 1 : 0;
    return tried;
  }
};

} // namespace

// Guards against a share that holds for one busy node but not for the sum of many idle ones, and
// against nodes with few requests that never try the new version.
TEST_CASE("Exposure: all nodes together keep the share and produce evidence from the start")
{
  for (const std::size_t nodes : { 1UL, 10UL, 82UL, 1'200UL }) {
    double trialsEarly = 0;
    double requestsEarly = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      Fleet fleet(nodes, seed);
      bool kept = true;
      for (int request = 0; request < 8'000; ++request) {
        fleet.Request(fleet.m_random.Below(nodes), "get");
        kept = kept && static_cast<double>(fleet.m_trials) <=
                         kShare * static_cast<double>(fleet.m_requests) + kSlack;
        if (request == 500) {
          trialsEarly += static_cast<double>(fleet.m_trials);
          requestsEarly += static_cast<double>(fleet.m_requests);
        }
      }
      CHECK(kept);
      const double share =
        static_cast<double>(fleet.m_trials) / static_cast<double>(fleet.m_requests);
      CHECK(share > 0.072);
      CHECK(share < 0.088);
    }
    CAPTURE(nodes);
    CHECK(trialsEarly / requestsEarly > 0.074);
    CHECK(trialsEarly / requestsEarly < 0.086);
  }
}

// Guards against a node that saves up trials, or borrows them, over a span of its own.
TEST_CASE("Exposure: one node never goes over its share by more than one request")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(1, seed);
    bool kept = true;
    for (int request = 0; request < 2'000; ++request) {
      fleet.Request(0, "get");
      kept = kept && static_cast<double>(fleet.m_trials) <=
                       0.08 * static_cast<double>(fleet.m_requests) + 1;
    }
    CHECK(kept);
  }
}

// Guards against a route that is not judged since its requests meet no trial, as with requests of
// several routes that take turns.
TEST_CASE("Exposure: every route is covered")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet turns(1, seed);
    Fleet rare(82, seed);
    for (int request = 0; request < 4'000; ++request) {
      turns.Request(0, std::to_string(request % 25));
      const auto node = rare.m_random.Below(82);
      rare.Request(node, rare.m_random.Below(20) == 0 ? "rare" : "usual");
    }
    CHECK(turns.m_trialsByRoute.size() == 25);
    for (const auto& entry : turns.m_trialsByRoute) {
      CAPTURE(entry.first);
      CHECK(entry.second >= 4);
    }
    CHECK(rare.m_trialsByRoute["rare"] >= 8);
  }
}

// Guards against trials of an earlier order that count against the next one, and against trials
// after the verdict or the deadline.
TEST_CASE("Exposure: starts from zero with each order and ends with the trial")
{
  Exposure node;
  Random random{ 5 };
  int trials = 0;
  for (int request = 0; request < 100; ++request) {
    trials += ShouldTry(node, Order(7), "get", kNow, random) ? 1 : 0;
  }
  CHECK(trials >= 7);
  CHECK(trials <= 9);
  CHECK(node.m_services["cart"].m_requests == 100);
  ShouldTry(node, Order(8), "get", kNow, random);
  CHECK(node.m_services["cart"].m_requests == 1);
  for (const RolloutPhase phase :
       { RolloutPhase::Shifting, RolloutPhase::Completed, RolloutPhase::RolledBack }) {
    Rollout later = Order(9);
    later.m_phase = phase;
    for (int request = 0; request < 100; ++request) {
      CHECK(!ShouldTry(node, later, "get", kNow, random));
    }
  }
  for (int request = 0; request < 100; ++request) {
    CHECK(!ShouldTry(node, Order(10), "get", kNow + 20'000, random));
  }
}

// Guards against a share that is used up by attempts that no target received.
TEST_CASE("Exposure: a refunded trial is tried again")
{
  Exposure node;
  Random random{ 5 };
  while (!ShouldTry(node, Order(7), "get", kNow, random)) {
  }
  RefundTrial(node, Order(7), "get");
  RefundTrial(node, Order(7), "get");
  RefundTrial(node, Order(8), "get");
  CHECK(node.m_services["cart"].m_trialAttempts == 0);
  bool again = false;
  for (int request = 0; request < 13; ++request) {
    again = again || ShouldTry(node, Order(7), "get", kNow, random);
  }
  CHECK(again);
}
