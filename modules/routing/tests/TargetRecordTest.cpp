#include "TargetRecord.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace sequoiastep;
using namespace sequoiastep::routing;

namespace {

constexpr Instant kNow{ 1'000'000 };

TargetReport
Report(const char* aId,
       std::optional<std::int64_t> aBornMs,
       std::uint64_t aSequence,
       bool aLeaving = false)
{
  return { .m_id = aId,
           .m_bornMs = aBornMs,
           .m_sequence = aSequence,
           .m_service = "jobs",
           .m_address = "127.0.0.1:1",
           .m_slots = 6,
           .m_leaving = aLeaving };
}

// What a health check finds: neither start time nor sequence.
TargetReport
Probed(const char* aId)
{
  return Report(aId, std::nullopt, 0);
}

Departure
Left(const char* aId, std::optional<std::int64_t> aBornMs = std::nullopt)
{
  return { .m_id = aId, .m_bornMs = aBornMs };
}

} // namespace

TEST_CASE("out-of-order reports of an incarnation are ignored")
{
  TargetRecord record;
  CHECK(ApplyReport(record, Report("a", 100, 5), kNow) == ReportOutcome::NewTarget);
  CHECK(ApplyReport(record, Report("a", 100, 6, true), kNow) == ReportOutcome::Changed);
  CHECK(ApplyReport(record, Report("a", 100, 5), kNow) == ReportOutcome::Outdated);
  CHECK(record.m_newest->m_leaving);
  CHECK(ApplyReport(record, Report("a", 100, 7, true), kNow) == ReportOutcome::Same);
}

TEST_CASE("the incarnation that started last is accepted, under the same id or another")
{
  TargetRecord record;
  ApplyReport(record, Report("a", 100, 50), kNow);
  CHECK(ApplyReport(record, Report("a", 200, 1), kNow) == ReportOutcome::NewTarget);
  CHECK(ApplyReport(record, Report("a", 100, 51), kNow) == ReportOutcome::Outdated);
  CHECK(ApplyReport(record, Report("b", 300, 1), kNow) == ReportOutcome::NewTarget);
  CHECK(ApplyReport(record, Report("a", 200, 2), kNow + 100) == ReportOutcome::Outdated);
  CHECK(record.m_newest->m_id == "b");
}

TEST_CASE("a silent target is replaced by another id even if that one's start time is earlier")
{
  TargetRecord record;
  ApplyReport(record, Report("a", 9000, 1), kNow);
  CHECK(ApplyReport(record, Report("b", 100, 1), kNow + 1000) == ReportOutcome::Outdated);
  CHECK(ApplyReport(record, Report("b", 100, 2), kNow + kSilentTargetMs) ==
        ReportOutcome::NewTarget);
}

TEST_CASE("a target that left is ignored until a new incarnation reports")
{
  TargetRecord record;
  ApplyReport(record, Report("a", 100, 1), kNow);
  CHECK_FALSE(RecordLeave(record, Left("b"), kNow));
  CHECK_FALSE(record.m_newest->m_leaving);
  CHECK(RecordLeave(record, Left("a"), kNow));
  CHECK(record.m_newest->m_leaving);
  CHECK(ApplyReport(record, Report("a", 100, 2), kNow) == ReportOutcome::Outdated);
  CHECK(record.m_newest->m_leaving);
  CHECK(ApplyReport(record, Report("a", 101, 1), kNow) == ReportOutcome::NewTarget);
  CHECK_FALSE(record.m_newest->m_leaving);
}

TEST_CASE("a late report does not bring back a target that left while its node restarted")
{
  TargetRecord record;
  // The node has just started and knows no start time; the target's leave states none.
  CHECK_FALSE(RecordLeave(record, Left("a"), kNow));
  CHECK(ApplyReport(record, Report("a", 100, 13), kNow + 2300) == ReportOutcome::Outdated);
  CHECK_FALSE(record.m_newest);
  // Another target, and a new incarnation under the same id, are accepted at once.
  TargetRecord replaced = record;
  CHECK(ApplyReport(replaced, Report("b", 50, 4), kNow + 3000) == ReportOutcome::NewTarget);
  TargetRecord restarted = record;
  CHECK(ApplyReport(restarted, Report("a", 200, 1), kNow + 3000) == ReportOutcome::NewTarget);
  CHECK(ApplyReport(restarted, Report("a", 200, 2), kNow + 4000) == ReportOutcome::Same);
  // One that still reports long after it left is not a late report.
  CHECK(ApplyReport(record, Report("a", 100, 20), kNow + 10'000) == ReportOutcome::NewTarget);
}

TEST_CASE("a leave that states its start time is kept by a node that knows no target")
{
  TargetRecord record;
  CHECK_FALSE(RecordLeave(record, Left("a", 100), kNow));
  CHECK(ApplyReport(record, Report("a", 100, 13), kNow + 60'000) == ReportOutcome::Outdated);
  CHECK(ApplyReport(record, Report("a", 101, 1), kNow) == ReportOutcome::NewTarget);
}

// Guards against work that is lost at a target that left: its node knew it from a health check
// only, and took the unknown start time for an earlier one than that of a late report.
TEST_CASE("a late report does not bring back a target that was known from a health check and left")
{
  TargetRecord record;
  CHECK(ApplyReport(record, Probed("a"), kNow) == ReportOutcome::NewTarget);
  SUBCASE("its leave states the start time")
  {
    CHECK(RecordLeave(record, Left("a", 100), kNow));
    CHECK(ApplyReport(record, Report("a", 100, 13), kNow + 60'000) == ReportOutcome::Outdated);
    CHECK(record.m_newest->m_leaving);
    CHECK(ApplyReport(record, Report("a", 101, 1), kNow + 60'000) == ReportOutcome::NewTarget);
  }
  SUBCASE("its leave states none")
  {
    CHECK(RecordLeave(record, Left("a"), kNow));
    CHECK(ApplyReport(record, Report("a", 100, 13), kNow + 2500) == ReportOutcome::Outdated);
    CHECK(record.m_newest->m_leaving);
    CHECK(ApplyReport(record, Report("a", 200, 1), kNow + 2600) != ReportOutcome::Outdated);
  }
}

TEST_CASE("the first report after a health check completes what is known of the target")
{
  TargetRecord record;
  ApplyReport(record, Probed("a"), kNow);
  CHECK(ApplyReport(record, Report("a", 100, 13), kNow) == ReportOutcome::Changed);
  CHECK(record.m_newest->m_bornMs == 100);
  CHECK(ApplyReport(record, Report("a", 100, 12), kNow) == ReportOutcome::Outdated);
  // A report without a start time is ordered by its sequence and takes no knowledge away.
  CHECK(ApplyReport(record, Report("a", std::nullopt, 14), kNow) == ReportOutcome::Same);
  CHECK(record.m_newest->m_bornMs == 100);
}

TEST_CASE("a leave is kept for an incarnation that has not reported yet, and for each that left")
{
  TargetRecord record;
  ApplyReport(record, Report("a", 100, 5), kNow);
  CHECK_FALSE(RecordLeave(record, Left("b", 300), kNow));
  CHECK_FALSE(record.m_newest->m_leaving);
  CHECK(ApplyReport(record, Report("b", 300, 2), kNow) == ReportOutcome::Outdated);
  CHECK(RecordLeave(record, Left("a", 100), kNow));
  CHECK(ApplyReport(record, Report("c", 400, 1), kNow) == ReportOutcome::NewTarget);
  // The target that came last is silent, so that any other id would replace it.
  for (const TargetReport& late : { Report("a", 100, 6), Report("b", 300, 3) }) {
    CHECK(ApplyReport(record, late, kNow + kSilentTargetMs) == ReportOutcome::Outdated);
  }
}

// Guards against work that is lost at a target that left: the node that acknowledged it restarts,
// and a late report comes to the new process.
TEST_CASE("a leave that another node remembers outdates the late reports of that target")
{
  TargetRecord record;
  record.m_startedAt = kNow;
  SUBCASE("remembered before the late report")
  {
    CHECK_FALSE(RecallDepartures(record, { Left("a", 100) }, true, kNow + 200));
    CHECK(ApplyReport(record, Report("a", 100, 13), kNow + 2000) == ReportOutcome::Outdated);
  }
  SUBCASE("remembered after it")
  {
    CHECK(ApplyReport(record, Report("a", 100, 13), kNow + 100) == ReportOutcome::Unconfirmed);
    CHECK_FALSE(RecallDepartures(record, { Left("a", 100) }, true, kNow + 200));
  }
  SUBCASE("remembered by a node that may not know all")
  {
    CHECK(ApplyReport(record, Report("a", 100, 13), kNow + 100) == ReportOutcome::Unconfirmed);
    CHECK_FALSE(RecallDepartures(record, { Left("a", 100) }, false, kNow + 200));
    CHECK(ApplyProbe(record, Probed("b"), kNow + 300) == ReportOutcome::NewTarget);
    CHECK(record.m_newest->m_id == "b");
    return;
  }
  CHECK_FALSE(record.m_newest);
  CHECK(ApplyReport(record, Report("a", 101, 2), kNow + 3000) == ReportOutcome::NewTarget);
}

TEST_CASE("a target that was taken for a sound one leaves when its leave is remembered")
{
  TargetRecord record;
  record.m_startedAt = kNow;
  CHECK_FALSE(RecallDepartures(record, {}, true, kNow));
  CHECK(ApplyReport(record, Report("a", 100, 13), kNow + 100) == ReportOutcome::NewTarget);
  CHECK(RecallDepartures(record, { Left("a", 100) }, false, kNow + 200));
  CHECK(record.m_newest->m_leaving);
  CHECK_FALSE(RecallDepartures(record, { Left("a", 100) }, false, kNow + 300));
}

TEST_CASE("a sound target is used again soon after its node's restart")
{
  TargetRecord record;
  record.m_startedAt = kNow;
  SUBCASE("its health check succeeded before its report")
  {
    CHECK(ApplyProbe(record, Probed("a"), kNow + 50) == ReportOutcome::NewTarget);
    CHECK(ApplyReport(record, Report("a", 100, 13), kNow + 900) == ReportOutcome::Changed);
  }
  SUBCASE("its health check succeeded after its report")
  {
    CHECK(ApplyReport(record, Report("a", 100, 13), kNow + 100) == ReportOutcome::Unconfirmed);
    CHECK(ApplyProbe(record, Probed("a"), kNow + 150) == ReportOutcome::NewTarget);
  }
  SUBCASE("its health check fails, but a node remembers that no target of this one left")
  {
    CHECK(ApplyReport(record, Report("a", 100, 13), kNow + 100) == ReportOutcome::Unconfirmed);
    CHECK(RecallDepartures(record, {}, true, kNow + 200));
  }
  SUBCASE("it has just started")
  {
    CHECK(ApplyReport(record, Report("a", 100, 1), kNow + 100) == ReportOutcome::NewTarget);
  }
  SUBCASE("nothing confirms it, but no late report can come any more")
  {
    CHECK(ApplyReport(record, Report("a", 100, 13), kNow + 100) == ReportOutcome::Unconfirmed);
    CHECK(ApplyReport(record, Report("a", 100, 20), kNow + kLateReportMs) ==
          ReportOutcome::NewTarget);
  }
  REQUIRE(record.m_newest);
  CHECK(record.m_newest->m_bornMs == 100);
  CHECK_FALSE(record.m_newest->m_leaving);
}

TEST_CASE("a target that reported draining has left for good, as one that deregistered")
{
  TargetRecord record;
  CHECK(ApplyReport(record, Report("a", 100, 7, true), kNow) == ReportOutcome::NewTarget);
  // It is silent, so that any other id would replace the one that came after it.
  CHECK(ApplyReport(record, Report("b", 200, 1), kNow) == ReportOutcome::NewTarget);
  CHECK(ApplyReport(record, Report("a", 100, 8), kNow + kSilentTargetMs) ==
        ReportOutcome::Outdated);
  CHECK(record.m_newest->m_id == "b");
}

// Each order of the same messages ends alike: leaving is final.
TEST_CASE("in whatever order a leave and late reports come, the target is not in use afterwards")
{
  enum class Message
  {
    Probe,
    Report,
    LateReport,
    Draining,
    Leave,
    Recall,
  };
  std::vector<Message> order{ Message::Probe,    Message::Report, Message::LateReport,
                              Message::Draining, Message::Leave,  Message::Recall };
  do {
    TargetRecord record;
    record.m_startedAt = kNow;
    Instant now = kNow;
    bool left = false;
    for (const Message message : order) {
      now = now + 100;
      switch (message) {
        case Message::Probe:
          if (!left) { // A target that leaves fails its health checks.
            ApplyProbe(record, Probed("a"), now);
          }
          break;
        case Message::Report:
          ApplyReport(record, Report("a", 100, 12), now);
          break;
        case Message::LateReport:
          ApplyReport(record, Report("a", 100, 13), now);
          break;
        case Message::Draining:
          ApplyReport(record, Report("a", 100, 14, true), now);
          left = true;
          break;
        case Message::Leave:
          RecordLeave(record, Left("a", 100), now);
          left = true;
          break;
        case Message::Recall:
          RecallDepartures(record, { Left("a", 100) }, true, now);
          left = true;
          break;
      }
    }
    CHECK((!record.m_newest || record.m_newest->m_leaving));
  } while (std::next_permutation(order.begin(), order.end()));
}
