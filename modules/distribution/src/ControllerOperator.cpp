// The operator's record: a few readers watch the platform's store, and the newest version spreads
// down the trees as a delta. Whoever sees that a peer is ahead pulls.
//
// A record is a whole configuration, so versions alone decide: there are no gaps to mend.
#include "Compression.h"
#include "ControllerPriv.h"
#include "Log.h"

#include <algorithm>

namespace sequoiastep::distribution {

namespace {

constexpr std::size_t kKeptTexts = 4;
constexpr std::size_t kMostTextBytes = 8U << 20;
constexpr Milliseconds kPullAgainMs = 300;
// Another region's reader is asked only if the own readers did not bring the version in this time.
constexpr Milliseconds kForeignPullDelayMs = 300;
// Readers of a region that watch the store at the same time: one may be cut off from it.
constexpr std::size_t kActiveReaders = 2;
constexpr Milliseconds kAloneMs = 1500;

const OperatorText*
FindText(const Controller& aController, std::uint64_t aVersion)
{
  for (const OperatorText& text : aController.m_operatorTexts) {
    if (text.m_version == aVersion) {
      return &text;
    }
  }
  return nullptr;
}

// A message with the newest version, as a delta if the receiver holds a version that is kept here.
MessagePtr
MakeOperatorMessage(const Controller& aController, std::uint64_t aReceiverHolds)
{
  const OperatorText& newest = aController.m_operatorTexts.back();
  const OperatorText* base = FindText(aController, aReceiverHolds);
  const std::string packed = base == nullptr ? wire::Compress(*newest.m_text)
                                             : wire::CompressDelta(*newest.m_text, *base->m_text);
  wire::OperatorRecordT record;
  record.version = newest.m_version;
  record.base_version = base == nullptr ? 0 : base->m_version;
  record.content.assign(packed.begin(), packed.end());
  return ShareMessage(std::move(record));
}

void
SendNewest(Turn& aTurn, std::string_view aNode, Link& aLink)
{
  const std::uint64_t version = HeldOperatorVersion(aTurn.m_controller);
  if (aLink.m_peerOperator >= version || aLink.m_operatorPushed >= version) {
    return;
  }
  const std::uint64_t base = std::max(aLink.m_peerOperator, aLink.m_operatorPushed);
  aLink.m_operatorPushed = version;
  SendTo(aTurn, aNode, MakeOperatorMessage(aTurn.m_controller, base));
}

bool
HasFreshLink(const Controller& aController, Instant aNow)
{
  return std::any_of(aController.m_links.begin(),
                     aController.m_links.end(),
                     [&](const auto& aItem) { return aNow - aItem.second.m_lastHeard < kAloneMs; });
}

} // namespace

std::uint64_t
HeldOperatorVersion(const Controller& aController)
{
  return aController.m_operatorTexts.empty() ? 0 : aController.m_operatorTexts.back().m_version;
}

bool
ReadsOperatorRecord(const Controller& aController, Instant aNow)
{
  if (HeldOperatorVersion(aController) == 0 || !HasFreshLink(aController, aNow)) {
    return true;
  }
  const std::size_t rank = ReaderRank(aController);
  if (rank >= aController.m_options.m_topology.m_readers) {
    return false;
  }
  return rank < kActiveReaders || LowerRanksAreSilent(aController, rank, aNow);
}

void
HandleStoreAnswered(Turn& aTurn)
{
  aTurn.m_controller.m_logContact = aTurn.m_now;
}

void
HandleOperatorHeld(Turn& aTurn, const OperatorHeld& aHeld)
{
  Controller& controller = aTurn.m_controller;
  if (aHeld.m_version <= HeldOperatorVersion(controller)) {
    return;
  }
  controller.m_operatorTexts.push_back({ .m_version = aHeld.m_version, .m_text = aHeld.m_text });
  if (controller.m_operatorTexts.size() > kKeptTexts) {
    controller.m_operatorTexts.pop_front();
  }
  for (const std::string& target : PassOnTargets(controller, aHeld.m_from)) {
    if (Link* link = FindLink(controller, target)) {
      SendNewest(aTurn, target, *link);
    }
  }
  for (auto& [node, link] : controller.m_links) {
    const bool knows =
      link.m_peerOperator >= aHeld.m_version || link.m_operatorPushed >= aHeld.m_version;
    link.m_heartbeatDue = link.m_heartbeatDue || !knows;
  }
}

void
HandleOperatorRecord(Turn& aTurn, std::string_view aNode, const wire::OperatorRecordT& aRecord)
{
  Controller& controller = aTurn.m_controller;
  Link& link = *FindLink(controller, aNode);
  link.m_peerOperator = std::max(link.m_peerOperator, aRecord.version);
  if (aRecord.version <= HeldOperatorVersion(controller)) {
    return;
  }
  const OperatorText* base =
    aRecord.base_version == 0 ? nullptr : FindText(controller, aRecord.base_version);
  if (aRecord.base_version != 0 && base == nullptr) {
    link.m_operatorPulledAt = aTurn.m_now;
    SendTo(aTurn, aNode, ShareMessage(wire::OperatorPullT()));
    return;
  }
  const std::string_view packed(reinterpret_cast<const char*>(aRecord.content.data()),
                                aRecord.content.size());
  const std::string text =
    Handle([&] { return wire::Decompress(packed, kMostTextBytes, base ? *base->m_text : ""); },
           [&](const Error& aError) {
             LogLine(LogLevel::Error, "operator_record_damaged")
               .Add("peer", aNode)
               .Add("reason", aError.m_message);
             return std::string();
           });
  if (!text.empty()) {
    aTurn.m_actions.emplace_back(
      TakeOperatorRecord{ .m_from = std::string(aNode), .m_text = text });
  }
}

void
HandleOperatorPull(Turn& aTurn, std::string_view aNode, const wire::OperatorPullT& aPull)
{
  Controller& controller = aTurn.m_controller;
  if (aPull.held < HeldOperatorVersion(controller)) {
    SendTo(aTurn, aNode, MakeOperatorMessage(controller, aPull.held));
  }
}

void
PullOperatorIfBehind(Turn& aTurn, std::string_view aNode, Link& aLink)
{
  Controller& controller = aTurn.m_controller;
  if (aLink.m_peerOperator <= HeldOperatorVersion(controller)) {
    aLink.m_operatorBehindSince.reset();
    return;
  }
  if (!aLink.m_operatorBehindSince) {
    aLink.m_operatorBehindSince = aTurn.m_now;
  }
  const bool patient =
    aLink.m_foreign && aTurn.m_now - *aLink.m_operatorBehindSince < kForeignPullDelayMs;
  if (patient || aTurn.m_now - aLink.m_operatorPulledAt < kPullAgainMs) {
    return;
  }
  aLink.m_operatorPulledAt = aTurn.m_now;
  wire::OperatorPullT pull;
  pull.held = HeldOperatorVersion(controller);
  SendTo(aTurn, aNode, ShareMessage(std::move(pull)));
}

} // namespace sequoiastep::distribution
