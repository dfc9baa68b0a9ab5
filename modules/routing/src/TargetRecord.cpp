#include "TargetRecord.h"

#include <algorithm>
#include <utility>

namespace sequoiastep::routing {

namespace {

// More than a host's targets that can leave while late reports of them may come.
constexpr std::size_t kMaxDepartures = 8;

bool
IsSameState(const TargetReport& aLeft, const TargetReport& aRight)
{
  return aLeft.m_service == aRight.m_service && aLeft.m_address == aRight.m_address &&
         aLeft.m_slots == aRight.m_slots && aLeft.m_leaving == aRight.m_leaving &&
         aLeft.m_version == aRight.m_version && (aLeft.m_warmUpMs == 0) == (aRight.m_warmUpMs == 0);
}

// An id whose start time is not known on one side is taken for the same incarnation.
bool
IsSameIncarnation(const TargetReport& aLeft, const TargetReport& aRight)
{
  const bool bothKnown = aLeft.m_bornMs && aRight.m_bornMs;
  return aLeft.m_id == aRight.m_id && (!bothKnown || aLeft.m_bornMs == aRight.m_bornMs);
}

// Without the start times of both, reports under the id of a target that left are its late ones for
// a while, but for the first report of an incarnation.
bool
IsOfDeparted(const RecordedDeparture& aLeft, const TargetReport& aReport, Instant aNow)
{
  if (aReport.m_id != aLeft.m_departure.m_id) {
    return false;
  }
  if (aLeft.m_departure.m_bornMs && aReport.m_bornMs) {
    return *aReport.m_bornMs <= *aLeft.m_departure.m_bornMs;
  }
  return aReport.m_sequence != 1 && aNow - aLeft.m_at < kLateReportMs;
}

bool
HasLeft(const TargetRecord& aRecord, const TargetReport& aReport, Instant aNow)
{
  return std::any_of(
    aRecord.m_departures.begin(), aRecord.m_departures.end(), [&](const RecordedDeparture& aLeft) {
      return IsOfDeparted(aLeft, aReport, aNow);
    });
}

// Start times come from clocks that may jump, so a silent target is replaced by another id in any
// case.
bool
Replaces(const TargetRecord& aRecord, const TargetReport& aReport, Instant aNow)
{
  const TargetReport& newest = *aRecord.m_newest;
  const bool otherId = aReport.m_id != newest.m_id;
  if (otherId && aNow - aRecord.m_heardAt >= kSilentTargetMs) {
    return true;
  }
  if (newest.m_bornMs && aReport.m_bornMs) {
    return *aReport.m_bornMs > *newest.m_bornMs || (otherId && aReport.m_bornMs == newest.m_bornMs);
  }
  return otherId && !newest.m_bornMs;
}

void
AddDeparture(TargetRecord& aRecord, const Departure& aDeparture, Instant aNow)
{
  std::vector<RecordedDeparture>& departures = aRecord.m_departures;
  std::erase_if(departures, [&](const RecordedDeparture& aKnown) {
    return aKnown.m_departure.m_id == aDeparture.m_id &&
           (!aKnown.m_departure.m_bornMs || aKnown.m_departure.m_bornMs == aDeparture.m_bornMs);
  });
  departures.push_back({ .m_departure = aDeparture, .m_at = aNow });
  if (departures.size() > kMaxDepartures) {
    departures.erase(departures.begin());
  }
}

bool
IsRecorded(const TargetRecord& aRecord, const Departure& aDeparture)
{
  return std::any_of(
    aRecord.m_departures.begin(), aRecord.m_departures.end(), [&](const RecordedDeparture& aLeft) {
      return aLeft.m_departure == aDeparture;
    });
}

// Once a report under the id is accepted, departures without a start time are of earlier
// incarnations, whose reports its own start time outdates.
void
ForgetUndated(TargetRecord& aRecord, const std::string& aId)
{
  std::erase_if(aRecord.m_departures, [&](const RecordedDeparture& aLeft) {
    return aLeft.m_departure.m_id == aId && !aLeft.m_departure.m_bornMs;
  });
}

// While reports that were sent to the process before this one may come, a target that is not known
// yet may have left. Its first report comes long before that.
bool
NeedsConfirmation(const TargetRecord& aRecord, const TargetReport& aReport, Instant aNow)
{
  return !aRecord.m_newest && !aRecord.m_departuresRecalled && !aReport.m_leaving &&
         !aReport.m_id.empty() && aReport.m_sequence > 1 &&
         aNow - aRecord.m_startedAt < kLateReportMs;
}

ReportOutcome
ApplyConfirmed(TargetRecord& aRecord, const TargetReport& aReport, Instant aNow)
{
  if (aRecord.m_newest && IsSameIncarnation(*aRecord.m_newest, aReport)) {
    const bool completed = !aRecord.m_newest->m_bornMs && aReport.m_bornMs;
    if (!completed && aReport.m_sequence <= aRecord.m_newest->m_sequence) {
      return ReportOutcome::Outdated;
    }
    ForgetUndated(aRecord, aReport.m_id);
    const bool same = IsSameState(*aRecord.m_newest, aReport);
    const std::optional<std::int64_t> knownBornMs = aRecord.m_newest->m_bornMs;
    aRecord.m_newest = aReport;
    aRecord.m_newest->m_bornMs = aReport.m_bornMs ? aReport.m_bornMs : knownBornMs;
    aRecord.m_heardAt = aNow;
    return same && !completed ? ReportOutcome::Same : ReportOutcome::Changed;
  }
  if (aRecord.m_newest && !Replaces(aRecord, aReport, aNow)) {
    return ReportOutcome::Outdated;
  }
  ForgetUndated(aRecord, aReport.m_id);
  aRecord.m_newest = aReport;
  aRecord.m_heardAt = aNow;
  return ReportOutcome::NewTarget;
}

} // namespace

ReportOutcome
ApplyReport(TargetRecord& aRecord, const TargetReport& aReport, Instant aNow)
{
  if (!aReport.m_leaving && HasLeft(aRecord, aReport, aNow)) {
    return ReportOutcome::Outdated;
  }
  if (NeedsConfirmation(aRecord, aReport, aNow)) {
    if (!aRecord.m_unconfirmed || aReport.m_sequence > aRecord.m_unconfirmed->m_sequence) {
      aRecord.m_unconfirmed = aReport;
    }
    return ReportOutcome::Unconfirmed;
  }
  const ReportOutcome outcome = ApplyConfirmed(aRecord, aReport, aNow);
  if (outcome != ReportOutcome::Outdated && aReport.m_leaving && !aReport.m_id.empty()) {
    AddDeparture(aRecord, { .m_id = aReport.m_id, .m_bornMs = aRecord.m_newest->m_bornMs }, aNow);
  }
  return outcome;
}

ReportOutcome
ApplyProbe(TargetRecord& aRecord, const TargetReport& aProbed, Instant aNow)
{
  if (aRecord.m_newest) {
    return ReportOutcome::Outdated;
  }
  const std::optional<TargetReport> held = std::exchange(aRecord.m_unconfirmed, std::nullopt);
  ReportOutcome outcome = ApplyReport(aRecord, aProbed, aNow);
  if (outcome != ReportOutcome::Outdated && held && held->m_id == aProbed.m_id) {
    ApplyReport(aRecord, *held, aNow);
  }
  return outcome;
}

bool
RecordLeave(TargetRecord& aRecord, const Departure& aDeparture, Instant aNow)
{
  TargetReport* const newest = aRecord.m_newest ? &*aRecord.m_newest : nullptr;
  const bool bothKnown = newest != nullptr && newest->m_bornMs && aDeparture.m_bornMs;
  const bool known = newest != nullptr && newest->m_id == aDeparture.m_id &&
                     (!bothKnown || *aDeparture.m_bornMs >= *newest->m_bornMs);
  Departure departure = aDeparture;
  if (known) {
    newest->m_leaving = true;
    // What the target states counts, since the record may not know the start time.
    departure.m_bornMs = departure.m_bornMs ? departure.m_bornMs : newest->m_bornMs;
    newest->m_bornMs = departure.m_bornMs;
  }
  AddDeparture(aRecord, departure, aNow);
  return known;
}

bool
RecallDepartures(TargetRecord& aRecord,
                 const std::vector<Departure>& aDepartures,
                 bool aComplete,
                 Instant aNow)
{
  bool changed = false;
  for (const Departure& departure : aDepartures) {
    if (IsRecorded(aRecord, departure)) {
      continue;
    }
    AddDeparture(aRecord, departure, aNow);
    // Without both start times the known target may be a later incarnation.
    TargetReport* const newest = aRecord.m_newest ? &*aRecord.m_newest : nullptr;
    if (newest != nullptr && newest->m_bornMs && departure.m_bornMs && !newest->m_leaving &&
        IsOfDeparted(aRecord.m_departures.back(), *newest, aNow)) {
      newest->m_leaving = true;
      changed = true;
    }
  }
  aRecord.m_departuresRecalled = aRecord.m_departuresRecalled || aComplete;
  if (aRecord.m_departuresRecalled && aRecord.m_unconfirmed) {
    const TargetReport held = *std::exchange(aRecord.m_unconfirmed, std::nullopt);
    const ReportOutcome outcome = ApplyReport(aRecord, held, aNow);
    changed = changed || outcome == ReportOutcome::NewTarget;
  }
  return changed;
}

} // namespace sequoiastep::routing
