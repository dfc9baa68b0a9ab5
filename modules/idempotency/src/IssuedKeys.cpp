#include "IssuedKeys.h"

#include "Hash.h"

#include <charconv>
#include <fmt/core.h>

namespace sequoiastep::idempotency {

namespace {

constexpr std::string_view kPrefix = "sq1.";
constexpr std::size_t kNumbers = 3;

std::uint64_t
CheckOf(const KeyTable& aTable, std::uint64_t aSerial)
{
  return Hash64({ reinterpret_cast<const char*>(&aSerial), sizeof aSerial }, aTable.m_secret);
}

// Takes the last ".HEX" off aText.
std::optional<std::uint64_t>
TakeLastNumber(std::string_view& aText)
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
SizeOf(const RememberedAnswerPtr& aAnswer)
{
  if (!aAnswer) {
    return 0;
  }
  std::size_t size = aAnswer->m_body.size();
  for (const auto& [name, value] : aAnswer->m_headers) {
    size += name.size() + value.size();
  }
  return size;
}

// Forgets the oldest claims that are not in progress until the bounds hold.
void
ForgetOldest(KeyTable& aTable)
{
  auto claim = aTable.m_claims.begin();
  while (claim != aTable.m_claims.end() &&
         (aTable.m_claims.size() > aTable.m_options.m_maxClaims ||
          aTable.m_answerBytes > aTable.m_options.m_maxAnswerBytes)) {
    if (claim->second.m_state == ClaimState::InProgress) {
      ++claim;
      continue;
    }
    aTable.m_answerBytes -= SizeOf(claim->second.m_answer);
    aTable.m_forgottenUpTo = std::max(aTable.m_forgottenUpTo, claim->first);
    claim = aTable.m_claims.erase(claim);
  }
}

ClaimAnswer
AnswerClaimed(const Claim& aClaim, std::uint64_t aRequest)
{
  if (aClaim.m_request != aRequest) {
    return { .m_decision = ClaimDecision::OtherRequest, .m_answer = nullptr };
  }
  switch (aClaim.m_state) {
    case ClaimState::InProgress:
      return { .m_decision = ClaimDecision::InProgress, .m_answer = nullptr };
    case ClaimState::Done:
      return { .m_decision = ClaimDecision::Repeat, .m_answer = aClaim.m_answer };
    case ClaimState::Unknown:
      break;
  }
  return { .m_decision = ClaimDecision::Unknown, .m_answer = nullptr };
}

} // namespace

std::optional<IssuedKey>
ParseIssuedKey(std::string_view aText)
{
  if (!aText.starts_with(kPrefix) || aText.size() > kMaxKeyBytes) {
    return std::nullopt;
  }
  std::string_view rest = aText.substr(kPrefix.size());
  std::uint64_t numbers[kNumbers] = {};
  for (std::size_t i = kNumbers; i > 0; --i) {
    const auto number = TakeLastNumber(rest);
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
                    .m_check = numbers[2] };
}

std::string
IssuedKeyText(const IssuedKey& aKey)
{
  return fmt::format(
    "{}{}.{:x}.{:x}.{:x}", kPrefix, aKey.m_node, aKey.m_incarnation, aKey.m_serial, aKey.m_check);
}

std::vector<std::string>
IssueKeys(KeyTable& aTable, std::size_t aCount)
{
  std::vector<std::string> keys;
  for (std::size_t i = 0; i < aCount; ++i) {
    const std::uint64_t serial = aTable.m_nextSerial++;
    keys.push_back(IssuedKeyText({ .m_node = aTable.m_node,
                                   .m_incarnation = aTable.m_incarnation,
                                   .m_serial = serial,
                                   .m_check = CheckOf(aTable, serial) }));
  }
  return keys;
}

ClaimAnswer
ClaimKey(KeyTable& aTable, const IssuedKey& aKey, std::uint64_t aRequest)
{
  if (aKey.m_serial >= aTable.m_nextSerial || aKey.m_check != CheckOf(aTable, aKey.m_serial)) {
    return { .m_decision = ClaimDecision::NotIssued, .m_answer = nullptr };
  }
  return ClaimSerial(aTable, aKey.m_serial, aRequest);
}

ClaimAnswer
ClaimSerial(KeyTable& aTable, std::uint64_t aSerial, std::uint64_t aRequest)
{
  const auto claimed = aTable.m_claims.find(aSerial);
  if (claimed != aTable.m_claims.end()) {
    return AnswerClaimed(claimed->second, aRequest);
  }
  if (aSerial <= aTable.m_forgottenUpTo) {
    return { .m_decision = ClaimDecision::Unknown, .m_answer = nullptr };
  }
  aTable.m_claims.emplace(aSerial, Claim{ .m_request = aRequest });
  ForgetOldest(aTable);
  return { .m_decision = ClaimDecision::Start, .m_answer = nullptr };
}

void
FinishClaim(KeyTable& aTable, std::uint64_t aSerial, RememberedAnswer aAnswer)
{
  const auto claim = aTable.m_claims.find(aSerial);
  if (claim == aTable.m_claims.end() || claim->second.m_state != ClaimState::InProgress) {
    return;
  }
  claim->second.m_state = ClaimState::Done;
  claim->second.m_answer = std::make_shared<const RememberedAnswer>(std::move(aAnswer));
  aTable.m_answerBytes += SizeOf(claim->second.m_answer);
  ForgetOldest(aTable);
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
LoseClaim(KeyTable& aTable, std::uint64_t aSerial)
{
  const auto claim = aTable.m_claims.find(aSerial);
  if (claim != aTable.m_claims.end() && claim->second.m_state == ClaimState::InProgress) {
    claim->second.m_state = ClaimState::Unknown;
  }
}

} // namespace sequoiastep::idempotency
