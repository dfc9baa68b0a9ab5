#include "LinkLiveness.h"

namespace sequoiastep::routing {

namespace {

bool
IsUnansweredFor(const LinkLiveness& aLiveness, Instant aNow, Milliseconds aDurationMs)
{
  return aLiveness.m_probedAt && aNow - *aLiveness.m_probedAt >= aDurationMs;
}

} // namespace

void
RecordReceived(LinkLiveness& aLiveness, Instant aNow)
{
  aLiveness.m_heardAt = aNow;
  aLiveness.m_probedAt.reset();
}

void
RecordProbe(LinkLiveness& aLiveness, Instant aNow)
{
  if (!aLiveness.m_probedAt) {
    aLiveness.m_probedAt = aNow;
  }
}

bool
IsFresh(const LinkLiveness& aLiveness, Instant aNow)
{
  return aNow - aLiveness.m_heardAt < kLinkFreshMs;
}

bool
NeedsProbe(const LinkLiveness& aLiveness, Instant aNow)
{
  return !aLiveness.m_probedAt && !IsFresh(aLiveness, aNow);
}

bool
IsSuspect(const LinkLiveness& aLiveness, Instant aNow)
{
  return IsUnansweredFor(aLiveness, aNow, kLinkSuspectMs);
}

bool
IsSilent(const LinkLiveness& aLiveness, Instant aNow)
{
  return IsUnansweredFor(aLiveness, aNow, kLinkSilentMs);
}

} // namespace sequoiastep::routing
