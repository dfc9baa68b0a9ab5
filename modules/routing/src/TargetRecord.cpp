#include "TargetRecord.h"

namespace sequoiastep::routing {

namespace {

bool
IsSameIncarnation(const TargetReport& aLeft, const TargetReport& aRight)
{
  return aLeft.m_id == aRight.m_id && aLeft.m_bornMs == aRight.m_bornMs;
}

bool
IsSameState(const TargetReport& aLeft, const TargetReport& aRight)
{
  return aLeft.m_service == aRight.m_service && aLeft.m_address == aRight.m_address &&
         aLeft.m_slots == aRight.m_slots && aLeft.m_leaving == aRight.m_leaving &&
         (aLeft.m_warmUpMs == 0) == (aRight.m_warmUpMs == 0);
}

// Without the start time of the incarnation that left, reports under its id are its late ones for a
// while, but for the first report of an incarnation.
bool
HasLeft(const TargetRecord& aRecord, const TargetReport& aReport, Instant aNow)
{
  if (aRecord.m_leftId.empty() || aReport.m_id != aRecord.m_leftId) {
    return false;
  }
  if (aRecord.m_leftBornMs) {
    return aReport.m_bornMs <= *aRecord.m_leftBornMs;
  }
  return aReport.m_sequence > 1 && aNow - aRecord.m_leftAt < kLateReportMs;
}

// Start times come from clocks that may jump, so a silent target is replaced by another id in any
// case.
bool
Replaces(const TargetRecord& aRecord, const TargetReport& aReport, Instant aNow)
{
  const TargetReport& newest = *aRecord.m_newest;
  if (aReport.m_bornMs != newest.m_bornMs) {
    const bool silent = aNow - aRecord.m_heardAt >= kSilentTargetMs;
    return aReport.m_bornMs > newest.m_bornMs || (silent && aReport.m_id != newest.m_id);
  }
  return aReport.m_id != newest.m_id;
}

} // namespace

ReportOutcome
ApplyReport(TargetRecord& aRecord, const TargetReport& aReport, Instant aNow)
{
  if (HasLeft(aRecord, aReport, aNow)) {
    return ReportOutcome::Outdated;
  }
  if (aRecord.m_newest && IsSameIncarnation(*aRecord.m_newest, aReport)) {
    if (aReport.m_sequence <= aRecord.m_newest->m_sequence) {
      return ReportOutcome::Outdated;
    }
    const bool same = IsSameState(*aRecord.m_newest, aReport);
    aRecord.m_newest = aReport;
    aRecord.m_heardAt = aNow;
    return same ? ReportOutcome::Same : ReportOutcome::Changed;
  }
  if (aRecord.m_newest && !Replaces(aRecord, aReport, aNow)) {
    return ReportOutcome::Outdated;
  }
  if (!aRecord.m_leftBornMs) {
    aRecord.m_leftId.clear();
  }
  aRecord.m_newest = aReport;
  aRecord.m_heardAt = aNow;
  return ReportOutcome::NewTarget;
}

bool
RecordLeave(TargetRecord& aRecord,
            const std::string& aId,
            std::optional<std::int64_t> aBornMs,
            Instant aNow)
{
  const bool known = aRecord.m_newest && aRecord.m_newest->m_id == aId &&
                     aBornMs.value_or(aRecord.m_newest->m_bornMs) >= aRecord.m_newest->m_bornMs;
  if (known) {
    aRecord.m_newest->m_leaving = true;
    aBornMs = aRecord.m_newest->m_bornMs;
  }
  if (known || !aRecord.m_newest) {
    aRecord.m_leftId = aId;
    aRecord.m_leftBornMs = aBornMs;
    aRecord.m_leftAt = aNow;
  }
  return known;
}

} // namespace sequoiastep::routing
