#include "TargetNotice.h"

#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::routing;

namespace {

constexpr TargetNotice kLimited{ .m_perSecond = 8.5 };
constexpr TargetNotice kLeaving{ .m_leaving = true };

NoticeRecord
RecordOf(const char* aId, std::optional<std::int64_t> aBornMs)
{
  NoticeRecord record;
  SetIncarnation(record, aId, aBornMs);
  return record;
}

} // namespace

TEST_CASE("a limit holds until a response without it, leaving for good")
{
  NoticeRecord record = RecordOf("a", 100);
  CHECK(ApplyResponse(record, kLimited));
  CHECK_FALSE(ApplyResponse(record, kLimited));
  CHECK(record.m_stated.m_notice.m_perSecond == 8.5);
  CHECK(ApplyResponse(record, kLeaving));
  CHECK_FALSE(record.m_stated.m_notice.m_perSecond);
  CHECK_FALSE(ApplyResponse(record, {}));
  CHECK(record.m_stated.m_notice.m_leaving);
}

TEST_CASE("a notice ends with the incarnation that gave it")
{
  NoticeRecord record = RecordOf("a", 100);
  ApplyResponse(record, kLeaving);
  SetIncarnation(record, "a", 100);
  CHECK(record.m_stated.m_notice.m_leaving);
  SetIncarnation(record, "a", 200);
  CHECK_FALSE(record.m_stated.m_notice.m_leaving);
}

TEST_CASE("a node that restarted takes up the notice that its callers remember")
{
  const StatedNotice remembered{ .m_id = "a", .m_bornMs = 100, .m_notice = kLeaving };
  NoticeRecord record = RecordOf("a", 100);
  CHECK(Recall(record, remembered));
  CHECK(record.m_stated.m_notice.m_leaving);
  CHECK_FALSE(Recall(record, remembered));
}

TEST_CASE("a remembered notice is ignored after a response, and for another incarnation")
{
  const StatedNotice remembered{ .m_id = "a", .m_bornMs = 100, .m_notice = kLimited };
  NoticeRecord heard = RecordOf("a", 100);
  ApplyResponse(heard, {});
  CHECK_FALSE(Recall(heard, remembered));
  NoticeRecord restarted = RecordOf("a", 200);
  CHECK_FALSE(Recall(restarted, remembered));
  NoticeRecord other = RecordOf("b", 100);
  CHECK_FALSE(Recall(other, remembered));
  NoticeRecord unnamed = RecordOf("", 0);
  CHECK_FALSE(Recall(unnamed, { .m_notice = kLimited }));
}

TEST_CASE("what is recalled before the start time is known must match it later")
{
  const StatedNotice remembered{ .m_id = "a", .m_bornMs = 100, .m_notice = kLeaving };
  NoticeRecord probed = RecordOf("a", std::nullopt);
  CHECK(Recall(probed, remembered));
  SetIncarnation(probed, "a", 200);
  CHECK_FALSE(probed.m_stated.m_notice.m_leaving);
  CHECK_FALSE(Recall(probed, remembered));
  NoticeRecord heard = RecordOf("a", std::nullopt);
  ApplyResponse(heard, kLeaving);
  SetIncarnation(heard, "a", 200);
  CHECK(heard.m_stated.m_notice.m_leaving);
}
