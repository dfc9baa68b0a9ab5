#include "VersionSplit.h"

#include "Exposure.h"
#include "Hash.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace sequoiastep::rollout {

namespace {

using Counts = std::map<std::string, std::size_t, std::less<>>;

// One bad host among several is no verdict on the version.
constexpr std::size_t kMinTrialTargets = 2;
// Where the share loads less than two targets, they take turns of this length.
constexpr Milliseconds kTurnMs = 1000;
constexpr double kMaxShare = 0.9;
// Load of the targets on trial as a multiple of that of the regular ones, so that a version that is
// bad only under load shows it. Rounding to whole targets makes it 1 to 2 from 16 targets on.
constexpr double kTrialLoad = 1.35;

/// What the targets of a version may be used for.
enum class Use
{
  Regular,
  Trial,
  /// No order names the version yet.
  Held,
  /// Replaced by a version that requests shift to, or that was completed.
  Replaced,
  Barred,
};

// The inputs of one split.
struct Context
{
  const Rollout* m_rollout = nullptr;
  Counts m_present;
  Instant m_now;

  bool IsOrdered(std::string_view aVersion) const
  {
    return m_rollout != nullptr && m_rollout->m_version == aVersion;
  }
  bool IsIn(RolloutPhase aPhase) const
  {
    return m_rollout != nullptr && m_rollout->m_phase == aPhase;
  }
};

Counts
CountVersions(const std::vector<routing::Candidate>& aCandidates)
{
  Counts counts;
  for (const routing::Candidate& candidate : aCandidates) {
    ++counts[candidate.m_version];
  }
  return counts;
}

void
Establish(VersionHistory& aHistory, const std::string& aVersion, Instant aNow)
{
  if (!aHistory.m_known) {
    aHistory.m_chosenAt = aNow;
  }
  aHistory.m_established = aVersion;
  aHistory.m_known = true;
  aHistory.m_absentSince.reset();
  aHistory.m_unorderedSince.erase(aVersion);
}

bool
IsHeld(const VersionHistory& aHistory, std::string_view aVersion, Instant aNow)
{
  const auto since = aHistory.m_unorderedSince.find(aVersion);
  return since != aHistory.m_unorderedSince.end() && aNow - since->second < kUnorderedHoldMs;
}

// The versions that had requests so far are replaced by the completed one.
void
Retire(VersionHistory& aHistory, const Context& aContext)
{
  const Rollout& rollout = *aContext.m_rollout;
  if (!rollout.m_established.empty() && rollout.m_established != rollout.m_version) {
    aHistory.m_retired.try_emplace(rollout.m_established, aContext.m_now);
  }
  if (!aHistory.m_known) {
    return;
  }
  for (const auto& [version, count] : aContext.m_present) {
    if (version != rollout.m_version && !IsHeld(aHistory, version, aContext.m_now) &&
        !aHistory.m_barred.contains(version)) {
      aHistory.m_retired.try_emplace(version, aContext.m_now);
    }
  }
}

// Accounts for a final phase once, so that plain releases after it count.
void
Settle(VersionHistory& aHistory, const Context& aContext)
{
  const Rollout& rollout = *aContext.m_rollout;
  if (aHistory.m_settledOrder == rollout.m_order && aHistory.m_settledPhase == rollout.m_phase) {
    return;
  }
  aHistory.m_settledOrder = rollout.m_order;
  aHistory.m_settledPhase = rollout.m_phase;
  if (rollout.m_phase == RolloutPhase::Completed) {
    aHistory.m_barred.erase(rollout.m_version);
    aHistory.m_retired.erase(rollout.m_version);
    Retire(aHistory, aContext);
    Establish(aHistory, rollout.m_version, aContext.m_now);
    return;
  }
  aHistory.m_barred.insert(rollout.m_version);
  if (rollout.m_established != rollout.m_version && !rollout.m_established.empty()) {
    aHistory.m_retired.erase(rollout.m_established);
    Establish(aHistory, rollout.m_established, aContext.m_now);
  } else if (aHistory.m_established == rollout.m_version) {
    aHistory.m_known = false;
  }
}

void
LearnFromRollout(VersionHistory& aHistory, const Context& aContext)
{
  if (aContext.m_rollout == nullptr) {
    return;
  }
  const Rollout& rollout = *aContext.m_rollout;
  aHistory.m_unorderedSince.erase(rollout.m_version);
  if (IsFinal(rollout.m_phase)) {
    Settle(aHistory, aContext);
    return;
  }
  aHistory.m_barred.erase(rollout.m_version);
  aHistory.m_retired.erase(rollout.m_version);
  if (!rollout.m_established.empty() && rollout.m_established != aHistory.m_established) {
    Establish(aHistory, rollout.m_established, aContext.m_now);
  }
}

bool
MayBeEstablished(const VersionHistory& aHistory,
                 const Context& aContext,
                 const std::string& aVersion)
{
  const bool onTrial = aContext.IsOrdered(aVersion) && !aContext.IsIn(RolloutPhase::Completed);
  return !onTrial && !aHistory.m_barred.contains(aVersion) &&
         !aHistory.m_retired.contains(aVersion);
}

// The version with the most targets; among equals the established one, then the first by name.
const std::string*
MostCommon(const VersionHistory& aHistory, const Context& aContext)
{
  const std::string* best = nullptr;
  std::size_t most = 0;
  for (const auto& [version, count] : aContext.m_present) {
    const bool preferred =
      count > most || (count == most && aHistory.m_known && version == aHistory.m_established);
    if (preferred && MayBeEstablished(aHistory, aContext, version)) {
      best = &version;
      most = count;
    }
  }
  return best;
}

bool
IsEstablishedOpen(const VersionHistory& aHistory, const Context& aContext)
{
  if (!aHistory.m_known) {
    return true;
  }
  const bool running = aContext.IsIn(RolloutPhase::Trial) || aContext.IsIn(RolloutPhase::Shifting);
  if (aHistory.m_absentSince) {
    return !running && aContext.m_now - *aHistory.m_absentSince >= kUnorderedHoldMs;
  }
  const bool undisputed =
    aContext.m_rollout != nullptr && !(aContext.IsIn(RolloutPhase::Trial) &&
                                       aContext.m_rollout->m_version == aHistory.m_established);
  return !undisputed && aContext.m_now - aHistory.m_chosenAt < kEstablishMs;
}

void
ChooseEstablished(VersionHistory& aHistory, const Context& aContext)
{
  if (!aHistory.m_known && !aHistory.m_established.empty()) {
    Establish(aHistory, aHistory.m_established, aContext.m_now);
  }
  if (!aHistory.m_known || aContext.m_present.contains(aHistory.m_established)) {
    aHistory.m_absentSince.reset();
  } else if (!aHistory.m_absentSince) {
    aHistory.m_absentSince = aContext.m_now;
  }
  if (!IsEstablishedOpen(aHistory, aContext)) {
    return;
  }
  const std::string* version = MostCommon(aHistory, aContext);
  if (version != nullptr && (!aHistory.m_known || *version != aHistory.m_established)) {
    Establish(aHistory, *version, aContext.m_now);
  }
}

// Notes when versions that nothing allows were first seen, and forgets those that are gone.
void
TrackUnordered(VersionHistory& aHistory, const Context& aContext)
{
  std::erase_if(aHistory.m_unorderedSince,
                [&](const auto& aEntry) { return !aContext.m_present.contains(aEntry.first); });
  for (const auto& [version, count] : aContext.m_present) {
    const bool established = aHistory.m_known && version == aHistory.m_established;
    if (!established && !aContext.IsOrdered(version) && !aHistory.m_barred.contains(version) &&
        !aHistory.m_retired.contains(version)) {
      aHistory.m_unorderedSince.try_emplace(version, aContext.m_now);
    }
  }
}

Use
UseOfOrdered(const VersionHistory& aHistory, const Context& aContext)
{
  switch (aContext.m_rollout->m_phase) {
    case RolloutPhase::Trial:
      return aHistory.m_known && aHistory.m_established == aContext.m_rollout->m_version
               ? Use::Regular
               : Use::Trial;
    case RolloutPhase::RolledBack:
      return Use::Barred;
    default:
      return Use::Regular;
  }
}

Use
UseOf(const std::string& aVersion, const VersionHistory& aHistory, const Context& aContext)
{
  if (aContext.IsOrdered(aVersion)) {
    return UseOfOrdered(aHistory, aContext);
  }
  if (aHistory.m_barred.contains(aVersion)) {
    return Use::Barred;
  }
  if (aContext.IsIn(RolloutPhase::Shifting) || aHistory.m_retired.contains(aVersion)) {
    return Use::Replaced;
  }
  return IsHeld(aHistory, aVersion, aContext.m_now) ? Use::Held : Use::Regular;
}

bool
MayReplacedServe(const std::string& aVersion,
                 const VersionHistory& aHistory,
                 const Context& aContext)
{
  const auto since = aHistory.m_retired.find(aVersion);
  return since == aHistory.m_retired.end() || aContext.m_now - since->second >= kUnorderedHoldMs;
}

bool
MayTrialServeAll(const VersionHistory& aHistory, const Context& aContext)
{
  return !aHistory.m_known || aContext.m_now >= aContext.m_rollout->m_deadline ||
         (aHistory.m_absentSince && aContext.m_now - *aHistory.m_absentSince >= kUnorderedHoldMs);
}

bool
MaySubstitute(const std::string& aVersion,
              Use aUse,
              const VersionHistory& aHistory,
              const Context& aContext)
{
  switch (aUse) {
    case Use::Replaced:
      return MayReplacedServe(aVersion, aHistory, aContext);
    case Use::Trial:
      return MayTrialServeAll(aHistory, aContext);
    default:
      return aUse == Use::Held;
  }
}

// The versions that serve although they are not regular, because no regular one is there.
std::set<std::string, std::less<>>
Substitutes(const std::map<std::string, Use, std::less<>>& aUses,
            const VersionHistory& aHistory,
            const Context& aContext)
{
  for (const Use use : { Use::Replaced, Use::Trial, Use::Held }) {
    std::set<std::string, std::less<>> versions;
    for (const auto& [version, own] : aUses) {
      if (own == use && MaySubstitute(version, use, aHistory, aContext)) {
        versions.insert(version);
      }
    }
    if (!versions.empty()) {
      return versions;
    }
  }
  return {};
}

std::int64_t
TurnOf(const Rollout& aRollout, Instant aNow)
{
  const Instant ordered = aRollout.m_deadline + -aRollout.m_durationMs;
  return std::max<Milliseconds>(aNow - ordered, 0) / kTurnMs;
}

Instant
NextTurn(const Rollout& aRollout, Instant aNow)
{
  return aRollout.m_deadline + -aRollout.m_durationMs + (TurnOf(aRollout, aNow) + 1) * kTurnMs;
}

// Keeps the same few targets on all nodes that know the same targets.
// @return true if they take turns.
bool
KeepFew(std::vector<routing::Candidate>& aTrial,
        std::size_t aRegular,
        const Rollout& aRollout,
        double aShare,
        Instant aNow)
{
  const std::array<std::uint64_t, 2> order{ aRollout.m_order.m_era, aRollout.m_order.m_offset };
  const std::uint64_t seed =
    Hash64({ reinterpret_cast<const char*>(order.data()), sizeof order }, 0);
  const double used = std::min(aShare * kUsedShare, kMaxShare);
  const auto byLoad = static_cast<std::size_t>(
    std::lround(used / (1 - used) * static_cast<double>(aRegular) / kTrialLoad));
  const std::size_t kept = std::min(aTrial.size(), std::max(byLoad, kMinTrialTargets));
  const auto rank = [seed](const routing::Candidate& aCandidate) {
    return std::pair<std::uint64_t, std::string_view>(Hash64(aCandidate.m_node, seed),
                                                      aCandidate.m_node);
  };
  std::sort(aTrial.begin(),
            aTrial.end(),
            [&](const routing::Candidate& aLeft, const routing::Candidate& aRight) {
              return rank(aLeft) < rank(aRight);
            });
  aTrial.resize(kept);
  if (byLoad < kept) { // Both together would be loaded too lightly.
    const auto turn = static_cast<std::size_t>(TurnOf(aRollout, aNow)) % kept;
    aTrial = { aTrial[turn] };
    return true;
  }
  return false;
}

// The next time at which the split changes by itself.
std::optional<Instant>
ReviewAt(const VersionHistory& aHistory, const Context& aContext)
{
  std::optional<Instant> review;
  const auto add = [&](Instant aAt) {
    if (aAt > aContext.m_now && (!review || aAt < *review)) {
      review = aAt;
    }
  };
  for (const auto& [version, since] : aHistory.m_unorderedSince) {
    add(since + kUnorderedHoldMs);
  }
  for (const auto& [version, since] : aHistory.m_retired) {
    add(since + kUnorderedHoldMs);
  }
  if (aHistory.m_absentSince) {
    add(*aHistory.m_absentSince + kUnorderedHoldMs);
  }
  if (aContext.IsIn(RolloutPhase::Trial)) {
    add(aContext.m_rollout->m_deadline);
  }
  return review;
}

} // namespace

VersionedCandidates
SplitByVersion(std::vector<routing::Candidate> aCandidates,
               const Rollout* aRollout,
               VersionHistory& aHistory,
               double aShare,
               Instant aNow)
{
  const Context context{ .m_rollout = aRollout,
                         .m_present = CountVersions(aCandidates),
                         .m_now = aNow };
  LearnFromRollout(aHistory, context);
  ChooseEstablished(aHistory, context);
  TrackUnordered(aHistory, context);

  std::map<std::string, Use, std::less<>> uses;
  bool hasRegular = false;
  for (const auto& [version, count] : context.m_present) {
    uses[version] = UseOf(version, aHistory, context);
    hasRegular = hasRegular || uses[version] == Use::Regular;
  }
  if (!hasRegular) {
    for (const std::string& version : Substitutes(uses, aHistory, context)) {
      uses[version] = Use::Regular;
    }
  }
  VersionedCandidates split;
  for (routing::Candidate& candidate : aCandidates) {
    const Use use = uses.find(candidate.m_version)->second;
    if (use == Use::Regular) {
      split.m_regular.push_back(std::move(candidate));
    } else if (use == Use::Trial) {
      split.m_trial.push_back(std::move(candidate));
    }
  }
  split.m_reviewAt = ReviewAt(aHistory, context);
  if (!split.m_trial.empty() &&
      KeepFew(split.m_trial, split.m_regular.size(), *aRollout, aShare, aNow)) {
    const Instant next = NextTurn(*aRollout, aNow);
    split.m_reviewAt = std::min(split.m_reviewAt.value_or(next), next);
  }
  return split;
}

} // namespace sequoiastep::rollout
