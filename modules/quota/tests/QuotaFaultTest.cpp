// Plays faults on quotas over many nodes. In each run, the bound of every window is checked.
#include "QuotaPlay.h"

#include <doctest/doctest.h>
#include <string_view>

using namespace sequoiastep;
using namespace sequoiastep::quota;

namespace {

constexpr std::uint64_t kSeeds = 50;
// With the usual tolerances, one mistake often stays within them.
constexpr Options kTight{ .m_over = 0.02, .m_slack = 4 };

// A steady one far above a quota with little burst shows two owners that grant at once. One that
// surges from time to time shows a bucket that is full after a fault, and tokens that outlive their
// lifetime.
std::vector<PlayWorkspace>
HotWorkspaces()
{
  return { { .m_name = "steady", .m_limits = { 60, 6 }, .m_demand = 150 },
           { .m_name = "bursty", .m_limits = { 20, 100 }, .m_demand = 12 },
           { .m_name = "small", .m_limits = { 2, 2 }, .m_demand = 8 },
           { .m_name = "usual", .m_limits = { 16, 16 }, .m_demand = 10 } };
}

void
ScheduleSurge(QuotaPlay& aPlay, Milliseconds aAtMs)
{
  constexpr Milliseconds kSurgeMs = 800;
  constexpr double kSurgeFactor = 30;
  aPlay.At(aAtMs, [&aPlay] { aPlay.SetFactor(1, kSurgeFactor); });
  aPlay.At(aAtMs + kSurgeMs, [&aPlay] { aPlay.SetFactor(1, 0.5); });
}

void
CheckBound(QuotaPlay& aPlay, std::string_view aFault, std::uint64_t aSeed)
{
  for (const PlayWorkspace& workspace : aPlay.Workspaces()) {
    INFO("fault ", aFault, ", seed ", aSeed, ", workspace ", workspace.m_name);
    CHECK(aPlay.WorstExcess(workspace) <= 0);
  }
}

std::vector<std::size_t>
Half(QuotaPlay& aPlay)
{
  std::vector<std::size_t> nodes;
  for (std::size_t i = 0; i < aPlay.NodeCount(); ++i) {
    if (aPlay.Rng().Below(2) == 0) {
      nodes.push_back(i);
    }
  }
  return nodes;
}

using Fault = std::function<void(QuotaPlay&, std::size_t)>;

// Each takes the play and the workspace whose owner it hits.
const std::vector<std::pair<std::string_view, Fault>>&
Faults()
{
  static const std::vector<std::pair<std::string_view, Fault>> kFaults{
    { "owner killed",
      [](QuotaPlay& aPlay, std::size_t aWorkspace) {
        aPlay.Kill(aPlay.OwnerOfWorkspace(aWorkspace));
      } },
    { "owner paused",
      [](QuotaPlay& aPlay, std::size_t aWorkspace) {
        const auto ms = static_cast<Milliseconds>(200 + aPlay.Rng().Below(9000));
        aPlay.Pause(aPlay.OwnerOfWorkspace(aWorkspace), ms);
      } },
    { "owner cut off",
      [](QuotaPlay& aPlay, std::size_t aWorkspace) {
        aPlay.CutOff({ aPlay.OwnerOfWorkspace(aWorkspace) }, false);
        aPlay.At(aPlay.Now() - kPlayStart + 6000, [&aPlay] { aPlay.Heal(); });
      } },
    { "owner's answers lost",
      [](QuotaPlay& aPlay, std::size_t aWorkspace) {
        aPlay.CutOff({ aPlay.OwnerOfWorkspace(aWorkspace) }, true);
        aPlay.At(aPlay.Now() - kPlayStart + 6000, [&aPlay] { aPlay.Heal(); });
      } },
    { "half cut off",
      [](QuotaPlay& aPlay, std::size_t) {
        aPlay.CutOff(Half(aPlay), false);
        aPlay.At(aPlay.Now() - kPlayStart + 6000, [&aPlay] { aPlay.Heal(); });
      } },
    { "half cut off one way",
      [](QuotaPlay& aPlay, std::size_t) {
        aPlay.CutOff(Half(aPlay), true);
        aPlay.At(aPlay.Now() - kPlayStart + 6000, [&aPlay] { aPlay.Heal(); });
      } },
    { "owner restarted",
      [](QuotaPlay& aPlay, std::size_t aWorkspace) {
        aPlay.Restart(aPlay.OwnerOfWorkspace(aWorkspace));
      } },
    { "asker killed with tokens",
      [](QuotaPlay& aPlay, std::size_t) { aPlay.Kill(aPlay.Rng().Below(aPlay.NodeCount())); } },
    { "owner leaves and comes back",
      [](QuotaPlay& aPlay, std::size_t aWorkspace) {
        const std::size_t owner = aPlay.OwnerOfWorkspace(aWorkspace);
        aPlay.Leave(owner);
        aPlay.At(aPlay.Now() - kPlayStart + 2500, [&aPlay, owner] { aPlay.Rejoin(owner); });
      } },
    { "quota lowered and raised",
      [](QuotaPlay& aPlay, std::size_t aWorkspace) {
        const Limits limits = aPlay.Workspace(aWorkspace).m_limits;
        aPlay.SetWorkspaceLimits(aWorkspace, { limits.m_ratePerSecond / 8, limits.m_burst / 8 });
        aPlay.At(aPlay.Now() - kPlayStart + 5000,
                 [&aPlay, aWorkspace, limits] { aPlay.SetWorkspaceLimits(aWorkspace, limits); });
      } },
    { "ten configurations in a second",
      [](QuotaPlay& aPlay, std::size_t aWorkspace) {
        const Limits limits = aPlay.Workspace(aWorkspace).m_limits;
        for (int i = 0; i < 10; ++i) {
          const double factor = 0.9 + 0.02 * i;
          aPlay.At(aPlay.Now() - kPlayStart + 100 * i, [&aPlay, aWorkspace, limits, factor] {
            aPlay.SetWorkspaceLimits(aWorkspace,
                                     { limits.m_ratePerSecond * factor, limits.m_burst * factor });
          });
        }
      } },
  };
  return kFaults;
}

void
PlayEachFault(const Options& aOptions)
{
  constexpr std::size_t kUsual = 3;
  for (const auto& [name, fault] : Faults()) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      QuotaPlay play(24, HotWorkspaces(), seed, aOptions);
      const auto at = static_cast<Milliseconds>(5000 + play.Rng().Below(3000));
      const std::size_t target = seed % 2;
      play.At(at, [&play, target, &inject = fault] { inject(play, target); });
      ScheduleSurge(play, at - 300);
      for (Milliseconds next = at + 600; next < 15'000;) {
        next += static_cast<Milliseconds>(800 + play.Rng().Below(3000));
        ScheduleSurge(play, next);
      }
      play.RunTo(18'000);
      CheckBound(play, name, seed);
      // The workspace within its quota gets tokens again in the end.
      CHECK(play.Workspace(kUsual).m_admitted.back() > kPlayStart + 16'000);
    }
  }
}

} // namespace

// Guards against each fault by itself: two grants of the same tokens make one window exceed the
// bound of the workspace that takes all it gets.
TEST_CASE("quota faults: the bound holds through each fault, 50 seeds")
{
  PlayEachFault(Options());
}

TEST_CASE("quota faults: a tighter bound holds through each fault, 50 seeds")
{
  PlayEachFault(kTight);
}

// Guards against faults that add up: several at random on the whole load.
TEST_CASE("quota faults: the bound holds on the whole load through several faults, 50 seeds")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaPlay play(82, ZipfWorkspaces(83), seed);
    const std::size_t surge = play.Rng().Below(12);
    play.SetFactor(surge, 7.8);
    for (int i = 0; i < 3; ++i) {
      const std::size_t fault = play.Rng().Below(Faults().size());
      const auto at = static_cast<Milliseconds>(4000 + play.Rng().Below(9000));
      play.At(at, [&play, fault, surge] { Faults()[fault].second(play, surge); });
    }
    play.RunTo(18'000);
    CheckBound(play, "several", seed);
  }
}
