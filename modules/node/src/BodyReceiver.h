/// @file
/// Receives the bodies of calls that other nodes send in chunks.
#pragma once

#include "AsioTypes.h"
#include "BodyIntake.h"
#include "Messages_generated.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sequoiastep::node {

/// Identifies a call among those of all links to this node.
struct InboundCallId
{
  std::uint64_t m_link = 0;
  std::uint64_t m_call = 0;

  auto operator<=>(const InboundCallId&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Grants the senders of bodies what the host's link carries. Use on the calls thread only.
class BodyReceiver
{
public:
  /// Sends a frame to the node that sends the body.
  using SendFrame = std::function<void(std::string aFrame)>;

  BodyReceiver(net::asio::io_context& aContext, const routing::IntakeOptions& aOptions);

  /// Receives the body that aCall announces and puts it into aCall. Cancelling the coroutine drops
  /// the body.
  /// @return false if the body was not complete when the call's timeout ended.
  net::Awaitable<bool> Receive(InboundCallId aId, wire::CallT& aCall, SendFrame aSend);
  /// Adds the next bytes of a body. A body that no call expects, or of which more was sent than was
  /// granted, is dropped.
  void AddChunk(InboundCallId aId, const wire::BodyChunkT& aChunk);
  /// Grants what is free of the link. Call it from time to time.
  void SendGrants();
  /// @return the estimated time in milliseconds until a body of aSize bytes would be complete.
  std::uint32_t TransferMs(std::uint64_t aSize) const;
  /// @return the number of bodies that are being received.
  std::size_t Count() const;

private:
  struct PendingBody;

  net::asio::io_context& m_context;
  routing::BodyIntake m_intake;
  std::uint64_t m_nextTransfer = 1;
  std::map<InboundCallId, PendingBody*> m_pending;
  std::map<std::uint64_t, PendingBody*> m_byTransfer;
};

} // namespace sequoiastep::node
