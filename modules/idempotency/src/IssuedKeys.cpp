#include "IssuedKeys.h"

#include "Hash.h"

#include <charconv>
#include <fmt/core.h>

namespace sequoiastep::idempotency {

namespace {

constexpr std::string_view kPrefix = "sq1.";
constexpr std::size_t kHexFieldCount = 3; // Incarnation, serial, check hash.

std::uint64_t
CheckHashOf(const KeyTable& aTable, std::uint64_t aSerial)
{
  return Hash64({ reinterpret_cast<const char*>(&aSerial), sizeof aSerial }, aTable.m_secret);
}

// Parses the ".HEX" at the end of aText and removes it; leaves aText as it is if that fails.
std::optional<std::uint64_t>
PopLastHexField(std::string_view& aText)
{
  const std::size_t dot = aText.rfind('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = aText.substr(dot + 1);
  std::uint64_t number = 0;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), number, 16);
  if (digits.empty() || error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  aText = aText.substr(0, dot);
  return number;
}

std::size_t
SizeOf(const StoredResponsePtr& aResponse)
{
  if (!aResponse) {
    return 0;
  }
  std::size_t size = aResponse->m_body.size();
  for (const auto& [name, value] : aResponse->m_headers) {
    size += name.size() + value.size();
  }
  return size;
}

// Evicts the oldest claims that are not in progress until the table is within its limits.
void
EvictOldest(KeyTable& aTable)
{
  auto claim = aTable.m_claims.begin();
  while (claim != aTable.m_claims.end() &&
         (aTable.m_claims.size() > aTable.m_options.m_maxClaims ||
          aTable.m_responseBytes > aTable.m_options.m_maxResponseBytes)) {
    if (claim->second.m_state == ClaimState::InProgress) {
      ++claim;
      continue;
    }
    aTable.m_responseBytes -= SizeOf(claim->second.m_storedResponse);
    aTable.m_highestEvictedSerial = std::max(aTable.m_highestEvictedSerial, claim->first);
    claim = aTable.m_claims.erase(claim);
  }
}

ClaimResult
DecideExistingClaim(const Claim& aClaim, std::uint64_t aRequestDigest)
{
  if (aClaim.m_requestDigest != aRequestDigest) {
    return { .m_decision = ClaimDecision::OtherRequest, .m_storedResponse = nullptr };
  }
  switch (aClaim.m_state) {
    case ClaimState::InProgress:
      return { .m_decision = ClaimDecision::InProgress, .m_storedResponse = nullptr };
    case ClaimState::Done:
      return { .m_decision = ClaimDecision::ReturnStored,
               .m_storedResponse = aClaim.m_storedResponse };
    case ClaimState::Unknown:
      break;
  }
  return { .m_decision = ClaimDecision::Unknown, .m_storedResponse = nullptr };
}

} // namespace

std::optional<IssuedKey>
ParseIssuedKey(std::string_view aText)
{
  if (!aText.starts_with(kPrefix) || aText.size() > kMaxKeyBytes) {
    return std::nullopt;
  }
  std::string_view rest = aText.substr(kPrefix.size());
  std::uint64_t numbers[kHexFieldCount] = {};
  for (std::size_t i = kHexFieldCount; i > 0; --i) {
    const auto number = PopLastHexField(rest);
    if (!number) {
      return std::nullopt;
    }
    numbers[i - 1] = *number;
  }
  if (rest.empty()) {
    return std::nullopt;
  }
  return IssuedKey{ .m_node = std::string(rest),
                    .m_incarnation = numbers[0],
                    .m_serial = numbers[1],
                    .m_checkHash = numbers[2] };
}

std::string
FormatIssuedKey(const IssuedKey& aKey)
{
  return fmt::format("{}{}.{:x}.{:x}.{:x}",
                     kPrefix,
                     aKey.m_node,
                     aKey.m_incarnation,
                     aKey.m_serial,
                     aKey.m_checkHash);
}

std::vector<std::string>
IssueKeys(KeyTable& aTable, std::size_t aCount)
{
  std::vector<std::string> keys;
  for (std::size_t i = 0; i < aCount; ++i) {
    const std::uint64_t serial = aTable.m_nextSerial++;
    keys.push_back(FormatIssuedKey({ .m_node = aTable.m_node,
                                     .m_incarnation = aTable.m_incarnation,
                                     .m_serial = serial,
                                     .m_checkHash = CheckHashOf(aTable, serial) }));
  }
  return keys;
}

ClaimResult
ClaimKey(KeyTable& aTable, const IssuedKey& aKey, std::uint64_t aRequestDigest)
{
  if (aKey.m_serial >= aTable.m_nextSerial ||
      aKey.m_checkHash != CheckHashOf(aTable, aKey.m_serial)) {
    return { .m_decision = ClaimDecision::NotIssued, .m_storedResponse = nullptr };
  }
  return ClaimSerial(aTable, aKey.m_serial, aRequestDigest);
}

ClaimResult
ClaimSerial(KeyTable& aTable, std::uint64_t aSerial, std::uint64_t aRequestDigest)
{
  const auto claimed = aTable.m_claims.find(aSerial);
  if (claimed != aTable.m_claims.end()) {
    return DecideExistingClaim(claimed->second, aRequestDigest);
  }
  if (aSerial <= aTable.m_highestEvictedSerial) {
    return { .m_decision = ClaimDecision::Unknown, .m_storedResponse = nullptr };
  }
  aTable.m_claims.emplace(aSerial, Claim{ .m_requestDigest = aRequestDigest });
  EvictOldest(aTable);
  return { .m_decision = ClaimDecision::Start, .m_storedResponse = nullptr };
}

void
FinishClaim(KeyTable& aTable, std::uint64_t aSerial, StoredResponse aResponse)
{
  const auto claim = aTable.m_claims.find(aSerial);
  if (claim == aTable.m_claims.end() || claim->second.m_state != ClaimState::InProgress) {
    return;
  }
  claim->second.m_state = ClaimState::Done;
  claim->second.m_storedResponse = std::make_shared<const StoredResponse>(std::move(aResponse));
  aTable.m_responseBytes += SizeOf(claim->second.m_storedResponse);
  EvictOldest(aTable);
}

void
ReleaseClaim(KeyTable& aTable, std::uint64_t aSerial)
{
  const auto claim = aTable.m_claims.find(aSerial);
  if (claim != aTable.m_claims.end() && claim->second.m_state == ClaimState::InProgress) {
    aTable.m_claims.erase(claim);
  }
}

void
MarkClaimUnknown(KeyTable& aTable, std::uint64_t aSerial)
{
  const auto claim = aTable.m_claims.find(aSerial);
  if (claim != aTable.m_claims.end() && claim->second.m_state == ClaimState::InProgress) {
    claim->second.m_state = ClaimState::Unknown;
  }
}

} // namespace sequoiastep::idempotency
