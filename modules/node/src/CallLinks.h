/// @file
/// Outbound links for calls to other nodes. Each link multiplexes many calls; answers are matched
/// by call id.
#pragma once

#include "AsioTypes.h"
#include "CallReply.h"
#include "FrameConnection.h"
#include "PeerLinks.h"
#include "SharedState.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiastep::node {

/// Nodes that this one tried to reach over call links lately, itself not included.
struct LinkSample
{
  /// Nodes with a working link.
  std::size_t m_heard = 0;
  /// Nodes that could not be reached, or fell silent, and have not been heard since.
  std::size_t m_silent = 0;
};

/// Opens links on demand and detects dead ones. Use on the calls thread only.
class CallLinks
{
public:
  /// @param aBudget counts what the links hold.
  CallLinks(net::asio::io_context& aContext,
            Identity aIdentity,
            SharedState& aShared,
            std::shared_ptr<net::ByteBudget> aBudget);

  /// Called when the peer of a call in progress fell silent.
  using OnSilent = std::function<void()>;

  /// Sends aCall to the node at aAddress and waits for its answer. If the coroutine is cancelled or
  /// the wait times out, the peer is sent a Cancel message. A silent peer does not end the wait,
  /// unless it can't have the whole request and the call may run only once.
  /// @param aTimeoutMs timeout of the wait for the answer, in milliseconds; it also bounds the wait
  /// for a link that is being opened.
  /// @param aOnSilent called once at most, while the wait goes on. May be empty.
  net::Awaitable<CallReply> Call(std::string aNode,
                                 std::string aAddress,
                                 wire::CallT aCall,
                                 std::int64_t aTimeoutMs,
                                 OnSilent aOnSilent = {});
  /// Sends a message that has no reply. It is dropped if no link can be opened in time.
  net::Awaitable<void> Notify(std::string aNode, std::string aAddress, wire::EnvelopeT aMessage);
  /// Asks the node at aAddress for tokens of a quota. It does not count as a call in progress.
  /// @param aTimeoutMs timeout in milliseconds, the time to open a link included.
  /// @return the reply, or nothing if none came in time.
  net::Awaitable<std::optional<wire::QuotaGrantT>> AskQuota(std::string aNode,
                                                            std::string aAddress,
                                                            wire::QuotaAskT aAsk,
                                                            Milliseconds aTimeoutMs);
  /// @return which nodes could be reached in the last seconds.
  LinkSample Sample(Instant aNow);
  /// This node stops: asks the nodes that calls were sent to for an answer by aAt, and limits later
  /// calls to that time.
  void ShortenCalls(Instant aAt);
  /// Ends the wait of all calls that have no answer yet, as if they had timed out.
  void EndWaits();
  /// Closes links that carry no call and whose node is a candidate of no service.
  void CloseIdle(const RoutingView& aView);
  /// Closes all links.
  void Stop();
  /// @return number of links, those being opened included.
  std::size_t LinkCount() const;

private:
  struct PendingCall;
  struct PendingAsk;
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;

  net::Awaitable<void> Connect(LinkPtr aLink, std::string aNode, std::string aAddress);
  net::Awaitable<LinkPtr> OpenLink(std::string aNode,
                                   std::string aAddress,
                                   std::int64_t aTimeoutMs);
  void Receive(const LinkPtr& aLink, wire::EnvelopeT aMessage);
  static void ReceiveGrant(Link& aLink, const wire::QuotaGrantT& aGrant);
  void StartLivenessLoop();
  void ForgetSilentNodes(Instant aNow);
  void HandleClosed(const LinkPtr& aLink, const std::string& aNode);
  net::Awaitable<void> WaitForWake(LinkPtr aLink, Milliseconds aMaxMs);
  static void WakeWaiters(Link& aLink);
  static void RecordReceivedBytes(Link& aLink, Instant aNow);
  static void SendProbe(Link& aLink);
  net::Awaitable<bool> ConfirmAlive(LinkPtr aLink);
  static void SendBody(Link& aLink, const wire::BodyGrantT& aGrant);
  static void FailCall(PendingCall& aCall);
  static bool NeedsLivenessCheck(const Link& aLink);
  void DropSilent(const std::string& aNode, const LinkPtr& aLink);
  net::Awaitable<void> LivenessLoop();
  void ReviewLinks(Instant aNow);

  net::asio::io_context& m_context;
  Identity m_identity;
  SharedState& m_shared;
  std::shared_ptr<net::ByteBudget> m_budget;
  std::map<std::string, LinkPtr, std::less<>> m_links;
  /// When a node was last found unreachable or silent; it has not been heard since.
  std::map<std::string, Instant, std::less<>> m_silentNodes;
  /// All calls that wait for an answer, also on links that were dropped.
  std::set<PendingCall*> m_waiting;
  /// This node needs all answers by then; none while it does not stop.
  std::optional<Instant> m_answerBy;
  std::uint64_t m_nextId = 1;
  bool m_livenessLoopRuns = false;
  bool m_stopped = false;
};

} // namespace sequoiastep::node
