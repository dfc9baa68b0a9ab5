#include "Evidence.h"

#include "Hash.h"

#include <algorithm>
#include <cmath>

namespace sequoiastep::rollout {

namespace {

// New errors are urgent if they are at least one in this many of all errors, so that the number of
// urgent messages grows with the logarithm of the errors.
constexpr std::uint32_t kUrgentErrorPart = 10;

constexpr std::size_t kJudges = 2;

void
StartAnewIfChanged(TargetEvidence& aEvidence, const Rollout& aRollout, std::string_view aVersion)
{
  if (aEvidence.m_order == aRollout.m_order && aEvidence.m_version == aVersion) {
    return;
  }
  // The sequence goes on, so that receivers can still order the messages.
  aEvidence = { .m_order = aRollout.m_order,
                .m_version = std::string(aVersion),
                .m_sequence = aEvidence.m_sequence };
}

std::uint32_t
ErrorsOf(const TargetEvidence& aEvidence)
{
  std::uint32_t errors = 0;
  for (const auto& [route, counts] : aEvidence.m_routes) {
    errors += counts.m_errors;
  }
  return errors;
}

Milliseconds
IntervalOf(const TargetEvidence& aEvidence, const Rollout& aRollout, std::uint32_t aErrors)
{
  const std::uint32_t fresh = aErrors - aEvidence.m_errorsSent;
  if (fresh > 0 && fresh * kUrgentErrorPart >= aErrors) {
    return kUrgentEvidenceIntervalMs;
  }
  const bool awaited =
    aEvidence.m_version == aRollout.m_version || aRollout.m_phase == RolloutPhase::Shifting;
  return awaited ? kAwaitedEvidenceIntervalMs : kEvidenceIntervalMs;
}

wire::RouteEvidenceT
ToWire(const std::string& aRoute, const RouteCounts& aCounts)
{
  wire::RouteEvidenceT entry;
  entry.route = aRoute;
  entry.requests = aCounts.m_requests;
  entry.errors = aCounts.m_errors;
  entry.run_ms = aCounts.m_runMs;
  entry.run_ms_squared = aCounts.m_runMsSquared;
  const auto used = std::find_if(aCounts.m_buckets.rbegin(),
                                 aCounts.m_buckets.rend(),
                                 [](std::uint32_t aCount) { return aCount > 0; });
  entry.run_buckets.assign(aCounts.m_buckets.begin(), used.base());
  return entry;
}

} // namespace

std::size_t
RunBucketOf(double aRunMs)
{
  if (!(aRunMs > 1)) {
    return 0;
  }
  const double bucket = std::ceil(std::log2(aRunMs) * kBucketsPerDoubling);
  return static_cast<std::size_t>(std::min<double>(bucket, kRunBuckets - 1));
}

void
RecordAnswer(TargetEvidence& aEvidence,
             const Rollout& aRollout,
             std::string_view aVersion,
             std::string_view aRoute,
             bool aFailed,
             double aRunMs)
{
  StartAnewIfChanged(aEvidence, aRollout, aVersion);
  auto counts = aEvidence.m_routes.find(aRoute);
  if (counts == aEvidence.m_routes.end()) {
    counts = aEvidence.m_routes.emplace(aRoute, RouteCounts{}).first;
  }
  ++counts->second.m_requests;
  counts->second.m_runMs += aRunMs;
  counts->second.m_runMsSquared += aRunMs * aRunMs;
  if (aFailed) {
    ++counts->second.m_errors;
  } else {
    ++counts->second.m_buckets[RunBucketOf(aRunMs)];
  }
}

std::optional<wire::RolloutEvidenceT>
TakeDueEvidence(TargetEvidence& aEvidence,
                const Rollout& aRollout,
                std::string_view aVersion,
                std::uint32_t aOutstanding,
                Instant aNow)
{
  if (IsFinal(aRollout.m_phase)) {
    return std::nullopt;
  }
  StartAnewIfChanged(aEvidence, aRollout, aVersion);
  const std::uint32_t errors = ErrorsOf(aEvidence);
  if (aNow - aEvidence.m_sentAt < IntervalOf(aEvidence, aRollout, errors)) {
    return std::nullopt;
  }
  aEvidence.m_sentAt = aNow;
  aEvidence.m_errorsSent = errors;
  wire::RolloutEvidenceT message;
  message.service = aRollout.m_service;
  message.order_era = aRollout.m_order.m_era;
  message.order_offset = aRollout.m_order.m_offset;
  message.version = aVersion;
  message.sequence = ++aEvidence.m_sequence;
  message.outstanding = aOutstanding;
  for (const auto& [route, counts] : aEvidence.m_routes) {
    message.routes.push_back(std::make_unique<wire::RouteEvidenceT>(ToWire(route, counts)));
  }
  return message;
}

std::vector<std::string>
JudgesOf(std::string_view aService, const std::vector<std::string>& aLiveNodes)
{
  const std::uint64_t seed = Hash64(aService);
  const auto rank = [seed](const std::string& aNode) {
    return std::pair<std::uint64_t, std::string_view>(Hash64(aNode, seed), aNode);
  };
  std::vector<std::string> judges(std::min(kJudges, aLiveNodes.size()));
  std::partial_sort_copy(aLiveNodes.begin(),
                         aLiveNodes.end(),
                         judges.begin(),
                         judges.end(),
                         [&](const std::string& aLeft, const std::string& aRight) {
                           return rank(aLeft) > rank(aRight);
                         });
  return judges;
}

} // namespace sequoiastep::rollout
