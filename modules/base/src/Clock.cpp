#include "Clock.h"

#include <chrono>

namespace sequoiastep {

namespace {

template<typename Unit, typename ClockSource>
std::int64_t
SinceEpoch()
{
  return std::chrono::duration_cast<Unit>(ClockSource::now().time_since_epoch()).count();
}

} // namespace

Instant
Clock::Now()
{
  return Instant{ SinceEpoch<std::chrono::milliseconds, std::chrono::steady_clock>() };
}

std::int64_t
Clock::NowMicroseconds()
{
  return SinceEpoch<std::chrono::microseconds, std::chrono::steady_clock>();
}

Milliseconds
Clock::UnixMilliseconds()
{
  return SinceEpoch<std::chrono::milliseconds, std::chrono::system_clock>();
}

} // namespace sequoiastep
