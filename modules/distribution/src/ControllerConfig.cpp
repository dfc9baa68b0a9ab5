// Records of the configuration stream between peers: replay, passing on, mending gaps.
#include "ControllerPriv.h"
#include "Log.h"

#include <algorithm>

namespace sequoiastep::distribution {

namespace {

constexpr Milliseconds kPullAgainMs = 500;
// Another region's reader is asked only if the log did not bring the record in this time, so that a
// record crosses a region link once.
constexpr Milliseconds kForeignPullDelayMs = 800;

// Tells at the next tick how far this node is, but for those that gave or were given the record.
void
MarkHeartbeatsDue(Controller& aController)
{
  const std::uint64_t position = aController.m_replay->m_position;
  for (auto& [node, link] : aController.m_links) {
    const bool knows = link.m_peerPosition >= position || link.m_pushedUpTo >= position;
    link.m_heartbeatDue = link.m_heartbeatDue || !knows;
    link.m_sumsDue = true;
  }
}

void
InstallIfNewer(Turn& aTurn, const config::ReplayStatePtr& aBefore)
{
  Controller& controller = aTurn.m_controller;
  if (controller.m_replay->m_version == aBefore->m_version) {
    return;
  }
  aTurn.m_actions.emplace_back(InstallSnapshot{
    .m_snapshot = config::MakeSnapshot(*controller.m_replay, controller.m_options.m_region) });
  LogLine(LogLevel::Info, "version_installed")
    .Add("version", controller.m_replay->m_version)
    .Add("position", controller.m_replay->m_position);
}

void
PushTo(Turn& aTurn, std::string_view aNode, const MessagePtr& aMessage, std::uint64_t aPosition)
{
  Link* link = FindLink(aTurn.m_controller, aNode);
  if (link == nullptr || link->m_peerPosition >= aPosition) {
    return;
  }
  link->m_pushedUpTo = aPosition;
  ++aTurn.m_controller.m_counters.m_recordsPushed;
  SendTo(aTurn, aNode, aMessage);
}

void
PassOn(Turn& aTurn, const RecordPtr& aRecord, std::string_view aFrom)
{
  const MessagePtr message = ShareMessage(wire::ConfigRecordT(*aRecord));
  for (const std::string& target : PassOnTargets(aTurn.m_controller, aFrom)) {
    PushTo(aTurn, target, message, aRecord->offset + 1);
  }
}

void
NoteBlocked(Controller& aController, const std::string& aReason)
{
  if (aController.m_blockedReason.empty()) {
    LogLine(LogLevel::Error, "replay_blocked").Add("reason", aReason);
  }
  aController.m_blockedReason = aReason;
}

void
NoteRefusal(Controller& aController, std::uint64_t aOffset, const std::string& aReason)
{
  ++aController.m_counters.m_publicationsRefused;
  LogLine(LogLevel::Warning, "publication_not_accepted")
    .Add("offset", aOffset)
    .Add("version", aController.m_replay->m_version)
    .Add("reason", aReason);
}

// Replays a record that follows the current position. Returns false if it was not taken.
bool
ReplayNext(Turn& aTurn, wire::ConfigRecordT aRecord, std::string_view aFrom)
{
  Controller& controller = aTurn.m_controller;
  const config::ReplayStatePtr before = controller.m_replay;
  const std::string_view body(reinterpret_cast<const char*>(aRecord.body.data()),
                              aRecord.body.size());
  config::ReplayResult replayed = config::Replay(before, aRecord.offset, body);
  if (replayed.m_status == config::ReplayStatus::Blocked) {
    NoteBlocked(controller, replayed.m_reason);
    return false;
  }
  const bool claimed = aRecord.digest_after != 0; // Records out of the log bear no digest.
  if (claimed && replayed.m_state->m_digest != aRecord.digest_after) {
    ++controller.m_counters.m_divergences;
    LogLine(LogLevel::Error, "replay_differs_from_peer")
      .Add("peer", aFrom)
      .Add("offset", aRecord.offset)
      .Add("remedy", "the whole state is asked for; if it repeats, restart the node");
    PullFrom(aTurn, aFrom, true);
    return false;
  }
  controller.m_blockedReason.clear();
  controller.m_replay = replayed.m_state;
  ++controller.m_recordsSinceCheckpoint;
  if (replayed.m_status == config::ReplayStatus::Skipped) {
    NoteRefusal(controller, aRecord.offset, replayed.m_reason);
  }
  aRecord.previous = before->m_position;
  aRecord.digest_after = controller.m_replay->m_digest;
  const auto record = std::make_shared<const wire::ConfigRecordT>(std::move(aRecord));
  AddReplayed(controller.m_records, record);
  InstallIfNewer(aTurn, before);
  PassOn(aTurn, record, aFrom);
  MarkHeartbeatsDue(controller);
  return true;
}

void
ReplayWaiting(Turn& aTurn, std::string_view aFrom)
{
  Controller& controller = aTurn.m_controller;
  while (auto waiting = TakeSuccessor(controller.m_records, controller.m_replay->m_position)) {
    if (!ReplayNext(aTurn, wire::ConfigRecordT(**waiting), aFrom)) {
      return;
    }
  }
}

} // namespace

std::set<std::string, std::less<>>
PassOnTargets(const Controller& aController, std::string_view aFrom)
{
  const membership::Member& self = Self(aController);
  const TopologyOptions& topology = aController.m_options.m_topology;
  std::set<std::string, std::less<>> targets;
  if (const auto* order = OwnDomainOrder(aController)) {
    for (std::string& child : TreeChildren(*order, self.m_node, topology.m_fanOut)) {
      targets.insert(std::move(child));
    }
  }
  const membership::Member* sender = aFrom.empty() ? nullptr : FindMember(aController, aFrom);
  const bool cameFromHome = sender != nullptr && sender->m_region == self.m_region;
  if (ReaderRank(aController) < topology.m_readers && !cameFromHome) {
    for (std::string& head : ReaderRecipients(aController.m_topology, self, topology)) {
      targets.insert(std::move(head));
    }
  }
  targets.erase(std::string(aFrom));
  return targets;
}

void
ReplayFromLog(Turn& aTurn, const LogRecordBody& aRecord)
{
  wire::ConfigRecordT record;
  record.offset = aRecord.m_offset;
  record.body.assign(aRecord.m_body.begin(), aRecord.m_body.end());
  if (ReplayNext(aTurn, std::move(record), {})) {
    ReplayWaiting(aTurn, {});
  }
}

void
HandleRecord(Turn& aTurn, std::string_view aNode, const wire::ConfigRecordT& aRecord)
{
  Controller& controller = aTurn.m_controller;
  ++controller.m_counters.m_recordsReceived;
  Link* link = FindLink(controller, aNode);
  link->m_peerPosition = std::max(link->m_peerPosition, aRecord.offset + 1);
  const std::uint64_t position = controller.m_replay->m_position;
  if (aRecord.offset < position) {
    ++controller.m_counters.m_recordsRepeated;
    return;
  }
  if (aRecord.previous == position) {
    if (ReplayNext(aTurn, wire::ConfigRecordT(aRecord), aNode)) {
      ReplayWaiting(aTurn, aNode);
    }
    return;
  }
  ++controller.m_counters.m_gaps;
  BufferOutOfOrder(controller.m_records, std::make_shared<const wire::ConfigRecordT>(aRecord));
  PullFrom(aTurn, aNode, false);
}

void
PullFrom(Turn& aTurn, std::string_view aNode, bool aWhole)
{
  Controller& controller = aTurn.m_controller;
  Link* link = FindLink(controller, aNode);
  if (link == nullptr || aTurn.m_now - link->m_pulledAt < kPullAgainMs) {
    return;
  }
  link->m_pulledAt = aTurn.m_now;
  ++controller.m_counters.m_pulls;
  wire::PullT pull;
  pull.applied = controller.m_replay->m_position;
  pull.whole = aWhole;
  SendTo(aTurn, aNode, ShareMessage(std::move(pull)));
}

void
PullIfBehind(Turn& aTurn, std::string_view aNode)
{
  Controller& controller = aTurn.m_controller;
  Link* link = FindLink(controller, aNode);
  if (link == nullptr || link->m_peerPosition <= controller.m_replay->m_position) {
    if (link != nullptr) {
      link->m_behindSince.reset();
    }
    return;
  }
  const membership::Member* peer = FindMember(controller, aNode);
  const bool foreign = peer != nullptr && peer->m_region != controller.m_options.m_region;
  if (!link->m_behindSince) {
    link->m_behindSince = aTurn.m_now;
  }
  if (foreign && aTurn.m_now - *link->m_behindSince < kForeignPullDelayMs) {
    return;
  }
  PullFrom(aTurn, aNode, false);
}

void
HandleVersionWanted(Turn& aTurn, const VersionWanted& aWanted)
{
  Controller& controller = aTurn.m_controller;
  if (controller.m_replay->m_version >= aWanted.m_version) {
    return;
  }
  for (const auto& [node, link] : controller.m_links) {
    PullFrom(aTurn, node, false);
  }
}

void
SendConfigAfter(Turn& aTurn, std::string_view aNode, std::uint64_t aPosition, bool aWhole)
{
  Controller& controller = aTurn.m_controller;
  if (aPosition >= controller.m_replay->m_position) {
    return;
  }
  const auto records = RecordsAfter(controller.m_records, aPosition);
  if (!aWhole && records) {
    for (const RecordPtr& record : *records) {
      SendTo(aTurn, aNode, ShareMessage(wire::ConfigRecordT(*record)));
    }
    return;
  }
  ++controller.m_counters.m_wholesSent;
  const std::string checkpoint = config::EncodeCheckpoint(*controller.m_replay);
  wire::WholeT whole;
  whole.checkpoint.assign(checkpoint.begin(), checkpoint.end());
  SendTo(aTurn, aNode, ShareMessage(std::move(whole)));
}

void
HandlePull(Turn& aTurn, std::string_view aNode, const wire::PullT& aPull)
{
  SendConfigAfter(aTurn, aNode, aPull.applied, aPull.whole);
  if (aPull.nonce != 0) {
    SendHeartbeat(aTurn, aNode, *FindLink(aTurn.m_controller, aNode), aPull.nonce);
  }
}

bool
AdoptCheckpoint(Turn& aTurn, std::string_view aBytes)
{
  Controller& controller = aTurn.m_controller;
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
  controller.m_records.m_replayed.clear(); // They no longer reach up to the position.
  controller.m_records.m_replayedBytes = 0;
  InstallIfNewer(aTurn, before);
  MarkHeartbeatsDue(controller);
  ReplayWaiting(aTurn, {});
  return true;
}

void
HandleWhole(Turn& aTurn, std::string_view aNode, const wire::WholeT& aWhole)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aWhole.checkpoint.data()),
                               aWhole.checkpoint.size());
  if (AdoptCheckpoint(aTurn, bytes)) {
    ++aTurn.m_controller.m_counters.m_wholesTaken;
    Link* link = FindLink(aTurn.m_controller, aNode);
    link->m_peerPosition = std::max(link->m_peerPosition, aTurn.m_controller.m_replay->m_position);
  }
}

} // namespace sequoiastep::distribution
