/// @file
/// Durations counted in fixed buckets, shown as Prometheus text. Not synchronized.
#pragma once

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiastep {

/// Upper bounds of the buckets, in seconds. One more bucket takes what is longer.
constexpr std::array<double, 13> kDurationBounds{ 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                  0.25,  0.5,    1,     2.5,  5,     10 };

/// Durations of one series.
struct Histogram
{
  using Totals = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum>>;

  /// Durations of each bucket, those of smaller ones not included.
  std::array<std::uint64_t, kDurationBounds.size() + 1> m_buckets{};
  Totals m_totals;
};

/// Counts one duration.
void
NoteDuration(Histogram& aHistogram, std::int64_t aMicroseconds);

/// Appends the series to aText.
/// @param aName of the metric, without suffixes.
/// @param aLabels as they stand between the braces; may be empty.
void
AppendHistogram(std::string& aText,
                std::string_view aName,
                std::string_view aLabels,
                const Histogram& aHistogram);

} // namespace sequoiastep
