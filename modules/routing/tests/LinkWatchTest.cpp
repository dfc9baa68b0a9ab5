#include "LinkWatch.h"

#include <doctest/doctest.h>

namespace sequoiastep::routing {

namespace {

constexpr Instant kNow{ 10'000 };

TEST_CASE("a link that is heard of is never asked and never given up")
{
  LinkWatch watch;
  for (Milliseconds at = 0; at < 5000; at += 100) {
    NoteHeard(watch, kNow + at);
    CHECK(IsProven(watch, kNow + at + 90));
    CHECK_FALSE(NeedsQuestion(watch, kNow + at + 90));
    CHECK_FALSE(IsSilent(watch, kNow + at + 90));
  }
}

TEST_CASE("a silent link is asked once, doubted, then given up")
{
  LinkWatch watch;
  NoteHeard(watch, kNow);
  const Instant idle = kNow + kLinkFreshMs;
  CHECK(NeedsQuestion(watch, idle));
  NoteAsked(watch, idle);
  CHECK_FALSE(NeedsQuestion(watch, idle + 50));
  NoteAsked(watch, idle + 100);
  CHECK_FALSE(IsDoubtful(watch, idle + (kLinkDoubtMs - 1)));
  CHECK(IsDoubtful(watch, idle + kLinkDoubtMs));
  CHECK_FALSE(IsSilent(watch, idle + (kLinkSilentMs - 1)));
  CHECK(IsSilent(watch, idle + kLinkSilentMs));
}

TEST_CASE("an idle link is not silent: nobody asked it anything")
{
  LinkWatch watch;
  NoteHeard(watch, kNow);
  CHECK_FALSE(IsSilent(watch, kNow + 60'000));
  CHECK_FALSE(IsDoubtful(watch, kNow + 60'000));
}

TEST_CASE("an answer ends the doubt")
{
  LinkWatch watch;
  NoteAsked(watch, kNow);
  NoteHeard(watch, kNow + 300);
  CHECK(IsProven(watch, kNow + 301));
  CHECK_FALSE(IsDoubtful(watch, kNow + 5000));
}

} // namespace

} // namespace sequoiastep::routing
