/// @file
/// The duty of the control thread: drives the controller, its links, the log and the admin
/// interface.
#pragma once

#include "AdminApi.h"
#include "AsioTypes.h"
#include "Controller.h"
#include "HttpServer.h"
#include "LogClient.h"
#include "Mailbox.h"
#include "OperatorSource.h"
#include "PeerLinks.h"
#include "Settings.h"
#include "Shared.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sequoiastep::node {

/// Everything here runs on the control thread, but for the constructor, Post and the destructor.
class ControlDuty
{
public:
  ControlDuty(net::asio::io_context& aContext,
              const Settings& aSettings,
              std::uint64_t aIncarnation,
              Shared& aShared,
              PeerLinks::OnCallSocket aOnCallSocket);

  /// Opens the peer and admin ports.
  /// @return the identity with the bound peer address, or PortInUse.
  Result<Identity> Listen();
  /// Starts the controller; call after Listen.
  void Start(AdminApi::Hooks aHooks);
  /// Hands an event over from any thread; a full ring is counted and logged.
  void Post(distribution::Event aEvent);
  /// Steps the controller.
  void Feed(distribution::Event aEvent);
  void Stop();
  /// @return the log's client; call after Start.
  platform::LogClient& Log() { return *m_log; }
  /// @return true if callers may send their requests to this node.
  bool TakesCalls() const;
  /// @return the controller, for status answers.
  const distribution::Controller& State() const;
  /// @return bytes of control messages so far.
  ControlBytes Bytes() const;
  /// @return counts of the log client.
  platform::LogClientCounts LogCounts() const;
  /// @return Prometheus text of the log client.
  std::string LogMetricsText() const;

private:
  struct Perform;

  Result<void> ListenForMetrics();
  std::string Stream(std::string_view aName) const;
  net::Awaitable<void> TickLoop();
  void RefreshView();

  net::asio::io_context& m_context;
  const Settings& m_settings;
  std::uint64_t m_incarnation;
  Shared& m_shared;
  PeerLinks m_links;
  Mailbox<distribution::Event> m_mailbox;
  std::unique_ptr<platform::LogClient> m_log;
  std::unique_ptr<OperatorSource> m_operator;
  std::unique_ptr<AdminApi> m_admin;
  std::unique_ptr<net::HttpServer> m_adminServer;
  /// None if the settings name no address for it.
  std::unique_ptr<net::HttpServer> m_metricsServer;
  std::optional<distribution::Controller> m_controller;
  bool m_stopped = false;
};

} // namespace sequoiastep::node
