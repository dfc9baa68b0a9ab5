// The operator's record: a few readers watch the platform's store, and the newest version is pushed
// down the trees as a delta. A node that learns that a peer is ahead pulls from it.
//
// A record is a complete configuration, so comparing versions is enough: there are no gaps to fill.
#include "Compression.h"
#include "ControllerPriv.h"
#include "Log.h"

#include <algorithm>

namespace sequoiastep::distribution {

namespace {

constexpr std::size_t kMaxKeptRecords = 4;
constexpr std::size_t kMaxOperatorRecordBytes = 8U << 20;
constexpr Milliseconds kPullRetryMs = 300;
// A reader in another region is asked only if the own region's readers did not deliver the version
// in this time.
constexpr Milliseconds kCrossRegionPullDelayMs = 300;
// Readers of a region that watch the store at the same time, since one may be cut off from it.
constexpr std::size_t kActiveStoreReaders = 2;
constexpr Milliseconds kIsolatedAfterMs = 1500;

const OperatorRecordVersion*
FindOperatorRecord(const Controller& aController, std::uint64_t aVersion)
{
  for (const OperatorRecordVersion& record : aController.m_operatorRecords) {
    if (record.m_version == aVersion) {
      return &record;
    }
  }
  return nullptr;
}

// Makes a message with the newest version, as a delta if the receiver's version is still kept here.
MessagePtr
MakeOperatorMessage(const Controller& aController, std::uint64_t aReceiverVersion)
{
  const OperatorRecordVersion& newest = aController.m_operatorRecords.back();
  const OperatorRecordVersion* base = FindOperatorRecord(aController, aReceiverVersion);
  const std::string compressed = base == nullptr
                                   ? wire::Compress(*newest.m_text)
                                   : wire::CompressDelta(*newest.m_text, *base->m_text);
  wire::OperatorRecordT record;
  record.version = newest.m_version;
  record.base_version = base == nullptr ? 0 : base->m_version;
  record.content.assign(compressed.begin(), compressed.end());
  return MakeSharedMessage(std::move(record));
}

void
PushNewestRecord(StepContext& aContext, std::string_view aNode, Link& aLink)
{
  const std::uint64_t version = HeldOperatorVersion(aContext.m_controller);
  if (aLink.m_peerOperatorVersion >= version || aLink.m_operatorVersionPushed >= version) {
    return;
  }
  const std::uint64_t base = std::max(aLink.m_peerOperatorVersion, aLink.m_operatorVersionPushed);
  aLink.m_operatorVersionPushed = version;
  SendTo(aContext, aNode, MakeOperatorMessage(aContext.m_controller, base));
}

bool
HasFreshLink(const Controller& aController, Instant aNow)
{
  return std::any_of(
    aController.m_links.begin(), aController.m_links.end(), [&](const auto& aItem) {
      return aNow - aItem.second.m_lastHeard < kIsolatedAfterMs;
    });
}

} // namespace

std::uint64_t
HeldOperatorVersion(const Controller& aController)
{
  return aController.m_operatorRecords.empty() ? 0 : aController.m_operatorRecords.back().m_version;
}

bool
ShouldReadOperatorRecord(const Controller& aController, Instant aNow)
{
  if (HeldOperatorVersion(aController) == 0 || !HasFreshLink(aController, aNow)) {
    return true;
  }
  const std::size_t rank = ReaderRank(aController);
  if (rank >= aController.m_options.m_topology.m_readers) {
    return false;
  }
  return rank < kActiveStoreReaders || LowerRanksLackLogContact(aController, rank, aNow);
}

void
HandleStoreAnswered(StepContext& aContext, const StoreAnswered& aAnswer)
{
  aContext.m_controller.m_lastLogContact = aContext.m_now;
  LearnStoreEra(aContext, aAnswer.m_era);
}

void
HandleOperatorRecordApplied(StepContext& aContext, const OperatorRecordApplied& aApplied)
{
  Controller& controller = aContext.m_controller;
  if (aApplied.m_version <= HeldOperatorVersion(controller)) {
    return;
  }
  controller.m_operatorRecords.push_back(
    { .m_version = aApplied.m_version, .m_text = aApplied.m_text });
  if (controller.m_operatorRecords.size() > kMaxKeptRecords) {
    controller.m_operatorRecords.pop_front();
  }
  for (const std::string& peer : ForwardingPeers(controller, aApplied.m_from)) {
    if (Link* link = FindLink(controller, peer)) {
      PushNewestRecord(aContext, peer, *link);
    }
  }
  for (auto& [node, link] : controller.m_links) {
    const bool knows = link.m_peerOperatorVersion >= aApplied.m_version ||
                       link.m_operatorVersionPushed >= aApplied.m_version;
    link.m_heartbeatDue = link.m_heartbeatDue || !knows;
  }
}

void
HandleOperatorRecord(StepContext& aContext,
                     std::string_view aNode,
                     const wire::OperatorRecordT& aRecord)
{
  Controller& controller = aContext.m_controller;
  Link& link = *FindLink(controller, aNode);
  link.m_peerOperatorVersion = std::max(link.m_peerOperatorVersion, aRecord.version);
  if (aRecord.version <= HeldOperatorVersion(controller)) {
    return;
  }
  const OperatorRecordVersion* base =
    aRecord.base_version == 0 ? nullptr : FindOperatorRecord(controller, aRecord.base_version);
  if (aRecord.base_version != 0 && base == nullptr) {
    link.m_operatorPulledAt = aContext.m_now;
    SendTo(aContext, aNode, MakeSharedMessage(wire::OperatorPullT()));
    return;
  }
  const std::string_view compressed(reinterpret_cast<const char*>(aRecord.content.data()),
                                    aRecord.content.size());
  const std::string text = Handle(
    [&] {
      return wire::Decompress(compressed, kMaxOperatorRecordBytes, base ? *base->m_text : "");
    },
    [&](const Error& aError) {
      LogLine(LogLevel::Error, "operator_record_damaged")
        .Add("peer", aNode)
        .Add("reason", aError.m_message);
      return std::string();
    });
  if (!text.empty()) {
    aContext.m_actions.emplace_back(
      ApplyOperatorRecord{ .m_from = std::string(aNode), .m_text = text });
  }
}

void
HandleOperatorPull(StepContext& aContext, std::string_view aNode, const wire::OperatorPullT& aPull)
{
  Controller& controller = aContext.m_controller;
  if (aPull.held < HeldOperatorVersion(controller)) {
    SendTo(aContext, aNode, MakeOperatorMessage(controller, aPull.held));
  }
}

void
PullOperatorIfBehind(StepContext& aContext, std::string_view aNode, Link& aLink)
{
  Controller& controller = aContext.m_controller;
  if (aLink.m_peerOperatorVersion <= HeldOperatorVersion(controller)) {
    aLink.m_operatorBehindSince.reset();
    return;
  }
  if (!aLink.m_operatorBehindSince) {
    aLink.m_operatorBehindSince = aContext.m_now;
  }
  const bool awaitsOwnReaders =
    aLink.m_crossRegion && aContext.m_now - *aLink.m_operatorBehindSince < kCrossRegionPullDelayMs;
  if (awaitsOwnReaders || aContext.m_now - aLink.m_operatorPulledAt < kPullRetryMs) {
    return;
  }
  aLink.m_operatorPulledAt = aContext.m_now;
  wire::OperatorPullT pull;
  pull.held = HeldOperatorVersion(controller);
  SendTo(aContext, aNode, MakeSharedMessage(std::move(pull)));
}

} // namespace sequoiastep::distribution
