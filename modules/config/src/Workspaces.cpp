#include "Workspaces.h"

#include "Hash.h"
#include "Random.h"

#include <fmt/core.h>

namespace sequoiastep::config {

namespace {

std::uint64_t
KeyHash(std::string_view aKey)
{
  static const std::uint64_t kSecret = EntropySeed();
  return Hash64(aKey, kSecret);
}

bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  unsigned int difference = 0;
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    difference |= static_cast<unsigned char>(aLeft[i]) ^ static_cast<unsigned char>(aRight[i]);
  }
  return difference == 0;
}

bool
HoldsKey(const Workspace& aWorkspace, std::string_view aKey)
{
  bool found = false;
  for (const std::string& key : aWorkspace.m_keys) {
    found = EqualInConstantTime(key, aKey) || found;
  }
  return found;
}

} // namespace

Result<void>
IndexKeys(WorkspaceTable& aTable, std::string_view aPath)
{
  aTable.m_byKeyHash.clear();
  for (const auto& [name, workspace] : aTable.m_byName) {
    for (const std::string& key : workspace.m_keys) {
      if (key.size() > kMaxKeyBytes) {
        return Fail(
          ErrorKind::BadDocument,
          fmt::format(
            "{}: workspace {} has a key of over {} bytes; shorten it", aPath, name, kMaxKeyBytes));
      }
      const Workspace* holder = Authenticate(aTable, key);
      if (holder != nullptr && holder->m_name != name) {
        return Fail(ErrorKind::BadDocument,
                    fmt::format("{}: workspaces {} and {} have the same key {}; remove it from one",
                                aPath,
                                holder->m_name,
                                name,
                                KeyFingerprint(key)));
      }
      if (holder == nullptr) {
        aTable.m_byKeyHash.emplace(KeyHash(key), name);
      }
    }
  }
  return {};
}

const Workspace*
FindWorkspace(const WorkspaceTable& aTable, std::string_view aName)
{
  const auto found = aTable.m_byName.find(aName);
  return found == aTable.m_byName.end() ? nullptr : &found->second;
}

const Workspace*
Authenticate(const WorkspaceTable& aTable, std::string_view aKey)
{
  const auto [first, last] = aTable.m_byKeyHash.equal_range(KeyHash(aKey));
  for (auto it = first; it != last; ++it) {
    const Workspace* workspace = FindWorkspace(aTable, it->second);
    if (workspace != nullptr && HoldsKey(*workspace, aKey)) {
      return workspace;
    }
  }
  return nullptr;
}

std::string
KeyFingerprint(std::string_view aKey)
{
  return fmt::format("{:08x}", Hash64(aKey) >> 32U);
}

} // namespace sequoiastep::config
