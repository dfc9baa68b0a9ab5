#include "../src/NestedFailures.h"

#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::node;

namespace {

constexpr TraceId kTrace{ .m_high = 1, .m_low = 2 };
constexpr TraceId kOther{ .m_high = 1, .m_low = 3 };

} // namespace

// Guards against a version that is rolled back since a service that it calls fails.
TEST_CASE("a failed call of the request's own time and trace explains its error")
{
  NestedFailures failures;
  CHECK_FALSE(MayExplain(failures, kTrace, Instant{ 0 }));
  RecordNestedFailure(failures, { .m_at = Instant{ 100 }, .m_trace = kTrace });
  CHECK(MayExplain(failures, kTrace, Instant{ 50 }));
  CHECK_FALSE(MayExplain(failures, kTrace, Instant{ 101 }));
}

// Guards against a bad version whose errors are excused by failures of unrelated callers.
TEST_CASE("a failed call of another trace explains nothing, one without a trace does")
{
  NestedFailures failures;
  RecordNestedFailure(failures, { .m_at = Instant{ 100 }, .m_trace = kOther });
  CHECK_FALSE(MayExplain(failures, kTrace, Instant{ 50 }));
  RecordNestedFailure(failures, { .m_at = Instant{ 110 }, .m_trace = std::nullopt });
  CHECK(MayExplain(failures, kTrace, Instant{ 50 }));
}

TEST_CASE("only the newest failed calls are kept")
{
  NestedFailures failures;
  RecordNestedFailure(failures, { .m_at = Instant{ 100 }, .m_trace = kTrace });
  for (int i = 0; i < 1000; ++i) {
    RecordNestedFailure(failures, { .m_at = Instant{ 200 }, .m_trace = kOther });
  }
  CHECK(failures.m_failures.size() <= 256);
  CHECK_FALSE(MayExplain(failures, kTrace, Instant{ 50 }));
}
