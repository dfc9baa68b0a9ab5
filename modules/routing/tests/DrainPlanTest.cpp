#include "DrainPlan.h"

#include <doctest/doctest.h>
#include <initializer_list>

using namespace sequoiastep;
using namespace sequoiastep::routing;

namespace {

constexpr Instant kStart{ 1'000'000 };
constexpr DrainTimings kTimings{ .m_announceAfterMs = 2300,
                                 .m_noticeMs = 300,
                                 .m_callerNoticeMs = 2600,
                                 .m_totalMs = 6000 };

} // namespace

TEST_CASE("a stop's steps are in order and end before its time")
{
  for (const Milliseconds totalMs : { 100, 1000, 6000, 600'000 }) {
    DrainTimings timings = kTimings;
    timings.m_totalMs = totalMs;
    const DrainPlan plan = PlanDrain(kStart, timings);
    CHECK(plan.m_announceAt <= plan.m_refuseCallsAt);
    CHECK(plan.m_lastEnd < plan.m_answerBy);
    CHECK(plan.m_answerBy < plan.m_closeBy);
    CHECK(plan.m_closeBy < kStart + totalMs);
    CHECK(plan.m_lastEnd > kStart);
  }
}

TEST_CASE("a caller is told to come back while the node takes callers, or when it has stopped")
{
  const DrainPlan plan = PlanDrain(kStart, kTimings);
  CHECK(RetryAfterInDrain(plan, 300, kStart + 1000) == 300);
  const Instant late = kStart + 2500;
  CHECK(late + RetryAfterInDrain(plan, 300, late) == plan.m_closeBy);
  CHECK(RetryAfterInDrain(plan, 300, plan.m_closeBy) == 300);
}
