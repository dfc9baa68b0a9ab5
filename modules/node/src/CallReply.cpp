#include "CallReply.h"

#include "ResponseStatus.h"

#include <fmt/core.h>
#include <string>
#include <utility>

namespace sequoiastep::node {

using wire::AnswerT;
using wire::CallOutcome;

namespace {

AnswerT
MakeNotRun(std::string aReason)
{
  AnswerT answer;
  answer.outcome = CallOutcome::NotRun;
  answer.reason = std::move(aReason);
  return answer;
}

// The request may have reached the target.
AnswerT
MakeUnknown(std::string aReason)
{
  AnswerT answer;
  answer.outcome = CallOutcome::Unknown;
  answer.arrived = true;
  answer.reason = std::move(aReason);
  return answer;
}

} // namespace

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
      return MakeNotRun("the node beside the target can't be reached");
    case CallReply::Kind::LinkBroken:
      return MakeUnknown("the link to the node beside the target broke after the call was sent");
    case CallReply::Kind::TimedOut:
      answer = MakeUnknown("no answer came within the deadline");
      answer.timed_out = true;
      break;
    case CallReply::Kind::BodyNotTaken:
      answer = MakeNotRun("the node beside the target did not take the body in time");
      answer.overloaded = true;
      break;
    case CallReply::Kind::InvalidAnswer:
      answer = MakeUnknown(fmt::format(
        "the node beside the target handed on an invalid response (status {}, {} bytes)",
        aReply.m_answer.status,
        aReply.m_answer.body.size()));
      break;
  }
  return answer;
}

} // namespace sequoiastep::node
