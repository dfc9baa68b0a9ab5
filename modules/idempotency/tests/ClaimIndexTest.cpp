#include "ClaimIndex.h"

#include <doctest/doctest.h>

using namespace sequoiastep::idempotency;

namespace {

std::string
ClaimBy(const std::string& aKey, const std::string& aNode)
{
  return EncodeClaim(
    { .m_key = aKey, .m_node = aNode, .m_incarnation = 18'446'744'073'709'551'615ULL });
}

} // namespace

TEST_CASE("the first claim of a key in log order wins on every node")
{
  ClaimIndex index;
  ReplayClaim(index, 3, ClaimBy("order", "left"));
  ReplayClaim(index, 7, ClaimBy("order", "right"));
  ReplayClaim(index, 9, "not a claim");
  ReplayClaim(index, 3, ClaimBy("order", "again"));
  REQUIRE(FindClaim(index, "order") != nullptr);
  CHECK(FindClaim(index, "order")->m_record.m_node == "left");
  CHECK(FindClaim(index, "order")->m_record.m_incarnation == 18'446'744'073'709'551'615ULL);
  CHECK(FindClaim(index, "order")->m_offset == 3);
  CHECK(index.m_nextOffset == 10);
  CHECK(FindClaim(index, "other") == nullptr);
}

TEST_CASE("claims that expired from the log are dropped, and a full index is reported")
{
  ClaimIndex index;
  index.m_maxKeys = 3;
  ReplayClaim(index, 0, ClaimBy("a", "n"));
  ReplayClaim(index, 1, ClaimBy("b", "n"));
  CHECK_FALSE(IsFull(index));
  ReplayClaim(index, 2, ClaimBy("c", "n"));
  CHECK(IsFull(index));
  ExpireClaims(index, 2);
  CHECK(FindClaim(index, "a") == nullptr);
  CHECK(FindClaim(index, "c") != nullptr);
  ExpireClaims(index, 50);
  CHECK(index.m_claims.empty());
  CHECK(index.m_nextOffset == 50);
}

TEST_CASE("only a UUID of version 7 has a timestamp")
{
  CHECK(UuidV7Timestamp("017f22e2-79b0-7cc3-98c4-dc0c0c07398f") == 1645557742000);
  CHECK_FALSE(UuidV7Timestamp("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"));
  CHECK_FALSE(UuidV7Timestamp("zzzf22e2-79b0-7cc3-98c4-dc0c0c07398f"));
  CHECK_FALSE(UuidV7Timestamp("order-17"));
}
