/// @file
/// Soft roles, computed by every node for itself from its member list by rendezvous hashing: who
/// reads the log, who heads a failure domain, who feeds whom. Two nodes that compute different
/// roles cost bytes, never correctness.
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
  /// Links that each node opens to others of its domain besides the tree.
  std::size_t m_chords = 2;
  /// Nodes of a region that read the log, the first unless it fails.
  std::size_t m_readers = 3;
  /// Nodes of a domain that readers push to.
  std::size_t m_heads = 3;
  /// Links between each two regions.
  std::size_t m_foreignLinks = 2;
  /// Nodes of a domain that readers try at once when none of it answers.
  std::size_t m_probesOfDarkDomain = 32;
};

/// A failure domain within its region.
struct DomainKey
{
  std::string m_region;
  std::string m_failureDomain;

  auto operator<=>(const DomainKey&) const = default; // NOLINT(modernize-use-nullptr)
};

/// The roles that follow from one member list.
struct Topology
{
  /// Nodes that may hold a role, in rank order, by region and by failure domain.
  std::map<std::string, std::vector<std::string>, std::less<>> m_readers;
  std::map<DomainKey, std::vector<std::string>> m_domains;
  /// The node that writes checkpoints; empty if there are no members.
  std::string m_checkpointWriter;
};

/// @return the topology of the members that are live and not draining.
Topology
MakeTopology(const membership::MemberTable& aTable);

/// @return the rank of aNode in aOrder, or aOrder's size if it has none.
std::size_t
RankIn(const std::vector<std::string>& aOrder, std::string_view aNode);

/// @return the first aCount nodes of aOrder but for aSelf.
std::vector<std::string>
FirstOthers(const std::vector<std::string>& aOrder, std::size_t aCount, std::string_view aSelf);

/// @return the node above aNode in its domain's tree; empty for the head and for strangers.
std::string
TreeParent(const std::vector<std::string>& aOrder, std::string_view aNode, std::size_t aFanOut);

/// @return the nodes below aNode in its domain's tree.
std::vector<std::string>
TreeChildren(const std::vector<std::string>& aOrder, std::string_view aNode, std::size_t aFanOut);

/// @param aDark failure domains of which no link works.
/// @return the nodes that aSelf should be linked to.
std::set<std::string, std::less<>>
DesiredLinks(const Topology& aTopology,
             const membership::Member& aSelf,
             const TopologyOptions& aOptions,
             const std::set<DomainKey>& aDark);

/// @return the nodes to which a reader passes a record that it read.
std::vector<std::string>
ReaderTargets(const Topology& aTopology,
              const membership::Member& aSelf,
              const TopologyOptions& aOptions);

} // namespace sequoiastep::distribution
