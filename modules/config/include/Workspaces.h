/// @file
/// Workspaces of callers: their keys, priority and quota, with an index by key.
#pragma once

#include "Error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sequoiastep::config {

/// Callers that share keys, a priority and a quota.
struct Workspace
{
  std::string m_name;
  /// Each of them authenticates a request as one of this workspace.
  std::vector<std::string> m_keys;
  /// Priority of its requests in place of their route's; 0 is the highest.
  std::optional<std::uint32_t> m_priority;
  /// Quota over all nodes, in requests per second; 0 for none.
  double m_ratePerSecond = 0;
  /// Requests that the quota allows at once beyond the rate.
  double m_burst = 0;
};

/// @return true if the workspace has a quota.
inline bool
HasQuota(const Workspace& aWorkspace)
{
  return aWorkspace.m_ratePerSecond > 0;
}

/// All workspaces of a configuration. IndexKeys makes it complete.
struct WorkspaceTable
{
  std::map<std::string, Workspace, std::less<>> m_byName;
  /// Name of the workspace by the hash of a key, seeded by this process's secret so that callers
  /// can't choose keys that collide.
  std::unordered_multimap<std::uint64_t, std::string> m_byKeyHash;
};

/// Longest accepted key, in bytes.
constexpr std::size_t kMaxKeyBytes = 256;

/// Builds the index by key. Call once, after all workspaces have been added.
/// @param aPath path of the configuration, put before the field names in messages.
/// @return success, or a BadDocument if two workspaces have the same key or a key is too long. The
/// message names the workspaces, not the key.
Result<void>
IndexKeys(WorkspaceTable& aTable, std::string_view aPath);

/// @return the workspace named aName, or nullptr.
const Workspace*
FindWorkspace(const WorkspaceTable& aTable, std::string_view aName);

/// Finds the workspace that holds aKey. Keys are compared in a time that doesn't depend on where
/// they differ.
/// @return the workspace, or nullptr if the key is unknown.
const Workspace*
Authenticate(const WorkspaceTable& aTable, std::string_view aKey);

/// @return eight hexadecimal digits that stand for aKey in logs. They are the same on all nodes.
std::string
KeyFingerprint(std::string_view aKey);

} // namespace sequoiastep::config
