/// @file
/// Picks the target for a call by its estimated cost: round-trip time, queueing delay, the target's
/// speed, and the transfer cost of the bytes between failure domains and regions. It relies only on
/// what was observed on calls.
///
/// Reports of a target's load are old when they are used, and others send to it meanwhile. So the
/// load is taken to go from the latest report back to the target's usual load, within the time of a
/// run. Load that this answers (BalanceTest): 90 nodes, 46 targets of 6 slots at 0.8 of their
/// capacity, reports 75 ms old in the median and 255 ms at the ninth decile. Taken to run empty
/// after its latest report, each target looked idle to most nodes, and 0.56 handovers per request
/// were refused.
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

/// Location of a target relative to this node.
enum class Locality : std::uint8_t
{
  OwnDomain,
  OwnRegion,
  OtherRegion,
};

/// @return the name of aLocality in logs and metrics.
std::string_view
NameOf(Locality aLocality);

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
  /// Another node suspects that it failed; it is tried only after the others.
  bool m_suspect = false;
  /// Requests per second that it accepts from all nodes together; none if it named no limit.
  std::optional<double> m_perSecond;
  /// Software version of the target; empty if it reported none.
  std::string m_version;
};

/// Load of a target, which the node beside it sends with each answer.
struct LoadReport
{
  /// Requests of all callers that it had, queued ones included.
  std::uint32_t m_load = 0;
  /// Average time that a request runs there, in microseconds; 0 if not known.
  std::uint32_t m_serviceUs = 0;
  /// Time until the limit that the target named lets one more request pass; 0 if at once.
  Milliseconds m_rateWaitMs = 0;
  /// Time until the bodies that its node is receiving are complete.
  Milliseconds m_bodyWaitMs = 0;
};

/// What this node observed of one target on its own calls.
struct TargetStats
{
  /// Calls of this node that are in flight to it.
  std::uint32_t m_outstanding = 0;
  /// LoadReport::m_load of the latest report, which came at m_reportedAt.
  std::uint32_t m_reportedLoad = 0;
  Instant m_reportedAt;
  /// Moving average over time of m_reportedLoad, and the reports in a row that it is made of.
  double m_usualLoad = 0;
  std::uint32_t m_reportsInRow = 0;
  /// m_outstanding when the report came.
  std::uint32_t m_outstandingAtReport = 0;
  /// Average run time of the latest report that had one, in microseconds; 0 before the first.
  double m_serviceUs = 0;
  /// Moving average of run time at the target over the average of the same route at all targets.
  double m_slowness = 1;
  /// Moving average of the latency, in microseconds; 0 before the first answer.
  double m_latencyUs = 0;
  /// Moving average of the round-trip time, which excludes the time that the node beside the target
  /// had the call, in microseconds; 0 before the first answer.
  double m_rttUs = 0;
  /// Before this instant the limit that the target named probably lets no request pass.
  Instant m_rateLimitedUntil;
  /// When the bodies that its node was receiving are probably complete.
  Instant m_bodiesUntil;
  /// Refusals for that limit since the last answer.
  std::uint32_t m_rateRefusals = 0;
  /// Failures since the last answer.
  std::uint32_t m_failures = 0;
  /// Backoff: it gets no call before this instant, unless too few other targets are trusted.
  Instant m_avoidUntil;
  /// When m_avoidUntil was set. A target that came up later is a new one and is not avoided.
  Instant m_avoidedAt;
};

/// Stats of all targets that this node has called.
struct PickState
{
  std::map<std::string, TargetStats, std::less<>> m_targets;
};

/// Cost of transferred bytes, as the added latency that is accepted to avoid the transfer.
struct TransferCosts
{
  double m_crossDomainMsPerKb = 4;
  double m_crossRegionMsPerKb = 15;
};

/// Origin, constraints and expected size of a call.
struct PickRequest
{
  std::string_view m_region;
  std::string_view m_failureDomain;
  bool m_crossRegion = true;
  /// Nodes that were already tried for this call.
  const std::set<std::string, std::less<>>* m_tried = nullptr;
  /// Expected size of request and answer together.
  double m_kilobytes = 1;
  /// Its body has to wait until the target's node has received those of others.
  bool m_largeBody = false;
  /// Average run time of the route's requests over all targets, in microseconds; 0 if not known.
  double m_routeAverageUs = 0;
  TransferCosts m_transferCosts;
  /// Time left of the latency objective. Latency well within it adds little to a target's cost, so
  /// that transfer costs weigh more.
  Milliseconds m_objectiveMs = 0;
};

/// Panic threshold: below this share of trusted targets, all targets are tried.
constexpr double kMinTrustedShare = 0.34;

/// @return the location of aCandidate relative to the given origin of a call.
Locality
LocalityOf(const Candidate& aCandidate, std::string_view aRegion, std::string_view aFailureDomain);

/// The candidate to call.
struct PickedTarget
{
  std::size_t m_index = 0;
  /// Expected wait for a slot there, in milliseconds. At a target that has not reported its load
  /// lately it is longer the more others are busy.
  double m_waitMs = 0;
};

/// @return the candidate to call, or nothing if there is none.
std::optional<PickedTarget>
Pick(const std::vector<Candidate>& aCandidates,
     const PickState& aState,
     const PickRequest& aRequest,
     Instant aNow,
     Random& aRandom);

/// @return the estimated time that a call would wait there for a slot, in milliseconds.
double
PredictedWaitMs(const Candidate& aCandidate, const TargetStats& aStats, Instant aNow);

/// @return the share, above 0 and up to 1, of its slots that a target may use while it warms up.
double
WarmUpShare(const Candidate& aCandidate, Instant aNow);

/// @return the stats of aNode's target, or null if this node never called it.
const TargetStats*
FindStats(const PickState& aState, std::string_view aNode);

/// Records that a call is sent to aNode.
void
RecordDispatch(PickState& aState, std::string_view aNode);

/// Times of an answered call, in microseconds.
struct AnswerTimes
{
  /// Total, as seen by this node.
  std::int64_t m_latencyUs = 0;
  /// Part of m_latencyUs that the node beside the target had the call.
  std::int64_t m_heldUs = 0;
  /// Part of m_latencyUs that the target had the request; 0 if not known.
  std::int64_t m_ranUs = 0;
  /// Average run time of its route's requests over all targets; 0 if not known.
  double m_routeAverageUs = 0;
};

/// Records that a call to aNode was answered; ends its backoff.
void
RecordAnswer(PickState& aState,
             std::string_view aNode,
             const AnswerTimes& aTimes,
             const LoadReport& aReport,
             Instant aNow);

/// Records that aNode could not be reached or failed. It is avoided with exponential backoff and
/// jitter.
void
RecordFailure(PickState& aState, std::string_view aNode, Instant aNow, Random& aRandom);

/// Records that the node beside a target fell silent during a call that goes on: the target is
/// avoided for a while, as after a failure.
void
RecordUnresponsive(PickState& aState, std::string_view aNode, Instant aNow, Random& aRandom);

/// Records that aNode refused a call because its target is full or at the limit that it named. It
/// is not avoided for that, but the wait for the limit is taken to be longer after each refusal,
/// since other nodes compete for it.
void
RecordOverload(PickState& aState,
               std::string_view aNode,
               const LoadReport& aReport,
               Instant aNow,
               Random& aRandom);

/// Records that a call ended without an observation of the target, for example because its caller
/// left.
void
RecordAbandoned(PickState& aState, std::string_view aNode);

} // namespace sequoiastep::routing
