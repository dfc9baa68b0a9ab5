/// @file
/// Which targets of a service may get requests, by their version and the service's rollout.
#pragma once

#include "Clock.h"
#include "Picker.h"
#include "RolloutTable.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiastep::rollout {

/// Versions without an order are held back for this long, since the order may be on its way.
constexpr Milliseconds kUnorderedHoldMs = 5000;

/// The established version is chosen anew from the targets for this long after it was first chosen,
/// since a node that has just started may not know all targets yet.
constexpr Milliseconds kEstablishMs = 2000;

/// What a node knows of the versions of one service.
struct VersionHistory
{
  /// Version that may get all requests; empty before the first target was seen.
  std::string m_established;
  /// When targets of other versions that no order names were first seen.
  std::map<std::string, Instant, std::less<>> m_unorderedSince;
  /// Versions that were rolled back. An order that names one again removes it.
  std::set<std::string, std::less<>> m_barred;
  /// Versions that a completed rollout replaced, and since when. Their targets are being stopped.
  std::map<std::string, Instant, std::less<>> m_retired;
  /// m_established was chosen, at m_chosenAt; it may be empty, for targets that report no version.
  bool m_known = false;
  Instant m_chosenAt;
  /// Since when no target of the established version is there.
  std::optional<Instant> m_absentSince;
  /// Rollout whose final phase is accounted for above.
  OrderId m_settledOrder;
  RolloutPhase m_settledPhase = RolloutPhase::Trial;
};

/// The targets of one service by use.
struct VersionedCandidates
{
  /// Targets for any request.
  std::vector<routing::Candidate> m_regular;
  /// Targets for the requests of a trial: few enough that the share of requests that they get
  /// loads them a little more than the regular ones. Where it would load less than two, two take
  /// turns; see m_reviewAt.
  std::vector<routing::Candidate> m_trial;
  /// When the split has to be made again; not set if only changes of its inputs matter.
  std::optional<Instant> m_reviewAt;
};

/// Splits the targets of a service and updates what is known of its versions.
///
/// A service is not left without a regular target while there is a choice. If no target of an
/// allowed version is there, the first of these takes its place:
/// 1. while requests shift to the new version, and later than kUnorderedHoldMs after it was
///    completed, targets of the old version;
/// 2. targets of the version on trial, if no old version is known, or none of its targets was there
///    for kUnorderedHoldMs, or the deadline has passed;
/// 3. targets of a version without an order, at once.
/// A version that was rolled back is never used.
/// @param aRollout the service's rollout; null if there is none.
/// @param aShare largest share of the service's requests that a trial may get.
VersionedCandidates
SplitByVersion(std::vector<routing::Candidate> aCandidates,
               const Rollout* aRollout,
               VersionHistory& aHistory,
               double aShare,
               Instant aNow);

} // namespace sequoiastep::rollout
