/// @file
/// The memory that requests and answers may take on the calls thread, by owner.
#pragma once

#include "ByteBudget.h"
#include "Frame.h"
#include "Settings.h"

#include <cstdint>
#include <limits>
#include <memory>

namespace sequoiastep::node {

/// One budget that all owners have in common. The server for callers counts what it holds against
/// it as well. Use on the calls thread only.
struct NodeBudget
{
  explicit NodeBudget(const Limits& aLimits)
    : m_all(std::make_shared<net::ByteBudget>(net::ByteBudget{ .m_max = MaxCommonBytes(aLimits) }))
  {
    m_targets->m_common = m_all;
    m_links->m_common = m_all;
    m_bodies.m_common = m_all;
  }

  static constexpr std::uint64_t kUnbounded = std::numeric_limits<std::uint64_t>::max() / 8;
  /// A body is held as received, as a call and as it is sent to the target.
  static constexpr std::uint64_t kCopiesOfBody = 3;

  std::shared_ptr<net::ByteBudget> m_all;
  /// Answers that are being received from the target beside this node.
  std::shared_ptr<net::ByteBudget> m_targets =
    std::make_shared<net::ByteBudget>(net::ByteBudget{ .m_max = kUnbounded });
  /// What is queued for other nodes, and incomplete frames of theirs.
  std::shared_ptr<net::ByteBudget> m_links =
    std::make_shared<net::ByteBudget>(net::ByteBudget{ .m_max = kUnbounded });
  /// Large request bodies that other nodes send to this one.
  net::ByteBudget m_bodies{ .m_max = kUnbounded, .m_copies = kCopiesOfBody };

  /// @return true if the body of aBytes that another node announces may be received: there is room
  /// for it, or it is the only one.
  bool MayReceiveBody(std::uint64_t aBytes) const
  {
    return aBytes <= wire::kMaxFramePayloadBytes &&
           (m_bodies.m_used == 0 || m_bodies.HasRoom(aBytes));
  }
};

} // namespace sequoiastep::node
