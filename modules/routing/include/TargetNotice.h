/// @file
/// What a target states about itself in its responses: a limit on its requests, and that it leaves.
/// The node beside the target keeps the notice in force. Nodes that called the target remember the
/// notice too and repeat it with each call, so that it outlives a restart of the node beside it.
#pragma once

#include "Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace sequoiastep::routing {

/// The notice of one response.
struct TargetNotice
{
  /// Requests per second that the target accepts from all nodes together; none if it has no limit.
  std::optional<double> m_perSecond;
  /// The target accepts no new requests from now on.
  bool m_leaving = false;

  friend bool operator==(const TargetNotice&, const TargetNotice&) = default;
};

/// A notice with the incarnation of the target that gave it.
struct StatedNotice
{
  /// The target's id; empty if it has none.
  std::string m_id;
  /// When the incarnation started, in Unix milliseconds by its own clock; none if not known.
  std::optional<std::int64_t> m_bornMs;
  TargetNotice m_notice;
};

/// The notice in force at the node beside the target.
struct NoticeRecord
{
  StatedNotice m_stated;
  /// A response of the incarnation has arrived here, so that what other nodes remember is older.
  bool m_heard = false;
};

/// Sets the target's incarnation. The notice is dropped if it is another one.
void
SetIncarnation(NoticeRecord& aRecord, const std::string& aId, std::optional<std::int64_t> aBornMs);

/// Applies the notice of a response of the current incarnation. A response that was under way may
/// be overtaken, so that one without it does not take back that the target leaves.
/// @return true if the notice in force changed.
bool
ApplyResponse(NoticeRecord& aRecord, const TargetNotice& aNotice);

/// Applies a notice that a calling node remembers. Ignored if a response has arrived here, or if it
/// is of another incarnation or of a target without an id.
/// @return true if the notice in force changed.
bool
Recall(NoticeRecord& aRecord, const StatedNotice& aRemembered);

/// A notice of another node's target, as a calling node remembers it.
struct RememberedNotice
{
  StatedNotice m_stated;
  /// When the other node last stated it.
  Instant m_statedAt;
};

/// What a node remembers of the targets that it called, by the node beside the target.
using NoticeMemory = std::map<std::string, RememberedNotice, std::less<>>;

/// Remembers the notice that aNode stated, in place of an earlier one. An empty one is forgotten.
void
Remember(NoticeMemory& aMemory,
         const std::string& aNode,
         const StatedNotice& aStated,
         Instant aNow);

/// Forgets notices that were not stated for a long time.
void
ForgetOld(NoticeMemory& aMemory, Instant aNow);

/// The notice that other nodes were last told, and when.
struct AnnouncedNotice
{
  TargetNotice m_notice;
  Instant m_at;
};

/// @return true if other nodes should be told aNotice: at once if the target leaves or a limit
/// begins or ends, later if it changes by much.
bool
NeedsAnnouncement(const AnnouncedNotice& aAnnounced, const TargetNotice& aNotice, Instant aNow);

} // namespace sequoiastep::routing
