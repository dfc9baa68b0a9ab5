/// @file
/// Tables that map the values of an enumeration to their names in logs, settings and responses.
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace sequoiastep {

/// One row of a name table.
template<typename Enum>
struct NameRow
{
  Enum m_value;
  std::string_view m_name;
};

/// @return the name of aValue, or "?" if the table has no row for it.
template<typename Enum, std::size_t Size>
constexpr std::string_view
NameIn(const std::array<NameRow<Enum>, Size>& aTable, Enum aValue)
{
  for (const auto& row : aTable) {
    if (row.m_value == aValue) {
      return row.m_name;
    }
  }
  return "?";
}

/// @return the value named aName, or nothing if no row has that name.
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum>
ValueIn(const std::array<NameRow<Enum>, Size>& aTable, std::string_view aName)
{
  for (const auto& row : aTable) {
    if (row.m_name == aName) {
      return row.m_value;
    }
  }
  return std::nullopt;
}

} // namespace sequoiastep
