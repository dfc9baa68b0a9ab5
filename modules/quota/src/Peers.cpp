#include "Peers.h"

#include "Hash.h"

#include <algorithm>

namespace sequoiastep::quota {

namespace {

constexpr std::uint64_t kOwnerSeed = 0x904aULL;

} // namespace

double
HeardShare(const Peers& aPeers)
{
  if (aPeers.empty()) {
    return 1;
  }
  const auto heard = std::count_if(aPeers.begin(), aPeers.end(), [](const auto& aItem) {
    return aItem.second != PeerState::Unreachable;
  });
  return static_cast<double>(heard) / static_cast<double>(aPeers.size());
}

std::uint64_t
RankOf(std::string_view aNode, std::string_view aWorkspace)
{
  return Hash64(aNode, Hash64(aWorkspace, kOwnerSeed));
}

FirstNode
FindFirst(const Peers& aPeers, std::string_view aWorkspace)
{
  const std::uint64_t seed = Hash64(aWorkspace, kOwnerSeed);
  std::string_view first;
  std::uint64_t lowest = 0;
  for (const auto& [node, state] : aPeers) {
    if (state != PeerState::Candidate) {
      continue;
    }
    const std::uint64_t rank = Hash64(node, seed);
    if (first.empty() || rank < lowest) {
      first = node;
      lowest = rank;
    }
  }
  return { .m_node = std::string(first), .m_rank = lowest };
}

} // namespace sequoiastep::quota
