#include "LogClient.h"

#include "Address.h"
#include "AsioTypes.h"
#include "Base64.h"
#include "HttpClient.h"
#include "Ring.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/json.hpp>
#include <fmt/core.h>
#include <thread>

namespace sequoiastep::platform {

namespace json = boost::json;
namespace http = net::http;

using net::Awaitable;
using net::HttpRequest;
using net::HttpResponse;
using net::HttpResult;
using Job = std::function<Awaitable<void>()>;

struct LogClientState
{
  explicit LogClientState(LogClientOptions aOptions)
    : m_options(std::move(aOptions))
    , m_jobs(m_options.m_waiting)
    , m_guard(m_context.get_executor())
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
  net::asio::executor_work_guard<net::asio::io_context::executor_type> m_guard;
  std::unique_ptr<net::HttpClient> m_client;
  std::thread m_thread;
  std::atomic<std::uint64_t> m_requests{ 0 };
  std::atomic<std::uint64_t> m_failures{ 0 };
  std::atomic<std::uint64_t> m_received{ 0 };
  std::atomic<std::uint64_t> m_sent{ 0 };
};

namespace {

struct StreamBounds
{
  std::uint64_t m_first = 0;
  std::uint64_t m_next = 0;
};

HttpRequest
MakeRequest(const LogClientState& aState, http::verb aMethod, std::string_view aTarget)
{
  HttpRequest request(aMethod, aTarget, 11);
  request.set(http::field::host, aState.m_options.m_address);
  return request;
}

Awaitable<HttpResult>
Exchange(LogClientState& aState, HttpRequest aRequest, Milliseconds aExtraMs)
{
  aState.m_requests.fetch_add(1);
  aState.m_sent.fetch_add(aRequest.body().size());
  HttpResult result =
    co_await aState.m_client->Send(std::move(aRequest), aState.m_options.m_timeoutMs + aExtraMs);
  if (result.m_response) {
    aState.m_received.fetch_add(result.m_response->body().size());
  } else {
    aState.m_failures.fetch_add(1);
  }
  co_return result;
}

std::optional<json::object>
ParseBody(const HttpResponse& aResponse)
{
  boost::system::error_code error;
  json::value value = json::parse(aResponse.body(), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

std::uint64_t
NumberOr(const json::object& aObject, std::string_view aKey, std::uint64_t aDefault)
{
  const json::value* value = aObject.if_contains(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  return error ? aDefault : number;
}

// Takes one record of a read's answer. Gives nothing if it is malformed.
std::optional<LogEntry>
ParseEntry(const json::value& aValue)
{
  const json::object* record = aValue.if_object();
  const json::value* body = record == nullptr ? nullptr : record->if_contains("body");
  if (body == nullptr || !body->is_string() || !record->contains("offset")) {
    return std::nullopt;
  }
  auto decoded = DecodeBase64(body->get_string());
  if (!decoded) {
    return std::nullopt;
  }
  return LogEntry{ .m_offset = NumberOr(*record, "offset", 0), .m_body = std::move(*decoded) };
}

ReadReply
ParseRead(const HttpResult& aResult)
{
  ReadReply reply;
  if (!aResult.m_response) {
    return reply;
  }
  const auto body = ParseBody(*aResult.m_response);
  if (!body) {
    return reply;
  }
  if (aResult.m_response->result() == http::status::gone) {
    reply.m_status = ReadStatus::Expired;
    reply.m_first = NumberOr(*body, "first", 0);
    return reply;
  }
  const json::value* records = body->if_contains("records");
  if (aResult.m_response->result() != http::status::ok || records == nullptr ||
      !records->is_array()) {
    return reply;
  }
  for (const json::value& record : records->get_array()) {
    auto entry = ParseEntry(record);
    if (!entry) {
      return { .m_status = ReadStatus::Failed, .m_entries = {}, .m_first = 0 };
    }
    reply.m_entries.push_back(std::move(*entry));
  }
  if (body->contains("next")) {
    reply.m_next = NumberOr(*body, "next", 0);
  }
  reply.m_status = ReadStatus::Ok;
  return reply;
}

AppendReply
ParseAppend(const HttpResult& aResult)
{
  if (!aResult.m_response) {
    const bool notSent = aResult.m_failure == net::HttpFailure::NotSent;
    return { .m_status = notSent ? AppendStatus::Refused : AppendStatus::Unknown, .m_offset = 0 };
  }
  const http::status status = aResult.m_response->result();
  if (status == http::status::created) {
    const auto body = ParseBody(*aResult.m_response);
    return { .m_status = AppendStatus::Appended,
             .m_offset = body ? NumberOr(*body, "offset", 0) : 0 };
  }
  const bool refused = status == http::status::too_many_requests ||
                       status == http::status::service_unavailable ||
                       http::to_status_class(status) == http::status_class::client_error;
  return { .m_status = refused ? AppendStatus::Refused : AppendStatus::Unknown, .m_offset = 0 };
}

Awaitable<ReadReply>
ReadRange(LogClientState& aState,
          std::string aStream,
          std::uint64_t aFrom,
          std::uint32_t aMost,
          Milliseconds aWaitMs)
{
  const std::string target =
    fmt::format("/v1/streams/{}/records?from={}&max={}&wait_ms={}", aStream, aFrom, aMost, aWaitMs);
  HttpResult result =
    co_await Exchange(aState, MakeRequest(aState, http::verb::get, target), aWaitMs);
  co_return ParseRead(result);
}

Awaitable<std::optional<StreamBounds>>
ReadBounds(LogClientState& aState, std::string aStream)
{
  HttpRequest request =
    MakeRequest(aState, http::verb::get, fmt::format("/v1/streams/{}", aStream));
  HttpResult result = co_await Exchange(aState, std::move(request), 0);
  if (!result.m_response || result.m_response->result() != http::status::ok) {
    co_return std::nullopt;
  }
  const auto body = ParseBody(*result.m_response);
  if (!body) {
    co_return std::nullopt;
  }
  co_return StreamBounds{ .m_first = NumberOr(*body, "first", 0),
                          .m_next = NumberOr(*body, "next", 0) };
}

// Offsets need not be contiguous, so the window doubles until it holds enough records.
Awaitable<ReadReply>
ReadNewestOf(LogClientState& aState, std::string aStream, std::uint32_t aMost)
{
  const auto bounds = co_await ReadBounds(aState, aStream);
  if (!bounds) {
    co_return ReadReply{};
  }
  ReadReply reply;
  reply.m_status = ReadStatus::Ok;
  std::uint64_t window = aMost;
  while (bounds->m_next > bounds->m_first) {
    const std::uint64_t span = bounds->m_next - bounds->m_first;
    const std::uint64_t from = bounds->m_next - std::min(window, span);
    reply = co_await ReadRange(aState,
                               aStream,
                               from,
                               static_cast<std::uint32_t>(std::min<std::uint64_t>(window, 10'000)),
                               0);
    const bool enough = reply.m_entries.size() >= aMost || window >= span;
    if (reply.m_status != ReadStatus::Ok || enough) {
      break;
    }
    window *= 4;
  }
  const std::size_t size = reply.m_entries.size();
  if (size > aMost) {
    reply.m_entries.erase(reply.m_entries.begin(),
                          reply.m_entries.end() - static_cast<std::ptrdiff_t>(aMost));
  }
  co_return reply;
}

// Runs one job on the client's thread. Returns false if too many wait.
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
LogClient::Read(const std::string& aStream,
                std::uint64_t aFrom,
                std::uint32_t aMost,
                Milliseconds aWaitMs,
                const OnRead& aHandler)
{
  LogClientState& state = *m_state;
  const bool accepted =
    Submit(state, [&state, aStream, aFrom, aMost, aWaitMs, aHandler]() -> Awaitable<void> {
      ReadReply reply = co_await ReadRange(state, aStream, aFrom, aMost, aWaitMs);
      aHandler(std::move(reply));
    });
  if (!accepted) {
    aHandler({});
  }
}

void
LogClient::ReadNewest(const std::string& aStream, std::uint32_t aMost, const OnRead& aHandler)
{
  LogClientState& state = *m_state;
  const bool accepted = Submit(state, [&state, aStream, aMost, aHandler]() -> Awaitable<void> {
    ReadReply reply = co_await ReadNewestOf(state, aStream, aMost);
    aHandler(std::move(reply));
  });
  if (!accepted) {
    aHandler({});
  }
}

void
LogClient::Append(const std::string& aStream, const std::string& aBody, const OnAppend& aHandler)
{
  LogClientState& state = *m_state;
  const bool accepted = Submit(state, [&state, aStream, aBody, aHandler]() -> Awaitable<void> {
    HttpRequest request =
      MakeRequest(state, http::verb::post, fmt::format("/v1/streams/{}/records", aStream));
    request.body() = aBody;
    request.prepare_payload();
    HttpResult result = co_await Exchange(state, std::move(request), 0);
    aHandler(ParseAppend(result));
  });
  if (!accepted) {
    aHandler({ .m_status = AppendStatus::Refused, .m_offset = 0 });
  }
}

LogClientCounts
LogClient::Counts() const
{
  return { .m_requests = m_state->m_requests.load(),
           .m_failures = m_state->m_failures.load(),
           .m_bodyBytesReceived = m_state->m_received.load(),
           .m_bodyBytesSent = m_state->m_sent.load() };
}

} // namespace sequoiastep::platform
