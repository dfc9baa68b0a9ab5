#include "CallReply.h"

#include "ResponseStatus.h"

#include <fmt/core.h>

namespace sequoiastep::node {

using wire::AnswerT;
using wire::CallOutcome;

bool
IsValidAnswer(const AnswerT& aAnswer, bool aForwarded)
{
  const bool holdsResponse = aForwarded || aAnswer.outcome == CallOutcome::Done;
  return !holdsResponse || net::IsFinalResponse(aAnswer.status, aAnswer.body.size());
}

AnswerT
AnswerFrom(CallReply aReply)
{
  AnswerT answer;
  switch (aReply.m_kind) {
    case CallReply::Kind::Answered:
      return std::move(aReply.m_answer);
    case CallReply::Kind::NotSent:
      answer.outcome = CallOutcome::NotRun;
      answer.reason = "the node beside the target can't be reached";
      break;
    case CallReply::Kind::LinkBroken:
      answer.outcome = CallOutcome::Unknown;
      answer.arrived = true;
      answer.reason = "the link to the node beside the target broke after the call was sent";
      break;
    case CallReply::Kind::TimedOut:
      answer.outcome = CallOutcome::Unknown;
      answer.arrived = true;
      answer.timed_out = true;
      answer.reason = "no answer came within the deadline";
      break;
    case CallReply::Kind::BodyNotTaken:
      answer.outcome = CallOutcome::NotRun;
      answer.overloaded = true;
      answer.reason = "the node beside the target did not take the body in time";
      break;
    case CallReply::Kind::InvalidAnswer:
      answer.outcome = CallOutcome::Unknown;
      answer.arrived = true;
      answer.reason = fmt::format(
        "the node beside the target handed on an invalid response (status {}, {} bytes)",
        aReply.m_answer.status,
        aReply.m_answer.body.size());
      break;
  }
  return answer;
}

} // namespace sequoiastep::node
