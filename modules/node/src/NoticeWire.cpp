#include "NoticeWire.h"

namespace sequoiastep::node {

namespace {

// Limit of a target that named none.
constexpr double kNoLimit = -1;

} // namespace

std::unique_ptr<wire::TargetNoticeT>
ToWire(const routing::StatedNotice& aStated)
{
  auto notice = std::make_unique<wire::TargetNoticeT>();
  notice->id = aStated.m_id;
  notice->born_ms = aStated.m_bornMs;
  notice->per_second = aStated.m_notice.m_perSecond.value_or(kNoLimit);
  notice->leaving = aStated.m_notice.m_leaving;
  return notice;
}

routing::StatedNotice
FromWire(const wire::TargetNoticeT& aNotice)
{
  routing::StatedNotice stated{ .m_id = aNotice.id, .m_bornMs = aNotice.born_ms };
  stated.m_notice.m_leaving = aNotice.leaving;
  if (aNotice.per_second >= 0) {
    stated.m_notice.m_perSecond = aNotice.per_second;
  }
  return stated;
}

} // namespace sequoiastep::node
