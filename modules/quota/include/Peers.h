/// @file
/// The nodes that share the quotas, and the choice of a quota's owner among them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace sequoiastep::quota {

/// What a node knows of another one, or of itself.
enum class PeerState
{
  /// Can be heard and may own quotas.
  Candidate,
  /// Can be heard and owns none, since it starts or leaves.
  Present,
  /// Can't be heard and has not announced that it leaves: it may be cut off or gone.
  Unreachable,
};

/// All nodes known and not known to have left, this one included.
using Peers = std::map<std::string, PeerState, std::less<>>;

/// @return the share of aPeers that can be heard; 1 if there are none.
double
HeardShare(const Peers& aPeers);

/// The first node in the rendezvous order for one workspace.
struct FirstNode
{
  /// Empty if there is no candidate.
  std::string m_node;
  std::uint64_t m_rank = 0;
};

/// @return the rank of a node in the order for a workspace; the lowest comes first.
std::uint64_t
RankOf(std::string_view aNode, std::string_view aWorkspace);

/// @return the first candidate in the order for aWorkspace.
FirstNode
FindFirst(const Peers& aPeers, std::string_view aWorkspace);

} // namespace sequoiastep::quota
