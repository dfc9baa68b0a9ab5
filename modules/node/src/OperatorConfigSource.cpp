#include "OperatorConfigSource.h"

#include "Log.h"
#include "LogCalls.h"
#include "Names.h"
#include "OperatorRecord.h"
#include "StoreCalls.h"

#include <chrono>

namespace sequoiastep::node {

namespace asio = net::asio;
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
OperatorConfigSource::SetStoreReachable(bool aReachable)
{
  if (aReachable) {
    m_hooks.m_feed(distribution::StoreAnswered{});
  }
  if (aReachable != m_storeReachable) {
    m_storeReachable = aReachable;
    LogLine(aReachable ? LogLevel::Info : LogLevel::Warning,
            aReachable ? "store_regained" : "store_lost")
      .Add("topic", adapter::kOperatorTopic);
  }
}

Awaitable<void>
OperatorConfigSource::Sleep(Milliseconds aDelay)
{
  asio::steady_timer timer(m_context, std::chrono::milliseconds(aDelay));
  co_await timer.async_wait(kAsTuple);
}

Awaitable<TopicReadOutcome>
OperatorConfigSource::ReadOnce(std::uint64_t& aNext)
{
  const std::string topic(adapter::kOperatorTopic);
  if (!m_follower.m_next) {
    auto newest = co_await AwaitLogReply<platform::NewestReply>(
      m_context, [&](auto aHandler) { m_log.ReadNewest(topic, aHandler); });
    for (const platform::KeyedEntry& entry : newest.m_entries) {
      HandleEntry(entry);
    }
    aNext = newest.m_next;
    co_return newest.m_ok ? TopicReadOutcome::Succeeded : TopicReadOutcome::Failed;
  }
  const std::uint64_t from = *m_follower.m_next;
  auto read = co_await AwaitLogReply<platform::ReadReply>(
    m_context, [&](auto aHandler) { m_log.Read(topic, from, kReadWaitMs, aHandler); });
  aNext = from;
  for (const platform::LogEntry& entry : read.m_entries) {
    aNext = entry.m_offset + 1;
    if (const auto keyed = adapter::DecodeKeyed(entry)) {
      HandleEntry(*keyed);
    }
  }
  if (read.m_status == platform::ReadStatus::Expired) {
    co_return TopicReadOutcome::Expired;
  }
  co_return read.m_status == platform::ReadStatus::Ok ? TopicReadOutcome::Succeeded
                                                      : TopicReadOutcome::Failed;
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
    std::uint64_t next = 0;
    const TopicReadOutcome outcome = co_await ReadOnce(next);
    SetStoreReachable(outcome != TopicReadOutcome::Failed);
    const Milliseconds delay = distribution::UpdateFollower(m_follower, outcome, next, m_random);
    if (delay > 0) {
      co_await Sleep(delay);
    }
  }
}

} // namespace sequoiastep::node
