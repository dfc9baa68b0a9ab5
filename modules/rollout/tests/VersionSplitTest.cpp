#include "VersionSplit.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::rollout;

namespace {

constexpr Instant kNow{ 1'000'000 };
constexpr double kShare = 0.1;

std::vector<routing::Candidate>
Targets(std::string_view aVersion, int aCount)
{
  std::vector<routing::Candidate> targets;
  targets.reserve(static_cast<std::size_t>(aCount));
  for (int index = 0; index < aCount; ++index) {
    targets.push_back({ .m_node = std::string(aVersion) + "-" + std::to_string(index),
                        .m_version = std::string(aVersion) });
  }
  return targets;
}

std::vector<routing::Candidate>
operator+(std::vector<routing::Candidate> aLeft, const std::vector<routing::Candidate>& aRight)
{
  aLeft.insert(aLeft.end(), aRight.begin(), aRight.end());
  return aLeft;
}

Rollout
Order(std::string aVersion, RolloutPhase aPhase, std::string aEstablished = "v1")
{
  return { .m_service = "cart",
           .m_version = std::move(aVersion),
           .m_order = { .m_era = 1, .m_offset = 7 },
           .m_durationMs = 10'000,
           .m_deadline = kNow + 10'000,
           .m_phase = aPhase,
           .m_established = std::move(aEstablished) };
}

// @return the number of targets by version, as "v1:3 v2:1".
std::string
Summary(const std::vector<routing::Candidate>& aCandidates)
{
  std::map<std::string, int> counts;
  for (const routing::Candidate& candidate : aCandidates) {
    ++counts[candidate.m_version];
  }
  std::string text;
  for (const auto& [version, count] : counts) {
    text += (text.empty() ? "" : " ") + version + ":" + std::to_string(count);
  }
  return text;
}

// One service as one node sees it.
struct Service
{
  VersionHistory m_history;
  VersionedCandidates m_split;

  // @return the regular targets, and after a bar those on trial.
  std::string Split(const std::vector<routing::Candidate>& aCandidates,
                    const Rollout* aRollout,
                    Instant aNow)
  {
    m_split = SplitByVersion(aCandidates, aRollout, m_history, kShare, aNow);
    return Summary(m_split.m_regular) + "|" + Summary(m_split.m_trial);
  }
};

} // namespace

// Guards against targets that are held back in a deployment that reports no versions.
TEST_CASE("VersionSplit: targets without a version, or of one version only, are all regular")
{
  Service unversioned;
  CHECK(unversioned.Split(Targets("", 4), nullptr, kNow) == ":4|");
  CHECK(unversioned.Split(Targets("", 9), nullptr, kNow + 60'000) == ":9|");
  CHECK(!unversioned.m_split.m_reviewAt);
  Service one;
  CHECK(one.Split({}, nullptr, kNow) == "|");
  CHECK(one.Split(Targets("v1", 4), nullptr, kNow) == "v1:4|");
  CHECK(one.Split(Targets("v1", 9), nullptr, kNow + 60'000) == "v1:9|");
  CHECK(!one.m_split.m_reviewAt);
}

// Guards against requests to a version whose order is still on its way, and against a plain release
// that never gets requests.
TEST_CASE("VersionSplit: a version without an order is held back for a limited time")
{
  Service service;
  service.Split(Targets("v1", 6), nullptr, kNow);
  const auto both = Targets("v1", 6) + Targets("v2", 9);
  const Instant start = kNow + 10'000;
  CHECK(service.Split(both, nullptr, start) == "v1:6|");
  REQUIRE(service.m_split.m_reviewAt);
  CHECK(*service.m_split.m_reviewAt == start + kUnorderedHoldMs);
  CHECK(service.Split(both, nullptr, start + 4'999) == "v1:6|");
  CHECK(service.Split(both, nullptr, start + 5'000) == "v1:6 v2:9|");
  CHECK(!service.m_split.m_reviewAt);
  // A late order takes it back.
  const Rollout order = Order("v2", RolloutPhase::Trial);
  CHECK(service.Split(both, &order, start + 6'000) == "v1:6|v2:1");
}

// Guards against a new version that is taken for the established one by a node that has just
// started.
TEST_CASE("VersionSplit: a node that has just started takes the most common version")
{
  Service service;
  CHECK(service.Split(Targets("v2", 2), nullptr, kNow) == "v2:2|");
  const auto both = Targets("v1", 6) + Targets("v2", 3);
  CHECK(service.Split(both, nullptr, kNow + 300) == "v1:6|");
  CHECK(service.Split(both, nullptr, kNow + 4'000) == "v1:6|");
  // The order that names it says so as well.
  Service ordered;
  ordered.Split(Targets("v2", 2), nullptr, kNow);
  const Rollout unknown = Order("v2", RolloutPhase::Trial, "");
  CHECK(ordered.Split(Targets("v1", 6) + Targets("v2", 8), &unknown, kNow + 300) == "v1:6|v2:1");
}

// Guards against an outage when all old targets are gone.
TEST_CASE("VersionSplit: a service whose only targets are of an unordered version is served")
{
  Service service;
  service.Split(Targets("v1", 6), nullptr, kNow);
  const Instant later = kNow + 10'000;
  CHECK(service.Split(Targets("v2", 6), nullptr, later) == "v2:6|");
  // They may have been out of sight only.
  CHECK(service.Split(Targets("v1", 6) + Targets("v2", 6), nullptr, later + 3'000) == "v1:6|");
  CHECK(service.Split(Targets("v2", 6), nullptr, later + 4'000) == "v2:6|");
  CHECK(service.Split(Targets("v2", 6), nullptr, later + 9'000) == "v2:6|");
  CHECK(service.Split(Targets("v1", 6) + Targets("v2", 6), nullptr, later + 9'500) == "v2:6|");
}

// Guards against new targets that are loaded too lightly to show what they do under load, and
// against nodes that use different ones.
TEST_CASE("VersionSplit: a trial uses a few targets, the same ones on all nodes")
{
  const Rollout order = Order("v2", RolloutPhase::Trial);
  const auto trialOf = [&](int aOld, int aNew) {
    Service service;
    const auto both = Targets("v1", aOld) + Targets("v2", aNew);
    return service.Split(both, &order, kNow);
  };
  CHECK(trialOf(46, 46) == "v1:46|v2:3");
  CHECK(trialOf(30, 46) == "v1:30|v2:2");
  CHECK(trialOf(6, 6) == "v1:6|v2:1"); // Two take turns.
  CHECK(trialOf(6, 1) == "v1:6|v2:1");

  auto candidates = Targets("v1", 20) + Targets("v2", 20);
  Service service;
  service.Split(candidates, &order, kNow);
  std::reverse(candidates.begin(), candidates.end());
  Service other;
  other.Split(candidates, &order, kNow + 300);
  REQUIRE(service.m_split.m_trial.size() == other.m_split.m_trial.size());
  for (std::size_t index = 0; index < service.m_split.m_trial.size(); ++index) {
    CHECK(service.m_split.m_trial[index].m_node == other.m_split.m_trial[index].m_node);
  }
  // Where the share doesn't load two targets, two take turns.
  Service turns;
  const auto few = Targets("v1", 6) + Targets("v2", 6);
  std::map<std::string, int> used;
  for (Instant now = kNow; now < kNow + 8'000; now = now + 500) {
    turns.Split(few, &order, now);
    ++used[turns.m_split.m_trial.at(0).m_node];
    REQUIRE(turns.m_split.m_reviewAt);
    CHECK(*turns.m_split.m_reviewAt - now <= 2'000);
  }
  CHECK(used.size() == 2);
  CHECK(used.begin()->second == 8);
  // Another order tries others.
  Rollout next = order;
  bool differs = false;
  for (next.m_order.m_offset = 8; next.m_order.m_offset < 12; ++next.m_order.m_offset) {
    other.Split(candidates, &next, kNow + 400);
    differs = differs || other.m_split.m_trial[0].m_node != service.m_split.m_trial[0].m_node;
  }
  CHECK(differs);
}

// Guards against requests to old targets that are about to be stopped, and to a bad version.
TEST_CASE("VersionSplit: what each phase leaves")
{
  const auto both = Targets("v1", 6) + Targets("v2", 6);
  const Rollout trial = Order("v2", RolloutPhase::Trial);
  const Rollout shifting = Order("v2", RolloutPhase::Shifting);
  const Rollout completed = Order("v2", RolloutPhase::Completed);
  const Rollout rolledBack = Order("v2", RolloutPhase::RolledBack);
  Service good;
  CHECK(good.Split(both, &trial, kNow) == "v1:6|v2:1");
  CHECK(good.Split(both, &shifting, kNow + 6'000) == "v2:6|");
  CHECK(good.Split(both, &completed, kNow + 8'000) == "v2:6|");
  // Old targets that are still there get nothing, also later.
  CHECK(good.Split(both, &completed, kNow + 60'000) == "v2:6|");
  // A plain release of another version after the rollout.
  const auto later = Targets("v2", 6) + Targets("v3", 6);
  CHECK(good.Split(later, &completed, kNow + 70'000) == "v2:6|");
  CHECK(good.Split(later, &completed, kNow + 75'000) == "v2:6 v3:6|");
  CHECK(good.Split(Targets("v3", 6), &completed, kNow + 76'000) == "v3:6|");
  CHECK(good.Split(Targets("v3", 6), &completed, kNow + 99'000) == "v3:6|");

  Service bad;
  bad.Split(both, &trial, kNow);
  CHECK(bad.Split(both, &rolledBack, kNow + 2'000) == "v1:6|");
  CHECK(bad.Split(both, &rolledBack, kNow + 60'000) == "v1:6|");
  // Rather none than a bad one.
  CHECK(bad.Split(Targets("v2", 6), &rolledBack, kNow + 61'000) == "|");
  // An order for another version does not lift the bar, one for this version does.
  Rollout next = Order("v3", RolloutPhase::Trial);
  next.m_order.m_offset = 8;
  CHECK(bad.Split(both + Targets("v3", 6), &next, kNow + 70'000) == "v1:6|v3:1");
  next = trial;
  next.m_order.m_offset = 9;
  next.m_deadline = kNow + 90'000;
  CHECK(bad.Split(both, &next, kNow + 80'000) == "v1:6|v2:1");
}

// Guards against a node that holds the first of two final phases, and learns of the one in the
// store later.
TEST_CASE("VersionSplit: a rollout that was rolled back locally but completed in the store")
{
  const auto both = Targets("v1", 6) + Targets("v2", 6);
  const Rollout rolledBack = Order("v2", RolloutPhase::RolledBack);
  const Rollout completed = Order("v2", RolloutPhase::Completed);
  Service service;
  CHECK(service.Split(both, &rolledBack, kNow) == "v1:6|");
  CHECK(service.Split(both, &completed, kNow + 100) == "v2:6|");
}

// Guards against an outage when one side of a rollout has no target any more.
TEST_CASE("VersionSplit: a side without targets is replaced by the other one where that is allowed")
{
  const Rollout trial = Order("v2", RolloutPhase::Trial);
  const Rollout shifting = Order("v2", RolloutPhase::Shifting);
  const Rollout completed = Order("v2", RolloutPhase::Completed);
  const auto both = Targets("v1", 6) + Targets("v2", 6);
  Service shift;
  shift.Split(both, &trial, kNow);
  CHECK(shift.Split(Targets("v1", 6), &shifting, kNow + 1'000) == "v1:6|");
  // Right after completed the old targets are being stopped; old ones that stay on serve again.
  shift.Split(both, &completed, kNow + 2'000);
  CHECK(shift.Split(Targets("v1", 6), &completed, kNow + 3'000) == "|");
  REQUIRE(shift.m_split.m_reviewAt);
  CHECK(shift.Split(Targets("v1", 6), &completed, kNow + 7'000) == "v1:6|");

  // The share is kept by a node that lost sight of the old targets, but not for long.
  Service cut;
  cut.Split(both, &trial, kNow);
  CHECK(cut.Split(Targets("v2", 6), &trial, kNow + 1'000) == "|v2:1");
  CHECK(cut.Split(Targets("v2", 6), &trial, kNow + 6'000) == "v2:6|");
  CHECK(cut.Split(both, &trial, kNow + 6'100) == "v1:6|v2:1");

  // The whole fleet started with the new version only.
  Service fresh;
  const Rollout unknown = Order("v2", RolloutPhase::Trial, "");
  CHECK(fresh.Split(Targets("v2", 6), &unknown, kNow) == "v2:6|");
  Service afterDeadline;
  CHECK(afterDeadline.Split(Targets("v2", 6), &trial, kNow + 10'000) == "v2:6|");
}
