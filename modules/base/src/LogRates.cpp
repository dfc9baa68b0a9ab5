#include "LogRates.h"

namespace sequoiastep {

namespace {

constexpr Milliseconds kWindowMs = 1000;

// Returns true if aCause was not seen in the current window. Causes beyond aMaxCauses are not
// tracked and never count as new.
bool
IsNewCause(EventRate& aRate, std::string_view aCause, std::size_t aMaxCauses)
{
  if (aRate.m_causes.contains(aCause) || aRate.m_causes.size() >= aMaxCauses) {
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
  if (aNow - rate.m_windowStart >= kWindowMs) {
    rate.m_windowStart = aNow;
    rate.m_lines = 0;
    rate.m_causes.clear();
  }
  const bool first = IsNewCause(rate, aCause, aRates.m_options.m_maxCauses);
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
