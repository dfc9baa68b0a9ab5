// Compares three kinds of admission control at a target under the same load: the admission queue
// with fixed slots, a concurrency limit that adapts to latency, and the watermark ratio of the
// Looky controller's draft. The target slows down when it runs more requests than it has slots.
// Prints goodput: answers within the deadline, as a share of the target's capacity.
#include "AdmissionQueue.h"
#include "Random.h"

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

constexpr std::uint32_t kTargetSlots = 6;
constexpr double kServiceMs = 10;
constexpr double kDeadlineMs = 100;
constexpr double kRunMs = 60'000;
constexpr double kCapacityPerMs = kTargetSlots / kServiceMs;

struct Arrival
{
  std::uint64_t m_id = 0;
  double m_atMs = 0;
};

struct Completion
{
  double m_atMs = 0;
  std::uint64_t m_id = 0;
  double m_startedMs = 0;

  bool operator>(const Completion& aOther) const { return m_atMs > aOther.m_atMs; }
};

// The target: beyond its slots, each request takes longer the more run at the same time.
struct TargetModel
{
  std::uint32_t m_running = 0;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>> m_completions;

  void Start(std::uint64_t aId, double aNow, Random& aRandom)
  {
    ++m_running;
    const double overload = std::max(1.0, static_cast<double>(m_running) / kTargetSlots);
    const double service = kServiceMs * overload * overload * (0.5 + aRandom.Unit());
    m_completions.push({ .m_atMs = aNow + service, .m_id = aId, .m_startedMs = aNow });
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

  void Finish(const Completion& aCompletion)
  {
    --m_target.m_running;
    const bool inTime = aCompletion.m_atMs - m_arrivedMs[aCompletion.m_id] <= kDeadlineMs;
    (inTime ? m_result.m_inTime : m_result.m_late) += 1;
    m_arrivedMs.erase(aCompletion.m_id);
  }

  // Processes arrivals and completions in order of time.
  template<typename Admit, typename Ended>
  void Run(Admit aAdmit, Ended aEnded)
  {
    std::uint64_t id = 0;
    double nextArrival = NextGap();
    while (nextArrival < kRunMs) {
      while (!m_target.m_completions.empty() &&
             m_target.m_completions.top().m_atMs <= nextArrival) {
        const Completion completion = m_target.m_completions.top();
        m_target.m_completions.pop();
        Finish(completion);
        aEnded(completion);
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
RunAdmissionQueue(double aLoad, std::uint32_t aSlots, std::uint32_t aMaxQueued)
{
  Bench bench{ .m_load = aLoad };
  AdmissionQueue queue;
  queue.m_options = { .m_slots = aSlots, .m_queue = aMaxQueued, .m_queueMs = 80 };
  const auto apply = [&](const QueueDecision& aDecision, double aNow) {
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
      apply(ProcessQueue(queue, now), aArrival.m_atMs);
      switch (Offer(queue,
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
    [&](const Completion& aCompletion) {
      const double ranUs = (aCompletion.m_atMs - aCompletion.m_startedMs) * 1000;
      apply(routing::Finish(queue, At(aCompletion.m_atMs), static_cast<std::int64_t>(ranUs)),
            aCompletion.m_atMs);
    });
  return bench.m_result;
}

// Concurrency limit with additive increase while latency is near its minimum and multiplicative
// decrease otherwise.
Result
RunAdaptive(double aLoad)
{
  constexpr double kTolerance = 1.8;
  constexpr double kDecrease = 0.9;
  Bench bench{ .m_load = aLoad };
  double limit = kTargetSlots;
  double minLatency = 1e9;
  bench.Run(
    [&](const Arrival& aArrival) {
      if (bench.m_target.m_running < limit) {
        bench.m_target.Start(aArrival.m_id, aArrival.m_atMs, bench.m_random);
      } else {
        bench.Refuse(aArrival.m_id);
      }
    },
    [&](const Completion& aCompletion) {
      const double latency = aCompletion.m_atMs - aCompletion.m_startedMs;
      minLatency = std::min(minLatency * 1.001, latency);
      limit = latency < minLatency * kTolerance * 2 ? limit + 1 / limit
                                                    : std::max(1.0, limit * kDecrease);
    });
  return bench.m_result;
}

// The Looky draft: once per period it samples the load and sets the usable share of the maximum
// concurrency from the slope between the optimal and the maximum watermark.
Result
RunWatermarks(double aLoad)
{
  constexpr double kPeriodMs = 100;
  constexpr double kOptimalRunning = kTargetSlots;
  constexpr double kMaxRunning = 2.0 * kTargetSlots;
  constexpr double kOptimalLoadMs = kServiceMs;
  constexpr double kMaxLoadMs = 4 * kServiceMs;
  constexpr double kSlope = (kMaxLoadMs - kOptimalLoadMs) / (kMaxRunning - kOptimalRunning);
  Bench bench{ .m_load = aLoad };
  double ratio = 1;
  double loadSum = 0;
  double loadSamples = 0;
  double nextProbe = kPeriodMs;
  bench.Run(
    [&](const Arrival& aArrival) {
      if (aArrival.m_atMs >= nextProbe) {
        nextProbe = aArrival.m_atMs + kPeriodMs;
        const double load = loadSamples > 0 ? loadSum / loadSamples : 0;
        const double used = bench.m_target.m_running;
        const double forecast = used + (kMaxLoadMs - load) / kSlope;
        ratio = load >= kMaxLoadMs ? std::min(1.0, used / kMaxRunning)
                                   : std::clamp(forecast / kMaxRunning, 0.0, 1.0);
        loadSum = 0;
        loadSamples = 0;
      }
      if (bench.m_target.m_running < ratio * kMaxRunning) {
        bench.m_target.Start(aArrival.m_id, aArrival.m_atMs, bench.m_random);
      } else {
        bench.Refuse(aArrival.m_id);
      }
    },
    [&](const Completion& aCompletion) {
      loadSum += aCompletion.m_atMs - aCompletion.m_startedMs;
      ++loadSamples;
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
    Print("slots 6, queue 12", load, RunAdmissionQueue(load, kTargetSlots, 12));
    Print("slots 6, no queue", load, RunAdmissionQueue(load, kTargetSlots, 0));
    Print("slots declared 12, queue 12", load, RunAdmissionQueue(load, 2 * kTargetSlots, 12));
    Print("adaptive limit", load, RunAdaptive(load));
    Print("watermark ratio", load, RunWatermarks(load));
  }
  return 0;
}
