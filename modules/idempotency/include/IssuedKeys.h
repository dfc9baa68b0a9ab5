/// @file
/// Idempotency keys issued by a node. The key names its issuer, and only the issuer starts the
/// request, so that no two nodes can ever both believe that they own a key.
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

/// Longest key accepted, in bytes.
constexpr std::size_t kMaxKeyBytes = 256;

/// A key that some node issued.
struct IssuedKey
{
  std::string m_node;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_serial = 0;
  std::uint64_t m_check = 0;
};

/// @return the key in aText, or nothing if it is a key of a caller's own.
std::optional<IssuedKey>
ParseIssuedKey(std::string_view aText);

/// @return aKey as callers send it.
std::string
IssuedKeyText(const IssuedKey& aKey);

/// An answer that is kept for repeats, as the node gave it the first time.
struct RememberedAnswer
{
  std::uint16_t m_status = 0;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
};

using RememberedAnswerPtr = std::shared_ptr<const RememberedAnswer>;

/// How far the request of a claimed key is.
enum class ClaimState
{
  InProgress,
  Done,
  /// It may have been run, and the answer is lost.
  Unknown,
};

/// A key whose request was started.
struct Claim
{
  ClaimState m_state = ClaimState::InProgress;
  /// Digest of the request, so that a key is not used for another one.
  std::uint64_t m_request = 0;
  RememberedAnswerPtr m_answer;
};

/// Bounds of what one issuer remembers.
struct KeyTableOptions
{
  std::size_t m_maxClaims = 20'000;
  std::size_t m_maxAnswerBytes = 4U << 20;
};

/// The keys of one node in one incarnation.
struct KeyTable
{
  KeyTableOptions m_options;
  std::string m_node;
  std::uint64_t m_incarnation = 0;
  /// Secret that goes into each key's check.
  std::uint64_t m_secret = 0;
  std::uint64_t m_nextSerial = 1;
  /// Claims up to this serial may have been forgotten.
  std::uint64_t m_forgottenUpTo = 0;
  std::size_t m_answerBytes = 0;
  /// By serial, so that the oldest is forgotten first.
  std::map<std::uint64_t, Claim> m_claims;
};

/// What to do with a request that bears a key.
enum class ClaimDecision
{
  /// It is claimed now: run it.
  Start,
  /// It is being run: answer that it is in progress.
  InProgress,
  /// Answer with the remembered answer.
  Repeat,
  /// It may have been run, and nothing more is known.
  Unknown,
  /// The key was used for another request: it is not run.
  OtherRequest,
  /// No node issued this key: it is not run.
  NotIssued,
};

/// The decision, and the answer if it is Repeat.
struct ClaimAnswer
{
  ClaimDecision m_decision = ClaimDecision::NotIssued;
  RememberedAnswerPtr m_answer;
};

/// @return new keys.
std::vector<std::string>
IssueKeys(KeyTable& aTable, std::size_t aCount);

/// Decides about a request that bears a key of this table's node and incarnation.
/// @param aRequest digest of the request.
ClaimAnswer
ClaimKey(KeyTable& aTable, const IssuedKey& aKey, std::uint64_t aRequest);

/// Decides about a request by the serial of its key alone, which must belong to this table.
ClaimAnswer
ClaimSerial(KeyTable& aTable, std::uint64_t aSerial, std::uint64_t aRequest);

/// The claimed request was answered.
void
FinishClaim(KeyTable& aTable, std::uint64_t aSerial, RememberedAnswer aAnswer);

/// The claimed request was certainly not run: the key may be used again.
void
ReleaseClaim(KeyTable& aTable, std::uint64_t aSerial);

/// The claimed request may have been run, and its answer is lost.
void
LoseClaim(KeyTable& aTable, std::uint64_t aSerial);

} // namespace sequoiastep::idempotency
