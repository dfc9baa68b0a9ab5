/// @file
/// Idempotency keys that callers generate: a key is claimed in the platform's log before its
/// request runs.
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

/// The claim that owns a key, or the reason why it is not known.
struct KeyLookup
{
  enum class Kind
  {
    /// m_claim holds the first claim of the key, which owns it.
    Found,
    /// The log can't be read, or refused the claim. The request was not run.
    LogUnavailable,
    /// The index of claims holds its maximum number of keys. The request was not run.
    IndexFull,
    /// The key is older than the retention time, so an earlier claim may be gone.
    KeyExpired,
    /// Claim(): a claim may have been written, but the first one was not read back in time. Find():
    /// the log holds no claim of the key.
    Unknown,
  };

  Kind m_kind = Kind::Unknown;
  idempotency::LoggedClaim m_claim;
};

/// Settings of CallerKeys.
struct CallerKeysOptions
{
  std::string m_mesh;
  std::string m_node;
  std::uint64_t m_incarnation = 0;
  /// Guaranteed retention time of claims in the log, in milliseconds.
  Milliseconds m_retentionMs = 3'600'000;
};

/// Claims keys and follows the claim streams that are in use. Use on the calls thread only.
class CallerKeys
{
public:
  CallerKeys(net::asio::io_context& aContext, CallerKeysOptions aOptions);

  /// Sets the log client; call before the first request. The client must outlive this.
  void SetLogClient(platform::LogClient& aLog);
  /// Finds the owner of aKey. Claims the key for this node if it is not claimed.
  net::Awaitable<KeyLookup> Claim(std::string aKey);
  /// Finds the owner of aKey without claiming it.
  net::Awaitable<KeyLookup> Find(std::string aKey);
  /// @return true if this node, in this incarnation, wrote aClaim.
  bool IsClaimedHere(const idempotency::ClaimRecord& aClaim) const;
  /// Stops following the streams.
  void Stop();

private:
  struct StreamState
  {
    idempotency::ClaimIndex m_index;
    /// Follow() is running.
    bool m_followed = false;
    /// The index holds everything up to the stream's end as last read.
    bool m_caughtUp = false;
    Instant m_lastUsedAt;
    /// Next offsets to read at past instants, oldest first; used to expire claims by age.
    std::deque<std::pair<Instant, std::uint64_t>> m_offsetMarks;
  };

  std::string StreamName(std::uint32_t aStream) const;
  net::Awaitable<void> Follow(std::uint32_t aStream);
  net::Awaitable<platform::ReadReply> ReadNext(std::uint32_t aStream);
  net::Awaitable<platform::AppendStatus> Append(std::uint32_t aStream, std::string aBody);
  net::Awaitable<void> Sleep(Milliseconds aDelay);
  net::Awaitable<bool> CatchUp(std::uint32_t aStream);
  void ExpireOldClaims(StreamState& aState);

  net::asio::io_context& m_context;
  CallerKeysOptions m_options;
  platform::LogClient* m_log = nullptr;
  std::array<StreamState, idempotency::kClaimStreams> m_streams;
  bool m_stopped = false;
};

} // namespace sequoiastep::node
