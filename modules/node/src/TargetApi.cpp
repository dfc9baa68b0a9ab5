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
#include <fmt/core.h>

namespace sequoiastep::node {

namespace http = net::http;

using routing::ReportOutcome;
using routing::TargetReport;

namespace {

constexpr std::string_view kAnnouncePath = "/target/v1/announce";
constexpr config::NumberRule kSlotsRule{ .m_default = 1, .m_min = 1, .m_max = 10'000 };
constexpr config::NumberRule kWarmUpRule{ .m_default = 0, .m_min = 0, .m_max = 3'600'000 };
constexpr config::NumberRule kTtlRule{ .m_default = 3000, .m_min = 100, .m_max = 600'000 };
// Long, since heartbeats may arrive seconds late. Failing calls reveal a dead target sooner.
constexpr Milliseconds kHeartbeatTtlMs = 12'000;

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

TargetApi::TargetApi(OnChange aOnChange)
  : m_onChange(std::move(aOnChange))
{
}

net::HttpResponse
TargetApi::Reject(const std::string& aProblem)
{
  LogLine(LogLevel::Warning, "target_report_rejected")
    .Add("reason", aProblem)
    .Add("total", ++m_rejectedReports);
  return MakeProblem(http::status::bad_request, CallOutcome::NotRun, aProblem);
}

void
TargetApi::ApplyReport(const TargetReport& aReport)
{
  const ReportOutcome outcome = routing::ApplyReport(m_record, aReport, Clock::Now());
  if (outcome == ReportOutcome::Same) {
    return;
  }
  LogLine(LogLevel::Info,
          outcome == ReportOutcome::Outdated ? "target_report_outdated" : "target_announced")
    .Add("service", aReport.m_service)
    .Add("address", aReport.m_address)
    .Add("target", aReport.m_id)
    .Add("born_ms", BornText(aReport.m_bornMs))
    .Add("sequence", aReport.m_sequence)
    .Add("slots", aReport.m_slots)
    .Add("state", aReport.m_leaving ? "draining" : "up");
  if (outcome != ReportOutcome::Outdated) {
    m_onChange(m_record.m_newest);
  }
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

net::HttpResponse
TargetApi::HandleHeartbeat(const std::string& aId, const std::string& aBody)
{
  std::string problem;
  const auto report =
    ValueOrProblem<TargetReport>([&] { return ParseHeartbeat(aId, aBody); }, problem);
  if (!report) {
    return Reject(problem);
  }
  m_ttlMs = kHeartbeatTtlMs;
  ApplyReport(*report);
  return AcceptedResponse();
}

net::HttpResponse
TargetApi::HandleDeregister(const std::string& aId, const std::string& aBody)
{
  const routing::Departure departure{ .m_id = aId, .m_bornMs = adapter::DecodeBornMs(aBody) };
  const bool known = routing::RecordLeave(m_record, departure, Clock::Now());
  LogLine(LogLevel::Info, "target_leaves")
    .Add("target", aId)
    .Add("born_ms", BornText(departure.m_bornMs))
    .Add("known", known ? "yes" : "no");
  if (known) {
    m_onChange(m_record.m_newest);
  }
  return AcceptedResponse();
}

void
TargetApi::HandleProbe(const TargetReport& aReport)
{
  if (HasNoReport()) {
    m_ttlMs = kHeartbeatTtlMs;
    ApplyReport(aReport);
  }
}

bool
TargetApi::HasNoReport() const
{
  return !m_record.m_newest && m_record.m_departures.empty();
}

net::Awaitable<net::HttpResponse>
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
  co_return call->m_leave ? HandleDeregister(call->m_id, aRequest.body())
                          : HandleHeartbeat(call->m_id, aRequest.body());
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
  m_onChange(m_record.m_newest);
}

} // namespace sequoiastep::node
