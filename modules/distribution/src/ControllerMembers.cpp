// Spreads member changes: floods state transitions and accusations to all peers, and repairs
// differences by exchanging digests.
#include "ControllerPriv.h"
#include "Log.h"
#include "RequestLimit.h"

#include <algorithm>

namespace sequoiastep::distribution {

using membership::Member;
using membership::MemberState;
using membership::MergeResult;

namespace {

constexpr Milliseconds kDigestIntervalMs = 1000;
// The check for members to declare Gone walks the whole member list, so it does not run every tick.
constexpr Milliseconds kGoneCheckIntervalMs = 500;
constexpr std::uint32_t kMismatchesBeforeExchange = 2;
constexpr std::size_t kMaxEntriesPerMessage = 400;

void
Append(wire::MemberUpdateT& aUpdate, const Member& aMember)
{
  aUpdate.entries.push_back(std::make_unique<wire::MemberEntryT>(membership::ToWire(aMember)));
}

void
MarkTableChanged(Controller& aController)
{
  aController.m_topologyDirty = true;
  aController.m_membersChanged = true;
}

void
SendEntries(StepContext& aContext,
            std::string_view aNode,
            const std::vector<const Member*>& aEntries)
{
  wire::MemberUpdateT update;
  for (const Member* entry : aEntries) {
    Append(update, *entry);
    if (update.entries.size() == kMaxEntriesPerMessage) {
      SendTo(aContext, aNode, MakeSharedMessage(std::move(update)));
      update = {};
    }
  }
  if (!update.entries.empty()) {
    SendTo(aContext, aNode, MakeSharedMessage(std::move(update)));
  }
}

// While roles change, more links between regions are open than desired. Changes are sent over the
// desired ones only; the digest exchange delivers any that were missed.
void
SendChange(StepContext& aContext,
           const std::string& aNode,
           const Link& aLink,
           const MessagePtr& aMessage)
{
  if (!aLink.m_crossRegion || aContext.m_controller.m_desiredLinks.contains(aNode)) {
    SendTo(aContext, aNode, aMessage);
  }
}

void
LogMemberChange(const Member& aMember, std::string_view aFrom)
{
  const std::string_view state = membership::NameOf(aMember.m_state);
  LogLine(LogLevel::Info, "member_changed", state)
    .Add("member", aMember.m_node)
    .Add("state", state)
    .Add("counter", aMember.m_counter)
    .Add("service", aMember.m_service)
    .Add("slots", aMember.m_slots)
    .Add("limit_per_s", wire::LimitText(aMember.m_perSecond))
    .Add("from", aFrom);
}

} // namespace

void
QueueMemberChange(StepContext& aContext, const Member& aMember)
{
  Controller& controller = aContext.m_controller;
  MarkTableChanged(controller);
  controller.m_memberOutbox.insert_or_assign(aMember.m_node, aMember);
}

void
AnnounceSelf(StepContext& aContext, const Member& aEntry)
{
  const Member entry =
    membership::UpdateSelf(aContext.m_controller.m_table, aEntry, aContext.m_now);
  QueueMemberChange(aContext, entry);
}

void
HandleMemberUpdate(StepContext& aContext,
                   std::string_view aNode,
                   const wire::MemberUpdateT& aUpdate)
{
  Controller& controller = aContext.m_controller;
  std::vector<const Member*> newer;
  for (const auto& wireEntry : aUpdate.entries) {
    const Member entry = membership::FromWire(*wireEntry);
    RecallOwnEntry(aContext, entry);
    switch (membership::MergeMember(controller.m_table, entry, aContext.m_now)) {
      case MergeResult::Changed:
        QueueMemberChange(aContext, *FindMember(controller, entry.m_node));
        LogMemberChange(entry, aNode);
        break;
      case MergeResult::Refuted:
        ++controller.m_counters.m_refutations;
        QueueMemberChange(aContext, Self(controller));
        break;
      case MergeResult::Older:
        newer.push_back(FindMember(controller, entry.m_node));
        break;
      case MergeResult::Known:
        break;
    }
  }
  SendEntries(aContext, aNode, newer);
}

void
HandleMemberDigests(StepContext& aContext,
                    std::string_view aNode,
                    const wire::MemberDigestsT& aDigests)
{
  Controller& controller = aContext.m_controller;
  if (aDigests.buckets.size() != membership::kDigestBuckets) {
    return; // Another build; flooding keeps the lists in step until it is upgraded.
  }
  const auto ours = membership::BucketDigests(controller.m_table);
  std::vector<const Member*> differing;
  for (const auto& [node, record] : controller.m_table.m_members) {
    const std::size_t bucket = membership::BucketOf(node);
    if (ours[bucket] != aDigests.buckets[bucket] && record.m_member.m_state != MemberState::Gone) {
      differing.push_back(&record.m_member);
    }
  }
  SendEntries(aContext, aNode, differing);
  if (aDigests.reply_wanted) {
    wire::MemberDigestsT reply;
    reply.buckets.assign(ours.begin(), ours.end());
    SendTo(aContext, aNode, MakeSharedMessage(std::move(reply)));
  }
}

void
CompareMemberDigest(StepContext& aContext, std::string_view aNode, std::uint64_t aDigest)
{
  Controller& controller = aContext.m_controller;
  Link& link = *FindLink(controller, aNode);
  if (aDigest == controller.m_memberDigest) {
    link.m_digestMismatches = 0;
    return;
  }
  ++link.m_digestMismatches;
  if (link.m_digestMismatches < kMismatchesBeforeExchange ||
      aContext.m_now - link.m_digestsSentAt < kDigestIntervalMs) {
    return;
  }
  link.m_digestMismatches = 0;
  link.m_digestsSentAt = aContext.m_now;
  const auto ours = membership::BucketDigests(controller.m_table);
  wire::MemberDigestsT digests;
  digests.buckets.assign(ours.begin(), ours.end());
  digests.reply_wanted = true;
  SendTo(aContext, aNode, MakeSharedMessage(std::move(digests)));
}

void
HandleAccusation(StepContext& aContext, const wire::AccusationT& aAccusation)
{
  Controller& controller = aContext.m_controller;
  if (aAccusation.node == controller.m_table.m_self) {
    return; // This node refutes the Suspect entry that is sent with it.
  }
  if (membership::RecordAccusation(
        controller.m_detector, controller.m_table, aAccusation, aContext.m_now)) {
    MarkTableChanged(controller);
    controller.m_accusationOutbox.push_back(aAccusation);
  }
}

void
AccuseMember(StepContext& aContext, std::string_view aNode)
{
  Controller& controller = aContext.m_controller;
  if (!membership::Accuse(controller.m_detector, controller.m_table, aNode, aContext.m_now)) {
    return;
  }
  ++controller.m_counters.m_accusations;
  const Member& accused = *FindMember(controller, aNode);
  LogLine(LogLevel::Info, "member_suspected", aNode)
    .Add("member", aNode)
    .Add("counter", accused.m_counter);
  QueueMemberChange(aContext, accused);
  wire::AccusationT accusation;
  accusation.node = accused.m_node;
  accusation.incarnation = accused.m_incarnation;
  accusation.counter = accused.m_counter;
  accusation.accuser = controller.m_table.m_self;
  controller.m_accusationOutbox.push_back(std::move(accusation));
}

void
SendAllMembers(StepContext& aContext, std::string_view aNode)
{
  std::vector<const Member*> all;
  for (const auto& [node, record] : aContext.m_controller.m_table.m_members) {
    if (record.m_member.m_state != MemberState::Gone) {
      all.push_back(&record.m_member);
    }
  }
  SendEntries(aContext, aNode, all);
}

void
TickMembers(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  if (aContext.m_now < controller.m_nextGoneCheck) {
    return;
  }
  controller.m_nextGoneCheck = aContext.m_now + kGoneCheckIntervalMs;
  for (const Member& gone :
       membership::DeclareGone(controller.m_detector, controller.m_table, aContext.m_now)) {
    LogLine(LogLevel::Warning, "member_gone", gone.m_node).Add("member", gone.m_node);
    QueueMemberChange(aContext, gone);
  }
  if (membership::PurgeGone(
        controller.m_table, aContext.m_now, controller.m_options.m_goneRetentionMs)) {
    MarkTableChanged(controller);
  }
}

void
FlushMembers(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  if (!controller.m_memberOutbox.empty()) {
    wire::MemberUpdateT update;
    for (const auto& [node, member] : controller.m_memberOutbox) {
      Append(update, member);
    }
    const MessagePtr message = MakeSharedMessage(std::move(update));
    for (const auto& [node, link] : controller.m_links) {
      SendChange(aContext, node, link, message);
    }
    controller.m_memberOutbox.clear();
  }
  for (wire::AccusationT& accusation : controller.m_accusationOutbox) {
    const MessagePtr message = MakeSharedMessage(std::move(accusation));
    for (const auto& [node, link] : controller.m_links) {
      SendChange(aContext, node, link, message);
    }
  }
  controller.m_accusationOutbox.clear();
}

} // namespace sequoiastep::distribution
