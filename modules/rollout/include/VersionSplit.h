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

/// What a node knows of the versions of one service.
struct VersionHistory
{
  /// Version that may get all requests; empty before the first target was seen.
  std::string m_established;
  /// When targets of other versions that no order names were first seen.
  std::map<std::string, Instant, std::less<>> m_unorderedSince;
  /// Versions that were rolled back. An order that names one again removes it.
  std::set<std::string, std::less<>> m_barred;
};

/// The targets of one service by use.
struct VersionedCandidates
{
  /// Targets for any request.
  std::vector<routing::Candidate> m_regular;
  /// Targets for the requests of a trial: few enough that the share of requests that they get
  /// loads them like the regular ones.
  std::vector<routing::Candidate> m_trial;
  /// When the split has to be made again; not set if only changes of its inputs matter.
  std::optional<Instant> m_reviewAt;
};

/// Splits the targets of a service and updates what is known of its versions.
/// @param aRollout the service's rollout; null if there is none.
/// @param aShare largest share of the service's requests that a trial may get.
VersionedCandidates
SplitByVersion(std::vector<routing::Candidate> aCandidates,
               const Rollout* aRollout,
               VersionHistory& aHistory,
               double aShare,
               Instant aNow);

} // namespace sequoiastep::rollout
