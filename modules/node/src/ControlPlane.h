/// @file
/// The control plane of a node: runs the controller, the links to peers, the log client and the
/// admin interface on the control thread.
#pragma once

#include "AdminApi.h"
#include "AsioTypes.h"
#include "Controller.h"
#include "HttpServer.h"
#include "LogClient.h"
#include "Mailbox.h"
#include "OperatorConfigSource.h"
#include "PeerLinks.h"
#include "RolloutStatusWriter.h"
#include "RolloutViews.h"
#include "Settings.h"
#include "SharedState.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sequoiastep::node {

/// What the control thread tells the call path about the target beside this node.
struct TargetHooks
{
  /// A peer holds the departure of the request.
  std::function<void(const distribution::DepartureKept&)> m_departureKept;
  /// A peer sent what it remembers of this node.
  std::function<void(const distribution::OwnEntryRecalled&)> m_ownEntryRecalled;
};

/// Used on the control thread only, except for the constructor, the destructor and Post.
class ControlPlane
{
public:
  ControlPlane(net::asio::io_context& aContext,
               const Settings& aSettings,
               std::uint64_t aIncarnation,
               SharedState& aShared,
               PeerLinks::OnCallSocket aOnCallSocket);

  /// Opens the peer, admin and, if configured, metrics ports.
  /// @return the identity with the bound peer address, or PortInUse.
  Result<Identity> Listen();
  /// Starts the controller; call after Listen.
  void Start(AdminApi::Hooks aHooks, TargetHooks aTargetHooks);
  /// Queues an event for the control thread; callable from any thread. If the queue is full, the
  /// event is dropped, counted and logged.
  void Post(distribution::Event aEvent);
  /// Passes an event to the controller and performs the resulting actions.
  void Feed(distribution::Event aEvent);
  void Stop();
  /// @return the log client; call after Start.
  platform::LogClient& Log() { return *m_log; }
  /// @return true if callers may send requests to this node: it is ready, not draining, and has a
  /// configuration.
  bool AcceptsCalls() const;
  /// @return the controller, for status responses.
  const distribution::Controller& ControllerState() const;
  /// @return bytes of control messages sent and received so far.
  ControlBytes Bytes() const;
  /// @return the log client's counters.
  platform::LogClientCounts LogCounts() const;
  /// @return number of orders for rollouts that this node could not read.
  std::uint64_t RefusedRolloutOrders() const;
  /// @return the log client's metrics in Prometheus text format.
  std::string LogMetricsText() const;
  /// @return how often accepting peers waited because too many had yet to send a Hello.
  std::uint64_t HandshakeWaits() const;

private:
  struct ActionVisitor;

  Result<void> ListenForMetrics();
  std::string TopicName(std::string_view aName) const;
  net::Awaitable<void> TickLoop();
  void StartOperatorSource();
  void FeedFromStore(distribution::Event aEvent);
  void RefreshRoutingView();

  net::asio::io_context& m_context;
  const Settings& m_settings;
  std::uint64_t m_incarnation;
  SharedState& m_shared;
  PeerLinks m_links;
  Mailbox<distribution::Event> m_mailbox;
  std::unique_ptr<platform::LogClient> m_log;
  std::unique_ptr<OperatorConfigSource> m_operatorSource;
  /// Both only if the settings have rollouts.
  std::unique_ptr<RolloutStatusWriter> m_statusWriter;
  std::optional<RolloutViews> m_rolloutViews;
  std::unique_ptr<AdminApi> m_admin;
  std::unique_ptr<net::HttpServer> m_adminServer;
  /// Null if the settings have no metrics address.
  std::unique_ptr<net::HttpServer> m_metricsServer;
  std::optional<distribution::Controller> m_controller;
  TargetHooks m_targetHooks;
  bool m_stopped = false;
};

} // namespace sequoiastep::node
