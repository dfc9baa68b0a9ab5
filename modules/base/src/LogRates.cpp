#include "LogRates.h"

namespace sequoiastep {

namespace {

constexpr Milliseconds kSecondMs = 1000;

// True if aCause was not seen in the current second. Causes beyond the bound are one.
bool
IsFirst(EventRate& aRate, std::string_view aCause, std::size_t aMost)
{
  if (aRate.m_causes.contains(aCause) || aRate.m_causes.size() >= aMost) {
    return false;
  }
  aRate.m_causes.emplace(aCause);
  return true;
}

EventRate&
RateOf(LogRates& aRates, std::string_view aEvent)
{
  const auto found = aRates.m_events.find(aEvent);
  return found != aRates.m_events.end() ? found->second : aRates.m_events[std::string(aEvent)];
}

} // namespace

LogAdmission
AdmitLine(LogRates& aRates, std::string_view aEvent, std::string_view aCause, Instant aNow)
{
  EventRate& rate = RateOf(aRates, aEvent);
  if (aNow - rate.m_second >= kSecondMs) {
    rate.m_second = aNow;
    rate.m_lines = 0;
    rate.m_causes.clear();
  }
  const bool first = IsFirst(rate, aCause, aRates.m_options.m_mostCauses);
  if (!first && rate.m_lines >= aRates.m_options.m_linesPerSecond) {
    ++rate.m_suppressed;
    return { .m_write = false, .m_suppressed = 0 };
  }
  ++rate.m_lines;
  const std::uint64_t suppressed = rate.m_suppressed;
  rate.m_suppressed = 0;
  return { .m_write = true, .m_suppressed = suppressed };
}

} // namespace sequoiastep
