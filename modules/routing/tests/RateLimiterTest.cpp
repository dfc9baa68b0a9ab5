#include "RateLimiter.h"
#include "AdmissionQueue.h"
#include "Picker.h"
#include "TargetNotice.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <vector>

using namespace sequoiastep;
using namespace sequoiastep::routing;

namespace {

constexpr Instant kNow{ 1'000'000 };
constexpr Milliseconds kWindowMs = 4000;
constexpr Milliseconds kServiceMs = 100;
constexpr Milliseconds kMicrosecondsPerMs = 1000;
constexpr double kMsPerSecond = 1000;

// One and a half times the limit in 4 s, and 5 requests.
double
Allowed(double aPerSecond)
{
  return aPerSecond * 4 * 1.5 + 5;
}

// The most arrivals in any window of kWindowMs.
std::size_t
MostInWindow(const std::vector<Instant>& aArrivals)
{
  std::size_t most = 0;
  for (auto first = aArrivals.begin(), last = first; last != aArrivals.end(); ++last) {
    while (*last - *first > kWindowMs) {
      ++first;
    }
    most = std::max(most, static_cast<std::size_t>(last - first) + 1);
  }
  return most;
}

// The node beside a target: its queue, the notice in force and when the requests at the target end.
struct FarNode
{
  AdmissionQueue m_queue{ .m_options = { .m_slots = 6, .m_queue = 64, .m_queueMs = 60'000 } };
  NoticeRecord m_notice;
  std::deque<Instant> m_ends;
};

FarNode
MakeFarNode()
{
  FarNode node;
  SetIncarnation(node.m_notice, "a", 1);
  return node;
}

void
UseNotice(FarNode& aNode, Instant aNow)
{
  SetRate(aNode.m_queue.m_rateLimiter, aNode.m_notice.m_stated.m_notice.m_perSecond, aNow);
}

// Sends requests to the target.
void
Dispatch(FarNode& aNode, std::size_t aCount, Instant aNow, std::vector<Instant>& aArrivals)
{
  aArrivals.insert(aArrivals.end(), aCount, aNow);
  aNode.m_ends.insert(aNode.m_ends.end(), aCount, aNow + kServiceMs);
}

struct Load
{
  double m_perSecond = 100;
  double m_limit = 8;
  Milliseconds m_forMs = 20'000;
  /// The node beside the target restarts at these times.
  std::vector<Milliseconds> m_restartsMs;
};

// Plays a load on one target whose limit the calling nodes remember.
// @return when the requests arrive at the target.
std::vector<Instant>
Play(const Load& aLoad)
{
  const StatedNotice remembered{ .m_id = "a",
                                 .m_bornMs = 1,
                                 .m_notice = { .m_perSecond = aLoad.m_limit } };
  std::vector<Instant> arrivals;
  FarNode node = MakeFarNode();
  double due = 0;
  std::uint64_t id = 0;
  for (Milliseconds ms = 0; ms < aLoad.m_forMs; ++ms) {
    const Instant now = kNow + ms;
    const auto& restarts = aLoad.m_restartsMs;
    if (std::find(restarts.begin(), restarts.end(), ms) != restarts.end()) {
      node = MakeFarNode();
    }
    while (!node.m_ends.empty() && node.m_ends.front() <= now) {
      node.m_ends.pop_front();
      ApplyResponse(node.m_notice, remembered.m_notice);
      UseNotice(node, now);
      const QueueDecision next = Finish(node.m_queue, now, kServiceMs * kMicrosecondsPerMs);
      Dispatch(node, next.m_run.size(), now, arrivals);
    }
    Dispatch(node, ProcessQueue(node.m_queue, now).m_run.size(), now, arrivals);
    for (due += aLoad.m_perSecond / kMsPerSecond; due >= 1; due -= 1) {
      if (Recall(node.m_notice, remembered)) {
        UseNotice(node, now);
      }
      const AdmissionRequest request{ .m_id = ++id, .m_deadline = now + 1000, .m_maxWaitMs = 40 };
      const bool runs = Offer(node.m_queue, request, now).m_admission == Admission::Run;
      Dispatch(node, runs ? 1 : 0, now, arrivals);
    }
  }
  return arrivals;
}

} // namespace

TEST_CASE("a target gets no more requests than the limit that it named, and about as many")
{
  for (const double limit : { 0.0, 0.5, 3.5, 8.0, 40.0, 55.0 }) {
    CAPTURE(limit);
    const auto arrivals = Play({ .m_limit = limit });
    CHECK(static_cast<double>(MostInWindow(arrivals)) <= Allowed(limit));
    CHECK(static_cast<double>(arrivals.size()) >= 0.9 * limit * 20);
  }
}

TEST_CASE("the limit adds up across restarts of the node beside the target")
{
  for (const double limit : { 0.5, 3.5, 8.0 }) {
    CAPTURE(limit);
    const auto arrivals =
      Play({ .m_limit = limit, .m_restartsMs = { 6000, 6700, 7400, 8100, 8800 } });
    CHECK(static_cast<double>(MostInWindow(arrivals)) <= Allowed(limit));
  }
}

TEST_CASE("what a limited target can't serve in time is refused at once, with the wait")
{
  AdmissionQueue queue{ .m_options = { .m_slots = 6, .m_queue = 64, .m_queueMs = 60'000 } };
  SetRate(queue.m_rateLimiter, 2.0, kNow);
  const auto offer = [&](std::uint64_t aId, Milliseconds aDeadlineMs) {
    return Offer(queue, { .m_id = aId, .m_deadline = kNow + aDeadlineMs }, kNow);
  };
  CHECK(offer(1, 1200).m_admission == Admission::Run);
  CHECK(offer(2, 1200).m_admission == Admission::Wait);
  CHECK(offer(3, 1200).m_admission == Admission::Wait);
  const AdmissionResult refused = offer(4, 1200);
  CHECK(refused.m_admission == Admission::Shed);
  CHECK(refused.m_rateLimited);
  CHECK(refused.m_waitMs == 1500);
  CHECK(ProcessQueue(queue, kNow + 499).m_run.empty());
  CHECK(ProcessQueue(queue, kNow + 500).m_run == std::vector<std::uint64_t>{ 2 });
  CHECK(ProcessQueue(queue, kNow + 999).m_run.empty());
  CHECK(ProcessQueue(queue, kNow + 1000).m_run == std::vector<std::uint64_t>{ 3 });
}

TEST_CASE("a request that would wait longer than the queue allows is refused at once")
{
  AdmissionQueue queue{ .m_options = { .m_slots = 6, .m_queue = 64, .m_queueMs = 400 } };
  SetRate(queue.m_rateLimiter, 2.0, kNow);
  Offer(queue, { .m_id = 1, .m_deadline = kNow + 5000 }, kNow);
  CHECK(Offer(queue, { .m_id = 2, .m_deadline = kNow + 5000 }, kNow).m_admission ==
        Admission::Shed);
}

TEST_CASE("a request that would be broken off at its deadline is refused at once")
{
  AdmissionQueue queue{ .m_options = { .m_slots = 1, .m_queue = 64, .m_queueMs = 60'000 } };
  const auto offer = [&](std::uint64_t aId, Milliseconds aDeadlineMs) {
    return Offer(
             queue, { .m_id = aId, .m_serviceUs = 100'000, .m_deadline = kNow + aDeadlineMs }, kNow)
      .m_admission;
  };
  SetRate(queue.m_rateLimiter, 2.0, kNow);
  CHECK(offer(1, 1000) == Admission::Run);
  CHECK(offer(2, 590) == Admission::Shed);
  CHECK(offer(3, 610) == Admission::Wait);
}

TEST_CASE("without a limit the rate holds nothing up, and a lower one takes effect at once")
{
  RateLimiter limiter;
  for (int i = 0; i < 1000; ++i) {
    CHECK(TryTake(limiter, kNow));
  }
  SetRate(limiter, 100.0, kNow);
  CHECK(TryTake(limiter, kNow));
  CHECK_FALSE(TryTake(limiter, kNow));
  SetRate(limiter, 1.0, kNow + 1000);
  CHECK(TryTake(limiter, kNow + 1000));
  CHECK_FALSE(TryTake(limiter, kNow + 1999));
  CHECK(TryTake(limiter, kNow + 2000));
  SetRate(limiter, std::nullopt, kNow + 2000);
  CHECK(TryTake(limiter, kNow + 2000));
}

TEST_CASE("a node that never called a limited target sends its load elsewhere")
{
  std::vector<Candidate> candidates{
    { .m_node = "near", .m_region = "east", .m_failureDomain = "east-a", .m_slots = 6 },
    { .m_node = "far", .m_region = "east", .m_failureDomain = "east-b", .m_slots = 6 }
  };
  const PickRequest request{ .m_region = "east", .m_failureDomain = "east-a" };
  Random random{ 3 };
  const auto near = Pick(candidates, {}, request, kNow, random);
  REQUIRE(near);
  CHECK(near->m_index == 0);
  candidates[0].m_perSecond = 0.5;
  const auto far = Pick(candidates, {}, request, kNow, random);
  REQUIRE(far);
  CHECK(far->m_index == 1);
}

TEST_CASE("nodes are told of a limit when it begins, ends or changes by much, and not more often")
{
  AnnouncedNotice announced{ .m_at = kNow };
  CHECK_FALSE(NeedsAnnouncement(announced, {}, kNow + 5000));
  CHECK(NeedsAnnouncement(announced, { .m_perSecond = 8 }, kNow));
  CHECK(NeedsAnnouncement(announced, { .m_leaving = true }, kNow));
  announced.m_notice.m_perSecond = 8;
  CHECK(NeedsAnnouncement(announced, {}, kNow));
  CHECK_FALSE(NeedsAnnouncement(announced, { .m_perSecond = 4 }, kNow + 500));
  CHECK(NeedsAnnouncement(announced, { .m_perSecond = 4 }, kNow + 1000));
  CHECK_FALSE(NeedsAnnouncement(announced, { .m_perSecond = 8.5 }, kNow + 5000));
}
