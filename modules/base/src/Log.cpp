#include "Log.h"

#include "Clock.h"
#include "LogRates.h"
#include "NameTable.h"
#include "Ring.h"

#include <atomic>
#include <cstdio>
#include <fmt/core.h>
#include <memory>
#include <semaphore>
#include <thread>

namespace sequoiastep {

namespace {

constexpr std::array<NameRow<LogLevel>, 4> kLevelNames{ {
  { LogLevel::Debug, "debug" },
  { LogLevel::Info, "info" },
  { LogLevel::Warning, "warning" },
  { LogLevel::Error, "error" },
} };
constexpr std::size_t kMaxQueuedLines = 8192;

struct LogQueue
{
  Ring<std::string> m_lines{ kMaxQueuedLines };
  std::counting_semaphore<> m_ready{ 0 };
  std::atomic<bool> m_stopping{ false };
  std::thread m_thread;
};

std::atomic<LogLevel> gLevel{ LogLevel::Info };
std::unique_ptr<LogQueue> gQueue;
std::string gNode;
std::atomic<std::uint64_t> gSuppressed{ 0 };
thread_local LogRates tRates;

void
WriteLines(LogQueue& aQueue)
{
  std::uint64_t reported = 0;
  while (!aQueue.m_stopping.load()) {
    aQueue.m_ready.acquire();
    while (auto line = aQueue.m_lines.TryPop()) {
      fmt::print(stdout, "{}\n", *line);
    }
    std::fflush(stdout);
    const std::uint64_t refused = aQueue.m_lines.Refused();
    if (refused != reported) {
      fmt::print(stdout, "level=warning event=log_lines_dropped total={}\n", refused);
      reported = refused;
    }
  }
}

bool
NeedsQuotes(std::string_view aValue)
{
  for (const char c : aValue) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
      return true;
    }
  }
  return aValue.empty();
}

void
AppendQuoted(std::string& aText, std::string_view aValue)
{
  aText += '"';
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      aText += '\\';
      aText += c;
    } else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
      aText += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      aText += c;
    }
  }
  aText += '"';
}

} // namespace

std::string_view
NameOf(LogLevel aLevel)
{
  return NameIn(kLevelNames, aLevel);
}

void
SetLogLevel(LogLevel aLevel)
{
  gLevel.store(aLevel);
}

void
SetLogNode(std::string aNode)
{
  gNode = std::move(aNode);
}

LogCounts
CountsOfLog()
{
  return { .m_suppressed = gSuppressed.load(),
           .m_dropped = gQueue ? gQueue->m_lines.Refused() : 0 };
}

LogThread::LogThread(LogLevel aLevel)
{
  SetLogLevel(aLevel);
  gQueue = std::make_unique<LogQueue>();
  gQueue->m_thread = std::thread([] { WriteLines(*gQueue); });
}

LogThread::~LogThread()
{
  gQueue->m_stopping.store(true);
  gQueue->m_ready.release();
  gQueue->m_thread.join();
  while (auto line = gQueue->m_lines.TryPop()) {
    fmt::print(stdout, "{}\n", *line);
  }
  std::fflush(stdout);
  gQueue.reset();
}

LogLine::LogLine(LogLevel aLevel, std::string_view aEvent)
  : m_enabled(aLevel >= gLevel.load(std::memory_order_relaxed))
{
  Begin(aLevel, aEvent);
}

LogLine::LogLine(LogLevel aLevel, std::string_view aEvent, std::string_view aCause)
  : m_enabled(aLevel >= gLevel.load(std::memory_order_relaxed))
{
  if (!m_enabled) {
    return;
  }
  const LogAdmission admission = AdmitLine(tRates, aEvent, aCause, Clock::Now());
  m_enabled = admission.m_write;
  Begin(aLevel, aEvent);
  if (!admission.m_write) {
    gSuppressed.fetch_add(1, std::memory_order_relaxed);
  } else if (admission.m_suppressed > 0) {
    Add("suppressed_before", admission.m_suppressed);
  }
}

void
LogLine::Begin(LogLevel aLevel, std::string_view aEvent)
{
  if (!m_enabled) {
    return;
  }
  m_text =
    fmt::format("time_ms={} level={} event={}", Clock::UnixMilliseconds(), NameOf(aLevel), aEvent);
  if (!gNode.empty()) {
    Add("node", gNode);
  }
}

LogLine::~LogLine()
{
  if (!m_enabled) {
    return;
  }
  if (!gQueue) {
    fmt::print(stdout, "{}\n", m_text);
    return;
  }
  if (gQueue->m_lines.TryPush(std::move(m_text))) {
    gQueue->m_ready.release();
  }
}

LogLine&
LogLine::Add(std::string_view aKey, std::string_view aValue)
{
  if (!m_enabled) {
    return *this;
  }
  m_text += ' ';
  m_text += aKey;
  m_text += '=';
  if (NeedsQuotes(aValue)) {
    AppendQuoted(m_text, aValue);
  } else {
    m_text += aValue;
  }
  return *this;
}

LogLine&
LogLine::AddInteger(std::string_view aKey, std::int64_t aValue)
{
  if (m_enabled) {
    m_text += fmt::format(" {}={}", aKey, aValue);
  }
  return *this;
}

} // namespace sequoiastep
