#include "ParseNumber.h"

#include <doctest/doctest.h>

using namespace sequoiastep;

TEST_CASE("only decimal digits that fit are a number")
{
  CHECK(ParseNumber("0") == 0);
  CHECK(ParseNumber("18446744073709551615") == UINT64_MAX);
  for (const char* other : { "", " 1", "1 ", "-1", "+1", "1.5", "0x1", "18446744073709551616" }) {
    CAPTURE(other);
    CHECK_FALSE(ParseNumber(other));
  }
}
