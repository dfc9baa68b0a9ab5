#include "IssuedKeys.h"

#include <doctest/doctest.h>

using namespace sequoiastep::idempotency;

namespace {

KeyTable
MakeTable(std::size_t aMaxClaims = 100, std::size_t aMaxBytes = 10'000)
{
  return { .m_options = { .m_maxClaims = aMaxClaims, .m_maxResponseBytes = aMaxBytes },
           .m_node = "hobart-a.1",
           .m_incarnation = 77,
           .m_secret = 9 };
}

IssuedKey
OneKey(KeyTable& aTable)
{
  return *ParseIssuedKey(IssueKeys(aTable, 1).front());
}

} // namespace

TEST_CASE("a key names its issuer, and a forged key is rejected")
{
  KeyTable table = MakeTable();
  IssuedKey key = OneKey(table);
  CHECK(key.m_node == "hobart-a.1");
  CHECK(key.m_incarnation == 77);
  CHECK(ParseIssuedKey(FormatIssuedKey(key))->m_serial == key.m_serial);
  key.m_checkHash ^= 1;
  CHECK(ClaimKey(table, key, 1).m_decision == ClaimDecision::NotIssued);
  key.m_checkHash ^= 1;
  key.m_serial += 1;
  CHECK(ClaimKey(table, key, 1).m_decision == ClaimDecision::NotIssued);
  for (const char* text : { "", "sq1.", "sq1.a.b", "sq1.a.1.2.x", "mine", "sq1..1.2.3" }) {
    CHECK_FALSE(ParseIssuedKey(text));
  }
}

TEST_CASE("a key starts its request once, and repeats get the stored response")
{
  KeyTable table = MakeTable();
  const IssuedKey key = OneKey(table);
  CHECK(ClaimKey(table, key, 1).m_decision == ClaimDecision::Start);
  CHECK(ClaimKey(table, key, 1).m_decision == ClaimDecision::InProgress);
  CHECK(ClaimKey(table, key, 2).m_decision == ClaimDecision::OtherRequest);
  FinishClaim(table, key.m_serial, { .m_status = 201, .m_headers = {}, .m_body = "booked" });
  const ClaimResult repeat = ClaimKey(table, key, 1);
  CHECK(repeat.m_decision == ClaimDecision::ReturnStored);
  CHECK(repeat.m_storedResponse->m_body == "booked");
}

TEST_CASE("a request that was not run may start again, one that may have run may not")
{
  KeyTable table = MakeTable();
  const IssuedKey key = OneKey(table);
  ClaimKey(table, key, 1);
  ReleaseClaim(table, key.m_serial);
  CHECK(ClaimKey(table, key, 1).m_decision == ClaimDecision::Start);
  MarkClaimUnknown(table, key.m_serial);
  CHECK(ClaimKey(table, key, 1).m_decision == ClaimDecision::Unknown);
  ReleaseClaim(table, key.m_serial);
  CHECK(ClaimKey(table, key, 1).m_decision == ClaimDecision::Unknown);
}

TEST_CASE("the number of claims is bounded, and an evicted key is never started again")
{
  KeyTable table = MakeTable(3, 10'000);
  std::vector<IssuedKey> keys;
  for (int i = 0; i < 10; ++i) {
    keys.push_back(OneKey(table));
    CHECK(ClaimKey(table, keys.back(), 1).m_decision == ClaimDecision::Start);
    FinishClaim(table, keys.back().m_serial, { .m_status = 200, .m_headers = {}, .m_body = "a" });
    CHECK(table.m_claims.size() <= 3);
  }
  CHECK(ClaimKey(table, keys[0], 1).m_decision == ClaimDecision::Unknown);
  CHECK(ClaimKey(table, keys[9], 1).m_decision == ClaimDecision::ReturnStored);
}

TEST_CASE("stored responses are bounded in bytes, and claims in progress are kept")
{
  KeyTable table = MakeTable(100, 1000);
  const IssuedKey running = OneKey(table);
  ClaimKey(table, running, 1);
  for (int i = 0; i < 10; ++i) {
    const IssuedKey key = OneKey(table);
    ClaimKey(table, key, 1);
    FinishClaim(
      table, key.m_serial, { .m_status = 200, .m_headers = {}, .m_body = std::string(300, 'x') });
    CHECK(table.m_responseBytes <= 1000);
  }
  CHECK(ClaimKey(table, running, 1).m_decision == ClaimDecision::InProgress);
}
