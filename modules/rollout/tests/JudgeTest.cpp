#include "Judge.h"

#include "FakeRollout.h"

#include <algorithm>
#include <cstdio>
#include <doctest/doctest.h>
#include <vector>

using namespace sequoiastep;
using namespace sequoiastep::rollout;

namespace {

constexpr std::uint64_t kSeeds = 200;

struct Rates
{
  int m_completed = 0;
  int m_rolledBack = 0;
  int m_undecided = 0;
  int m_late = 0;
  int m_foundLate = 0;
  double m_most = -1e9;
  int m_atOld = 0;
  std::vector<Milliseconds> m_afterTwentieth;
};

Rates
PlayAll(Play aPlay, const char* aName)
{
  Rates rates;
  const char* only = getenv("ONLY");
  for (aPlay.m_seed = only ? atoi(only) : 1; aPlay.m_seed <= (only ? aPlay.m_seed : kSeeds);
       ++aPlay.m_seed) {
    if (only && aPlay.m_seed != (unsigned)atoi(only))
      break;
    const Outcome outcome = PlayRollout(aPlay);
    rates.m_completed += outcome.m_phase == RolloutPhase::Completed ? 1 : 0;
    rates.m_rolledBack += outcome.m_phase == RolloutPhase::RolledBack ? 1 : 0;
    rates.m_undecided += IsFinal(outcome.m_phase) ? 0 : 1;
    rates.m_atOld += outcome.m_atOldWhenCompleted;
    if (outcome.m_phase == RolloutPhase::RolledBack)
      rates.m_most = std::max(rates.m_most, outcome.m_mostBeyondShare);
    if (outcome.m_twentiethBadMs) {
      const auto end = outcome.m_endedAtMs && outcome.m_phase == RolloutPhase::RolledBack
                         ? *outcome.m_endedAtMs
                         : 99999;
      rates.m_afterTwentieth.push_back(end - *outcome.m_twentiethBadMs);
    }
    const bool odd = aPlay.m_fault == Fault::None ? outcome.m_phase != RolloutPhase::Completed
                                                  : outcome.m_phase != RolloutPhase::RolledBack;
    if (odd || (outcome.m_twentiethBadMs && rates.m_afterTwentieth.back() > 1500))
      std::printf("  %s %s phase=%s bad=%lu shifted=%ld end=%ld 20th=%ld %s\n",
                  aName,
                  outcome.m_sizes.c_str(),
                  std::string(NameOf(outcome.m_phase)).c_str(),
                  (unsigned long)outcome.m_bad,
                  (long)outcome.m_shiftedAtMs.value_or(-1),
                  (long)outcome.m_endedAtMs.value_or(-1),
                  (long)outcome.m_twentiethBadMs.value_or(-1),
                  outcome.m_reason.c_str());
  }
  std::sort(rates.m_afterTwentieth.begin(), rates.m_afterTwentieth.end());
  auto q = [&](double p) {
    return rates.m_afterTwentieth.empty()
             ? 0
             : (long)rates.m_afterTwentieth[(size_t)(p * (rates.m_afterTwentieth.size() - 1))];
  };
  std::printf("%s completed=%d rolled_back=%d undecided=%d most=%.0f atOld=%d after20: n=%zu "
              "p50=%ld p90=%ld p99=%ld max=%ld\n",
              aName,
              rates.m_completed,
              rates.m_rolledBack,
              rates.m_undecided,
              rates.m_most,
              rates.m_atOld,
              rates.m_afterTwentieth.size(),
              q(.5),
              q(.9),
              q(.99),
              q(1));
  std::fflush(stdout);
  return rates;
}

} // namespace

TEST_CASE("JudgeX: rates good")
{
  PlayAll({}, "good");
}
TEST_CASE("JudgeX: rates trouble errors")
{
  PlayAll({ .m_trouble = Trouble::Errors }, "trouble-errors");
}
TEST_CASE("JudgeX: rates trouble slow")
{
  PlayAll({ .m_trouble = Trouble::Slow }, "trouble-slow");
}
TEST_CASE("JudgeX: rates host")
{
  PlayAll({ .m_badHost = true }, "bad-host");
}
TEST_CASE("JudgeX: rates errors")
{
  PlayAll({ .m_fault = Fault::Errors }, "errors");
}
TEST_CASE("JudgeX: rates slow")
{
  PlayAll({ .m_fault = Fault::Slow }, "slow");
}
TEST_CASE("JudgeX: rates late")
{
  PlayAll({ .m_fault = Fault::LateErrors }, "late");
}
TEST_CASE("JudgeX: rates route")
{
  PlayAll({ .m_fault = Fault::ErrorsOnOneRoute }, "route");
}
TEST_CASE("JudgeX: rates load")
{
  PlayAll({ .m_fault = Fault::ErrorsUnderLoad }, "load");
}
