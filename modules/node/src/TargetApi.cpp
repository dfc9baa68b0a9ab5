#include "TargetApi.h"

#include "Address.h"
#include "Documents.h"
#include "Heartbeat.h"
#include "HttpServer.h"
#include "Log.h"
#include "ObjectReader.h"
#include "Problem.h"

#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <chrono>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace http = net::http;

using net::Awaitable;
using routing::ReportOutcome;
using routing::TargetReport;

namespace {

constexpr std::string_view kAnnouncePath = "/target/v1/announce";
constexpr config::NumberRule kSlotsRule{ .m_default = 1, .m_min = 1, .m_max = 10'000 };
constexpr config::NumberRule kWarmUpRule{ .m_default = 0, .m_min = 0, .m_max = 3'600'000 };
constexpr config::NumberRule kTtlRule{ .m_default = 3000, .m_min = 100, .m_max = 600'000 };
// Long, since heartbeats may arrive seconds late. Failing calls reveal a dead target sooner.
constexpr Milliseconds kHeartbeatTtlMs = 12'000;
// Targets wait a second for the answer.
constexpr Milliseconds kMaxKeepMs = 500;

// A parsed announcement of this project's own interface and how long it is valid.
struct Announcement
{
  TargetReport m_report;
  Milliseconds m_ttlMs = 0;
};

Result<Announcement>
ParseAnnouncement(const std::string& aBody)
{
  BOOST_LEAF_AUTO(object, config::ParseObject(aBody, "the announcement"));
  config::ObjectReader reader(object, "announcement", ErrorKind::BadRequest);
  Announcement announcement;
  TargetReport& report = announcement.m_report;
  BOOST_LEAF_ASSIGN(report.m_service, reader.Text("service"));
  BOOST_LEAF_ASSIGN(report.m_address, reader.Text("address"));
  BOOST_LEAF_AUTO(slots, reader.Number("slots", kSlotsRule));
  BOOST_LEAF_AUTO(warmUp, reader.Number("warm_up_ms", kWarmUpRule));
  BOOST_LEAF_AUTO(ttl, reader.Number("ttl_ms", kTtlRule));
  BOOST_LEAF_AUTO(state, reader.TextOr("state", "up"));
  BOOST_LEAF_ASSIGN(report.m_version, reader.TextOr("version", ""));
  BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
  BOOST_LEAF_CHECK(net::ParseAddress(report.m_address));
  if (state != "up" && state != "draining") {
    return Fail(ErrorKind::BadRequest, "announcement.state: set it to up or draining");
  }
  report.m_slots = static_cast<std::uint16_t>(slots);
  report.m_warmUpMs = static_cast<std::uint32_t>(warmUp);
  report.m_leaving = state == "draining";
  announcement.m_ttlMs = static_cast<Milliseconds>(ttl);
  return announcement;
}

Result<TargetReport>
ParseHeartbeat(const std::string& aId, const std::string& aBody)
{
  BOOST_LEAF_AUTO(report, adapter::DecodeHeartbeat(aId, aBody));
  BOOST_LEAF_CHECK(net::ParseAddress(report.m_address));
  return report;
}

// Returns the value of aStep, a callable that returns Result<T>. On error, returns nullopt and
// stores the message in aProblem.
template<typename T, typename Step>
std::optional<T>
ValueOrProblem(Step&& aStep, std::string& aProblem)
{
  return sequoiastep::Handle(
    [&]() -> Result<std::optional<T>> {
      BOOST_LEAF_AUTO(value, aStep());
      return std::optional<T>(std::move(value));
    },
    [&](const Error& aError) {
      aProblem = aError.m_message;
      return std::optional<T>();
    });
}

std::string_view
EventOf(ReportOutcome aOutcome)
{
  switch (aOutcome) {
    case ReportOutcome::Outdated:
      return "target_report_outdated";
    case ReportOutcome::Unconfirmed:
      return "target_report_held";
    case ReportOutcome::NewTarget:
    case ReportOutcome::Changed:
    case ReportOutcome::Same:
      break;
  }
  return "target_announced";
}

std::string
BornText(std::optional<std::int64_t> aBornMs)
{
  return aBornMs ? std::to_string(*aBornMs) : "unknown";
}

net::HttpResponse
AcceptedResponse()
{
  return net::MakeResponse(http::status::ok, "application/json", "{\"taken\":true}");
}

} // namespace

// A target that waits until another node holds its departure.
struct TargetApi::KeepWait
{
  explicit KeepWait(net::asio::io_context& aContext)
    : m_timer(aContext, std::chrono::milliseconds(kMaxKeepMs))
  {
  }

  net::asio::steady_timer m_timer;
  /// The node that holds it; empty if none does yet.
  std::string m_node;
};

TargetApi::TargetApi(net::asio::io_context& aContext, Hooks aHooks)
  : m_context(aContext)
  , m_hooks(std::move(aHooks))
{
  m_record.m_startedAt = Clock::Now();
}

net::HttpResponse
TargetApi::Reject(const std::string& aProblem)
{
  LogLine(LogLevel::Warning, "target_report_rejected")
    .Add("reason", aProblem)
    .Add("total", ++m_rejectedReports);
  return MakeProblem(http::status::bad_request, CallOutcome::NotRun, aProblem);
}

ReportOutcome
TargetApi::ApplyReport(const TargetReport& aReport)
{
  const ReportOutcome outcome = routing::ApplyReport(m_record, aReport, Clock::Now());
  if (outcome == ReportOutcome::Same) {
    return outcome;
  }
  LogLine(LogLevel::Info, EventOf(outcome))
    .Add("service", aReport.m_service)
    .Add("address", aReport.m_address)
    .Add("target", aReport.m_id)
    .Add("born_ms", BornText(aReport.m_bornMs))
    .Add("sequence", aReport.m_sequence)
    .Add("slots", aReport.m_slots)
    .Add("state", aReport.m_leaving ? "draining" : "up");
  if (outcome == ReportOutcome::Unconfirmed) {
    m_hooks.m_probe();
  } else if (outcome != ReportOutcome::Outdated) {
    m_hooks.m_onChange(m_record.m_newest);
  }
  return outcome;
}

net::HttpResponse
TargetApi::HandleAnnouncement(const std::string& aBody)
{
  std::string problem;
  auto announcement =
    ValueOrProblem<Announcement>([&] { return ParseAnnouncement(aBody); }, problem);
  if (!announcement) {
    return Reject(problem);
  }
  m_ttlMs = announcement->m_ttlMs;
  announcement->m_report.m_sequence = ++m_announcements;
  ApplyReport(announcement->m_report);
  return AcceptedResponse();
}

Awaitable<net::HttpResponse>
TargetApi::HandleHeartbeat(std::string aId, std::string aBody)
{
  std::string problem;
  const auto report =
    ValueOrProblem<TargetReport>([&] { return ParseHeartbeat(aId, aBody); }, problem);
  if (!report) {
    co_return Reject(problem);
  }
  m_ttlMs = kHeartbeatTtlMs;
  const ReportOutcome outcome = ApplyReport(*report);
  const bool news = outcome == ReportOutcome::NewTarget || outcome == ReportOutcome::Changed;
  if (report->m_leaving && news) {
    Departure departure{ .m_id = aId, .m_bornMs = m_record.m_newest->m_bornMs };
    co_await KeepDeparture(std::move(departure));
  }
  co_return AcceptedResponse();
}

Awaitable<net::HttpResponse>
TargetApi::HandleDeregister(std::string aId, std::string aBody)
{
  Departure departure{ .m_id = aId, .m_bornMs = adapter::DecodeBornMs(aBody) };
  const bool known = routing::RecordLeave(m_record, departure, Clock::Now());
  LogLine(LogLevel::Info, "target_leaves")
    .Add("target", aId)
    .Add("born_ms", BornText(departure.m_bornMs))
    .Add("known", known ? "yes" : "no");
  if (known) {
    departure.m_bornMs = m_record.m_newest->m_bornMs;
    m_hooks.m_onChange(m_record.m_newest);
  }
  co_await KeepDeparture(std::move(departure));
  co_return AcceptedResponse();
}

// Returns once another node holds the departure, since its acknowledgement must hold even if this
// process ends. If none confirms in time, the target is answered nevertheless: it would leave
// without an answer as well, and this process keeps to it.
Awaitable<void>
TargetApi::KeepDeparture(Departure aDeparture)
{
  const std::uint64_t request = m_nextRequest++;
  KeepWait wait(m_context);
  struct RemoveWait
  {
    TargetApi& m_api;
    std::uint64_t m_request;
    ~RemoveWait() { m_api.m_keepWaits.erase(m_request); }
  };
  m_keepWaits.emplace(request, &wait);
  const RemoveWait removeWait{ .m_api = *this, .m_request = request };
  const Instant start = Clock::Now();
  m_hooks.m_keepDeparture(request, aDeparture);
  co_await wait.m_timer.async_wait(net::kAsTuple);
  LogLine(wait.m_node.empty() ? LogLevel::Warning : LogLevel::Info, "departure_acknowledged")
    .Add("target", aDeparture.m_id)
    .Add("born_ms", BornText(aDeparture.m_bornMs))
    .Add("held_by", wait.m_node)
    .Add("waited_ms", Clock::Now() - start);
}

void
TargetApi::HandleDepartureKept(std::uint64_t aRequest, const std::string& aNode)
{
  const auto found = m_keepWaits.find(aRequest);
  if (found != m_keepWaits.end()) {
    found->second->m_node = aNode;
    found->second->m_timer.cancel();
  }
}

void
TargetApi::RecallDepartures(const std::vector<Departure>& aDepartures, bool aComplete)
{
  const bool news = aComplete && !m_record.m_departuresRecalled;
  const std::size_t before = m_record.m_departures.size();
  const bool changed = routing::RecallDepartures(m_record, aDepartures, aComplete, Clock::Now());
  if (changed || news || m_record.m_departures.size() != before) {
    LogLine(LogLevel::Info, "departures_recalled")
      .Add("departures", m_record.m_departures.size())
      .Add("complete", m_record.m_departuresRecalled ? "yes" : "no")
      .Add("target", m_record.m_newest ? m_record.m_newest->m_id : std::string())
      .Add("leaving", m_record.m_newest && m_record.m_newest->m_leaving ? "yes" : "no");
  }
  if (changed) {
    m_hooks.m_onChange(m_record.m_newest);
  }
}

void
TargetApi::HandleProbe(const TargetReport& aReport)
{
  const ReportOutcome outcome = routing::ApplyProbe(m_record, aReport, Clock::Now());
  LogLine(LogLevel::Info, "target_probed")
    .Add("target", aReport.m_id)
    .Add("service", aReport.m_service)
    .Add("used", outcome == ReportOutcome::Outdated ? "no" : "yes");
  if (outcome != ReportOutcome::Outdated) {
    m_ttlMs = kHeartbeatTtlMs;
    m_hooks.m_onChange(m_record.m_newest);
  }
}

bool
TargetApi::NeedsProbe() const
{
  return !m_record.m_newest && (m_record.m_departures.empty() || m_record.m_unconfirmed);
}

bool
TargetApi::HoldsReport() const
{
  return m_record.m_unconfirmed.has_value();
}

Awaitable<net::HttpResponse>
TargetApi::Handle(net::HttpRequest aRequest)
{
  const std::string_view path = net::PathOf(aRequest.target());
  const auto call = adapter::ParseTargetPath(path);
  if (path != kAnnouncePath && !call) {
    co_return MakeProblem(
      http::status::not_found,
      CallOutcome::NotRun,
      fmt::format("there is no such path here; announce with POST {}", kAnnouncePath));
  }
  if (aRequest.method() != http::verb::post) {
    co_return MakeProblem(
      http::status::method_not_allowed, CallOutcome::NotRun, "announce with POST");
  }
  if (!call) {
    co_return HandleAnnouncement(aRequest.body());
  }
  if (call->m_leave) {
    net::HttpResponse left = co_await HandleDeregister(call->m_id, aRequest.body());
    co_return left;
  }
  net::HttpResponse response = co_await HandleHeartbeat(call->m_id, aRequest.body());
  co_return response;
}

void
TargetApi::ExpireReport(Instant aNow)
{
  if (!m_record.m_newest || aNow - m_record.m_heardAt <= m_ttlMs) {
    return;
  }
  LogLine(LogLevel::Warning, "target_silent")
    .Add("service", m_record.m_newest->m_service)
    .Add("ttl_ms", m_ttlMs);
  m_record.m_newest.reset();
  m_hooks.m_onChange(m_record.m_newest);
}

} // namespace sequoiastep::node
