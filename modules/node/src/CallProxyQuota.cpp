// Quotas of workspaces for requests of callers.
#include "CallLog.h"
#include "CallProxy.h"
#include "Names.h"
#include "Problem.h"

#include <boost/beast/http/field.hpp>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace http = net::http;
using net::Awaitable;
using net::HttpResponse;

namespace {

constexpr double kMillisecondsPerSecond = 1000;

} // namespace

// Takes a token if the workspace of the request has a quota. Returns the response if it is refused.
Awaitable<std::optional<HttpResponse>>
CallProxy::TakeQuotaToken(std::shared_ptr<const config::Snapshot> aSnapshot, CallJob& aJob)
{
  if (!m_quotas.IsEnabled() || aJob.m_call.workspace.empty()) {
    co_return std::nullopt;
  }
  const config::Workspace* workspace =
    config::FindWorkspace(aSnapshot->m_effective->m_workspaces, aJob.m_call.workspace);
  if (workspace == nullptr || !config::HasQuota(*workspace)) {
    co_return std::nullopt;
  }
  QuotaDecision decision = co_await m_quotas.Admit(*workspace);
  if (!decision.m_token) {
    co_return RefuseOverQuota(aJob, decision);
  }
  aJob.m_quotaToken = std::move(decision.m_token);
  co_return std::nullopt;
}

HttpResponse
CallProxy::RefuseOverQuota(const CallJob& aJob, const QuotaDecision& aDecision)
{
  CountOutcome(CallOutcome::NotRun);
  LogRejectedRequest(aJob.m_call.request_id, aDecision.m_reason, aJob.m_call.version);
  HttpResponse response =
    MakeProblem(http::status::too_many_requests,
                CallOutcome::NotRun,
                fmt::format("{}; send the request again after Retry-After", aDecision.m_reason));
  response.set(
    http::field::retry_after,
    fmt::format("{:.3f}", static_cast<double>(aDecision.m_retryAfterMs) / kMillisecondsPerSecond));
  response.set("Sequoiastep-Version", std::to_string(aJob.m_call.version));
  if (!aJob.m_call.request_id.empty()) {
    response.set(adapter::kRequestId, aJob.m_call.request_id);
  }
  return response;
}

// A request that certainly reached no target has not used its token. One that a target turned away
// has, since the quota bounds what reaches targets.
void
CallProxy::ReturnUnusedToken(const CallJob& aJob, const CallAttempts& aAttempts)
{
  const bool reachedNone = aAttempts.m_answer.outcome == CallOutcome::NotRun &&
                           aAttempts.m_progress.m_context.m_arrivals == 0;
  if (aJob.m_quotaToken && reachedNone) {
    m_quotas.Refund(*aJob.m_quotaToken);
  }
}

} // namespace sequoiastep::node
