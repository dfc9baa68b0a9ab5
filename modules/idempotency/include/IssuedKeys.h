/// @file
/// Idempotency keys issued by a node, and the issuer's table of claimed keys and stored responses.
/// A key names its issuer and only the issuer starts the request, so that two nodes can never both
/// act as the owner of a key.
#pragma once

#include "Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::idempotency {

/// Maximum length of an accepted key, in bytes; also applies to keys of a caller's own.
constexpr std::size_t kMaxKeyBytes = 256;

/// The parts of a key that a node issued.
struct IssuedKey
{
  /// The issuer and its incarnation.
  std::string m_node;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_serial = 0;
  /// Hash of the serial seeded with the issuer's secret; shows that the key was issued, not made
  /// up.
  std::uint64_t m_checkHash = 0;
};

/// @return the key in aText, or nothing if aText is not an issued key but a caller's own.
std::optional<IssuedKey>
ParseIssuedKey(std::string_view aText);

/// @return aKey in the text form that callers send.
std::string
FormatIssuedKey(const IssuedKey& aKey);

/// The node's response to the first request of a key, kept for repeats of the request.
struct StoredResponse
{
  std::uint16_t m_status = 0;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
};

using StoredResponsePtr = std::shared_ptr<const StoredResponse>;

/// Progress of the request of a claimed key.
enum class ClaimState
{
  InProgress,
  /// The response is stored.
  Done,
  /// The request may have been run, and its response is lost.
  Unknown,
};

/// A key whose request was started.
struct Claim
{
  ClaimState m_state = ClaimState::InProgress;
  /// Digest of the request, to detect reuse of the key for another request.
  std::uint64_t m_requestDigest = 0;
  /// Set when m_state is Done.
  StoredResponsePtr m_storedResponse;
};

/// Limits of one key table. Over them, the oldest claims that are not in progress are evicted.
struct KeyTableOptions
{
  std::size_t m_maxClaims = 20'000;
  /// Headers and bodies of all stored responses.
  std::size_t m_maxResponseBytes = 4U << 20;
};

/// The claimed keys of one node in one incarnation.
struct KeyTable
{
  KeyTableOptions m_options;
  std::string m_node;
  std::uint64_t m_incarnation = 0;
  /// Secret random seed of the check hash in each issued key.
  std::uint64_t m_secret = 0;
  std::uint64_t m_nextSerial = 1;
  /// Highest serial whose claim was evicted. A serial up to this one that has no claim may have
  /// been run, so it is never started again.
  std::uint64_t m_highestEvictedSerial = 0;
  /// Size of all stored responses in bytes.
  std::size_t m_responseBytes = 0;
  /// By serial, so that the oldest are evicted first.
  std::map<std::uint64_t, Claim> m_claims;
};

/// What to do with a request that carries a key.
enum class ClaimDecision
{
  /// The key is now claimed for this request: run it.
  Start,
  /// The request is running: respond that it is in progress.
  InProgress,
  /// The request is done: return the stored response.
  ReturnStored,
  /// The request may have been run, and its result is not known: it is not run.
  Unknown,
  /// The key was used for another request: this one is not run.
  OtherRequest,
  /// No node issued this key: the request is not run.
  NotIssued,
};

/// The decision, and the response if the decision is ReturnStored.
struct ClaimResult
{
  ClaimDecision m_decision = ClaimDecision::NotIssued;
  StoredResponsePtr m_storedResponse;
};

/// @return aCount new keys in text form.
std::vector<std::string>
IssueKeys(KeyTable& aTable, std::size_t aCount);

/// Decides about a request that carries aKey, and claims the key if the decision is Start. The key
/// must name this table's node and incarnation.
/// @param aRequestDigest digest of the request.
ClaimResult
ClaimKey(KeyTable& aTable, const IssuedKey& aKey, std::uint64_t aRequestDigest);

/// Like ClaimKey(), for a serial that is known to belong to this table: its check hash is not
/// verified.
ClaimResult
ClaimSerial(KeyTable& aTable, std::uint64_t aSerial, std::uint64_t aRequestDigest);

/// Stores the response to the claimed request.
void
FinishClaim(KeyTable& aTable, std::uint64_t aSerial, StoredResponse aResponse);

/// Drops the claim of a request that was certainly not run, so that the key may be used again.
void
ReleaseClaim(KeyTable& aTable, std::uint64_t aSerial);

/// Marks a claimed request that may have been run and whose response is lost.
void
MarkClaimUnknown(KeyTable& aTable, std::uint64_t aSerial);

} // namespace sequoiastep::idempotency
