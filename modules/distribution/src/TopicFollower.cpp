#include "TopicFollower.h"

#include "ControllerPriv.h"

namespace sequoiastep::distribution {

namespace {

constexpr Milliseconds kBackoffLeastMs = 50;
constexpr Milliseconds kBackoffMostMs = 1000;

} // namespace

Milliseconds
NoteFollowed(TopicFollower& aFollower, FollowOutcome aOutcome, std::uint64_t aNext, Random& aRandom)
{
  switch (aOutcome) {
    case FollowOutcome::Read:
      // A topic that ends before this node's place was made anew.
      aFollower.m_next = aFollower.m_next && aNext < *aFollower.m_next
                           ? std::optional<std::uint64_t>()
                           : std::optional(aNext);
      aFollower.m_delayMs = 0;
      return 0;
    case FollowOutcome::Gone:
      aFollower.m_next.reset();
      break;
    case FollowOutcome::Failed:
      break;
  }
  aFollower.m_delayMs = NextBackoff(aRandom, aFollower.m_delayMs, kBackoffLeastMs, kBackoffMostMs);
  return aFollower.m_delayMs;
}

} // namespace sequoiastep::distribution
