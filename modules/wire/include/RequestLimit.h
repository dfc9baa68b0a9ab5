/// @file
/// The limit on a target's requests in wire messages and log lines.
#pragma once

#include <fmt/core.h>
#include <optional>
#include <string>

namespace sequoiastep::wire {

/// @param aPerSecond requests per second; none if the target named no limit.
/// @return the field per_second of a message; negative for none.
inline double
EncodeLimit(std::optional<double> aPerSecond)
{
  return aPerSecond.value_or(-1);
}

/// @return the limit in the field per_second of a message.
inline std::optional<double>
DecodeLimit(double aPerSecond)
{
  return aPerSecond < 0 ? std::nullopt : std::optional(aPerSecond);
}

/// @return the limit in log lines.
inline std::string
LimitText(std::optional<double> aPerSecond)
{
  return aPerSecond ? fmt::format("{:.2f}", *aPerSecond) : "none";
}

} // namespace sequoiastep::wire
