#include "Picker.h"

#include <algorithm>
#include <array>

namespace sequoiastep::routing {

namespace {

constexpr double kLatencyWeight = 0.2;
constexpr double kTypicalLatencyUs = 1000;
constexpr double kLeastRampShare = 0.1;
constexpr Milliseconds kReportKeepMs = 500;
constexpr Milliseconds kAvoidLeastMs = 100;
constexpr Milliseconds kAvoidMostMs = 5000;
constexpr Milliseconds kAvoidFullMs = 20;
constexpr std::uint32_t kMostDoublings = 6;
constexpr std::size_t kTiers = 3;

enum class Tier : std::uint8_t
{
  OwnDomain,
  OwnRegion,
  OtherRegion,
};

// A candidate with what is known of it now.
struct Ranked
{
  std::size_t m_index = 0;
  double m_pressure = 0;
  double m_score = 0;
  bool m_trusted = true;
};

using Tiers = std::array<std::vector<Ranked>, kTiers>;

Tier
TierOf(const Candidate& aCandidate, const PickRequest& aRequest)
{
  if (aCandidate.m_region != aRequest.m_region) {
    return Tier::OtherRegion;
  }
  return aCandidate.m_failureDomain == aRequest.m_failureDomain ? Tier::OwnDomain : Tier::OwnRegion;
}

const TargetStats&
StatsOf(const PickState& aState, std::string_view aNode)
{
  static const TargetStats kNone;
  const auto found = aState.m_targets.find(aNode);
  return found == aState.m_targets.end() ? kNone : found->second;
}

Ranked
Rank(std::size_t aIndex, const Candidate& aCandidate, const PickState& aState, Instant aNow)
{
  const TargetStats& stats = StatsOf(aState, aCandidate.m_node);
  const bool reportIsFresh = aNow - stats.m_reportedAt < kReportKeepMs;
  const std::uint32_t load = std::max(stats.m_outstanding, reportIsFresh ? stats.m_reported : 0U);
  const double slots = std::max<double>(1, aCandidate.m_slots) * RampShare(aCandidate, aNow);
  const double latency = std::max(stats.m_latencyUs, kTypicalLatencyUs);
  return { .m_index = aIndex,
           .m_pressure = load / slots,
           .m_score = (load + 1) / slots * latency,
           .m_trusted = !aCandidate.m_suspect && aNow >= stats.m_avoidUntil };
}

Tiers
SortIntoTiers(const std::vector<Candidate>& aCandidates,
              const PickState& aState,
              const PickRequest& aRequest,
              Instant aNow)
{
  Tiers tiers;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const Candidate& candidate = aCandidates[i];
    const Tier tier = TierOf(candidate, aRequest);
    const bool tried = aRequest.m_tried != nullptr && aRequest.m_tried->contains(candidate.m_node);
    if (tried || (tier == Tier::OtherRegion && !aRequest.m_crossRegion)) {
      continue;
    }
    tiers[static_cast<std::size_t>(tier)].push_back(Rank(i, candidate, aState, aNow));
  }
  return tiers;
}

void
TrustAllIfTooFewAreTrusted(Tiers& aTiers)
{
  std::size_t trusted = 0;
  std::size_t total = 0;
  for (const auto& tier : aTiers) {
    total += tier.size();
    trusted += static_cast<std::size_t>(std::count_if(
      tier.begin(), tier.end(), [](const Ranked& aRanked) { return aRanked.m_trusted; }));
  }
  if (total == 0 ||
      static_cast<double>(trusted) >= kLeastTrustedShare * static_cast<double>(total)) {
    return;
  }
  for (auto& tier : aTiers) {
    for (Ranked& ranked : tier) {
      ranked.m_trusted = true;
    }
  }
}

std::size_t
BetterOfTwo(const std::vector<Ranked>& aChoices, Random& aRandom)
{
  const Ranked& first = aChoices[aRandom.Below(aChoices.size())];
  const Ranked& second = aChoices[aRandom.Below(aChoices.size())];
  return second.m_score < first.m_score ? second.m_index : first.m_index;
}

} // namespace

double
RampShare(const Candidate& aCandidate, Instant aNow)
{
  const Milliseconds up = aNow - aCandidate.m_upSince;
  if (aCandidate.m_warmUpMs == 0 || up >= aCandidate.m_warmUpMs) {
    return 1;
  }
  return std::max(kLeastRampShare, static_cast<double>(up) / aCandidate.m_warmUpMs);
}

std::optional<std::size_t>
Pick(const std::vector<Candidate>& aCandidates,
     const PickState& aState,
     const PickRequest& aRequest,
     Instant aNow,
     Random& aRandom)
{
  Tiers tiers = SortIntoTiers(aCandidates, aState, aRequest, aNow);
  TrustAllIfTooFewAreTrusted(tiers);
  std::vector<Ranked> trusted;
  for (const auto& tier : tiers) {
    std::vector<Ranked> roomy;
    for (const Ranked& ranked : tier) {
      if (!ranked.m_trusted) {
        continue;
      }
      trusted.push_back(ranked);
      if (ranked.m_pressure < kSpillPressure) {
        roomy.push_back(ranked);
      }
    }
    if (!roomy.empty()) {
      return BetterOfTwo(roomy, aRandom);
    }
  }
  if (!trusted.empty()) {
    return BetterOfTwo(trusted, aRandom);
  }
  std::vector<Ranked> all;
  for (const auto& tier : tiers) {
    all.insert(all.end(), tier.begin(), tier.end());
  }
  if (all.empty()) {
    return std::nullopt;
  }
  return BetterOfTwo(all, aRandom);
}

void
NoteDispatch(PickState& aState, std::string_view aNode)
{
  ++aState.m_targets[std::string(aNode)].m_outstanding;
}

void
NoteAbandoned(PickState& aState, std::string_view aNode)
{
  TargetStats& stats = aState.m_targets[std::string(aNode)];
  stats.m_outstanding -= stats.m_outstanding > 0 ? 1 : 0;
}

void
NoteAnswer(PickState& aState,
           std::string_view aNode,
           std::int64_t aLatencyUs,
           std::uint32_t aReported,
           Instant aNow)
{
  NoteAbandoned(aState, aNode);
  TargetStats& stats = aState.m_targets[std::string(aNode)];
  const auto latency = static_cast<double>(aLatencyUs);
  stats.m_latencyUs = stats.m_latencyUs == 0
                        ? latency
                        : stats.m_latencyUs + kLatencyWeight * (latency - stats.m_latencyUs);
  stats.m_reported = aReported;
  stats.m_reportedAt = aNow;
  stats.m_failures = 0;
  stats.m_avoidUntil = {};
}

void
NoteFailure(PickState& aState, std::string_view aNode, Instant aNow, Random& aRandom)
{
  NoteAbandoned(aState, aNode);
  TargetStats& stats = aState.m_targets[std::string(aNode)];
  const Milliseconds most =
    std::min(kAvoidMostMs, kAvoidLeastMs << std::min(stats.m_failures, kMostDoublings));
  const auto spread = static_cast<std::uint64_t>(most / 2 + 1);
  stats.m_avoidUntil = aNow + (most / 2 + static_cast<Milliseconds>(aRandom.Below(spread)));
  ++stats.m_failures;
}

void
NoteOverload(PickState& aState, std::string_view aNode, std::uint32_t aReported, Instant aNow)
{
  NoteAbandoned(aState, aNode);
  TargetStats& stats = aState.m_targets[std::string(aNode)];
  stats.m_reported = aReported;
  stats.m_reportedAt = aNow;
  stats.m_avoidUntil = aNow + kAvoidFullMs;
}

} // namespace sequoiastep::routing
