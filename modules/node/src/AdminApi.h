/// @file
/// The administration interface under /admin/v1/.
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

/// Runs on the control thread only.
class AdminApi
{
public:
  /// What the interface may ask of the rest of the node.
  struct Hooks
  {
    std::function<void(distribution::Event)> m_feed;
    /// Gives the metrics of the calls thread.
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
  /// Answers a request to the address for metrics.
  net::Awaitable<net::HttpResponse> HandleMetrics(net::HttpRequest aRequest);
  /// Takes the controller's answer to a publish request.
  void AnswerPublish(const distribution::AnswerPublish& aAnswer);

private:
  struct WaitingRequest;

  bool IsAllowed(const net::HttpRequest& aRequest) const;
  net::Awaitable<net::HttpResponse> Publish(net::HttpRequest aRequest);
  net::HttpResponse GetConfig(const net::HttpRequest& aRequest) const;
  net::HttpResponse GetStatus() const;
  net::HttpResponse GetMembers() const;
  net::Awaitable<net::HttpResponse> GetMetrics() const;

  net::asio::io_context& m_context;
  const Settings& m_settings;
  const ControlPlane& m_controlPlane;
  Hooks m_hooks;
  std::map<std::uint64_t, WaitingRequest*> m_waiting;
  std::uint64_t m_nextRequest = 1;
};

} // namespace sequoiastep::node
