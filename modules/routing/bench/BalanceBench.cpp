// Plays loads on placement and admission with stale reports and prints how even the load is, what
// callers get, and what a pick costs. "picks" prints only the latter, "plays" leaves out the plays
// in which the nodes see the true loads.
#include "LoadPlay.h"
#include "Picker.h"

#include <chrono>
#include <fmt/core.h>
#include <string>
#include <string_view>

using namespace sequoiastep;
using namespace sequoiastep::routing;

namespace {

constexpr std::uint64_t kSeeds = 3;

void
Print(std::string_view aName, const PlaySettings& aSettings)
{
  double refused = 0;
  double goodput = 0;
  double served = 0;
  double ownDomain = 0;
  PlayResult mean;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PlaySettings settings = aSettings;
    settings.m_seed = seed;
    const PlayResult result = PlayLoad(settings);
    refused += RefusedShare(result) / kSeeds;
    goodput += GoodputOf(result) / kSeeds;
    served += ServedOf(result) / kSeeds;
    ownDomain +=
      static_cast<double>(result.m_ownDomain) / static_cast<double>(result.m_answered) / kSeeds;
    mean.m_peakToMean += result.m_peakToMean / kSeeds;
    mean.m_unevenWindows += result.m_unevenWindows / kSeeds;
    mean.m_idleWhileWaiting += result.m_idleWhileWaiting / kSeeds;
    mean.m_waitP50Ms += result.m_waitP50Ms / kSeeds;
    mean.m_waitP99Ms += result.m_waitP99Ms / kSeeds;
    mean.m_reportAgeP50Ms += result.m_reportAgeP50Ms / kSeeds;
    mean.m_reportAgeP90Ms += result.m_reportAgeP90Ms / kSeeds;
    mean.m_crossDomainKb += result.m_crossDomainKb / kSeeds;
    mean.m_crossRegionKb += result.m_crossRegionKb / kSeeds;
  }
  fmt::print(
    "| {} | {:.2f} | {:.2f} | {:.3f} | {:.3f} | {:.0f} | {:.0f} | {:.3f} | {:.3f} | {:.2f} "
    "| {:.2f} | {:.2f} | {:.0f}/{:.0f} |\n",
    aName,
    mean.m_peakToMean,
    mean.m_unevenWindows,
    mean.m_idleWhileWaiting,
    refused,
    mean.m_waitP50Ms,
    mean.m_waitP99Ms,
    goodput,
    served,
    ownDomain,
    mean.m_crossDomainKb,
    mean.m_crossRegionKb,
    mean.m_reportAgeP50Ms,
    mean.m_reportAgeP90Ms);
}

// Calls of 20 to 90 ms on 17 targets.
PlaySettings
ShortCalls()
{
  return { .m_targets = 17, .m_routeRunMs = { 20, 35, 50, 70, 90 }, .m_load = 0.9 };
}

void
PrintPlays(bool aTrueLoads)
{
  for (const double load : { 0.1, 0.5, 0.8, 0.95, 1.0, 1.2, 2.0 }) {
    Print(fmt::format("{} x", load), { .m_load = load, .m_trueLoads = aTrueLoads });
  }
  for (const std::size_t nodes : { 300, 1200 }) {
    Print(fmt::format("0.8 x, {} nodes", nodes),
          { .m_nodes = nodes, .m_load = 0.8, .m_trueLoads = aTrueLoads });
  }
  Print("0.8 x, burst of 1.7", { .m_load = 0.8, .m_burst = 1.7, .m_trueLoads = aTrueLoads });
  Print("0.6 x, a third gone", { .m_load = 0.6, .m_goneAtMs = 4000, .m_trueLoads = aTrueLoads });
  Print("0.6 x, a third cold", { .m_load = 0.6, .m_coldAtMs = 4000, .m_trueLoads = aTrueLoads });
  PlaySettings shortCalls = ShortCalls();
  shortCalls.m_trueLoads = aTrueLoads;
  Print("short calls, 0.9 x", shortCalls);
  // The first region has 6 of the 17 targets and half of the requests.
  shortCalls.m_load = 0.8;
  shortCalls.m_regionShares = { 0.5, 0.25, 0.25 };
  Print("short calls, 0.8 x, spill", shortCalls);
}

// Prints the time of a pick in a service with aTargets targets, all of them known.
void
PrintPickTime(std::size_t aTargets)
{
  constexpr int kPicks = 20'000;
  constexpr Instant kNow{ 1'000'000 };
  std::vector<Candidate> candidates;
  PickState state;
  Random random{ 7 };
  for (std::size_t i = 0; i < aTargets; ++i) {
    const std::string node = fmt::format("host-{}.cell-{}", i, i % 9);
    candidates.push_back({ .m_node = node,
                           .m_region = i % 3 == 0 ? "east" : "west",
                           .m_failureDomain = fmt::format("domain-{}", i % 9),
                           .m_slots = 6 });
    RecordDispatch(state, node);
    RecordAnswer(state,
                 node,
                 { .m_latencyUs = 90'000, .m_heldUs = 88'000, .m_ranUs = 80'000 },
                 { .m_load = static_cast<std::uint32_t>(random.Below(8)), .m_serviceUs = 80'000 },
                 kNow);
  }
  std::size_t sum = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kPicks; ++i) {
    const PickRequest request{ .m_region = "east", .m_failureDomain = "domain-0" };
    sum += Pick(candidates, state, request, kNow + i % 700, random)->m_index;
  }
  const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
  fmt::print(
    "pick among {} targets: {:.2f} us (checksum {})\n", aTargets, took.count() / kPicks, sum);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::string_view part = aCount > 1 ? aArguments[1] : "";
  for (const std::size_t targets : { 17, 46, 115, 1200 }) {
    PrintPickTime(targets);
  }
  if (part == "picks") {
    return 0;
  }
  constexpr std::string_view kHeader =
    "| load | peak/mean | uneven | idle | refused | wait p50 | p99 | in time | served | own domain "
    "| KB domains | KB regions | report age |\n";
  fmt::print("{}", kHeader);
  PrintPlays(false);
  if (part == "plays") {
    return 0;
  }
  fmt::print("\nwith the true loads:\n{}", kHeader);
  PrintPlays(true);
  return 0;
}
