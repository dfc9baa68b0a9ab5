#include "CallerKeys.h"

#include "LogCalls.h"

#include <chrono>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace asio = net::asio;
using idempotency::ClaimIndex;
using net::Awaitable;

namespace {

// Wait for new records per read, once the stream is caught up.
constexpr Milliseconds kLongPollMs = 2000;
constexpr Milliseconds kRetryDelayMs = 300;
constexpr Milliseconds kPollMs = 3;
constexpr Milliseconds kMaxWaitMs = 2500;
// A stream is followed for this long after its latest use.
constexpr Milliseconds kFollowAfterUseMs = 60'000;
constexpr Milliseconds kMarkIntervalMs = 60'000;

} // namespace

CallerKeys::CallerKeys(asio::io_context& aContext, CallerKeysOptions aOptions)
  : m_context(aContext)
  , m_options(std::move(aOptions))
{
}

void
CallerKeys::SetLogClient(platform::LogClient& aLog)
{
  m_log = &aLog;
}

bool
CallerKeys::IsClaimedHere(const idempotency::ClaimRecord& aClaim) const
{
  return aClaim.m_node == m_options.m_node && aClaim.m_incarnation == m_options.m_incarnation;
}

void
CallerKeys::Stop()
{
  m_stopped = true;
}

std::string
CallerKeys::StreamName(std::uint32_t aStream) const
{
  return fmt::format("{}.claims.{}", m_options.m_mesh, aStream);
}

Awaitable<void>
CallerKeys::Sleep(Milliseconds aDelay)
{
  asio::steady_timer timer(m_context, std::chrono::milliseconds(aDelay));
  co_await timer.async_wait(net::kAsTuple);
}

Awaitable<platform::ReadReply>
CallerKeys::ReadNext(std::uint32_t aStream)
{
  const StreamState& state = m_streams[aStream];
  const Milliseconds waitMs = state.m_caughtUp ? kLongPollMs : 0;
  platform::ReadReply reply =
    co_await AwaitLogReply<platform::ReadReply>(m_context, [&](const auto& aHandler) {
      m_log->Read(StreamName(aStream), state.m_index.m_nextOffset, waitMs, aHandler);
    });
  co_return reply;
}

Awaitable<platform::AppendStatus>
CallerKeys::Append(std::uint32_t aStream, std::string aBody)
{
  const platform::AppendReply reply = co_await AwaitLogReply<platform::AppendReply>(
    m_context, [&](const auto& aHandler) { m_log->Append(StreamName(aStream), aBody, aHandler); });
  co_return reply.m_status;
}

// Expires claims that are older than the guaranteed retention time of the log, which makes room for
// new keys in the index.
void
CallerKeys::ExpireOldClaims(StreamState& aState)
{
  const Instant now = Clock::Now();
  if (aState.m_offsetMarks.empty() || now - aState.m_offsetMarks.back().first >= kMarkIntervalMs) {
    aState.m_offsetMarks.emplace_back(now, aState.m_index.m_nextOffset);
  }
  while (!aState.m_offsetMarks.empty() &&
         now - aState.m_offsetMarks.front().first > m_options.m_retentionMs) {
    idempotency::ExpireClaims(aState.m_index, aState.m_offsetMarks.front().second);
    aState.m_offsetMarks.pop_front();
  }
}

// Replays one stream for as long as its keys are in use.
Awaitable<void>
CallerKeys::Follow(std::uint32_t aStream)
{
  StreamState& state = m_streams[aStream];
  while (!m_stopped && Clock::Now() - state.m_lastUsedAt < kFollowAfterUseMs) {
    platform::ReadReply reply = co_await ReadNext(aStream);
    if (reply.m_status == platform::ReadStatus::Failed) {
      state.m_caughtUp = false;
      co_await Sleep(kRetryDelayMs);
      continue;
    }
    if (reply.m_status == platform::ReadStatus::Expired) {
      idempotency::ExpireClaims(state.m_index, reply.m_first);
      continue;
    }
    for (const platform::LogEntry& entry : reply.m_entries) {
      idempotency::ReplayClaim(state.m_index, entry.m_offset, entry.m_body);
    }
    state.m_caughtUp = state.m_index.m_nextOffset >= reply.m_next.value_or(0);
    ExpireOldClaims(state);
  }
  state.m_caughtUp = false;
  state.m_followed = false;
}

// Starts to follow the stream if needed, and waits until it is read to its end. Returns false if
// that takes longer than kMaxWaitMs, as when the log can't be read.
Awaitable<bool>
CallerKeys::CatchUp(std::uint32_t aStream)
{
  StreamState& state = m_streams[aStream];
  const Instant start = Clock::Now();
  state.m_lastUsedAt = start;
  if (!state.m_followed && m_log != nullptr) {
    state.m_followed = true;
    asio::co_spawn(m_context, Follow(aStream), asio::detached);
  }
  while (!state.m_caughtUp && Clock::Now() - start < kMaxWaitMs) {
    co_await Sleep(kPollMs);
  }
  co_return state.m_caughtUp;
}

Awaitable<KeyLookup>
CallerKeys::Find(std::string aKey)
{
  const std::uint32_t stream = idempotency::ClaimStreamOf(aKey);
  const bool caughtUp = co_await CatchUp(stream);
  const auto* claim = idempotency::FindClaim(m_streams[stream].m_index, aKey);
  if (claim != nullptr) {
    co_return KeyLookup{ .m_kind = KeyLookup::Kind::Found, .m_claim = *claim };
  }
  co_return KeyLookup{ .m_kind =
                         caughtUp ? KeyLookup::Kind::Unknown : KeyLookup::Kind::LogUnavailable,
                       .m_claim = {} };
}

Awaitable<KeyLookup>
CallerKeys::Claim(std::string aKey)
{
  const auto timestamp = idempotency::UuidV7Timestamp(aKey);
  if (timestamp && Clock::UnixMilliseconds() - *timestamp > m_options.m_retentionMs) {
    co_return KeyLookup{ .m_kind = KeyLookup::Kind::KeyExpired, .m_claim = {} };
  }
  KeyLookup lookup = co_await Find(aKey);
  if (lookup.m_kind != KeyLookup::Kind::Unknown) {
    co_return lookup;
  }
  const std::uint32_t stream = idempotency::ClaimStreamOf(aKey);
  StreamState& state = m_streams[stream];
  if (idempotency::IsFull(state.m_index)) {
    co_return KeyLookup{ .m_kind = KeyLookup::Kind::IndexFull, .m_claim = {} };
  }
  const idempotency::ClaimRecord record{ .m_key = aKey,
                                         .m_node = m_options.m_node,
                                         .m_incarnation = m_options.m_incarnation };
  std::string body = idempotency::EncodeClaim(record);
  const platform::AppendStatus status = co_await Append(stream, std::move(body));
  if (status == platform::AppendStatus::Refused) {
    co_return KeyLookup{ .m_kind = KeyLookup::Kind::LogUnavailable, .m_claim = {} };
  }
  // Once the stream is read up to this claim, the index holds it or an earlier one.
  const Instant start = Clock::Now();
  while (Clock::Now() - start < kMaxWaitMs) {
    if (const auto* claim = idempotency::FindClaim(state.m_index, aKey)) {
      co_return KeyLookup{ .m_kind = KeyLookup::Kind::Found, .m_claim = *claim };
    }
    co_await Sleep(kPollMs);
  }
  co_return KeyLookup{ .m_kind = KeyLookup::Kind::Unknown, .m_claim = {} };
}

} // namespace sequoiastep::node
