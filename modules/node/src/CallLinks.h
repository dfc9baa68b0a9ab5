/// @file
/// Links that carry calls to other nodes, many at once on each; answers are matched by call id.
#pragma once

#include "AsioTypes.h"
#include "FrameConnection.h"
#include "PeerLinks.h"
#include "SharedState.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sequoiastep::node {

/// How a call to another node ended.
struct CallReply
{
  enum class Kind
  {
    Answered,
    /// The node could not be reached: nothing of the call was sent.
    NotSent,
    /// The link broke, or fell silent, after the call was sent.
    LinkBroken,
    /// No answer came in time.
    TimedOut,
  };

  Kind m_kind = Kind::NotSent;
  wire::AnswerT m_answer;
};

/// Runs on the calls thread only.
class CallLinks
{
public:
  CallLinks(net::asio::io_context& aContext, Identity aIdentity, SharedState& aShared);

  /// Sends aCall to the node at aAddress and waits for its answer. A cancelled coroutine sends a
  /// Cancel after the call.
  /// @param aTimeoutMs bound for all of it.
  net::Awaitable<CallReply> Call(std::string aNode,
                                 std::string aAddress,
                                 wire::CallT aCall,
                                 std::int64_t aTimeoutMs);
  /// Closes the links to nodes that are in no service any more and carry no call.
  void CloseIdle(const RoutingView& aView);
  void Stop();
  /// @return open links.
  std::size_t Open() const;

private:
  struct Pending;
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;

  net::Awaitable<void> Connect(LinkPtr aLink, std::string aNode, std::string aAddress);
  net::Awaitable<LinkPtr> Ready(std::string aNode, std::string aAddress, std::int64_t aTimeoutMs);
  void Receive(const LinkPtr& aLink, wire::EnvelopeT aMessage);
  void Break(const LinkPtr& aLink, const std::string& aNode);
  net::Awaitable<void> Wait(LinkPtr aLink, Milliseconds aMostMs);
  static void Wake(Link& aLink);
  static void NoteBytes(Link& aLink, Instant aNow);
  static void Ask(Link& aLink);
  net::Awaitable<bool> Prove(LinkPtr aLink);
  static void EndAsBroken(Pending& aCall);
  static bool IsWatched(const Link& aLink);
  void GiveUp(const std::string& aNode, const LinkPtr& aLink);
  net::Awaitable<void> WatchLoop();
  void ReviewLinks(Instant aNow);

  net::asio::io_context& m_context;
  Identity m_identity;
  SharedState& m_shared;
  std::map<std::string, LinkPtr, std::less<>> m_links;
  std::uint64_t m_nextId = 1;
  bool m_watching = false;
  bool m_stopped = false;
};

} // namespace sequoiastep::node
