/// @file
/// Picks the target for a call by what it will probably cost: the way there and back, the wait, the
/// target's speed, and the price of the answer's bytes between failure domains and regions. It
/// trusts only what calls have shown.
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

/// Where a target lies as seen from this node.
enum class Place : std::uint8_t
{
  OwnDomain,
  OwnRegion,
  OtherRegion,
};

/// @return the name of aPlace in logs and metrics.
std::string_view
NameOf(Place aPlace);

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

/// What the node beside a target tells with each answer.
struct LoadReport
{
  /// Requests that it had, waiting ones included, over all callers.
  std::uint32_t m_load = 0;
  /// How long a request runs there, in microseconds; 0 if it does not know.
  std::uint32_t m_serviceUs = 0;
};

/// What this node's own calls have shown of one target.
struct TargetStats
{
  /// Calls of this node that wait for its answer.
  std::uint32_t m_outstanding = 0;
  /// The latest report.
  std::uint32_t m_reported = 0;
  Instant m_reportedAt;
  /// m_outstanding at the report.
  std::uint32_t m_outstandingThen = 0;
  double m_serviceUs = 0;
  /// How much longer than elsewhere requests of the same routes take at the target.
  double m_slowness = 1;
  /// Moving average of the latency, in microseconds; 0 before the first answer.
  double m_latencyUs = 0;
  /// Moving average of the way there and back, in microseconds; 0 before the first answer.
  double m_wayUs = 0;
  std::uint32_t m_failures = 0;
  /// It gets no call before this instant, unless there is no other.
  Instant m_avoidUntil;
  /// When m_avoidUntil was set. A target that came up later is another one.
  Instant m_avoidedAt;
};

/// Stats of all targets that this node has called.
struct PickState
{
  std::map<std::string, TargetStats, std::less<>> m_targets;
};

/// What bytes cost, as time that callers would rather wait.
struct BytePrices
{
  double m_crossDomainMsPerKb = 4;
  double m_crossRegionMsPerKb = 15;
};

/// Where the call starts and what it must avoid.
struct PickRequest
{
  std::string_view m_region;
  std::string_view m_failureDomain;
  bool m_crossRegion = true;
  /// Nodes that were already tried for this call.
  const std::set<std::string, std::less<>>* m_tried = nullptr;
  /// Bytes that probably travel, request and answer.
  double m_kilobytes = 1;
  /// How long requests of this route usually run, in microseconds; 0 if not known.
  double m_usualUs = 0;
  BytePrices m_prices;
  /// What is left of the latency objective. An answer well within it is hardly worth a longer way.
  Milliseconds m_objectiveMs = 0;
};

/// Below this share of trusted targets, distrust is set aside and all are tried.
constexpr double kLeastTrustedShare = 0.34;

/// @return where aCandidate lies as seen from the call's start.
Place
PlaceOf(const Candidate& aCandidate, std::string_view aRegion, std::string_view aFailureDomain);

/// @return the index of the candidate to call, or nothing if there is none.
std::optional<std::size_t>
Pick(const std::vector<Candidate>& aCandidates,
     const PickState& aState,
     const PickRequest& aRequest,
     Instant aNow,
     Random& aRandom);

/// @return how long a call would probably wait there for a slot, in milliseconds.
double
PredictedWaitMs(const Candidate& aCandidate, const TargetStats& aStats, Instant aNow);

/// @return the share, above 0 and up to 1, of its slots that a target may use while it warms up.
double
RampShare(const Candidate& aCandidate, Instant aNow);

/// @return what is known of aNode, or null.
const TargetStats*
FindStats(const PickState& aState, std::string_view aNode);

/// Notes that a call goes to aNode.
void
NoteDispatch(PickState& aState, std::string_view aNode);

/// How long a call took that was answered, in microseconds.
struct AnswerTimes
{
  /// In all.
  std::int64_t m_latencyUs = 0;
  /// How long of it the node beside the target had the call.
  std::int64_t m_heldUs = 0;
  /// How long of it the target had the request; 0 if not known.
  std::int64_t m_ranUs = 0;
  /// How long requests of its route usually run, over all targets; 0 if not known.
  double m_usualUs = 0;
};

/// Notes that a call to aNode was answered.
void
NoteAnswer(PickState& aState,
           std::string_view aNode,
           const AnswerTimes& aTimes,
           const LoadReport& aReport,
           Instant aNow);

/// Notes that aNode could not be reached or failed; it is avoided for a growing while.
void
NoteFailure(PickState& aState, std::string_view aNode, Instant aNow, Random& aRandom);

/// Notes that aNode refused a call because it is full.
void
NoteOverload(PickState& aState, std::string_view aNode, const LoadReport& aReport, Instant aNow);

/// Notes that a call ended without telling anything of the target, as when its caller left.
void
NoteAbandoned(PickState& aState, std::string_view aNode);

} // namespace sequoiastep::routing
