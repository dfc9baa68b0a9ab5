#include "Topology.h"

#include "Hash.h"

#include <algorithm>

namespace sequoiastep::distribution {

using membership::Member;
using membership::MemberState;

namespace {

constexpr std::uint64_t kReaderSeed = 0x5eadULL;
constexpr std::uint64_t kTreeSeed = 0x73eeULL;
constexpr std::uint64_t kCheckpointSeed = 0xc4ecULL;

void
SortByRank(std::vector<std::string>& aNodes, std::uint64_t aSeed)
{
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(aNodes.size());
  for (std::string& node : aNodes) {
    const std::uint64_t rank = Hash64(node, aSeed);
    ranked.emplace_back(rank, std::move(node));
  }
  std::sort(ranked.begin(), ranked.end());
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    aNodes[i] = std::move(ranked[i].second);
  }
}

const std::vector<std::string>&
DomainOrder(const Topology& aTopology, const Member& aSelf)
{
  static const std::vector<std::string> kNone;
  const auto found = aTopology.m_domainOrder.find(
    { .m_region = aSelf.m_region, .m_failureDomain = aSelf.m_failureDomain });
  return found == aTopology.m_domainOrder.end() ? kNone : found->second;
}

// Adds the aChords nodes that rank first in an order hashed with aSelf's name as seed. Every node
// has its own order, so the graph looks random and all nodes are chosen about equally often.
void
AddChords(std::set<std::string, std::less<>>& aLinks,
          const std::vector<std::string>& aOrder,
          const Member& aSelf,
          std::size_t aChords)
{
  std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
  const std::uint64_t seed = Hash64(aSelf.m_node, kTreeSeed);
  for (const std::string& node : aOrder) {
    if (node != aSelf.m_node && !aLinks.contains(node)) {
      ranked.emplace_back(Hash64(node, seed), node);
    }
  }
  const std::size_t count = std::min(aChords, ranked.size());
  std::partial_sort(
    ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
  for (std::size_t i = 0; i < count; ++i) {
    aLinks.emplace(ranked[i].second);
  }
}

std::size_t
ReaderRank(const Topology& aTopology, const Member& aSelf)
{
  const auto readers = aTopology.m_readerOrder.find(aSelf.m_region);
  if (readers == aTopology.m_readerOrder.end()) {
    return static_cast<std::size_t>(-1);
  }
  return RankIn(readers->second, aSelf.m_node);
}

void
AddAll(std::set<std::string, std::less<>>& aLinks, const std::vector<std::string>& aNodes)
{
  aLinks.insert(aNodes.begin(), aNodes.end());
}

void
AddReaderLinks(std::set<std::string, std::less<>>& aLinks,
               const Topology& aTopology,
               const Member& aSelf,
               const TopologyOptions& aOptions,
               const std::set<DomainKey>& aUnreachable)
{
  for (const auto& [key, order] : aTopology.m_domainOrder) {
    if (key.m_region == aSelf.m_region) {
      const std::size_t count =
        aUnreachable.contains(key) ? aOptions.m_unreachableDomainProbes : aOptions.m_heads;
      AddAll(aLinks, FirstOthers(order, count, aSelf.m_node));
    }
  }
  for (const auto& [region, order] : aTopology.m_readerOrder) {
    if (region == aSelf.m_region) {
      AddAll(aLinks, FirstOthers(order, aOptions.m_readers, aSelf.m_node));
      continue;
    }
    // Only the first ranks link to another region, each to the reader of the same rank: traffic
    // between regions is billed.
    const std::size_t rank = ReaderRank(aTopology, aSelf);
    if (rank < aOptions.m_crossRegionLinks && rank < order.size()) {
      aLinks.insert(order[rank]);
    }
  }
}

} // namespace

Topology
MakeTopology(const membership::MemberTable& aTable)
{
  Topology topology;
  std::uint64_t bestCheckpointRank = 0;
  for (const auto& [node, record] : aTable.m_members) {
    const Member& member = record.m_member;
    if (!membership::IsLive(member.m_state) || member.m_state == MemberState::Draining) {
      continue;
    }
    topology.m_readerOrder[member.m_region].push_back(node);
    topology.m_domainOrder[{ member.m_region, member.m_failureDomain }].push_back(node);
    const std::uint64_t rank = Hash64(node, kCheckpointSeed);
    if (topology.m_checkpointWriter.empty() || rank < bestCheckpointRank) {
      bestCheckpointRank = rank;
      topology.m_checkpointWriter = node;
    }
  }
  for (auto& [region, order] : topology.m_readerOrder) {
    SortByRank(order, kReaderSeed);
  }
  for (auto& [key, order] : topology.m_domainOrder) {
    SortByRank(order, kTreeSeed);
  }
  return topology;
}

std::size_t
RankIn(const std::vector<std::string>& aOrder, std::string_view aNode)
{
  const auto found = std::find(aOrder.begin(), aOrder.end(), aNode);
  return static_cast<std::size_t>(found - aOrder.begin());
}

std::vector<std::string>
FirstOthers(const std::vector<std::string>& aOrder, std::size_t aCount, std::string_view aSelf)
{
  std::vector<std::string> first;
  for (const std::string& node : aOrder) {
    if (first.size() == aCount) {
      break;
    }
    if (node != aSelf) {
      first.push_back(node);
    }
  }
  return first;
}

std::string
TreeParent(const std::vector<std::string>& aOrder, std::string_view aNode, std::size_t aFanOut)
{
  const std::size_t rank = RankIn(aOrder, aNode);
  if (rank == 0 || rank >= aOrder.size()) {
    return {};
  }
  return aOrder[(rank - 1) / aFanOut];
}

std::vector<std::string>
TreeChildren(const std::vector<std::string>& aOrder, std::string_view aNode, std::size_t aFanOut)
{
  const std::size_t rank = RankIn(aOrder, aNode);
  std::vector<std::string> children;
  if (rank >= aOrder.size()) {
    return children;
  }
  const std::size_t first = rank * aFanOut + 1;
  for (std::size_t i = first; i < first + aFanOut && i < aOrder.size(); ++i) {
    children.push_back(aOrder[i]);
  }
  return children;
}

std::set<std::string, std::less<>>
DesiredLinks(const Topology& aTopology,
             const Member& aSelf,
             const TopologyOptions& aOptions,
             const std::set<DomainKey>& aUnreachable)
{
  std::set<std::string, std::less<>> links;
  const std::vector<std::string>& order = DomainOrder(aTopology, aSelf);
  AddAll(links, TreeChildren(order, aSelf.m_node, aOptions.m_fanOut));
  const std::string parent = TreeParent(order, aSelf.m_node, aOptions.m_fanOut);
  if (!parent.empty()) {
    links.insert(parent);
  }
  AddChords(links, order, aSelf, aOptions.m_chords);
  const auto readers = aTopology.m_readerOrder.find(aSelf.m_region);
  if (readers != aTopology.m_readerOrder.end() &&
      RankIn(order, aSelf.m_node) < std::min(aOptions.m_heads, order.size())) {
    AddAll(links, FirstOthers(readers->second, aOptions.m_readers, aSelf.m_node));
  }
  if (ReaderRank(aTopology, aSelf) < aOptions.m_readers) {
    AddReaderLinks(links, aTopology, aSelf, aOptions, aUnreachable);
  }
  return links;
}

std::vector<std::string>
ReaderRecipients(const Topology& aTopology, const Member& aSelf, const TopologyOptions& aOptions)
{
  std::vector<std::string> recipients;
  for (const auto& [key, order] : aTopology.m_domainOrder) {
    if (key.m_region != aSelf.m_region) {
      continue;
    }
    for (std::string& node : FirstOthers(order, aOptions.m_heads, aSelf.m_node)) {
      recipients.push_back(std::move(node));
    }
  }
  return recipients;
}

} // namespace sequoiastep::distribution
