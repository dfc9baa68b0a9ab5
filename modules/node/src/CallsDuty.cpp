#include "CallsDuty.h"

#include "Address.h"
#include "CallLog.h"
#include "CallsDutyPriv.h"
#include "HttpClient.h"
#include "Log.h"
#include "Names.h"
#include "Problem.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <chrono>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace asio = net::asio;
namespace http = net::http;
using net::Awaitable;
using net::HttpRequest;
using net::HttpResponse;
using net::kAsTuple;
using wire::AnswerT;
using wire::CallOutcome;

namespace {

constexpr Milliseconds kBusyTickMs = 20;
constexpr Milliseconds kTickMs = 100;
constexpr Milliseconds kProbeMs = 1000;
constexpr std::uint16_t kUnknownSlots = 2;
constexpr Milliseconds kHoldStepMs = 5;
constexpr Milliseconds kStaleControlMs = 1500;
constexpr Milliseconds kMostStaleHoldMs = 3000;
constexpr Milliseconds kCloseIdleMs = 10'000;
constexpr std::string_view kReservedPrefix = "/.sequoiastep/";
constexpr std::string_view kKeysPath = "/.sequoiastep/v1/keys";

} // namespace

CallsDuty::CallsDuty(asio::io_context& aContext,
                     const Settings& aSettings,
                     const Identity& aIdentity,
                     Shared& aShared,
                     Notify aNotify)
  : m_context(aContext)
  , m_settings(aSettings)
  , m_identity(aIdentity)
  , m_shared(aShared)
  , m_notify(std::move(aNotify))
  , m_random{ EntropySeed() }
  , m_runner(aContext, aShared, m_metrics)
  , m_targetApi([this](const std::optional<routing::TargetReport>& aTarget) {
    distribution::TargetChanged change;
    if (aTarget) {
      m_runner.SetTarget(*aTarget);
      change = { .m_service = aTarget->m_service,
                 .m_slots = aTarget->m_slots,
                 .m_warmUpMs = aTarget->m_warmUpMs,
                 .m_draining = aTarget->m_leaving };
    } else {
      m_runner.LoseTarget();
    }
    m_notify(std::move(change));
  })
  , m_links(aContext, aIdentity, aShared)
  , m_keyed(aContext,
            aIdentity.m_node,
            aIdentity.m_incarnation,
            { .m_maxClaims = aSettings.m_limits.m_rememberedKeys,
              .m_maxResponseBytes = aSettings.m_limits.m_rememberedAnswerBytes },
            [this](HttpRequest aRequest) { return Route(std::move(aRequest)); })
  , m_ownKeys(
      aContext,
      { .m_mesh = aSettings.m_mesh,
        .m_node = aIdentity.m_node,
        .m_incarnation = aIdentity.m_incarnation,
        .m_retentionMs = static_cast<Milliseconds>(aSettings.m_limits.m_ownKeyRetentionMs) })
  , m_callerServer(
      aContext,
      { .m_maxHeaderBytes = static_cast<std::uint32_t>(aSettings.m_limits.m_maxHeaderBytes),
        .m_maxBodyBytes = aSettings.m_limits.m_maxBodyBytes,
        .m_maxConnections = aSettings.m_limits.m_maxConnections },
      [this](HttpRequest aRequest) { return HandleCaller(std::move(aRequest)); },
      MakeBadRequest)
  , m_targetServer(
      aContext,
      { .m_maxBodyBytes = 64U << 10, .m_maxConnections = 16 },
      [this](HttpRequest aRequest) { return m_targetApi.Handle(std::move(aRequest)); },
      MakeBadRequest)
{
  m_callerServer.SetOverlapFilter(
    [this](const HttpRequest& aRequest) { return MayOverlap(aRequest); });
}

void
CallsDuty::SetLog(platform::LogClient& aLog)
{
  m_ownKeys.SetLog(aLog);
}

Result<void>
CallsDuty::Listen()
{
  BOOST_LEAF_AUTO(callerAddress, net::ParseAddress(m_settings.m_callerListen));
  BOOST_LEAF_AUTO(targetAddress, net::ParseAddress(m_settings.m_targetListen));
  BOOST_LEAF_AUTO(callerEndpoint, m_callerServer.Listen(callerAddress));
  BOOST_LEAF_AUTO(targetEndpoint, m_targetServer.Listen(targetAddress));
  LogLine(LogLevel::Info, "listening")
    .Add("role", "caller")
    .Add("address", net::AddressText(callerEndpoint));
  LogLine(LogLevel::Info, "listening")
    .Add("role", "target")
    .Add("address", net::AddressText(targetEndpoint));
  asio::co_spawn(m_context, TickLoop(), asio::detached);
  if (!m_settings.m_targetAddress.empty()) {
    asio::co_spawn(m_context, ProbeTarget(), asio::detached);
  }
  return {};
}

Awaitable<void>
CallsDuty::TickLoop()
{
  Instant nextCloseIdle = Clock::Now() + kCloseIdleMs;
  while (!m_stopped) {
    const Milliseconds pause = m_runner.Outstanding() > 0 ? kBusyTickMs : kTickMs;
    asio::steady_timer timer(m_context, std::chrono::milliseconds(pause));
    co_await timer.async_wait(kAsTuple);
    m_runner.Review();
    m_targetApi.Review(Clock::Now());
    ApplyCallerLimits();
    const auto view = m_shared.m_view.load();
    if (Clock::Now() >= nextCloseIdle && view) {
      m_links.CloseIdle(*view);
      nextCloseIdle = Clock::Now() + kCloseIdleMs;
    }
  }
}

// Slots that targets of the service have; a cautious guess if none is known.
std::uint16_t
CallsDuty::UsualSlots(const std::string& aService) const
{
  std::uint16_t slots = 0;
  const auto view = m_shared.m_view.load();
  const auto service = view->m_services.find(aService);
  if (service != view->m_services.end()) {
    for (const routing::Candidate& candidate : service->second) {
      slots = slots == 0 ? candidate.m_slots : std::min(slots, candidate.m_slots);
    }
  }
  return slots > 0 ? slots : kUnknownSlots;
}

// After a restart of the node alone its target runs on: one health check tells who it is before its
// next heartbeat does.
Awaitable<void>
CallsDuty::ProbeTarget()
{
  const std::string& service = m_settings.m_targetService;
  std::string path;
  while (path.empty() && m_targetApi.KnowsNothing() && !m_stopped) {
    asio::steady_timer timer(m_context, std::chrono::milliseconds(kTickMs));
    co_await timer.async_wait(kAsTuple);
    if (const auto snapshot = m_shared.m_snapshot.load()) {
      const auto found = snapshot->m_effective->m_services.find(service);
      path = found == snapshot->m_effective->m_services.end() ? "" : found->second.m_healthPath;
    }
  }
  if (path.empty() || !m_targetApi.KnowsNothing()) {
    co_return;
  }
  net::HttpClientOptions options;
  options.m_endpoint = Handle([&] { return net::ParseAddress(m_settings.m_targetAddress); },
                              [](const Error&) { return net::tcp::endpoint(); });
  net::HttpClient client(m_context, options);
  HttpRequest request(http::verb::get, path, 11);
  request.set(http::field::host, m_settings.m_targetAddress);
  const net::HttpResult result = co_await client.Send(std::move(request), kProbeMs);
  if (!result.m_response || result.m_response->result() != http::status::ok) {
    co_return;
  }
  const std::string id(std::string_view((*result.m_response)[adapter::kTargetId]));
  LogLine(LogLevel::Info, "target_probed").Add("target", id).Add("service", service);
  if (!id.empty()) {
    m_targetApi.TakeProbe({ .m_id = id,
                            .m_service = service,
                            .m_address = m_settings.m_targetAddress,
                            .m_slots = UsualSlots(service) });
  }
}

// Callers are bound by the configuration's limits where it has any, else by the node's settings.
void
CallsDuty::ApplyCallerLimits()
{
  const auto snapshot = m_shared.m_snapshot.load();
  if (!snapshot || snapshot->m_version == m_limitsVersion ||
      !snapshot->m_effective->m_callerLimits) {
    return;
  }
  m_limitsVersion = snapshot->m_version;
  const config::CallerLimits& limits = *snapshot->m_effective->m_callerLimits;
  m_callerServer.SetLimits(
    { .m_maxHeaderBytes = static_cast<std::uint32_t>(limits.m_maxHeaderBytes),
      .m_maxBodyBytes = limits.m_maxBodyBytes,
      .m_idleTimeoutMs = static_cast<std::int64_t>(limits.m_idleTimeoutMs),
      .m_headerTimeoutMs = static_cast<std::int64_t>(limits.m_headerTimeoutMs),
      .m_maxConnections = m_settings.m_limits.m_maxConnections });
}

Awaitable<HttpResponse>
CallsDuty::HandleCaller(HttpRequest aRequest)
{
  m_shared.m_calls.m_entered.fetch_add(1, std::memory_order_relaxed);
  if (m_active >= m_settings.m_limits.m_maxCalls) {
    constexpr std::string_view kTooMany =
      "this node has too many calls in progress; try another node";
    m_shared.m_calls.m_shed.fetch_add(1, std::memory_order_relaxed);
    CountOutcome(CallOutcome::NotRun);
    LogRejected(aRequest[adapter::kRequestId], kTooMany, 0);
    co_return MakeProblem(http::status::service_unavailable, CallOutcome::NotRun, kTooMany);
  }
  const InProgress progress(m_active);
  HttpResponse response = co_await Enter(std::move(aRequest));
  co_return response;
}

// After a pause of the whole process nothing here may be current: the control thread checks first.
Awaitable<void>
CallsDuty::HoldWhileStale()
{
  const Instant start = Clock::Now();
  while (Clock::Now() - start < kMostStaleHoldMs) {
    const bool fresh = Clock::Now().m_ms - m_shared.m_controlTick.load() < kStaleControlMs;
    if (fresh && m_shared.m_ready.load()) {
      co_return;
    }
    if (fresh && !m_shared.m_wasReady.load()) {
      co_return; // Still starting: the call is refused at once.
    }
    asio::steady_timer timer(m_context, std::chrono::milliseconds(kHoldStepMs));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

Awaitable<void>
CallsDuty::HoldForVersion(std::uint64_t aVersion)
{
  const auto current = m_shared.m_snapshot.load();
  if (current && current->m_version >= aVersion) {
    co_return;
  }
  m_shared.m_calls.m_versionHolds.fetch_add(1, std::memory_order_relaxed);
  m_notify(distribution::VersionWanted{ .m_version = aVersion });
  const Instant start = Clock::Now();
  while (Clock::Now() - start < static_cast<Milliseconds>(m_settings.m_timings.m_versionHoldMs)) {
    asio::steady_timer timer(m_context, std::chrono::milliseconds(kHoldStepMs));
    co_await timer.async_wait(asio::use_awaitable);
    const auto snapshot = m_shared.m_snapshot.load();
    if (snapshot && snapshot->m_version >= aVersion) {
      co_return;
    }
  }
  m_shared.m_calls.m_versionHoldsExpired.fetch_add(1, std::memory_order_relaxed);
}

Awaitable<HttpResponse>
CallsDuty::Enter(HttpRequest aRequest)
{
  if (std::string_view(aRequest.target()).starts_with(kReservedPrefix)) {
    const bool keys = net::PathOf(aRequest.target()) == kKeysPath;
    if (keys && aRequest.method() == http::verb::post && m_shared.m_ready.load()) {
      co_return m_keyed.Issue(aRequest);
    }
    co_return MakeProblem(http::status::not_found,
                          CallOutcome::NotRun,
                          "paths under /.sequoiastep/ are reserved and this one is not served now");
  }
  if (aRequest.count(std::string(kKeyField)) > 0) {
    HttpResponse response = co_await RouteKeyed(std::move(aRequest));
    co_return response;
  }
  HttpResponse response = co_await Route(std::move(aRequest));
  co_return response;
}

void
CallsDuty::CountOutcome(CallOutcome aOutcome)
{
  CallCounters& counters = m_shared.m_calls;
  switch (aOutcome) {
    case CallOutcome::Done:
      counters.m_done.fetch_add(1, std::memory_order_relaxed);
      break;
    case CallOutcome::NotRun:
      counters.m_notRun.fetch_add(1, std::memory_order_relaxed);
      break;
    case CallOutcome::Unknown:
      counters.m_unknown.fetch_add(1, std::memory_order_relaxed);
      break;
    case CallOutcome::Failed:
      counters.m_failed.fetch_add(1, std::memory_order_relaxed);
      break;
  }
}

void
CallsDuty::BeginDrain()
{
  m_callerServer.DrainConnections();
}

void
CallsDuty::StopTakingWork()
{
  m_runner.StopTakingWork();
}

void
CallsDuty::StopTakingCallers()
{
  m_callerServer.StopAccepting();
}

bool
CallsDuty::IsIdle() const
{
  return m_active == 0 && m_serving == 0 && m_runner.Outstanding() == 0;
}

void
CallsDuty::Stop()
{
  m_stopped = true;
  m_callerServer.CloseAll();
  m_targetServer.CloseAll();
  m_ownKeys.Stop();
  m_links.Stop();
  m_inbound.clear();
}

} // namespace sequoiastep::node
