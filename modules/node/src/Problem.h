/// @file
/// Error responses to callers: application/problem+json (RFC 9457) with the outcome of the call.
#pragma once

#include "AsioTypes.h"
#include "Messages_generated.h"

#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep::node {

using wire::CallOutcome;

/// Header of responses to callers that names the outcome of the call; absent if a target answered.
constexpr std::string_view kOutcomeHeader = "Sequoiastep-Outcome";

/// @return the name of aOutcome in responses, logs and metrics.
std::string_view
NameOf(CallOutcome aOutcome);

/// @return the outcome named aName, or nothing.
std::optional<CallOutcome>
ParseOutcome(std::string_view aName);

/// @return true if the target ran the call and answered with a status of 500 or above.
bool
IsServerError(const wire::AnswerT& aAnswer);

/// @return an error response.
/// @param aDetail what happened and what the caller can do.
net::HttpResponse
MakeProblem(net::http::status aStatus, CallOutcome aOutcome, std::string_view aDetail);

/// @return the response to a request that could not be read. The request was not run.
net::HttpResponse
MakeBadRequest(net::http::status aStatus, const std::string& aReason);

} // namespace sequoiastep::node
