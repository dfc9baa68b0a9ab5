#include "NoticeWire.h"

#include "RequestLimit.h"
#include "StartTime.h"

namespace sequoiastep::node {

std::unique_ptr<wire::TargetNoticeT>
ToWire(const routing::StatedNotice& aStated)
{
  auto notice = std::make_unique<wire::TargetNoticeT>();
  notice->id = aStated.m_id;
  notice->born_ms = wire::EncodeStartTime(aStated.m_bornMs);
  notice->per_second = wire::EncodeLimit(aStated.m_notice.m_perSecond);
  notice->leaving = aStated.m_notice.m_leaving;
  return notice;
}

routing::StatedNotice
FromWire(const wire::TargetNoticeT& aNotice)
{
  return { .m_id = aNotice.id,
           .m_bornMs = wire::DecodeStartTime(aNotice.born_ms),
           .m_notice = { .m_perSecond = wire::DecodeLimit(aNotice.per_second),
                         .m_leaving = aNotice.leaving } };
}

} // namespace sequoiastep::node
