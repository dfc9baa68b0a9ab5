/// @file
/// HTTP interface for reports of the target beside this node: this project's announcement and the
/// platform's heartbeat.
#pragma once

#include "AsioTypes.h"
#include "TargetRecord.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace sequoiastep::node {

/// Holds the target's newest report and the time to live (TTL) of reports. Used on the calls thread
/// only.
class TargetApi
{
public:
  /// Called when the accepted report changes; nullopt if the report expired.
  using OnChange = std::function<void(const std::optional<routing::TargetReport>&)>;

  explicit TargetApi(OnChange aOnChange);

  /// Answers a request from the target.
  net::Awaitable<net::HttpResponse> Handle(net::HttpRequest aRequest);
  /// Applies what a health check found. Ignored if the target has reported itself, since its own
  /// report is more reliable.
  void HandleProbe(const routing::TargetReport& aReport);
  /// @return true if no target is known: none is current and none has left.
  bool HasNoReport() const;
  /// Drops the target's report if nothing was received for longer than its TTL.
  void ExpireReport(Instant aNow);

private:
  net::HttpResponse HandleAnnouncement(const std::string& aBody);
  net::HttpResponse HandleHeartbeat(const std::string& aId, const std::string& aBody);
  net::HttpResponse HandleDeregister(const std::string& aId, const std::string& aBody);
  void ApplyReport(const routing::TargetReport& aReport);
  net::HttpResponse Reject(const std::string& aProblem);

  OnChange m_onChange;
  routing::TargetRecord m_record;
  Milliseconds m_ttlMs = 0;
  std::uint64_t m_announcements = 0;
  std::uint64_t m_rejectedReports = 0;
};

} // namespace sequoiastep::node
