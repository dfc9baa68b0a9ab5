#include "Histogram.h"

#include <doctest/doctest.h>

namespace sequoiastep {

namespace {

TEST_CASE("the text of a histogram has cumulative buckets with the labels")
{
  Histogram histogram;
  NoteDuration(histogram, 1000);
  NoteDuration(histogram, 30'000);
  NoteDuration(histogram, 60'000'000);
  std::string text;
  AppendHistogram(text, "wait_seconds", "outcome=\"run\"", histogram);
  CHECK(text.find("wait_seconds_bucket{outcome=\"run\",le=\"0.001\"} 1\n") != std::string::npos);
  CHECK(text.find("wait_seconds_bucket{outcome=\"run\",le=\"0.025\"} 1\n") != std::string::npos);
  CHECK(text.find("wait_seconds_bucket{outcome=\"run\",le=\"0.05\"} 2\n") != std::string::npos);
  CHECK(text.find("wait_seconds_bucket{outcome=\"run\",le=\"10\"} 2\n") != std::string::npos);
  CHECK(text.find("wait_seconds_bucket{outcome=\"run\",le=\"+Inf\"} 3\n") != std::string::npos);
  CHECK(text.find("wait_seconds_sum{outcome=\"run\"} 60.031000\n") != std::string::npos);
  CHECK(text.find("wait_seconds_count{outcome=\"run\"} 3\n") != std::string::npos);
}

TEST_CASE("the text of a histogram without labels has no stray comma")
{
  std::string text;
  AppendHistogram(text, "x", "", Histogram());
  CHECK(text.find("x_bucket{le=\"0.001\"} 0\n") == 0);
}

} // namespace

} // namespace sequoiastep
