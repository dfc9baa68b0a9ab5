#include "OwnKeys.h"

#include "LogCalls.h"

#include <chrono>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace asio = net::asio;
using idempotency::ClaimIndex;
using net::Awaitable;

namespace {

constexpr Milliseconds kReadWaitMs = 2000;
constexpr Milliseconds kRetryMs = 300;
constexpr Milliseconds kStepMs = 3;
constexpr Milliseconds kLongestWaitMs = 2500;
constexpr Milliseconds kKeepFollowingMs = 60'000;
constexpr Milliseconds kMarkEveryMs = 60'000;

} // namespace

OwnKeys::OwnKeys(asio::io_context& aContext, OwnKeysOptions aOptions)
  : m_context(aContext)
  , m_options(std::move(aOptions))
{
}

void
OwnKeys::SetLogClient(platform::LogClient& aLog)
{
  m_log = &aLog;
}

bool
OwnKeys::IsOwn(const idempotency::ClaimRecord& aClaim) const
{
  return aClaim.m_node == m_options.m_node && aClaim.m_incarnation == m_options.m_incarnation;
}

void
OwnKeys::Stop()
{
  m_stopped = true;
}

std::string
OwnKeys::StreamName(std::uint32_t aStream) const
{
  return fmt::format("{}.claims.{}", m_options.m_mesh, aStream);
}

Awaitable<void>
OwnKeys::Sleep(Milliseconds aDelay)
{
  asio::steady_timer timer(m_context, std::chrono::milliseconds(aDelay));
  co_await timer.async_wait(net::kAsTuple);
}

Awaitable<platform::ReadReply>
OwnKeys::Read(std::uint32_t aStream)
{
  const Tail& tail = m_tails[aStream];
  const Milliseconds waitMs = tail.m_caughtUp ? kReadWaitMs : 0;
  platform::ReadReply reply =
    co_await AwaitLog<platform::ReadReply>(m_context, [&](const auto& aHandler) {
      m_log->Read(StreamName(aStream), tail.m_index.m_nextOffset, waitMs, aHandler);
    });
  co_return reply;
}

Awaitable<platform::AppendStatus>
OwnKeys::Append(std::uint32_t aStream, std::string aBody)
{
  const platform::AppendReply reply = co_await AwaitLog<platform::AppendReply>(
    m_context, [&](const auto& aHandler) { m_log->Append(StreamName(aStream), aBody, aHandler); });
  co_return reply.m_status;
}

// Claims are kept for as long as the log keeps them for certain, and no longer if room is short.
void
OwnKeys::DropOld(Tail& aTail)
{
  const Instant now = Clock::Now();
  if (aTail.m_marks.empty() || now - aTail.m_marks.back().first >= kMarkEveryMs) {
    aTail.m_marks.emplace_back(now, aTail.m_index.m_nextOffset);
  }
  while (!aTail.m_marks.empty() && now - aTail.m_marks.front().first > m_options.m_retentionMs) {
    idempotency::ExpireClaims(aTail.m_index, aTail.m_marks.front().second);
    aTail.m_marks.pop_front();
  }
}

// Follows one stream while its keys are in use.
Awaitable<void>
OwnKeys::Follow(std::uint32_t aStream)
{
  Tail& tail = m_tails[aStream];
  while (!m_stopped && Clock::Now() - tail.m_usedAt < kKeepFollowingMs) {
    platform::ReadReply reply = co_await Read(aStream);
    if (reply.m_status == platform::ReadStatus::Failed) {
      tail.m_caughtUp = false;
      co_await Sleep(kRetryMs);
      continue;
    }
    if (reply.m_status == platform::ReadStatus::Expired) {
      idempotency::ExpireClaims(tail.m_index, reply.m_first);
      continue;
    }
    for (const platform::LogEntry& entry : reply.m_entries) {
      idempotency::ReplayClaim(tail.m_index, entry.m_offset, entry.m_body);
    }
    tail.m_caughtUp = tail.m_index.m_nextOffset >= reply.m_next.value_or(0);
    DropOld(tail);
  }
  tail.m_caughtUp = false;
  tail.m_running = false;
}

// Waits until the stream was read to its end. Gives false if the log can't be read.
Awaitable<bool>
OwnKeys::CatchUp(std::uint32_t aStream)
{
  Tail& tail = m_tails[aStream];
  const Instant start = Clock::Now();
  tail.m_usedAt = start;
  if (!tail.m_running && m_log != nullptr) {
    tail.m_running = true;
    asio::co_spawn(m_context, Follow(aStream), asio::detached);
  }
  while (!tail.m_caughtUp && Clock::Now() - start < kLongestWaitMs) {
    co_await Sleep(kStepMs);
  }
  co_return tail.m_caughtUp;
}

Awaitable<KeyOwner>
OwnKeys::Find(std::string aKey)
{
  const std::uint32_t stream = idempotency::ClaimStreamOf(aKey);
  const bool caughtUp = co_await CatchUp(stream);
  const auto* claim = idempotency::FindClaim(m_tails[stream].m_index, aKey);
  if (claim != nullptr) {
    co_return KeyOwner{ .m_kind = KeyOwner::Kind::Known, .m_claim = *claim };
  }
  co_return KeyOwner{ .m_kind = caughtUp ? KeyOwner::Kind::Unknown : KeyOwner::Kind::LogDown,
                      .m_claim = {} };
}

Awaitable<KeyOwner>
OwnKeys::Claim(std::string aKey)
{
  const auto time = idempotency::UuidV7Timestamp(aKey);
  if (time && Clock::UnixMilliseconds() - *time > m_options.m_retentionMs) {
    co_return KeyOwner{ .m_kind = KeyOwner::Kind::TooOld, .m_claim = {} };
  }
  KeyOwner owner = co_await Find(aKey);
  if (owner.m_kind != KeyOwner::Kind::Unknown) {
    co_return owner;
  }
  const std::uint32_t stream = idempotency::ClaimStreamOf(aKey);
  Tail& tail = m_tails[stream];
  if (idempotency::IsFull(tail.m_index)) {
    co_return KeyOwner{ .m_kind = KeyOwner::Kind::Full, .m_claim = {} };
  }
  const idempotency::ClaimRecord record{ .m_key = aKey,
                                         .m_node = m_options.m_node,
                                         .m_incarnation = m_options.m_incarnation };
  std::string body = idempotency::EncodeClaim(record);
  const platform::AppendStatus status = co_await Append(stream, std::move(body));
  if (status == platform::AppendStatus::Refused) {
    co_return KeyOwner{ .m_kind = KeyOwner::Kind::LogDown, .m_claim = {} };
  }
  // The claim, or an earlier one, shows when the stream has been read up to it.
  const Instant start = Clock::Now();
  while (Clock::Now() - start < kLongestWaitMs) {
    if (const auto* claim = idempotency::FindClaim(tail.m_index, aKey)) {
      co_return KeyOwner{ .m_kind = KeyOwner::Kind::Known, .m_claim = *claim };
    }
    co_await Sleep(kStepMs);
  }
  co_return KeyOwner{ .m_kind = KeyOwner::Kind::Unknown, .m_claim = {} };
}

} // namespace sequoiastep::node
