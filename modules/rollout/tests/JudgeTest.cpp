#include "Judge.h"

#include "FakeRollout.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace sequoiastep;
using namespace sequoiastep::rollout;

namespace {

constexpr Instant kNow{ 1'000'000 };
constexpr std::uint64_t kSeeds = 200;
constexpr std::uint32_t kRunMs = 40;

Rollout
Order(RolloutPhase aPhase = RolloutPhase::Trial)
{
  return { .m_service = "cart",
           .m_version = "v2",
           .m_order = { .m_era = 1, .m_offset = 7 },
           .m_durationMs = 10'000,
           .m_deadline = kNow + 10'000,
           .m_phase = aPhase,
           .m_established = "v1" };
}

wire::RolloutEvidenceT
Report(const std::string& aNode,
       std::string_view aVersion,
       std::uint64_t aSequence,
       std::uint32_t aRequests,
       std::uint32_t aErrors = 0,
       std::uint32_t aOutstanding = 0)
{
  wire::RolloutEvidenceT report;
  report.service = "cart";
  report.order_era = 1;
  report.order_offset = 7;
  report.node = aNode;
  report.incarnation = 1;
  report.version = aVersion;
  report.sequence = aSequence;
  report.outstanding = aOutstanding;
  auto route = std::make_unique<wire::RouteEvidenceT>();
  route->route = "get";
  route->requests = aRequests;
  route->errors = aErrors;
  route->run_buckets.resize(RunBucketOf(kRunMs) + 1);
  route->run_buckets.back() = aRequests - aErrors;
  report.routes.push_back(std::move(route));
  return report;
}

// Reports of an old and two new targets each 200 ms from aFrom to aUntil.
// @return the last sequence.
std::uint64_t
AddReports(Judge& aJudge,
           Instant aFrom,
           Instant aUntil,
           std::uint32_t aNewPerReport,
           std::uint32_t aOldPerReport)
{
  std::uint64_t sequence = 0;
  for (Instant now = aFrom; now <= aUntil; now = now + 200) {
    ++sequence;
    const auto times = static_cast<std::uint32_t>(sequence);
    AddEvidence(aJudge, Order(), Report("old", "v1", sequence, times * aOldPerReport), now);
    AddEvidence(aJudge, Order(), Report("new-1", "v2", sequence, times * aNewPerReport), now);
    AddEvidence(aJudge, Order(), Report("new-2", "v2", sequence, times * aNewPerReport), now);
  }
  return sequence;
}

struct Rates
{
  int m_completed = 0;
  int m_rolledBack = 0;
  int m_undecided = 0;
  // Not rolled back although the version gave 50 bad answers a second or more before the end.
  int m_missed = 0;
  int m_atOldWhenCompleted = 0;
  // From the twentieth bad answer to the verdict, of the versions that were rolled back.
  std::vector<Milliseconds> m_delays;

  Milliseconds DelayAt(double aQuantile) const
  {
    return m_delays.empty() ? 0
                            : m_delays[static_cast<std::size_t>(
                                aQuantile * static_cast<double>(m_delays.size() - 1))];
  }
};

Rates
PlayAll(Play aPlay)
{
  Rates rates;
  for (aPlay.m_seed = 1; aPlay.m_seed <= kSeeds; ++aPlay.m_seed) {
    const Outcome outcome = PlayRollout(aPlay);
    const bool rolledBack = outcome.m_phase == RolloutPhase::RolledBack;
    rates.m_completed += outcome.m_phase == RolloutPhase::Completed ? 1 : 0;
    rates.m_rolledBack += rolledBack ? 1 : 0;
    rates.m_undecided += IsFinal(outcome.m_phase) ? 0 : 1;
    rates.m_atOldWhenCompleted += outcome.m_atOldWhenCompleted;
    const Milliseconds end = outcome.m_endedAtMs.value_or(outcome.m_durationMs);
    if (!rolledBack && outcome.m_fiftiethBadMs && end - *outcome.m_fiftiethBadMs >= 1'000) {
      ++rates.m_missed;
    }
    if (rolledBack && outcome.m_twentiethBadMs) {
      rates.m_delays.push_back(end - *outcome.m_twentiethBadMs);
    }
  }
  std::sort(rates.m_delays.begin(), rates.m_delays.end());
  MESSAGE("completed " << rates.m_completed << ", rolled back " << rates.m_rolledBack
                       << ", undecided " << rates.m_undecided << ", missed " << rates.m_missed
                       << "; after the 20th bad answer (" << rates.m_delays.size()
                       << " plays): p50 " << rates.DelayAt(0.5) << " ms, p90 " << rates.DelayAt(0.9)
                       << " ms, p95 " << rates.DelayAt(0.95) << " ms, most " << rates.DelayAt(1)
                       << " ms");
  CHECK(rates.m_atOldWhenCompleted == 0);
  return rates;
}

} // namespace

// Guards against a plan without time for the write or for the old targets.
TEST_CASE("Judge: the plan leaves time to finish and to write")
{
  const RolloutPlan plan = MakePlan(Order(), 2'200);
  CHECK(plan.m_writeBy == kNow + 9'000);
  CHECK(plan.m_verdictBy == kNow + 6'800);
  CHECK(plan.m_verdictFrom == kNow + 6'300);
  CHECK(plan.m_lastVerdict > plan.m_verdictBy);
  CHECK(plan.m_lastVerdict < plan.m_writeBy);
  CHECK(plan.m_completeFrom < plan.m_writeBy);
  CHECK(MakePlan(Order(), 60'000).m_verdictBy == kNow + 6'500); // A quarter at most.
  CHECK(MakePlan(Order(), 100).m_verdictBy == kNow + 7'000);    // Two seconds at least.
}

// Guards against counts that are added twice or of another order.
TEST_CASE("Judge: only newer counts of the same order count")
{
  Judge judge;
  AddEvidence(judge, Order(), Report("a", "v2", 2, 10), kNow);
  AddEvidence(judge, Order(), Report("a", "v2", 2, 10), kNow);
  AddEvidence(judge, Order(), Report("a", "v2", 1, 4), kNow);
  auto other = Report("a", "v2", 3, 99);
  other.order_offset = 6;
  AddEvidence(judge, Order(), other, kNow);
  REQUIRE(judge.m_bins.size() == 1);
  const auto& tallies = judge.m_bins.begin()->second.m_trial;
  CHECK(tallies.at("get").m_requests == 10);
  AddEvidence(judge, Order(), Report("a", "v2", 3, 14, 1), kNow);
  CHECK(tallies.at("get").m_requests == 14);
  CHECK(tallies.at("get").m_errors == 1);
  // A new run of the node counts from zero; late messages of the run before are ignored.
  auto restarted = Report("a", "v2", 1, 3);
  restarted.incarnation = 2;
  AddEvidence(judge, Order(), restarted, kNow);
  CHECK(tallies.at("get").m_requests == 17);
  AddEvidence(judge, Order(), Report("a", "v2", 4, 20), kNow);
  CHECK(tallies.at("get").m_requests == 17);
  // Another order starts anew.
  Rollout next = Order();
  next.m_order.m_offset = 8;
  auto report = Report("a", "v3", 5, 3);
  report.order_offset = 8;
  AddEvidence(judge, next, report, kNow);
  CHECK(judge.m_order == next.m_order);
  CHECK(judge.m_targets.size() == 1);
  CHECK(judge.m_bins.begin()->second.m_trial.empty());
}

// Guards against memory that grows with the time that a rollout lasts.
TEST_CASE("Judge: keeps a bounded number of bins")
{
  Judge judge;
  for (std::uint64_t sequence = 1; sequence <= 2 * kMaxBins; ++sequence) {
    AddEvidence(judge,
                Order(),
                Report("a", "v2", sequence, static_cast<std::uint32_t>(sequence)),
                kNow + static_cast<Milliseconds>(sequence) * kBinMs);
  }
  CHECK(judge.m_bins.size() == kMaxBins);
}

// Guards against a good verdict without enough samples, and against a rollback by a judge that is
// cut off.
TEST_CASE("Judge: decides by the evidence that it has at the times of the plan")
{
  const RolloutPlan plan = MakePlan(Order(), 2'200);
  const std::vector<std::string> old{ "old" };
  Judge enough;
  AddReports(enough, kNow, kNow + 9'000, 2, 20);
  CHECK(Decide(enough, Order(), plan, old, kNow + 6'200).m_verdict == Verdict::Continue);
  CHECK(Decide(enough, Order(), plan, old, kNow + 6'300).m_verdict == Verdict::Shift);
  CHECK(Decide(enough, Order(), plan, old, kNow + 8'000).m_verdict == Verdict::Continue);

  // Too few requests: no good verdict, and a rollback when the final state is due.
  Judge few;
  AddReports(few, kNow, kNow + 9'000, 0, 20);
  CHECK(Decide(few, Order(), plan, old, kNow + 6'500).m_verdict == Verdict::Continue);
  const Judgement late = Decide(few, Order(), plan, old, kNow + 9'000);
  CHECK(late.m_verdict == Verdict::RollBack);
  CHECK(late.m_reason.find("undecided=") == 0);
  // Without old targets it would leave nothing.
  CHECK(Decide(few, Order(), plan, {}, kNow + 9'000).m_verdict == Verdict::Continue);

  // Too few reports: nothing, neither now nor later.
  Judge cut;
  AddReports(cut, kNow, kNow + 4'000, 2, 20);
  CHECK(Decide(cut, Order(), plan, old, kNow + 6'500).m_verdict == Verdict::Continue);
  CHECK(Decide(cut, Order(), plan, old, kNow + 9'500).m_verdict == Verdict::Continue);
  CHECK(Decide(Judge{}, Order(), plan, old, kNow + 9'500).m_verdict == Verdict::Continue);
  const std::vector<std::string> many{ "old", "unheard-1", "unheard-2" };
  CHECK(Decide(enough, Order(), plan, many, kNow + 6'500).m_verdict == Verdict::Continue);
}

// Guards against a version that is called good because the only target that shows its errors might
// have a bad host.
TEST_CASE("Judge: errors of one target that no other one can confirm are a doubt")
{
  const RolloutPlan plan = MakePlan(Order(), 2'200);
  const std::vector<std::string> old{ "old" };
  const auto judge = [&](std::uint32_t aOther, std::uint32_t aErrors, Instant aNow) {
    Judge judge;
    std::uint32_t sequence = 0;
    for (Instant now = kNow; now <= aNow; now = now + 200) {
      ++sequence;
      AddEvidence(judge, Order(), Report("old", "v1", sequence, sequence * 20), now);
      AddEvidence(
        judge, Order(), Report("new-1", "v2", sequence, sequence * 2, sequence * aErrors), now);
      AddEvidence(judge, Order(), Report("new-2", "v2", sequence, sequence * aOther), now);
    }
    return Decide(judge, Order(), plan, old, aNow).m_verdict;
  };
  // The other target has no requests.
  CHECK(judge(0, 1, kNow + 3'000) == Verdict::Continue);
  CHECK(judge(0, 1, kNow + 6'400) == Verdict::Continue);
  CHECK(judge(0, 1, kNow + 9'000) == Verdict::RollBack);
  CHECK(judge(0, 2, kNow + 6'000) == Verdict::RollBack);
  // The other target has as many, and no errors.
  CHECK(judge(2, 1, kNow + 3'000) == Verdict::Continue);
  CHECK(judge(2, 1, kNow + 6'400) == Verdict::Shift);
}

// Guards against old targets that are stopped with requests in progress.
TEST_CASE("Judge: completes only when all old targets reported twice that they are idle")
{
  const Rollout shifting = Order(RolloutPhase::Shifting);
  const RolloutPlan plan = MakePlan(shifting, 2'200);
  const std::vector<std::string> old{ "old-1", "old-2" };
  Judge judge;
  const auto report =
    [&](const std::string& aNode, std::uint32_t aOutstanding, Milliseconds aAtMs) {
      AddEvidence(judge,
                  shifting,
                  Report(aNode, "v1", static_cast<std::uint64_t>(aAtMs), 100, 0, aOutstanding),
                  kNow + aAtMs);
    };
  const auto verdict = [&](Milliseconds aAtMs) {
    return Decide(judge, shifting, plan, old, kNow + aAtMs).m_verdict;
  };
  report("old-1", 0, 6'500);
  report("old-2", 3, 6'500);
  report("old-1", 0, 8'200);
  report("old-2", 1, 8'200);
  CHECK(verdict(8'600) == Verdict::Continue);
  report("old-1", 0, 8'600);
  report("old-2", 0, 8'600);
  CHECK(verdict(8'700) == Verdict::Continue);
  report("old-2", 0, 9'000);
  CHECK(verdict(9'000) == Verdict::Complete);
  // A target that has fallen silent may have work again.
  CHECK(verdict(10'600) == Verdict::Continue);
}

// Guards against rollbacks of good versions.
TEST_CASE("Judge: good versions are completed before the deadline")
{
  const Rates rates = PlayAll({});
  CHECK(rates.m_completed >= 199);
  CHECK(rates.m_rolledBack <= 1);
}

TEST_CASE("Judge: trouble that hits old and new alike is no evidence")
{
  const Rates errors = PlayAll({ .m_trouble = Trouble::Errors });
  CHECK(errors.m_completed >= 194);
  CHECK(errors.m_rolledBack <= 5);
  const Rates slow = PlayAll({ .m_trouble = Trouble::Slow });
  CHECK(slow.m_completed >= 194);
  CHECK(slow.m_rolledBack <= 4);
}

TEST_CASE("Judge: one bad host of several is no verdict on the version")
{
  CHECK(PlayAll({ .m_badHost = true }).m_rolledBack <= 8);
}

// Guards against bad versions that are completed, or found late.
TEST_CASE("Judge: versions with errors are rolled back")
{
  const Rates errors = PlayAll({ .m_fault = Fault::Errors });
  CHECK(errors.m_rolledBack >= 199);
  CHECK(errors.DelayAt(0.95) <= 1'000);
  const Rates late = PlayAll({ .m_fault = Fault::LateErrors });
  CHECK(late.m_rolledBack >= 198);
  CHECK(late.DelayAt(0.95) <= 1'000);
}

TEST_CASE("Judge: versions with errors on one route are rolled back")
{
  const Rates rates = PlayAll({ .m_fault = Fault::ErrorsOnOneRoute });
  CHECK(rates.m_rolledBack >= 194);
  CHECK(rates.m_missed == 0);
  CHECK(rates.DelayAt(0.95) <= 1'000);
}

TEST_CASE("Judge: slow versions are rolled back")
{
  const Rates rates = PlayAll({ .m_fault = Fault::Slow });
  CHECK(rates.m_rolledBack >= 197);
  CHECK(rates.DelayAt(0.9) <= 1'000);
}

// Where targets have few busy slots, the fault shows in few answers only, so that not all of these
// versions give enough bad answers before the deadline.
TEST_CASE("Judge: versions that fail under load are rolled back where it shows")
{
  const Rates rates = PlayAll({ .m_fault = Fault::ErrorsUnderLoad });
  CHECK(rates.m_rolledBack >= 140);
  CHECK(rates.m_missed <= 20);
}
