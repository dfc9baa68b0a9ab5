/// @file
/// Histograms of durations with fixed buckets, and their Prometheus text. Not synchronized.
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

/// Inclusive upper bounds of the buckets. One more bucket counts longer durations.
constexpr std::array<double, 13> kBucketBoundsSeconds{ 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                       0.25,  0.5,    1,     2.5,  5,     10 };

/// The durations of one time series.
struct Histogram
{
  using Totals = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum>>;

  /// The number of durations in each bucket; unlike in the Prometheus text, not cumulative.
  std::array<std::uint64_t, kBucketBoundsSeconds.size() + 1> m_buckets{};
  Totals m_totals;
};

/// Adds one duration.
void
NoteDuration(Histogram& aHistogram, std::int64_t aMicroseconds);

/// Appends the Prometheus text of the series to aText.
/// @param aName name of the metric, without suffixes such as _bucket.
/// @param aLabels labels as written between the braces; may be empty.
void
AppendHistogram(std::string& aText,
                std::string_view aName,
                std::string_view aLabels,
                const Histogram& aHistogram);

} // namespace sequoiastep
