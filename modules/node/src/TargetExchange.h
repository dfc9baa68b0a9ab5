/// @file
/// The HTTP request that a call becomes at its target, and the answer that the response becomes.
#pragma once

#include "Clock.h"
#include "HttpClient.h"
#include "Messages_generated.h"
#include "TargetRecord.h"

namespace sequoiastep::node {

/// @param aLeftMs time that the target has for the request, in milliseconds.
/// @return the request to send to the target.
net::HttpRequest
MakeTargetRequest(const wire::CallT& aCall,
                  const routing::TargetReport& aTarget,
                  Milliseconds aLeftMs);

/// @return the answer to a call whose request ended with aResult; it says whether the call may have
/// run.
wire::AnswerT
AnswerFrom(net::HttpResult aResult);

} // namespace sequoiastep::node
