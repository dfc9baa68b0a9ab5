#include "LogRates.h"

#include <doctest/doctest.h>
#include <string>

namespace sequoiastep {

namespace {

constexpr Instant kNow{ 5000 };

TEST_CASE("a flood of one event is limited and the number of suppressed lines is reported")
{
  LogRates rates;
  std::uint32_t written = 0;
  for (int i = 0; i < 1000; ++i) {
    written += AdmitLine(rates, "call_refused", "full", kNow).m_write ? 1 : 0;
  }
  CHECK(written == rates.m_options.m_linesPerSecond);
  const LogAdmission later = AdmitLine(rates, "call_refused", "full", kNow + 1000);
  CHECK(later.m_write);
  CHECK(later.m_suppressed == 1000 - written);
  CHECK(AdmitLine(rates, "call_refused", "full", kNow + 1000).m_suppressed == 0);
}

TEST_CASE("the first line of each cause is written even if the event's limit is used up")
{
  LogRates rates;
  for (int i = 0; i < 1000; ++i) {
    AdmitLine(rates, "call_refused", "full", kNow);
  }
  CHECK_FALSE(AdmitLine(rates, "call_refused", "full", kNow).m_write);
  CHECK(AdmitLine(rates, "call_refused", "leaving", kNow).m_write);
  CHECK_FALSE(AdmitLine(rates, "call_refused", "leaving", kNow).m_write);
  CHECK(AdmitLine(rates, "caller_left", "queue", kNow).m_write);
}

TEST_CASE("an unbounded number of causes can't exceed the limits")
{
  LogRates rates;
  std::uint32_t written = 0;
  for (int i = 0; i < 10'000; ++i) {
    written += AdmitLine(rates, "call_failed", std::to_string(i), kNow).m_write ? 1 : 0;
  }
  CHECK(written <= rates.m_options.m_linesPerSecond + rates.m_options.m_maxCauses);
}

} // namespace

} // namespace sequoiastep
