// Replays records of the configuration stream, forwards them to peers and pulls missing ones.
#include "ControllerPriv.h"
#include "Log.h"

#include <algorithm>

namespace sequoiastep::distribution {

namespace {

constexpr Milliseconds kPullRetryMs = 500;
// A reader in another region is asked only if the log did not deliver the record in this time, so
// that a record crosses a link between regions once.
constexpr Milliseconds kCrossRegionPullDelayMs = 800;

// Makes a heartbeat with the new position due for all peers but those that are known to hold the
// record or were pushed it, and summaries due for all.
void
MarkHeartbeatsDue(Controller& aController)
{
  const std::uint64_t position = aController.m_replay->m_position;
  for (auto& [node, link] : aController.m_links) {
    const bool knows = link.m_peerPosition >= position || link.m_pushedUpTo >= position;
    link.m_heartbeatDue = link.m_heartbeatDue || !knows;
    link.m_summariesDue = true;
  }
}

void
InstallIfNewer(StepContext& aContext, const config::ReplayStatePtr& aBefore)
{
  Controller& controller = aContext.m_controller;
  if (controller.m_replay->m_version == aBefore->m_version) {
    return;
  }
  aContext.m_actions.emplace_back(InstallSnapshot{
    .m_snapshot = config::MakeSnapshot(*controller.m_replay, controller.m_options.m_region) });
  LogLine(LogLevel::Info, "version_installed")
    .Add("version", controller.m_replay->m_version)
    .Add("position", controller.m_replay->m_position);
}

void
PushTo(StepContext& aContext,
       std::string_view aNode,
       const MessagePtr& aMessage,
       std::uint64_t aPosition)
{
  Link* link = FindLink(aContext.m_controller, aNode);
  if (link == nullptr || link->m_peerPosition >= aPosition) {
    return;
  }
  link->m_pushedUpTo = aPosition;
  ++aContext.m_controller.m_counters.m_recordsPushed;
  SendTo(aContext, aNode, aMessage);
}

void
ForwardRecord(StepContext& aContext, const RecordPtr& aRecord, std::string_view aFrom)
{
  const MessagePtr message = MakeSharedMessage(wire::ConfigRecordT(*aRecord));
  for (const std::string& peer : ForwardingPeers(aContext.m_controller, aFrom)) {
    PushTo(aContext, peer, message, aRecord->offset + 1);
  }
}

void
ReportBlocked(Controller& aController, const std::string& aReason)
{
  if (aController.m_blockedReason.empty()) {
    LogLine(LogLevel::Error, "replay_blocked").Add("reason", aReason);
  }
  aController.m_blockedReason = aReason;
}

void
ReportRefusal(Controller& aController, std::uint64_t aOffset, const std::string& aReason)
{
  ++aController.m_counters.m_publicationsRefused;
  LogLine(LogLevel::Warning, "publication_not_accepted")
    .Add("offset", aOffset)
    .Add("version", aController.m_replay->m_version)
    .Add("reason", aReason);
}

// Replays a record that follows the current position. Returns false if replay is blocked at it or
// its result differs from the peer's; the state is then unchanged.
bool
ReplayNext(StepContext& aContext, wire::ConfigRecordT aRecord, std::string_view aFrom)
{
  Controller& controller = aContext.m_controller;
  const config::ReplayStatePtr before = controller.m_replay;
  const std::string_view body(reinterpret_cast<const char*>(aRecord.body.data()),
                              aRecord.body.size());
  config::ReplayResult replayed = config::Replay(before, aRecord.offset, body);
  if (replayed.m_status == config::ReplayStatus::Blocked) {
    ReportBlocked(controller, replayed.m_reason);
    return false;
  }
  const bool hasDigest = aRecord.digest_after != 0; // Records read from the log carry no digest.
  if (hasDigest && replayed.m_state->m_digest != aRecord.digest_after) {
    ++controller.m_counters.m_divergences;
    LogLine(LogLevel::Error, "replay_differs_from_peer")
      .Add("peer", aFrom)
      .Add("offset", aRecord.offset)
      .Add("remedy", "a checkpoint is requested from the peer; if this repeats, restart the node");
    PullFrom(aContext, aFrom, true);
    return false;
  }
  controller.m_blockedReason.clear();
  controller.m_replay = replayed.m_state;
  ++controller.m_recordsSinceCheckpoint;
  if (replayed.m_status == config::ReplayStatus::Skipped) {
    ReportRefusal(controller, aRecord.offset, replayed.m_reason);
  }
  aRecord.previous = before->m_position;
  aRecord.digest_after = controller.m_replay->m_digest;
  const auto record = std::make_shared<const wire::ConfigRecordT>(std::move(aRecord));
  AddReplayed(controller.m_records, record);
  InstallIfNewer(aContext, before);
  ForwardRecord(aContext, record, aFrom);
  MarkHeartbeatsDue(controller);
  return true;
}

void
ReplayBuffered(StepContext& aContext, std::string_view aFrom)
{
  Controller& controller = aContext.m_controller;
  while (auto buffered = TakeSuccessor(controller.m_records, controller.m_replay->m_position)) {
    if (!ReplayNext(aContext, wire::ConfigRecordT(**buffered), aFrom)) {
      return;
    }
  }
}

} // namespace

std::set<std::string, std::less<>>
ForwardingPeers(const Controller& aController, std::string_view aFrom)
{
  const membership::Member& self = Self(aController);
  const TopologyOptions& topology = aController.m_options.m_topology;
  std::set<std::string, std::less<>> peers;
  if (const auto* order = OwnDomainOrder(aController)) {
    for (std::string& child : TreeChildren(*order, self.m_node, topology.m_fanOut)) {
      peers.insert(std::move(child));
    }
  }
  const membership::Member* sender = aFrom.empty() ? nullptr : FindMember(aController, aFrom);
  const bool fromOwnRegion = sender != nullptr && sender->m_region == self.m_region;
  if (ReaderRank(aController) < topology.m_readers && !fromOwnRegion) {
    for (std::string& head : ReaderRecipients(aController.m_topology, self, topology)) {
      peers.insert(std::move(head));
    }
  }
  peers.erase(std::string(aFrom));
  return peers;
}

void
ReplayFromLog(StepContext& aContext, const LogRecordBody& aRecord)
{
  wire::ConfigRecordT record;
  record.offset = aRecord.m_offset;
  record.body.assign(aRecord.m_body.begin(), aRecord.m_body.end());
  if (ReplayNext(aContext, std::move(record), {})) {
    ReplayBuffered(aContext, {});
  }
}

void
HandleConfigRecord(StepContext& aContext,
                   std::string_view aNode,
                   const wire::ConfigRecordT& aRecord)
{
  Controller& controller = aContext.m_controller;
  ++controller.m_counters.m_recordsReceived;
  Link* link = FindLink(controller, aNode);
  link->m_peerPosition = std::max(link->m_peerPosition, aRecord.offset + 1);
  const std::uint64_t position = controller.m_replay->m_position;
  if (aRecord.offset < position) {
    ++controller.m_counters.m_recordsRepeated;
    return;
  }
  if (aRecord.previous == position) {
    if (ReplayNext(aContext, wire::ConfigRecordT(aRecord), aNode)) {
      ReplayBuffered(aContext, aNode);
    }
    return;
  }
  ++controller.m_counters.m_recordGaps;
  BufferOutOfOrder(controller.m_records, std::make_shared<const wire::ConfigRecordT>(aRecord));
  PullFrom(aContext, aNode, false);
}

void
PullFrom(StepContext& aContext, std::string_view aNode, bool aFullState)
{
  Controller& controller = aContext.m_controller;
  Link* link = FindLink(controller, aNode);
  if (link == nullptr || aContext.m_now - link->m_pulledAt < kPullRetryMs) {
    return;
  }
  link->m_pulledAt = aContext.m_now;
  ++controller.m_counters.m_pulls;
  wire::PullT pull;
  pull.applied = controller.m_replay->m_position;
  pull.whole = aFullState;
  SendTo(aContext, aNode, MakeSharedMessage(std::move(pull)));
}

void
PullIfBehind(StepContext& aContext, std::string_view aNode)
{
  Controller& controller = aContext.m_controller;
  Link* link = FindLink(controller, aNode);
  if (link == nullptr || link->m_peerPosition <= controller.m_replay->m_position) {
    if (link != nullptr) {
      link->m_behindSince.reset();
    }
    return;
  }
  const membership::Member* peer = FindMember(controller, aNode);
  const bool crossRegion = peer != nullptr && peer->m_region != controller.m_options.m_region;
  if (!link->m_behindSince) {
    link->m_behindSince = aContext.m_now;
  }
  if (crossRegion && aContext.m_now - *link->m_behindSince < kCrossRegionPullDelayMs) {
    return;
  }
  PullFrom(aContext, aNode, false);
}

void
HandleVersionWanted(StepContext& aContext, const VersionWanted& aWanted)
{
  Controller& controller = aContext.m_controller;
  if (controller.m_replay->m_version >= aWanted.m_version) {
    return;
  }
  for (const auto& [node, link] : controller.m_links) {
    PullFrom(aContext, node, false);
  }
}

void
SendConfigAfter(StepContext& aContext,
                std::string_view aNode,
                std::uint64_t aPosition,
                bool aFullState)
{
  Controller& controller = aContext.m_controller;
  if (aPosition >= controller.m_replay->m_position) {
    return;
  }
  const auto records = RecordsAfter(controller.m_records, aPosition);
  if (!aFullState && records) {
    for (const RecordPtr& record : *records) {
      SendTo(aContext, aNode, MakeSharedMessage(wire::ConfigRecordT(*record)));
    }
    return;
  }
  ++controller.m_counters.m_checkpointsSent;
  const std::string checkpoint = config::EncodeCheckpoint(*controller.m_replay);
  wire::WholeT whole;
  whole.checkpoint.assign(checkpoint.begin(), checkpoint.end());
  SendTo(aContext, aNode, MakeSharedMessage(std::move(whole)));
}

void
HandlePull(StepContext& aContext, std::string_view aNode, const wire::PullT& aPull)
{
  SendConfigAfter(aContext, aNode, aPull.applied, aPull.whole);
  if (aPull.nonce != 0) {
    SendHeartbeat(aContext, aNode, *FindLink(aContext.m_controller, aNode), aPull.nonce);
  }
}

bool
AdoptCheckpoint(StepContext& aContext, std::string_view aBytes)
{
  Controller& controller = aContext.m_controller;
  const config::ReplayStatePtr before = controller.m_replay;
  const config::ReplayStatePtr state = Handle([&] { return config::DecodeCheckpoint(aBytes); },
                                              [](const Error& aError) {
                                                LogLine(LogLevel::Warning, "checkpoint_not_used")
                                                  .Add("kind", NameOf(aError.m_kind))
                                                  .Add("reason", aError.m_message);
                                                return config::ReplayStatePtr();
                                              });
  if (!state || state->m_position <= before->m_position) {
    return false;
  }
  if (state->m_version < before->m_version) {
    ++controller.m_counters.m_divergences;
    LogLine(LogLevel::Error, "checkpoint_is_older_than_held")
      .Add("held", before->m_version)
      .Add("offered", state->m_version);
    return false;
  }
  controller.m_replay = state;
  controller.m_blockedReason.clear();
  controller.m_records.m_replayed.clear(); // They end before the new position.
  controller.m_records.m_replayedBytes = 0;
  InstallIfNewer(aContext, before);
  MarkHeartbeatsDue(controller);
  ReplayBuffered(aContext, {});
  return true;
}

void
HandleCheckpoint(StepContext& aContext, std::string_view aNode, const wire::WholeT& aMessage)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aMessage.checkpoint.data()),
                               aMessage.checkpoint.size());
  if (AdoptCheckpoint(aContext, bytes)) {
    ++aContext.m_controller.m_counters.m_checkpointsAdopted;
    Link* link = FindLink(aContext.m_controller, aNode);
    link->m_peerPosition =
      std::max(link->m_peerPosition, aContext.m_controller.m_replay->m_position);
  }
}

} // namespace sequoiastep::distribution
