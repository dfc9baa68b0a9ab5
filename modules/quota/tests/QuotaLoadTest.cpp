// Plays the whole load on quotas over many nodes without faults, and measures what callers lose,
// what it costs and how fast it reacts.
#include "QuotaPlay.h"

#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::quota;

namespace {

// Measured from here on: at the start all buckets are empty.
constexpr Milliseconds kWarmUpMs = 8000;
constexpr Milliseconds kSurgeMs = 6000;
constexpr double kSurgeFactor = 7.8;

std::size_t
CountBetween(const std::vector<Instant>& aTimes, Milliseconds aFromMs, Milliseconds aToMs)
{
  return static_cast<std::size_t>(std::count_if(aTimes.begin(), aTimes.end(), [&](Instant aAt) {
    return aAt >= kPlayStart + aFromMs && aAt < kPlayStart + aToMs;
  }));
}

// Requests over all workspaces but aExcept.
struct Counts
{
  double m_admitted = 0;
  double m_refused = 0;
  double RefusedShare() const { return m_refused / (m_admitted + m_refused); }
};

Counts
CountAll(QuotaPlay& aPlay, Milliseconds aFromMs, Milliseconds aToMs, std::size_t aExcept)
{
  Counts counts;
  for (std::size_t i = 0; i < aPlay.Workspaces().size(); ++i) {
    if (i != aExcept) {
      const PlayWorkspace& workspace = aPlay.Workspace(i);
      counts.m_admitted += static_cast<double>(CountBetween(workspace.m_admitted, aFromMs, aToMs));
      counts.m_refused += static_cast<double>(CountBetween(workspace.m_refused, aFromMs, aToMs));
    }
  }
  return counts;
}

void
CheckBounds(QuotaPlay& aPlay)
{
  for (const PlayWorkspace& workspace : aPlay.Workspaces()) {
    CHECK(aPlay.WorstExcess(workspace) <= 0);
  }
}

} // namespace

// Guards against quotas that cost callers requests they are entitled to, and against messages that
// grow with the number of nodes.
TEST_CASE("quota load: calm, less than 2 % refused below the quota")
{
  for (const std::size_t nodes : { 18U, 82U, 300U, 1200U }) {
    QuotaPlay play(nodes, ZipfWorkspaces(83), nodes);
    play.RunTo(kWarmUpMs);
    const PlayTraffic before = play.Traffic();
    constexpr Milliseconds kEndMs = kWarmUpMs + 15'000;
    play.RunTo(kEndMs);
    const PlayTraffic& after = play.Traffic();
    const Counts counts = CountAll(play, kWarmUpMs, kEndMs, SIZE_MAX);
    CHECK(counts.RefusedShare() < 0.02);
    CheckBounds(play);
    std::uint64_t busiest = 0;
    for (std::size_t i = 0; i < nodes; ++i) {
      busiest = std::max(busiest, after.m_nodeBytes[i] - before.m_nodeBytes[i]);
    }
    const double seconds = static_cast<double>(kEndMs - kWarmUpMs) / 1000;
    const double messages = static_cast<double>(after.m_messages - before.m_messages);
    const double bytes = static_cast<double>(after.m_bytes - before.m_bytes);
    const double requests = counts.m_admitted + counts.m_refused;
    // Every request that finds no token takes an ask and its answer.
    CHECK(messages <= 2.02 * requests);
    MESSAGE(fmt::format(
      "{} nodes: refused {:.4f} of {:.0f}/s; {:.2f} messages a request, {:.1f} messages/s and "
      "{:.0f} bytes/s sent by a node on the average, busiest node {:.0f} bytes/s in and out",
      nodes,
      counts.RefusedShare(),
      requests / seconds,
      messages / requests,
      messages / seconds / static_cast<double>(nodes),
      bytes / seconds / static_cast<double>(nodes),
      static_cast<double>(busiest) / seconds));
  }
}

// Guards against a surge that takes tokens from the workspace's own quota or from the others.
TEST_CASE("quota load: a surge gets its quota and costs the others nothing")
{
  for (const std::size_t surge : { 0U, 7U, 40U }) {
    Counts others;
    double got = 0;
    double quota = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      QuotaPlay play(82, ZipfWorkspaces(83), seed);
      play.At(kWarmUpMs, [&] { play.SetFactor(surge, kSurgeFactor); });
      play.At(kWarmUpMs + kSurgeMs, [&] { play.SetFactor(surge, 1); });
      play.RunTo(kWarmUpMs + kSurgeMs + 2000);
      CheckBounds(play);
      const Counts counts = CountAll(play, kWarmUpMs, kWarmUpMs + kSurgeMs, surge);
      others.m_admitted += counts.m_admitted;
      others.m_refused += counts.m_refused;
      const PlayWorkspace& workspace = play.Workspace(surge);
      got +=
        static_cast<double>(CountBetween(workspace.m_admitted, kWarmUpMs, kWarmUpMs + kSurgeMs));
      const double offered =
        got +
        static_cast<double>(CountBetween(workspace.m_refused, kWarmUpMs, kWarmUpMs + kSurgeMs));
      CHECK(offered > got);
      quota += workspace.m_limits.m_ratePerSecond * static_cast<double>(kSurgeMs) / 1000 +
               workspace.m_limits.m_burst;
    }
    CHECK(others.RefusedShare() < 0.02);
    CHECK(got >= 0.98 * quota);
    MESSAGE(fmt::format("surge of workspace {}: got {:.3f} of rate x 6 s + burst; others were "
                        "refused {:.4f}",
                        surge,
                        got / quota,
                        others.RefusedShare()));
  }
}

// Guards against an owner's end that stops a workspace for longer than detection and hold.
TEST_CASE("quota load: time without grants after the owner ends")
{
  struct Case
  {
    const char* m_name;
    std::function<void(QuotaPlay&, std::size_t)> m_end;
    Milliseconds m_mostMs;
  };
  const std::vector<Case> cases{
    { "killed", [](QuotaPlay& aPlay, std::size_t aNode) { aPlay.Kill(aNode); }, 6000 },
    { "restarted", [](QuotaPlay& aPlay, std::size_t aNode) { aPlay.Restart(aNode); }, 2500 },
    { "left", [](QuotaPlay& aPlay, std::size_t aNode) { aPlay.Leave(aNode); }, 2500 },
  };
  for (const Case& entry : cases) {
    Milliseconds longest = 0;
    double sum = 0;
    constexpr std::uint64_t kRuns = 20;
    for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
      QuotaPlay play(82, ZipfWorkspaces(3), seed);
      play.At(kWarmUpMs, [&] { entry.m_end(play, play.OwnerOfWorkspace(0)); });
      play.RunTo(kWarmUpMs + 10'000);
      // Over until half of the usual number of requests in 200 ms is admitted again.
      const PlayWorkspace& workspace = play.Workspace(0);
      const double usual = workspace.m_demand / 5;
      Milliseconds gap = 100;
      while (gap < 10'000 &&
             static_cast<double>(CountBetween(
               workspace.m_admitted, kWarmUpMs + gap, kWarmUpMs + gap + 200)) < usual / 2) {
        gap += 100;
      }
      longest = std::max(longest, gap);
      sum += static_cast<double>(gap);
    }
    CHECK(longest <= entry.m_mostMs);
    MESSAGE(fmt::format("owner {}: half of the demand admitted again after {:.0f} ms on the "
                        "average, {} ms at most",
                        entry.m_name,
                        sum / kRuns,
                        longest));
  }
}
