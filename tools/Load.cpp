// A small load tool with an open-loop schedule: each request has its due time, and its latency
// counts from there, so that waiting is not hidden. Prints one line of key=value pairs.
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

struct Totals
{
  std::vector<std::int64_t> m_latenciesUs;
  std::map<std::string, std::uint64_t> m_outcomes;
};

std::vector<std::string>
Split(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

struct Plan
{
  http::verb m_method = http::verb::get;
  std::string m_path;
  std::string m_body;
  std::string m_prefix;
};

using Clients = std::vector<std::unique_ptr<net::HttpClient>>;

net::HttpRequest
MakeRequest(const Plan& aPlan, std::uint64_t aNumber)
{
  net::HttpRequest request(aPlan.m_method, aPlan.m_path, 11);
  request.set(http::field::host, "load");
  request.set("X-Request-Id", fmt::format("{}-{}", aPlan.m_prefix, aNumber));
  request.body() = aPlan.m_body;
  request.prepare_payload();
  return request;
}

// Sends one request. A node that refuses the connection was sent nothing, so the next one is tried,
// as a caller that knows several nodes would.
Awaitable<void>
SendOne(const Clients& aClients,
        const Plan& aPlan,
        std::uint64_t aNumber,
        std::int64_t aDueUs,
        Totals& aTotals)
{
  net::HttpResult result;
  for (std::size_t i = 0; i < aClients.size(); ++i) {
    net::HttpClient& client = *aClients[(aNumber + i) % aClients.size()];
    result = co_await client.Send(MakeRequest(aPlan, aNumber), kRequestTimeoutMs);
    if (result.m_response || result.m_failure != net::HttpFailure::NotSent) {
      break;
    }
  }
  aTotals.m_latenciesUs.push_back(Clock::NowMicroseconds() - aDueUs);
  if (!result.m_response) {
    ++aTotals.m_outcomes["no_answer"];
  } else if (result.m_response->result() == http::status::ok) {
    ++aTotals.m_outcomes["ok"];
  } else {
    const std::string outcome(result.m_response->base()["Sequoiastep-Outcome"]);
    ++aTotals.m_outcomes[outcome.empty() ? "other" : outcome];
  }
}

std::int64_t
Quantile(const std::vector<std::int64_t>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(aShare * static_cast<double>(aSorted.size() - 1));
  return aSorted[index];
}

Awaitable<void>
RunSchedule(asio::io_context& aContext,
            const Clients& aClients,
            const Plan& aPlan,
            std::int64_t aRate,
            std::int64_t aSeconds,
            Totals& aTotals)
{
  const std::int64_t total = aRate * aSeconds;
  const std::int64_t startUs = Clock::NowMicroseconds();
  for (std::int64_t i = 0; i < total; ++i) {
    const std::int64_t dueUs = startUs + i * 1'000'000 / aRate;
    if (dueUs > Clock::NowMicroseconds()) {
      asio::steady_timer timer(aContext);
      timer.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(dueUs)));
      co_await timer.async_wait(net::kAsTuple);
    }
    asio::co_spawn(aContext,
                   SendOne(aClients, aPlan, static_cast<std::uint64_t>(i), dueUs, aTotals),
                   asio::detached);
  }
}

} // namespace

int
RunLoad(const ToolOptions& aOptions)
{
  asio::io_context context(1);
  Clients clients;
  for (const std::string& address : Split(aOptions.Text("to", "127.0.0.1:8080"))) {
    const auto endpoint = Handle([&] { return net::ParseAddress(address); },
                                 [](const Error&) { return net::tcp::endpoint(); });
    clients.push_back(std::make_unique<net::HttpClient>(
      context, net::HttpClientOptions{ .m_endpoint = endpoint, .m_maxIdleConnections = 1024 }));
  }
  const Plan plan{ .m_method =
                     aOptions.Text("method", "GET") == "POST" ? http::verb::post : http::verb::get,
                   .m_path = aOptions.Text("path", "/"),
                   .m_body =
                     std::string(static_cast<std::size_t>(aOptions.Number("body-bytes", 0)), 'x'),
                   .m_prefix = aOptions.Text("prefix", "load") };
  Totals totals;
  asio::co_spawn(
    context,
    RunSchedule(
      context, clients, plan, aOptions.Number("rate", 100), aOptions.Number("seconds", 5), totals),
    asio::detached);
  context.run();
  std::sort(totals.m_latenciesUs.begin(), totals.m_latenciesUs.end());
  fmt::print("requests={} p50_us={} p90_us={} p99_us={} p999_us={} max_us={}",
             totals.m_latenciesUs.size(),
             Quantile(totals.m_latenciesUs, 0.5),
             Quantile(totals.m_latenciesUs, 0.9),
             Quantile(totals.m_latenciesUs, 0.99),
             Quantile(totals.m_latenciesUs, 0.999),
             Quantile(totals.m_latenciesUs, 1));
  for (const auto& [outcome, count] : totals.m_outcomes) {
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
