// Joining: peers first, the log last, ready only at the floor; and checks after a pause.
#include "ControllerPriv.h"
#include "Log.h"

#include <algorithm>

namespace sequoiastep::distribution {

using membership::Member;
using membership::MemberState;

namespace {

constexpr Milliseconds kJoinAnswerMs = 2000;
constexpr Milliseconds kBusyLeastMs = 200;
constexpr std::uint64_t kBusySpreadMs = 800;
constexpr Milliseconds kPauseCheckMostMs = 2000;
constexpr Milliseconds kJoinWindowMs = 1000;

} // namespace

namespace {

void
SearchPeers(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  for (const std::string& hint : controller.m_options.m_hints) {
    DialAddress(aTurn, hint);
  }
  if (!controller.m_links.empty() && aTurn.m_now >= controller.m_joinRetryAt) {
    auto peer = controller.m_links.begin();
    std::advance(peer, controller.m_random.Below(controller.m_links.size()));
    AskToJoin(aTurn, peer->first);
    controller.m_joinRetryAt = aTurn.m_now + kJoinAnswerMs;
  }
}

void
TurnToLog(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  controller.m_phase = JoinPhase::FromLog;
  controller.m_phaseSince = aTurn.m_now;
  LogLine(LogLevel::Info, "join_from_log").Add("reason", "no peer answered");
  aTurn.m_actions.emplace_back(ReadCheckpoints{});
}

} // namespace

void
AskToJoin(Turn& aTurn, std::string_view aNode)
{
  Controller& controller = aTurn.m_controller;
  if (controller.m_phase == JoinPhase::Searching) {
    controller.m_phase = JoinPhase::Joining;
    controller.m_phaseSince = aTurn.m_now;
    controller.m_joinPeer = aNode;
  }
  wire::JoinT join;
  join.applied = controller.m_replay->m_position;
  SendTo(aTurn, aNode, ShareMessage(std::move(join)));
}

void
HandleJoin(Turn& aTurn, std::string_view aNode, const wire::JoinT& aJoin)
{
  Controller& controller = aTurn.m_controller;
  if (aTurn.m_now - controller.m_joinWindow >= kJoinWindowMs) {
    controller.m_joinWindow = aTurn.m_now;
    controller.m_joinsInWindow = 0;
  }
  const bool full = controller.m_joinsInWindow >= controller.m_options.m_joinsPerSecond;
  if (full || controller.m_phase != JoinPhase::Joined) {
    ++controller.m_counters.m_joinsDeferred;
    wire::JoinBusyT busy;
    busy.retry_after_ms =
      static_cast<std::uint32_t>(kBusyLeastMs + controller.m_random.Below(kBusySpreadMs));
    SendTo(aTurn, aNode, ShareMessage(std::move(busy)));
    return;
  }
  ++controller.m_joinsInWindow;
  ++controller.m_counters.m_joinsAnswered;
  SendAllMembers(aTurn, aNode);
  SendConfigAfter(aTurn, aNode, aJoin.applied, false);
  wire::JoinDoneT done;
  done.floor = controller.m_replay->m_position;
  SendTo(aTurn, aNode, ShareMessage(std::move(done)));
}

void
HandleJoinBusy(Turn& aTurn, std::string_view aNode, const wire::JoinBusyT& aBusy)
{
  Controller& controller = aTurn.m_controller;
  if (controller.m_phase == JoinPhase::Joining && controller.m_joinPeer == aNode) {
    controller.m_phase = JoinPhase::Searching;
    controller.m_joinRetryAt =
      aTurn.m_now + std::min<Milliseconds>(aBusy.retry_after_ms, kJoinAnswerMs);
  }
}

void
HandleJoinDone(Turn& aTurn, std::string_view, const wire::JoinDoneT& aDone)
{
  Controller& controller = aTurn.m_controller;
  controller.m_floor = std::max(controller.m_floor, aDone.floor);
  if (controller.m_phase != JoinPhase::Joined &&
      controller.m_replay->m_position >= controller.m_floor) {
    FinishJoin(aTurn);
  }
}

void
FinishJoin(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  LogLine(LogLevel::Info, "joined")
    .Add("from", controller.m_phase == JoinPhase::FromLog ? "log" : "peer")
    .Add("position", controller.m_replay->m_position)
    .Add("members", controller.m_table.m_members.size());
  controller.m_phase = JoinPhase::Joined;
  controller.m_phaseSince = aTurn.m_now;
  Member entry = Self(controller);
  entry.m_state = controller.m_draining ? MemberState::Draining : MemberState::Up;
  AnnounceSelf(aTurn, entry);
}

void
TickJoin(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  const Milliseconds inPhase = aTurn.m_now - controller.m_phaseSince;
  switch (controller.m_phase) {
    case JoinPhase::Searching:
      SearchPeers(aTurn);
      if (aTurn.m_now - controller.m_startedAt >
          controller.m_options.m_joinWaitMs + controller.m_logJoinJitterMs) {
        TurnToLog(aTurn);
      }
      break;
    case JoinPhase::Joining:
      if (inPhase > kJoinAnswerMs) {
        controller.m_phase = JoinPhase::Searching;
        controller.m_joinRetryAt = aTurn.m_now;
      }
      break;
    case JoinPhase::FromLog:
      SearchPeers(aTurn); // A peer that answers is as good as the log.
      break;
    case JoinPhase::Joined:
      break;
  }
}

void
TickPause(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  if (aTurn.m_now - controller.m_lastTick > controller.m_options.m_pauseMs) {
    ++controller.m_counters.m_pauses;
    controller.m_mustCheckPeers = true;
    controller.m_pausedAt = aTurn.m_now;
    controller.m_checkNonce = controller.m_random.Next() | 1U;
    LogLine(LogLevel::Warning, "process_was_paused")
      .Add("gap_ms", aTurn.m_now - controller.m_lastTick);
    for (auto& [node, link] : controller.m_links) {
      link.m_lastHeard = aTurn.m_now; // The silence was this node's own.
      wire::PullT pull;
      pull.applied = controller.m_replay->m_position;
      pull.nonce = controller.m_checkNonce;
      SendTo(aTurn, node, ShareMessage(std::move(pull)));
    }
  }
  if (controller.m_mustCheckPeers && aTurn.m_now - controller.m_pausedAt > kPauseCheckMostMs) {
    LogLine(LogLevel::Warning, "pause_check_unanswered");
    controller.m_mustCheckPeers = false;
  }
}

namespace {

// A node that has just started soon knows others, if there are any.
bool
KnowsOthersOrIsAlone(const Controller& aController, Instant aNow)
{
  return aController.m_table.m_members.size() > 1 ||
         aNow - aController.m_startedAt > aController.m_options.m_joinWaitMs;
}

} // namespace

void
UpdateReadiness(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  const bool ready =
    controller.m_phase == JoinPhase::Joined && !controller.m_mustCheckPeers &&
    controller.m_replay->m_position >= controller.m_floor && !controller.m_left &&
    (controller.m_options.m_followPublications || KnowsOthersOrIsAlone(controller, aTurn.m_now));
  if (ready != controller.m_ready) {
    controller.m_ready = ready;
    aTurn.m_actions.emplace_back(ReadinessChanged{ .m_ready = ready });
  }
}

} // namespace sequoiastep::distribution
