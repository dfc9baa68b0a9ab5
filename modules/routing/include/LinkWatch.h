/// @file
/// Whether the link to another node is alive, from what was heard on it: a peer that froze or was
/// cut off closes nothing, and calls that wait for it wait in vain.
#pragma once

#include "Clock.h"

#include <optional>

namespace sequoiastep::routing {

/// What one link has shown.
struct LinkWatch
{
  /// When the last message came.
  Instant m_heardAt;
  /// When the question was sent that is not answered yet.
  std::optional<Instant> m_askedAt;
};

/// A link that was heard of within this needs no question.
constexpr Milliseconds kLinkFreshMs = 250;
/// A question unanswered for this long makes new calls go elsewhere.
constexpr Milliseconds kLinkDoubtMs = 150;
/// A question unanswered for this long means that nothing will come.
constexpr Milliseconds kLinkSilentMs = 300;

/// Notes a message from the peer.
void
NoteHeard(LinkWatch& aWatch, Instant aNow);

/// Notes that the peer was asked to show itself; a question that still waits counts on.
void
NoteAsked(LinkWatch& aWatch, Instant aNow);

/// @return true if the peer should be asked before more is sent, or while calls wait.
bool
NeedsQuestion(const LinkWatch& aWatch, Instant aNow);

/// @return true if the peer was heard of so lately that a call will probably reach it.
bool
IsProven(const LinkWatch& aWatch, Instant aNow);

/// @return true if a question has waited so long that new calls should go elsewhere.
bool
IsDoubtful(const LinkWatch& aWatch, Instant aNow);

/// @return true if a question has waited so long that the calls on the link are given up.
bool
IsSilent(const LinkWatch& aWatch, Instant aNow);

} // namespace sequoiastep::routing
