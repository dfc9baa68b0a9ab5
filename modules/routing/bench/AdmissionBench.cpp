// Three ways of admitting requests at a target, on the same load: the slot gate with its queue, a
// limit that adapts to latency, and the watermark ratio of the Looky controller's draft. The target
// slows down when it runs more than it has room for. Prints goodput: answers within the deadline,
// as a share of what the target can do.
#include "Random.h"
#include "SlotGate.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fmt/core.h>
#include <map>
#include <queue>
#include <vector>

using namespace sequoiastep;
using namespace sequoiastep::routing;

namespace {

constexpr std::uint32_t kRoom = 6;
constexpr double kServiceMs = 10;
constexpr double kDeadlineMs = 100;
constexpr double kRunMs = 60'000;
constexpr double kCapacityPerMs = kRoom / kServiceMs;

struct Arrival
{
  std::uint64_t m_id = 0;
  double m_atMs = 0;
};

struct Finished
{
  double m_atMs = 0;
  std::uint64_t m_id = 0;
  double m_startedMs = 0;

  bool operator>(const Finished& aOther) const { return m_atMs > aOther.m_atMs; }
};

// The target: each request takes longer the more run beside it, beyond its room.
struct TargetModel
{
  std::uint32_t m_running = 0;
  std::priority_queue<Finished, std::vector<Finished>, std::greater<>> m_finishing;

  void Start(std::uint64_t aId, double aNow, Random& aRandom)
  {
    ++m_running;
    const double crowding = std::max(1.0, static_cast<double>(m_running) / kRoom);
    const double service = kServiceMs * crowding * crowding * (0.5 + aRandom.Unit());
    m_finishing.push({ .m_atMs = aNow + service, .m_id = aId, .m_startedMs = aNow });
  }
};

struct Result
{
  std::uint64_t m_inTime = 0;
  std::uint64_t m_late = 0;
  std::uint64_t m_refused = 0;
};

struct Bench
{
  double m_load = 1;
  Random m_random{ 17 };
  TargetModel m_target;
  std::map<std::uint64_t, double> m_arrivedMs;
  Result m_result;

  double NextGap() { return -std::log(1 - m_random.Unit()) / (kCapacityPerMs * m_load); }

  void Finish(const Finished& aFinished)
  {
    --m_target.m_running;
    const bool inTime = aFinished.m_atMs - m_arrivedMs[aFinished.m_id] <= kDeadlineMs;
    (inTime ? m_result.m_inTime : m_result.m_late) += 1;
    m_arrivedMs.erase(aFinished.m_id);
  }

  // Feeds arrivals and ends of requests in order of time.
  template<typename Admit, typename Ended>
  void Run(Admit aAdmit, Ended aEnded)
  {
    std::uint64_t id = 0;
    double nextArrival = NextGap();
    while (nextArrival < kRunMs) {
      while (!m_target.m_finishing.empty() && m_target.m_finishing.top().m_atMs <= nextArrival) {
        const Finished finished = m_target.m_finishing.top();
        m_target.m_finishing.pop();
        Finish(finished);
        aEnded(finished);
      }
      ++id;
      m_arrivedMs[id] = nextArrival;
      aAdmit(Arrival{ .m_id = id, .m_atMs = nextArrival });
      nextArrival += NextGap();
    }
  }

  void Refuse(std::uint64_t aId)
  {
    ++m_result.m_refused;
    m_arrivedMs.erase(aId);
  }
};

Instant
At(double aMs)
{
  return Instant{ static_cast<std::int64_t>(aMs) };
}

Result
RunSlotGate(double aLoad, std::uint32_t aSlots, std::uint32_t aQueue)
{
  Bench bench{ .m_load = aLoad };
  SlotGate gate;
  gate.m_options = { .m_slots = aSlots, .m_queue = aQueue, .m_queueMs = 80 };
  const auto apply = [&](const GateDecision& aDecision, double aNow) {
    for (const std::uint64_t id : aDecision.m_shed) {
      bench.Refuse(id);
    }
    for (const std::uint64_t id : aDecision.m_run) {
      bench.m_target.Start(id, aNow, bench.m_random);
    }
  };
  bench.Run(
    [&](const Arrival& aArrival) {
      const Instant now = At(aArrival.m_atMs);
      apply(Review(gate, now), aArrival.m_atMs);
      switch (Offer(gate,
                    { .m_id = aArrival.m_id,
                      .m_caller = "one",
                      .m_deadline = now + static_cast<Milliseconds>(kDeadlineMs) },
                    now)
                .m_admission) {
        case Admission::Run:
          bench.m_target.Start(aArrival.m_id, aArrival.m_atMs, bench.m_random);
          break;
        case Admission::Shed:
          bench.Refuse(aArrival.m_id);
          break;
        case Admission::Wait:
          break;
      }
    },
    [&](const Finished& aFinished) {
      const double ranUs = (aFinished.m_atMs - aFinished.m_startedMs) * 1000;
      apply(routing::Finish(gate, At(aFinished.m_atMs), static_cast<std::int64_t>(ranUs)),
            aFinished.m_atMs);
    });
  return bench.m_result;
}

// Additive increase while latency is near its least, multiplicative decrease when it is not.
Result
RunAdaptive(double aLoad)
{
  constexpr double kTolerance = 1.8;
  constexpr double kDecrease = 0.9;
  Bench bench{ .m_load = aLoad };
  double limit = kRoom;
  double least = 1e9;
  bench.Run(
    [&](const Arrival& aArrival) {
      if (bench.m_target.m_running < limit) {
        bench.m_target.Start(aArrival.m_id, aArrival.m_atMs, bench.m_random);
      } else {
        bench.Refuse(aArrival.m_id);
      }
    },
    [&](const Finished& aFinished) {
      const double latency = aFinished.m_atMs - aFinished.m_startedMs;
      least = std::min(least * 1.001, latency);
      limit =
        latency < least * kTolerance * 2 ? limit + 1 / limit : std::max(1.0, limit * kDecrease);
    });
  return bench.m_result;
}

// The Looky draft: once a period the load is probed, and the share of the maximum that may be used
// is set from the slope between the optimal and the maximal watermark.
Result
RunWatermarks(double aLoad)
{
  constexpr double kPeriodMs = 100;
  constexpr double kHaveOpt = kRoom;
  constexpr double kHaveMax = 2.0 * kRoom;
  constexpr double kLoadOpt = kServiceMs;
  constexpr double kLoadMax = 4 * kServiceMs;
  constexpr double kSlope = (kLoadMax - kLoadOpt) / (kHaveMax - kHaveOpt);
  Bench bench{ .m_load = aLoad };
  double ratio = 1;
  double loadSum = 0;
  double loads = 0;
  double nextProbe = kPeriodMs;
  bench.Run(
    [&](const Arrival& aArrival) {
      if (aArrival.m_atMs >= nextProbe) {
        nextProbe = aArrival.m_atMs + kPeriodMs;
        const double load = loads > 0 ? loadSum / loads : 0;
        const double used = bench.m_target.m_running;
        const double forecast = used + (kLoadMax - load) / kSlope;
        ratio = load >= kLoadMax ? std::min(1.0, used / kHaveMax)
                                 : std::clamp(forecast / kHaveMax, 0.0, 1.0);
        loadSum = 0;
        loads = 0;
      }
      if (bench.m_target.m_running < ratio * kHaveMax) {
        bench.m_target.Start(aArrival.m_id, aArrival.m_atMs, bench.m_random);
      } else {
        bench.Refuse(aArrival.m_id);
      }
    },
    [&](const Finished& aFinished) {
      loadSum += aFinished.m_atMs - aFinished.m_startedMs;
      ++loads;
    });
  return bench.m_result;
}

void
Print(std::string_view aName, double aLoad, const Result& aResult)
{
  fmt::print("load={:.1f}x {:<28} goodput={:.2f} late={:.3f} refused={:.3f}\n",
             aLoad,
             aName,
             static_cast<double>(aResult.m_inTime) / (kCapacityPerMs * kRunMs),
             static_cast<double>(aResult.m_late) / (kCapacityPerMs * kRunMs * aLoad),
             static_cast<double>(aResult.m_refused) / (kCapacityPerMs * kRunMs * aLoad));
}

} // namespace

int
main()
{
  for (const double load : { 0.7, 1.0, 2.0, 4.0 }) {
    Print("slots 6, queue 12", load, RunSlotGate(load, kRoom, 12));
    Print("slots 6, no queue", load, RunSlotGate(load, kRoom, 0));
    Print("slots said 12, queue 12", load, RunSlotGate(load, 2 * kRoom, 12));
    Print("adaptive limit", load, RunAdaptive(load));
    Print("watermark ratio", load, RunWatermarks(load));
  }
  return 0;
}
