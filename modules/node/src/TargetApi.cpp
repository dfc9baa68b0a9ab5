#include "TargetApi.h"

#include "Address.h"
#include "Documents.h"
#include "HttpServer.h"
#include "Log.h"
#include "ObjectReader.h"
#include "Problem.h"

#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace http = net::http;

namespace {

constexpr std::string_view kAnnouncePath = "/target/v1/announce";
constexpr config::NumberRule kSlotsRule{ .m_default = 1, .m_least = 1, .m_most = 10'000 };
constexpr config::NumberRule kWarmUpRule{ .m_default = 0, .m_least = 0, .m_most = 3'600'000 };
constexpr config::NumberRule kTtlRule{ .m_default = 3000, .m_least = 100, .m_most = 600'000 };

Result<TargetAnnouncement>
ParseAnnouncement(const std::string& aBody)
{
  BOOST_LEAF_AUTO(object, config::ParseObject(aBody, "the announcement"));
  config::ObjectReader reader(object, "announcement", ErrorKind::BadRequest);
  TargetAnnouncement announcement;
  BOOST_LEAF_ASSIGN(announcement.m_service, reader.Text("service"));
  BOOST_LEAF_ASSIGN(announcement.m_address, reader.Text("address"));
  BOOST_LEAF_AUTO(slots, reader.Number("slots", kSlotsRule));
  BOOST_LEAF_AUTO(warmUp, reader.Number("warm_up_ms", kWarmUpRule));
  BOOST_LEAF_AUTO(ttl, reader.Number("ttl_ms", kTtlRule));
  BOOST_LEAF_AUTO(state, reader.TextOr("state", "up"));
  BOOST_LEAF_CHECK(reader.Finish());
  BOOST_LEAF_CHECK(net::ParseAddress(announcement.m_address));
  if (state != "up" && state != "draining") {
    return Fail(ErrorKind::BadRequest, "announcement.state: set it to up or draining");
  }
  announcement.m_slots = static_cast<std::uint16_t>(slots);
  announcement.m_warmUpMs = static_cast<std::uint32_t>(warmUp);
  announcement.m_ttlMs = static_cast<Milliseconds>(ttl);
  announcement.m_draining = state == "draining";
  return announcement;
}

bool
IsSameTarget(const TargetAnnouncement& aLeft, const TargetAnnouncement& aRight)
{
  return aLeft.m_service == aRight.m_service && aLeft.m_address == aRight.m_address &&
         aLeft.m_slots == aRight.m_slots && aLeft.m_warmUpMs == aRight.m_warmUpMs &&
         aLeft.m_draining == aRight.m_draining;
}

} // namespace

TargetApi::TargetApi(OnChange aOnChange)
  : m_onChange(std::move(aOnChange))
{
}

net::HttpResponse
TargetApi::TakeAnnouncement(const std::string& aBody)
{
  std::string problem;
  const auto announcement = sequoiastep::Handle(
    [&]() -> Result<std::optional<TargetAnnouncement>> {
      BOOST_LEAF_AUTO(parsed, ParseAnnouncement(aBody));
      return std::optional<TargetAnnouncement>(std::move(parsed));
    },
    [&](const Error& aError) {
      problem = aError.m_message;
      return std::optional<TargetAnnouncement>();
    });
  if (!announcement) {
    return MakeProblem(http::status::bad_request, CallOutcome::NotRun, problem);
  }
  m_heardAt = Clock::Now();
  const bool changed = !m_target || !IsSameTarget(*m_target, *announcement);
  m_target = announcement;
  if (changed) {
    LogLine(LogLevel::Info, "target_announced")
      .Add("service", announcement->m_service)
      .Add("address", announcement->m_address)
      .Add("slots", announcement->m_slots)
      .Add("state", announcement->m_draining ? "draining" : "up");
    m_onChange(m_target);
  }
  return net::MakeResponse(http::status::ok, "application/json", "{\"taken\":true}");
}

net::Awaitable<net::HttpResponse>
TargetApi::Handle(net::HttpRequest aRequest)
{
  if (net::PathOf(aRequest.target()) != kAnnouncePath) {
    co_return MakeProblem(
      http::status::not_found,
      CallOutcome::NotRun,
      fmt::format("there is no such path here; announce with POST {}", kAnnouncePath));
  }
  if (aRequest.method() != http::verb::post) {
    co_return MakeProblem(
      http::status::method_not_allowed, CallOutcome::NotRun, "announce with POST");
  }
  co_return TakeAnnouncement(aRequest.body());
}

void
TargetApi::Review(Instant aNow)
{
  if (!m_target || aNow - m_heardAt <= m_target->m_ttlMs) {
    return;
  }
  LogLine(LogLevel::Warning, "target_silent")
    .Add("service", m_target->m_service)
    .Add("ttl_ms", m_target->m_ttlMs);
  m_target.reset();
  m_onChange(m_target);
}

} // namespace sequoiastep::node
