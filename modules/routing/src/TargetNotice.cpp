#include "TargetNotice.h"

#include <cmath>
#include <utility>

namespace sequoiastep::routing {

namespace {

// Smaller changes of a limit are not worth a message to all nodes.
constexpr double kAnnouncedChange = 0.1;
constexpr Milliseconds kAnnounceIntervalMs = 1000;
// Longer than a target that leaves goes on running.
constexpr Milliseconds kRememberMs = 600'000;

} // namespace

void
SetIncarnation(NoticeRecord& aRecord, const std::string& aId, std::optional<std::int64_t> aBornMs)
{
  StatedNotice& stated = aRecord.m_stated;
  // After a health check the start time is not known until the first report. What was recalled
  // meanwhile may be of an earlier incarnation with the same id.
  const bool completed = !stated.m_bornMs && aRecord.m_heard;
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
                    (aRemembered.m_bornMs == stated.m_bornMs || !stated.m_bornMs);
  if (aRecord.m_heard || !same || aRemembered.m_notice == stated.m_notice) {
    return false;
  }
  aRecord.m_stated.m_notice = aRemembered.m_notice;
  return true;
}

void
Remember(NoticeMemory& aMemory, const std::string& aNode, const StatedNotice& aStated, Instant aNow)
{
  if (aStated.m_notice == TargetNotice{}) {
    aMemory.erase(aNode);
  } else {
    aMemory[aNode] = { .m_stated = aStated, .m_statedAt = aNow };
  }
}

void
ForgetOld(NoticeMemory& aMemory, Instant aNow)
{
  std::erase_if(aMemory,
                [&](const auto& aItem) { return aNow - aItem.second.m_statedAt > kRememberMs; });
}

bool
NeedsAnnouncement(const AnnouncedNotice& aAnnounced, const TargetNotice& aNotice, Instant aNow)
{
  const TargetNotice& told = aAnnounced.m_notice;
  if (aNotice.m_leaving != told.m_leaving ||
      aNotice.m_perSecond.has_value() != told.m_perSecond.has_value()) {
    return true;
  }
  return aNotice.m_perSecond && aNow - aAnnounced.m_at >= kAnnounceIntervalMs &&
         std::abs(*aNotice.m_perSecond - *told.m_perSecond) > kAnnouncedChange * *told.m_perSecond;
}

} // namespace sequoiastep::routing
