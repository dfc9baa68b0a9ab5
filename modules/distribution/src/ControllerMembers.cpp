// Spreading member changes: flooding of transitions, digest exchange, accusations.
#include "ControllerPriv.h"
#include "Log.h"

#include <algorithm>

namespace sequoiastep::distribution {

using membership::Member;
using membership::MemberState;
using membership::MergeResult;

namespace {

constexpr Milliseconds kDigestsAgainMs = 1000;
// Judging walks the whole member list, which need not be done at each tick.
constexpr Milliseconds kJudgeEveryMs = 500;
constexpr std::uint32_t kMismatchesBeforeExchange = 2;
constexpr std::size_t kEntriesInOneMessage = 400;

void
Append(wire::MemberUpdateT& aUpdate, const Member& aMember)
{
  aUpdate.entries.push_back(std::make_unique<wire::MemberEntryT>(membership::ToWire(aMember)));
}

void
TableChanged(Controller& aController)
{
  aController.m_topologyDirty = true;
  aController.m_membersChanged = true;
}

void
SendEntries(Turn& aTurn, std::string_view aNode, const std::vector<const Member*>& aEntries)
{
  wire::MemberUpdateT update;
  for (const Member* entry : aEntries) {
    Append(update, *entry);
    if (update.entries.size() == kEntriesInOneMessage) {
      SendTo(aTurn, aNode, ShareMessage(std::move(update)));
      update = {};
    }
  }
  if (!update.entries.empty()) {
    SendTo(aTurn, aNode, ShareMessage(std::move(update)));
  }
}

// While roles move, more links between regions are open than are wanted. Changes go over the wanted
// ones only; the exchange of digests makes up for what is missed.
void
SendChange(Turn& aTurn, const std::string& aNode, const Link& aLink, const MessagePtr& aMessage)
{
  if (!aLink.m_foreign || aTurn.m_controller.m_wanted.contains(aNode)) {
    SendTo(aTurn, aNode, aMessage);
  }
}

void
LogMember(const Member& aMember, std::string_view aFrom)
{
  const std::string_view state = membership::NameOf(aMember.m_state);
  LogLine(LogLevel::Info, "member_changed", state)
    .Add("member", aMember.m_node)
    .Add("state", state)
    .Add("counter", aMember.m_counter)
    .Add("service", aMember.m_service)
    .Add("slots", aMember.m_slots)
    .Add("from", aFrom);
}

} // namespace

void
NoteChange(Turn& aTurn, const Member& aMember)
{
  Controller& controller = aTurn.m_controller;
  TableChanged(controller);
  controller.m_outbox.insert_or_assign(aMember.m_node, aMember);
}

void
AnnounceSelf(Turn& aTurn, const Member& aEntry)
{
  const Member entry = membership::UpdateSelf(aTurn.m_controller.m_table, aEntry, aTurn.m_now);
  NoteChange(aTurn, entry);
}

void
HandleMemberUpdate(Turn& aTurn, std::string_view aNode, const wire::MemberUpdateT& aUpdate)
{
  Controller& controller = aTurn.m_controller;
  std::vector<const Member*> newer;
  for (const auto& wireEntry : aUpdate.entries) {
    const Member entry = membership::FromWire(*wireEntry);
    switch (membership::MergeMember(controller.m_table, entry, aTurn.m_now)) {
      case MergeResult::Changed:
        NoteChange(aTurn, entry);
        LogMember(entry, aNode);
        break;
      case MergeResult::Refuted:
        ++controller.m_counters.m_refutations;
        NoteChange(aTurn, Self(controller));
        break;
      case MergeResult::Older:
        newer.push_back(FindMember(controller, entry.m_node));
        break;
      case MergeResult::Known:
        break;
    }
  }
  SendEntries(aTurn, aNode, newer);
}

void
HandleMemberDigests(Turn& aTurn, std::string_view aNode, const wire::MemberDigestsT& aDigests)
{
  Controller& controller = aTurn.m_controller;
  if (aDigests.buckets.size() != membership::kDigestBuckets) {
    return; // Of another build; floods keep the lists in step until it is upgraded.
  }
  const auto ours = membership::BucketDigests(controller.m_table);
  std::vector<const Member*> differing;
  for (const auto& [node, record] : controller.m_table.m_members) {
    const std::size_t bucket = membership::BucketOf(node);
    if (ours[bucket] != aDigests.buckets[bucket] && record.m_member.m_state != MemberState::Gone) {
      differing.push_back(&record.m_member);
    }
  }
  SendEntries(aTurn, aNode, differing);
  if (aDigests.reply_wanted) {
    wire::MemberDigestsT reply;
    reply.buckets.assign(ours.begin(), ours.end());
    SendTo(aTurn, aNode, ShareMessage(std::move(reply)));
  }
}

void
CompareMemberDigest(Turn& aTurn, std::string_view aNode, std::uint64_t aDigest)
{
  Controller& controller = aTurn.m_controller;
  Link& link = *FindLink(controller, aNode);
  if (aDigest == controller.m_memberDigest) {
    link.m_mismatches = 0;
    return;
  }
  ++link.m_mismatches;
  if (link.m_mismatches < kMismatchesBeforeExchange ||
      aTurn.m_now - link.m_digestsSentAt < kDigestsAgainMs) {
    return;
  }
  link.m_mismatches = 0;
  link.m_digestsSentAt = aTurn.m_now;
  const auto ours = membership::BucketDigests(controller.m_table);
  wire::MemberDigestsT digests;
  digests.buckets.assign(ours.begin(), ours.end());
  digests.reply_wanted = true;
  SendTo(aTurn, aNode, ShareMessage(std::move(digests)));
}

void
HandleAccusation(Turn& aTurn, const wire::AccusationT& aAccusation)
{
  Controller& controller = aTurn.m_controller;
  if (aAccusation.node == controller.m_table.m_self) {
    return; // The Suspect entry that travels with it is refuted.
  }
  if (membership::RecordAccusation(
        controller.m_detector, controller.m_table, aAccusation, aTurn.m_now)) {
    TableChanged(controller);
    controller.m_accusationOutbox.push_back(aAccusation);
  }
}

void
AccuseMember(Turn& aTurn, std::string_view aNode)
{
  Controller& controller = aTurn.m_controller;
  if (!membership::Accuse(controller.m_detector, controller.m_table, aNode, aTurn.m_now)) {
    return;
  }
  ++controller.m_counters.m_accusations;
  const Member& accused = *FindMember(controller, aNode);
  LogLine(LogLevel::Info, "member_suspected", aNode)
    .Add("member", aNode)
    .Add("counter", accused.m_counter);
  NoteChange(aTurn, accused);
  wire::AccusationT accusation;
  accusation.node = accused.m_node;
  accusation.incarnation = accused.m_incarnation;
  accusation.counter = accused.m_counter;
  accusation.accuser = controller.m_table.m_self;
  controller.m_accusationOutbox.push_back(std::move(accusation));
}

void
SendAllMembers(Turn& aTurn, std::string_view aNode)
{
  std::vector<const Member*> all;
  for (const auto& [node, record] : aTurn.m_controller.m_table.m_members) {
    if (record.m_member.m_state != MemberState::Gone) {
      all.push_back(&record.m_member);
    }
  }
  SendEntries(aTurn, aNode, all);
}

void
TickMembers(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  if (aTurn.m_now < controller.m_nextJudgement) {
    return;
  }
  controller.m_nextJudgement = aTurn.m_now + kJudgeEveryMs;
  for (const Member& gone :
       membership::DeclareGone(controller.m_detector, controller.m_table, aTurn.m_now)) {
    LogLine(LogLevel::Warning, "member_gone", gone.m_node).Add("member", gone.m_node);
    NoteChange(aTurn, gone);
  }
  if (membership::PurgeGone(controller.m_table, aTurn.m_now, controller.m_options.m_keepGoneMs)) {
    TableChanged(controller);
  }
}

void
FlushMembers(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  if (!controller.m_outbox.empty()) {
    wire::MemberUpdateT update;
    for (const auto& [node, member] : controller.m_outbox) {
      Append(update, member);
    }
    const MessagePtr message = ShareMessage(std::move(update));
    for (const auto& [node, link] : controller.m_links) {
      SendChange(aTurn, node, link, message);
    }
    controller.m_outbox.clear();
  }
  for (wire::AccusationT& accusation : controller.m_accusationOutbox) {
    const MessagePtr message = ShareMessage(std::move(accusation));
    for (const auto& [node, link] : controller.m_links) {
      SendChange(aTurn, node, link, message);
    }
  }
  controller.m_accusationOutbox.clear();
}

} // namespace sequoiastep::distribution
