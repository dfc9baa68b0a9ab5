/// @file
/// Roles of nodes and the links between them. Every node computes them locally from its member list
/// by rendezvous hashing: which nodes read the log, which are heads of a failure domain, and which
/// pass records to which. Nodes that compute different roles cause extra traffic, but no incorrect
/// state.
#pragma once

#include "Members.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::distribution {

/// Sizes of the link graph.
struct TopologyOptions
{
  /// Children of a node in its failure domain's tree.
  std::size_t m_fanOut = 4;
  /// Links that each node opens to other nodes of its failure domain in addition to the tree.
  std::size_t m_chords = 2;
  /// Nodes of a region that may read the log. The first one reads; the others take over in rank
  /// order if it fails.
  std::size_t m_readers = 3;
  /// Heads of a failure domain: the first nodes in its order. Readers push records to them.
  std::size_t m_heads = 3;
  /// Links between each pair of regions, one for each of the first reader ranks.
  std::size_t m_crossRegionLinks = 2;
  /// Nodes of a failure domain that readers connect to at once if no link to that domain works.
  std::size_t m_unreachableDomainProbes = 32;
};

/// A failure domain within its region.
struct DomainKey
{
  std::string m_region;
  std::string m_failureDomain;

  auto operator<=>(const DomainKey&) const = default; // NOLINT(modernize-use-nullptr)
};

/// The roles computed from one member list.
struct Topology
{
  /// Nodes that may hold a role, in rank order: for reading the log by region, and for the tree by
  /// failure domain.
  std::map<std::string, std::vector<std::string>, std::less<>> m_readerOrder;
  std::map<DomainKey, std::vector<std::string>> m_domainOrder;
  /// The node that writes checkpoints; empty if there are no members.
  std::string m_checkpointWriter;
};

/// @return the topology of the members that are live and not draining; only these hold roles.
Topology
MakeTopology(const membership::MemberTable& aTable);

/// @return the index of aNode in aOrder, or aOrder's size if it is not in there.
std::size_t
RankIn(const std::vector<std::string>& aOrder, std::string_view aNode);

/// @return the first aCount nodes of aOrder, not counting aSelf.
std::vector<std::string>
FirstOthers(const std::vector<std::string>& aOrder, std::size_t aCount, std::string_view aSelf);

/// @return the parent of aNode in its domain's tree; empty if aNode is the root or not in aOrder.
std::string
TreeParent(const std::vector<std::string>& aOrder, std::string_view aNode, std::size_t aFanOut);

/// @return the children of aNode in its domain's tree.
std::vector<std::string>
TreeChildren(const std::vector<std::string>& aOrder, std::string_view aNode, std::size_t aFanOut);

/// @param aUnreachable failure domains of aSelf's region to which no link works.
/// @return the nodes that aSelf should be linked to.
std::set<std::string, std::less<>>
DesiredLinks(const Topology& aTopology,
             const membership::Member& aSelf,
             const TopologyOptions& aOptions,
             const std::set<DomainKey>& aUnreachable);

/// @return the nodes to which a reader pushes a record: the heads of its region's failure domains.
std::vector<std::string>
ReaderRecipients(const Topology& aTopology,
                 const membership::Member& aSelf,
                 const TopologyOptions& aOptions);

} // namespace sequoiastep::distribution
