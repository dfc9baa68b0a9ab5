#include "TopicFollower.h"

#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::distribution;

namespace {

TopicRead
Answer(std::uint64_t aNext, std::uint64_t aEra)
{
  return { .m_outcome = TopicReadOutcome::Succeeded, .m_next = aNext, .m_era = aEra };
}

} // namespace

TEST_CASE("a follower starts over when the log was restored, whatever offsets it has again")
{
  Random random{ 1 };
  for (const std::uint64_t end : { 8U, 10U, 12U }) {
    CAPTURE(end);
    TopicFollower follower;
    CHECK(UpdateFollower(follower, Answer(10, 4), random) == 0);
    CHECK(follower.m_next == 10);
    CHECK(UpdateFollower(follower, Answer(end, 5), random) == 0);
    CHECK_FALSE(follower.m_next);
    UpdateFollower(follower, Answer(end, 5), random);
    CHECK(follower.m_next == end);
    UpdateFollower(follower, Answer(end + 1, 5), random);
    CHECK(follower.m_next == end + 1);
  }
}

TEST_CASE("a follower of a log without eras starts over only if the topic ends before its offset")
{
  Random random{ 1 };
  TopicFollower follower;
  UpdateFollower(follower, Answer(10, 0), random);
  UpdateFollower(follower, Answer(10, 0), random);
  CHECK(follower.m_next == 10);
  UpdateFollower(follower, Answer(9, 0), random);
  CHECK_FALSE(follower.m_next);
}

TEST_CASE("a follower keeps its offset through failed reads, and drops it when records expired")
{
  Random random{ 1 };
  TopicFollower follower;
  UpdateFollower(follower, Answer(10, 4), random);
  CHECK(UpdateFollower(follower, {}, random) > 0);
  CHECK(follower.m_next == 10);
  UpdateFollower(follower, { .m_outcome = TopicReadOutcome::Expired, .m_era = 5 }, random);
  CHECK_FALSE(follower.m_next);
}
