#include "OperatorConfigSource.h"

#include "Log.h"
#include "LogCalls.h"
#include "Names.h"
#include "OperatorRecord.h"
#include "RolloutRecord.h"
#include "StoreCalls.h"

#include <chrono>

namespace sequoiastep::node {

namespace asio = net::asio;
using distribution::TopicRead;
using distribution::TopicReadOutcome;
using net::Awaitable;
using net::kAsTuple;

namespace {

// Long-poll time of a read. Short, since a connection to the store may go silent without a reset.
constexpr Milliseconds kReadWaitMs = 1800;
constexpr Milliseconds kRecheckIntervalMs = 100;

using SnapshotPtr = std::shared_ptr<const config::Snapshot>;

SnapshotPtr
DecodeOrLog(const std::string& aText)
{
  return Handle(
    [&] { return adapter::DecodeOperatorRecord(aText); },
    [](const Error& aError) {
      LogLine(LogLevel::Error, "operator_record_refused").Add("reason", aError.m_message);
      return SnapshotPtr();
    });
}

TopicReadOutcome
OutcomeOf(platform::ReadStatus aStatus)
{
  switch (aStatus) {
    case platform::ReadStatus::Ok:
      return TopicReadOutcome::Succeeded;
    case platform::ReadStatus::Expired:
      return TopicReadOutcome::Expired;
    case platform::ReadStatus::Failed:
      break;
  }
  return TopicReadOutcome::Failed;
}

void
LogIfRestored(const distribution::TopicFollower& aFollower, const TopicRead& aRead)
{
  if (aFollower.m_era != 0 && aRead.m_era > aFollower.m_era) {
    LogLine(LogLevel::Warning, "store_restored")
      .Add("era", aRead.m_era)
      .Add("before", aFollower.m_era)
      .Add("topic", adapter::kOperatorTopic)
      .Add("next", aFollower.m_next.value_or(0));
  }
}

struct FinalState
{
  rollout::RolloutPhase m_phase = rollout::RolloutPhase::Completed;
  std::uint64_t m_offset = 0;
};

// The final state of the order in the store, if aStates holds one.
std::optional<FinalState>
FindFinalState(const std::vector<platform::KeyedEntry>& aStates,
               const adapter::RolloutOrder& aOrder,
               std::uint64_t aOffset)
{
  for (const platform::KeyedEntry& entry : aStates) {
    const auto status = entry.m_key == adapter::RolloutKey(aOrder.m_service)
                          ? adapter::DecodeRolloutStatus(entry.m_value)
                          : std::nullopt;
    if (status && status->m_order == aOffset && status->m_version == aOrder.m_version &&
        status->m_state != adapter::RolloutState::Running) {
      const bool completed = status->m_state == adapter::RolloutState::Completed;
      return FinalState{ .m_phase = completed ? rollout::RolloutPhase::Completed
                                              : rollout::RolloutPhase::RolledBack,
                         .m_offset = entry.m_offset };
    }
  }
  return std::nullopt;
}

} // namespace

struct OperatorConfigSource::OrderBatch
{
  std::uint64_t m_era = 0;
  /// The records were written just now; else their age is not known.
  bool m_fresh = false;
  std::vector<platform::KeyedEntry> m_orders;
  /// Newest records of the topic of states; read only for orders that are not fresh.
  std::vector<platform::KeyedEntry> m_states;
};

OperatorConfigSource::OperatorConfigSource(asio::io_context& aContext,
                                           platform::LogClient& aLog,
                                           SharedState& aShared,
                                           Hooks aHooks,
                                           bool aFollowRollouts)
  : m_context(aContext)
  , m_log(aLog)
  , m_shared(aShared)
  , m_hooks(std::move(aHooks))
  , m_followRollouts(aFollowRollouts)
{
}

void
OperatorConfigSource::Start()
{
  asio::co_spawn(m_context, Follow(), asio::detached);
}

void
OperatorConfigSource::Stop()
{
  m_stopped = true;
}

void
OperatorConfigSource::InstallIfNewer(const std::string& aText, const std::string& aFrom)
{
  const SnapshotPtr next = DecodeOrLog(aText);
  const SnapshotPtr current = m_shared.m_snapshot.load();
  if (!next || (current && next->m_version <= current->m_version)) {
    return;
  }
  m_shared.m_snapshot.store(next);
  LogLine(LogLevel::Info, "version_installed")
    .Add("version", next->m_version)
    .Add("before", current ? current->m_version : 0)
    .Add("routes", next->m_effective->m_routes.size())
    .Add("from", aFrom.empty() ? "store" : aFrom);
  m_hooks.m_feed(
    distribution::OperatorRecordApplied{ .m_version = next->m_version,
                                         .m_text = std::make_shared<const std::string>(aText),
                                         .m_from = aFrom });
}

void
OperatorConfigSource::HandleEntry(const platform::KeyedEntry& aEntry, OrderBatch& aBatch)
{
  if (aEntry.m_value.empty()) {
    return;
  }
  if (aEntry.m_key == adapter::kOperatorKey) {
    InstallIfNewer(aEntry.m_value, {});
  } else if (m_followRollouts && adapter::IsRolloutKey(aEntry.m_key)) {
    aBatch.m_orders.push_back(aEntry);
  }
}

void
OperatorConfigSource::PassOrder(const platform::KeyedEntry& aEntry, const OrderBatch& aBatch)
{
  const auto order = Handle(
    [&]() -> Result<std::optional<adapter::RolloutOrder>> {
      BOOST_LEAF_AUTO(decoded, adapter::DecodeRolloutOrder(aEntry.m_key, aEntry.m_value));
      return std::optional(decoded);
    },
    [&](const Error& aError) {
      LogLine(LogLevel::Error, "rollout_order_refused")
        .Add("key", aEntry.m_key)
        .Add("order", aEntry.m_offset)
        .Add("reason", aError.m_message)
        .Add("total", ++m_refusedOrders);
      return std::optional<adapter::RolloutOrder>();
    });
  if (!order) {
    return;
  }
  distribution::RolloutOrdered ordered{ .m_service = order->m_service,
                                        .m_version = order->m_version,
                                        .m_durationMs = order->m_durationMs,
                                        .m_order = { .m_era = aBatch.m_era,
                                                     .m_offset = aEntry.m_offset },
                                        .m_fresh = aBatch.m_fresh };
  if (const auto final = FindFinalState(aBatch.m_states, *order, aEntry.m_offset)) {
    ordered.m_phase = final->m_phase;
    ordered.m_finalOffset = final->m_offset;
  }
  m_hooks.m_feed(std::move(ordered));
}

void
OperatorConfigSource::PassOrders(const OrderBatch& aBatch)
{
  for (const platform::KeyedEntry& entry : aBatch.m_orders) {
    PassOrder(entry, aBatch);
  }
}

void
OperatorConfigSource::RecordStoreContact(const TopicRead& aRead)
{
  const bool reachable = aRead.m_outcome != TopicReadOutcome::Failed;
  if (reachable) {
    m_hooks.m_feed(distribution::StoreAnswered{ .m_era = aRead.m_era });
  }
  if (reachable != m_storeReachable) {
    m_storeReachable = reachable;
    LogLine(reachable ? LogLevel::Info : LogLevel::Warning,
            reachable ? "store_regained" : "store_lost")
      .Add("topic", adapter::kOperatorTopic);
  }
}

Awaitable<void>
OperatorConfigSource::Sleep(Milliseconds aDelay)
{
  asio::steady_timer timer(m_context, std::chrono::milliseconds(aDelay));
  co_await timer.async_wait(kAsTuple);
}

// Reads the states of rollouts, so that an order that was found in the store is not handled again.
Awaitable<bool>
OperatorConfigSource::ReadStates(OrderBatch& aBatch)
{
  if (aBatch.m_orders.empty()) {
    co_return true;
  }
  auto states = co_await AwaitLogReply<platform::NewestReply>(m_context, [&](auto aHandler) {
    m_log.ReadNewest(std::string(adapter::kStatusTopic), aHandler);
  });
  aBatch.m_states = std::move(states.m_entries);
  co_return states.m_ok;
}

Awaitable<TopicRead>
OperatorConfigSource::ReadNewestOnce()
{
  auto newest = co_await AwaitLogReply<platform::NewestReply>(m_context, [&](auto aHandler) {
    m_log.ReadNewest(std::string(adapter::kOperatorTopic), aHandler);
  });
  OrderBatch batch{ .m_era = newest.m_era };
  for (const platform::KeyedEntry& entry : newest.m_entries) {
    HandleEntry(entry, batch);
  }
  const bool complete = co_await ReadStates(batch);
  if (complete) {
    PassOrders(batch);
  }
  co_return TopicRead{ .m_outcome = newest.m_ok && complete ? TopicReadOutcome::Succeeded
                                                            : TopicReadOutcome::Failed,
                       .m_next = newest.m_next,
                       .m_era = newest.m_era };
}

Awaitable<TopicRead>
OperatorConfigSource::ReadOnce()
{
  if (!m_follower.m_next) {
    const TopicRead newest = co_await ReadNewestOnce();
    co_return newest;
  }
  const std::string topic(adapter::kOperatorTopic);
  const std::uint64_t from = *m_follower.m_next;
  // After a failure the first answer must come at once: it tells whether the store was restored.
  const Milliseconds waitMs = m_follower.m_backoffMs > 0 ? 0 : kReadWaitMs;
  auto read = co_await AwaitLogReply<platform::ReadReply>(
    m_context, [&](auto aHandler) { m_log.Read(topic, from, waitMs, aHandler); });
  TopicRead result{ .m_outcome = OutcomeOf(read.m_status), .m_next = from, .m_era = read.m_era };
  OrderBatch batch{ .m_era = read.m_era, .m_fresh = true };
  for (const platform::LogEntry& entry : read.m_entries) {
    result.m_next = entry.m_offset + 1;
    if (const auto keyed = adapter::DecodeKeyed(entry)) {
      HandleEntry(*keyed, batch);
    }
  }
  PassOrders(batch);
  co_return result;
}

Awaitable<void>
OperatorConfigSource::Follow()
{
  while (!m_stopped) {
    if (!m_hooks.m_shouldRead()) {
      // Only the newest record matters once this node reads again, so it then starts from there.
      m_follower = {};
      co_await Sleep(kRecheckIntervalMs);
      continue;
    }
    const TopicRead read = co_await ReadOnce();
    RecordStoreContact(read);
    LogIfRestored(m_follower, read);
    const Milliseconds delay = distribution::UpdateFollower(m_follower, read, m_random);
    if (delay > 0) {
      co_await Sleep(delay);
    }
  }
}

} // namespace sequoiastep::node
