/// @file
/// The administration HTTP interface under /admin/v1/.
#pragma once

#include "AsioTypes.h"
#include "Events.h"
#include "Settings.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sequoiastep::node {

class ControlPlane;

/// Used on the control thread only.
class AdminApi
{
public:
  /// Callbacks into the rest of the node.
  struct Hooks
  {
    /// Passes an event to the controller.
    std::function<void(distribution::Event)> m_feed;
    /// Returns the metrics of the calls thread, in Prometheus text format.
    std::function<net::Awaitable<std::string>()> m_callMetrics;
    /// Starts a graceful stop.
    std::function<void()> m_drain;
  };

  AdminApi(net::asio::io_context& aContext,
           const Settings& aSettings,
           const ControlPlane& aControlPlane,
           Hooks aHooks);
  ~AdminApi();

  /// Answers one request.
  net::Awaitable<net::HttpResponse> Handle(net::HttpRequest aRequest);
  /// Answers a request to the separate metrics address.
  net::Awaitable<net::HttpResponse> HandleMetrics(net::HttpRequest aRequest);
  /// Completes the publish request that aAnswer belongs to; ignored if that no longer waits.
  void CompletePublish(const distribution::AnswerPublish& aAnswer);

private:
  struct PendingPublish;

  bool IsAuthorized(const net::HttpRequest& aRequest) const;
  net::Awaitable<net::HttpResponse> Publish(net::HttpRequest aRequest);
  net::HttpResponse GetConfig(const net::HttpRequest& aRequest) const;
  net::HttpResponse GetStatus() const;
  net::HttpResponse GetMembers() const;
  net::HttpResponse GetRollouts() const;
  net::Awaitable<net::HttpResponse> GetMetrics() const;

  net::asio::io_context& m_context;
  const Settings& m_settings;
  const ControlPlane& m_controlPlane;
  Hooks m_hooks;
  std::map<std::uint64_t, PendingPublish*> m_pending;
  std::uint64_t m_nextRequest = 1;
};

} // namespace sequoiastep::node
