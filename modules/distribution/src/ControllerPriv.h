/// @file
/// Parts of the controller that its source files share.
#pragma once

#include "Controller.h"
#include "Frame.h"

#include <memory>
#include <string_view>

namespace sequoiastep::distribution {

/// One event being handled: the controller, the time and the actions so far.
struct Turn
{
  Controller& m_controller;
  Instant m_now;
  Actions& m_actions;
};

using MessagePtr = std::shared_ptr<const wire::EnvelopeT>;

template<typename MessageTable>
MessagePtr
ShareMessage(MessageTable&& aMessage)
{
  return std::make_shared<const wire::EnvelopeT>(
    wire::MakeEnvelope(std::forward<MessageTable>(aMessage)));
}

inline void
SendTo(Turn& aTurn, std::string_view aNode, MessagePtr aMessage)
{
  aTurn.m_actions.emplace_back(
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

/// @return the tree order of this node's failure domain, or nullptr.
const std::vector<std::string>*
OwnDomainOrder(const Controller& aController);

/// @return true if this node is the root of its failure domain's tree.
bool
HeadsOwnDomain(const Controller& aController);

/// @return the next delay of a decorrelated-jitter backoff, in milliseconds.
Milliseconds
NextDelay(Random& aRandom, Milliseconds aPrevious, Milliseconds aLeast, Milliseconds aMost);

// ControllerConfig.cpp
void
HandleRecord(Turn& aTurn, std::string_view aNode, const wire::ConfigRecordT& aRecord);
void
HandlePull(Turn& aTurn, std::string_view aNode, const wire::PullT& aPull);
void
HandleWhole(Turn& aTurn, std::string_view aNode, const wire::WholeT& aWhole);
void
SendConfigAfter(Turn& aTurn, std::string_view aNode, std::uint64_t aPosition, bool aWhole);
void
PullFrom(Turn& aTurn, std::string_view aNode, bool aWhole);
void
PullIfBehind(Turn& aTurn, std::string_view aNode);
void
HandleVersionWanted(Turn& aTurn, const VersionWanted& aWanted);
bool
AdoptCheckpoint(Turn& aTurn, std::string_view aBytes);

// ControllerLog.cpp
void
HandleConfigRead(Turn& aTurn, const ConfigRead& aRead);
void
HandleConfigExpired(Turn& aTurn, const ConfigExpired& aExpired);
void
HandleConfigReadFailed(Turn& aTurn);
void
HandleCheckpointsRead(Turn& aTurn, const CheckpointsRead& aRead);
void
TickLog(Turn& aTurn);
std::uint32_t
LogContactAge(const Controller& aController, Instant aNow);
void
ReplayFromLog(Turn& aTurn, const LogRecordBody& aRecord);

/// @return the peers that this node passes news on to: its children in the tree, and as a reader
/// the heads of the region's domains unless the news came from one of the region.
std::set<std::string, std::less<>>
PassOnTargets(const Controller& aController, std::string_view aFrom);

// ControllerOperator.cpp
void
HandleStoreAnswered(Turn& aTurn);
void
HandleOperatorHeld(Turn& aTurn, const OperatorHeld& aHeld);
void
HandleOperatorRecord(Turn& aTurn, std::string_view aNode, const wire::OperatorRecordT& aRecord);
void
HandleOperatorPull(Turn& aTurn, std::string_view aNode, const wire::OperatorPullT& aPull);
void
PullOperatorIfBehind(Turn& aTurn, std::string_view aNode, Link& aLink);

// ControllerLog.cpp
/// @return true if no reader of a rank below aRank was in contact with the log lately.
bool
LowerRanksAreSilent(const Controller& aController, std::size_t aRank, Instant aNow);

// ControllerPublish.cpp
void
HandlePublishRequested(Turn& aTurn, const PublishRequested& aRequest);
void
HandlePublicationAppended(Turn& aTurn, const PublicationAppended& aAppended);
void
TickPublishes(Turn& aTurn);

// ControllerMembers.cpp
void
HandleMemberUpdate(Turn& aTurn, std::string_view aNode, const wire::MemberUpdateT& aUpdate);
void
HandleMemberDigests(Turn& aTurn, std::string_view aNode, const wire::MemberDigestsT& aDigests);
void
HandleAccusation(Turn& aTurn, const wire::AccusationT& aAccusation);
void
CompareMemberDigest(Turn& aTurn, std::string_view aNode, std::uint64_t aDigest);
void
AnnounceSelf(Turn& aTurn, const membership::Member& aEntry);
void
AccuseMember(Turn& aTurn, std::string_view aNode);
void
NoteChange(Turn& aTurn, const membership::Member& aMember);
void
TickMembers(Turn& aTurn);
void
FlushMembers(Turn& aTurn);
void
SendAllMembers(Turn& aTurn, std::string_view aNode);

// ControllerLinks.cpp
void
HandleLinkOpened(Turn& aTurn, const LinkOpened& aOpened);
void
HandleLinkClosed(Turn& aTurn, const LinkClosed& aClosed);
void
HandleConnectFailed(Turn& aTurn, const ConnectFailed& aFailed);
void
TickLinks(Turn& aTurn);
void
DialAddress(Turn& aTurn, const std::string& aAddress);

// ControllerHeartbeat.cpp
void
HandleHeartbeat(Turn& aTurn, std::string_view aNode, const wire::HeartbeatT& aHeartbeat);
void
SendHeartbeat(Turn& aTurn, std::string_view aNode, Link& aLink, std::uint64_t aEcho);
void
TickHeartbeats(Turn& aTurn);

// ControllerDirectory.cpp
void
TickDirectory(Turn& aTurn);
void
HandleDirectoryRead(Turn& aTurn, const DirectoryRead& aRead);
void
HandleDirectoryWritten(Turn& aTurn, const DirectoryWritten& aWritten);

// ControllerJoin.cpp
void
AskToJoin(Turn& aTurn, std::string_view aNode);
void
HandleJoin(Turn& aTurn, std::string_view aNode, const wire::JoinT& aJoin);
void
HandleJoinBusy(Turn& aTurn, std::string_view aNode, const wire::JoinBusyT& aBusy);
void
HandleJoinDone(Turn& aTurn, std::string_view aNode, const wire::JoinDoneT& aDone);
void
FinishJoin(Turn& aTurn);
void
TickJoin(Turn& aTurn);
void
TickPause(Turn& aTurn);
void
UpdateReadiness(Turn& aTurn);

} // namespace sequoiastep::distribution
