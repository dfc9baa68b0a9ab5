#include "TargetExchange.h"

#include "Headers.h"
#include "Names.h"
#include "Problem.h"
#include "TargetAnswer.h"
#include "Trace.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace http = net::http;
using net::HttpRequest;
using net::HttpResult;
using wire::AnswerT;
using wire::CallOutcome;
using wire::CallT;

namespace {

// Returns true if the response says that the target did not execute the request. Any other response
// is the target's answer.
bool
WasNotExecuted(const net::HttpResponse& aResponse)
{
  const bool markedNotRun = aResponse.result() == http::status::service_unavailable &&
                            aResponse[kOutcomeHeader] == "not_run";
  return markedNotRun || aResponse.count(adapter::kNotRun) > 0 ||
         (aResponse.result() == http::status::misdirected_request &&
          aResponse.count(adapter::kTargetSignature) == 0);
}

} // namespace

HttpRequest
MakeTargetRequest(const CallT& aCall, const routing::TargetReport& aTarget, Milliseconds aLeftMs)
{
  HttpRequest request = RequestFrom(aCall);
  if (request.count(http::field::host) == 0) {
    request.set(http::field::host, aTarget.m_address);
  }
  if (!aTarget.m_id.empty()) {
    request.set(adapter::kExpectedTarget, aTarget.m_id);
  }
  if (!aCall.caller_service.empty()) {
    request.set(adapter::kCallerService, aCall.caller_service);
  }
  if (!aCall.workspace.empty()) {
    request.set(adapter::kWorkspace, aCall.workspace);
  }
  request.set(adapter::kDeadlineMs, std::to_string(aLeftMs));
  request.set("traceparent",
              FormatTraceparent({ .m_traceHigh = aCall.trace_high,
                                  .m_traceLow = aCall.trace_low,
                                  .m_parentSpan = aCall.parent_span,
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
  answer.arrived = true;
  if (!aResult.m_response) {
    answer.arrived = aResult.m_failure != net::HttpFailure::NotSent &&
                     aResult.m_failure != net::HttpFailure::Cancelled;
    answer.outcome = answer.arrived ? CallOutcome::Unknown : CallOutcome::NotRun;
    answer.timed_out = aResult.m_failure == net::HttpFailure::TimedOut;
    answer.reason = fmt::format("the target's connection failed ({}{})",
                                aResult.m_reason,
                                aResult.m_reused ? ", reused" : "");
    return answer;
  }
  const net::HttpResponse& response = *aResult.m_response;
  if (WasNotExecuted(response)) {
    answer.outcome = CallOutcome::NotRun;
    answer.overloaded = response.result() != http::status::misdirected_request;
    answer.reason = fmt::format("the target turned the request away ({})", response.result_int());
    return answer;
  }
  answer.outcome = CallOutcome::Done;
  answer.status = static_cast<std::uint16_t>(response.result_int());
  answer.headers = EndToEndHeaders(response);
  answer.body.assign(response.body().begin(), response.body().end());
  return answer;
}

} // namespace sequoiastep::node
