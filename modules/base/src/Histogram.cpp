#include "Histogram.h"

#include <algorithm>
#include <fmt/core.h>

namespace sequoiastep {

namespace accumulators = boost::accumulators;

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

} // namespace

void
NoteDuration(Histogram& aHistogram, std::int64_t aMicroseconds)
{
  const double seconds = static_cast<double>(aMicroseconds) / kMicrosecondsPerSecond;
  const auto* bucket =
    std::lower_bound(kBucketBoundsSeconds.begin(), kBucketBoundsSeconds.end(), seconds);
  ++aHistogram.m_buckets[static_cast<std::size_t>(bucket - kBucketBoundsSeconds.begin())];
  aHistogram.m_totals(seconds);
}

void
AppendHistogram(std::string& aText,
                std::string_view aName,
                std::string_view aLabels,
                const Histogram& aHistogram)
{
  const std::string_view comma = aLabels.empty() ? "" : ",";
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < kBucketBoundsSeconds.size(); ++i) {
    cumulative += aHistogram.m_buckets[i];
    aText += fmt::format("{}_bucket{{{}{}le=\"{}\"}} {}\n",
                         aName,
                         aLabels,
                         comma,
                         kBucketBoundsSeconds[i],
                         cumulative);
  }
  const std::size_t count = accumulators::count(aHistogram.m_totals);
  aText += fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", aName, aLabels, comma, count);
  aText +=
    fmt::format("{}_sum{{{}}} {:.6f}\n", aName, aLabels, accumulators::sum(aHistogram.m_totals));
  aText += fmt::format("{}_count{{{}}} {}\n", aName, aLabels, count);
}

} // namespace sequoiastep
