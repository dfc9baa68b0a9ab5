#include "BodyIntake.h"

#include "Random.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::routing;

namespace {

constexpr Instant kNow{ 1'000'000 };
constexpr std::uint64_t kKilobyte = 1000;
// A link of 16 Mbit/s.
constexpr IntakeOptions kThinLink{ .m_bytesPerMs = 2000 };

// A link that delivers bodies and short messages first in, first out.
struct Link
{
  struct Item
  {
    std::uint64_t m_id = 0; // 0 for a short message.
    std::uint64_t m_bytes = 0;
    Instant m_sentAt;
  };
  std::deque<Item> m_items;
  double m_budget = 0;
};

struct PlayResult
{
  Milliseconds m_worstMessageMs = 0;
  std::uint64_t m_bodies = 0;
};

// Sends bodies of 60 KB at aLoad times the link's rate, beside a short message every 20 ms, for ten
// seconds. Grants and bodies take aDelayMs to reach the other side.
PlayResult
Play(double aLoad, Milliseconds aDelayMs)
{
  constexpr std::uint64_t kBodyBytes = 60 * kKilobyte;
  BodyIntake intake{ .m_options = kThinLink };
  Random random{ 11 };
  Link link;
  std::map<std::uint64_t, std::uint64_t> sentUpTo;
  std::deque<std::pair<Instant, BodyGrant>> grantsOnTheWay;
  PlayResult result;
  std::uint64_t nextId = 1;
  double untilNextMs = 0;
  for (Instant now = kNow; now < kNow + 10'000; now = now + 1) {
    for (untilNextMs -= 1; untilNextMs <= 0;
         untilNextMs -= std::log(1 - random.Unit()) * kBodyBytes / (2000 * aLoad)) {
      Begin(intake, nextId++, { .m_size = kBodyBytes }, now);
    }
    if (now.m_ms % 20 == 0) {
      link.m_items.push_back({ .m_bytes = 500, .m_sentAt = now });
    }
    for (const BodyGrant& grant : NextGrants(intake, now)) {
      grantsOnTheWay.emplace_back(now + aDelayMs, grant);
    }
    while (!grantsOnTheWay.empty() && grantsOnTheWay.front().first <= now) {
      const BodyGrant grant = grantsOnTheWay.front().second;
      std::uint64_t& sent = sentUpTo[grant.m_id];
      link.m_items.push_back({ .m_id = grant.m_id, .m_bytes = grant.m_upTo - sent });
      sent = grant.m_upTo;
      grantsOnTheWay.pop_front();
    }
    link.m_budget = std::min(link.m_budget + 2000, 4000.0);
    while (!link.m_items.empty() && link.m_budget > 0) {
      Link::Item& item = link.m_items.front();
      const auto bytes =
        std::min<std::uint64_t>(item.m_bytes, static_cast<std::uint64_t>(std::ceil(link.m_budget)));
      link.m_budget -= static_cast<double>(bytes);
      item.m_bytes -= bytes;
      if (item.m_id == 0) {
        result.m_worstMessageMs = std::max(result.m_worstMessageMs, now - item.m_sentAt);
      } else {
        REQUIRE(Receive(intake, item.m_id, bytes, now));
        if (intake.m_transfers.at(item.m_id).m_received == kBodyBytes) {
          End(intake, item.m_id);
          ++result.m_bodies;
        }
      }
      if (item.m_bytes == 0) {
        link.m_items.pop_front();
      }
    }
  }
  return result;
}

} // namespace

TEST_CASE("short messages are not held up behind the bodies of an overloaded link")
{
  for (const double load : { 0.5, 0.9, 1.0, 2.0 }) {
    CAPTURE(load);
    const PlayResult result = Play(load, 10);
    // The window and one message more.
    CHECK(result.m_worstMessageMs <= kThinLink.m_windowMs + 5);
    // 333 bodies fit through the link in ten seconds.
    CHECK(static_cast<double>(result.m_bodies) >= 0.85 * 333 * std::min(load, 1.0));
  }
}

TEST_CASE("a lone body is granted whole at once if it fits the window")
{
  BodyIntake intake{ .m_options = kThinLink };
  Begin(intake, 7, { .m_size = 70 * kKilobyte }, kNow);
  const auto grants = NextGrants(intake, kNow);
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].m_id == 7);
  CHECK(grants[0].m_upTo == 70 * kKilobyte);
  CHECK(NextGrants(intake, kNow).empty());
}

TEST_CASE("the bytes in transit never exceed the window, and a body larger than it gets through")
{
  BodyIntake intake{ .m_options = kThinLink };
  constexpr std::uint64_t kSize = 360 * kKilobyte;
  Begin(intake, 1, { .m_size = kSize }, kNow);
  std::uint64_t received = 0;
  for (int round = 0; received < kSize; ++round) {
    REQUIRE(round < 100);
    for (const BodyGrant& grant : NextGrants(intake, kNow)) {
      CHECK(grant.m_upTo - received <= 80 * kKilobyte);
    }
    const std::uint64_t granted = intake.m_transfers.at(1).m_granted;
    REQUIRE(Receive(intake, 1, granted - received, kNow));
    received = granted;
  }
}

TEST_CASE("grants go by priority, then by the earliest objective")
{
  BodyIntake intake{ .m_options = kThinLink };
  const auto begin = [&](std::uint64_t aId, std::uint32_t aPriority, Milliseconds aObjectiveMs) {
    Begin(intake,
          aId,
          { .m_size = 75 * kKilobyte, .m_priority = aPriority, .m_objective = kNow + aObjectiveMs },
          kNow);
  };
  begin(1, 2, 100);
  begin(2, 1, 900);
  begin(3, 1, 500);
  std::vector<std::uint64_t> order;
  while (!intake.m_transfers.empty()) {
    const auto grants = NextGrants(intake, kNow);
    REQUIRE_FALSE(grants.empty());
    const std::uint64_t id = grants[0].m_id;
    order.push_back(id);
    End(intake, id);
  }
  CHECK(order == std::vector<std::uint64_t>{ 3, 2, 1 });
}

TEST_CASE("a sender that stalls or leaves does not hold up the bodies of others")
{
  BodyIntake intake{ .m_options = kThinLink };
  Begin(intake, 1, { .m_size = 80 * kKilobyte }, kNow);
  CHECK(NextGrants(intake, kNow).size() == 1);
  Begin(intake, 2, { .m_size = 80 * kKilobyte }, kNow);
  CHECK(NextGrants(intake, kNow).empty());
  CHECK(NextGrants(intake, kNow + 399).empty());
  CHECK(NextGrants(intake, kNow + 400).size() == 1);
  Begin(intake, 3, { .m_size = 80 * kKilobyte }, kNow + 400);
  CHECK(NextGrants(intake, kNow + 400).empty());
  End(intake, 2);
  CHECK(NextGrants(intake, kNow + 400).size() == 1);
}

TEST_CASE("bytes that were not granted are refused")
{
  BodyIntake intake{ .m_options = kThinLink };
  CHECK_FALSE(Receive(intake, 1, 1, kNow));
  Begin(intake, 1, { .m_size = 100 * kKilobyte }, kNow);
  CHECK_FALSE(Receive(intake, 1, 1, kNow));
  NextGrants(intake, kNow);
  CHECK(Receive(intake, 1, 80 * kKilobyte, kNow));
  CHECK_FALSE(Receive(intake, 1, 1, kNow));
}

TEST_CASE("the time to receive a body counts those announced before it")
{
  BodyIntake intake{ .m_options = kThinLink };
  CHECK(TransferMs(intake, 60 * kKilobyte) == doctest::Approx(30));
  Begin(intake, 1, { .m_size = 100 * kKilobyte }, kNow);
  NextGrants(intake, kNow);
  REQUIRE(Receive(intake, 1, 40 * kKilobyte, kNow));
  CHECK(TransferMs(intake, 60 * kKilobyte) == doctest::Approx(60));
}
