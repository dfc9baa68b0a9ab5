#include "PeerLinks.h"

#include "Acceptor.h"
#include "Address.h"
#include "Clock.h"
#include "Log.h"

#include <chrono>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace asio = net::asio;
using net::Awaitable;
using net::kAsTuple;
using net::tcp;

namespace {

constexpr std::int64_t kConnectTimeoutMs = 1000;
constexpr std::int64_t kHandshakeTimeoutMs = 1500;
constexpr std::int64_t kAcceptRetryDelayMs = 50;

// Connects within kConnectTimeoutMs. Returns nullopt on failure.
Awaitable<std::optional<tcp::socket>>
Connect(asio::io_context& aContext, tcp::endpoint aEndpoint)
{
  auto socket = std::make_shared<tcp::socket>(aContext);
  asio::steady_timer timer(aContext, std::chrono::milliseconds(kConnectTimeoutMs));
  timer.async_wait([socket](const net::error_code& aError) {
    net::error_code ignored;
    if (!aError) {
      socket->close(ignored);
    }
  });
  const auto [error] = co_await socket->async_connect(aEndpoint, kAsTuple);
  timer.cancel();
  if (error || !socket->is_open()) {
    co_return std::nullopt;
  }
  co_return std::optional<tcp::socket>(std::move(*socket));
}

bool
IsAcceptableHello(const Identity& aIdentity, const wire::EnvelopeT& aMessage)
{
  if (aMessage.body.type != wire::Body::Hello) {
    return false;
  }
  const wire::HelloT& hello = *aMessage.body.AsHello();
  if (hello.mesh != aIdentity.m_mesh) {
    LogLine(LogLevel::Warning, "peer_of_another_mesh")
      .Add("mesh", hello.mesh)
      .Add("peer", hello.node)
      .Add("remedy", "check mesh and peer.hints in the settings of both nodes");
    return false;
  }
  return !hello.node.empty();
}

} // namespace

wire::EnvelopeT
MakeHello(const Identity& aIdentity, wire::Purpose aPurpose)
{
  wire::HelloT hello;
  hello.mesh = aIdentity.m_mesh;
  hello.node = aIdentity.m_node;
  hello.incarnation = aIdentity.m_incarnation;
  hello.purpose = aPurpose;
  hello.address = aIdentity.m_address;
  hello.region = aIdentity.m_region;
  hello.failure_domain = aIdentity.m_failureDomain;
  hello.format = wire::kFrameFormat;
  hello.sent_ms = Clock::Now().m_ms;
  return wire::MakeEnvelope(std::move(hello));
}

Awaitable<std::unique_ptr<net::FrameConnection>>
DialPeer(asio::io_context& aContext,
         const Identity& aIdentity,
         std::string aAddress,
         wire::Purpose aPurpose,
         wire::HelloT& aHello)
{
  const tcp::endpoint endpoint = Handle([&] { return net::ParseAddress(aAddress); },
                                        [](const Error&) { return tcp::endpoint(); });
  std::optional<tcp::socket> socket = co_await Connect(aContext, endpoint);
  if (!socket) {
    co_return nullptr;
  }
  auto connection = std::make_unique<net::FrameConnection>(std::move(*socket));
  connection->Send(wire::EncodeFrame(MakeHello(aIdentity, aPurpose)));
  wire::EnvelopeT answer;
  const bool received = co_await connection->ReceiveOne(answer, kHandshakeTimeoutMs);
  if (!received || !IsAcceptableHello(aIdentity, answer)) {
    co_return nullptr;
  }
  aHello = *answer.body.AsHello();
  co_return connection;
}

PeerLinks::PeerLinks(asio::io_context& aContext,
                     std::size_t aMaxHandshakes,
                     OnEvent aOnEvent,
                     OnCallSocket aOnCallSocket)
  : m_context(aContext)
  , m_acceptor(aContext)
  , m_maxHandshakes(aMaxHandshakes)
  , m_onEvent(std::move(aOnEvent))
  , m_onCallSocket(std::move(aOnCallSocket))
{
}

void
PeerLinks::SetIdentity(Identity aIdentity)
{
  m_identity = std::move(aIdentity);
}

Result<tcp::endpoint>
PeerLinks::Listen(const tcp::endpoint& aEndpoint)
{
  BOOST_LEAF_AUTO(bound, net::OpenAcceptor(m_acceptor, aEndpoint));
  asio::co_spawn(m_context, AcceptLoop(), asio::detached);
  return bound;
}

Awaitable<void>
PeerLinks::AcceptLoop()
{
  while (!m_stopped) {
    if (m_handshakes >= m_maxHandshakes) {
      ++m_handshakeWaits;
      LogLine(LogLevel::Warning, "peer_handshakes_full", "wait")
        .Add("reason", "too many connections to the port for nodes have yet to send a Hello")
        .Add("handshakes", m_handshakes);
      asio::steady_timer retryTimer(m_context, std::chrono::milliseconds(kAcceptRetryDelayMs));
      co_await retryTimer.async_wait(kAsTuple);
      continue;
    }
    auto [error, socket] = co_await m_acceptor.async_accept(kAsTuple);
    if (m_stopped || error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      asio::steady_timer retryTimer(m_context, std::chrono::milliseconds(kAcceptRetryDelayMs));
      co_await retryTimer.async_wait(kAsTuple);
      continue;
    }
    asio::co_spawn(m_context, HandleAccepted(std::move(socket)), asio::detached);
  }
}

Awaitable<void>
PeerLinks::HandleAccepted(tcp::socket aSocket)
{
  auto connection = std::make_unique<net::FrameConnection>(std::move(aSocket));
  wire::EnvelopeT message;
  ++m_handshakes;
  const bool received = co_await connection->ReceiveOne(message, kHandshakeTimeoutMs);
  --m_handshakes;
  if (!received || !IsAcceptableHello(m_identity, message) || m_stopped) {
    co_return;
  }
  wire::HelloT hello = *message.body.AsHello();
  if (hello.purpose == wire::Purpose::Calls) {
    // The calls thread answers the Hello. The dialling node sends nothing before that answer, so no
    // bytes are lost in the handover.
    m_onCallSocket(connection->Release(), std::move(hello));
    co_return;
  }
  connection->Send(wire::EncodeFrame(MakeHello(m_identity, wire::Purpose::Control)));
  AddPeer(std::move(connection), hello, {});
}

void
PeerLinks::Open(const std::string& aAddress)
{
  asio::co_spawn(m_context, Dial(aAddress), asio::detached);
}

Awaitable<void>
PeerLinks::Dial(std::string aAddress)
{
  wire::HelloT hello;
  auto connection =
    co_await DialPeer(m_context, m_identity, aAddress, wire::Purpose::Control, hello);
  if (m_stopped) {
    co_return;
  }
  if (!connection || hello.node == m_identity.m_node) {
    m_onEvent(distribution::ConnectFailed{ .m_address = aAddress });
    co_return;
  }
  AddPeer(std::move(connection), hello, aAddress);
}

// Two nodes may dial each other at the same time. Both keep the connection dialled by the node with
// the smaller name, and so the same one. Of two connections dialled by the same node, the newer is
// kept.
void
PeerLinks::AddPeer(std::unique_ptr<net::FrameConnection> aConnection,
                   const wire::HelloT& aHello,
                   const std::string& aDialledAddress)
{
  const std::string node = aHello.node;
  const std::string& initiator = aDialledAddress.empty() ? node : m_identity.m_node;
  const std::string& preferred = std::min(node, m_identity.m_node);
  const auto existing = m_peers.find(node);
  const bool keepExisting = existing != m_peers.end() && existing->second.m_connection->IsOpen() &&
                            existing->second.m_incarnation == aHello.incarnation &&
                            existing->second.m_initiator == preferred && initiator != preferred;
  if (keepExisting) {
    return;
  }
  RemovePeer(node);
  Peer peer{ .m_connection = std::move(aConnection),
             .m_incarnation = aHello.incarnation,
             .m_initiator = initiator,
             .m_otherRegion = aHello.region != m_identity.m_region };
  const auto connection = peer.m_connection;
  m_peers.emplace(node, std::move(peer));
  connection->Start(
    [this, node](wire::EnvelopeT aMessage) {
      m_onEvent(distribution::MessageReceived{ .m_node = node, .m_message = std::move(aMessage) });
    },
    [this, node](const std::string& aReason) {
      RemovePeer(node);
      if (!m_stopped) {
        LogLine(LogLevel::Info, "peer_link_lost", aReason).Add("peer", node).Add("reason", aReason);
        m_onEvent(distribution::LinkClosed{ .m_node = node });
      }
    });
  LogLine(LogLevel::Info, "peer_link_opened", {})
    .Add("peer", node)
    .Add("dialled", aDialledAddress.empty() ? "no" : "yes");
  m_onEvent(distribution::LinkOpened{ .m_node = node,
                                      .m_address =
                                        aDialledAddress.empty() ? aHello.address : aDialledAddress,
                                      .m_region = aHello.region,
                                      .m_outbound = !aDialledAddress.empty() });
}

void
PeerLinks::AddToClosedBytes(const Peer& aPeer)
{
  net::ByteCounts& total =
    aPeer.m_otherRegion ? m_closedBytes.m_acrossRegions : m_closedBytes.m_withinRegion;
  total.m_sent += aPeer.m_connection->Bytes().m_sent;
  total.m_received += aPeer.m_connection->Bytes().m_received;
}

void
PeerLinks::RemovePeer(const std::string& aNode)
{
  const auto found = m_peers.find(aNode);
  if (found == m_peers.end()) {
    return;
  }
  AddToClosedBytes(found->second);
  found->second.m_connection->Close();
  m_peers.erase(found);
}

void
PeerLinks::Close(const std::string& aNode)
{
  RemovePeer(aNode);
}

void
PeerLinks::Send(const std::string& aNode, const std::shared_ptr<const wire::EnvelopeT>& aMessage)
{
  const auto found = m_peers.find(aNode);
  if (found == m_peers.end()) {
    return;
  }
  if (m_lastEncodedMessage != aMessage) { // Flooding sends one message to many peers in a row.
    m_lastEncodedMessage = aMessage;
    m_lastEncodedFrame = wire::EncodeFrame(*aMessage);
  }
  found->second.m_connection->Send(m_lastEncodedFrame);
}

void
PeerLinks::Stop()
{
  m_stopped = true;
  net::error_code ignored;
  m_acceptor.close(ignored);
  for (auto& [node, peer] : m_peers) {
    peer.m_connection->Close();
  }
}

ControlBytes
PeerLinks::Bytes() const
{
  ControlBytes bytes = m_closedBytes;
  for (const auto& [node, peer] : m_peers) {
    net::ByteCounts& total = peer.m_otherRegion ? bytes.m_acrossRegions : bytes.m_withinRegion;
    total.m_sent += peer.m_connection->Bytes().m_sent;
    total.m_received += peer.m_connection->Bytes().m_received;
  }
  return bytes;
}

} // namespace sequoiastep::node
