#include "RolloutStatusWriter.h"

#include "Evidence.h"
#include "Log.h"
#include "LogCalls.h"
#include "Names.h"

#include <algorithm>
#include <chrono>

namespace sequoiastep::node {

namespace asio = net::asio;
using adapter::RolloutState;
using net::Awaitable;
using net::kAsTuple;
using rollout::Rollout;
using rollout::RolloutPhase;

namespace {

constexpr Milliseconds kPollMs = 50;
constexpr std::size_t kJudges = 2;
// The second judge writes what the store has lacked for this long.
constexpr Milliseconds kTakeoverMs = 2000;
// An attempt without an answer is repeated after this time, so that a lost message does not cost
// the deadline. Several attempts at once do no harm, as their appends are conditional.
constexpr Milliseconds kAttemptMs = 500;
constexpr Milliseconds kMinBackoffMs = 100;
constexpr Milliseconds kMaxBackoffMs = 1000;

// The state that the store should hold but is not known to.
std::optional<RolloutState>
MissingState(const Rollout& aRollout, bool aRunningStored, Instant aNow)
{
  if (rollout::IsFinal(aRollout.m_phase)) {
    if (aRollout.m_finalOffset) {
      return std::nullopt;
    }
    return aRollout.m_phase == RolloutPhase::Completed ? RolloutState::Completed
                                                       : RolloutState::RolledBack;
  }
  // An order whose deadline has passed when it is first seen is never reported as running.
  const bool running = !aRunningStored && aNow < aRollout.m_deadline;
  return running ? std::optional(RolloutState::Running) : std::nullopt;
}

RolloutPhase
PhaseOf(RolloutState aState)
{
  return aState == RolloutState::Completed ? RolloutPhase::Completed : RolloutPhase::RolledBack;
}

std::size_t
RankAsJudge(const RoutingView& aView, std::string_view aService, const std::string& aNode)
{
  std::vector<std::string> nodes;
  for (const auto& [node, address] : aView.m_nodes) {
    nodes.push_back(node);
  }
  const auto judges = rollout::JudgesOf(aService, nodes);
  return static_cast<std::size_t>(std::find(judges.begin(), judges.end(), aNode) - judges.begin());
}

// The rollout has no final state in time, as when no target has the version. The judges say so.
void
LogOverdue(const Rollout& aRollout, std::size_t aRank)
{
  if (aRank < kJudges) {
    LogLine(LogLevel::Warning, "rollout_overdue")
      .Add("service", aRollout.m_service)
      .Add("version", aRollout.m_version)
      .Add("order", aRollout.m_order.m_offset)
      .Add("phase", rollout::NameOf(aRollout.m_phase));
  }
}

} // namespace

RolloutStatusWriter::RolloutStatusWriter(asio::io_context& aContext,
                                         platform::LogClient& aLog,
                                         SharedState& aShared,
                                         std::string aNode,
                                         Feed aFeed)
  : m_context(aContext)
  , m_log(aLog)
  , m_shared(aShared)
  , m_node(std::move(aNode))
  , m_feed(std::move(aFeed))
{
}

void
RolloutStatusWriter::Start()
{
  asio::co_spawn(m_context, Follow(), asio::detached);
}

void
RolloutStatusWriter::Stop()
{
  m_stopped = true;
}

Awaitable<void>
RolloutStatusWriter::Follow()
{
  while (!m_stopped) {
    if (const auto view = m_shared.m_view.load()) {
      for (const auto& [service, entry] : view->m_rollouts) {
        Review(*view, entry.m_rollout, Clock::Now());
      }
    }
    asio::steady_timer timer(m_context, std::chrono::milliseconds(kPollMs));
    co_await timer.async_wait(kAsTuple);
  }
}

// Starts to write the state that the store lacks, if it is this node's turn.
void
RolloutStatusWriter::Review(const RoutingView& aView, const Rollout& aRollout, Instant aNow)
{
  Progress& progress = m_progress[aRollout.m_service];
  if (progress.m_order != aRollout.m_order) {
    progress = { .m_order = aRollout.m_order };
  }
  const auto missing = MissingState(aRollout, progress.m_runningStored, aNow);
  if (missing != progress.m_wanted) {
    progress.m_wanted = missing;
    progress.m_wantedSince = aNow;
    progress.m_retryAt = {};
    progress.m_backoffMs = 0;
  }
  const bool overdue = !rollout::IsFinal(aRollout.m_phase) && aNow >= aRollout.m_deadline;
  if (overdue && !progress.m_overdueLogged) {
    progress.m_overdueLogged = true;
    LogOverdue(aRollout, RankAsJudge(aView, aRollout.m_service, m_node));
  }
  const bool awaitsAnswer = progress.m_inFlight && aNow - progress.m_startedAt < kAttemptMs;
  if (!missing || progress.m_superseded || awaitsAnswer || aNow < progress.m_retryAt) {
    return;
  }
  const std::size_t rank = RankAsJudge(aView, aRollout.m_service, m_node);
  if (rank == 0 || (rank == 1 && aNow - progress.m_wantedSince >= kTakeoverMs)) {
    progress.m_inFlight = true;
    progress.m_startedAt = aNow;
    asio::co_spawn(m_context, Write(aRollout, *missing, ++progress.m_attempts), asio::detached);
  }
}

// Takes up what the store already holds. Returns true if nothing has to be written.
bool
RolloutStatusWriter::HandleHeld(const Rollout& aRollout,
                                RolloutState aState,
                                const std::vector<platform::KeyedEntry>& aEntries)
{
  const std::string key = adapter::RolloutKey(aRollout.m_service);
  const auto held = std::find_if(
    aEntries.begin(), aEntries.end(), [&](const auto& aEntry) { return aEntry.m_key == key; });
  const auto status =
    held == aEntries.end() ? std::nullopt : adapter::DecodeRolloutStatus(held->m_value);
  if (!status) {
    return false;
  }
  Progress& progress = m_progress[aRollout.m_service];
  const rollout::OrderId order{ .m_era = status->m_era, .m_offset = status->m_order };
  const bool sameOrder =
    status->m_order == aRollout.m_order.m_offset && status->m_version == aRollout.m_version;
  if (!sameOrder) {
    progress.m_superseded = order > aRollout.m_order;
    return progress.m_superseded;
  }
  progress.m_runningStored = true;
  if (status->m_state == RolloutState::Running) {
    return aState == RolloutState::Running;
  }
  LogLine(LogLevel::Info, "rollout_state_found")
    .Add("service", aRollout.m_service)
    .Add("version", aRollout.m_version)
    .Add("order", aRollout.m_order.m_offset)
    .Add("state", adapter::NameOf(status->m_state))
    .Add("offset", held->m_offset);
  m_feed(distribution::RolloutDecided{ .m_service = aRollout.m_service,
                                       .m_order = aRollout.m_order,
                                       .m_phase = PhaseOf(status->m_state),
                                       .m_finalOffset = held->m_offset,
                                       .m_reason = "found in the store" });
  return true;
}

void
RolloutStatusWriter::HandleAppended(const Rollout& aRollout,
                                    RolloutState aState,
                                    std::uint64_t aOffset)
{
  LogLine(LogLevel::Info, "rollout_state_written")
    .Add("service", aRollout.m_service)
    .Add("version", aRollout.m_version)
    .Add("order", aRollout.m_order.m_offset)
    .Add("state", adapter::NameOf(aState))
    .Add("offset", aOffset)
    .Add("left_ms", aRollout.m_deadline - Clock::Now());
  m_progress[aRollout.m_service].m_runningStored = true;
  if (aState != RolloutState::Running) {
    m_feed(distribution::RolloutDecided{ .m_service = aRollout.m_service,
                                         .m_order = aRollout.m_order,
                                         .m_phase = PhaseOf(aState),
                                         .m_finalOffset = aOffset,
                                         .m_reason = "stored" });
  }
}

void
RolloutStatusWriter::Retry(const Rollout& aRollout, bool aAtOnce)
{
  Progress& progress = m_progress[aRollout.m_service];
  if (!aAtOnce) {
    progress.m_backoffMs = std::clamp(progress.m_backoffMs * 2, kMinBackoffMs, kMaxBackoffMs);
    progress.m_retryAt = Clock::Now() + progress.m_backoffMs;
  }
}

// One attempt; Review starts the next one if the store still lacks the state. An append whose
// answer was lost is found by the read of the next attempt, or fails there by its condition.
Awaitable<void>
RolloutStatusWriter::Write(Rollout aRollout, RolloutState aState, std::uint64_t aAttempt)
{
  const std::string topic(adapter::kStatusTopic);
  auto newest = co_await AwaitLogReply<platform::NewestReply>(
    m_context, [&](auto aHandler) { m_log.ReadNewest(topic, aHandler); });
  const bool isCurrent = m_progress[aRollout.m_service].m_order == aRollout.m_order;
  bool moved = false;
  if (newest.m_ok && isCurrent && !HandleHeld(aRollout, aState, newest.m_entries)) {
    const std::string value = adapter::EncodeRolloutStatus({ .m_service = aRollout.m_service,
                                                             .m_version = aRollout.m_version,
                                                             .m_state = aState,
                                                             .m_order = aRollout.m_order.m_offset,
                                                             .m_era = aRollout.m_order.m_era });
    const auto reply = co_await AwaitLogReply<platform::AppendReply>(m_context, [&](auto aHandler) {
      m_log.AppendKeyedAt(
        topic, adapter::RolloutKey(aRollout.m_service), value, newest.m_next, aHandler);
    });
    moved = reply.m_status == platform::AppendStatus::EndMoved;
    if (reply.m_status == platform::AppendStatus::Appended) {
      HandleAppended(aRollout, aState, reply.m_offset);
    }
  }
  // A newer attempt may be in flight by now, or the service may have a new order.
  Progress& progress = m_progress[aRollout.m_service];
  if (progress.m_order == aRollout.m_order && progress.m_attempts == aAttempt) {
    progress.m_inFlight = false;
    Retry(aRollout, moved);
  }
}

} // namespace sequoiastep::node
