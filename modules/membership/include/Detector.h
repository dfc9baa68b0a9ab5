/// @file
/// Failure detection. A node accuses a neighbour that it no longer hears from, which makes the
/// neighbour Suspect; other nodes may add accusations. The accused member refutes them by raising
/// its counter; if it does not in time, it is declared Gone. A node that lost most of its links
/// assumes that it is cut off itself and accuses nobody.
#pragma once

#include "Clock.h"
#include "Members.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sequoiastep::membership {

/// Timeouts of the detector, in milliseconds.
struct DetectorOptions
{
  /// Silence on a link after which the neighbour is accused.
  Milliseconds m_suspectAfterMs = 2500;
  /// Time that a member has to refute one accuser, two, and three or more.
  Milliseconds m_goneAfterOneMs = 5000;
  Milliseconds m_goneAfterTwoMs = 3000;
  Milliseconds m_goneAfterManyMs = 1500;
  /// A member that refuted is not accused again by the same node for this long after that node's
  /// last accusation, unless another node has made it Suspect again.
  Milliseconds m_accuseCooldownMs = 15'000;
};

/// Open accusations of one member.
struct Suspicion
{
  /// Version of the member's entry that is accused; a newer one refutes the accusation.
  std::uint64_t m_incarnation = 0;
  std::uint32_t m_counter = 0;
  /// When the first accusation of this version was seen; the time to refute counts from here.
  Instant m_since;
  std::set<std::string, std::less<>> m_accusers;
};

/// State of one node's failure detector.
struct Detector
{
  DetectorOptions m_options;
  std::map<std::string, Suspicion, std::less<>> m_suspicions;
  /// When this node last accused a member.
  std::map<std::string, Instant, std::less<>> m_accusedAt;
};

/// State of a node's links, from which it tells whether it is cut off itself.
struct LinkHealth
{
  /// Links that the node should have within its region.
  std::size_t m_wanted = 0;
  /// Those of them that work.
  std::size_t m_working = 0;
  /// Whether a working link leads out of the node's failure domain.
  bool m_hasLinkOutsideDomain = false;
};

/// @return true if the node should assume that it is cut off itself: fewer than half of its links
/// work, none leads out of its failure domain, and it has enough links to tell.
bool
IsLikelyIsolated(const LinkHealth& aHealth);

/// Accuses a member on behalf of this node, unless the member is unknown, Gone, of another region,
/// this node itself, already accused by this node, or within m_accuseCooldownMs.
/// @return true if an accusation was made; the member is then Suspect in aTable.
bool
Accuse(Detector& aDetector, MemberTable& aTable, std::string_view aNode, Instant aNow);

/// Records another node's accusation. It is ignored unless it names the current incarnation and
/// counter of a known member that is not Gone.
/// @return true if it was new, so that it should be passed on.
bool
RecordAccusation(Detector& aDetector,
                 MemberTable& aTable,
                 const wire::AccusationT& aAccusation,
                 Instant aNow);

/// Declares members Gone that did not refute in time, and removes refuted suspicions.
/// @return the members declared Gone, to be passed on.
std::vector<Member>
DeclareGone(Detector& aDetector, MemberTable& aTable, Instant aNow);

} // namespace sequoiastep::membership
