/// @file
/// What the target beside a node last said of itself, and which of its reports to believe: they may
/// come late, out of order, from an earlier incarnation or from another writer.
#pragma once

#include "Clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sequoiastep::routing {

/// One report of a target.
struct TargetReport
{
  /// Names one incarnation; requests name it, so that no other one takes them. May be empty.
  std::string m_id;
  /// When the incarnation started, by its own clock in Unix milliseconds.
  std::int64_t m_bornMs = 0;
  /// Rises with each report of an incarnation.
  std::uint64_t m_sequence = 0;
  std::string m_service;
  std::string m_address;
  std::uint16_t m_slots = 1;
  /// How much longer it is slow after its start.
  std::uint32_t m_warmUpMs = 0;
  /// It takes no new work from now on.
  bool m_leaving = false;
};

/// What is believed of the target.
struct TargetRecord
{
  std::optional<TargetReport> m_newest;
  Instant m_heardAt;
  /// Incarnation that left, and whose late reports name no target.
  std::string m_leftId;
  std::int64_t m_leftBornMs = 0;
};

/// What became of a report.
enum class ReportVerdict
{
  /// Of an incarnation not known before.
  NewTarget,
  /// Of the known one, and it says something new.
  Changed,
  /// Of the known one, which is as before.
  Same,
  /// Late or of an earlier incarnation: nothing is believed of it.
  Outdated,
};

/// Silence after which another incarnation is believed even if its clock says that it is older.
constexpr Milliseconds kSilentTargetMs = 4000;

/// Takes a report.
ReportVerdict
TakeReport(TargetRecord& aRecord, const TargetReport& aReport, Instant aNow);

/// Notes that the incarnation aId says it leaves.
/// @return true if it is the one believed in.
bool
TakeLeave(TargetRecord& aRecord, const std::string& aId, std::optional<std::int64_t> aBornMs);

} // namespace sequoiastep::routing
