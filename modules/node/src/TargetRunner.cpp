#include "TargetRunner.h"

#include "Address.h"
#include "Headers.h"
#include "Trace.h"

#include <boost/beast/http/verb.hpp>
#include <chrono>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace http = net::http;
using net::Awaitable;
using net::HttpRequest;
using net::HttpResult;
using net::kAsTuple;
using wire::AnswerT;
using wire::CallOutcome;
using wire::CallT;

namespace {

constexpr std::string_view kOutcomeHeader = "Sequoiastep-Outcome";

HttpRequest
MakeTargetRequest(const CallT& aCall, std::string_view aHost, Milliseconds aLeftMs)
{
  HttpRequest request = RequestFrom(aCall);
  if (request.count(http::field::host) == 0) {
    request.set(http::field::host, aHost);
  }
  request.set("traceparent",
              TraceparentText({ .m_traceHigh = aCall.trace_high,
                                .m_traceLow = aCall.trace_low,
                                .m_parent = aCall.parent_span,
                                .m_sampled = aCall.sampled }));
  request.set("Sequoiastep-Timeout-Ms", std::to_string(aLeftMs));
  request.set("Sequoiastep-Version", std::to_string(aCall.version));
  request.prepare_payload();
  return request;
}

AnswerT
AnswerFrom(HttpResult aResult)
{
  AnswerT answer;
  if (!aResult.m_response) {
    answer.outcome =
      aResult.m_failure == net::HttpFailure::NotSent ? CallOutcome::NotRun : CallOutcome::Unknown;
    answer.reason = fmt::format("the target's connection failed ({})", aResult.m_reason);
    return answer;
  }
  const net::HttpResponse& response = *aResult.m_response;
  // A target that sheds says so; anything else of it is its answer.
  if (response.result() == http::status::service_unavailable &&
      response[std::string(kOutcomeHeader)] == "not_run") {
    answer.outcome = CallOutcome::NotRun;
    answer.overloaded = true;
    answer.reason = "the target shed the request";
    return answer;
  }
  answer.outcome = CallOutcome::Done;
  answer.status = static_cast<std::uint16_t>(response.result_int());
  answer.headers = EndToEndHeaders(response);
  answer.body.assign(response.body().begin(), response.body().end());
  return answer;
}

} // namespace

// A request in the gate's queue; the timer is cancelled when the gate has decided.
struct TargetRunner::Waiting
{
  Waiting(net::asio::io_context& aContext, Milliseconds aMostMs)
    : m_timer(aContext, std::chrono::milliseconds(aMostMs))
  {
  }

  net::asio::steady_timer m_timer;
  bool m_decided = false;
  bool m_runs = false;
};

TargetRunner::TargetRunner(net::asio::io_context& aContext, Shared& aShared)
  : m_context(aContext)
  , m_shared(aShared)
{
}

void
TargetRunner::ApplyServiceLimits(const std::string& aService)
{
  routing::SlotGateOptions options;
  options.m_slots = std::max<std::uint32_t>(1, m_target.m_slots);
  const auto snapshot = m_shared.m_snapshot.load();
  if (snapshot) {
    const auto service = snapshot->m_effective->m_services.find(aService);
    if (service != snapshot->m_effective->m_services.end()) {
      options.m_queue = service->second.m_queue;
      options.m_queueMs = service->second.m_queueMs;
    }
  }
  routing::Resize(m_gate, options);
}

void
TargetRunner::SetTarget(const TargetAnnouncement& aAnnouncement)
{
  if (!m_client || aAnnouncement.m_address != m_target.m_address) {
    net::HttpClientOptions options;
    options.m_endpoint = Handle([&] { return net::ParseAddress(aAnnouncement.m_address); },
                                [](const Error&) { return net::tcp::endpoint(); });
    options.m_maxIdle = aAnnouncement.m_slots;
    m_client = std::make_shared<net::HttpClient>(m_context, options);
  }
  m_target = aAnnouncement;
  m_present = true;
  ApplyServiceLimits(m_target.m_service);
}

void
TargetRunner::LoseTarget()
{
  m_present = false;
}

void
TargetRunner::StopTakingWork()
{
  m_stopping = true;
}

std::uint32_t
TargetRunner::Outstanding() const
{
  return m_gate.m_running + m_gate.m_waiting;
}

AnswerT
TargetRunner::Refuse(std::string_view aReason, bool aOverloaded) const
{
  AnswerT answer;
  answer.outcome = CallOutcome::NotRun;
  answer.reason = aReason;
  answer.overloaded = aOverloaded;
  answer.outstanding = static_cast<std::uint16_t>(Outstanding());
  return answer;
}

void
TargetRunner::Apply(const routing::GateDecision& aDecision)
{
  for (const std::uint64_t id : aDecision.m_run) {
    Waiting& waiting = *m_waiting.at(id);
    waiting.m_decided = true;
    waiting.m_runs = true;
    waiting.m_timer.cancel();
  }
  for (const std::uint64_t id : aDecision.m_shed) {
    Waiting& waiting = *m_waiting.at(id);
    waiting.m_decided = true;
    waiting.m_timer.cancel();
  }
}

void
TargetRunner::Review()
{
  if (m_gate.m_waiting > 0) {
    Apply(routing::Review(m_gate, Clock::Now()));
  }
}

Awaitable<bool>
TargetRunner::Admit(std::uint64_t aId, std::string aCaller, Instant aDeadline)
{
  const Instant now = Clock::Now();
  const routing::Admission admission = routing::Offer(m_gate, aId, aCaller, now, aDeadline);
  if (admission != routing::Admission::Wait) {
    co_return admission == routing::Admission::Run;
  }
  Waiting waiting(m_context, aDeadline - now + 1);
  m_waiting.emplace(aId, &waiting);
  struct Cleanup
  {
    TargetRunner& m_runner;
    Waiting& m_waiting;
    std::uint64_t m_id;
    bool m_taken = false;
    ~Cleanup()
    {
      m_runner.m_waiting.erase(m_id);
      if (!m_waiting.m_decided) {
        routing::Withdraw(m_runner.m_gate, m_id);
      } else if (m_waiting.m_runs && !m_taken) {
        // The slot was granted while the caller left.
        m_runner.Apply(routing::Finish(m_runner.m_gate, Clock::Now(), 0));
      }
    }
  };
  Cleanup cleanup{ .m_runner = *this, .m_waiting = waiting, .m_id = aId };
  co_await waiting.m_timer.async_wait(kAsTuple);
  cleanup.m_taken = waiting.m_runs;
  co_return waiting.m_runs;
}

Awaitable<AnswerT>
TargetRunner::Dispatch(const CallT& aCall, Instant aDeadline)
{
  // Checked again right before the request goes out: a pause may have used up the time.
  const Milliseconds left = aDeadline - Clock::Now();
  if (left <= 0) {
    co_return Refuse("the deadline passed in the queue", false);
  }
  m_shared.m_calls.m_dispatched.fetch_add(1, std::memory_order_relaxed);
  const std::shared_ptr<net::HttpClient> client = m_client;
  HttpResult result =
    co_await client->Send(MakeTargetRequest(aCall, m_target.m_address, left), left);
  co_return AnswerFrom(std::move(result));
}

Awaitable<AnswerT>
TargetRunner::Run(CallT aCall, std::string aCaller)
{
  if (m_stopping || !m_present || m_target.m_draining) {
    co_return Refuse("the target here takes no new work", false);
  }
  if (aCall.service != m_target.m_service) {
    co_return Refuse("the target here is of another service", false);
  }
  ApplyServiceLimits(aCall.service);
  const Instant deadline = Clock::Now() + aCall.timeout_ms;
  const bool admitted = co_await Admit(m_nextId++, std::move(aCaller), deadline);
  if (!admitted) {
    m_shared.m_calls.m_shed.fetch_add(1, std::memory_order_relaxed);
    co_return Refuse("the target is full", true);
  }
  struct Release
  {
    TargetRunner& m_runner;
    std::int64_t m_startUs;
    ~Release()
    {
      const std::int64_t ran = Clock::NowMicroseconds() - m_startUs;
      m_runner.Apply(routing::Finish(m_runner.m_gate, Clock::Now(), ran));
    }
  };
  const Release release{ .m_runner = *this, .m_startUs = Clock::NowMicroseconds() };
  AnswerT answer = co_await Dispatch(aCall, deadline);
  answer.outstanding = static_cast<std::uint16_t>(Outstanding());
  co_return answer;
}

} // namespace sequoiastep::node
