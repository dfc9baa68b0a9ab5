/// @file
/// Failure detection: neighbours accuse, others confirm, the accused refutes; who is not refuted in
/// time is declared gone. A node that lost most of its links doubts itself and accuses nobody.
#pragma once

#include "Clock.h"
#include "Members.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sequoiastep::membership {

/// Times of the detector, in milliseconds.
struct DetectorOptions
{
  /// Silence on a link after which the neighbour is accused.
  Milliseconds m_suspectAfterMs = 2500;
  /// Time to refute one accuser, two, and three or more.
  Milliseconds m_goneAfterOneMs = 5000;
  Milliseconds m_goneAfterTwoMs = 3000;
  Milliseconds m_goneAfterManyMs = 1500;
  /// A member that refuted is not accused again by the same node for this long.
  Milliseconds m_forgiveMs = 15'000;
};

/// An open accusation of one member.
struct Suspicion
{
  std::uint64_t m_incarnation = 0;
  std::uint32_t m_counter = 0;
  Instant m_since;
  std::set<std::string, std::less<>> m_accusers;
};

/// What one node's detector remembers.
struct Detector
{
  DetectorOptions m_options;
  std::map<std::string, Suspicion, std::less<>> m_suspicions;
  /// When this node last accused a member.
  std::map<std::string, Instant, std::less<>> m_accusedAt;
};

/// How many links a node wants, how many work, and whether one leads out of its failure domain.
struct LinkHealth
{
  std::size_t m_wanted = 0;
  std::size_t m_working = 0;
  bool m_witness = false;
};

/// @return true if the node should think that it is the one cut off.
bool
DoubtsItself(const LinkHealth& aHealth);

/// Accuses a member on behalf of this node, if it is live, of the same region and not forgiven.
/// @return true if an accusation was made; the member is then Suspect in aTable.
bool
Accuse(Detector& aDetector, MemberTable& aTable, std::string_view aNode, Instant aNow);

/// Notes another node's accusation.
/// @return true if it was new, so that it should be passed on.
bool
NoteAccusation(Detector& aDetector,
               MemberTable& aTable,
               const wire::AccusationT& aAccusation,
               Instant aNow);

/// Declares those gone who did not refute in time, and closes what was refuted.
/// @return the members declared gone, to pass on.
std::vector<Member>
DeclareGone(Detector& aDetector, MemberTable& aTable, Instant aNow);

} // namespace sequoiastep::membership
