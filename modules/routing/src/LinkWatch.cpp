#include "LinkWatch.h"

namespace sequoiastep::routing {

namespace {

bool
HasWaited(const LinkWatch& aWatch, Instant aNow, Milliseconds aMs)
{
  return aWatch.m_askedAt && aNow - *aWatch.m_askedAt >= aMs;
}

} // namespace

void
NoteHeard(LinkWatch& aWatch, Instant aNow)
{
  aWatch.m_heardAt = aNow;
  aWatch.m_askedAt.reset();
}

void
NoteAsked(LinkWatch& aWatch, Instant aNow)
{
  if (!aWatch.m_askedAt) {
    aWatch.m_askedAt = aNow;
  }
}

bool
IsProven(const LinkWatch& aWatch, Instant aNow)
{
  return aNow - aWatch.m_heardAt < kLinkFreshMs;
}

bool
NeedsQuestion(const LinkWatch& aWatch, Instant aNow)
{
  return !aWatch.m_askedAt && !IsProven(aWatch, aNow);
}

bool
IsDoubtful(const LinkWatch& aWatch, Instant aNow)
{
  return HasWaited(aWatch, aNow, kLinkDoubtMs);
}

bool
IsSilent(const LinkWatch& aWatch, Instant aNow)
{
  return HasWaited(aWatch, aNow, kLinkSilentMs);
}

} // namespace sequoiastep::routing
