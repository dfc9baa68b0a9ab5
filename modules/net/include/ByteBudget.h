/// @file
/// Bounds the bytes that several parts hold together. Use on one thread only.
#pragma once

#include <cstdint>
#include <memory>
#include <utility>

namespace sequoiastep::net {

/// The bytes held by all shares of the budget. A budget of one owner may count against another one
/// that several owners have in common.
struct ByteBudget
{
  std::uint64_t m_max = 0;
  std::uint64_t m_used = 0;
  /// The common budget; null if there is none.
  std::shared_ptr<ByteBudget> m_common;
  /// How many times a held byte is in memory; so much of the common budget it uses.
  std::uint64_t m_copies = 1;

  /// @return true if aMore bytes can be held besides those that are.
  bool HasRoom(std::uint64_t aMore) const
  {
    return m_used + aMore <= m_max && (!m_common || m_common->HasRoom(aMore * m_copies));
  }

  /// Replaces aOld held bytes by aNew.
  void Change(std::uint64_t aOld, std::uint64_t aNew)
  {
    m_used += aNew - aOld;
    if (m_common) {
      m_common->Change(aOld * m_copies, aNew * m_copies);
    }
  }
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
  ~BudgetShare() { m_budget.Change(m_bytes, 0); }
  BudgetShare(const BudgetShare&) = delete;
  BudgetShare& operator=(const BudgetShare&) = delete;

  /// Sets the bytes that the holder has.
  /// @return false if all holders together have more than the budget, or all owners more than the
  /// common one.
  bool Set(std::uint64_t aBytes)
  {
    m_budget.Change(std::exchange(m_bytes, aBytes), aBytes);
    return m_budget.HasRoom(0);
  }
  /// @return the bytes that the holder has.
  std::uint64_t Bytes() const { return m_bytes; }

private:
  ByteBudget& m_budget;
  std::uint64_t m_bytes = 0;
};

} // namespace sequoiastep::net
