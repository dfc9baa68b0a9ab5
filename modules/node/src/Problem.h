/// @file
/// Error answers to callers: application/problem+json with the outcome of the call.
#pragma once

#include "AsioTypes.h"
#include "Messages_generated.h"

#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep::node {

using wire::CallOutcome;

/// @return the name of aOutcome in answers and logs.
std::string_view
NameOf(CallOutcome aOutcome);

/// @return the outcome named aName, or nothing.
std::optional<CallOutcome>
OutcomeNamed(std::string_view aName);

/// @return true if the target answered with an error of its own.
bool
IsServerError(const wire::AnswerT& aAnswer);

/// @return an error answer.
/// @param aDetail what happened and what the caller may do.
net::HttpResponse
MakeProblem(net::http::status aStatus, CallOutcome aOutcome, std::string_view aDetail);

/// @return the answer to a request that could not be read; it was not run.
net::HttpResponse
MakeBadRequest(net::http::status aStatus, const std::string& aReason);

} // namespace sequoiastep::node
