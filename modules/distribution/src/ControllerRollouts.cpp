// Rollouts: spreads orders and phases to all nodes, and repairs differences by comparing digests.
// Entries are merged without a coordinator, so any node may add an order or a phase.
#include "ControllerPriv.h"
#include "Log.h"

#include <algorithm>

namespace sequoiastep::distribution {

using rollout::MergeResult;
using rollout::Rollout;
using rollout::RolloutPhase;

namespace {

constexpr Milliseconds kExchangeIntervalMs = 1000;
constexpr std::uint32_t kMismatchesBeforeExchange = 2;
// Each copy of a deadline adds the delay of its message, so the earliest is the most accurate. Less
// of a difference is not worth a message.
constexpr Milliseconds kDeadlineToleranceMs = 500;

std::unique_ptr<wire::RolloutEntryT>
MakeEntry(const Rollout& aRollout, Instant aNow)
{
  return std::make_unique<wire::RolloutEntryT>(rollout::ToWire(aRollout, aNow));
}

wire::RolloutUpdateT
WholeTable(const Controller& aController, Instant aNow)
{
  wire::RolloutUpdateT update;
  for (const auto& [service, rollout] : aController.m_rollouts.m_services) {
    update.entries.push_back(MakeEntry(rollout, aNow));
  }
  return update;
}

void
LogRolloutChange(const Rollout& aRollout,
                 std::string_view aReason,
                 std::string_view aFrom,
                 Instant aNow)
{
  LogLine(LogLevel::Info, "rollout_changed")
    .Add("service", aRollout.m_service)
    .Add("version", aRollout.m_version)
    .Add("established", aRollout.m_established)
    .Add("order", aRollout.m_order.m_offset)
    .Add("era", aRollout.m_order.m_era)
    .Add("phase", rollout::NameOf(aRollout.m_phase))
    .Add("stored", aRollout.m_finalOffset ? "yes" : "no")
    .Add("left_ms", aRollout.m_deadline - aNow)
    .Add("reason", aReason)
    .Add("from", aFrom);
}

// Merges an entry, logs a change and queues it for the peers.
MergeResult
MergeEntry(StepContext& aContext,
           const Rollout& aEntry,
           std::string_view aReason,
           std::string_view aFrom)
{
  Controller& controller = aContext.m_controller;
  const MergeResult result = rollout::Merge(controller.m_rollouts, aEntry, aContext.m_now);
  if (result == MergeResult::Changed) {
    controller.m_changedRollouts.insert(aEntry.m_service);
    const Rollout& held = *rollout::FindRollout(controller.m_rollouts, aEntry.m_service);
    LogRolloutChange(held, aReason, aFrom, aContext.m_now);
  }
  return result;
}

// The deadline that this node holds for the order of aEntry, if it knows the order.
std::optional<Instant>
HeldDeadline(const Controller& aController, const Rollout& aEntry)
{
  const Rollout* held = rollout::FindRollout(aController.m_rollouts, aEntry.m_service);
  return held != nullptr && held->m_order == aEntry.m_order ? std::optional(held->m_deadline)
                                                            : std::nullopt;
}

// A store that was restored from a copy names an order again in a new era. What is known of it
// stays, except that the record with its final state may be lost.
void
InheritFromEarlierEra(const Controller& aController, Rollout& aEntry)
{
  const Rollout* held = rollout::FindRollout(aController.m_rollouts, aEntry.m_service);
  const bool sameOrder = held != nullptr && held->m_order.m_offset == aEntry.m_order.m_offset &&
                         held->m_order.m_era < aEntry.m_order.m_era &&
                         held->m_version == aEntry.m_version &&
                         held->m_durationMs == aEntry.m_durationMs;
  if (!sameOrder) {
    return;
  }
  aEntry.m_deadline = held->m_deadline;
  aEntry.m_established = held->m_established;
  if (!aEntry.m_finalOffset) {
    aEntry.m_phase = held->m_phase;
  }
}

bool
IsValid(const wire::RolloutEntryT& aEntry)
{
  return !aEntry.service.empty() && !aEntry.version.empty() &&
         aEntry.phase <= RolloutPhase::RolledBack;
}

} // namespace

void
HandleRolloutOrdered(StepContext& aContext, const RolloutOrdered& aOrdered)
{
  Controller& controller = aContext.m_controller;
  if (!controller.m_options.m_rollouts) {
    return;
  }
  Rollout entry{ .m_service = aOrdered.m_service,
                 .m_version = aOrdered.m_version,
                 .m_order = aOrdered.m_order,
                 .m_durationMs = aOrdered.m_durationMs,
                 .m_deadline = aContext.m_now + aOrdered.m_durationMs,
                 .m_phase = aOrdered.m_phase,
                 .m_finalOffset = aOrdered.m_finalOffset,
                 .m_established = aOrdered.m_established,
                 .m_learnedAt = aContext.m_now };
  InheritFromEarlierEra(controller, entry);
  const std::string_view reason = aOrdered.m_fresh ? "ordered" : "found in the store";
  if (MergeEntry(aContext, entry, reason, "store") == MergeResult::Changed) {
    ++controller.m_counters.m_rolloutOrders;
  }
}

void
HandleRolloutDecided(StepContext& aContext, const RolloutDecided& aDecided)
{
  const Controller& controller = aContext.m_controller;
  const Rollout* held = rollout::FindRollout(controller.m_rollouts, aDecided.m_service);
  if (held == nullptr || held->m_order != aDecided.m_order) {
    return; // A later order has replaced the one that was decided.
  }
  Rollout entry = *held;
  entry.m_phase = aDecided.m_phase;
  entry.m_finalOffset = aDecided.m_finalOffset;
  MergeEntry(aContext, entry, aDecided.m_reason, controller.m_options.m_node);
}

void
HandleRolloutUpdate(StepContext& aContext,
                    std::string_view aNode,
                    const wire::RolloutUpdateT& aUpdate)
{
  Controller& controller = aContext.m_controller;
  if (!controller.m_options.m_rollouts) {
    return;
  }
  wire::RolloutUpdateT reply;
  for (const auto& wireEntry : aUpdate.entries) {
    if (!IsValid(*wireEntry)) {
      continue;
    }
    const Rollout entry = rollout::FromWire(*wireEntry, aContext.m_now);
    const Instant before = HeldDeadline(controller, entry).value_or(entry.m_deadline);
    const MergeResult result = MergeEntry(aContext, entry, "told by a peer", aNode);
    const Rollout& held = *rollout::FindRollout(controller.m_rollouts, entry.m_service);
    if (before - entry.m_deadline > kDeadlineToleranceMs) {
      controller.m_changedRollouts.insert(entry.m_service);
    }
    const bool needsDeadline =
      entry.m_deadline - before > kDeadlineToleranceMs && !rollout::IsFinal(held.m_phase);
    if ((result == MergeResult::Older || needsDeadline) && !aUpdate.reply_wanted) {
      reply.entries.push_back(MakeEntry(held, aContext.m_now));
    }
  }
  if (aUpdate.reply_wanted) {
    reply = WholeTable(controller, aContext.m_now);
  }
  if (!reply.entries.empty()) {
    SendTo(aContext, aNode, MakeSharedMessage(std::move(reply)));
  }
}

void
SendAllRollouts(StepContext& aContext, std::string_view aNode)
{
  const Controller& controller = aContext.m_controller;
  if (!controller.m_rollouts.m_services.empty()) {
    SendTo(aContext, aNode, MakeSharedMessage(WholeTable(controller, aContext.m_now)));
  }
}

void
CompareRolloutDigest(StepContext& aContext, std::string_view aNode, std::uint64_t aDigest)
{
  Controller& controller = aContext.m_controller;
  Link& link = *FindLink(controller, aNode);
  if (!controller.m_options.m_rollouts || aDigest == rollout::Digest(controller.m_rollouts)) {
    link.m_rolloutMismatches = 0;
    return;
  }
  ++link.m_rolloutMismatches;
  if (link.m_rolloutMismatches < kMismatchesBeforeExchange ||
      aContext.m_now - link.m_rolloutsSentAt < kExchangeIntervalMs) {
    return;
  }
  link.m_rolloutMismatches = 0;
  link.m_rolloutsSentAt = aContext.m_now;
  ++controller.m_counters.m_rolloutExchanges;
  wire::RolloutUpdateT update = WholeTable(controller, aContext.m_now);
  update.reply_wanted = true;
  SendTo(aContext, aNode, MakeSharedMessage(std::move(update)));
}

void
FlushRollouts(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  if (controller.m_changedRollouts.empty()) {
    return;
  }
  wire::RolloutUpdateT update;
  for (const std::string& service : controller.m_changedRollouts) {
    update.entries.push_back(
      MakeEntry(*rollout::FindRollout(controller.m_rollouts, service), aContext.m_now));
  }
  controller.m_changedRollouts.clear();
  const MessagePtr message = MakeSharedMessage(std::move(update));
  for (const auto& [node, link] : controller.m_links) {
    // As for member changes: more links between regions may be open than are desired.
    if (!link.m_crossRegion || controller.m_desiredLinks.contains(node)) {
      SendTo(aContext, node, message);
    }
  }
  aContext.m_actions.emplace_back(RolloutsChanged{});
}

} // namespace sequoiastep::distribution
