#include "OperatorSource.h"

#include "Log.h"
#include "LogCalls.h"
#include "Names.h"
#include "OperatorRecord.h"
#include "StoreCalls.h"

#include <chrono>

namespace sequoiastep::node {

namespace asio = net::asio;
using distribution::FollowOutcome;
using net::Awaitable;
using net::kAsTuple;

namespace {

// Short, since a connection to the store may fall silent without a reset.
constexpr Milliseconds kReadWaitMs = 1800;
constexpr Milliseconds kIdleMs = 100;

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

OperatorSource::OperatorSource(asio::io_context& aContext,
                               platform::LogClient& aLog,
                               Shared& aShared,
                               Hooks aHooks)
  : m_context(aContext)
  , m_log(aLog)
  , m_shared(aShared)
  , m_hooks(std::move(aHooks))
{
}

void
OperatorSource::Start()
{
  asio::co_spawn(m_context, Follow(), asio::detached);
}

void
OperatorSource::Stop()
{
  m_stopped = true;
}

void
OperatorSource::Take(const std::string& aText, const std::string& aFrom)
{
  const SnapshotPtr next = DecodeOrLog(aText);
  const SnapshotPtr held = m_shared.m_snapshot.load();
  if (!next || (held && next->m_version <= held->m_version)) {
    return;
  }
  m_shared.m_snapshot.store(next);
  LogLine(LogLevel::Info, "version_installed")
    .Add("version", next->m_version)
    .Add("before", held ? held->m_version : 0)
    .Add("routes", next->m_effective->m_routes.size())
    .Add("from", aFrom.empty() ? "store" : aFrom);
  m_hooks.m_feed(distribution::OperatorHeld{ .m_version = next->m_version,
                                             .m_text = std::make_shared<const std::string>(aText),
                                             .m_from = aFrom });
}

void
OperatorSource::TakeEntry(const platform::KeyedEntry& aEntry)
{
  if (aEntry.m_key == adapter::kOperatorKey && !aEntry.m_value.empty()) {
    Take(aEntry.m_value, {});
  }
}

void
OperatorSource::NoteStore(bool aWorks)
{
  if (aWorks) {
    m_hooks.m_feed(distribution::StoreAnswered{});
  }
  if (aWorks != m_storeWorks) {
    m_storeWorks = aWorks;
    LogLine(aWorks ? LogLevel::Info : LogLevel::Warning, aWorks ? "store_regained" : "store_lost")
      .Add("topic", adapter::kOperatorTopic);
  }
}

Awaitable<void>
OperatorSource::Sleep(Milliseconds aDelay)
{
  asio::steady_timer timer(m_context, std::chrono::milliseconds(aDelay));
  co_await timer.async_wait(kAsTuple);
}

Awaitable<FollowOutcome>
OperatorSource::ReadOnce(std::uint64_t& aNext)
{
  const std::string topic(adapter::kOperatorTopic);
  if (!m_follower.m_next) {
    auto newest = co_await AwaitLogReply<platform::NewestReply>(
      m_context, [&](auto aHandler) { m_log.ReadNewest(topic, aHandler); });
    for (const platform::KeyedEntry& entry : newest.m_entries) {
      TakeEntry(entry);
    }
    aNext = newest.m_next;
    co_return newest.m_ok ? FollowOutcome::Read : FollowOutcome::Failed;
  }
  const std::uint64_t from = *m_follower.m_next;
  auto read = co_await AwaitLogReply<platform::ReadReply>(
    m_context, [&](auto aHandler) { m_log.Read(topic, from, kReadWaitMs, aHandler); });
  aNext = from;
  for (const platform::LogEntry& entry : read.m_entries) {
    aNext = entry.m_offset + 1;
    if (const auto keyed = adapter::DecodeKeyed(entry)) {
      TakeEntry(*keyed);
    }
  }
  if (read.m_status == platform::ReadStatus::Expired) {
    co_return FollowOutcome::Gone;
  }
  co_return read.m_status == platform::ReadStatus::Ok ? FollowOutcome::Read : FollowOutcome::Failed;
}

Awaitable<void>
OperatorSource::Follow()
{
  while (!m_stopped) {
    if (!m_hooks.m_reads()) {
      // By the time this node reads again, the newest record is all that matters.
      m_follower = {};
      co_await Sleep(kIdleMs);
      continue;
    }
    std::uint64_t next = 0;
    const FollowOutcome outcome = co_await ReadOnce(next);
    NoteStore(outcome != FollowOutcome::Failed);
    const Milliseconds delay = distribution::NoteFollowed(m_follower, outcome, next, m_random);
    if (delay > 0) {
      co_await Sleep(delay);
    }
  }
}

} // namespace sequoiastep::node
