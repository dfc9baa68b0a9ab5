#include "RolloutTable.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>
#include <vector>

using namespace sequoiastep;
using namespace sequoiastep::rollout;

namespace {

constexpr Instant kNow{ 1'000'000 };

Rollout
Entry(std::uint64_t aOffset, RolloutPhase aPhase, std::string aEstablished = "")
{
  Rollout entry;
  entry.m_service = "cart";
  entry.m_version = "v" + std::to_string(aOffset);
  entry.m_order = { .m_era = 1, .m_offset = aOffset };
  entry.m_durationMs = 10'000;
  entry.m_deadline = kNow + 10'000;
  entry.m_phase = aPhase;
  entry.m_established = std::move(aEstablished);
  return entry;
}

Rollout
WithFinalOffset(Rollout aEntry, std::uint64_t aOffset)
{
  aEntry.m_finalOffset = aOffset;
  return aEntry;
}

// What all nodes have to agree on.
std::string
Describe(const RolloutTable& aTable)
{
  std::string text;
  for (const auto& [service, rollout] : aTable.m_services) {
    text += service + " " + rollout.m_version + " " + std::to_string(rollout.m_order.m_offset) +
            " " + std::string(NameOf(rollout.m_phase)) + " " +
            std::to_string(rollout.m_finalOffset.value_or(0)) + " " + rollout.m_established + " " +
            std::to_string(rollout.m_deadline.m_ms) + ";";
  }
  return text;
}

// @return the table after all entries, which has to be the same for each order of them.
std::string
InAllOrders(const std::vector<Rollout>& aEntries)
{
  std::vector<std::size_t> order(aEntries.size());
  std::iota(order.begin(), order.end(), 0);
  std::string expected;
  std::uint64_t digest = 0;
  do {
    RolloutTable table;
    for (const std::size_t index : order) {
      Merge(table, aEntries[index], kNow);
    }
    if (expected.empty()) {
      expected = Describe(table);
      digest = Digest(table);
    }
    CHECK(Describe(table) == expected);
    CHECK(Digest(table) == digest);
  } while (std::next_permutation(order.begin(), order.end()));
  return expected;
}

} // namespace

// Guards against nodes that end up with different phases because messages overtook each other.
TEST_CASE("RolloutTable: any order of entries gives the same table")
{
  Rollout early = Entry(7, RolloutPhase::Trial, "v1");
  early.m_deadline = kNow + 9'500;
  CHECK(InAllOrders({ Entry(7, RolloutPhase::Trial),
                      early,
                      Entry(7, RolloutPhase::Shifting, "v2"),
                      Entry(7, RolloutPhase::Completed),
                      Entry(5, RolloutPhase::RolledBack, "v0") }) ==
        "cart v7 7 completed 0 v1 1009500;");
  CHECK(InAllOrders({ Entry(7, RolloutPhase::Completed),
                      Entry(7, RolloutPhase::RolledBack),
                      Entry(7, RolloutPhase::Shifting) }) == "cart v7 7 rolled_back 0  1010000;");
  // The record that lies first in the store counts, whatever was believed before.
  CHECK(InAllOrders({ Entry(7, RolloutPhase::RolledBack),
                      WithFinalOffset(Entry(7, RolloutPhase::Completed), 12),
                      WithFinalOffset(Entry(7, RolloutPhase::RolledBack), 14),
                      Entry(7, RolloutPhase::Trial) }) == "cart v7 7 completed 12  1010000;");
  CHECK(InAllOrders({ WithFinalOffset(Entry(7, RolloutPhase::Completed), 12),
                      Entry(8, RolloutPhase::Trial, "v7"),
                      Entry(7, RolloutPhase::Trial, "v6") }) == "cart v8 8 trial 0 v7 1010000;");
}

// Guards against floods that never end, and against stale entries that are not corrected.
TEST_CASE("RolloutTable: tells whether an entry changed the table, is known or is older")
{
  RolloutTable table;
  CHECK(Digest(table) == 0);
  CHECK(Merge(table, Entry(7, RolloutPhase::Trial), kNow) == MergeResult::Changed);
  CHECK(Merge(table, Entry(7, RolloutPhase::Trial), kNow + 5) == MergeResult::Known);
  CHECK(FindRollout(table, "cart")->m_learnedAt == kNow);
  CHECK(Merge(table, Entry(7, RolloutPhase::RolledBack), kNow) == MergeResult::Changed);
  CHECK(Merge(table, Entry(7, RolloutPhase::Shifting), kNow) == MergeResult::Older);
  CHECK(Merge(table, Entry(6, RolloutPhase::Completed), kNow) == MergeResult::Older);
  CHECK(Merge(table, Entry(8, RolloutPhase::Trial), kNow + 9) == MergeResult::Changed);
  CHECK(FindRollout(table, "cart")->m_learnedAt == kNow + 9);
  CHECK(FindRollout(table, "search") == nullptr);
}

// Guards against deadlines that move by the difference of two nodes' clocks.
TEST_CASE("RolloutTable: an entry keeps its time left on the way")
{
  const Rollout sent = WithFinalOffset(Entry(7, RolloutPhase::Completed, "v1"), 12);
  const Instant received{ 50 };
  const Rollout arrived = FromWire(ToWire(sent, kNow + 4'000), received);
  CHECK(arrived.m_deadline == received + 6'000);
  CHECK(arrived.m_order == sent.m_order);
  CHECK(arrived.m_phase == sent.m_phase);
  CHECK(arrived.m_finalOffset == sent.m_finalOffset);
  CHECK(arrived.m_established == "v1");
}
