#include "TargetRecord.h"

#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::routing;

namespace {

constexpr Instant kNow{ 1'000'000 };

TargetReport
Report(const char* aId, std::int64_t aBornMs, std::uint64_t aSequence, bool aLeaving = false)
{
  return { .m_id = aId,
           .m_bornMs = aBornMs,
           .m_sequence = aSequence,
           .m_service = "jobs",
           .m_address = "127.0.0.1:1",
           .m_slots = 6,
           .m_leaving = aLeaving };
}

} // namespace

TEST_CASE("late reports of an incarnation are not believed")
{
  TargetRecord record;
  CHECK(TakeReport(record, Report("a", 100, 5), kNow) == ReportVerdict::NewTarget);
  CHECK(TakeReport(record, Report("a", 100, 6, true), kNow) == ReportVerdict::Changed);
  CHECK(TakeReport(record, Report("a", 100, 5), kNow) == ReportVerdict::Outdated);
  CHECK(record.m_newest->m_leaving);
  CHECK(TakeReport(record, Report("a", 100, 7, true), kNow) == ReportVerdict::Same);
}

TEST_CASE("the incarnation that started last is believed, under the same id or another")
{
  TargetRecord record;
  TakeReport(record, Report("a", 100, 50), kNow);
  CHECK(TakeReport(record, Report("a", 200, 1), kNow) == ReportVerdict::NewTarget);
  CHECK(TakeReport(record, Report("a", 100, 51), kNow) == ReportVerdict::Outdated);
  CHECK(TakeReport(record, Report("b", 300, 1), kNow) == ReportVerdict::NewTarget);
  CHECK(TakeReport(record, Report("a", 200, 2), kNow + 100) == ReportVerdict::Outdated);
  CHECK(record.m_newest->m_id == "b");
}

TEST_CASE("a silent target gives way although the other one's clock says that it is older")
{
  TargetRecord record;
  TakeReport(record, Report("a", 9000, 1), kNow);
  CHECK(TakeReport(record, Report("b", 100, 1), kNow + 1000) == ReportVerdict::Outdated);
  CHECK(TakeReport(record, Report("b", 100, 2), kNow + kSilentTargetMs) ==
        ReportVerdict::NewTarget);
}

TEST_CASE("what left stays gone until it is born again")
{
  TargetRecord record;
  TakeReport(record, Report("a", 100, 1), kNow);
  CHECK_FALSE(TakeLeave(record, "b", std::nullopt));
  CHECK_FALSE(record.m_newest->m_leaving);
  CHECK(TakeLeave(record, "a", std::nullopt));
  CHECK(record.m_newest->m_leaving);
  CHECK(TakeReport(record, Report("a", 100, 2), kNow) == ReportVerdict::Outdated);
  CHECK(record.m_newest->m_leaving);
  CHECK(TakeReport(record, Report("a", 101, 1), kNow) == ReportVerdict::NewTarget);
  CHECK_FALSE(record.m_newest->m_leaving);
}
