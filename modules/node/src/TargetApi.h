/// @file
/// HTTP interface for reports of the target beside this node: this project's announcement and the
/// platform's heartbeat.
#pragma once

#include "AsioTypes.h"
#include "TargetRecord.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastep::node {

/// Holds the target's newest report and the time to live (TTL) of reports. Used on the calls thread
/// only.
class TargetApi
{
public:
  /// What it asks of the node.
  struct Hooks
  {
    /// The accepted report changed; nullopt if the report expired.
    std::function<void(const std::optional<routing::TargetReport>&)> m_onChange;
    /// Have another node hold a departure; answered by HandleDepartureKept with the same number.
    std::function<void(std::uint64_t aRequest, const Departure&)> m_keepDeparture;
    /// A health check is needed to confirm a report.
    std::function<void()> m_probe;
  };

  TargetApi(net::asio::io_context& aContext, Hooks aHooks);

  /// Answers a request from the target.
  net::Awaitable<net::HttpResponse> Handle(net::HttpRequest aRequest);
  /// Applies what a health check found. Ignored if the target has reported itself, since its own
  /// report is more reliable.
  void HandleProbe(const routing::TargetReport& aReport);
  /// @return true if a health check can tell more: no target is known, and none has left or a
  /// report waits for confirmation.
  bool NeedsProbe() const;
  /// @return true if a report waits for confirmation.
  bool HoldsReport() const;
  /// Another node holds the departure of the request.
  void HandleDepartureKept(std::uint64_t aRequest, const std::string& aNode);
  /// Applies what another node remembers; see routing::RecallDepartures.
  void RecallDepartures(const std::vector<Departure>& aDepartures, bool aComplete);
  /// Drops the target's report if nothing was received for longer than its TTL.
  void ExpireReport(Instant aNow);

private:
  net::HttpResponse HandleAnnouncement(const std::string& aBody);
  struct KeepWait;

  net::Awaitable<net::HttpResponse> HandleHeartbeat(std::string aId, std::string aBody);
  net::Awaitable<net::HttpResponse> HandleDeregister(std::string aId, std::string aBody);
  net::Awaitable<void> KeepDeparture(Departure aDeparture);
  routing::ReportOutcome ApplyReport(const routing::TargetReport& aReport);
  net::HttpResponse Reject(const std::string& aProblem);

  net::asio::io_context& m_context;
  Hooks m_hooks;
  routing::TargetRecord m_record;
  /// Targets that wait for the answer to their leaving, by request number.
  std::map<std::uint64_t, KeepWait*> m_keepWaits;
  std::uint64_t m_nextRequest = 1;
  Milliseconds m_ttlMs = 0;
  std::uint64_t m_announcements = 0;
  std::uint64_t m_rejectedReports = 0;
};

} // namespace sequoiastep::node
