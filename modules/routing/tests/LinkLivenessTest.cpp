#include "LinkLiveness.h"

#include <doctest/doctest.h>

namespace sequoiastep::routing {

namespace {

constexpr Instant kNow{ 10'000 };

TEST_CASE("a link that receives data needs no probe and is never given up")
{
  LinkLiveness liveness;
  for (Milliseconds at = 0; at < 5000; at += 100) {
    RecordReceived(liveness, kNow + at);
    CHECK(IsFresh(liveness, kNow + at + 90));
    CHECK_FALSE(NeedsProbe(liveness, kNow + at + 90));
    CHECK_FALSE(IsSilent(liveness, kNow + at + 90));
  }
}

TEST_CASE("a silent link is probed once, then suspect, then given up")
{
  LinkLiveness liveness;
  RecordReceived(liveness, kNow);
  const Instant idle = kNow + kLinkFreshMs;
  CHECK(NeedsProbe(liveness, idle));
  RecordProbe(liveness, idle);
  CHECK_FALSE(NeedsProbe(liveness, idle + 50));
  RecordProbe(liveness, idle + 100);
  CHECK_FALSE(IsSuspect(liveness, idle + (kLinkSuspectMs - 1)));
  CHECK(IsSuspect(liveness, idle + kLinkSuspectMs));
  CHECK_FALSE(IsSilent(liveness, idle + (kLinkSilentMs - 1)));
  CHECK(IsSilent(liveness, idle + kLinkSilentMs));
}

TEST_CASE("an idle link without a probe in flight is not silent")
{
  LinkLiveness liveness;
  RecordReceived(liveness, kNow);
  CHECK_FALSE(IsSilent(liveness, kNow + 60'000));
  CHECK_FALSE(IsSuspect(liveness, kNow + 60'000));
}

TEST_CASE("received data answers the probe")
{
  LinkLiveness liveness;
  RecordProbe(liveness, kNow);
  RecordReceived(liveness, kNow + 300);
  CHECK(IsFresh(liveness, kNow + 301));
  CHECK_FALSE(IsSuspect(liveness, kNow + 5000));
}

} // namespace

} // namespace sequoiastep::routing
