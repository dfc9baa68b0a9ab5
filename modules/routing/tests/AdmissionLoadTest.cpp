// Plays loads on the admission queue of one target and counts what callers get.
#include "AdmissionQueue.h"

#include "Random.h"

#include <cmath>
#include <doctest/doctest.h>
#include <map>
#include <queue>
#include <vector>

using namespace sequoiastep;
using namespace sequoiastep::routing;

namespace {

constexpr Instant kStart{ 1'000'000 };
constexpr std::uint32_t kSlots = 10;
constexpr double kRunMs = 200;
constexpr Milliseconds kObjectiveMs = 500;
constexpr Milliseconds kDeadlineMs = 1200;
constexpr Milliseconds kPlayMs = 30'000;
constexpr double kMicrosecondsPerMs = 1000;
constexpr double kCapacityPerMs = kSlots / kRunMs;
// Time of a request on the way to the target's node, and of its answer on the way back.
constexpr Milliseconds kWayMs = 15;

struct Ending
{
  Instant m_at;
  std::uint64_t m_id = 0;
  Instant m_startedAt;

  bool operator>(const Ending& aOther) const { return m_at > aOther.m_at; }
};

struct Play
{
  AdmissionQueue m_queue{ .m_options = { .m_slots = kSlots, .m_queue = 64, .m_queueMs = 60'000 } };
  Random m_random{ 23 };
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_running;
  std::map<std::uint64_t, Instant> m_sentAt;
  std::uint64_t m_inTime = 0;
  std::uint64_t m_late = 0;
  std::uint64_t m_refused = 0;

  // Run times differ by half up and down.
  void Start(std::uint64_t aId, Instant aNow)
  {
    const auto runMs = static_cast<Milliseconds>(kRunMs * (0.5 + m_random.Unit()));
    m_running.push({ .m_at = aNow + runMs, .m_id = aId, .m_startedAt = aNow });
  }

  void Apply(const QueueDecision& aDecision, Instant aNow)
  {
    m_refused += aDecision.m_shed.size();
    for (const std::uint64_t id : aDecision.m_run) {
      Start(id, aNow);
    }
  }

  void EndRuns(Instant aNow)
  {
    while (!m_running.empty() && m_running.top().m_at <= aNow) {
      const Ending ending = m_running.top();
      m_running.pop();
      const Milliseconds latencyMs = ending.m_at + kWayMs - m_sentAt[ending.m_id];
      ++(latencyMs <= kObjectiveMs ? m_inTime : m_late);
      const auto ranUs = static_cast<double>(ending.m_at - ending.m_startedAt) * kMicrosecondsPerMs;
      Apply(Finish(m_queue, aNow, static_cast<std::int64_t>(ranUs)), aNow);
    }
  }

  void Arrive(std::uint64_t aId, Instant aNow)
  {
    m_sentAt[aId] = aNow + -kWayMs;
    const AdmissionRequest request{ .m_id = aId,
                                    .m_caller = std::to_string(aId % 8),
                                    .m_serviceUs = kRunMs * kMicrosecondsPerMs,
                                    .m_deadline = m_sentAt[aId] + kDeadlineMs,
                                    .m_objective = m_sentAt[aId] + kObjectiveMs };
    const Admission admission = Offer(m_queue, request, aNow).m_admission;
    if (admission == Admission::Run) {
      Start(aId, aNow);
    }
    m_refused += admission == Admission::Shed ? 1 : 0;
  }

  void Run(double aLoad)
  {
    double untilNextMs = 0;
    std::uint64_t id = 0;
    for (Instant now = kStart; now < kStart + kPlayMs; now = now + 1) {
      EndRuns(now);
      Apply(ProcessQueue(m_queue, now), now);
      for (untilNextMs -= 1; untilNextMs <= 0;
           untilNextMs -= std::log(1 - m_random.Unit()) / (kCapacityPerMs * aLoad)) {
        Arrive(++id, now);
      }
    }
  }

  // Answers in time as a share of what the slots can run.
  double Goodput() const { return static_cast<double>(m_inTime) / (kCapacityPerMs * kPlayMs); }
};

} // namespace

TEST_CASE("answers in time do not become fewer when a target is offered more than it can run")
{
  Play full;
  full.Run(1);
  for (const double load : { 1.1, 1.25, 1.5, 2.0, 4.0 }) {
    CAPTURE(load);
    Play play;
    play.Run(load);
    CAPTURE(play.m_inTime);
    CAPTURE(play.m_late);
    CAPTURE(play.m_refused);
    CHECK(play.Goodput() >= full.Goodput());
  }
}

// Guards against requests that a stopping node closes without an answer while they wait: each is
// run to its end before the node closes, or told in time that it has not run.
TEST_CASE("a queue that closes under load runs or refuses each request before it closes")
{
  constexpr Milliseconds kDrainMs = 5300;
  constexpr Milliseconds kLongDeadlineMs = 8000;
  constexpr Milliseconds kTickMs = 20;
  Play play;
  play.m_queue.m_options.m_queue = 400;
  std::map<std::uint64_t, Instant> refusedAt;
  const auto apply = [&](const QueueDecision& aDecision, Instant aNow) {
    for (const std::uint64_t id : aDecision.m_shed) {
      refusedAt[id] = aNow;
    }
    play.Apply(aDecision, aNow);
  };
  std::uint64_t next = 1;
  const Instant stopAt = kStart + 4000;
  const Instant closesAt = stopAt + kDrainMs;
  Instant lastEnd;
  for (Milliseconds ms = 0; ms < 12'000; ++ms) {
    const Instant now = kStart + ms;
    while (!play.m_running.empty() && play.m_running.top().m_at <= now) {
      const Ending ending = play.m_running.top();
      play.m_running.pop();
      lastEnd = ending.m_at;
      const auto ranUs = static_cast<double>(ending.m_at - ending.m_startedAt) * kMicrosecondsPerMs;
      apply(Finish(play.m_queue, now, static_cast<std::int64_t>(ranUs)), now);
    }
    // Half as much again as the target can run, until callers know that the node stops.
    if (ms % 13 == 0 && now < stopAt + 2600) {
      const AdmissionRequest request{ .m_id = next++,
                                      .m_caller = next % 2 == 0 ? "near" : "other",
                                      .m_deadline = now + kLongDeadlineMs };
      play.m_sentAt[request.m_id] = now;
      const AdmissionResult result = Offer(play.m_queue, request, now);
      if (result.m_admission == Admission::Run) {
        play.Start(request.m_id, now);
      } else if (result.m_admission == Admission::Shed) {
        refusedAt[request.m_id] = now;
      }
    }
    if (now == stopAt) {
      REQUIRE(play.m_queue.m_waiting.size() > kSlots);
      apply(CloseAt(play.m_queue, closesAt, now), now);
    }
    if (ms % kTickMs == 0) {
      apply(ProcessQueue(play.m_queue, now), now);
    }
    if (now >= closesAt) {
      CHECK(play.m_queue.m_waiting.empty());
      CHECK(play.m_running.empty());
      break;
    }
  }
  CHECK(lastEnd < closesAt);
  for (const auto& [id, at] : refusedAt) {
    // While there is still time to write the answer and for the caller to come back elsewhere.
    CHECK(closesAt - at > static_cast<Milliseconds>(kRunMs));
  }
}

TEST_CASE(
  "a request whose caller's node stops is refused at once if it can't end before, others wait")
{
  AdmissionQueue queue{ .m_options = { .m_slots = 1, .m_queue = 16, .m_queueMs = 60'000 } };
  queue.m_serviceUs = 500'000;
  const auto offer = [&](std::uint64_t aId, const char* aCaller) {
    return Offer(queue, { .m_id = aId, .m_caller = aCaller, .m_deadline = kStart + 8000 }, kStart)
      .m_admission;
  };
  REQUIRE(offer(1, "near") == Admission::Run);
  REQUIRE(offer(2, "near") == Admission::Wait);
  REQUIRE(offer(3, "near") == Admission::Wait);
  REQUIRE(offer(4, "other") == Admission::Wait);
  // The first of the two still has its turn within 1200 ms, the second does not.
  CHECK(Shorten(queue, 2, kStart + 1200, kStart).m_shed.empty());
  CHECK(Shorten(queue, 3, kStart + 1200, kStart).m_shed == std::vector<std::uint64_t>{ 3 });
  CHECK(queue.m_waiting.size() == 2);
  // A later deadline lengthens nothing.
  Shorten(queue, 2, kStart + 9000, kStart);
  CHECK(queue.m_waiting.front().m_deadline == kStart + 1200);
}
