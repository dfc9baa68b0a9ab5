/// @file
/// The owner's side of quotas: answers asks for tokens from one bucket for each workspace.
///
/// The bound over all nodes rests on these rules. All tokens of a workspace come from one bucket,
/// whose grants in a window are at most rate x window + depth. A new owner starts with an empty
/// bucket, after its predecessor has stopped. While nodes can't be heard, the bucket's rate and
/// depth are scaled by the share of nodes that can, so that the sides of a partition stay within
/// the quota together.
#pragma once

#include "Bucket.h"
#include "Clock.h"
#include "Options.h"
#include "Peers.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace sequoiastep::quota {

using LimitsByWorkspace = std::map<std::string, Limits, std::less<>>;

/// Answer to an ask.
struct Grant
{
  std::uint32_t m_tokens = 0;
  /// Counts from the time at which the ask was sent.
  Milliseconds m_lifetimeMs = 0;
  /// Estimated time until more tokens can be granted.
  Milliseconds m_retryAfterMs = 0;
  /// Another node owns the quota in this node's view.
  bool m_notOwner = false;
};

/// The quota of one workspace as this node knows it.
struct OwnedQuota
{
  Limits m_limits;
  FirstNode m_first;
  /// An earlier first node may grant tokens until then.
  Instant m_heldUntil;
  /// In use only while this node is the first one.
  Bucket m_bucket;
  /// Recently refused asks; decays within the lifetime of tokens.
  double m_pressure = 0;
  Instant m_pressureAt;
};

/// A share that was in force until another one replaced it.
struct PastShare
{
  double m_share = 1;
  Instant m_until;
};

/// One node's state as an owner of quotas.
struct Owner
{
  Options m_options;
  std::string m_self;
  Peers m_peers;
  std::map<std::string, OwnedQuota, std::less<>> m_quotas;
  /// Share of nodes that can be heard now, and lower ones that were in force lately.
  double m_share = 1;
  std::deque<PastShare> m_pastShares;
  /// Nothing is granted before, since this node started or resumed from a pause.
  Instant m_heldUntil;
  /// When a change of the known nodes last changed the first node of a workspace.
  Instant m_candidatesChangedAt;
  /// Time of the latest event.
  Instant m_observedAt;
};

/// @return the state of a node that starts at aNow and remembers nothing.
Owner
MakeOwner(const Options& aOptions, std::string aSelf, Instant aNow);

/// Records that the process runs. Each function below does so too; call it at least every
/// kPauseGapMs / 4. After a pause, all buckets are emptied and nothing is granted for
/// kTakeoverHoldMs.
/// @return true if the process was paused before.
bool
Observe(Owner& aOwner, Instant aNow);

/// Replaces the limits of all workspaces. Buckets of workspaces that stay are kept.
void
SetLimits(Owner& aOwner, const LimitsByWorkspace& aLimits, Instant aNow);

/// Replaces the known nodes. Where this node becomes the first one, its bucket starts empty and
/// grants nothing until the predecessor's grants have expired.
/// @param aHeardShare upper limit of the share of nodes that count as heard, from other evidence.
void
SetPeers(Owner& aOwner, const Peers& aPeers, double aHeardShare, Instant aNow);

/// @return the node to ask for tokens of aWorkspace; empty if there is none.
std::string_view
OwnerOf(const Owner& aOwner, std::string_view aWorkspace);

/// Answers an ask for aWanted tokens.
Grant
Answer(Owner& aOwner, std::string_view aWorkspace, std::uint32_t aWanted, Instant aNow);

} // namespace sequoiastep::quota
