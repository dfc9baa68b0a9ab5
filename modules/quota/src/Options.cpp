#include "Options.h"

#include <algorithm>

namespace sequoiastep::quota {

namespace {

constexpr double kMillisecondsPerSecond = 1000;
// Part of m_over that unspent tokens may use.
constexpr double kUnspentShare = 0.8;
constexpr double kFloorSlackShare = 0.25;
constexpr double kFloorOverShare = 0.5;

double
QuotaPerWindow(const Options& aOptions, const Limits& aLimits)
{
  const double windowSeconds = static_cast<double>(aOptions.m_windowMs) / kMillisecondsPerSecond;
  return aLimits.m_ratePerSecond * windowSeconds + aLimits.m_burst;
}

} // namespace

Milliseconds
TokenLifetime(const Options& aOptions)
{
  const double most = aOptions.m_over * static_cast<double>(aOptions.m_windowMs) * kUnspentShare;
  return std::clamp<Milliseconds>(static_cast<Milliseconds>(most), 1, aOptions.m_lifetimeMs);
}

double
WindowBound(const Options& aOptions, const Limits& aLimits)
{
  return QuotaPerWindow(aOptions, aLimits) * (1 + aOptions.m_over) + aOptions.m_slack;
}

double
FloorPerWindow(const Options& aOptions, const Limits& aLimits)
{
  const double unspent =
    aLimits.m_ratePerSecond * static_cast<double>(TokenLifetime(aOptions)) / kMillisecondsPerSecond;
  const double left = aOptions.m_over * QuotaPerWindow(aOptions, aLimits) - unspent;
  return aOptions.m_slack * kFloorSlackShare + std::max(0.0, left) * kFloorOverShare;
}

} // namespace sequoiastep::quota
