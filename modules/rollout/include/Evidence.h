/// @file
/// Counts how the target beside a node answered while a rollout of its service runs, and when to
/// send the counts to the judges.
#pragma once

#include "Clock.h"
#include "RolloutTable.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::rollout {

/// Interval between two messages with a target's counts.
constexpr Milliseconds kEvidenceIntervalMs = 500;
/// Shortest interval, for counts with new errors.
constexpr Milliseconds kUrgentEvidenceIntervalMs = 100;
/// Interval for the counts that a verdict waits for: of targets of the new version, and of all
/// targets while requests shift to it.
constexpr Milliseconds kAwaitedEvidenceIntervalMs = 200;

/// Number of run time buckets. The last one has no upper bound; the one before ends at 33 s.
constexpr std::size_t kRunBuckets = 32;
/// Buckets by which the run time doubles: the upper bound of bucket i is 2^(i/2) ms.
constexpr std::size_t kBucketsPerDoubling = 2;

/// Answers by run time.
using RunBuckets = std::array<std::uint32_t, kRunBuckets>;

/// Answers to the requests of one route.
struct RouteCounts
{
  std::uint32_t m_requests = 0;
  std::uint32_t m_errors = 0;
  /// Sum of run times in milliseconds, and of their squares.
  double m_runMs = 0;
  double m_runMsSquared = 0;
  /// Answers without an error by run time.
  RunBuckets m_buckets{};
};

/// @return the bucket of a run time of aRunMs milliseconds.
std::size_t
RunBucketOf(double aRunMs);

/// Counts of the target beside this node since the node learnt of the order.
struct TargetEvidence
{
  OrderId m_order;
  std::string m_version;
  std::map<std::string, RouteCounts, std::less<>> m_routes;
  std::uint64_t m_sequence = 0;
  Instant m_sentAt;
  std::uint32_t m_errorsSent = 0;
};

/// Counts one answer of the target. Starts anew if the order or the version changed.
/// @param aFailed the target answered with a server error that no failed call of its own explains,
/// closed the connection, or had not answered when the request's time was up.
/// @param aRunMs time that the request spent at the target, in milliseconds.
void
RecordAnswer(TargetEvidence& aEvidence,
             const Rollout& aRollout,
             std::string_view aVersion,
             std::string_view aRoute,
             bool aFailed,
             double aRunMs);

/// @return the message for the judges if one is due, and marks it as sent. The caller sets its node
/// and incarnation. Nothing is due once the rollout has a final phase.
/// @param aOutstanding requests that run or wait at the target.
std::optional<wire::RolloutEvidenceT>
TakeDueEvidence(TargetEvidence& aEvidence,
                const Rollout& aRollout,
                std::string_view aVersion,
                std::uint32_t aOutstanding,
                Instant aNow);

/// @return the nodes that judge the rollout of aService, preferred one first: two at most, by
/// rendezvous hashing over aLiveNodes.
std::vector<std::string>
JudgesOf(std::string_view aService, const std::vector<std::string>& aLiveNodes);

} // namespace sequoiastep::rollout
