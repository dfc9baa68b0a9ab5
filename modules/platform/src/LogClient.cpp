#include "LogClient.h"

#include "Address.h"
#include "AsioTypes.h"
#include "Histogram.h"
#include "HttpClient.h"
#include "Log.h"
#include "NameTable.h"
#include "Ring.h"
#include "StoreCalls.h"

#include <array>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <fmt/core.h>
#include <mutex>
#include <thread>

namespace sequoiastep::platform {

namespace http = net::http;

using net::Awaitable;
using net::HttpRequest;
using net::HttpResponse;
using net::HttpResult;
using Job = std::function<Awaitable<void>()>;

namespace {

// Kinds of requests to the log.
enum class CallKind : std::uint8_t
{
  Read,
  Newest,
  Append,
};

constexpr std::array<NameRow<CallKind>, 3> kCallNames{ {
  { CallKind::Read, "read" },
  { CallKind::Newest, "newest" },
  { CallKind::Append, "append" },
} };

// Durations of requests by kind. The mutex is needed because MetricsText() reads them on another
// thread.
struct CallDurations
{
  std::mutex m_mutex;
  std::array<Histogram, kCallNames.size()> m_answered;
  std::array<Histogram, kCallNames.size()> m_failed;
};

} // namespace

struct LogClientState
{
  explicit LogClientState(LogClientOptions aOptions)
    : m_options(std::move(aOptions))
    , m_jobs(m_options.m_maxQueuedRequests)
    , m_workGuard(m_context.get_executor())
  {
    net::HttpClientOptions clientOptions;
    clientOptions.m_endpoint = Handle([&] { return net::ParseAddress(m_options.m_address); },
                                      [](const Error&) { return net::tcp::endpoint(); });
    m_client = std::make_unique<net::HttpClient>(m_context, clientOptions);
    m_thread = std::thread([this] { m_context.run(); });
  }

  LogClientOptions m_options;
  Ring<Job> m_jobs;
  net::asio::io_context m_context{ 1 };
  net::asio::executor_work_guard<net::asio::io_context::executor_type> m_workGuard;
  std::unique_ptr<net::HttpClient> m_client;
  std::thread m_thread;
  std::atomic<std::uint64_t> m_requests{ 0 };
  std::atomic<std::uint64_t> m_failures{ 0 };
  std::atomic<std::uint64_t> m_bytesReceived{ 0 };
  std::atomic<std::uint64_t> m_bytesSent{ 0 };
  CallDurations m_durations;
};

namespace {

void
RecordDuration(LogClientState& aState, CallKind aKind, bool aAnswered, std::int64_t aElapsedUs)
{
  CallDurations& durations = aState.m_durations;
  const std::lock_guard lock(durations.m_mutex);
  auto& histograms = aAnswered ? durations.m_answered : durations.m_failed;
  NoteDuration(histograms[static_cast<std::size_t>(aKind)], aElapsedUs);
}

void
LogCallFailed(CallKind aKind,
              const std::string& aTarget,
              const HttpResult& aResult,
              std::int64_t aElapsedUs)
{
  const std::string reason = aResult.m_response
                               ? fmt::format("status {}", aResult.m_response->result_int())
                               : aResult.m_reason;
  LogLine(LogLevel::Info, "store_call_failed", reason)
    .Add("call", NameIn(kCallNames, aKind))
    .Add("target", aTarget)
    .Add("reason", reason)
    .Add("elapsed_us", aElapsedUs)
    .Add("reused", aResult.m_reused ? "yes" : "no");
}

bool
Succeeded(const HttpResult& aResult)
{
  return aResult.m_response && aResult.m_response->result() == http::status::ok;
}

// Sends a request, counts it and logs a failure.
// aServerWaitMs: how long the server may hold back its response; added to the timeout.
Awaitable<HttpResult>
Exchange(LogClientState& aState, CallKind aKind, HttpRequest aRequest, Milliseconds aServerWaitMs)
{
  const std::int64_t startUs = Clock::NowMicroseconds();
  const std::string target(aRequest.target());
  aRequest.set(http::field::host, aState.m_options.m_address);
  aState.m_requests.fetch_add(1);
  aState.m_bytesSent.fetch_add(aRequest.body().size());
  HttpResult result = co_await aState.m_client->Send(std::move(aRequest),
                                                     aState.m_options.m_timeoutMs + aServerWaitMs);
  if (result.m_response) {
    aState.m_bytesReceived.fetch_add(result.m_response->body().size());
  } else {
    aState.m_failures.fetch_add(1);
  }
  const std::int64_t elapsedUs = Clock::NowMicroseconds() - startUs;
  RecordDuration(aState, aKind, result.m_response.has_value(), elapsedUs);
  if (!Succeeded(result)) {
    LogCallFailed(aKind, target, result, elapsedUs);
  }
  co_return result;
}

Awaitable<ReadReply>
ReadRecords(LogClientState& aState, std::string aTopic, std::uint64_t aFrom, Milliseconds aWaitMs)
{
  HttpRequest request = adapter::MakeReadRequest(aTopic, aFrom, aWaitMs);
  HttpResult result = co_await Exchange(aState, CallKind::Read, std::move(request), aWaitMs);
  co_return result.m_response ? adapter::ParseReadReply(*result.m_response, aFrom) : ReadReply{};
}

Awaitable<NewestReply>
ReadAllKeys(LogClientState& aState, std::string aTopic)
{
  NewestReply combined;
  std::string after;
  do {
    HttpRequest request = adapter::MakeReadNewestRequest(aTopic, after);
    HttpResult result = co_await Exchange(aState, CallKind::Newest, std::move(request), 0);
    NewestReply page =
      result.m_response ? adapter::ParseNewestReply(*result.m_response) : NewestReply{};
    if (!page.m_ok || (page.m_hasMore && page.m_entries.empty())) {
      co_return NewestReply{};
    }
    if (!combined.m_ok) {
      // Records appended while later pages are read lie at or after the end offset of the first
      // page, so reading on from there misses none of them.
      combined.m_next = page.m_next;
      combined.m_era = page.m_era;
    }
    combined.m_ok = true;
    combined.m_hasMore = page.m_hasMore;
    for (KeyedEntry& entry : page.m_entries) {
      after = entry.m_key;
      combined.m_entries.push_back(std::move(entry));
    }
  } while (combined.m_hasMore);
  co_return combined;
}

Awaitable<AppendReply>
SendAppend(LogClientState& aState, HttpRequest aRequest)
{
  HttpResult result = co_await Exchange(aState, CallKind::Append, std::move(aRequest), 0);
  if (result.m_response) {
    co_return adapter::ParseAppendReply(*result.m_response);
  }
  const bool notSent = result.m_failure == net::HttpFailure::NotSent;
  co_return AppendReply{ .m_status = notSent ? AppendStatus::Refused : AppendStatus::Unknown,
                         .m_offset = 0 };
}

// Queues one job for the client's thread. Returns false if the queue is full.
bool
Submit(LogClientState& aState, Job aJob)
{
  if (!aState.m_jobs.TryPush(std::move(aJob))) {
    aState.m_failures.fetch_add(1);
    return false;
  }
  net::asio::post(aState.m_context, [&aState] {
    if (auto job = aState.m_jobs.TryPop()) {
      net::asio::co_spawn(
        aState.m_context,
        [](Job aRunning) -> Awaitable<void> { co_await aRunning(); }(std::move(*job)),
        net::asio::detached);
    }
  });
  return true;
}

void
SubmitAppend(LogClientState& aState, HttpRequest aRequest, const LogClient::OnAppend& aHandler)
{
  const bool accepted =
    Submit(aState, [&aState, request = std::move(aRequest), aHandler]() mutable -> Awaitable<void> {
      AppendReply reply = co_await SendAppend(aState, std::move(request));
      aHandler(reply);
    });
  if (!accepted) {
    aHandler({ .m_status = AppendStatus::Refused, .m_offset = 0 });
  }
}

} // namespace

LogClient::LogClient(LogClientOptions aOptions)
  : m_state(std::make_unique<LogClientState>(std::move(aOptions)))
{
}

LogClient::~LogClient()
{
  m_state->m_context.stop();
  m_state->m_thread.join();
}

void
LogClient::Read(const std::string& aTopic,
                std::uint64_t aFrom,
                Milliseconds aWaitMs,
                const OnRead& aHandler)
{
  LogClientState& state = *m_state;
  const bool accepted =
    Submit(state, [&state, aTopic, aFrom, aWaitMs, aHandler]() -> Awaitable<void> {
      ReadReply reply = co_await ReadRecords(state, aTopic, aFrom, aWaitMs);
      aHandler(std::move(reply));
    });
  if (!accepted) {
    aHandler({});
  }
}

void
LogClient::ReadNewest(const std::string& aTopic, const OnNewest& aHandler)
{
  LogClientState& state = *m_state;
  const bool accepted = Submit(state, [&state, aTopic, aHandler]() -> Awaitable<void> {
    NewestReply reply = co_await ReadAllKeys(state, aTopic);
    aHandler(std::move(reply));
  });
  if (!accepted) {
    aHandler({});
  }
}

void
LogClient::Append(const std::string& aTopic, const std::string& aBody, const OnAppend& aHandler)
{
  SubmitAppend(*m_state, adapter::MakeAppendRequest(aTopic, aBody), aHandler);
}

void
LogClient::AppendKeyed(const std::string& aTopic,
                       std::string_view aKey,
                       std::string_view aValue,
                       const OnAppend& aHandler)
{
  Append(aTopic, adapter::EncodeKeyed(aKey, aValue), aHandler);
}

void
LogClient::AppendKeyedAt(const std::string& aTopic,
                         std::string_view aKey,
                         std::string_view aValue,
                         std::uint64_t aEnd,
                         const OnAppend& aHandler)
{
  SubmitAppend(*m_state,
               adapter::MakeAppendAtRequest(aTopic, adapter::EncodeKeyed(aKey, aValue), aEnd),
               aHandler);
}

std::string
LogClient::MetricsText() const
{
  CallDurations& durations = m_state->m_durations;
  std::string text = "# TYPE sequoiastep_store_call_seconds histogram\n";
  const std::lock_guard lock(durations.m_mutex);
  for (const auto& row : kCallNames) {
    const auto index = static_cast<std::size_t>(row.m_value);
    const auto append = [&](std::string_view aOutcome, const Histogram& aHistogram) {
      const std::string labels = fmt::format("call=\"{}\",outcome=\"{}\"", row.m_name, aOutcome);
      AppendHistogram(text, "sequoiastep_store_call_seconds", labels, aHistogram);
    };
    append("answered", durations.m_answered[index]);
    append("no_answer", durations.m_failed[index]);
  }
  return text;
}

LogClientCounts
LogClient::Counts() const
{
  return { .m_requests = m_state->m_requests.load(),
           .m_failures = m_state->m_failures.load(),
           .m_bodyBytesReceived = m_state->m_bytesReceived.load(),
           .m_bodyBytesSent = m_state->m_bytesSent.load() };
}

} // namespace sequoiastep::platform
