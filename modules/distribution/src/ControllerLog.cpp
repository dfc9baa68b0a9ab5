// Reading the log: which node reads, from where, and what it keeps there for starters.
#include "ControllerPriv.h"
#include "Log.h"

#include <algorithm>

namespace sequoiastep::distribution {

namespace {

constexpr Milliseconds kLogBackoffLeastMs = 100;
constexpr Milliseconds kLogBackoffMostMs = 2000;
constexpr Milliseconds kReadSlackMs = 1000;

bool
ShouldReadLog(const Controller& aController, Instant aNow)
{
  if (aController.m_left || !aController.m_blockedReason.empty() ||
      !aController.m_options.m_followPublications) {
    return false;
  }
  if (aController.m_phase == JoinPhase::FromLog) {
    return aController.m_checkpointsAsked;
  }
  if (aController.m_phase != JoinPhase::Joined) {
    return false;
  }
  const std::size_t rank = ReaderRank(aController);
  if (rank >= aController.m_options.m_topology.m_readers) {
    return false;
  }
  return rank == 0 || LowerRanksAreSilent(aController, rank, aNow);
}

void
StartRead(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  controller.m_readInFlight = true;
  controller.m_readStartedAt = aTurn.m_now;
  ++controller.m_counters.m_logReads;
  const bool starting = controller.m_phase == JoinPhase::FromLog;
  aTurn.m_actions.emplace_back(
    ReadConfig{ .m_from = controller.m_replay->m_position,
                .m_waitMs = starting ? 0 : controller.m_options.m_logWaitMs });
}

void
BackOff(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  controller.m_logDelayMs =
    NextDelay(controller.m_random, controller.m_logDelayMs, kLogBackoffLeastMs, kLogBackoffMostMs);
  controller.m_logRetryAt = aTurn.m_now + controller.m_logDelayMs;
}

void
WriteCheckpointIfDue(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  const ControllerOptions& options = controller.m_options;
  const bool due = controller.m_recordsSinceCheckpoint >= options.m_checkpointEveryRecords ||
                   aTurn.m_now - controller.m_lastCheckpoint >= options.m_checkpointEveryMs;
  if (!due || !controller.m_ready || controller.m_replay->m_position == 0 ||
      controller.m_topology.m_checkpointWriter != controller.m_table.m_self) {
    return;
  }
  controller.m_lastCheckpoint = aTurn.m_now;
  controller.m_recordsSinceCheckpoint = 0;
  aTurn.m_actions.emplace_back(
    AppendCheckpoint{ .m_body = config::EncodeCheckpoint(*controller.m_replay) });
}

} // namespace

bool
LowerRanksAreSilent(const Controller& aController, std::size_t aRank, Instant aNow)
{
  const ControllerOptions& options = aController.m_options;
  const auto& order = aController.m_topology.m_readerOrder.at(options.m_region);
  const Milliseconds patience = options.m_readerTakeoverMs + static_cast<Milliseconds>(aRank - 1) *
                                                               options.m_readerTakeoverStepMs;
  for (std::size_t lower = 0; lower < aRank; ++lower) {
    const auto link = aController.m_links.find(order[lower]);
    if (link == aController.m_links.end()) {
      continue;
    }
    const Instant lastContact = link->second.m_peerLogContact.value_or(link->second.m_openedAt);
    if (aNow - lastContact < patience) {
      return false;
    }
  }
  return true;
}

// Offsets that were given out already may be given out again: what is appended now can't be told
// from what was replayed. The node keeps its version and says so.
void
NoteLogWentBack(Turn& aTurn, std::uint64_t aNext)
{
  Controller& controller = aTurn.m_controller;
  if (controller.m_counters.m_logWentBack++ == 0) {
    LogLine(LogLevel::Error, "log_went_back")
      .Add("position", controller.m_replay->m_position)
      .Add("next", aNext)
      .Add("remedy", "the log lost records; publish under a new mesh name");
  }
  BackOff(aTurn);
  controller.m_logRetryAt = aTurn.m_now + kLogBackoffMostMs;
}

void
HandleConfigRead(Turn& aTurn, const ConfigRead& aRead)
{
  Controller& controller = aTurn.m_controller;
  controller.m_readInFlight = false;
  if (aRead.m_next && *aRead.m_next < controller.m_replay->m_position) {
    NoteLogWentBack(aTurn, *aRead.m_next);
    return;
  }
  controller.m_logContact = aTurn.m_now;
  controller.m_logDelayMs = 0;
  controller.m_logCaughtUp = aRead.m_records.empty();
  for (const LogRecordBody& record : aRead.m_records) {
    if (record.m_offset >= controller.m_replay->m_position) {
      ReplayFromLog(aTurn, record);
    }
  }
  if (controller.m_phase == JoinPhase::FromLog && controller.m_logCaughtUp) {
    FinishJoin(aTurn);
  }
  if (ShouldReadLog(controller, aTurn.m_now)) {
    StartRead(aTurn);
  }
}

void
HandleConfigExpired(Turn& aTurn, const ConfigExpired& aExpired)
{
  Controller& controller = aTurn.m_controller;
  controller.m_readInFlight = false;
  LogLine(LogLevel::Error, "log_records_expired")
    .Add("position", controller.m_replay->m_position)
    .Add("first", aExpired.m_first)
    .Add("remedy",
         "a checkpoint or a peer must bridge the gap; if all nodes were down for longer "
         "than the log's retention, publish under a new mesh name");
  BackOff(aTurn);
  controller.m_logRetryAt = aTurn.m_now + kLogBackoffMostMs;
  aTurn.m_actions.emplace_back(ReadCheckpoints{});
}

void
HandleConfigReadFailed(Turn& aTurn)
{
  aTurn.m_controller.m_readInFlight = false;
  BackOff(aTurn);
}

void
HandleCheckpointsRead(Turn& aTurn, const CheckpointsRead& aRead)
{
  Controller& controller = aTurn.m_controller;
  controller.m_checkpointsAsked = true;
  // The furthest one is used, wherever it lies: a paused writer appends an old one late.
  for (const std::string& body : aRead.m_bodies) {
    AdoptCheckpoint(aTurn, body);
  }
}

void
TickLog(Turn& aTurn)
{
  Controller& controller = aTurn.m_controller;
  if (!controller.m_readInFlight && aTurn.m_now >= controller.m_logRetryAt &&
      ShouldReadLog(controller, aTurn.m_now)) {
    StartRead(aTurn);
  }
  WriteCheckpointIfDue(aTurn);
}

std::uint32_t
LogContactAge(const Controller& aController, Instant aNow)
{
  constexpr std::uint32_t kNever = 0xffffffffU;
  if (!aController.m_logContact) {
    return kNever;
  }
  const bool waiting =
    aController.m_readInFlight && aController.m_logDelayMs == 0 &&
    aNow - aController.m_readStartedAt < aController.m_options.m_logWaitMs + kReadSlackMs;
  if (waiting) {
    return 0;
  }
  return static_cast<std::uint32_t>(
    std::min<Milliseconds>(aNow - *aController.m_logContact, kNever));
}

} // namespace sequoiastep::distribution
