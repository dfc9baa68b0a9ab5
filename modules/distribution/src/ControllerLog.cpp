// Reading the configuration stream: which node reads and from where; and writing checkpoints to the
// log for joining nodes.
#include "ControllerPriv.h"
#include "Log.h"

#include <algorithm>

namespace sequoiastep::distribution {

namespace {

constexpr Milliseconds kLogBackoffMinMs = 100;
constexpr Milliseconds kLogBackoffMaxMs = 2000;
constexpr Milliseconds kLogReadGraceMs = 1000;

bool
ShouldReadLog(const Controller& aController, Instant aNow)
{
  if (aController.m_left || !aController.m_blockedReason.empty() ||
      !aController.m_options.m_followPublications) {
    return false;
  }
  if (aController.m_phase == JoinPhase::FromLog) {
    return aController.m_checkpointsRead;
  }
  if (aController.m_phase != JoinPhase::Joined) {
    return false;
  }
  const std::size_t rank = ReaderRank(aController);
  if (rank >= aController.m_options.m_topology.m_readers) {
    return false;
  }
  return rank == 0 || LowerRanksLackLogContact(aController, rank, aNow);
}

void
StartLogRead(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  controller.m_logReadInFlight = true;
  controller.m_logReadStartedAt = aContext.m_now;
  ++controller.m_counters.m_logReads;
  const bool joining = controller.m_phase == JoinPhase::FromLog;
  aContext.m_actions.emplace_back(
    ReadConfig{ .m_from = controller.m_replay->m_position,
                .m_waitMs = joining ? 0 : controller.m_options.m_logWaitMs });
}

void
BackOff(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  controller.m_logBackoffMs =
    NextBackoff(controller.m_random, controller.m_logBackoffMs, kLogBackoffMinMs, kLogBackoffMaxMs);
  controller.m_logRetryAt = aContext.m_now + controller.m_logBackoffMs;
}

void
WriteCheckpointIfDue(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  const ControllerOptions& options = controller.m_options;
  const bool due = controller.m_recordsSinceCheckpoint >= options.m_checkpointEveryRecords ||
                   aContext.m_now - controller.m_lastCheckpointAt >= options.m_checkpointEveryMs;
  if (!due || !controller.m_ready || controller.m_replay->m_position == 0 ||
      controller.m_topology.m_checkpointWriter != controller.m_table.m_self) {
    return;
  }
  controller.m_lastCheckpointAt = aContext.m_now;
  controller.m_recordsSinceCheckpoint = 0;
  aContext.m_actions.emplace_back(
    AppendCheckpoint{ .m_body = config::EncodeCheckpoint(*controller.m_replay) });
}

} // namespace

bool
LowerRanksLackLogContact(const Controller& aController, std::size_t aRank, Instant aNow)
{
  const ControllerOptions& options = aController.m_options;
  const auto& order = aController.m_topology.m_readerOrder.at(options.m_region);
  const Milliseconds takeoverMs =
    options.m_readerTakeoverMs +
    static_cast<Milliseconds>(aRank - 1) * options.m_readerTakeoverStepMs;
  for (std::size_t lower = 0; lower < aRank; ++lower) {
    const auto link = aController.m_links.find(order[lower]);
    if (link == aController.m_links.end()) {
      continue;
    }
    const Instant lastContact = link->second.m_peerLogContact.value_or(link->second.m_openedAt);
    if (aNow - lastContact < takeoverMs) {
      return false;
    }
  }
  return true;
}

// The log may assign again the offsets of records that this node has replayed, so new records
// cannot be told from those. The node keeps its version and logs an error.
void
HandleLogTruncated(StepContext& aContext, std::uint64_t aNext)
{
  Controller& controller = aContext.m_controller;
  if (controller.m_counters.m_logTruncations++ == 0) {
    LogLine(LogLevel::Error, "log_went_back")
      .Add("position", controller.m_replay->m_position)
      .Add("next", aNext)
      .Add("remedy", "the log lost records; publish under a new mesh name");
  }
  BackOff(aContext);
  controller.m_logRetryAt = aContext.m_now + kLogBackoffMaxMs;
}

void
HandleConfigRead(StepContext& aContext, const ConfigRead& aRead)
{
  Controller& controller = aContext.m_controller;
  controller.m_logReadInFlight = false;
  if (aRead.m_next && *aRead.m_next < controller.m_replay->m_position) {
    HandleLogTruncated(aContext, *aRead.m_next);
    return;
  }
  controller.m_lastLogContact = aContext.m_now;
  controller.m_logBackoffMs = 0;
  controller.m_logCaughtUp = aRead.m_records.empty();
  for (const LogRecordBody& record : aRead.m_records) {
    if (record.m_offset >= controller.m_replay->m_position) {
      ReplayFromLog(aContext, record);
    }
  }
  if (controller.m_phase == JoinPhase::FromLog && controller.m_logCaughtUp) {
    FinishJoin(aContext);
  }
  if (ShouldReadLog(controller, aContext.m_now)) {
    StartLogRead(aContext);
  }
}

void
HandleConfigExpired(StepContext& aContext, const ConfigExpired& aExpired)
{
  Controller& controller = aContext.m_controller;
  controller.m_logReadInFlight = false;
  LogLine(LogLevel::Error, "log_records_expired")
    .Add("position", controller.m_replay->m_position)
    .Add("first", aExpired.m_first)
    .Add("remedy",
         "a checkpoint or a peer must fill the gap; if all nodes were down for longer "
         "than the log's retention, publish under a new mesh name");
  BackOff(aContext);
  controller.m_logRetryAt = aContext.m_now + kLogBackoffMaxMs;
  aContext.m_actions.emplace_back(ReadCheckpoints{});
}

void
HandleConfigReadFailed(StepContext& aContext)
{
  aContext.m_controller.m_logReadInFlight = false;
  BackOff(aContext);
}

void
HandleCheckpointsRead(StepContext& aContext, const CheckpointsRead& aRead)
{
  Controller& controller = aContext.m_controller;
  controller.m_checkpointsRead = true;
  // The one with the highest position is used, wherever it is in the list: a writer that was paused
  // may append an old one late.
  for (const std::string& body : aRead.m_bodies) {
    AdoptCheckpoint(aContext, body);
  }
}

void
TickLog(StepContext& aContext)
{
  Controller& controller = aContext.m_controller;
  if (!controller.m_logReadInFlight && aContext.m_now >= controller.m_logRetryAt &&
      ShouldReadLog(controller, aContext.m_now)) {
    StartLogRead(aContext);
  }
  WriteCheckpointIfDue(aContext);
}

std::uint32_t
LogContactAge(const Controller& aController, Instant aNow)
{
  constexpr std::uint32_t kNoLogContact = 0xffffffffU;
  if (!aController.m_lastLogContact) {
    return kNoLogContact;
  }
  const bool readPending =
    aController.m_logReadInFlight && aController.m_logBackoffMs == 0 &&
    aNow - aController.m_logReadStartedAt < aController.m_options.m_logWaitMs + kLogReadGraceMs;
  if (readPending) {
    return 0;
  }
  return static_cast<std::uint32_t>(
    std::min<Milliseconds>(aNow - *aController.m_lastLogContact, kNoLogContact));
}

} // namespace sequoiastep::distribution
