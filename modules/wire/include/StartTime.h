/// @file
/// The start time of a target's incarnation on the wire, where 0 stands for one that is not known.
#pragma once

#include <cstdint>
#include <optional>

namespace sequoiastep::wire {

/// @return the value of a message's field for a start time in Unix milliseconds.
inline std::int64_t
EncodeStartTime(std::optional<std::int64_t> aBornMs)
{
  return aBornMs.value_or(0);
}

/// @return the start time that a message's field holds; none if it is not known.
inline std::optional<std::int64_t>
DecodeStartTime(std::int64_t aField)
{
  return aField == 0 ? std::nullopt : std::optional(aField);
}

} // namespace sequoiastep::wire
