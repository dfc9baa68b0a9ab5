#include "CallsDuty.h"

#include "Address.h"
#include "CallsDutyPriv.h"
#include "Headers.h"
#include "Log.h"
#include "Problem.h"

#include <boost/beast/http/field.hpp>
#include <charconv>
#include <chrono>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace accumulators = boost::accumulators;
namespace asio = net::asio;
namespace http = net::http;
using net::Awaitable;
using net::HttpRequest;
using net::HttpResponse;
using net::kAsTuple;
using routing::AttemptOutcome;
using wire::AnswerT;
using wire::CallOutcome;
using wire::CallT;

namespace {

constexpr Milliseconds kTickMs = 10;
constexpr Milliseconds kHoldStepMs = 5;
constexpr Milliseconds kStaleControlMs = 1500;
constexpr Milliseconds kMostStaleHoldMs = 3000;
// The node beside the target keeps the deadline itself; its answer is truer than a timeout here.
constexpr Milliseconds kAnswerGraceMs = 30;
constexpr std::uint32_t kCloseIdleTicks = 1000;
constexpr std::string_view kReservedPrefix = "/.sequoiastep/";
constexpr std::string_view kKeysPath = "/.sequoiastep/v1/keys";

std::optional<std::uint64_t>
NumberHeader(const HttpRequest& aRequest, std::string_view aName)
{
  const std::string_view text = aRequest[std::string(aName)];
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

} // namespace

struct CallJob
{
  CallT m_call;
  bool m_crossRegion = true;
  config::Repeat m_repeat = config::Repeat::Never;
  Instant m_deadline;
};

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
  , m_runner(aContext, aShared)
  , m_targetApi([this](const std::optional<TargetAnnouncement>& aTarget) {
    distribution::TargetChanged change;
    if (aTarget) {
      m_runner.SetTarget(*aTarget);
      change = { .m_service = aTarget->m_service,
                 .m_slots = aTarget->m_slots,
                 .m_warmUpMs = aTarget->m_warmUpMs,
                 .m_draining = aTarget->m_draining };
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
              .m_maxAnswerBytes = aSettings.m_limits.m_rememberedAnswerBytes },
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
  , m_latency(accumulators::extended_p_square_probabilities = kLatencyQuantiles)
{
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
    .Add("node", m_settings.m_node)
    .Add("role", "caller")
    .Add("address", net::AddressText(callerEndpoint));
  LogLine(LogLevel::Info, "listening")
    .Add("node", m_settings.m_node)
    .Add("role", "target")
    .Add("address", net::AddressText(targetEndpoint));
  asio::co_spawn(m_context, TickLoop(), asio::detached);
  return {};
}

Awaitable<void>
CallsDuty::TickLoop()
{
  std::uint32_t ticks = 0;
  while (!m_stopped) {
    asio::steady_timer timer(m_context, std::chrono::milliseconds(kTickMs));
    co_await timer.async_wait(kAsTuple);
    m_runner.Review();
    m_targetApi.Review(Clock::Now());
    const auto view = m_shared.m_view.load();
    if (++ticks % kCloseIdleTicks == 0 && view) {
      m_links.CloseIdle(*view);
    }
  }
}

Awaitable<HttpResponse>
CallsDuty::HandleCaller(HttpRequest aRequest)
{
  m_shared.m_calls.m_entered.fetch_add(1, std::memory_order_relaxed);
  if (m_active >= m_settings.m_limits.m_maxCalls) {
    m_shared.m_calls.m_shed.fetch_add(1, std::memory_order_relaxed);
    CountOutcome(CallOutcome::NotRun);
    co_return MakeProblem(http::status::service_unavailable,
                          CallOutcome::NotRun,
                          "this node has too many calls in progress; try another node");
  }
  const InProgress progress(m_active);
  HttpResponse response = co_await Enter(std::move(aRequest));
  if (m_draining) {
    response.keep_alive(false);
  }
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

CallJob
CallsDuty::MakeJob(const HttpRequest& aRequest,
                   const config::Snapshot& aSnapshot,
                   const config::Route& aRoute)
{
  const config::Cluster& cluster = aSnapshot.m_effective->m_clusters.find(aRoute.m_cluster)->second;
  const std::uint64_t asked =
    NumberHeader(aRequest, "Sequoiastep-Timeout-Ms").value_or(aRoute.m_timeoutMs);
  const std::uint64_t timeoutMs = std::min<std::uint64_t>(asked, aRoute.m_timeoutMs);
  const TraceContext trace = ParseTraceparent(aRequest["traceparent"])
                               .value_or(StartTrace(m_random, m_settings.m_traceSample));
  CallJob job;
  job.m_crossRegion = cluster.m_crossRegion;
  job.m_repeat = aRoute.m_repeat;
  job.m_deadline = Clock::Now() + static_cast<Milliseconds>(timeoutMs);
  job.m_call.service = cluster.m_service;
  job.m_call.method = aRequest.method_string();
  job.m_call.target = aRequest.target();
  job.m_call.headers = EndToEndHeaders(aRequest);
  job.m_call.body.assign(aRequest.body().begin(), aRequest.body().end());
  job.m_call.version = aSnapshot.m_version;
  job.m_call.trace_high = trace.m_traceHigh;
  job.m_call.trace_low = trace.m_traceLow;
  job.m_call.parent_span = trace.m_parent;
  job.m_call.sampled = trace.m_sampled;
  return job;
}

Awaitable<HttpResponse>
CallsDuty::Route(HttpRequest aRequest)
{
  co_await HoldWhileStale();
  if (!m_shared.m_ready.load()) {
    CountOutcome(CallOutcome::NotRun);
    co_return MakeProblem(http::status::service_unavailable,
                          CallOutcome::NotRun,
                          "this node is not ready yet; try another node or later");
  }
  if (const auto wanted = NumberHeader(aRequest, "Sequoiastep-Version")) {
    co_await HoldForVersion(*wanted);
  }
  // One snapshot from here to the end of the call.
  const std::shared_ptr<const config::Snapshot> snapshot = m_shared.m_snapshot.load();
  const config::Effective& effective = *snapshot->m_effective;
  const config::Route* route =
    config::FindRoute(effective, aRequest.method_string(), net::PathOf(aRequest.target()));
  if (route == nullptr) {
    CountOutcome(CallOutcome::NotRun);
    co_return MakeProblem(
      http::status::not_found,
      CallOutcome::NotRun,
      fmt::format("version {} has no route for this path and method", snapshot->m_version));
  }
  CallJob job = MakeJob(aRequest, *snapshot, *route);
  HttpResponse response = co_await RunJob(std::move(job));
  response.set("Sequoiastep-Version", std::to_string(snapshot->m_version));
  co_return response;
}

Awaitable<AnswerT>
CallsDuty::Attempt(const CallJob& aJob, const routing::Candidate& aTarget)
{
  CallT call = aJob.m_call;
  const Milliseconds left = std::max<Milliseconds>(1, aJob.m_deadline - Clock::Now());
  call.timeout_ms = static_cast<std::uint32_t>(left);
  if (aTarget.m_node == m_identity.m_node) {
    co_return co_await m_runner.Run(std::move(call), m_identity.m_node);
  }
  const bool foreign = aTarget.m_region != m_identity.m_region;
  const std::size_t sentBytes = call.body.size();
  CallReply reply = co_await m_links.Call(
    aTarget.m_node, aTarget.m_address, std::move(call), left + kAnswerGraceMs);
  if (foreign) {
    m_shared.m_calls.m_crossRegionBytes.fetch_add(sentBytes + reply.m_answer.body.size());
  }
  AnswerT answer;
  switch (reply.m_kind) {
    case CallReply::Kind::Answered:
      co_return std::move(reply.m_answer);
    case CallReply::Kind::NotSent:
      answer.outcome = CallOutcome::NotRun;
      answer.reason = "the node beside the target can't be reached";
      break;
    case CallReply::Kind::LinkBroken:
      answer.outcome = CallOutcome::Unknown;
      answer.reason = "the link to the node beside the target broke after the call was sent";
      break;
    case CallReply::Kind::TimedOut:
      answer.outcome = CallOutcome::Unknown;
      answer.reason = "no answer came within the deadline";
      break;
  }
  co_return answer;
}

AttemptOutcome
CallsDuty::Judge(const AnswerT& aAnswer, const std::string& aNode, std::int64_t aElapsedUs)
{
  const Instant now = Clock::Now();
  if (aAnswer.outcome == CallOutcome::Done) {
    routing::NoteAnswer(m_picks, aNode, aElapsedUs, aAnswer.outstanding, now);
    return AttemptOutcome::Done;
  }
  if (aAnswer.overloaded) {
    routing::NoteOverload(m_picks, aNode, aAnswer.outstanding, now);
    return AttemptOutcome::Overloaded;
  }
  routing::NoteFailure(m_picks, aNode, now, m_random);
  return aAnswer.outcome == CallOutcome::NotRun ? AttemptOutcome::NotRun : AttemptOutcome::Unknown;
}

std::optional<routing::Candidate>
CallsDuty::PickTarget(const CallJob& aJob, const std::set<std::string, std::less<>>& aTried)
{
  const auto view = m_shared.m_view.load();
  const auto service = view->m_services.find(aJob.m_call.service);
  if (service == view->m_services.end()) {
    return std::nullopt;
  }
  const auto picked = routing::Pick(service->second,
                                    m_picks,
                                    { .m_region = m_identity.m_region,
                                      .m_failureDomain = m_identity.m_failureDomain,
                                      .m_crossRegion = aJob.m_crossRegion,
                                      .m_tried = &aTried },
                                    Clock::Now(),
                                    m_random);
  return picked ? std::optional(service->second[*picked]) : std::nullopt;
}

// One attempt, with what it shows of the target noted however it ends.
Awaitable<AttemptOutcome>
CallsDuty::TryTarget(const CallJob& aJob, const routing::Candidate& aTarget, AnswerT& aAnswer)
{
  struct Abandon
  {
    routing::PickState& m_picks;
    const std::string& m_node;
    bool m_judged = false;
    ~Abandon()
    {
      if (!m_judged) {
        routing::NoteAbandoned(m_picks, m_node);
      }
    }
  };
  const std::int64_t startUs = Clock::NowMicroseconds();
  routing::NoteDispatch(m_picks, aTarget.m_node);
  Abandon abandon{ .m_picks = m_picks, .m_node = aTarget.m_node };
  aAnswer = co_await Attempt(aJob, aTarget);
  abandon.m_judged = true;
  co_return Judge(aAnswer, aTarget.m_node, Clock::NowMicroseconds() - startUs);
}

void
CallsDuty::NoteLatency(std::int64_t aElapsedUs)
{
  m_latency(static_cast<double>(aElapsedUs));
  ++m_latencyCount;
  m_latencySumUs += static_cast<double>(aElapsedUs);
}

Awaitable<HttpResponse>
CallsDuty::RunJob(CallJob aJob)
{
  const Span span(TraceOf(aJob.m_call), "route", m_random);
  aJob.m_call.parent_span = span.Context().m_parent;
  routing::RetryBudget& budget = m_budgets[aJob.m_call.service];
  routing::EarnRetry(budget);
  std::set<std::string, std::less<>> tried;
  AnswerT answer;
  answer.outcome = CallOutcome::NotRun;
  answer.reason = "the service has no target now";
  std::string lastNode;
  routing::RetryQuestion question{ .m_repeat = aJob.m_repeat, .m_attempts = 0 };
  do {
    const auto target = PickTarget(aJob, tried);
    if (!target) {
      break;
    }
    if (question.m_attempts > 0) {
      m_shared.m_calls.m_retries.fetch_add(1, std::memory_order_relaxed);
    }
    lastNode = target->m_node;
    tried.insert(lastNode);
    ++question.m_attempts;
    question.m_outcome = co_await TryTarget(aJob, *target, answer);
    question.m_leftMs = aJob.m_deadline - Clock::Now();
  } while (routing::MayRetry(budget, question));
  NoteLatency(span.ElapsedUs());
  span.End(NameOf(answer.outcome), lastNode);
  co_return Respond(answer);
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

HttpResponse
CallsDuty::Respond(const AnswerT& aAnswer)
{
  CountOutcome(aAnswer.outcome);
  if (aAnswer.outcome != CallOutcome::Done) {
    const bool notRun = aAnswer.outcome == CallOutcome::NotRun;
    const auto status = notRun ? http::status::service_unavailable : http::status::gateway_timeout;
    const std::string detail =
      aAnswer.reason + (notRun ? "; it is safe to send the request again"
                               : "; it may have been run, ask the service before sending it again");
    return MakeProblem(status, aAnswer.outcome, detail);
  }
  return ResponseFrom(aAnswer);
}

void
CallsDuty::BeginDrain()
{
  m_draining = true;
}

void
CallsDuty::StopTakingWork()
{
  m_runner.StopTakingWork();
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
