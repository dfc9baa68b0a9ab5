#include "TopicFollower.h"

#include "ControllerPriv.h"

namespace sequoiastep::distribution {

namespace {

constexpr Milliseconds kMinBackoffMs = 50;
constexpr Milliseconds kMaxBackoffMs = 1000;

// True if the follower's position means nothing in the topic that answered: the topic ends before
// it, or the log was restored since.
bool
MustStartOver(const TopicFollower& aFollower, const TopicRead& aRead)
{
  return aFollower.m_next && (aRead.m_next < *aFollower.m_next || aRead.m_era != aFollower.m_era);
}

} // namespace

Milliseconds
UpdateFollower(TopicFollower& aFollower, const TopicRead& aRead, Random& aRandom)
{
  switch (aRead.m_outcome) {
    case TopicReadOutcome::Succeeded:
      aFollower.m_next = MustStartOver(aFollower, aRead) ? std::optional<std::uint64_t>()
                                                         : std::optional(aRead.m_next);
      aFollower.m_era = aRead.m_era;
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
