#include "AdmissionQueue.h"
#include "DelayEstimator.h"
#include "Picker.h"
#include "Retry.h"
#include "RouteAverages.h"
#include "WeightedRoundRobin.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::routing;

namespace {

constexpr Instant kNow{ 1'000'000 };
constexpr int kPicks = 3000;

std::vector<Candidate>
SixTargets()
{
  std::vector<Candidate> candidates;
  for (const char* domain : { "east-a", "east-b", "west-a" }) {
    for (const char* number : { "1", "2" }) {
      const std::string region = std::string(domain).substr(0, 4);
      candidates.push_back({ .m_node = std::string(domain) + number,
                             .m_region = region,
                             .m_failureDomain = domain,
                             .m_slots = 6 });
    }
  }
  return candidates;
}

std::map<std::string, int>
CountPicks(const std::vector<Candidate>& aCandidates,
           const PickState& aState,
           bool aCrossRegion = true)
{
  Random random{ 5 };
  std::map<std::string, int> counts;
  for (int i = 0; i < kPicks; ++i) {
    const auto picked =
      Pick(aCandidates,
           aState,
           { .m_region = "east", .m_failureDomain = "east-a", .m_crossRegion = aCrossRegion },
           kNow,
           random);
    if (picked) {
      ++counts[aCandidates[picked->m_index].m_node];
    }
  }
  return counts;
}

Admission
Submit(AdmissionQueue& aQueue,
       std::uint64_t aId,
       const char* aCaller,
       Instant aNow,
       Instant aDeadline)
{
  return Offer(aQueue, { .m_id = aId, .m_caller = aCaller, .m_deadline = aDeadline }, aNow)
    .m_admission;
}

} // namespace

TEST_CASE(
  "calls prefer the own domain, spill over to the region, then to other regions, and return")
{
  const auto candidates = SixTargets();
  PickState state;
  auto counts = CountPicks(candidates, state);
  CHECK(counts["east-a1"] + counts["east-a2"] == kPicks);
  state.m_targets["east-a1"].m_outstanding = 6;
  state.m_targets["east-a2"].m_outstanding = 6;
  counts = CountPicks(candidates, state);
  CHECK(counts["east-b1"] + counts["east-b2"] == kPicks);
  state.m_targets["east-b1"].m_outstanding = 6;
  state.m_targets["east-b2"].m_outstanding = 6;
  counts = CountPicks(candidates, state);
  CHECK(counts["west-a1"] + counts["west-a2"] == kPicks);
  counts = CountPicks(candidates, state, false);
  CHECK(counts["west-a1"] + counts["west-a2"] == 0);
  state.m_targets["east-a2"].m_outstanding = 0;
  CHECK(CountPicks(candidates, state)["east-a2"] == kPicks);
}

TEST_CASE("a region without targets is served by the other region")
{
  auto candidates = SixTargets();
  std::erase_if(candidates,
                [](const Candidate& aCandidate) { return aCandidate.m_region == "east"; });
  CHECK(CountPicks(candidates, {}).size() == 2);
  CHECK(CountPicks(candidates, {}, false).empty());
}

TEST_CASE("a failing target is avoided with growing backoff and tried again")
{
  const auto candidates = SixTargets();
  PickState state;
  Random random{ 1 };
  RecordDispatch(state, "east-a1");
  RecordFailure(state, "east-a1", kNow, random);
  CHECK(CountPicks(candidates, state)["east-a1"] == 0);
  const Instant first = state.m_targets["east-a1"].m_avoidUntil;
  RecordFailure(state, "east-a1", kNow, random);
  RecordFailure(state, "east-a1", kNow, random);
  CHECK(state.m_targets["east-a1"].m_avoidUntil > first);
  CHECK(state.m_targets["east-a1"].m_avoidUntil - kNow <= 5000);
  RecordAnswer(state, "east-a1", { .m_latencyUs = 900, .m_heldUs = 400 }, {}, kNow);
  CHECK(CountPicks(candidates, state)["east-a1"] > 0);
  CHECK(state.m_targets["east-a1"].m_outstanding == 0);
}

TEST_CASE("a target that came up after the backoff was set is not avoided")
{
  auto candidates = SixTargets();
  PickState state;
  Random random{ 1 };
  state.m_targets["east-a1"].m_failures = 6;
  RecordFailure(state, "east-a1", kNow, random);
  CHECK(CountPicks(candidates, state)["east-a1"] == 0);
  candidates[0].m_upSince = kNow + 1;
  CHECK(CountPicks(candidates, state)["east-a1"] > 0);
}

TEST_CASE("a target is tried at most once per call")
{
  const auto candidates = SixTargets();
  std::set<std::string, std::less<>> tried;
  Random random{ 3 };
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto picked = Pick(candidates,
                             {},
                             { .m_region = "east", .m_failureDomain = "east-a", .m_tried = &tried },
                             kNow,
                             random);
    REQUIRE(picked);
    CHECK(tried.insert(candidates[picked->m_index].m_node).second);
  }
  CHECK_FALSE(Pick(candidates,
                   {},
                   { .m_region = "east", .m_failureDomain = "east-a", .m_tried = &tried },
                   kNow,
                   random));
}

TEST_CASE("all targets are tried if too few are trusted")
{
  auto candidates = SixTargets();
  for (std::size_t i = 0; i < 5; ++i) {
    candidates[i].m_suspect = true;
  }
  CHECK(CountPicks(candidates, {}).size() > 1);
  candidates[3].m_suspect = false;
  candidates[4].m_suspect = false;
  const auto counts = CountPicks(candidates, {});
  CHECK(counts.count("east-a1") + counts.count("east-a2") + counts.count("east-b1") == 0);
}

TEST_CASE("the share of calls to a cold target grows while it warms up")
{
  Candidate cold{ .m_node = "cold", .m_slots = 10, .m_warmUpMs = 10'000, .m_upSince = kNow };
  CHECK(WarmUpShare(cold, kNow) == doctest::Approx(0.1));
  CHECK(WarmUpShare(cold, kNow + 5000) == doctest::Approx(0.5));
  CHECK(WarmUpShare(cold, kNow + 10'000) == 1);
  std::vector<Candidate> candidates = SixTargets();
  candidates[0].m_warmUpMs = 10'000;
  candidates[0].m_upSince = kNow;
  const auto counts = CountPicks(candidates, {});
  CHECK(counts.at("east-a1") * 2 < counts.at("east-a2"));
}

TEST_CASE("a wrong load report neither attracts nor repels all calls for long")
{
  const auto candidates = SixTargets();
  PickState state;
  // It reports that it is full although it answers; the report expires.
  state.m_targets["east-a1"].m_reportedLoad = 100;
  state.m_targets["east-a1"].m_reportedAt = kNow;
  CHECK(CountPicks(candidates, state)["east-a1"] == 0);
  state.m_targets["east-a1"].m_reportedAt = kNow + -501;
  CHECK(CountPicks(candidates, state)["east-a1"] > kPicks / 3);
  // It reports that it is idle although calls of this node are in flight to it.
  state.m_targets["east-a1"].m_reportedLoad = 0;
  state.m_targets["east-a1"].m_outstanding = 6;
  CHECK(CountPicks(candidates, state)["east-a1"] == 0);
}

TEST_CASE(
  "the admission queue never exceeds its slots, and waits are short and within the deadline")
{
  AdmissionQueue queue;
  queue.m_options = { .m_slots = 2, .m_queue = 3, .m_queueMs = 100 };
  CHECK(Submit(queue, 1, "a", kNow, kNow + 1000) == Admission::Run);
  CHECK(Submit(queue, 2, "a", kNow, kNow + 1000) == Admission::Run);
  CHECK(Submit(queue, 3, "a", kNow, kNow + 1000) == Admission::Wait);
  CHECK(Submit(queue, 4, "a", kNow, kNow + 50) == Admission::Wait);
  CHECK(Submit(queue, 5, "a", kNow, kNow + 1000) == Admission::Wait);
  CHECK(Submit(queue, 6, "a", kNow, kNow + 1000) == Admission::Shed);
  CHECK(Submit(queue, 7, "a", kNow, kNow) == Admission::Shed);
  const QueueDecision late = ProcessQueue(queue, kNow + 60);
  CHECK(late.m_shed == std::vector<std::uint64_t>{ 4 });
  CHECK(late.m_run.empty());
  const QueueDecision next = Finish(queue, kNow + 70, 70'000);
  CHECK(next.m_run == std::vector<std::uint64_t>{ 3 });
  CHECK(queue.m_running == 2);
  CHECK(Withdraw(queue, 5));
  CHECK_FALSE(Withdraw(queue, 5));
  CHECK(queue.m_waiting.empty());
  // Requests run 70 ms: one that has 10 ms left would miss its deadline.
  CHECK(Submit(queue, 8, "a", kNow + 70, kNow + 80) == Admission::Shed);
}

TEST_CASE("callers are served in turn, and one that floods leaves queue space for the others")
{
  AdmissionQueue queue;
  queue.m_options = { .m_slots = 1, .m_queue = 8, .m_queueMs = 1000 };
  const Instant deadline = kNow + 10'000;
  CHECK(Submit(queue, 1, "flood", kNow, deadline) == Admission::Run);
  std::uint64_t id = 2;
  CHECK(Submit(queue, id++, "calm", kNow, deadline) == Admission::Wait);
  int waiting = 0;
  for (int i = 0; i < 20; ++i) {
    waiting +=
      Submit(queue, 100 + static_cast<std::uint64_t>(i), "flood", kNow, deadline) == Admission::Wait
        ? 1
        : 0;
  }
  CHECK(waiting == 4);
  CHECK(Submit(queue, 3, "third", kNow, deadline) == Admission::Wait);
  CHECK(Finish(queue, kNow + 1, 0).m_run == std::vector<std::uint64_t>{ 2 });
  CHECK(Finish(queue, kNow + 2, 0).m_run == std::vector<std::uint64_t>{ 100 });
  CHECK(Finish(queue, kNow + 3, 0).m_run == std::vector<std::uint64_t>{ 3 });
}

TEST_CASE("queued requests run by priority, then those first that can still meet their objective")
{
  AdmissionQueue queue;
  queue.m_options = { .m_slots = 1, .m_queue = 10, .m_queueMs = 10'000 };
  queue.m_serviceUs = 100'000;
  const Instant deadline = kNow + 5000;
  const auto offer = [&](std::uint64_t aId, std::uint32_t aPriority, Milliseconds aObjectiveMs) {
    return Offer(queue,
                 { .m_id = aId,
                   .m_caller = "a",
                   .m_priority = aPriority,
                   .m_deadline = deadline,
                   .m_objective = kNow + aObjectiveMs },
                 kNow)
      .m_admission;
  };
  CHECK(offer(1, 2, 500) == Admission::Run);
  CHECK(offer(2, 2, 50) == Admission::Wait); // Can't meet its objective any more.
  CHECK(offer(3, 2, 900) == Admission::Wait);
  CHECK(offer(4, 2, 400) == Admission::Wait);
  CHECK(offer(5, 0, 3000) == Admission::Wait);
  std::vector<std::uint64_t> order;
  for (int i = 0; i < 4; ++i) {
    const QueueDecision next = Finish(queue, kNow + 10, 0);
    order.insert(order.end(), next.m_run.begin(), next.m_run.end());
  }
  CHECK(order == std::vector<std::uint64_t>{ 5, 4, 3, 2 });
}

TEST_CASE("under overload more requests meet their objective than in order of arrival")
{
  // 20 requests of 100 ms arrive at once for one slot; an objective of 500 ms can be met by five.
  AdmissionQueue queue;
  queue.m_options = { .m_slots = 1, .m_queue = 100, .m_queueMs = 60'000 };
  queue.m_serviceUs = 100'000;
  Instant now = kNow;
  int met = 0;
  int shed = 0;
  std::uint64_t id = 0;
  std::map<std::uint64_t, Instant> objectives;
  std::uint64_t running = 0;
  for (int step = 0; step < 100; ++step) {
    for (int arrival = 0; arrival < 2; ++arrival) {
      const AdmissionRequest request{
        .m_id = ++id, .m_caller = "a", .m_deadline = now + 2000, .m_objective = now + 500
      };
      objectives[id] = request.m_objective;
      const Admission admission = Offer(queue, request, now).m_admission;
      running = admission == Admission::Run ? id : running;
      shed += admission == Admission::Shed ? 1 : 0;
    }
    now = now + 100;
    met += now <= objectives[running] ? 1 : 0;
    const QueueDecision next = Finish(queue, now, 0);
    REQUIRE(next.m_run.size() == 1);
    running = next.m_run.front();
    shed += static_cast<int>(next.m_shed.size());
  }
  CHECK(met >= 95);
  CHECK(shed > 50);
}

TEST_CASE("a request that is shed for its wait limit is told the estimated wait")
{
  AdmissionQueue queue;
  queue.m_options = { .m_slots = 2, .m_queue = 10, .m_queueMs = 10'000 };
  queue.m_serviceUs = 200'000;
  const AdmissionRequest patient{ .m_id = 1, .m_caller = "a", .m_deadline = kNow + 5000 };
  Offer(queue, patient, kNow);
  Offer(queue, patient, kNow);
  AdmissionRequest hasty = patient;
  hasty.m_maxWaitMs = 50;
  const AdmissionResult answer = Offer(queue, hasty, kNow);
  CHECK(answer.m_admission == Admission::Shed);
  CHECK(answer.m_waitMs == 100);
  hasty.m_maxWaitMs = 100;
  CHECK(Offer(queue, hasty, kNow).m_admission == Admission::Wait);
}

TEST_CASE("a request is shed as soon as it is predicted to start after its deadline")
{
  AdmissionQueue queue;
  queue.m_options = { .m_slots = 1, .m_queue = 10, .m_queueMs = 10'000 };
  queue.m_serviceUs = 100'000;
  const auto offer = [&](std::uint64_t aId, std::uint32_t aPriority, Milliseconds aDeadlineMs) {
    return Offer(queue,
                 { .m_id = aId,
                   .m_caller = "a",
                   .m_priority = aPriority,
                   .m_deadline = kNow + aDeadlineMs },
                 kNow)
      .m_admission;
  };
  CHECK(offer(1, 1, 1000) == Admission::Run);
  CHECK(offer(2, 1, 250) == Admission::Wait);
  CHECK(offer(3, 0, 1000) == Admission::Wait);
  CHECK(offer(4, 0, 1000) == Admission::Wait);
  const QueueDecision decision = ProcessQueue(queue, kNow + 1);
  CHECK(decision.m_shed == std::vector<std::uint64_t>{ 2 });
}

TEST_CASE("large answers stay in their failure domain until the wait outweighs the transfer cost")
{
  const auto candidates = SixTargets();
  PickState state;
  for (const Candidate& candidate : candidates) {
    state.m_targets[candidate.m_node].m_serviceUs = 100'000;
    state.m_targets[candidate.m_node].m_latencyUs = 100'000;
  }
  for (const char* node : { "east-a1", "east-a2" }) {
    state.m_targets[node].m_reportedLoad = 12;
    state.m_targets[node].m_reportedAt = kNow;
  }
  const auto domainOf = [&](double aKilobytes) {
    Random random{ 5 };
    const auto picked = Pick(candidates,
                             state,
                             { .m_region = "east",
                               .m_failureDomain = "east-a",
                               .m_kilobytes = aKilobytes,
                               .m_objectiveMs = 100 },
                             kNow,
                             random);
    return candidates[picked->m_index].m_failureDomain;
  };
  CHECK(domainOf(1) == "east-b");
  CHECK(domainOf(90) == "east-a");
  for (const char* node : { "east-a1", "east-a2" }) {
    state.m_targets[node].m_reportedLoad = 60;
  }
  CHECK(domainOf(90) == "east-b");
}

TEST_CASE("nodes near a new target explore it often, those far away seldom")
{
  auto candidates = SixTargets();
  for (Candidate& candidate : candidates) {
    candidate.m_upSince = kNow;
  }
  PickState state;
  state.m_targets["east-a1"].m_latencyUs = 50'000;
  auto counts = CountPicks(candidates, state);
  CHECK(counts["east-a2"] > kPicks / 50);
  CHECK(counts["east-b1"] + counts["east-b2"] > 0);
  CHECK(counts["west-a1"] + counts["west-a2"] < kPicks / 100);
}

TEST_CASE("a target that runs long requests is not slow for short ones")
{
  auto candidates = SixTargets();
  candidates.resize(2);
  PickState state;
  constexpr double kShortUs = 26'000;
  constexpr double kLongUs = 300'000;
  const auto answer =
    [&](const char* aNode, double aRanUs, double aRouteAverageUs, double aReportedUs) {
      for (int i = 0; i < 20; ++i) {
        RecordDispatch(state, aNode);
        const auto ran = static_cast<std::int64_t>(aRanUs);
        RecordAnswer(state,
                     aNode,
                     { .m_latencyUs = ran + 500,
                       .m_heldUs = ran,
                       .m_ranUs = ran,
                       .m_routeAverageUs = aRouteAverageUs },
                     { .m_load = 0, .m_serviceUs = static_cast<std::uint32_t>(aReportedUs) },
                     kNow);
      }
    };
  answer("east-a1", kLongUs, kLongUs, kLongUs);
  answer("east-a2", kShortUs, kShortUs, kShortUs);
  auto counts = CountPicks(candidates, state);
  CHECK(counts["east-a1"] > kPicks / 4);
  CHECK(counts["east-a2"] > kPicks / 4);
  // A target that takes longer than others for the same requests is slow for all routes.
  answer("east-a2", 3 * kShortUs, kShortUs, kLongUs);
  CHECK(CountPicks(candidates, state)["east-a1"] == kPicks);
}

TEST_CASE("a slow target is avoided until the queue of the faster one outweighs it")
{
  auto candidates = SixTargets();
  candidates.resize(2);
  PickState state;
  state.m_targets["east-a1"].m_serviceUs = 500'000;
  state.m_targets["east-a2"].m_serviceUs = 100'000;
  // Requests run 300 ms on average, so 500 ms and 100 ms at these targets.
  state.m_targets["east-a1"].m_slowness = 5.0 / 3;
  state.m_targets["east-a2"].m_slowness = 1.0 / 3;
  CHECK(CountPicks(candidates, state)["east-a2"] == kPicks);
  state.m_targets["east-a2"].m_reportedLoad = 60;
  state.m_targets["east-a2"].m_reportedAt = kNow;
  CHECK(CountPicks(candidates, state)["east-a1"] == kPicks);
}

TEST_CASE(
  "only calls that did not run or are safe to repeat are retried, within deadline and budget")
{
  RetryBudget budget;
  const auto decide = [&](AttemptOutcome aOutcome,
                          config::Repeat aRepeat,
                          std::uint32_t aHandovers = 1,
                          Milliseconds aLeft = 100) {
    const bool received =
      aOutcome != AttemptOutcome::NotRun && aOutcome != AttemptOutcome::Overloaded;
    return DecideRetry(budget,
                       { .m_outcome = aOutcome,
                         .m_repeat = aRepeat,
                         .m_handovers = aHandovers,
                         .m_arrivals = received ? 1U : 0U,
                         .m_leftMs = aLeft },
                       kNow);
  };
  CHECK(decide(AttemptOutcome::NotRun, config::Repeat::Never) == RetryDecision::TryFree);
  CHECK(decide(AttemptOutcome::Overloaded, config::Repeat::Never) == RetryDecision::TryFree);
  CHECK(decide(AttemptOutcome::TurnedAway, config::Repeat::Never) == RetryDecision::TryCharged);
  CHECK(decide(AttemptOutcome::Unknown, config::Repeat::Safe) == RetryDecision::TryCharged);
  CHECK(decide(AttemptOutcome::Failed, config::Repeat::Safe) == RetryDecision::TryCharged);
  CHECK(decide(AttemptOutcome::Unknown, config::Repeat::Never) == RetryDecision::Stop);
  CHECK(decide(AttemptOutcome::Failed, config::Repeat::Never) == RetryDecision::Stop);
  CHECK(decide(AttemptOutcome::Done, config::Repeat::Safe) == RetryDecision::Stop);
  CHECK(decide(AttemptOutcome::NotRun, config::Repeat::Safe, kMaxHandovers) ==
        RetryDecision::StopHandovers);
  CHECK(decide(AttemptOutcome::NotRun, config::Repeat::Safe, 1, 1) == RetryDecision::StopNoTime);
}

TEST_CASE("a call's timeout leaves time for the answer to reach the caller")
{
  CHECK(CallTimeout(1500) <= 1500 - 40);
  CHECK(CallTimeout(1500) >= 1500 - 60);
  CHECK(CallTimeout(100) == 90);
  CHECK(CallTimeout(1) == 1);
  CHECK(CallTimeout(0) == 0);
}

TEST_CASE("a call reaches no more targets than its route allows")
{
  RetryBudget budget;
  RetryContext context{ .m_outcome = AttemptOutcome::Unknown,
                        .m_repeat = config::Repeat::Safe,
                        .m_arrivals = 1,
                        .m_maxAttempts = 2,
                        .m_leftMs = 100 };
  CHECK(DecideRetry(budget, context, kNow) == RetryDecision::TryCharged);
  context.m_arrivals = 2;
  CHECK(DecideRetry(budget, context, kNow) == RetryDecision::StopAttempts);
}

TEST_CASE("with every target failing no window holds more retries than the allowance")
{
  RetryBudget budget;
  budget.m_allowance = { .m_ratio = 0.1, .m_extra = 5, .m_windowMs = 10'000 };
  std::vector<Instant> retries;
  constexpr int kCalls = 10'000;
  constexpr Milliseconds kEveryMs = 10;
  for (int call = 0; call < kCalls; ++call) {
    const Instant now = kNow + call * kEveryMs;
    RecordRequest(budget, now);
    RetryContext context{ .m_outcome = AttemptOutcome::Unknown,
                          .m_repeat = config::Repeat::Safe,
                          .m_arrivals = 1,
                          .m_leftMs = 500 };
    while (DecideRetry(budget, context, now) == RetryDecision::TryCharged) {
      ++context.m_arrivals;
      retries.push_back(now);
    }
  }
  CHECK(retries.size() > kCalls / 20);
  std::size_t first = 0;
  for (std::size_t last = 0; last < retries.size(); ++last) {
    while (retries[last] - retries[first] > 10'000) {
      ++first;
    }
    REQUIRE(static_cast<double>(last - first + 1) <= 0.1 * 10'000 / kEveryMs + 5);
  }
}

TEST_CASE("a retry that the target never received is refunded")
{
  RetryBudget budget;
  budget.m_allowance = { .m_ratio = 0, .m_extra = 1, .m_windowMs = 10'000 };
  CHECK(SpendRetry(budget, kNow));
  CHECK_FALSE(SpendRetry(budget, kNow));
  RefundRetry(budget, kNow);
  CHECK(SpendRetry(budget, kNow));
  CHECK_FALSE(SpendRetry(budget, kNow + 9000));
  CHECK(SpendRetry(budget, kNow + 11'000));
}

TEST_CASE("a route's requests are split by weight in any short run")
{
  RouteRoundRobins roundRobins;
  Random random{ 5 };
  const config::Route route{ .m_name = "r",
                             .m_clusters = { { .m_cluster = "a", .m_weight = 90 },
                                             { .m_cluster = "b", .m_weight = 10 } } };
  for (int stretch = 0; stretch < 10; ++stretch) {
    int second = 0;
    for (int i = 0; i < 20; ++i) {
      second += NextCluster(roundRobins, route, random) == 1 ? 1 : 0;
    }
    CHECK(second == 2);
  }
  config::Route changed = route;
  changed.m_clusters[0].m_weight = 0;
  CHECK(NextCluster(roundRobins, changed, random) == 1);
  CHECK(NextCluster(roundRobins, changed, random) == 1);
  changed.m_clusters.resize(1);
  CHECK(NextCluster(roundRobins, changed, random) == 0);
}

TEST_CASE("a route's average follows its values, and the number of routes is bounded")
{
  RouteAverages averages{ .m_weight = 0.5, .m_maxRoutes = 2 };
  CHECK_FALSE(AverageOf(averages, "a"));
  AddSample(averages, "a", 10);
  AddSample(averages, "a", 20);
  CHECK(*AverageOf(averages, "a") == doctest::Approx(15));
  AddSample(averages, "b", 1);
  AddSample(averages, "c", 2);
  CHECK(averages.m_averages.size() == 1);
  CHECK(*AverageOf(averages, "c") == doctest::Approx(2));
}

TEST_CASE("a message's delay in buffers is measured without synchronized clocks")
{
  DelayEstimator estimator;
  constexpr Milliseconds kSenderStartMs = 777'000;
  CHECK(EstimateDelay(estimator, kSenderStartMs, kNow) == 0);
  CHECK(EstimateDelay(estimator, kSenderStartMs + 100, kNow + 105) == 5);
  CHECK(EstimateDelay(estimator, kSenderStartMs + 200, kNow + 700) == 500);
  CHECK(EstimateDelay(estimator, kSenderStartMs + 300, kNow + 299) == 0);
  // A sender's clock that runs 100 parts in a million slow does not look like a delay.
  Milliseconds maxDelay = 0;
  for (Milliseconds at = 1000; at < 3'600'000; at += 1000) {
    maxDelay =
      std::max(maxDelay, EstimateDelay(estimator, kSenderStartMs + at - at / 10'000, kNow + at));
  }
  CHECK(maxDelay <= 2);
}
