#include "RolloutTable.h"

#include "Hash.h"
#include "NameTable.h"

#include <algorithm>
#include <array>

namespace sequoiastep::rollout {

namespace {

constexpr std::array<NameRow<RolloutPhase>, 4> kPhaseNames{ {
  { RolloutPhase::Trial, "trial" },
  { RolloutPhase::Shifting, "shifting" },
  { RolloutPhase::Completed, "completed" },
  { RolloutPhase::RolledBack, "rolled_back" },
} };

// Between two final phases of one order: the one that the store holds; RolledBack while none is
// known to be stored.
bool
OverridesFinal(const Rollout& aLeft, const Rollout& aRight)
{
  if (aLeft.m_finalOffset && aRight.m_finalOffset) {
    return *aLeft.m_finalOffset < *aRight.m_finalOffset;
  }
  if (aLeft.m_finalOffset || aRight.m_finalOffset) {
    return aLeft.m_finalOffset.has_value();
  }
  return aLeft.m_phase > aRight.m_phase;
}

bool
Overrides(const Rollout& aLeft, const Rollout& aRight)
{
  if (aLeft.m_order != aRight.m_order) {
    return aLeft.m_order > aRight.m_order;
  }
  if (IsFinal(aLeft.m_phase) && IsFinal(aRight.m_phase)) {
    return OverridesFinal(aLeft, aRight);
  }
  return aLeft.m_phase > aRight.m_phase;
}

// Merges what does not depend on the phase: the same result in any order of the entries.
// @return true if the established version changed.
bool
MergeWithinOrder(Rollout& aHeld, const Rollout& aEntry)
{
  // Each copy on the way adds its delay.
  aHeld.m_deadline = std::min(aHeld.m_deadline, aEntry.m_deadline);
  const bool replaces = !aEntry.m_established.empty() &&
                        (aHeld.m_established.empty() || aEntry.m_established < aHeld.m_established);
  if (replaces) {
    aHeld.m_established = aEntry.m_established;
  }
  return replaces;
}

} // namespace

std::string_view
NameOf(RolloutPhase aPhase)
{
  return NameIn(kPhaseNames, aPhase);
}

bool
IsFinal(RolloutPhase aPhase)
{
  return aPhase == RolloutPhase::Completed || aPhase == RolloutPhase::RolledBack;
}

MergeResult
Merge(RolloutTable& aTable, const Rollout& aEntry, Instant aNow)
{
  const auto known = aTable.m_services.find(aEntry.m_service);
  if (known == aTable.m_services.end()) {
    Rollout& added = aTable.m_services[aEntry.m_service] = aEntry;
    added.m_learnedAt = aNow;
    return MergeResult::Changed;
  }
  Rollout& held = known->second;
  if (held.m_order != aEntry.m_order) {
    if (held.m_order > aEntry.m_order) {
      return MergeResult::Older;
    }
    held = aEntry;
    held.m_learnedAt = aNow;
    return MergeResult::Changed;
  }
  const bool newlyEstablished = MergeWithinOrder(held, aEntry);
  if (Overrides(aEntry, held)) {
    held.m_phase = aEntry.m_phase;
    held.m_finalOffset = aEntry.m_finalOffset;
    return MergeResult::Changed;
  }
  if (newlyEstablished) {
    return MergeResult::Changed;
  }
  return Overrides(held, aEntry) ? MergeResult::Older : MergeResult::Known;
}

const Rollout*
FindRollout(const RolloutTable& aTable, std::string_view aService)
{
  const auto found = aTable.m_services.find(aService);
  return found == aTable.m_services.end() ? nullptr : &found->second;
}

std::uint64_t
Digest(const RolloutTable& aTable)
{
  std::uint64_t digest = 0;
  for (const auto& [service, rollout] : aTable.m_services) {
    const std::array<std::uint64_t, 4> state{ rollout.m_order.m_era,
                                              rollout.m_order.m_offset,
                                              static_cast<std::uint64_t>(rollout.m_phase),
                                              rollout.m_finalOffset.value_or(UINT64_MAX) };
    digest ^= Hash64({ reinterpret_cast<const char*>(state.data()), sizeof state },
                     Hash64(service, Hash64(rollout.m_established)));
  }
  return digest;
}

wire::RolloutEntryT
ToWire(const Rollout& aRollout, Instant aNow)
{
  wire::RolloutEntryT entry;
  entry.service = aRollout.m_service;
  entry.version = aRollout.m_version;
  entry.order_era = aRollout.m_order.m_era;
  entry.order_offset = aRollout.m_order.m_offset;
  entry.duration_ms = static_cast<std::uint32_t>(aRollout.m_durationMs);
  entry.left_ms = aRollout.m_deadline - aNow;
  entry.phase = aRollout.m_phase;
  if (aRollout.m_finalOffset) {
    entry.final_offset = *aRollout.m_finalOffset;
  }
  entry.established = aRollout.m_established;
  return entry;
}

Rollout
FromWire(const wire::RolloutEntryT& aEntry, Instant aNow)
{
  Rollout rollout;
  rollout.m_service = aEntry.service;
  rollout.m_version = aEntry.version;
  rollout.m_order = { .m_era = aEntry.order_era, .m_offset = aEntry.order_offset };
  rollout.m_durationMs = aEntry.duration_ms;
  rollout.m_deadline = aNow + aEntry.left_ms;
  rollout.m_phase = aEntry.phase;
  if (aEntry.final_offset) {
    rollout.m_finalOffset = *aEntry.final_offset;
  }
  rollout.m_established = aEntry.established;
  rollout.m_learnedAt = aNow;
  return rollout;
}

} // namespace sequoiastep::rollout
