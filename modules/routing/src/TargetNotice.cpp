#include "TargetNotice.h"

#include <utility>

namespace sequoiastep::routing {

void
SetIncarnation(NoticeRecord& aRecord, const std::string& aId, std::int64_t aBornMs)
{
  StatedNotice& stated = aRecord.m_stated;
  // After a health check the start time is not known until the first report. What was recalled
  // meanwhile may be of an earlier incarnation with the same id.
  const bool completed = stated.m_bornMs == 0 && aRecord.m_heard;
  if (aId != stated.m_id || (aBornMs != stated.m_bornMs && !completed)) {
    aRecord = {};
  }
  stated.m_id = aId;
  stated.m_bornMs = aBornMs;
}

bool
ApplyResponse(NoticeRecord& aRecord, const TargetNotice& aNotice)
{
  aRecord.m_heard = true;
  TargetNotice newest = aNotice;
  newest.m_leaving = newest.m_leaving || aRecord.m_stated.m_notice.m_leaving;
  return std::exchange(aRecord.m_stated.m_notice, newest) != newest;
}

bool
Recall(NoticeRecord& aRecord, const StatedNotice& aRemembered)
{
  const StatedNotice& stated = aRecord.m_stated;
  const bool same = !stated.m_id.empty() && aRemembered.m_id == stated.m_id &&
                    (aRemembered.m_bornMs == stated.m_bornMs || stated.m_bornMs == 0);
  if (aRecord.m_heard || !same || aRemembered.m_notice == stated.m_notice) {
    return false;
  }
  aRecord.m_stated.m_notice = aRemembered.m_notice;
  return true;
}

} // namespace sequoiastep::routing
