#include "TopicFollower.h"

#include "ControllerPriv.h"

namespace sequoiastep::distribution {

namespace {

constexpr Milliseconds kMinBackoffMs = 50;
constexpr Milliseconds kMaxBackoffMs = 1000;

} // namespace

Milliseconds
UpdateFollower(TopicFollower& aFollower,
               TopicReadOutcome aOutcome,
               std::uint64_t aNext,
               Random& aRandom)
{
  switch (aOutcome) {
    case TopicReadOutcome::Succeeded:
      // A topic that ends before the follower's offset was created anew: start over.
      aFollower.m_next = aFollower.m_next && aNext < *aFollower.m_next
                           ? std::optional<std::uint64_t>()
                           : std::optional(aNext);
      aFollower.m_backoffMs = 0;
      return 0;
    case TopicReadOutcome::Expired:
      aFollower.m_next.reset();
      break;
    case TopicReadOutcome::Failed:
      break;
  }
  aFollower.m_backoffMs = NextBackoff(aRandom, aFollower.m_backoffMs, kMinBackoffMs, kMaxBackoffMs);
  return aFollower.m_backoffMs;
}

} // namespace sequoiastep::distribution
