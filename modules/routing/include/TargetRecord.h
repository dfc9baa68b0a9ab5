/// @file
/// Latest accepted state of the target beside a node, and the rules to accept its reports: they may
/// come late, out of order, from an earlier incarnation or from another sender.
#pragma once

#include "Clock.h"
#include "Departure.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastep::routing {

/// One report of a target.
struct TargetReport
{
  /// Id of one incarnation. Requests carry it, so that no other incarnation accepts them. May be
  /// empty.
  std::string m_id;
  /// When the incarnation started, by its own clock in Unix milliseconds; none if it is not known,
  /// as after a health check.
  std::optional<std::int64_t> m_bornMs;
  /// Increases with each report of an incarnation.
  std::uint64_t m_sequence = 0;
  std::string m_service;
  std::string m_address;
  std::uint16_t m_slots = 1;
  /// Time left of its warm-up after the start; 0 when it is warm.
  std::uint32_t m_warmUpMs = 0;
  /// It accepts no new requests from now on.
  bool m_leaving = false;
  /// Software version; empty if the target reported none.
  std::string m_version;
};

/// A departure and when this node learned of it.
struct RecordedDeparture
{
  Departure m_departure;
  Instant m_at;
};

/// State of the target as of the accepted reports.
struct TargetRecord
{
  /// Latest accepted report.
  std::optional<TargetReport> m_newest;
  /// When m_newest came.
  Instant m_heardAt;
  /// Incarnations that left, oldest first; bounded. Their late reports are ignored.
  std::vector<RecordedDeparture> m_departures;
  /// When this process started.
  Instant m_startedAt;
  /// A node that remembers the process before this one named the departures which that one
  /// acknowledged.
  bool m_departuresRecalled = false;
  /// Latest report that waits for a health check or for another node's memory: it may be a late one
  /// of a target whose leaving the process before this one acknowledged.
  std::optional<TargetReport> m_unconfirmed;
};

/// Result of applying a report.
enum class ReportOutcome
{
  /// Accepted, from a new incarnation.
  NewTarget,
  /// Accepted, from the known incarnation, with a changed state.
  Changed,
  /// Accepted, from the known incarnation, with the same state.
  Same,
  /// Ignored: out of order, or from an earlier incarnation or one that left.
  Outdated,
  /// Held back in m_unconfirmed.
  Unconfirmed,
};

/// After this long without a report, another id is accepted even if its start time is earlier.
constexpr Milliseconds kSilentTargetMs = 4000;

/// Reports may be this late.
constexpr Milliseconds kLateReportMs = 10'000;

/// Applies a report if it is not outdated. The report of a target that is known to be leaving is a
/// departure as well.
ReportOutcome
ApplyReport(TargetRecord& aRecord, const TargetReport& aReport, Instant aNow);

/// Applies what a health check of the target found, and the held back report if it is of the same
/// id. Ignored while a target is known, since its own report is more reliable.
ReportOutcome
ApplyProbe(TargetRecord& aRecord, const TargetReport& aProbed, Instant aNow);

/// Records that an incarnation leaves.
/// @return true if it is the one of the latest accepted report.
bool
RecordLeave(TargetRecord& aRecord, const Departure& aDeparture, Instant aNow);

/// Applies what another node remembers of the targets beside this one.
/// @param aComplete the other node remembers the process before this one, so that it names all
/// departures which that one acknowledged. The held back report is applied if it is of none of
/// them.
/// @return true if the latest accepted report changed.
bool
RecallDepartures(TargetRecord& aRecord,
                 const std::vector<Departure>& aDepartures,
                 bool aComplete,
                 Instant aNow);

} // namespace sequoiastep::routing
