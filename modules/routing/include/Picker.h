/// @file
/// Picks the target for a call: near ones first, spilling by pressure, two random choices, and
/// trust only in what calls have shown.
#pragma once

#include "Clock.h"
#include "Random.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::routing {

/// A node with a target of the service.
struct Candidate
{
  std::string m_node;
  /// Peer address of the node.
  std::string m_address;
  std::string m_region;
  std::string m_failureDomain;
  std::uint16_t m_slots = 1;
  std::uint32_t m_warmUpMs = 0;
  /// When the target was first seen up.
  Instant m_upSince;
  /// Another node accuses it; it is tried only after the others.
  bool m_suspect = false;
};

/// What this node's own calls have shown of one target.
struct TargetStats
{
  /// Calls of this node that wait for its answer.
  std::uint32_t m_outstanding = 0;
  /// Requests it said it had, over all callers, with its latest answer.
  std::uint32_t m_reported = 0;
  Instant m_reportedAt;
  /// Moving average of the latency, in microseconds; 0 before the first answer.
  double m_latencyUs = 0;
  std::uint32_t m_failures = 0;
  /// It gets no call before this instant, unless there is no other.
  Instant m_avoidUntil;
};

/// Stats of all targets that this node has called.
struct PickState
{
  std::map<std::string, TargetStats, std::less<>> m_targets;
};

/// Where the call starts and what it must avoid.
struct PickRequest
{
  std::string_view m_region;
  std::string_view m_failureDomain;
  bool m_crossRegion = true;
  /// Nodes that were already tried for this call.
  const std::set<std::string, std::less<>>* m_tried = nullptr;
};

/// Share of a tier's slots in use above which calls spill to the next tier.
constexpr double kSpillPressure = 0.8;
/// Below this share of trusted targets, distrust is set aside and all are tried.
constexpr double kLeastTrustedShare = 0.34;

/// @return the index of the candidate to call, or nothing if there is none.
std::optional<std::size_t>
Pick(const std::vector<Candidate>& aCandidates,
     const PickState& aState,
     const PickRequest& aRequest,
     Instant aNow,
     Random& aRandom);

/// @return the share, above 0 and up to 1, of its slots that a target may use while it warms up.
double
RampShare(const Candidate& aCandidate, Instant aNow);

/// Notes that a call goes to aNode.
void
NoteDispatch(PickState& aState, std::string_view aNode);

/// Notes that a call to aNode was answered.
/// @param aReported requests that the target had, by its own count.
void
NoteAnswer(PickState& aState,
           std::string_view aNode,
           std::int64_t aLatencyUs,
           std::uint32_t aReported,
           Instant aNow);

/// Notes that aNode could not be reached or failed; it is avoided for a growing while.
void
NoteFailure(PickState& aState, std::string_view aNode, Instant aNow, Random& aRandom);

/// Notes that aNode refused a call because it is full.
void
NoteOverload(PickState& aState, std::string_view aNode, std::uint32_t aReported, Instant aNow);

/// Notes that a call ended without telling anything of the target, as when its caller left.
void
NoteAbandoned(PickState& aState, std::string_view aNode);

} // namespace sequoiastep::routing
