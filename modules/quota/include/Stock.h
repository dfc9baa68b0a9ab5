/// @file
/// The asking side of quotas: the tokens that a node holds, and when it asks for more.
#pragma once

#include "Clock.h"
#include "Options.h"
#include "Owner.h"
#include "Random.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::quota {

/// After an ask without answer, this node uses its floor for this long before it asks again.
constexpr Milliseconds kSilentOwnerMs = 200;
/// The same after the asked node answered that it is not the owner.
constexpr Milliseconds kNotOwnerMs = 100;

/// Tokens with a common expiry.
struct TokenBatch
{
  std::uint32_t m_tokens = 0;
  Instant m_expiresAt;
};

/// An ask in flight.
struct OpenAsk
{
  std::uint64_t m_id = 0;
  Instant m_sentAt;
};

/// Requests that a node may admit in one window without the owner.
struct Floor
{
  /// Number of the window, counted from m_phase.
  std::int64_t m_window = -1;
  std::uint32_t m_tokens = 0;
  /// Start of the node's windows; random, so that nodes don't admit at the same time.
  Milliseconds m_phase = 0;
};

/// What a node holds of one workspace's quota.
struct StockEntry
{
  std::vector<TokenBatch> m_batches;
  /// Requests per second lately; decays.
  double m_demandPerSecond = 0;
  Instant m_demandAt;
  /// Admitted requests per second lately; decays.
  double m_admittedPerSecond = 0;
  Instant m_admittedAt;
  /// Time until which refused requests were told to wait.
  Instant m_roomAt;
  std::optional<OpenAsk> m_ask;
  /// Requests that wait for the ask.
  std::uint32_t m_waiting = 0;
  /// The owner has no tokens until then.
  Instant m_refuseUntil;
  /// The owner can't be asked until then.
  Instant m_silentUntil;
  Floor m_floor;
};

/// One node's state as an asker.
struct Stock
{
  Options m_options;
  Random m_random;
  /// Number of known nodes, among which the floor is divided.
  std::size_t m_knownNodes = 1;
  std::map<std::string, StockEntry, std::less<>> m_entries;
  std::uint64_t m_nextAsk = 1;
  Instant m_observedAt;
};

/// What to do with a request.
enum class TakeKind
{
  Admit,
  /// Admit without the owner.
  AdmitFloor,
  Refuse,
  /// Ask the owner, then call Take again.
  Ask,
  /// Wait for the ask in flight, then call Take again.
  Wait,
};

/// Decision on one request.
struct TakeResult
{
  TakeKind m_kind = TakeKind::Refuse;
  /// Of an admitted request: expiry of its token.
  Instant m_expiresAt;
  /// Of a refused one: time until there is probably room.
  Milliseconds m_retryAfterMs = 0;
  /// Of an ask, or of the one to wait for.
  std::uint64_t m_askId = 0;
  std::uint32_t m_tokens = 0;
  double m_demandPerSecond = 0;
};

/// Whether a request is new or waited for an ask before.
enum class TakeFor
{
  NewRequest,
  WaitingRequest,
};

/// @return the state of a node that starts at aNow.
Stock
MakeStock(const Options& aOptions, std::uint64_t aSeed, Instant aNow);

/// Records that the process runs. Each function below does so too; call it at least every
/// kPauseGapMs / 4. After a pause, tokens in stock are void.
void
Observe(Stock& aStock, Instant aNow);

/// Decides on one request of a workspace that has a quota.
TakeResult
Take(Stock& aStock, std::string_view aWorkspace, const Limits& aLimits, TakeFor aFor, Instant aNow);

/// Handles the answer to an ask. Answers to asks that are no longer open are ignored.
void
HandleGrant(Stock& aStock,
            std::string_view aWorkspace,
            std::uint64_t aAskId,
            const Grant& aGrant,
            Instant aNow);

/// The ask was not answered in time, or could not be sent.
void
HandleTimeout(Stock& aStock, std::string_view aWorkspace, std::uint64_t aAskId, Instant aNow);

/// Returns the token of a request that reached no target. It can be used until aExpiresAt.
void
Refund(Stock& aStock, std::string_view aWorkspace, Instant aExpiresAt, Instant aNow);

/// Forgets workspaces that have had no request for a minute.
void
DropIdle(Stock& aStock, Instant aNow);

} // namespace sequoiastep::quota
