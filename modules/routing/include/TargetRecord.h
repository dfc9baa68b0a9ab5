/// @file
/// Latest accepted state of the target beside a node, and the rules to accept its reports: they may
/// come late, out of order, from an earlier incarnation or from another sender.
#pragma once

#include "Clock.h"

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
};

/// The leaving of an incarnation. It is final: later reports of it can't take it back.
struct Departure
{
  /// The target's id.
  std::string m_id;
  /// The incarnation's start time; none if it left without stating it.
  std::optional<std::int64_t> m_bornMs;
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
};

/// After this long without a report, another id is accepted even if its start time is earlier.
constexpr Milliseconds kSilentTargetMs = 4000;

/// Reports may be this late.
constexpr Milliseconds kLateReportMs = 10'000;

/// Applies a report if it is not outdated.
ReportOutcome
ApplyReport(TargetRecord& aRecord, const TargetReport& aReport, Instant aNow);

/// Records that an incarnation leaves.
/// @return true if it is the one of the latest accepted report.
bool
RecordLeave(TargetRecord& aRecord, const Departure& aDeparture, Instant aNow);

} // namespace sequoiastep::routing
