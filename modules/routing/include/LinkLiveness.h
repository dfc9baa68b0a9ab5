/// @file
/// Liveness of the link to another node, from the data received on it. A peer that froze or was cut
/// off does not close its connection, so that calls in flight to it would never be answered.
#pragma once

#include "Clock.h"

#include <optional>

namespace sequoiastep::routing {

/// When data last came on one link, and its probe in flight.
struct LinkLiveness
{
  /// When data was last received.
  Instant m_heardAt;
  /// When the unanswered probe was sent; none if no probe is in flight.
  std::optional<Instant> m_probedAt;
};

/// A link that received data within this time needs no probe.
constexpr Milliseconds kLinkFreshMs = 250;
/// After a probe has been unanswered for this long, new calls go to other targets.
constexpr Milliseconds kLinkSuspectMs = 150;
/// After a probe has been unanswered for this long, no answer is expected any more.
constexpr Milliseconds kLinkSilentMs = 300;

/// Records that data came from the peer, which also answers a probe in flight.
void
RecordReceived(LinkLiveness& aLiveness, Instant aNow);

/// Records that a probe was sent. If an earlier one is unanswered, its time keeps counting.
void
RecordProbe(LinkLiveness& aLiveness, Instant aNow);

/// @return true if a probe should be sent, before more is sent or while calls wait for an answer.
bool
NeedsProbe(const LinkLiveness& aLiveness, Instant aNow);

/// @return true if data came so recently that a call will probably reach the peer.
bool
IsFresh(const LinkLiveness& aLiveness, Instant aNow);

/// @return true if a probe has been unanswered so long that new calls should go to other targets.
bool
IsSuspect(const LinkLiveness& aLiveness, Instant aNow);

/// @return true if a probe has been unanswered so long that the calls on the link are given up.
bool
IsSilent(const LinkLiveness& aLiveness, Instant aNow);

} // namespace sequoiastep::routing
