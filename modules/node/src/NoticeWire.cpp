#include "NoticeWire.h"

#include "RequestLimit.h"

namespace sequoiastep::node {

namespace {

// On the wire 0 stands for a start time that is not known.
constexpr std::int64_t kUnknownBornMs = 0;

} // namespace

std::unique_ptr<wire::TargetNoticeT>
ToWire(const routing::StatedNotice& aStated)
{
  auto notice = std::make_unique<wire::TargetNoticeT>();
  notice->id = aStated.m_id;
  notice->born_ms = aStated.m_bornMs.value_or(kUnknownBornMs);
  notice->per_second = wire::EncodeLimit(aStated.m_notice.m_perSecond);
  notice->leaving = aStated.m_notice.m_leaving;
  return notice;
}

routing::StatedNotice
FromWire(const wire::TargetNoticeT& aNotice)
{
  const bool known = aNotice.born_ms != kUnknownBornMs;
  return { .m_id = aNotice.id,
           .m_bornMs = known ? std::optional(aNotice.born_ms) : std::nullopt,
           .m_notice = { .m_perSecond = wire::DecodeLimit(aNotice.per_second),
                         .m_leaving = aNotice.leaving } };
}

} // namespace sequoiastep::node
