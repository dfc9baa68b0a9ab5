#include "Controller.h"

#include "ControllerPriv.h"

#include <algorithm>

namespace sequoiastep::distribution {

using membership::Member;
using membership::MemberState;

namespace {

void
HandleMessage(StepContext& aContext, std::string_view aNode, const wire::EnvelopeT& aMessage)
{
  Link* link = FindLink(aContext.m_controller, aNode);
  if (link == nullptr) {
    return; // The link was replaced or closed while the message was queued.
  }
  link->m_lastHeard = aContext.m_now;
  const wire::BodyUnion& body = aMessage.body;
  switch (body.type) {
    case wire::Body::Heartbeat:
      return HandleHeartbeat(aContext, aNode, *body.AsHeartbeat());
    case wire::Body::ConfigRecord:
      return HandleConfigRecord(aContext, aNode, *body.AsConfigRecord());
    case wire::Body::Pull:
      return HandlePull(aContext, aNode, *body.AsPull());
    case wire::Body::Whole:
      return HandleCheckpoint(aContext, aNode, *body.AsWhole());
    case wire::Body::OperatorRecord:
      return HandleOperatorRecord(aContext, aNode, *body.AsOperatorRecord());
    case wire::Body::OperatorPull:
      return HandleOperatorPull(aContext, aNode, *body.AsOperatorPull());
    case wire::Body::MemberUpdate:
      return HandleMemberUpdate(aContext, aNode, *body.AsMemberUpdate());
    case wire::Body::MemberDigests:
      return HandleMemberDigests(aContext, aNode, *body.AsMemberDigests());
    case wire::Body::Accusation:
      return HandleAccusation(aContext, *body.AsAccusation());
    case wire::Body::RolloutUpdate:
      return HandleRolloutUpdate(aContext, aNode, *body.AsRolloutUpdate());
    case wire::Body::Join:
      return HandleJoin(aContext, aNode, *body.AsJoin());
    case wire::Body::JoinBusy:
      return HandleJoinBusy(aContext, aNode, *body.AsJoinBusy());
    case wire::Body::JoinDone:
      return HandleJoinDone(aContext, aNode, *body.AsJoinDone());
    default:
      return; // Calls use separate connections.
  }
}

void
HandleTargetChanged(StepContext& aContext, const TargetChanged& aChange)
{
  Controller& controller = aContext.m_controller;
  Member entry = Self(controller);
  entry.m_service = aChange.m_service;
  entry.m_slots = aChange.m_slots;
  entry.m_warmUpMs = aChange.m_warmUpMs;
  entry.m_perSecond = aChange.m_perSecond;
  entry.m_version = aChange.m_version;
  if (controller.m_phase == JoinPhase::Joined && !controller.m_left) {
    const bool draining = aChange.m_draining || controller.m_draining;
    entry.m_state = draining ? MemberState::Draining : MemberState::Up;
  }
  AnnounceSelf(aContext, entry);
  FlushMembers(aContext);
}

void
HandleDrainRequested(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  if (controller.m_draining) {
    return;
  }
  controller.m_draining = true;
  Member entry = Self(controller);
  entry.m_state = MemberState::Draining;
  AnnounceSelf(aContext, entry);
  FlushMembers(aContext);
}

void
HandleLeaveRequested(StepContext& aContext)
{
  aContext.m_controller.m_left = true;
  Member entry = Self(aContext.m_controller);
  entry.m_state = MemberState::Gone;
  AnnounceSelf(aContext, entry);
  FlushMembers(aContext);
}

void
HandleTick(StepContext& aContext)
{
  TickPause(aContext);
  TickJoin(aContext);
  TickDirectory(aContext);
  TickMembers(aContext);
  TickLinks(aContext);
  TickLog(aContext);
  TickPublishes(aContext);
  FlushMembers(aContext);
  TickHeartbeats(aContext);
  aContext.m_controller.m_lastTick = aContext.m_now;
}

// Dispatches one event to its handler.
struct Dispatch
{
  StepContext& m_context;

  void operator()(const LinkOpened& aEvent) { HandleLinkOpened(m_context, aEvent); }
  void operator()(const LinkClosed& aEvent) { HandleLinkClosed(m_context, aEvent); }
  void operator()(const ConnectFailed& aEvent) { HandleConnectFailed(m_context, aEvent); }
  void operator()(const MessageReceived& aEvent)
  {
    HandleMessage(m_context, aEvent.m_node, aEvent.m_message);
  }
  void operator()(const ConfigRead& aEvent) { HandleConfigRead(m_context, aEvent); }
  void operator()(const ConfigExpired& aEvent) { HandleConfigExpired(m_context, aEvent); }
  void operator()(const ConfigReadFailed&) { HandleConfigReadFailed(m_context); }
  void operator()(const CheckpointsRead& aEvent) { HandleCheckpointsRead(m_context, aEvent); }
  void operator()(const DirectoryWritten& aEvent) { HandleDirectoryWritten(m_context, aEvent); }
  void operator()(const DirectoryRead& aEvent) { HandleDirectoryRead(m_context, aEvent); }
  void operator()(const PublicationAppended& aEvent)
  {
    HandlePublicationAppended(m_context, aEvent);
  }
  void operator()(const PublishRequested& aEvent) { HandlePublishRequested(m_context, aEvent); }
  void operator()(const TargetChanged& aEvent) { HandleTargetChanged(m_context, aEvent); }
  void operator()(const DepartureRecorded& aEvent) { HandleDepartureRecorded(m_context, aEvent); }
  void operator()(const OperatorRecordApplied& aEvent)
  {
    HandleOperatorRecordApplied(m_context, aEvent);
  }
  void operator()(const RolloutOrdered& aEvent) { HandleRolloutOrdered(m_context, aEvent); }
  void operator()(const RolloutDecided& aEvent) { HandleRolloutDecided(m_context, aEvent); }
  void operator()(const StoreAnswered& aEvent) { HandleStoreAnswered(m_context, aEvent); }
  void operator()(const VersionWanted& aEvent) { HandleVersionWanted(m_context, aEvent); }
  void operator()(const DrainRequested&) { HandleDrainRequested(m_context); }
  void operator()(const LeaveRequested&) { HandleLeaveRequested(m_context); }
  void operator()(const Tick&) { HandleTick(m_context); }
};

} // namespace

Milliseconds
NextBackoff(Random& aRandom, Milliseconds aPrevious, Milliseconds aMin, Milliseconds aMax)
{
  const Milliseconds upper = std::min(aMax, std::max(aMin, aPrevious) * 3);
  const auto span = static_cast<std::uint64_t>(std::max<Milliseconds>(1, upper - aMin));
  return aMin + static_cast<Milliseconds>(aRandom.Below(span));
}

Controller
MakeController(const ControllerOptions& aOptions, Instant aNow)
{
  Controller controller;
  controller.m_options = aOptions;
  controller.m_random.m_state = aOptions.m_seed;
  controller.m_table.m_self = aOptions.m_node;
  controller.m_detector.m_options = aOptions.m_detector;
  controller.m_replay = config::MakeEmptyState();
  // Without publications there is no configuration stream to catch up with.
  controller.m_phase = aOptions.m_followPublications ? JoinPhase::Searching : JoinPhase::Joined;
  controller.m_startedAt = aNow;
  controller.m_phaseSince = aNow;
  controller.m_lastTick = aNow;
  controller.m_lastCheckpointAt = aNow;
  controller.m_nextDirectoryWrite = aNow;
  controller.m_nextGoneProbe = aNow;
  controller.m_logJoinJitterMs = static_cast<Milliseconds>(
    controller.m_random.Below(static_cast<std::uint64_t>(aOptions.m_joinWaitMs)));
  const Member entry{ .m_node = aOptions.m_node,
                      .m_incarnation = aOptions.m_incarnation,
                      .m_counter = 0,
                      .m_state =
                        aOptions.m_followPublications ? MemberState::Starting : MemberState::Up,
                      .m_address = aOptions.m_address,
                      .m_region = aOptions.m_region,
                      .m_failureDomain = aOptions.m_failureDomain,
                      .m_service = {},
                      .m_slots = 0,
                      .m_warmUpMs = 0 };
  membership::UpdateSelf(controller.m_table, entry, aNow);
  return controller;
}

Actions
Step(Controller& aController, Event aEvent, Instant aNow)
{
  Actions actions;
  StepContext context{ .m_controller = aController, .m_now = aNow, .m_actions = actions };
  std::visit(Dispatch{ context }, aEvent);
  FlushRollouts(context);
  UpdateReadiness(context);
  if (aController.m_membersChanged) {
    aController.m_membersChanged = false;
    actions.emplace_back(MembersChanged{});
  }
  return actions;
}

const Member&
Self(const Controller& aController)
{
  return aController.m_table.m_members.find(aController.m_table.m_self)->second.m_member;
}

std::size_t
ReaderRank(const Controller& aController)
{
  const auto readers = aController.m_topology.m_readerOrder.find(aController.m_options.m_region);
  if (readers == aController.m_topology.m_readerOrder.end()) {
    return static_cast<std::size_t>(-1);
  }
  const std::size_t rank = RankIn(readers->second, aController.m_table.m_self);
  return rank == readers->second.size() ? static_cast<std::size_t>(-1) : rank;
}

const std::vector<std::string>*
OwnDomainOrder(const Controller& aController)
{
  const Member& self = Self(aController);
  const auto order =
    aController.m_topology.m_domainOrder.find({ self.m_region, self.m_failureDomain });
  return order == aController.m_topology.m_domainOrder.end() ? nullptr : &order->second;
}

bool
IsDomainHead(const Controller& aController)
{
  const auto* order = OwnDomainOrder(aController);
  return order != nullptr && !order->empty() && order->front() == aController.m_table.m_self;
}

} // namespace sequoiastep::distribution
