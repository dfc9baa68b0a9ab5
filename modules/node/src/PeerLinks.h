/// @file
/// Connections between nodes as the control thread sees them: accepting, dialling, greeting.
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

/// Who this node says it is.
struct Identity
{
  std::string m_mesh;
  std::string m_node;
  std::uint64_t m_incarnation = 0;
  std::string m_address;
  std::string m_region;
  std::string m_failureDomain;
};

/// @return the greeting of a connection for aPurpose.
wire::EnvelopeT
MakeHello(const Identity& aIdentity, wire::Purpose aPurpose);

/// Connects and greets.
/// @param aHello receives the peer's greeting.
/// @return the connection, or nullptr if it failed or the peer is of another mesh.
net::Awaitable<std::unique_ptr<net::FrameConnection>>
DialPeer(net::asio::io_context& aContext,
         const Identity& aIdentity,
         std::string aAddress,
         wire::Purpose aPurpose,
         wire::HelloT& aHello);

/// Bytes of control messages, by where the peer is.
struct ControlBytes
{
  net::ByteCounts m_withinRegion;
  net::ByteCounts m_acrossRegions;
};

/// Runs on the control thread only.
class PeerLinks
{
public:
  using OnEvent = std::function<void(distribution::Event)>;
  /// Takes the descriptor of an accepted connection for calls.
  using OnCallSocket = std::function<void(int aDescriptor, wire::HelloT aHello)>;

  PeerLinks(net::asio::io_context& aContext, OnEvent aOnEvent, OnCallSocket aOnCallSocket);

  /// Starts to accept peers.
  /// @return the bound endpoint, or PortInUse.
  Result<net::tcp::endpoint> Listen(const net::tcp::endpoint& aEndpoint);
  /// Sets who this node is; call before the first connection.
  void SetIdentity(Identity aIdentity);
  /// @return this node's peer address.
  const std::string& Address() const { return m_identity.m_address; }
  void Open(const std::string& aAddress);
  void Close(const std::string& aNode);
  void Send(const std::string& aNode, const std::shared_ptr<const wire::EnvelopeT>& aMessage);
  /// Closes everything.
  void Stop();
  /// @return the bytes so far, of closed links too.
  ControlBytes Bytes() const;

private:
  struct Peer
  {
    std::shared_ptr<net::FrameConnection> m_connection;
    std::uint64_t m_incarnation = 0;
    std::string m_initiator;
    bool m_foreign = false;
  };

  net::Awaitable<void> AcceptLoop();
  net::Awaitable<void> Greet(net::tcp::socket aSocket);
  net::Awaitable<void> Dial(std::string aAddress);
  void Adopt(std::unique_ptr<net::FrameConnection> aConnection,
             const wire::HelloT& aHello,
             const std::string& aDialled);
  void Forget(const std::string& aNode);
  void CountBytes(const Peer& aPeer);

  net::asio::io_context& m_context;
  net::tcp::acceptor m_acceptor;
  OnEvent m_onEvent;
  OnCallSocket m_onCallSocket;
  Identity m_identity;
  std::map<std::string, Peer> m_peers;
  ControlBytes m_closedBytes;
  std::shared_ptr<const wire::EnvelopeT> m_encodedMessage;
  std::string m_encodedFrame;
  bool m_stopped = false;
};

} // namespace sequoiastep::node
