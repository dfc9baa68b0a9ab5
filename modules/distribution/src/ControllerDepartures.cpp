// Departures of this host's targets: each is in the memory of a peer before it is acknowledged, so
// that it outlives this process.
#include "ControllerPriv.h"
#include "Log.h"

#include <algorithm>

namespace sequoiastep::distribution {

using membership::Member;

namespace {

constexpr std::size_t kMaxPendingDepartures = 16;

// A peer of another failure domain still holds the departure if this one is lost whole.
bool
IsInOtherDomain(const Controller& aController, std::string_view aNode)
{
  const Member* peer = FindMember(aController, aNode);
  return peer != nullptr && peer->m_failureDomain != Self(aController).m_failureDomain;
}

bool
IsLinkedToOtherDomain(const Controller& aController)
{
  return std::any_of(aController.m_links.begin(),
                     aController.m_links.end(),
                     [&](const auto& aLink) { return IsInOtherDomain(aController, aLink.first); });
}

// The entry was sent over the link before, and a link delivers in order, so an echo shows that the
// peer has it.
void
RequestEcho(StepContext& aContext, std::string_view aNode, std::uint64_t aNonce)
{
  wire::PullT pull;
  pull.applied = aContext.m_controller.m_replay->m_position;
  pull.nonce = aNonce;
  SendTo(aContext, aNode, MakeSharedMessage(std::move(pull)));
}

} // namespace

void
HandleDepartureRecorded(StepContext& aContext, const DepartureRecorded& aRecorded)
{
  Controller& controller = aContext.m_controller;
  Member entry = Self(controller);
  if (MergeDepartures(entry.m_departures, { aRecorded.m_departure })) {
    AnnounceSelf(aContext, entry);
  }
  FlushMembers(aContext);
  const PendingDeparture pending{ .m_request = aRecorded.m_request,
                                  .m_nonce = controller.m_random.Next() | 1U };
  controller.m_pendingDepartures.push_back(pending);
  if (controller.m_pendingDepartures.size() > kMaxPendingDepartures) {
    controller.m_pendingDepartures.erase(controller.m_pendingDepartures.begin());
  }
  const bool hasLinkInRegion =
    std::any_of(controller.m_links.begin(), controller.m_links.end(), [](const auto& aLink) {
      return !aLink.second.m_crossRegion;
    });
  for (const auto& [node, link] : controller.m_links) {
    if (!link.m_crossRegion || !hasLinkInRegion) {
      RequestEcho(aContext, node, pending.m_nonce);
    }
  }
}

void
RequestDepartureEchoes(StepContext& aContext, std::string_view aNode)
{
  for (const PendingDeparture& pending : aContext.m_controller.m_pendingDepartures) {
    RequestEcho(aContext, aNode, pending.m_nonce);
  }
}

void
HandleDepartureEcho(StepContext& aContext, std::string_view aNode, std::uint64_t aNonce)
{
  Controller& controller = aContext.m_controller;
  if (aNonce == 0 || controller.m_pendingDepartures.empty()) {
    return; // As most heartbeats.
  }
  if (!IsInOtherDomain(controller, aNode) && IsLinkedToOtherDomain(controller)) {
    return;
  }
  std::erase_if(controller.m_pendingDepartures, [&](const PendingDeparture& aPending) {
    if (aPending.m_nonce != aNonce) {
      return false;
    }
    aContext.m_actions.emplace_back(
      DepartureKept{ .m_request = aPending.m_request, .m_node = std::string(aNode) });
    return true;
  });
}

void
RecallOwnEntry(StepContext& aContext, const Member& aEntry)
{
  const Controller& controller = aContext.m_controller;
  if (aEntry.m_node != controller.m_table.m_self) {
    return;
  }
  const bool ofPredecessor = aEntry.m_incarnation != Self(controller).m_incarnation;
  if (ofPredecessor || !aEntry.m_departures.empty()) {
    aContext.m_actions.emplace_back(
      OwnEntryRecalled{ .m_departures = aEntry.m_departures, .m_ofPredecessor = ofPredecessor });
  }
}

} // namespace sequoiastep::distribution
