/// @file
/// Requests with idempotency keys that callers made up: claimed in the log before they run.
#pragma once

#include "AsioTypes.h"
#include "ClaimIndex.h"
#include "Clock.h"
#include "LogClient.h"

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep::node {

/// Who owns a key, or why that can't be said.
struct KeyOwner
{
  enum class Kind
  {
    /// m_claim holds the first claim.
    Known,
    /// The log can't be asked, so that nothing was started.
    LogDown,
    /// More keys are in use than are held here; nothing was started.
    Full,
    /// The key is older than claims are kept.
    TooOld,
    /// A claim was written, but the log does not tell which one is first.
    Unknown,
  };

  Kind m_kind = Kind::Unknown;
  idempotency::LoggedClaim m_claim;
};

/// Settings of own keys.
struct OwnKeysOptions
{
  std::string m_mesh;
  std::string m_node;
  std::uint64_t m_incarnation = 0;
  /// How long the log keeps claims for certain.
  Milliseconds m_retentionMs = 3'600'000;
};

/// Reads the claim streams that are in use and claims keys. Runs on the calls thread only.
class OwnKeys
{
public:
  OwnKeys(net::asio::io_context& aContext, OwnKeysOptions aOptions);

  /// Sets the log's client; call before the first request.
  void SetLogClient(platform::LogClient& aLog);
  /// Finds the owner of aKey, claiming it for this node if nobody has.
  net::Awaitable<KeyOwner> Claim(std::string aKey);
  /// Finds the owner of aKey without claiming it.
  net::Awaitable<KeyOwner> Find(std::string aKey);
  /// @return true if aClaim is of this node in this incarnation.
  bool IsOwn(const idempotency::ClaimRecord& aClaim) const;
  void Stop();

private:
  struct Tail
  {
    idempotency::ClaimIndex m_index;
    bool m_running = false;
    bool m_caughtUp = false;
    Instant m_usedAt;
    /// Offsets that had been read at some instants, so that old claims can be dropped.
    std::deque<std::pair<Instant, std::uint64_t>> m_marks;
  };

  std::string StreamName(std::uint32_t aStream) const;
  net::Awaitable<void> Follow(std::uint32_t aStream);
  net::Awaitable<platform::ReadReply> Read(std::uint32_t aStream);
  net::Awaitable<platform::AppendStatus> Append(std::uint32_t aStream, std::string aBody);
  net::Awaitable<void> Sleep(Milliseconds aDelay);
  net::Awaitable<bool> CatchUp(std::uint32_t aStream);
  void DropOld(Tail& aTail);

  net::asio::io_context& m_context;
  OwnKeysOptions m_options;
  platform::LogClient* m_log = nullptr;
  std::array<Tail, idempotency::kClaimStreams> m_tails;
  bool m_stopped = false;
};

} // namespace sequoiastep::node
