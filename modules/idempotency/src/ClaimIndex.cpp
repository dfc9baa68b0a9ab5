#include "ClaimIndex.h"

#include "Hash.h"

#include <boost/json.hpp>
#include <charconv>

namespace sequoiastep::idempotency {

namespace json = boost::json;

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionIndex = 14;

std::optional<ClaimRecord>
DecodeClaim(std::string_view aBody)
{
  boost::system::error_code error;
  const json::value value = json::parse(aBody, error);
  const json::object* object = error ? nullptr : value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const json::value* key = object->if_contains("key");
  const json::value* node = object->if_contains("node");
  const json::value* incarnation = object->if_contains("incarnation");
  if (key == nullptr || !key->is_string() || node == nullptr || !node->is_string() ||
      incarnation == nullptr || !incarnation->is_number()) {
    return std::nullopt;
  }
  const auto number = incarnation->to_number<std::uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  return ClaimRecord{ .m_key = std::string(key->get_string()),
                      .m_node = std::string(node->get_string()),
                      .m_incarnation = number };
}

} // namespace

std::uint32_t
ClaimStreamOf(std::string_view aKey)
{
  return static_cast<std::uint32_t>(Hash64(aKey) % kClaimStreams);
}

std::string
EncodeClaim(const ClaimRecord& aRecord)
{
  return json::serialize(json::object{ { "key", aRecord.m_key },
                                       { "node", aRecord.m_node },
                                       { "incarnation", aRecord.m_incarnation } });
}

void
ReplayClaim(ClaimIndex& aIndex, std::uint64_t aOffset, std::string_view aBody)
{
  if (aOffset < aIndex.m_nextOffset) {
    return;
  }
  aIndex.m_nextOffset = aOffset + 1;
  auto record = DecodeClaim(aBody);
  if (!record || aIndex.m_claims.contains(record->m_key)) {
    return;
  }
  aIndex.m_byOffset.emplace(aOffset, record->m_key);
  const std::string key = record->m_key;
  aIndex.m_claims.emplace(key, LoggedClaim{ .m_record = std::move(*record), .m_offset = aOffset });
}

void
ExpireClaims(ClaimIndex& aIndex, std::uint64_t aFirstOffset)
{
  const auto firstKept = aIndex.m_byOffset.lower_bound(aFirstOffset);
  for (auto expired = aIndex.m_byOffset.begin(); expired != firstKept; ++expired) {
    aIndex.m_claims.erase(expired->second);
  }
  aIndex.m_byOffset.erase(aIndex.m_byOffset.begin(), firstKept);
  aIndex.m_nextOffset = std::max(aIndex.m_nextOffset, aFirstOffset);
}

const LoggedClaim*
FindClaim(const ClaimIndex& aIndex, std::string_view aKey)
{
  const auto found = aIndex.m_claims.find(aKey);
  return found == aIndex.m_claims.end() ? nullptr : &found->second;
}

bool
IsFull(const ClaimIndex& aIndex)
{
  return aIndex.m_claims.size() >= aIndex.m_maxKeys;
}

std::optional<Milliseconds>
UuidV7Timestamp(std::string_view aKey)
{
  if (aKey.size() != kUuidLength || aKey[8] != '-' || aKey[13] != '-' ||
      aKey[kUuidVersionIndex] != '7') {
    return std::nullopt;
  }
  const std::string digits = std::string(aKey.substr(0, 8)) + std::string(aKey.substr(9, 4));
  Milliseconds time = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), time, 16);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return time;
}

} // namespace sequoiastep::idempotency
