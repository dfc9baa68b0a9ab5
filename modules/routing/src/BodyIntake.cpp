#include "BodyIntake.h"

#include <algorithm>
#include <tuple>

namespace sequoiastep::routing {

namespace {

std::uint64_t
InTransit(const BodyIntake& aIntake, Instant aNow)
{
  std::uint64_t bytes = 0;
  for (const auto& [id, transfer] : aIntake.m_transfers) {
    const bool stalled = aNow - transfer.m_progressAt >= aIntake.m_options.m_stallMs;
    bytes += stalled ? 0 : transfer.m_granted - transfer.m_received;
  }
  return bytes;
}

std::uint64_t
WindowBytes(const IntakeOptions& aOptions)
{
  const double bytes = aOptions.m_bytesPerMs * static_cast<double>(aOptions.m_windowMs);
  return std::max(aOptions.m_minGrantBytes, static_cast<std::uint64_t>(bytes));
}

// The next body to grant bytes to, or end() if all bytes are granted.
std::map<std::uint64_t, BodyTransfer>::iterator
FirstUngranted(BodyIntake& aIntake)
{
  const auto key = [](const auto& aItem) {
    const BodyTransfer& transfer = aItem.second;
    return std::tuple(transfer.m_granted == transfer.m_size,
                      transfer.m_priority,
                      transfer.m_objective,
                      aItem.first);
  };
  const auto first = std::min_element(
    aIntake.m_transfers.begin(),
    aIntake.m_transfers.end(),
    [&](const auto& aLeft, const auto& aRight) { return key(aLeft) < key(aRight); });
  const bool none =
    first == aIntake.m_transfers.end() || first->second.m_granted == first->second.m_size;
  return none ? aIntake.m_transfers.end() : first;
}

} // namespace

double
TransferMs(const BodyIntake& aIntake, std::uint64_t aSize)
{
  std::uint64_t missing = aSize;
  for (const auto& [id, transfer] : aIntake.m_transfers) {
    missing += transfer.m_size - transfer.m_received;
  }
  return static_cast<double>(missing) / aIntake.m_options.m_bytesPerMs;
}

void
Begin(BodyIntake& aIntake, std::uint64_t aId, const BodyTransfer& aTransfer, Instant aNow)
{
  BodyTransfer transfer = aTransfer;
  transfer.m_progressAt = aNow;
  aIntake.m_transfers.insert_or_assign(aId, transfer);
}

bool
Receive(BodyIntake& aIntake, std::uint64_t aId, std::uint64_t aBytes, Instant aNow)
{
  const auto found = aIntake.m_transfers.find(aId);
  if (found == aIntake.m_transfers.end()) {
    return false;
  }
  BodyTransfer& transfer = found->second;
  if (aBytes > transfer.m_granted - transfer.m_received) {
    return false;
  }
  transfer.m_received += aBytes;
  transfer.m_progressAt = aNow;
  return true;
}

void
End(BodyIntake& aIntake, std::uint64_t aId)
{
  aIntake.m_transfers.erase(aId);
}

std::vector<BodyGrant>
NextGrants(BodyIntake& aIntake, Instant aNow)
{
  std::vector<BodyGrant> grants;
  std::uint64_t inTransit = InTransit(aIntake, aNow);
  const std::uint64_t window = WindowBytes(aIntake.m_options);
  for (auto next = FirstUngranted(aIntake); next != aIntake.m_transfers.end();
       next = FirstUngranted(aIntake)) {
    BodyTransfer& transfer = next->second;
    const std::uint64_t missing = transfer.m_size - transfer.m_granted;
    const std::uint64_t room = window - std::min(window, inTransit);
    const std::uint64_t granted = std::min(missing, room);
    if (granted < std::min(missing, aIntake.m_options.m_minGrantBytes)) {
      break;
    }
    transfer.m_granted += granted;
    transfer.m_progressAt = aNow;
    inTransit += granted;
    grants.push_back({ .m_id = next->first, .m_upTo = transfer.m_granted });
  }
  return grants;
}

} // namespace sequoiastep::routing
