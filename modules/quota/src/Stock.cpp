#include "Stock.h"

#include <algorithm>
#include <cmath>

namespace sequoiastep::quota {

namespace {

constexpr double kMillisecondsPerSecond = 1000;
// Time constant of the demand's average.
constexpr double kDemandMs = 1000;
// Part of the demand of one lifetime that is asked for ahead. Asking for all of it would leave more
// tokens unspent whenever fewer requests come than on average.
constexpr double kAheadShare = 0.6;
constexpr Milliseconds kIdleMs = 60'000;
constexpr Milliseconds kMinRetryAfterMs = 20;
constexpr Milliseconds kMaxRetryAfterMs = 2000;

StockEntry&
EntryOf(Stock& aStock, std::string_view aWorkspace)
{
  const auto found = aStock.m_entries.find(aWorkspace);
  if (found != aStock.m_entries.end()) {
    return found->second;
  }
  StockEntry& entry = aStock.m_entries[std::string(aWorkspace)];
  entry.m_floor.m_phase = static_cast<Milliseconds>(
    aStock.m_random.Below(static_cast<std::uint64_t>(aStock.m_options.m_windowMs)));
  return entry;
}

// Value at aNow of an average of events per second that was aAverage at aAt.
double
Decayed(double aAverage, Instant aAt, Instant aNow)
{
  const auto elapsed = static_cast<double>(std::max<Milliseconds>(0, aNow - aAt));
  return aAverage * std::exp(-elapsed / kDemandMs);
}

void
RecordEvent(double& aAverage, Instant& aAt, Instant aNow)
{
  aAverage = Decayed(aAverage, aAt, aNow) + kMillisecondsPerSecond / kDemandMs;
  aAt = aNow;
}

// Refused requests are told to return one after the other, at the rate at which this node admits
// requests. If all returned when the owner has its next token, most would be refused again.
TakeResult
Refuse(const Stock& aStock, StockEntry& aEntry, const Limits& aLimits, Instant aUntil, Instant aNow)
{
  const double share =
    aLimits.m_ratePerSecond / static_cast<double>(std::max<std::size_t>(1, aStock.m_knownNodes));
  const double admitted = Decayed(aEntry.m_admittedPerSecond, aEntry.m_admittedAt, aNow);
  const double rate = std::max({ share, admitted, kMillisecondsPerSecond / kMaxRetryAfterMs });
  const Instant first = std::max({ aEntry.m_roomAt, aUntil, aNow + kMinRetryAfterMs });
  const auto gap = static_cast<Milliseconds>(kMillisecondsPerSecond / rate);
  aEntry.m_roomAt = std::min(first + gap, aNow + kMaxRetryAfterMs);
  return { .m_kind = TakeKind::Refuse, .m_retryAfterMs = aEntry.m_roomAt - aNow };
}

// Takes a token that expires first. Returns nothing if there is none.
std::optional<Instant>
TakeFromBatches(StockEntry& aEntry, Instant aNow)
{
  std::erase_if(aEntry.m_batches, [&](const TokenBatch& aBatch) {
    return aBatch.m_tokens == 0 || aBatch.m_expiresAt <= aNow;
  });
  const auto first = std::min_element(
    aEntry.m_batches.begin(), aEntry.m_batches.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.m_expiresAt < aRight.m_expiresAt;
    });
  if (first == aEntry.m_batches.end()) {
    return std::nullopt;
  }
  --first->m_tokens;
  return first->m_expiresAt;
}

// Each node draws in each window how many requests it may admit, so that all nodes together admit
// FloorPerWindow on the average even if that is less than one for each.
bool
TakeFromFloor(Stock& aStock, StockEntry& aEntry, const Limits& aLimits, Instant aNow)
{
  Floor& floor = aEntry.m_floor;
  const std::int64_t window = (aNow.m_ms + floor.m_phase) / aStock.m_options.m_windowMs;
  if (window != floor.m_window) {
    const double share = FloorPerWindow(aStock.m_options, aLimits) /
                         static_cast<double>(std::max<std::size_t>(1, aStock.m_knownNodes));
    const double whole = std::floor(share);
    const bool another = aStock.m_random.Unit() < share - whole;
    floor.m_window = window;
    floor.m_tokens = static_cast<std::uint32_t>(whole) + (another ? 1 : 0);
  }
  if (floor.m_tokens == 0) {
    return false;
  }
  --floor.m_tokens;
  return true;
}

std::uint32_t
TokensToAsk(const Stock& aStock, const StockEntry& aEntry)
{
  const auto lifetime = static_cast<double>(TokenLifetime(aStock.m_options));
  const double expected = aEntry.m_demandPerSecond * lifetime / kMillisecondsPerSecond;
  const auto ahead = static_cast<std::uint32_t>(1 + kAheadShare * expected);
  return std::max(ahead, 1 + aEntry.m_waiting);
}

TakeResult
Ask(Stock& aStock, StockEntry& aEntry, Instant aNow)
{
  const TakeResult result{ .m_kind = TakeKind::Ask,
                           .m_askId = aStock.m_nextAsk++,
                           .m_tokens = TokensToAsk(aStock, aEntry),
                           .m_demandPerSecond = aEntry.m_demandPerSecond };
  aEntry.m_waiting = 0;
  aEntry.m_ask = OpenAsk{ .m_id = result.m_askId, .m_sentAt = aNow };
  return result;
}

} // namespace

Stock
MakeStock(const Options& aOptions, std::uint64_t aSeed, Instant aNow)
{
  Stock stock;
  stock.m_options = aOptions;
  stock.m_random.m_state = aSeed;
  stock.m_observedAt = aNow;
  return stock;
}

void
Observe(Stock& aStock, Instant aNow)
{
  const bool paused = aNow - aStock.m_observedAt > kPauseGapMs;
  aStock.m_observedAt = std::max(aStock.m_observedAt, aNow);
  if (paused) {
    for (auto& [workspace, entry] : aStock.m_entries) {
      entry.m_batches.clear();
      entry.m_floor.m_tokens = 0;
    }
  }
}

TakeResult
Take(Stock& aStock, std::string_view aWorkspace, const Limits& aLimits, TakeFor aFor, Instant aNow)
{
  Observe(aStock, aNow);
  StockEntry& entry = EntryOf(aStock, aWorkspace);
  if (aFor == TakeFor::NewRequest) {
    RecordEvent(entry.m_demandPerSecond, entry.m_demandAt, aNow);
  } else if (entry.m_waiting > 0) {
    --entry.m_waiting;
  }
  if (const auto expiresAt = TakeFromBatches(entry, aNow)) {
    RecordEvent(entry.m_admittedPerSecond, entry.m_admittedAt, aNow);
    return { .m_kind = TakeKind::Admit, .m_expiresAt = *expiresAt };
  }
  if (entry.m_ask) {
    ++entry.m_waiting;
    return { .m_kind = TakeKind::Wait, .m_askId = entry.m_ask->m_id };
  }
  if (aNow < entry.m_silentUntil) {
    if (TakeFromFloor(aStock, entry, aLimits, aNow)) {
      return { .m_kind = TakeKind::AdmitFloor, .m_expiresAt = aNow };
    }
    return Refuse(aStock, entry, aLimits, entry.m_silentUntil, aNow);
  }
  if (aNow < entry.m_refuseUntil) {
    return Refuse(aStock, entry, aLimits, entry.m_refuseUntil, aNow);
  }
  return Ask(aStock, entry, aNow);
}

void
HandleGrant(Stock& aStock,
            std::string_view aWorkspace,
            std::uint64_t aAskId,
            const Grant& aGrant,
            Instant aNow)
{
  Observe(aStock, aNow);
  const auto found = aStock.m_entries.find(aWorkspace);
  if (found == aStock.m_entries.end() || !found->second.m_ask ||
      found->second.m_ask->m_id != aAskId) {
    return;
  }
  StockEntry& entry = found->second;
  // A peer of another build may name a longer lifetime than the options allow.
  const Milliseconds lifetime = std::min(aGrant.m_lifetimeMs, TokenLifetime(aStock.m_options));
  const Instant expiresAt = entry.m_ask->m_sentAt + lifetime;
  entry.m_ask.reset();
  if (aGrant.m_notOwner) {
    entry.m_silentUntil = aNow + kNotOwnerMs;
    return;
  }
  if (aGrant.m_tokens > 0 && aNow < expiresAt) {
    entry.m_batches.push_back({ .m_tokens = aGrant.m_tokens, .m_expiresAt = expiresAt });
  }
  entry.m_refuseUntil = aNow + aGrant.m_retryAfterMs;
}

void
HandleTimeout(Stock& aStock, std::string_view aWorkspace, std::uint64_t aAskId, Instant aNow)
{
  Observe(aStock, aNow);
  const auto found = aStock.m_entries.find(aWorkspace);
  if (found == aStock.m_entries.end() || !found->second.m_ask ||
      found->second.m_ask->m_id != aAskId) {
    return;
  }
  found->second.m_ask.reset();
  found->second.m_silentUntil = aNow + kSilentOwnerMs;
}

void
Refund(Stock& aStock, std::string_view aWorkspace, Instant aExpiresAt, Instant aNow)
{
  Observe(aStock, aNow);
  const auto found = aStock.m_entries.find(aWorkspace);
  if (found != aStock.m_entries.end() && aNow < aExpiresAt) {
    found->second.m_batches.push_back({ .m_tokens = 1, .m_expiresAt = aExpiresAt });
  }
}

void
DropIdle(Stock& aStock, Instant aNow)
{
  std::erase_if(aStock.m_entries, [&](const auto& aItem) {
    const StockEntry& entry = aItem.second;
    return !entry.m_ask && entry.m_waiting == 0 && aNow - entry.m_demandAt > kIdleMs;
  });
}

} // namespace sequoiastep::quota
