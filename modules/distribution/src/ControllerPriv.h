/// @file
/// Declarations shared by the source files of the controller.
#pragma once

#include "Controller.h"
#include "Frame.h"

#include <memory>
#include <string_view>

namespace sequoiastep::distribution {

/// Context of one call of Step: the controller, the current time and the actions so far.
struct StepContext
{
  Controller& m_controller;
  Instant m_now;
  Actions& m_actions;
};

using MessagePtr = std::shared_ptr<const wire::EnvelopeT>;

/// @return aMessage in an envelope that several sends can share.
template<typename MessageTable>
MessagePtr
MakeSharedMessage(MessageTable&& aMessage)
{
  return std::make_shared<const wire::EnvelopeT>(
    wire::MakeEnvelope(std::forward<MessageTable>(aMessage)));
}

inline void
SendTo(StepContext& aContext, std::string_view aNode, MessagePtr aMessage)
{
  aContext.m_actions.emplace_back(
    SendMessage{ .m_node = std::string(aNode), .m_message = std::move(aMessage) });
}

inline Link*
FindLink(Controller& aController, std::string_view aNode)
{
  const auto found = aController.m_links.find(aNode);
  return found == aController.m_links.end() ? nullptr : &found->second;
}

inline const membership::Member*
FindMember(const Controller& aController, std::string_view aNode)
{
  const auto found = aController.m_table.m_members.find(aNode);
  return found == aController.m_table.m_members.end() ? nullptr : &found->second.m_member;
}

/// @return the nodes of this node's failure domain in tree order, or nullptr if it has none.
const std::vector<std::string>*
OwnDomainOrder(const Controller& aController);

/// @return true if this node is the root of its failure domain's tree.
bool
IsDomainHead(const Controller& aController);

/// @return the next delay of an exponential backoff with decorrelated jitter, in milliseconds.
Milliseconds
NextBackoff(Random& aRandom, Milliseconds aPrevious, Milliseconds aMin, Milliseconds aMax);

// ControllerConfig.cpp
void
HandleConfigRecord(StepContext& aContext,
                   std::string_view aNode,
                   const wire::ConfigRecordT& aRecord);
void
HandlePull(StepContext& aContext, std::string_view aNode, const wire::PullT& aPull);
/// Handles a Whole message, which carries a checkpoint.
void
HandleCheckpoint(StepContext& aContext, std::string_view aNode, const wire::WholeT& aMessage);
/// Sends the records after aPosition, or a checkpoint if they are not all held.
/// @param aFullState send a checkpoint in any case.
void
SendConfigAfter(StepContext& aContext,
                std::string_view aNode,
                std::uint64_t aPosition,
                bool aFullState);
/// Sends a Pull unless one was sent over the link a short time ago.
/// @param aFullState ask for a checkpoint instead of records.
void
PullFrom(StepContext& aContext, std::string_view aNode, bool aFullState);
void
PullIfBehind(StepContext& aContext, std::string_view aNode);
void
HandleVersionWanted(StepContext& aContext, const VersionWanted& aWanted);
bool
AdoptCheckpoint(StepContext& aContext, std::string_view aBytes);

// ControllerLog.cpp
void
HandleConfigRead(StepContext& aContext, const ConfigRead& aRead);
void
HandleConfigExpired(StepContext& aContext, const ConfigExpired& aExpired);
void
HandleConfigReadFailed(StepContext& aContext);
void
HandleCheckpointsRead(StepContext& aContext, const CheckpointsRead& aRead);
void
TickLog(StepContext& aContext);
std::uint32_t
LogContactAge(const Controller& aController, Instant aNow);
void
ReplayFromLog(StepContext& aContext, const LogRecordBody& aRecord);

/// @param aFrom the peer that sent the update; empty if it came from the log or the store.
/// @return the peers that this node forwards the update to: its children in the tree and, if it is
/// a reader and aFrom is not in its region, the heads of the region's failure domains.
std::set<std::string, std::less<>>
ForwardingPeers(const Controller& aController, std::string_view aFrom);

// ControllerOperator.cpp
void
HandleStoreAnswered(StepContext& aContext, const StoreAnswered& aAnswer);
void
HandleOperatorRecordApplied(StepContext& aContext, const OperatorRecordApplied& aApplied);
void
HandleOperatorRecord(StepContext& aContext,
                     std::string_view aNode,
                     const wire::OperatorRecordT& aRecord);
void
HandleOperatorPull(StepContext& aContext, std::string_view aNode, const wire::OperatorPullT& aPull);
void
PullOperatorIfBehind(StepContext& aContext, std::string_view aNode, Link& aLink);

// ControllerLog.cpp
/// @return true if no reader of a rank below aRank that this node is linked to had contact with the
/// log lately.
bool
LowerRanksLackLogContact(const Controller& aController, std::size_t aRank, Instant aNow);

// ControllerPublish.cpp
void
HandlePublishRequested(StepContext& aContext, const PublishRequested& aRequest);
void
HandlePublicationAppended(StepContext& aContext, const PublicationAppended& aAppended);
void
TickPublishes(StepContext& aContext);

// ControllerMembers.cpp
void
HandleMemberUpdate(StepContext& aContext,
                   std::string_view aNode,
                   const wire::MemberUpdateT& aUpdate);
void
HandleMemberDigests(StepContext& aContext,
                    std::string_view aNode,
                    const wire::MemberDigestsT& aDigests);
void
HandleAccusation(StepContext& aContext, const wire::AccusationT& aAccusation);
void
CompareMemberDigest(StepContext& aContext, std::string_view aNode, std::uint64_t aDigest);
void
AnnounceSelf(StepContext& aContext, const membership::Member& aEntry);
void
AccuseMember(StepContext& aContext, std::string_view aNode);
void
QueueMemberChange(StepContext& aContext, const membership::Member& aMember);
void
TickMembers(StepContext& aContext);

// ControllerDepartures.cpp
void
HandleDepartureRecorded(StepContext& aContext, const DepartureRecorded& aRecorded);
/// Asks a peer, whose link was opened, to confirm the departures that no peer has confirmed yet.
void
RequestDepartureEchoes(StepContext& aContext, std::string_view aNode);
/// Handles a heartbeat of aNode that echoes a nonce.
void
HandleDepartureEcho(StepContext& aContext, std::string_view aNode, std::uint64_t aNonce);
/// Takes up what a peer remembers of this node's own entry; entries of other nodes are ignored. The
/// process before may have acknowledged that targets leave.
void
RecallOwnEntry(StepContext& aContext, const membership::Member& aEntry);

// ControllerMembers.cpp
void
FlushMembers(StepContext& aContext);
void
SendAllMembers(StepContext& aContext, std::string_view aNode);

// ControllerRollouts.cpp
void
HandleRolloutOrdered(StepContext& aContext, const RolloutOrdered& aOrdered);
void
HandleRolloutDecided(StepContext& aContext, const RolloutDecided& aDecided);
void
HandleRolloutUpdate(StepContext& aContext,
                    std::string_view aNode,
                    const wire::RolloutUpdateT& aUpdate);
/// Sends the whole table to a peer whose link was opened, unless the table is empty.
void
SendAllRollouts(StepContext& aContext, std::string_view aNode);
/// Exchanges tables with a peer whose digest differed twice in a row.
void
CompareRolloutDigest(StepContext& aContext, std::string_view aNode, std::uint64_t aDigest);
/// Sends the entries that changed in this step to the peers.
void
FlushRollouts(StepContext& aContext);

// ControllerLinks.cpp
void
HandleLinkOpened(StepContext& aContext, const LinkOpened& aOpened);
void
HandleLinkClosed(StepContext& aContext, const LinkClosed& aClosed);
void
HandleConnectFailed(StepContext& aContext, const ConnectFailed& aFailed);
void
TickLinks(StepContext& aContext);
void
DialAddress(StepContext& aContext, const std::string& aAddress);

// ControllerHeartbeat.cpp
void
HandleHeartbeat(StepContext& aContext, std::string_view aNode, const wire::HeartbeatT& aHeartbeat);
void
SendHeartbeat(StepContext& aContext, std::string_view aNode, Link& aLink, std::uint64_t aEcho);
void
TickHeartbeats(StepContext& aContext);

// ControllerDirectory.cpp
void
TickDirectory(StepContext& aContext);
void
HandleDirectoryRead(StepContext& aContext, const DirectoryRead& aRead);
void
HandleDirectoryWritten(StepContext& aContext, const DirectoryWritten& aWritten);
/// Learns an era of the store. In a new one this node writes its directory entry again, since the
/// copy that the store was restored from may lack it.
void
LearnStoreEra(StepContext& aContext, std::uint64_t aEra);

// ControllerJoin.cpp
void
RequestJoin(StepContext& aContext, std::string_view aNode);
void
HandleJoin(StepContext& aContext, std::string_view aNode, const wire::JoinT& aJoin);
void
HandleJoinBusy(StepContext& aContext, std::string_view aNode, const wire::JoinBusyT& aBusy);
void
HandleJoinDone(StepContext& aContext, std::string_view aNode, const wire::JoinDoneT& aDone);
void
FinishJoin(StepContext& aContext);
void
TickJoin(StepContext& aContext);
void
TickPause(StepContext& aContext);
void
UpdateReadiness(StepContext& aContext);

} // namespace sequoiastep::distribution
