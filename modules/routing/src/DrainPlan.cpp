#include "DrainPlan.h"

#include <algorithm>

namespace sequoiastep::routing {

namespace {

// Shares of the total time. The rest after each is for the answers, their delivery and the exit.
constexpr double kAnswerShare = 0.93;
constexpr double kCloseShare = 0.95;
// Time for an answer's way between two nodes, at most this share of the total.
constexpr Milliseconds kAnswerWayMs = 100;
constexpr Milliseconds kAnswerWayDivisor = 20;

Instant
After(Instant aStart, double aShare, Milliseconds aTotalMs)
{
  return aStart + static_cast<Milliseconds>(aShare * static_cast<double>(aTotalMs));
}

} // namespace

DrainPlan
PlanDrain(Instant aStart, const DrainTimings& aTimings)
{
  DrainPlan plan;
  plan.m_announceAt = aStart + aTimings.m_announceAfterMs;
  plan.m_refuseCallsAt = plan.m_announceAt + aTimings.m_noticeMs;
  plan.m_refuseCallersAt = aStart + aTimings.m_callerNoticeMs;
  plan.m_answerBy = After(aStart, kAnswerShare, aTimings.m_totalMs);
  plan.m_lastEnd =
    plan.m_answerBy + -std::min(kAnswerWayMs, aTimings.m_totalMs / kAnswerWayDivisor);
  plan.m_closeBy = After(aStart, kCloseShare, aTimings.m_totalMs);
  return plan;
}

Milliseconds
RetryAfterInDrain(const DrainPlan& aPlan, Milliseconds aUsualMs, Instant aNow)
{
  const bool isTaken = aNow + aUsualMs < aPlan.m_refuseCallersAt;
  return isTaken ? aUsualMs : std::max(aUsualMs, aPlan.m_closeBy - aNow);
}

} // namespace sequoiastep::routing
