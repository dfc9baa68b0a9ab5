#include "FakeRollout.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::rollout;

namespace {

constexpr std::uint64_t kSeeds = 40;
constexpr double kSlack = 50;
constexpr int kNodes = 80;

constexpr std::array<Fault, 5> kFaults{ Fault::Errors,
                                        Fault::Slow,
                                        Fault::LateErrors,
                                        Fault::ErrorsOnOneRoute,
                                        Fault::ErrorsUnderLoad };

struct Totals
{
  int m_rolledBack = 0;
  int m_inTrial = 0;
  // Over the share at any time, though rolled back in the trial.
  int m_overInTrial = 0;
  // Over the share of all requests until the deadline.
  int m_over = 0;
  Milliseconds m_latest = 0;
  // Plays in which the 50th bad answer came before the rollback, and the longest time between.
  int m_fiftieth = 0;
  Milliseconds m_afterFiftieth = 0;
};

Totals
PlayAll(Play aPlay)
{
  Totals totals;
  aPlay.m_nodes = kNodes;
  for (aPlay.m_seed = 1; aPlay.m_seed <= kSeeds; ++aPlay.m_seed) {
    const Outcome outcome = PlayRollout(aPlay);
    const bool over = outcome.m_beyondShare > kSlack;
    totals.m_over += over ? 1 : 0;
    if (outcome.m_phase != RolloutPhase::RolledBack) {
      continue;
    }
    ++totals.m_rolledBack;
    totals.m_inTrial += outcome.m_shiftedAtMs ? 0 : 1;
    totals.m_overInTrial += outcome.m_mostBeyondShare > kSlack && !outcome.m_shiftedAtMs ? 1 : 0;
    totals.m_latest = std::max(totals.m_latest, *outcome.m_endedAtMs);
    CHECK(*outcome.m_endedAtMs <= outcome.m_durationMs);
    if (outcome.m_fiftiethBadMs && *outcome.m_fiftiethBadMs < *outcome.m_endedAtMs) {
      ++totals.m_fiftieth;
      totals.m_afterFiftieth =
        std::max(totals.m_afterFiftieth, *outcome.m_endedAtMs - *outcome.m_fiftiethBadMs);
    }
  }
  MESSAGE("rolled back " << totals.m_rolledBack << ", of these in the trial " << totals.m_inTrial
                         << " (latest " << totals.m_latest
                         << " ms after the order); over the share " << totals.m_over << "; at most "
                         << totals.m_afterFiftieth << " ms after the 50th bad answer in "
                         << totals.m_fiftieth << " plays");
  // While the version is on trial the share holds in every play.
  CHECK(totals.m_overInTrial == 0);
  return totals;
}

} // namespace

// Guards against faults between the parts: exposure, evidence with 0.5 s delay and a tenth lost,
// and the judge, for each kind of bad version.
TEST_CASE("RolloutPlay: bad versions are rolled back and keep the share while on trial")
{
  for (const Fault fault : kFaults) {
    CAPTURE(static_cast<int>(fault));
    const Totals totals = PlayAll({ .m_fault = fault });
    CHECK(totals.m_rolledBack >= (fault == Fault::ErrorsUnderLoad ? 26 : 38));
    CHECK(totals.m_over <= (fault == Fault::ErrorsUnderLoad ? 32 : 8));
    CHECK(totals.m_afterFiftieth <= 5'000);
  }
}

// Guards against a share that only holds while the nodes hear each other: a quarter of them learn
// of the order but of nothing after it.
TEST_CASE("RolloutPlay: nodes that hear nothing of the others keep the share until the deadline")
{
  for (const Fault fault : { Fault::Errors, Fault::LateErrors }) {
    const Totals totals = PlayAll({ .m_fault = fault, .m_deafNodes = 0.25 });
    CHECK(totals.m_rolledBack >= 38);
  }
  // With all of them deaf, every node goes on with the trial.
  Play alone{ .m_fault = Fault::Errors, .m_nodes = kNodes, .m_deafNodes = 1 };
  for (alone.m_seed = 1; alone.m_seed <= kSeeds; ++alone.m_seed) {
    CHECK(PlayRollout(alone).m_mostBeyondShare <= kSlack);
  }
}

// Guards against old targets that still get requests of a node that missed the new phase when the
// rollout is completed.
TEST_CASE("RolloutPlay: a rollout isn't completed while a deaf node uses old targets")
{
  int completed = 0;
  Play play{ .m_nodes = kNodes, .m_deafNodes = 0.1 };
  for (play.m_seed = 1; play.m_seed <= kSeeds; ++play.m_seed) {
    const Outcome outcome = PlayRollout(play);
    completed += outcome.m_phase == RolloutPhase::Completed ? 1 : 0;
    CHECK(outcome.m_atOldWhenCompleted == 0);
  }
  MESSAGE("completed " << completed);
}

// Guards against good versions that are completed late, also with few requests: 82 nodes with a
// request each two seconds each.
TEST_CASE("RolloutPlay: good versions are completed before the deadline")
{
  int completed = 0;
  Play play{ .m_nodes = kNodes };
  for (play.m_seed = 1; play.m_seed <= kSeeds; ++play.m_seed) {
    const Outcome outcome = PlayRollout(play);
    completed += outcome.m_phase == RolloutPhase::Completed ? 1 : 0;
    CHECK(outcome.m_endedAtMs.value_or(outcome.m_durationMs + 1) <= outcome.m_durationMs);
  }
  CHECK(completed == kSeeds);

  Play quiet{ .m_requestsPerSecond = 41,
              .m_durationMs = 20'000,
              .m_oldTargets = 8,
              .m_routes = 2,
              .m_nodes = 82 };
  int quietCompleted = 0;
  for (quiet.m_seed = 1; quiet.m_seed <= kSeeds; ++quiet.m_seed) {
    quietCompleted += PlayRollout(quiet).m_phase == RolloutPhase::Completed ? 1 : 0;
  }
  MESSAGE("completed with few requests " << quietCompleted);
  CHECK(quietCompleted >= 36);
}
