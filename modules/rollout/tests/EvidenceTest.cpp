#include "Evidence.h"

#include <doctest/doctest.h>
#include <set>

using namespace sequoiastep;
using namespace sequoiastep::rollout;

namespace {

constexpr Instant kNow{ 1'000'000 };

Rollout
Order(std::uint64_t aOffset)
{
  return { .m_service = "cart",
           .m_version = "v2",
           .m_order = { .m_era = 1, .m_offset = aOffset },
           .m_durationMs = 10'000,
           .m_deadline = kNow + 10'000 };
}

} // namespace

// Guards against run times that are counted in a bucket of another doubling.
TEST_CASE("Evidence: buckets of run times")
{
  CHECK(RunBucketOf(0) == 0);
  CHECK(RunBucketOf(1) == 0);
  CHECK(RunBucketOf(1.2) == 1);
  CHECK(RunBucketOf(2) == 2);
  CHECK(RunBucketOf(2.1) == 3);
  CHECK(RunBucketOf(1024) == 20);
  CHECK(RunBucketOf(1e9) == kRunBuckets - 1);
  CHECK(RunBucketOf(-1) == 0);
}

// Guards against answers before the order, or of another version, that count for or against it.
TEST_CASE("Evidence: counts by route, anew for each order and version")
{
  TargetEvidence evidence;
  RecordAnswer(evidence, Order(7), "v2", "get", false, 30);
  RecordAnswer(evidence, Order(7), "v2", "get", true, 10);
  RecordAnswer(evidence, Order(7), "v2", "put", false, 50);
  const auto first = TakeDueEvidence(evidence, Order(7), "v2", 3, kNow);
  REQUIRE(first);
  CHECK(first->service == "cart");
  CHECK(first->order_offset == 7);
  CHECK(first->version == "v2");
  CHECK(first->outstanding == 3);
  REQUIRE(first->routes.size() == 2);
  CHECK(first->routes[0]->route == "get");
  CHECK(first->routes[0]->requests == 2);
  CHECK(first->routes[0]->errors == 1);
  CHECK(first->routes[0]->run_ms == doctest::Approx(40));
  CHECK(first->routes[0]->run_ms_squared == doctest::Approx(1000));
  // The failed answer has no run time bucket.
  CHECK(first->routes[0]->run_buckets.size() == RunBucketOf(30) + 1);
  CHECK(first->routes[0]->run_buckets.back() == 1);

  RecordAnswer(evidence, Order(8), "v2", "get", false, 30);
  const auto second = TakeDueEvidence(evidence, Order(8), "v2", 0, kNow + 1'000);
  REQUIRE(second);
  CHECK(second->sequence > first->sequence);
  CHECK(second->routes.size() == 1);
  CHECK(second->routes[0]->requests == 1);

  const auto otherVersion = TakeDueEvidence(evidence, Order(8), "v3", 0, kNow + 2'000);
  REQUIRE(otherVersion);
  CHECK(otherVersion->routes.empty());
}

// Guards against late news of errors, and against a message for each error.
TEST_CASE("Evidence: is sent in intervals, sooner with new errors, and not after the end")
{
  TargetEvidence old;
  CHECK(TakeDueEvidence(old, Order(7), "v1", 0, kNow));
  CHECK(!TakeDueEvidence(old, Order(7), "v1", 0, kNow + (kEvidenceIntervalMs - 1)));
  CHECK(TakeDueEvidence(old, Order(7), "v1", 0, kNow + kEvidenceIntervalMs));
  TargetEvidence trial;
  CHECK(TakeDueEvidence(trial, Order(7), "v2", 0, kNow));
  CHECK(!TakeDueEvidence(trial, Order(7), "v2", 0, kNow + (kAwaitedEvidenceIntervalMs - 1)));
  CHECK(TakeDueEvidence(trial, Order(7), "v2", 0, kNow + kAwaitedEvidenceIntervalMs));

  Instant now = kNow + 10'000;
  TakeDueEvidence(old, Order(7), "v1", 0, now);
  RecordAnswer(old, Order(7), "v1", "get", true, 30);
  CHECK(!TakeDueEvidence(old, Order(7), "v1", 0, now + (kUrgentEvidenceIntervalMs - 1)));
  CHECK(TakeDueEvidence(old, Order(7), "v1", 0, now + kUrgentEvidenceIntervalMs));
  int messages = 0;
  for (int step = 0; step < 1'000; ++step) { // An error each 10 ms for 10 s.
    now = now + 10;
    RecordAnswer(old, Order(7), "v1", "get", true, 30);
    messages += TakeDueEvidence(old, Order(7), "v1", 0, now) ? 1 : 0;
  }
  CHECK(messages < 45);

  Rollout ended = Order(7);
  ended.m_phase = RolloutPhase::RolledBack;
  CHECK(!TakeDueEvidence(old, ended, "v1", 0, now + 10'000));
}

// Guards against judges that differ between nodes, and against one node that judges everything.
TEST_CASE("Evidence: judges are the same for any order of the nodes and spread over them")
{
  std::vector<std::string> nodes;
  nodes.reserve(80);
  for (int node = 0; node < 80; ++node) {
    nodes.push_back("node-" + std::to_string(node));
  }
  const std::vector<std::string> reversed(nodes.rbegin(), nodes.rend());
  std::set<std::string> first;
  for (int service = 0; service < 40; ++service) {
    const std::string name = "service-" + std::to_string(service);
    const auto judges = JudgesOf(name, nodes);
    REQUIRE(judges.size() == 2);
    CHECK(judges[0] != judges[1]);
    CHECK(JudgesOf(name, reversed) == judges);
    first.insert(judges[0]);
    // The second one takes over when the first one is gone.
    std::vector<std::string> left = nodes;
    std::erase(left, judges[0]);
    CHECK(JudgesOf(name, left)[0] == judges[1]);
  }
  CHECK(first.size() > 20);
  CHECK(JudgesOf("cart", {}).empty());
  CHECK(JudgesOf("cart", { "a" }) == std::vector<std::string>{ "a" });
}
