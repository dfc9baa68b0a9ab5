#include "CallsDuty.h"

#include "Address.h"
#include "Headers.h"
#include "Log.h"
#include "Problem.h"
#include "TransitClock.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
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

// Counts one call for as long as it is in progress.
class InProgress
{
public:
  explicit InProgress(std::uint32_t& aCount)
    : m_count(aCount)
  {
    ++m_count;
  }
  ~InProgress() { --m_count; }
  InProgress(const InProgress&) = delete;
  InProgress& operator=(const InProgress&) = delete;

private:
  std::uint32_t& m_count;
};

} // namespace

struct CallJob
{
  CallT m_call;
  std::string m_cluster;
  bool m_crossRegion = true;
  config::Repeat m_repeat = config::Repeat::Never;
  Instant m_deadline;
};

// A link by which another node sends calls here.
struct CallsDuty::Inbound
{
  std::string m_node;
  bool m_foreign = false;
  std::unique_ptr<net::FrameConnection> m_connection;
  routing::TransitClock m_transit;
  std::map<std::uint64_t, std::shared_ptr<asio::cancellation_signal>> m_calls;
};

CallsDuty::CallsDuty(asio::io_context& aContext,
                     const Settings& aSettings,
                     Identity aIdentity,
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
    if (fresh && !m_shared.m_snapshot.load()) {
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
  const config::Cluster& cluster = effective.m_clusters.find(route->m_cluster)->second;
  const std::uint64_t asked =
    NumberHeader(aRequest, "Sequoiastep-Timeout-Ms").value_or(route->m_timeoutMs);
  const std::uint64_t timeoutMs = std::min<std::uint64_t>(asked, route->m_timeoutMs);
  const TraceContext trace = ParseTraceparent(aRequest["traceparent"])
                               .value_or(StartTrace(m_random, m_settings.m_traceSample));
  CallJob job;
  job.m_cluster = cluster.m_name;
  job.m_crossRegion = cluster.m_crossRegion;
  job.m_repeat = route->m_repeat;
  job.m_deadline = Clock::Now() + static_cast<Milliseconds>(timeoutMs);
  job.m_call.service = cluster.m_service;
  job.m_call.method = aRequest.method_string();
  job.m_call.target = aRequest.target();
  job.m_call.headers = EndToEndHeaders(aRequest);
  job.m_call.body.assign(aRequest.body().begin(), aRequest.body().end());
  job.m_call.version = snapshot->m_version;
  job.m_call.trace_high = trace.m_traceHigh;
  job.m_call.trace_low = trace.m_traceLow;
  job.m_call.parent_span = trace.m_parent;
  job.m_call.sampled = trace.m_sampled;
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

Awaitable<HttpResponse>
CallsDuty::RunJob(CallJob aJob)
{
  const Span span({ .m_traceHigh = aJob.m_call.trace_high,
                    .m_traceLow = aJob.m_call.trace_low,
                    .m_parent = aJob.m_call.parent_span,
                    .m_sampled = aJob.m_call.sampled },
                  "route",
                  m_random);
  aJob.m_call.parent_span = span.Context().m_parent;
  routing::RetryBudget& budget = m_budgets[aJob.m_call.service];
  routing::EarnRetry(budget);
  std::set<std::string, std::less<>> tried;
  AnswerT answer;
  answer.outcome = CallOutcome::NotRun;
  answer.reason = "the service has no target now";
  std::string lastNode;
  for (std::uint32_t attempts = 1;; ++attempts) {
    const auto view = m_shared.m_view.load();
    const auto service = view->m_services.find(aJob.m_call.service);
    if (service == view->m_services.end()) {
      break;
    }
    const auto picked = routing::Pick(service->second,
                                      m_picks,
                                      { .m_region = m_identity.m_region,
                                        .m_failureDomain = m_identity.m_failureDomain,
                                        .m_crossRegion = aJob.m_crossRegion,
                                        .m_tried = &tried },
                                      Clock::Now(),
                                      m_random);
    if (!picked) {
      break;
    }
    const routing::Candidate& target = service->second[*picked];
    lastNode = target.m_node;
    tried.insert(target.m_node);
    const std::int64_t startUs = Clock::NowMicroseconds();
    routing::NoteDispatch(m_picks, target.m_node);
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
    Abandon abandon{ .m_picks = m_picks, .m_node = lastNode };
    answer = co_await Attempt(aJob, target);
    abandon.m_judged = true;
    const AttemptOutcome outcome = Judge(answer, target.m_node, Clock::NowMicroseconds() - startUs);
    const bool again = routing::MayRetry(budget,
                                         { .m_outcome = outcome,
                                           .m_repeat = aJob.m_repeat,
                                           .m_attempts = attempts,
                                           .m_leftMs = aJob.m_deadline - Clock::Now() });
    if (!again) {
      break;
    }
    m_shared.m_calls.m_retries.fetch_add(1, std::memory_order_relaxed);
  }
  const std::int64_t elapsed = span.ElapsedUs();
  m_latency(static_cast<double>(elapsed));
  ++m_latencyCount;
  m_latencySumUs += static_cast<double>(elapsed);
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
CallsDuty::TakeCallSocket(int aDescriptor, const wire::HelloT& aHello)
{
  net::error_code error;
  net::tcp::socket socket(m_context);
  socket.assign(net::tcp::v4(), aDescriptor, error);
  if (error) {
    return;
  }
  auto inbound = std::make_shared<Inbound>();
  inbound->m_node = aHello.node;
  inbound->m_foreign = aHello.region != m_identity.m_region;
  inbound->m_connection = std::make_unique<net::FrameConnection>(std::move(socket));
  routing::NoteTransit(inbound->m_transit, aHello.sent_ms, Clock::Now());
  m_inbound.insert(inbound);
  inbound->m_connection->Send(wire::EncodeFrame(MakeHello(m_identity, wire::Purpose::Calls)));
  inbound->m_connection->Start(
    [this, weak = std::weak_ptr<Inbound>(inbound)](wire::EnvelopeT aMessage) {
      if (const InboundPtr strong = weak.lock()) {
        Receive(strong, std::move(aMessage));
      }
    },
    [this, weak = std::weak_ptr<Inbound>(inbound)](const std::string&) {
      if (const InboundPtr strong = weak.lock()) {
        // Nobody can get the answers any more: what still waits need not run.
        for (const auto& [id, signal] : strong->m_calls) {
          signal->emit(asio::cancellation_type::terminal);
        }
        m_inbound.erase(strong);
      }
    });
}

void
CallsDuty::Receive(const InboundPtr& aInbound, wire::EnvelopeT aMessage)
{
  if (aMessage.body.type == wire::Body::Cancel) {
    const auto found = aInbound->m_calls.find(aMessage.body.AsCancel()->id);
    if (found != aInbound->m_calls.end()) {
      m_shared.m_calls.m_cancelled.fetch_add(1, std::memory_order_relaxed);
      const auto signal = found->second;
      signal->emit(asio::cancellation_type::terminal);
    }
    return;
  }
  if (aMessage.body.type != wire::Body::Call) {
    return;
  }
  CallT call = std::move(*aMessage.body.AsCall());
  // What the call waited in buffers, as while this process was paused, is time of its deadline.
  const Milliseconds age = routing::NoteTransit(aInbound->m_transit, call.sent_ms, Clock::Now());
  call.timeout_ms -= static_cast<std::uint32_t>(std::min<Milliseconds>(age, call.timeout_ms));
  auto signal = std::make_shared<asio::cancellation_signal>();
  aInbound->m_calls[call.id] = signal;
  asio::co_spawn(
    m_context,
    Serve(aInbound, std::move(call)),
    asio::bind_cancellation_slot(signal->slot(), [signal](const std::exception_ptr&) {}));
}

Awaitable<void>
CallsDuty::Serve(InboundPtr aInbound, CallT aCall)
{
  const InProgress progress(m_serving);
  const std::uint64_t id = aCall.id;
  struct Forget
  {
    Inbound& m_inbound;
    std::uint64_t m_id;
    ~Forget() { m_inbound.m_calls.erase(m_id); }
  };
  const Forget forget{ .m_inbound = *aInbound, .m_id = id };
  const Span span({ .m_traceHigh = aCall.trace_high,
                    .m_traceLow = aCall.trace_low,
                    .m_parent = aCall.parent_span,
                    .m_sampled = aCall.sampled },
                  "serve",
                  m_random);
  aCall.parent_span = span.Context().m_parent;
  AnswerT answer;
  if (aCall.forwarded) {
    answer = co_await AnswerForwarded(std::move(aCall));
  } else {
    co_await HoldForVersion(aCall.version);
    answer = co_await m_runner.Run(std::move(aCall), aInbound->m_node);
  }
  answer.id = id;
  span.End(NameOf(answer.outcome), "target");
  aInbound->m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(answer))));
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
