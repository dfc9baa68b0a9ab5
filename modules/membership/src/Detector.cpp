#include "Detector.h"

namespace sequoiastep::membership {

namespace {

constexpr std::size_t kMinLinksToDetectIsolation = 3;

Milliseconds
TimeToRefute(const DetectorOptions& aOptions, std::size_t aAccusers)
{
  if (aAccusers >= 3) {
    return aOptions.m_goneAfterManyMs;
  }
  return aAccusers == 2 ? aOptions.m_goneAfterTwoMs : aOptions.m_goneAfterOneMs;
}

const Member*
FindMember(const MemberTable& aTable, std::string_view aNode)
{
  const auto found = aTable.m_members.find(aNode);
  return found == aTable.m_members.end() ? nullptr : &found->second.m_member;
}

bool
AppliesTo(const Suspicion& aSuspicion, const Member& aMember)
{
  return aMember.m_state == MemberState::Suspect &&
         aMember.m_incarnation == aSuspicion.m_incarnation &&
         aMember.m_counter == aSuspicion.m_counter;
}

void
AddAccuser(Detector& aDetector, const Member& aMember, std::string_view aAccuser, Instant aNow)
{
  Suspicion& suspicion = aDetector.m_suspicions[aMember.m_node];
  if (suspicion.m_accusers.empty() || suspicion.m_incarnation != aMember.m_incarnation ||
      suspicion.m_counter != aMember.m_counter) {
    suspicion = { .m_incarnation = aMember.m_incarnation,
                  .m_counter = aMember.m_counter,
                  .m_since = aNow,
                  .m_accusers = {} };
  }
  suspicion.m_accusers.emplace(aAccuser);
}

void
MarkSuspect(MemberTable& aTable, const Member& aMember, Instant aNow)
{
  Member suspect = aMember;
  suspect.m_state = MemberState::Suspect;
  MergeMember(aTable, suspect, aNow);
}

} // namespace

bool
IsLikelyIsolated(const LinkHealth& aHealth)
{
  if (aHealth.m_wanted < kMinLinksToDetectIsolation || aHealth.m_hasLinkOutsideDomain) {
    return false;
  }
  return aHealth.m_working * 2 < aHealth.m_wanted;
}

bool
Accuse(Detector& aDetector, MemberTable& aTable, std::string_view aNode, Instant aNow)
{
  const Member* accused = FindMember(aTable, aNode);
  const Member* self = FindMember(aTable, aTable.m_self);
  if (accused == nullptr || self == nullptr || accused->m_state == MemberState::Gone ||
      accused->m_region != self->m_region || aNode == aTable.m_self) {
    return false;
  }
  const auto open = aDetector.m_suspicions.find(aNode);
  const bool alreadyAccused = open != aDetector.m_suspicions.end() &&
                              AppliesTo(open->second, *accused) &&
                              open->second.m_accusers.contains(aTable.m_self);
  if (alreadyAccused) {
    return false;
  }
  const auto last = aDetector.m_accusedAt.find(aNode);
  if (accused->m_state != MemberState::Suspect && last != aDetector.m_accusedAt.end() &&
      aNow - last->second < aDetector.m_options.m_accuseCooldownMs) {
    return false;
  }
  aDetector.m_accusedAt[std::string(aNode)] = aNow;
  MarkSuspect(aTable, *accused, aNow);
  AddAccuser(aDetector, *FindMember(aTable, aNode), aTable.m_self, aNow);
  return true;
}

bool
RecordAccusation(Detector& aDetector,
                 MemberTable& aTable,
                 const wire::AccusationT& aAccusation,
                 Instant aNow)
{
  const Member* accused = FindMember(aTable, aAccusation.node);
  if (accused == nullptr || accused->m_state == MemberState::Gone ||
      accused->m_incarnation != aAccusation.incarnation ||
      accused->m_counter != aAccusation.counter) {
    return false;
  }
  const auto open = aDetector.m_suspicions.find(aAccusation.node);
  const bool known = open != aDetector.m_suspicions.end() &&
                     open->second.m_incarnation == aAccusation.incarnation &&
                     open->second.m_counter == aAccusation.counter &&
                     open->second.m_accusers.contains(aAccusation.accuser);
  if (known) {
    return false;
  }
  if (accused->m_state != MemberState::Suspect) {
    MarkSuspect(aTable, *accused, aNow);
  }
  AddAccuser(aDetector, *FindMember(aTable, aAccusation.node), aAccusation.accuser, aNow);
  return true;
}

std::vector<Member>
DeclareGone(Detector& aDetector, MemberTable& aTable, Instant aNow)
{
  // A Suspect entry may arrive by the digest exchange without its accusation; it then counts as
  // accused by one node.
  for (const auto& [node, record] : aTable.m_members) {
    if (record.m_member.m_state == MemberState::Suspect && node != aTable.m_self &&
        !aDetector.m_suspicions.contains(node)) {
      AddAccuser(aDetector, record.m_member, "unknown", aNow);
    }
  }
  std::vector<Member> gone;
  std::erase_if(aDetector.m_suspicions, [&](const auto& aItem) {
    const auto& [node, suspicion] = aItem;
    const Member* accused = FindMember(aTable, node);
    if (accused == nullptr || !AppliesTo(suspicion, *accused)) {
      return true;
    }
    if (aNow - suspicion.m_since < TimeToRefute(aDetector.m_options, suspicion.m_accusers.size())) {
      return false;
    }
    Member declared = *accused;
    declared.m_state = MemberState::Gone;
    MergeMember(aTable, declared, aNow);
    gone.push_back(std::move(declared));
    return true;
  });
  return gone;
}

} // namespace sequoiastep::membership
