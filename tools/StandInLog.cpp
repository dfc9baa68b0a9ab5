// A test stand-in for the platform's store. Topics are held in memory, one partition each. It
// supports long polling with a bounded wait, the newest record of each key, limited retention, a
// limit on append requests per second, and fault injection through POST /admin/v1/faults. It can be
// restored from an earlier copy of itself; POST /admin/v1/append writes also during an outage.
#include "Address.h"
#include "Base64.h"
#include "Clock.h"
#include "HttpServer.h"
#include "Log.h"
#include "ToolOptions.h"

#include <boost/asio/signal_set.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <deque>
#include <fmt/core.h>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace sequoiastep::tools {

namespace asio = net::asio;
namespace http = net::http;
namespace json = boost::json;
using net::Awaitable;
using net::HttpRequest;
using net::HttpResponse;

namespace {

// Interval at which a waiting read checks for new records.
constexpr Milliseconds kReadPollMs = 5;
// Delays a response that the caller is never meant to receive.
constexpr Milliseconds kNoResponseMs = 600'000;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
constexpr std::size_t kMaxPageKeys = 500;
// Appends remembered per producer, so that a retried append returns its first offset.
constexpr std::size_t kDedupAppends = 5;
// Topics with this prefix also keep the newest value of each key.
constexpr std::string_view kKeyedTopicPrefix = "keyed.";

struct Record
{
  std::string m_body;
  Instant m_appendedAt;
};

// The state of an idempotent producer: its epoch, last sequence number and recent appends.
struct Producer
{
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
  /// Pairs of sequence number and offset of the first record, oldest first.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> m_recentAppends;
};

struct KeyedValue
{
  std::string m_value;
  std::uint64_t m_offset = 0;
};

struct Topic
{
  std::deque<Record> m_records;
  std::uint64_t m_firstOffset = 0;
  std::map<std::string, KeyedValue> m_newestByKey;
  std::map<std::string, Producer> m_producers;

  std::uint64_t EndOffset() const { return m_firstOffset + m_records.size(); }
};

// Faults that can be injected.
struct Faults
{
  /// Every request gets a 503 response.
  bool m_outage = false;
  /// Every response is held back past any caller's timeout.
  bool m_silent = false;
  Milliseconds m_delayMs = 0;
  /// Number of next appends that take effect but whose response is withheld.
  std::uint64_t m_loseAnswers = 0;
  /// Number of next appends that take effect only after m_lateMs and whose response is withheld.
  std::uint64_t m_lateAppends = 0;
  Milliseconds m_lateMs = 2000;
};

struct LogOptions
{
  Milliseconds m_retentionMs = 86'400'000;
  std::uint64_t m_maxRecords = 100'000;
  std::uint64_t m_appendsPerSecond = 300;
};

std::string
BigEndian(std::uint64_t aNumber, std::size_t aBytes)
{
  std::string text;
  for (std::size_t i = aBytes; i-- > 0;) {
    text += static_cast<char>(aNumber >> (8 * i) & 0xffU);
  }
  return text;
}

// Splits the body of an append into its records, each preceded by its size as a 4-byte big-endian
// number. Returns nullopt if the body is malformed.
std::optional<std::vector<std::string>>
SplitRecords(std::string_view aBody)
{
  std::vector<std::string> records;
  while (!aBody.empty()) {
    if (aBody.size() < kLengthBytes) {
      return std::nullopt;
    }
    std::size_t size = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
      size = size << 8U | static_cast<unsigned char>(aBody[i]);
    }
    aBody.remove_prefix(kLengthBytes);
    if (size > aBody.size()) {
      return std::nullopt;
    }
    records.emplace_back(aBody.substr(0, size));
    aBody.remove_prefix(size);
  }
  return records;
}

HttpResponse
JsonResponse(http::status aStatus, const json::object& aBody)
{
  return net::MakeResponse(aStatus, "application/json", json::serialize(aBody));
}

// Updates the newest value of a key from a record body: one byte with the size of the key, the key,
// the value. An empty value deletes the key. Malformed bodies are ignored.
void
UpdateNewest(Topic& aTopic, std::string_view aBody, std::uint64_t aOffset)
{
  const std::size_t size = aBody.empty() ? 0 : static_cast<unsigned char>(aBody.front());
  if (size == 0 || aBody.size() < 1 + size) {
    return;
  }
  const std::string key(aBody.substr(1, size));
  const std::string value(aBody.substr(1 + size));
  if (value.empty()) {
    aTopic.m_newestByKey.erase(key);
  } else {
    aTopic.m_newestByKey[key] = { .m_value = value, .m_offset = aOffset };
  }
}

class LogServer
{
public:
  LogServer(asio::io_context& aContext, LogOptions aOptions)
    : m_context(aContext)
    , m_options(aOptions)
  {
  }

  /// Every response names the era, which rises with each restore.
  Awaitable<HttpResponse> Handle(HttpRequest aRequest)
  {
    HttpResponse response = co_await HandleInEra(std::move(aRequest));
    response.set("Store-Era", std::to_string(m_era));
    co_return response;
  }

private:
  Awaitable<HttpResponse> HandleInEra(HttpRequest aRequest)
  {
    const std::string path(net::PathOf(aRequest.target()));
    if (path == "/admin/v1/faults") {
      co_return SetFaults(aRequest.body());
    }
    if (path == "/admin/v1/counts") {
      co_return JsonResponse(
        http::status::ok,
        { { "reads", m_reads }, { "appends", m_appendedRecords }, { "read_bytes", m_readBytes } });
    }
    if (path == "/admin/v1/append") {
      const std::string appendTarget(aRequest.target());
      const auto records = SplitRecords(aRequest.body());
      co_return records
        ? AppendNow(net::QueryValue(appendTarget, "topic", ""), appendTarget, *records)
        : JsonResponse(http::status::bad_request, { { "why", "the records are malformed" } });
    }
    if (m_faults.m_silent) {
      co_await Sleep(kNoResponseMs);
    }
    if (m_faults.m_delayMs > 0) {
      co_await Sleep(m_faults.m_delayMs);
    }
    if (m_faults.m_outage) {
      co_return JsonResponse(http::status::service_unavailable, { { "why", "outage" } });
    }
    const std::string target(aRequest.target());
    const std::string name = net::QueryValue(target, "topic", "");
    if (name.empty()) {
      co_return JsonResponse(http::status::bad_request,
                             { { "why", "the topic parameter is missing" } });
    }
    Expire(m_topics[name]);
    if (path == "/-/log-append") {
      HttpResponse response = co_await Append(name, target, std::move(aRequest.body()));
      co_return response;
    }
    if (path == "/-/log-read") {
      HttpResponse response = co_await Read(name, target);
      co_return response;
    }
    if (path == "/-/log-newest") {
      co_return ReadNewest(m_topics[name], net::QueryValue(target, "after", ""));
    }
    if (path == "/-/log-trim") {
      Trim(m_topics[name], std::stoull(net::QueryValue(target, "before", "0")));
      co_return JsonResponse(http::status::ok, {});
    }
    co_return JsonResponse(http::status::not_found, { { "why", "no such endpoint" } });
  }

  Awaitable<void> Sleep(Milliseconds aDelay)
  {
    asio::steady_timer timer(m_context, std::chrono::milliseconds(aDelay));
    co_await timer.async_wait(asio::use_awaitable);
  }

  HttpResponse SetFaults(const std::string& aBody)
  {
    boost::system::error_code error;
    const json::value value = json::parse(aBody, error);
    if (error || !value.is_object()) {
      return JsonResponse(http::status::bad_request,
                          { { "error", "the body must be a JSON object" } });
    }
    const json::object& object = value.get_object();
    const auto flag = [&](std::string_view aKey, bool& aFlag) {
      if (const json::value* given = object.if_contains(aKey)) {
        aFlag = given->is_bool() && given->get_bool();
      }
    };
    const auto number = [&](std::string_view aKey, auto& aNumber) {
      if (const json::value* given = object.if_contains(aKey)) {
        aNumber = given->to_number<std::remove_reference_t<decltype(aNumber)>>();
      }
    };
    flag("outage", m_faults.m_outage);
    flag("silent", m_faults.m_silent);
    number("delay_ms", m_faults.m_delayMs);
    number("lose_answers", m_faults.m_loseAnswers);
    number("late_appends", m_faults.m_lateAppends);
    number("late_ms", m_faults.m_lateMs);
    if (object.contains("copy")) {
      m_copy = m_topics;
    }
    if (object.contains("restore")) {
      m_topics = m_copy;
      ++m_era;
    }
    if (object.contains("compact")) {
      for (auto& [name, topic] : m_topics) {
        Trim(topic, topic.EndOffset());
      }
    }
    return JsonResponse(http::status::ok, { { "taken", true } });
  }

  // Removes the records below offset aBefore.
  static void Trim(Topic& aTopic, std::uint64_t aBefore)
  {
    while (!aTopic.m_records.empty() && aTopic.m_firstOffset < aBefore) {
      aTopic.m_records.pop_front();
      ++aTopic.m_firstOffset;
    }
  }

  // Applies the retention limits on count and age.
  void Expire(Topic& aTopic) const
  {
    const Instant now = Clock::Now();
    while (!aTopic.m_records.empty() &&
           (aTopic.m_records.size() > m_options.m_maxRecords ||
            now - aTopic.m_records.front().m_appendedAt > m_options.m_retentionMs)) {
      Trim(aTopic, aTopic.m_firstOffset + 1);
    }
  }

  // Counts an append request in the current window of one second.
  // Returns true if the request exceeds the rate limit.
  bool IsOverRate()
  {
    const Instant now = Clock::Now();
    if (now - m_windowStart >= 1000) {
      m_windowStart = now;
      m_appendsInWindow = 0;
    }
    return ++m_appendsInWindow > m_options.m_appendsPerSecond;
  }

  // Appends aRecords unless a precondition in the query fails: the expected end offset, the
  // producer's epoch or its sequence number. A retried sequence number returns the offset of its
  // first append.
  HttpResponse AppendNow(const std::string& aName,
                         const std::string& aTarget,
                         const std::vector<std::string>& aRecords)
  {
    Topic& topic = m_topics[aName];
    const std::string at = net::QueryValue(aTarget, "at", "");
    if (!at.empty() && std::stoull(at) != topic.EndOffset()) {
      return JsonResponse(http::status::precondition_failed, { { "end", topic.EndOffset() } });
    }
    const std::string name = net::QueryValue(aTarget, "producer", "");
    const std::uint64_t epoch = std::stoull(net::QueryValue(aTarget, "epoch", "0"));
    const std::uint64_t sequence = std::stoull(net::QueryValue(aTarget, "sequence", "0"));
    Producer& producer = topic.m_producers[name];
    if (!name.empty()) {
      if (epoch < producer.m_epoch) {
        return JsonResponse(http::status::conflict, { { "why", "fenced" } });
      }
      for (const auto& [appendedSequence, offset] : producer.m_recentAppends) {
        if (epoch == producer.m_epoch && appendedSequence == sequence) {
          return JsonResponse(http::status::ok,
                              { { "offset", offset }, { "end", topic.EndOffset() } });
        }
      }
      if (epoch == producer.m_epoch && !producer.m_recentAppends.empty() &&
          sequence != producer.m_sequence + 1) {
        return JsonResponse(http::status::conflict,
                            { { "why", "seq" }, { "sequence", producer.m_sequence + 1 } });
      }
    }
    const std::uint64_t offset = topic.EndOffset();
    for (const std::string& record : aRecords) {
      if (aName.starts_with(kKeyedTopicPrefix)) {
        UpdateNewest(topic, record, topic.EndOffset());
      }
      topic.m_records.push_back({ .m_body = record, .m_appendedAt = Clock::Now() });
      ++m_appendedRecords;
    }
    if (!name.empty()) {
      if (epoch > producer.m_epoch) {
        producer.m_recentAppends.clear();
      }
      producer.m_epoch = epoch;
      producer.m_sequence = sequence;
      producer.m_recentAppends.emplace_back(sequence, offset);
      if (producer.m_recentAppends.size() > kDedupAppends) {
        producer.m_recentAppends.pop_front();
      }
    }
    return JsonResponse(http::status::ok, { { "offset", offset }, { "end", topic.EndOffset() } });
  }

  Awaitable<HttpResponse> Append(std::string aName, std::string aTarget, std::string aBody)
  {
    if (IsOverRate()) {
      co_return JsonResponse(http::status::too_many_requests,
                             { { "why", "the append rate limit is exceeded" } });
    }
    const auto records = SplitRecords(aBody);
    if (!records) {
      co_return JsonResponse(http::status::bad_request, { { "why", "the records are malformed" } });
    }
    if (m_faults.m_lateAppends > 0) {
      --m_faults.m_lateAppends;
      co_await Sleep(m_faults.m_lateMs);
      AppendNow(aName, aTarget, *records);
      co_await Sleep(kNoResponseMs);
    }
    HttpResponse response = AppendNow(aName, aTarget, *records);
    if (m_faults.m_loseAnswers > 0) {
      --m_faults.m_loseAnswers;
      co_await Sleep(kNoResponseMs);
    }
    co_return response;
  }

  Awaitable<HttpResponse> Read(std::string aName, std::string aTarget)
  {
    const std::uint64_t from = std::stoull(net::QueryValue(aTarget, "from", "0"));
    const std::uint64_t maxBytes = 1024 * std::stoull(net::QueryValue(aTarget, "max_kb", "1024"));
    const auto waitMs =
      static_cast<Milliseconds>(std::stoull(net::QueryValue(aTarget, "wait_ms", "0")));
    ++m_reads;
    const Instant start = Clock::Now();
    while (m_topics[aName].EndOffset() == from && Clock::Now() - start < waitMs &&
           !m_faults.m_outage) {
      co_await Sleep(kReadPollMs);
    }
    const Topic& topic = m_topics[aName];
    if (from < topic.m_firstOffset || from > topic.EndOffset()) {
      co_return JsonResponse(http::status::gone, { { "first", topic.m_firstOffset } });
    }
    std::string body =
      BigEndian(topic.EndOffset(), kOffsetBytes) + BigEndian(topic.m_firstOffset, kOffsetBytes);
    for (std::uint64_t offset = from; offset < topic.EndOffset(); ++offset) {
      const std::string& record = topic.m_records[offset - topic.m_firstOffset].m_body;
      if (offset > from && body.size() + record.size() > maxBytes) {
        break;
      }
      body += BigEndian(record.size(), kLengthBytes) + record;
    }
    m_readBytes += body.size();
    co_return net::MakeResponse(http::status::ok, "application/octet-stream", std::move(body));
  }

  HttpResponse ReadNewest(const Topic& aTopic, const std::string& aAfter)
  {
    ++m_reads;
    json::array items;
    auto next = aTopic.m_newestByKey.upper_bound(aAfter);
    for (; next != aTopic.m_newestByKey.end() && items.size() < kMaxPageKeys; ++next) {
      items.push_back(json::object{ { "key", next->first },
                                    { "value", EncodeBase64(next->second.m_value) },
                                    { "offset", next->second.m_offset } });
    }
    HttpResponse response = JsonResponse(http::status::ok,
                                         { { "items", items },
                                           { "has_more", next != aTopic.m_newestByKey.end() },
                                           { "end", aTopic.EndOffset() } });
    m_readBytes += response.body().size();
    return response;
  }

  asio::io_context& m_context;
  LogOptions m_options;
  std::map<std::string, Topic> m_topics;
  /// What a restore brings back.
  std::map<std::string, Topic> m_copy;
  std::uint64_t m_era = 1;
  Faults m_faults;
  Instant m_windowStart;
  std::uint64_t m_appendsInWindow = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_appendedRecords = 0;
  std::uint64_t m_readBytes = 0;
};

} // namespace

int
RunLog(const ToolOptions& aOptions)
{
  asio::io_context context(1);
  LogServer log(
    context,
    { .m_retentionMs = aOptions.Number("keep-ms", 86'400'000),
      .m_maxRecords = static_cast<std::uint64_t>(aOptions.Number("keep-records", 100'000)),
      .m_appendsPerSecond =
        static_cast<std::uint64_t>(aOptions.Number("appends-per-second", 300)) });
  net::HttpServer server(
    context,
    { .m_idleTimeoutMs = 600'000 },
    [&](HttpRequest aRequest) { return log.Handle(std::move(aRequest)); },
    MakeErrorResponse);
  return ServeUntilSignal(context, server, aOptions.Text("listen", "127.0.0.1:0"), "log");
}

} // namespace sequoiastep::tools

int
main(int aCount, char** aArguments)
{
  return sequoiastep::tools::RunLog(sequoiastep::tools::ToolOptions(aCount, aArguments));
}
