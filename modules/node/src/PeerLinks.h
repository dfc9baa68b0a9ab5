/// @file
/// Control connections between nodes: accepting, dialling and the Hello handshake.
#pragma once

#include "AsioTypes.h"
#include "Events.h"
#include "FrameConnection.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sequoiastep::node {

/// What this node says of itself in its Hello message.
struct Identity
{
  std::string m_mesh;
  std::string m_node;
  std::uint64_t m_incarnation = 0;
  std::string m_address;
  std::string m_region;
  std::string m_failureDomain;
};

/// @return the Hello message that opens a connection for aPurpose.
wire::EnvelopeT
MakeHello(const Identity& aIdentity, wire::Purpose aPurpose);

/// Connects to a peer and exchanges Hello messages.
/// @param aHello receives the peer's Hello.
/// @return the connection, or nullptr if that failed, timed out or the peer belongs to another
/// mesh.
net::Awaitable<std::unique_ptr<net::FrameConnection>>
DialPeer(net::asio::io_context& aContext,
         const Identity& aIdentity,
         std::string aAddress,
         wire::Purpose aPurpose,
         wire::HelloT& aHello);

/// Bytes of control messages, by whether the peer is in this node's region.
struct ControlBytes
{
  net::ByteCounts m_withinRegion;
  net::ByteCounts m_acrossRegions;
};

/// Holds at most one control connection per peer. Used on the control thread only.
class PeerLinks
{
public:
  using OnEvent = std::function<void(distribution::Event)>;
  /// Receives the socket descriptor of an accepted connection for calls, and owns it from then on.
  /// The Hello has not been answered yet.
  using OnCallSocket = std::function<void(int aDescriptor, wire::HelloT aHello)>;

  /// @param aMaxHandshakes maximum number of accepted connections that have yet to say which node
  /// they come from; further ones wait.
  PeerLinks(net::asio::io_context& aContext,
            std::size_t aMaxHandshakes,
            OnEvent aOnEvent,
            OnCallSocket aOnCallSocket);

  /// Starts to accept connections from peers.
  /// @return the bound endpoint, or PortInUse.
  Result<net::tcp::endpoint> Listen(const net::tcp::endpoint& aEndpoint);
  /// Sets the identity sent in Hello messages; call before the first connection.
  void SetIdentity(Identity aIdentity);
  /// @return this node's peer address.
  const std::string& Address() const { return m_identity.m_address; }
  /// Dials aAddress. LinkOpened or ConnectFailed follows, unless a connection to the same peer is
  /// kept instead.
  void Open(const std::string& aAddress);
  /// Closes the connection to aNode without an event.
  void Close(const std::string& aNode);
  /// Sends a message, or drops it if there is no connection to aNode.
  void Send(const std::string& aNode, const std::shared_ptr<const wire::EnvelopeT>& aMessage);
  /// Stops accepting and closes all connections.
  void Stop();
  /// @return how often accepting waited because too many connections had yet to say which node they
  /// come from.
  std::uint64_t HandshakeWaits() const { return m_handshakeWaits; }
  /// @return the bytes so far, including those of closed connections.
  ControlBytes Bytes() const;

private:
  struct Peer
  {
    std::shared_ptr<net::FrameConnection> m_connection;
    std::uint64_t m_incarnation = 0;
    /// Name of the node that dialled.
    std::string m_initiator;
    /// The peer is in another region than this node.
    bool m_otherRegion = false;
  };

  net::Awaitable<void> AcceptLoop();
  net::Awaitable<void> HandleAccepted(net::tcp::socket aSocket);
  net::Awaitable<void> Dial(std::string aAddress);
  void AddPeer(std::unique_ptr<net::FrameConnection> aConnection,
               const wire::HelloT& aHello,
               const std::string& aDialledAddress);
  void RemovePeer(const std::string& aNode);
  void AddToClosedBytes(const Peer& aPeer);

  net::asio::io_context& m_context;
  net::tcp::acceptor m_acceptor;
  std::size_t m_maxHandshakes;
  /// Accepted connections that have yet to say which node they come from.
  std::size_t m_handshakes = 0;
  OnEvent m_onEvent;
  OnCallSocket m_onCallSocket;
  Identity m_identity;
  std::map<std::string, Peer> m_peers;
  ControlBytes m_closedBytes;
  std::uint64_t m_handshakeWaits = 0;
  /// The message sent last and its frame, so that a message to many peers is encoded once.
  std::shared_ptr<const wire::EnvelopeT> m_lastEncodedMessage;
  std::string m_lastEncodedFrame;
  bool m_stopped = false;
};

} // namespace sequoiastep::node
