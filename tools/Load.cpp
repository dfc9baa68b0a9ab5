// An open-loop load generator. Latency is measured from the time at which a request was due, not
// from the time at which it was sent, so that delays in the generator or the mesh are not hidden
// (coordinated omission). Prints one line of key=value pairs.
#include "Address.h"
#include "Clock.h"
#include "HttpClient.h"
#include "ToolOptions.h"

#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <chrono>
#include <fmt/core.h>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace sequoiastep::tools {

namespace asio = net::asio;
namespace http = net::http;
using net::Awaitable;

namespace {

constexpr std::int64_t kRequestTimeoutMs = 5000;

struct LoadResults
{
  std::vector<std::int64_t> m_latenciesUs;
  std::map<std::string, std::uint64_t> m_outcomes;
};

std::vector<std::string>
SplitAtCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

// Parses NAME:VALUE,NAME:VALUE.
std::map<std::string, std::string>
ParseHeaders(const std::string& aText)
{
  std::map<std::string, std::string> headers;
  for (const std::string& header : SplitAtCommas(aText)) {
    const std::size_t colon = header.find(':');
    if (colon != std::string::npos) {
      headers[header.substr(0, colon)] = header.substr(colon + 1);
    }
  }
  return headers;
}

struct RequestTemplate
{
  http::verb m_method = http::verb::get;
  std::string m_path;
  std::string m_body;
  std::string m_idPrefix;
  /// Names and values of further headers.
  std::map<std::string, std::string> m_headers;
};

using Clients = std::vector<std::unique_ptr<net::HttpClient>>;

net::HttpRequest
MakeRequest(const RequestTemplate& aTemplate, std::uint64_t aNumber)
{
  net::HttpRequest request(aTemplate.m_method, aTemplate.m_path, 11);
  request.set(http::field::host, "load");
  request.set("X-Request-Id", fmt::format("{}-{}", aTemplate.m_idPrefix, aNumber));
  for (const auto& [name, value] : aTemplate.m_headers) {
    request.set(name, value);
  }
  request.body() = aTemplate.m_body;
  request.prepare_payload();
  return request;
}

// Sends one request. If a node refuses the connection, nothing was sent to it, so the next node is
// tried, as a caller that knows several nodes would do.
Awaitable<void>
SendOne(const Clients& aClients,
        const RequestTemplate& aTemplate,
        std::uint64_t aNumber,
        std::int64_t aDueUs,
        LoadResults& aResults)
{
  net::HttpResult result;
  for (std::size_t i = 0; i < aClients.size(); ++i) {
    net::HttpClient& client = *aClients[(aNumber + i) % aClients.size()];
    result = co_await client.Send(MakeRequest(aTemplate, aNumber), kRequestTimeoutMs);
    if (result.m_response || result.m_failure != net::HttpFailure::NotSent) {
      break;
    }
  }
  aResults.m_latenciesUs.push_back(Clock::NowMicroseconds() - aDueUs);
  if (!result.m_response) {
    ++aResults.m_outcomes["no_answer"];
  } else if (result.m_response->result() == http::status::ok) {
    ++aResults.m_outcomes["ok"];
  } else {
    const std::string outcome(result.m_response->base()["Sequoiastep-Outcome"]);
    ++aResults.m_outcomes[outcome.empty() ? "other" : outcome];
  }
}

std::int64_t
Quantile(const std::vector<std::int64_t>& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(aQuantile * static_cast<double>(aSorted.size() - 1));
  return aSorted[index];
}

// Starts aRate requests per second for aSeconds, without waiting for earlier responses.
Awaitable<void>
RunSchedule(asio::io_context& aContext,
            const Clients& aClients,
            const RequestTemplate& aTemplate,
            std::int64_t aRate,
            std::int64_t aSeconds,
            LoadResults& aResults)
{
  const std::int64_t requestCount = aRate * aSeconds;
  const std::int64_t startUs = Clock::NowMicroseconds();
  for (std::int64_t i = 0; i < requestCount; ++i) {
    const std::int64_t dueUs = startUs + i * 1'000'000 / aRate;
    if (dueUs > Clock::NowMicroseconds()) {
      asio::steady_timer timer(aContext);
      timer.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(dueUs)));
      co_await timer.async_wait(net::kAsTuple);
    }
    asio::co_spawn(aContext,
                   SendOne(aClients, aTemplate, static_cast<std::uint64_t>(i), dueUs, aResults),
                   asio::detached);
  }
}

} // namespace

int
RunLoad(const ToolOptions& aOptions)
{
  asio::io_context context(1);
  Clients clients;
  for (const std::string& address : SplitAtCommas(aOptions.Text("to", "127.0.0.1:8080"))) {
    const auto endpoint = Handle([&] { return net::ParseAddress(address); },
                                 [](const Error&) { return net::tcp::endpoint(); });
    clients.push_back(std::make_unique<net::HttpClient>(
      context, net::HttpClientOptions{ .m_endpoint = endpoint, .m_maxIdleConnections = 1024 }));
  }
  const RequestTemplate requestTemplate{
    .m_method = aOptions.Text("method", "GET") == "POST" ? http::verb::post : http::verb::get,
    .m_path = aOptions.Text("path", "/"),
    .m_body = std::string(static_cast<std::size_t>(aOptions.Number("body-bytes", 0)), 'x'),
    .m_idPrefix = aOptions.Text("prefix", "load"),
    .m_headers = ParseHeaders(aOptions.Text("headers", ""))
  };
  LoadResults results;
  asio::co_spawn(context,
                 RunSchedule(context,
                             clients,
                             requestTemplate,
                             aOptions.Number("rate", 100),
                             aOptions.Number("seconds", 5),
                             results),
                 asio::detached);
  context.run();
  std::sort(results.m_latenciesUs.begin(), results.m_latenciesUs.end());
  fmt::print("requests={} p50_us={} p90_us={} p99_us={} p999_us={} max_us={}",
             results.m_latenciesUs.size(),
             Quantile(results.m_latenciesUs, 0.5),
             Quantile(results.m_latenciesUs, 0.9),
             Quantile(results.m_latenciesUs, 0.99),
             Quantile(results.m_latenciesUs, 0.999),
             Quantile(results.m_latenciesUs, 1));
  for (const auto& [outcome, count] : results.m_outcomes) {
    fmt::print(" {}={}", outcome, count);
  }
  fmt::print("\n");
  return 0;
}

} // namespace sequoiastep::tools

int
main(int aCount, char** aArguments)
{
  return sequoiastep::tools::RunLoad(sequoiastep::tools::ToolOptions(aCount, aArguments));
}
