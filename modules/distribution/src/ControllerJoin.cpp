// Joining: from a peer if possible, else from the log; ready only at the position that the peer
// reported. Also checks the position with peers after the process was paused.
#include "ControllerPriv.h"
#include "Log.h"

#include <algorithm>

namespace sequoiastep::distribution {

using membership::Member;
using membership::MemberState;

namespace {

constexpr Milliseconds kJoinTimeoutMs = 2000;
constexpr Milliseconds kJoinRetryMinMs = 200;
constexpr std::uint64_t kJoinRetryJitterMs = 800;
constexpr Milliseconds kPauseCheckTimeoutMs = 2000;
constexpr Milliseconds kJoinWindowMs = 1000;

} // namespace

namespace {

void
SearchPeers(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  for (const std::string& address : controller.m_options.m_bootstrapPeers) {
    DialAddress(aContext, address);
  }
  if (!controller.m_links.empty() && aContext.m_now >= controller.m_joinRetryAt) {
    auto peer = controller.m_links.begin();
    std::advance(peer, controller.m_random.Below(controller.m_links.size()));
    RequestJoin(aContext, peer->first);
    controller.m_joinRetryAt = aContext.m_now + kJoinTimeoutMs;
  }
}

void
FallBackToLog(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  controller.m_phase = JoinPhase::FromLog;
  controller.m_phaseSince = aContext.m_now;
  LogLine(LogLevel::Info, "join_from_log").Add("reason", "no peer answered");
  aContext.m_actions.emplace_back(ReadCheckpoints{});
}

} // namespace

void
RequestJoin(StepContext& aContext, std::string_view aNode)
{
  Controller& controller = aContext.m_controller;
  if (controller.m_phase == JoinPhase::Searching) {
    controller.m_phase = JoinPhase::Joining;
    controller.m_phaseSince = aContext.m_now;
    controller.m_joinPeer = aNode;
  }
  wire::JoinT join;
  join.applied = controller.m_replay->m_position;
  SendTo(aContext, aNode, MakeSharedMessage(std::move(join)));
}

void
HandleJoin(StepContext& aContext, std::string_view aNode, const wire::JoinT& aJoin)
{
  Controller& controller = aContext.m_controller;
  if (aContext.m_now - controller.m_joinWindowStart >= kJoinWindowMs) {
    controller.m_joinWindowStart = aContext.m_now;
    controller.m_joinsInWindow = 0;
  }
  const bool limitReached = controller.m_joinsInWindow >= controller.m_options.m_joinsPerSecond;
  if (limitReached || controller.m_phase != JoinPhase::Joined) {
    ++controller.m_counters.m_joinsDeferred;
    wire::JoinBusyT busy;
    busy.retry_after_ms =
      static_cast<std::uint32_t>(kJoinRetryMinMs + controller.m_random.Below(kJoinRetryJitterMs));
    SendTo(aContext, aNode, MakeSharedMessage(std::move(busy)));
    return;
  }
  ++controller.m_joinsInWindow;
  ++controller.m_counters.m_joinsAnswered;
  SendAllMembers(aContext, aNode);
  SendConfigAfter(aContext, aNode, aJoin.applied, false);
  wire::JoinDoneT done;
  done.floor = controller.m_replay->m_position;
  SendTo(aContext, aNode, MakeSharedMessage(std::move(done)));
}

void
HandleJoinBusy(StepContext& aContext, std::string_view aNode, const wire::JoinBusyT& aBusy)
{
  Controller& controller = aContext.m_controller;
  if (controller.m_phase == JoinPhase::Joining && controller.m_joinPeer == aNode) {
    controller.m_phase = JoinPhase::Searching;
    controller.m_joinRetryAt =
      aContext.m_now + std::min<Milliseconds>(aBusy.retry_after_ms, kJoinTimeoutMs);
  }
}

void
HandleJoinDone(StepContext& aContext, std::string_view, const wire::JoinDoneT& aDone)
{
  Controller& controller = aContext.m_controller;
  controller.m_minReadyPosition = std::max(controller.m_minReadyPosition, aDone.floor);
  if (controller.m_phase != JoinPhase::Joined &&
      controller.m_replay->m_position >= controller.m_minReadyPosition) {
    FinishJoin(aContext);
  }
}

void
FinishJoin(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  LogLine(LogLevel::Info, "joined")
    .Add("from", controller.m_phase == JoinPhase::FromLog ? "log" : "peer")
    .Add("position", controller.m_replay->m_position)
    .Add("members", controller.m_table.m_members.size());
  controller.m_phase = JoinPhase::Joined;
  controller.m_phaseSince = aContext.m_now;
  Member entry = Self(controller);
  entry.m_state = controller.m_draining ? MemberState::Draining : MemberState::Up;
  AnnounceSelf(aContext, entry);
}

void
TickJoin(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  const Milliseconds timeInPhase = aContext.m_now - controller.m_phaseSince;
  switch (controller.m_phase) {
    case JoinPhase::Searching:
      SearchPeers(aContext);
      if (aContext.m_now - controller.m_startedAt >
          controller.m_options.m_joinWaitMs + controller.m_logJoinJitterMs) {
        FallBackToLog(aContext);
      }
      break;
    case JoinPhase::Joining:
      if (timeInPhase > kJoinTimeoutMs) {
        controller.m_phase = JoinPhase::Searching;
        controller.m_joinRetryAt = aContext.m_now;
      }
      break;
    case JoinPhase::FromLog:
      SearchPeers(aContext); // An answer of a peer completes the join as well.
      break;
    case JoinPhase::Joined:
      break;
  }
}

void
TickPause(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  if (aContext.m_now - controller.m_lastTick > controller.m_options.m_pauseThresholdMs) {
    ++controller.m_counters.m_pauses;
    controller.m_pauseCheckPending = true;
    controller.m_pauseDetectedAt = aContext.m_now;
    controller.m_pauseCheckNonce = controller.m_random.Next() | 1U;
    LogLine(LogLevel::Warning, "process_was_paused")
      .Add("gap_ms", aContext.m_now - controller.m_lastTick);
    for (auto& [node, link] : controller.m_links) {
      link.m_lastHeard = aContext.m_now; // This node was paused; the peer may not have been silent.
      wire::PullT pull;
      pull.applied = controller.m_replay->m_position;
      pull.nonce = controller.m_pauseCheckNonce;
      SendTo(aContext, node, MakeSharedMessage(std::move(pull)));
    }
  }
  if (controller.m_pauseCheckPending &&
      aContext.m_now - controller.m_pauseDetectedAt > kPauseCheckTimeoutMs) {
    LogLine(LogLevel::Warning, "pause_check_unanswered");
    controller.m_pauseCheckPending = false;
  }
}

namespace {

// True if this node knows other members, or has found none within m_joinWaitMs of its start and so
// counts as alone.
bool
HasPeersOrJoinWaitOver(const Controller& aController, Instant aNow)
{
  return aController.m_table.m_members.size() > 1 ||
         aNow - aController.m_startedAt > aController.m_options.m_joinWaitMs;
}

} // namespace

void
UpdateReadiness(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  const bool ready = controller.m_phase == JoinPhase::Joined && !controller.m_pauseCheckPending &&
                     controller.m_replay->m_position >= controller.m_minReadyPosition &&
                     !controller.m_left &&
                     (controller.m_options.m_followPublications ||
                      HasPeersOrJoinWaitOver(controller, aContext.m_now));
  if (ready != controller.m_ready) {
    controller.m_ready = ready;
    aContext.m_actions.emplace_back(ReadinessChanged{ .m_ready = ready });
  }
}

} // namespace sequoiastep::distribution
