#include "CallProxy.h"

#include "Address.h"
#include "CallLog.h"
#include "CallProxyPriv.h"
#include "CallerAccess.h"
#include "HttpClient.h"
#include "Log.h"
#include "Names.h"
#include "Problem.h"
#include "ProcessMemory.h"
#include "TargetAnswer.h"

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

// Tick interval while requests run or wait at the target, so that expired ones are shed in time.
constexpr Milliseconds kBusyTickMs = 20;
constexpr Milliseconds kTickMs = 100;
constexpr Milliseconds kProbeTimeoutMs = 1000;
// Health checks while a report of the target waits for confirmation, and the pause between them.
constexpr int kMaxProbes = 3;
constexpr Milliseconds kProbePauseMs = 400;
// Assumed slots of a target whose service has no other known target; deliberately low.
constexpr std::uint16_t kDefaultSlots = 2;
constexpr Milliseconds kHoldPollMs = 5;
// The control thread's state counts as stale if its last tick is this old.
constexpr Milliseconds kControlStaleMs = 1500;
constexpr Milliseconds kMaxStaleHoldMs = 3000;
constexpr Milliseconds kCloseIdleIntervalMs = 10'000;
constexpr double kBytesPerMsPerMbps = 125;
constexpr std::string_view kReservedPrefix = "/.sequoiastep/";
constexpr std::string_view kKeysPath = "/.sequoiastep/v1/keys";

net::HttpLimits
LimitsForCallers(const Limits& aLimits)
{
  return { .m_maxHeaderBytes = static_cast<std::uint32_t>(aLimits.m_maxHeaderBytes),
           .m_maxBodyBytes = aLimits.m_maxBodyBytes,
           .m_maxBufferedBytes = MaxBufferedBytes(aLimits),
           .m_maxHeldBytes = MaxHeldBytes(aLimits),
           .m_maxConnections = aLimits.m_maxConnections,
           .m_reservedDescriptors = aLimits.m_reservedDescriptors };
}

} // namespace

CallProxy::CallProxy(asio::io_context& aContext,
                     const Settings& aSettings,
                     const Identity& aIdentity,
                     SharedState& aShared,
                     NotifyControl aNotifyControl)
  : m_context(aContext)
  , m_settings(aSettings)
  , m_identity(aIdentity)
  , m_shared(aShared)
  , m_notifyControl(std::move(aNotifyControl))
  , m_random{ EntropySeed() }
  , m_budget(aSettings.m_limits)
  , m_runner(aContext, aShared, m_metrics, m_budget.m_targets)
  , m_bodies(aContext, { .m_bytesPerMs = aSettings.m_linkMbps * kBytesPerMsPerMbps })
  , m_targetApi(aContext,
                { .m_onChange = [this](const auto& aTarget) { UseTarget(aTarget); },
                  .m_keepDeparture =
                    [this](std::uint64_t aRequest, const Departure& aDeparture) {
                      m_notifyControl(distribution::DepartureRecorded{ .m_request = aRequest,
                                                                       .m_departure = aDeparture });
                    },
                  .m_probe = [this] { asio::co_spawn(m_context, ProbeTarget(), asio::detached); } })
  , m_links(aContext, aIdentity, aShared, m_budget.m_links)
  , m_quotas(aContext, aSettings, aIdentity.m_node, aShared, m_links)
  , m_keyedCalls(aContext,
                 aIdentity.m_node,
                 aIdentity.m_incarnation,
                 { .m_maxClaims = aSettings.m_limits.m_rememberedKeys,
                   .m_maxResponseBytes = aSettings.m_limits.m_rememberedAnswerBytes },
                 [this](HttpRequest aRequest) { return Route(std::move(aRequest)); })
  , m_callerKeys(
      aContext,
      { .m_mesh = aSettings.m_mesh,
        .m_node = aIdentity.m_node,
        .m_incarnation = aIdentity.m_incarnation,
        .m_retentionMs = static_cast<Milliseconds>(aSettings.m_limits.m_ownKeyRetentionMs) })
  , m_callerServer(
      aContext,
      LimitsForCallers(aSettings.m_limits),
      [this](HttpRequest aRequest) { return HandleCallerRequest(std::move(aRequest)); },
      MakeBadRequest)
  , m_targetServer(
      aContext,
      { .m_maxBodyBytes = 64U << 10, .m_maxConnections = 16 },
      [this](HttpRequest aRequest) { return m_targetApi.Handle(std::move(aRequest)); },
      MakeBadRequest)
{
  if (m_settings.m_rollouts) {
    MakeRolloutCalls();
  }
  m_callerServer.SetBudget(m_budget.m_all);
  m_callerServer.SetOverlapFilter(
    [this](const HttpRequest& aRequest) { return MayOverlap(aRequest); });
}

void
CallProxy::SetLogClient(platform::LogClient& aLog)
{
  m_callerKeys.SetLogClient(aLog);
}

Result<void>
CallProxy::Listen()
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
  asio::co_spawn(m_context, ProbeTarget(), asio::detached);
  return {};
}

void
CallProxy::UseTarget(const std::optional<routing::TargetReport>& aTarget)
{
  if (aTarget) {
    m_runner.SetTarget(*aTarget);
  } else {
    m_runner.RemoveTarget();
  }
  AnnounceTarget();
}

// Tells all nodes the state of the target beside this one.
void
CallProxy::AnnounceTarget()
{
  m_announcedNotice = { .m_notice = m_runner.Notice(), .m_at = Clock::Now() };
  distribution::TargetChanged change;
  if (const routing::TargetReport* target = m_runner.Target()) {
    change = { .m_service = target->m_service,
               .m_slots = target->m_slots,
               .m_warmUpMs = target->m_warmUpMs,
               .m_draining = m_runner.IsLeaving(),
               .m_perSecond = m_runner.Notice().m_perSecond,
               .m_version = m_settings.m_rollouts ? target->m_version : std::string() };
  }
  m_notifyControl(std::move(change));
}

Awaitable<void>
CallProxy::TickLoop()
{
  Instant nextCloseIdle = Clock::Now() + kCloseIdleIntervalMs;
  MemoryTrimmer trimmer;
  while (!m_stopped) {
    const bool busy = m_runner.Outstanding() > 0 || m_runner.Notice().m_perSecond;
    const Milliseconds pause = busy ? kBusyTickMs : kTickMs;
    asio::steady_timer timer(m_context, std::chrono::milliseconds(pause));
    co_await timer.async_wait(kAsTuple);
    m_runner.ShedExpired();
    m_bodies.SendGrants();
    m_targetApi.ExpireReport(Clock::Now());
    ApplyCallerLimits();
    m_quotas.Tick();
    trimmer.Review(m_callerServer.Counts().m_closedForMemory, Clock::Now());
    if (routing::NeedsAnnouncement(m_announcedNotice, m_runner.Notice(), Clock::Now())) {
      AnnounceTarget();
    }
    if (m_rolloutCalls) {
      m_rolloutCalls->Tick(m_runner.Target(), m_runner.Outstanding());
    }
    const auto view = m_shared.m_view.load();
    if (Clock::Now() >= nextCloseIdle && view) {
      m_links.CloseIdle(*view);
      routing::ForgetOld(m_noticeMemory, Clock::Now());
      nextCloseIdle = Clock::Now() + kCloseIdleIntervalMs;
    }
  }
}

// Lowest slot count among the known targets of the service; kDefaultSlots if none is known.
std::uint16_t
CallProxy::MinSlotsOfService(const std::string& aService) const
{
  std::uint16_t slots = 0;
  const auto view = m_shared.m_view.load();
  const auto service = view->m_services.find(aService);
  if (service != view->m_services.end()) {
    for (const routing::Candidate& candidate : service->second) {
      slots = slots == 0 ? candidate.m_slots : std::min(slots, candidate.m_slots);
    }
  }
  return slots > 0 ? slots : kDefaultSlots;
}

// If only the node restarted, its target is still running. One health check identifies it before
// its next heartbeat; more are made while a report waits for confirmation.
Awaitable<void>
CallProxy::ProbeTarget()
{
  if (m_probing || m_settings.m_targetAddress.empty()) {
    co_return;
  }
  m_probing = true;
  const std::string path = co_await AwaitHealthPath();
  for (int probes = 0; probes < kMaxProbes && !path.empty() && m_targetApi.NeedsProbe(); ++probes) {
    const bool healthy = co_await ProbeOnce(path);
    if (healthy || !m_targetApi.HoldsReport()) {
      break;
    }
    asio::steady_timer timer(m_context, std::chrono::milliseconds(kProbePauseMs));
    co_await timer.async_wait(kAsTuple);
  }
  m_probing = false;
}

// Returns the path of the target's health check once it is configured; empty if no check is needed
// any more.
Awaitable<std::string>
CallProxy::AwaitHealthPath()
{
  while (m_targetApi.NeedsProbe() && !m_stopped) {
    if (const auto snapshot = m_shared.m_snapshot.load()) {
      const auto& services = snapshot->m_effective->m_services;
      const auto found = services.find(m_settings.m_targetService);
      if (found != services.end() && !found->second.m_healthPath.empty()) {
        co_return found->second.m_healthPath;
      }
    }
    asio::steady_timer timer(m_context, std::chrono::milliseconds(kTickMs));
    co_await timer.async_wait(kAsTuple);
  }
  co_return std::string();
}

// Returns true if the target is healthy and does not leave.
Awaitable<bool>
CallProxy::ProbeOnce(std::string aPath)
{
  net::HttpClientOptions options;
  options.m_endpoint = Handle([&] { return net::ParseAddress(m_settings.m_targetAddress); },
                              [](const Error&) { return net::tcp::endpoint(); });
  net::HttpClient client(m_context, options);
  HttpRequest request(http::verb::get, aPath, 11);
  request.set(http::field::host, m_settings.m_targetAddress);
  const net::HttpResult result = co_await client.Send(std::move(request), kProbeTimeoutMs);
  if (!result.m_response || result.m_response->result() != http::status::ok) {
    LogLine(LogLevel::Info, "target_probe_failed")
      .Add("status", result.m_response ? result.m_response->result_int() : 0)
      .Add("reason", result.m_reason);
    co_return false;
  }
  const std::string id(std::string_view((*result.m_response)[adapter::kTargetId]));
  if (!id.empty()) {
    m_targetApi.HandleProbe({ .m_id = id,
                              .m_service = m_settings.m_targetService,
                              .m_address = m_settings.m_targetAddress,
                              .m_slots = MinSlotsOfService(m_settings.m_targetService) });
    m_runner.RecallNotice({ .m_id = id, .m_notice = adapter::DecodeNotice(*result.m_response) },
                          "health_check");
  }
  co_return true;
}

void
CallProxy::HandleDepartureKept(const distribution::DepartureKept& aKept)
{
  m_targetApi.HandleDepartureKept(aKept.m_request, aKept.m_node);
}

void
CallProxy::HandleOwnEntryRecalled(const distribution::OwnEntryRecalled& aRecalled)
{
  m_targetApi.RecallDepartures(aRecalled.m_departures, aRecalled.m_ofPredecessor);
}

// Limits for callers come from the configuration if it has any, else from the node's settings.
void
CallProxy::ApplyCallerLimits()
{
  const auto snapshot = m_shared.m_snapshot.load();
  if (!snapshot || snapshot->m_version == m_callerLimitsVersion ||
      !snapshot->m_effective->m_callerLimits) {
    return;
  }
  m_callerLimitsVersion = snapshot->m_version;
  const config::CallerLimits& limits = *snapshot->m_effective->m_callerLimits;
  net::HttpLimits httpLimits = LimitsForCallers(m_settings.m_limits);
  httpLimits.m_maxHeaderBytes = static_cast<std::uint32_t>(limits.m_maxHeaderBytes);
  httpLimits.m_maxBodyBytes = limits.m_maxBodyBytes;
  httpLimits.m_idleTimeoutMs = static_cast<std::int64_t>(limits.m_idleTimeoutMs);
  httpLimits.m_headerTimeoutMs = static_cast<std::int64_t>(limits.m_headerTimeoutMs);
  m_callerServer.SetLimits(httpLimits);
}

Awaitable<HttpResponse>
CallProxy::HandleCallerRequest(HttpRequest aRequest)
{
  m_shared.m_calls.m_entered.fetch_add(1, std::memory_order_relaxed);
  if (m_callerRequests >= m_settings.m_limits.m_maxCalls) {
    constexpr std::string_view kTooManyCalls =
      "this node has too many calls in progress; try another node";
    m_shared.m_calls.m_shed.fetch_add(1, std::memory_order_relaxed);
    CountOutcome(CallOutcome::NotRun);
    LogRejectedRequest(aRequest[adapter::kRequestId], kTooManyCalls, 0);
    co_return MakeProblem(http::status::service_unavailable, CallOutcome::NotRun, kTooManyCalls);
  }
  const ScopedCount progress(m_callerRequests);
  HttpResponse response = co_await HandleAdmitted(std::move(aRequest));
  co_return response;
}

// After a pause of the whole process, configuration and membership may be stale. Holds the request
// until the control thread has checked them, for kMaxStaleHoldMs at most.
Awaitable<void>
CallProxy::HoldWhileControlStale()
{
  const Instant start = Clock::Now();
  while (Clock::Now() - start < kMaxStaleHoldMs) {
    const bool fresh = Clock::Now().m_ms - m_shared.m_lastControlTickMs.load() < kControlStaleMs;
    if (fresh && m_shared.m_ready.load()) {
      co_return;
    }
    if (fresh && !m_shared.m_wasReady.load()) {
      co_return; // Still starting: Route() refuses the request at once.
    }
    asio::steady_timer timer(m_context, std::chrono::milliseconds(kHoldPollMs));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

// Holds a call until the configuration version that it needs is installed, for
// m_timings.m_versionHoldMs at most.
Awaitable<void>
CallProxy::HoldForVersion(std::uint64_t aVersion)
{
  const auto current = m_shared.m_snapshot.load();
  if (current && current->m_version >= aVersion) {
    co_return;
  }
  m_shared.m_calls.m_versionHolds.fetch_add(1, std::memory_order_relaxed);
  m_notifyControl(distribution::VersionWanted{ .m_version = aVersion });
  const Instant start = Clock::Now();
  while (Clock::Now() - start < static_cast<Milliseconds>(m_settings.m_timings.m_versionHoldMs)) {
    asio::steady_timer timer(m_context, std::chrono::milliseconds(kHoldPollMs));
    co_await timer.async_wait(asio::use_awaitable);
    const auto snapshot = m_shared.m_snapshot.load();
    if (snapshot && snapshot->m_version >= aVersion) {
      co_return;
    }
  }
  m_shared.m_calls.m_versionHoldsExpired.fetch_add(1, std::memory_order_relaxed);
}

Awaitable<HttpResponse>
CallProxy::HandleAdmitted(HttpRequest aRequest)
{
  if (std::string_view(aRequest.target()).starts_with(kReservedPrefix)) {
    const bool isKeysPath = net::PathOf(aRequest.target()) == kKeysPath;
    if (isKeysPath && aRequest.method() == http::verb::post && m_shared.m_ready.load()) {
      co_return m_keyedCalls.Issue(aRequest);
    }
    co_return MakeProblem(http::status::not_found,
                          CallOutcome::NotRun,
                          "paths under /.sequoiastep/ are reserved and this one is not served now");
  }
  // A configuration that is stale after a pause may still have keys that were removed.
  co_await HoldWhileControlStale();
  if (auto refusal = RefuseUnauthenticated(aRequest)) {
    co_return std::move(*refusal);
  }
  if (aRequest.count(std::string(kIdempotencyKeyHeader)) > 0) {
    HttpResponse response = co_await RouteKeyed(std::move(aRequest));
    co_return response;
  }
  HttpResponse response = co_await Route(std::move(aRequest));
  co_return response;
}

// Authenticates a caller's request. Returns the response if the request must be refused.
std::optional<HttpResponse>
CallProxy::RefuseUnauthenticated(HttpRequest& aRequest)
{
  const auto snapshot = m_shared.m_snapshot.load();
  if (!snapshot) {
    return RefuseNotReady(aRequest); // Without a configuration no key is known.
  }
  const auto refusal = AuthenticateCaller(*snapshot->m_effective, aRequest);
  if (!refusal) {
    return std::nullopt;
  }
  m_shared.m_calls.m_unauthorized.fetch_add(1, std::memory_order_relaxed);
  CountOutcome(CallOutcome::NotRun);
  LogUnauthorized(aRequest[adapter::kRequestId],
                  refusal->m_reason,
                  refusal->m_keyFingerprint,
                  snapshot->m_version);
  return MakeUnauthorized(*refusal);
}

void
CallProxy::CountOutcome(CallOutcome aOutcome)
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
CallProxy::BeginDrain(const routing::DrainPlan& aPlan)
{
  m_drainPlan = aPlan;
  m_callerServer.DrainConnections();
  m_runner.CloseAt(aPlan.m_lastEnd);
  m_links.ShortenCalls(aPlan.m_lastEnd);
}

void
CallProxy::StopAcceptingCalls()
{
  m_runner.StopTakingWork();
}

void
CallProxy::StopAcceptingCallers()
{
  m_callerServer.StopAccepting();
}

void
CallProxy::EndCalls()
{
  m_links.EndWaits();
  const auto localRuns = m_localRuns;
  for (const auto& run : localRuns) {
    run->m_cancel.emit(asio::cancellation_type::terminal);
  }
  EndInboundCalls();
}

StopDebts
CallProxy::Debts() const
{
  StopDebts debts{ .m_callerConnections = m_callerServer.OwedConnections(),
                   .m_callerRequests = m_callerRequests,
                   .m_inboundCalls = m_inboundCalls,
                   .m_targetRequests = m_runner.Outstanding(),
                   .m_targetReports = m_targetServer.OwedConnections() };
  if (debts.IsClear()) {
    debts.m_undeliveredBytes = UndeliveredBytes();
  }
  return debts;
}

void
CallProxy::Stop()
{
  m_stopped = true;
  m_callerServer.CloseAll();
  m_targetServer.CloseAll();
  m_callerKeys.Stop();
  m_links.Stop();
  m_inboundLinks.clear();
}

} // namespace sequoiastep::node
