#include "Trace.h"

#include "Log.h"

#include <charconv>
#include <deque>
#include <fmt/core.h>
#include <mutex>

namespace sequoiastep::node {

namespace {

constexpr std::size_t kTraceparentLength = 55;
constexpr std::size_t kMaxRecentSpans = 256;
constexpr unsigned kSampledFlag = 1;

struct RecentSpanLines
{
  std::mutex m_mutex;
  std::deque<std::string> m_lines;
};

RecentSpanLines&
Recent()
{
  static RecentSpanLines recent;
  return recent;
}

std::optional<std::uint64_t>
ParseHex(std::string_view aText)
{
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value, 16);
  if (error != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::optional<TraceContext>
ParseTraceparent(std::string_view aText)
{
  if (aText.size() != kTraceparentLength || aText[2] != '-' || aText[35] != '-' ||
      aText[52] != '-') {
    return std::nullopt;
  }
  const auto version = ParseHex(aText.substr(0, 2));
  const auto high = ParseHex(aText.substr(3, 16));
  const auto low = ParseHex(aText.substr(19, 16));
  const auto parent = ParseHex(aText.substr(36, 16));
  const auto flags = ParseHex(aText.substr(53, 2));
  if (!version || *version == 0xff || !high || !low || !parent || !flags || *parent == 0 ||
      (*high | *low) == 0) {
    return std::nullopt;
  }
  return TraceContext{ .m_traceHigh = *high,
                       .m_traceLow = *low,
                       .m_parentSpan = *parent,
                       .m_sampled = (*flags & kSampledFlag) != 0 };
}

std::string
FormatTraceparent(const TraceContext& aContext)
{
  return fmt::format("00-{:016x}{:016x}-{:016x}-{:02x}",
                     aContext.m_traceHigh,
                     aContext.m_traceLow,
                     aContext.m_parentSpan,
                     aContext.m_sampled ? kSampledFlag : 0U);
}

TraceContext
StartTrace(Random& aRandom, double aSampleProbability)
{
  return { .m_traceHigh = aRandom.Next(),
           .m_traceLow = aRandom.Next() | 1U,
           .m_parentSpan = 0,
           .m_sampled = aRandom.Unit() < aSampleProbability };
}

Span::Span(const TraceContext& aParent, std::string_view aName, Random& aRandom)
  : m_context(aParent)
  , m_parentSpan(aParent.m_parentSpan)
  , m_name(aName)
  , m_startUnixMs(Clock::UnixMilliseconds())
  , m_startUs(Clock::NowMicroseconds())
{
  m_context.m_parentSpan = aRandom.Next() | 1U;
}

const TraceContext&
Span::Context() const
{
  return m_context;
}

std::int64_t
Span::ElapsedUs() const
{
  return Clock::NowMicroseconds() - m_startUs;
}

void
Span::End(std::string_view aOutcome, std::string_view aPeer) const
{
  if (!m_context.m_sampled) {
    return;
  }
  const std::string trace =
    fmt::format("{:016x}{:016x}", m_context.m_traceHigh, m_context.m_traceLow);
  const std::string span = fmt::format("{:016x}", m_context.m_parentSpan);
  const std::string parent = fmt::format("{:016x}", m_parentSpan);
  const std::int64_t duration = ElapsedUs();
  LogLine(LogLevel::Info, "span")
    .Add("name", m_name)
    .Add("trace", trace)
    .Add("span", span)
    .Add("parent", parent)
    .Add("start_ms", m_startUnixMs)
    .Add("duration_us", duration)
    .Add("outcome", aOutcome)
    .Add("peer", aPeer);
  std::string line = fmt::format("name={} trace={} span={} parent={} start_ms={} duration_us={} "
                                 "outcome={} peer={}\n",
                                 m_name,
                                 trace,
                                 span,
                                 parent,
                                 m_startUnixMs,
                                 duration,
                                 aOutcome,
                                 aPeer);
  RecentSpanLines& recent = Recent();
  const std::lock_guard lock(recent.m_mutex);
  recent.m_lines.push_back(std::move(line));
  if (recent.m_lines.size() > kMaxRecentSpans) {
    recent.m_lines.pop_front();
  }
}

std::string
RecentSpans()
{
  RecentSpanLines& recent = Recent();
  const std::lock_guard lock(recent.m_mutex);
  std::string text;
  for (const std::string& line : recent.m_lines) {
    text += line;
  }
  return text;
}

} // namespace sequoiastep::node
