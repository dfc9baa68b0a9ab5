/// @file
/// Bounds the bytes that several parts hold together. Use on one thread only.
#pragma once

#include <cstdint>

namespace sequoiastep::net {

/// The bytes held by all shares of the budget.
struct ByteBudget
{
  std::uint64_t m_max = 0;
  std::uint64_t m_used = 0;
};

/// Part of a budget that one holder uses; returned when it is destroyed. The budget must outlive
/// it.
class BudgetShare
{
public:
  explicit BudgetShare(ByteBudget& aBudget)
    : m_budget(aBudget)
  {
  }
  ~BudgetShare() { m_budget.m_used -= m_bytes; }
  BudgetShare(const BudgetShare&) = delete;
  BudgetShare& operator=(const BudgetShare&) = delete;

  /// Sets the bytes that the holder has.
  /// @return false if all holders together have more than the budget.
  bool Set(std::uint64_t aBytes)
  {
    m_budget.m_used += aBytes - m_bytes;
    m_bytes = aBytes;
    return m_budget.m_used <= m_budget.m_max;
  }

private:
  ByteBudget& m_budget;
  std::uint64_t m_bytes = 0;
};

} // namespace sequoiastep::net
