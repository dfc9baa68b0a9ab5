#include "Problem.h"

#include "HttpServer.h"
#include "NameTable.h"

#include <boost/beast/http/field.hpp>
#include <boost/json.hpp>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace json = boost::json;

namespace {

constexpr std::uint32_t kMinServerErrorStatus = 500;

constexpr std::array<NameRow<CallOutcome>, 4> kOutcomeNames{ {
  { CallOutcome::Done, "done" },
  { CallOutcome::NotRun, "not_run" },
  { CallOutcome::Unknown, "unknown" },
  { CallOutcome::Failed, "failed" },
} };

} // namespace

std::string_view
NameOf(CallOutcome aOutcome)
{
  return NameIn(kOutcomeNames, aOutcome);
}

std::optional<CallOutcome>
ParseOutcome(std::string_view aName)
{
  return ValueIn(kOutcomeNames, aName);
}

bool
IsServerError(const wire::AnswerT& aAnswer)
{
  return aAnswer.outcome == CallOutcome::Done && aAnswer.status >= kMinServerErrorStatus;
}

net::HttpResponse
MakeProblem(net::http::status aStatus, CallOutcome aOutcome, std::string_view aDetail)
{
  const json::object body{
    { "type", "about:blank" },
    { "title", std::string_view(net::http::obsolete_reason(aStatus)) },
    { "status", static_cast<unsigned>(aStatus) },
    { "detail", aDetail },
    { "outcome", NameOf(aOutcome) },
  };
  net::HttpResponse response =
    net::MakeResponse(aStatus, "application/problem+json", json::serialize(body));
  response.set(kOutcomeHeader, NameOf(aOutcome));
  return response;
}

net::HttpResponse
MakeBadRequest(net::http::status aStatus, const std::string& aReason)
{
  if (aStatus == net::http::status::service_unavailable) {
    net::HttpResponse response = MakeProblem(
      aStatus,
      CallOutcome::NotRun,
      "this node holds as many large request bodies as it may; try another node or later");
    response.set(net::http::field::retry_after, "0.5");
    return response;
  }
  return MakeProblem(aStatus,
                     CallOutcome::NotRun,
                     fmt::format("the request can't be read ({}); correct it", aReason));
}

} // namespace sequoiastep::node
