#include "Members.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::membership;

namespace {

constexpr Instant kNow{ 1'000'000 };

Member
Entry(std::uint64_t aIncarnation, std::uint32_t aCounter, std::vector<Departure> aDepartures = {})
{
  return { .m_node = "n",
           .m_incarnation = aIncarnation,
           .m_counter = aCounter,
           .m_state = MemberState::Up,
           .m_departures = std::move(aDepartures) };
}

} // namespace

// Guards against a leave that is forgotten because another version of the entry overrides it.
TEST_CASE("departures of a member are merged in whatever order its entries come")
{
  const Departure a{ .m_id = "a", .m_bornMs = 100 };
  const Departure b{ .m_id = "b", .m_bornMs = 200 };
  const Departure undated{ .m_id = "c", .m_bornMs = std::nullopt };
  const std::vector<Member> entries{
    Entry(7, 3, { a }), Entry(7, 4), Entry(2, 1), Entry(2, 6, { b }), Entry(9, 5, { undated, a })
  };
  std::vector<std::size_t> order{ 0, 1, 2, 3, 4 };
  std::optional<std::uint64_t> digest;
  do {
    MemberTable table{ .m_self = "self", .m_members = {} };
    for (const std::size_t index : order) {
      MergeMember(table, entries[index], kNow);
    }
    const Member& merged = table.m_members.at("n").m_member;
    CHECK(merged.m_counter == 6);
    CHECK(merged.m_departures == std::vector<Departure>{ b, a, undated });
    CHECK(TableDigest(table) == digest.value_or(TableDigest(table)));
    digest = TableDigest(table);
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("an older entry that names a departure changes the table, and the departure is sent on")
{
  MemberTable table{ .m_self = "self", .m_members = {} };
  MergeMember(table, Entry(2, 6), kNow);
  const std::uint64_t before = TableDigest(table);
  const Member older = Entry(1, 3, { { .m_id = "a", .m_bornMs = 100 } });
  CHECK(MergeMember(table, older, kNow) == MergeResult::Changed);
  CHECK(TableDigest(table) != before);
  CHECK(MergeMember(table, older, kNow) == MergeResult::Older);
  const Member& merged = table.m_members.at("n").m_member;
  CHECK(merged.m_incarnation == 2);
  CHECK(FromWire(ToWire(merged)).m_departures == merged.m_departures);
}

TEST_CASE("a restarted member takes over the departures of its earlier process")
{
  MemberTable table{ .m_self = "n", .m_members = {} };
  UpdateSelf(table, Entry(2, 0), kNow);
  UpdateSelf(table, Entry(2, 0), kNow);
  CHECK(MergeMember(table, Entry(1, 1, { { .m_id = "a", .m_bornMs = 100 } }), kNow) ==
        MergeResult::Refuted);
  const Member& self = table.m_members.at("n").m_member;
  CHECK(self.m_incarnation == 2);
  CHECK(self.m_counter == 3);
  CHECK(self.m_departures.size() == 1);
}

TEST_CASE("the departures of a member are bounded")
{
  MemberTable table{ .m_self = "self", .m_members = {} };
  for (std::int64_t born = 1; born <= 50; ++born) {
    MergeMember(table, Entry(1, 1, { { .m_id = "t", .m_bornMs = born } }), kNow);
  }
  const Member& merged = table.m_members.at("n").m_member;
  CHECK(merged.m_departures.size() == 4);
  CHECK(merged.m_departures.front().m_bornMs == 50);
}
