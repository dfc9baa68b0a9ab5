/// @file
/// How a call to another node ended, and the answer that follows from it.
#pragma once

#include "Messages_generated.h"

namespace sequoiastep::node {

/// Result of a call to another node.
struct CallReply
{
  enum class Kind
  {
    /// m_answer holds the answer.
    Answered,
    /// The node could not be reached or gave no sign of life: nothing of the call was sent.
    NotSent,
    /// The link was closed, or the peer fell silent, after the call was sent.
    LinkBroken,
    /// No answer came in time.
    TimedOut,
    /// The node did not take the whole body in time, so that the request can't run there.
    BodyNotTaken,
    /// m_answer holds an answer that fails IsValidAnswer(). The request may have run.
    InvalidAnswer,
  };

  Kind m_kind = Kind::NotSent;
  wire::AnswerT m_answer;
};

/// Checks an answer of another node, which may run an older version that hands on more.
/// @param aForwarded the call was a request that was forwarded as it came: its answer holds the
/// response to the caller whatever the outcome.
/// @return true if the response in aAnswer can be given to a caller, or aAnswer holds none.
bool
IsValidAnswer(const wire::AnswerT& aAnswer, bool aForwarded);

/// @return the answer of another node, or one that says why there is none and whether the request
/// may have run.
wire::AnswerT
AnswerFrom(CallReply aReply);

} // namespace sequoiastep::node
