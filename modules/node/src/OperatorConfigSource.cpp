#include "OperatorConfigSource.h"

#include "Log.h"
#include "LogCalls.h"
#include "Names.h"
#include "OperatorRecord.h"
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

} // namespace

OperatorConfigSource::OperatorConfigSource(asio::io_context& aContext,
                                           platform::LogClient& aLog,
                                           SharedState& aShared,
                                           Hooks aHooks)
  : m_context(aContext)
  , m_log(aLog)
  , m_shared(aShared)
  , m_hooks(std::move(aHooks))
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
OperatorConfigSource::HandleEntry(const platform::KeyedEntry& aEntry)
{
  if (aEntry.m_key == adapter::kOperatorKey && !aEntry.m_value.empty()) {
    InstallIfNewer(aEntry.m_value, {});
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

Awaitable<TopicRead>
OperatorConfigSource::ReadOnce()
{
  const std::string topic(adapter::kOperatorTopic);
  if (!m_follower.m_next) {
    auto newest = co_await AwaitLogReply<platform::NewestReply>(
      m_context, [&](auto aHandler) { m_log.ReadNewest(topic, aHandler); });
    for (const platform::KeyedEntry& entry : newest.m_entries) {
      HandleEntry(entry);
    }
    co_return TopicRead{ .m_outcome =
                           newest.m_ok ? TopicReadOutcome::Succeeded : TopicReadOutcome::Failed,
                         .m_next = newest.m_next,
                         .m_era = newest.m_era };
  }
  const std::uint64_t from = *m_follower.m_next;
  // After a failure the first answer must come at once: it tells whether the store was restored.
  const Milliseconds waitMs = m_follower.m_backoffMs > 0 ? 0 : kReadWaitMs;
  auto read = co_await AwaitLogReply<platform::ReadReply>(
    m_context, [&](auto aHandler) { m_log.Read(topic, from, waitMs, aHandler); });
  TopicRead result{ .m_outcome = OutcomeOf(read.m_status), .m_next = from, .m_era = read.m_era };
  for (const platform::LogEntry& entry : read.m_entries) {
    result.m_next = entry.m_offset + 1;
    if (const auto keyed = adapter::DecodeKeyed(entry)) {
      HandleEntry(*keyed);
    }
  }
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
