/// @file
/// Latest accepted state of the target beside a node, and the rules to accept its reports: they may
/// come late, out of order, from an earlier incarnation or from another sender.
#pragma once

#include "Clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sequoiastep::routing {

/// One report of a target.
struct TargetReport
{
  /// Id of one incarnation. Requests carry it, so that no other incarnation accepts them. May be
  /// empty.
  std::string m_id;
  /// When the incarnation started, by its own clock in Unix milliseconds.
  std::int64_t m_bornMs = 0;
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

/// State of the target as of the accepted reports.
struct TargetRecord
{
  /// Latest accepted report.
  std::optional<TargetReport> m_newest;
  /// When m_newest came.
  Instant m_heardAt;
  /// Incarnation that left; its late reports are ignored.
  std::string m_leftId;
  /// Its start time; none if it left without stating it.
  std::optional<std::int64_t> m_leftBornMs;
  /// When it left.
  Instant m_leftAt;
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

/// Records that the incarnation aId announced that it leaves.
/// @param aBornMs its start time if it stated it.
/// @return true if it is the one of the latest accepted report.
bool
RecordLeave(TargetRecord& aRecord,
            const std::string& aId,
            std::optional<std::int64_t> aBornMs,
            Instant aNow);

} // namespace sequoiastep::routing
