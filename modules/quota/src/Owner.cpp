#include "Owner.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace sequoiastep::quota {

namespace {

constexpr double kMillisecondsPerSecond = 1000;
constexpr Milliseconds kMinRetryMs = 20;
constexpr Milliseconds kMaxRetryMs = 1000;
// Retry time for a workspace that this node's configuration lacks: it probably arrives soon.
constexpr Milliseconds kUnknownRetryMs = 250;

// The share in force: a higher one counts only after the takeover hold, since a node of the other
// side may learn later than this one that a partition has ended.
double
EffectiveShare(const Owner& aOwner)
{
  double share = aOwner.m_share;
  for (const PastShare& past : aOwner.m_pastShares) {
    share = std::min(share, past.m_share);
  }
  return share;
}

BucketLimits
BucketLimitsOf(const Owner& aOwner, const Limits& aLimits, double aShare)
{
  return { .m_ratePerSecond = aLimits.m_ratePerSecond * aShare,
           .m_depth = (aLimits.m_burst + aOwner.m_options.m_slack / 2) * aShare };
}

void
RefillAll(Owner& aOwner, Instant aNow)
{
  const double share = EffectiveShare(aOwner);
  for (auto& [workspace, quota] : aOwner.m_quotas) {
    Refill(quota.m_bucket, BucketLimitsOf(aOwner, quota.m_limits, share), aNow);
  }
}

// Tokens up to now arise at the share that was in force.
void
DropPastShares(Owner& aOwner, Instant aNow)
{
  auto& past = aOwner.m_pastShares;
  if (past.empty() || aNow - past.front().m_until < kTakeoverHoldMs) {
    return;
  }
  RefillAll(aOwner, aNow);
  while (!past.empty() && aNow - past.front().m_until >= kTakeoverHoldMs) {
    past.pop_front();
  }
}

// How long a new first node waits: briefly if the predecessor itself announced that it stops.
Milliseconds
HoldAfter(const Owner& aOwner, const Peers& aPeers, std::string_view aPredecessor)
{
  const auto state = aPeers.find(aPredecessor);
  const bool announced =
    !aPredecessor.empty() && (state == aPeers.end() || state->second == PeerState::Present);
  return announced ? TokenLifetime(aOwner.m_options) + kHandoverMarginMs : kTakeoverHoldMs;
}

bool
IsCandidate(const Peers& aPeers, std::string_view aNode)
{
  const auto found = aPeers.find(aNode);
  return found != aPeers.end() && found->second == PeerState::Candidate;
}

// Nodes of aPeers that were no candidates in aBefore.
std::vector<std::string_view>
NewCandidates(const Peers& aPeers, const Peers& aBefore)
{
  std::vector<std::string_view> nodes;
  for (const auto& [node, state] : aPeers) {
    if (state == PeerState::Candidate && !IsCandidate(aBefore, node)) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

void
UpdateFirst(OwnedQuota& aQuota,
            std::string_view aWorkspace,
            const Peers& aPeers,
            const std::vector<std::string_view>& aNewCandidates)
{
  if (!IsCandidate(aPeers, aQuota.m_first.m_node)) {
    aQuota.m_first = FindFirst(aPeers, aWorkspace);
    return;
  }
  for (const std::string_view node : aNewCandidates) {
    const std::uint64_t rank = RankOf(node, aWorkspace);
    if (rank < aQuota.m_first.m_rank) {
      aQuota.m_first = { .m_node = std::string(node), .m_rank = rank };
    }
  }
}

void
SetShare(Owner& aOwner, double aShare, Instant aNow)
{
  if (aShare > aOwner.m_share) {
    aOwner.m_pastShares.push_back({ .m_share = aOwner.m_share, .m_until = aNow });
  }
  aOwner.m_share = aShare;
}

// Updates the count of recent refusals, and returns it.
double
DecayedPressure(OwnedQuota& aQuota, Milliseconds aLifetimeMs, Instant aNow)
{
  const auto elapsed = static_cast<double>(std::max<Milliseconds>(0, aNow - aQuota.m_pressureAt));
  aQuota.m_pressure *= std::exp(-elapsed / static_cast<double>(aLifetimeMs));
  aQuota.m_pressureAt = aNow;
  return aQuota.m_pressure;
}

// The time in which as many tokens arise as asks were refused lately.
Milliseconds
RetryAfter(OwnedQuota& aQuota, double aRate, Milliseconds aLifetimeMs, Instant aNow)
{
  const double waiting = 1 + DecayedPressure(aQuota, aLifetimeMs, aNow);
  if (aRate <= 0) {
    return kMaxRetryMs;
  }
  const double delay =
    std::min(waiting / aRate * kMillisecondsPerSecond, static_cast<double>(kMaxRetryMs));
  return std::max(kMinRetryMs, static_cast<Milliseconds>(std::ceil(delay)));
}

} // namespace

Owner
MakeOwner(const Options& aOptions, std::string aSelf, Instant aNow)
{
  Owner owner;
  owner.m_options = aOptions;
  owner.m_self = std::move(aSelf);
  owner.m_observedAt = aNow;
  owner.m_heldUntil = aNow + kTakeoverHoldMs;
  return owner;
}

bool
Observe(Owner& aOwner, Instant aNow)
{
  const bool paused = aNow - aOwner.m_observedAt > kPauseGapMs;
  aOwner.m_observedAt = std::max(aOwner.m_observedAt, aNow);
  if (paused) {
    aOwner.m_heldUntil = aNow + kTakeoverHoldMs;
    for (auto& [workspace, quota] : aOwner.m_quotas) {
      EmptyUntil(quota.m_bucket, aOwner.m_heldUntil);
    }
  }
  DropPastShares(aOwner, aNow);
  return paused;
}

void
SetLimits(Owner& aOwner, const LimitsByWorkspace& aLimits, Instant aNow)
{
  Observe(aOwner, aNow);
  std::erase_if(aOwner.m_quotas, [&](const auto& aItem) { return !aLimits.contains(aItem.first); });
  const double share = EffectiveShare(aOwner);
  for (const auto& [workspace, limits] : aLimits) {
    const auto [entry, added] = aOwner.m_quotas.try_emplace(workspace);
    OwnedQuota& quota = entry->second;
    if (added) {
      quota.m_first = FindFirst(aOwner.m_peers, workspace);
      // The workspace may have been in an earlier configuration, with another owner.
      quota.m_heldUntil = aOwner.m_candidatesChangedAt + kTakeoverHoldMs;
      EmptyUntil(quota.m_bucket, std::max({ aOwner.m_heldUntil, quota.m_heldUntil, aNow }));
    } else {
      // Tokens up to now arise at the limits that were in force.
      Refill(quota.m_bucket, BucketLimitsOf(aOwner, quota.m_limits, share), aNow);
    }
    quota.m_limits = limits;
    Refill(quota.m_bucket, BucketLimitsOf(aOwner, limits, share), aNow);
  }
}

void
SetPeers(Owner& aOwner, const Peers& aPeers, double aHeardShare, Instant aNow)
{
  Observe(aOwner, aNow);
  RefillAll(aOwner, aNow);
  SetShare(aOwner, std::min(aHeardShare, HeardShare(aPeers)), aNow);
  if (aPeers == aOwner.m_peers) {
    return;
  }
  const auto added = NewCandidates(aPeers, aOwner.m_peers);
  for (auto& [workspace, quota] : aOwner.m_quotas) {
    const std::string predecessor = quota.m_first.m_node;
    UpdateFirst(quota, workspace, aPeers, added);
    if (quota.m_first.m_node == predecessor) {
      continue;
    }
    quota.m_heldUntil = std::max(quota.m_heldUntil, aNow + HoldAfter(aOwner, aPeers, predecessor));
    aOwner.m_candidatesChangedAt = aNow;
    if (quota.m_first.m_node == aOwner.m_self) {
      EmptyUntil(quota.m_bucket, quota.m_heldUntil);
    }
  }
  aOwner.m_peers = aPeers;
}

std::string_view
OwnerOf(const Owner& aOwner, std::string_view aWorkspace)
{
  const auto found = aOwner.m_quotas.find(aWorkspace);
  return found == aOwner.m_quotas.end() ? std::string_view()
                                        : std::string_view(found->second.m_first.m_node);
}

Grant
Answer(Owner& aOwner, std::string_view aWorkspace, std::uint32_t aWanted, Instant aNow)
{
  Observe(aOwner, aNow);
  const Milliseconds lifetime = TokenLifetime(aOwner.m_options);
  const auto found = aOwner.m_quotas.find(aWorkspace);
  if (found == aOwner.m_quotas.end()) {
    return { .m_retryAfterMs = kUnknownRetryMs };
  }
  OwnedQuota& quota = found->second;
  if (quota.m_limits.m_ratePerSecond <= 0) {
    // The asker's configuration has a quota that this one has not.
    return { .m_tokens = aWanted, .m_lifetimeMs = lifetime };
  }
  if (quota.m_first.m_node != aOwner.m_self) {
    return { .m_notOwner = true };
  }
  const Instant heldUntil = std::max(aOwner.m_heldUntil, quota.m_bucket.m_filledAt);
  if (heldUntil > aNow) {
    return { .m_retryAfterMs = heldUntil - aNow };
  }
  const BucketLimits limits = BucketLimitsOf(aOwner, quota.m_limits, EffectiveShare(aOwner));
  Refill(quota.m_bucket, limits, aNow);
  Grant grant{ .m_tokens = TakeTokens(quota.m_bucket, aWanted), .m_lifetimeMs = lifetime };
  if (grant.m_tokens < aWanted) {
    grant.m_retryAfterMs = RetryAfter(quota, limits.m_ratePerSecond, lifetime, aNow);
    quota.m_pressure += 1;
  }
  return grant;
}

} // namespace sequoiastep::quota
