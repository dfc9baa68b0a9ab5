/// @file
/// The HTTP interface by which the target beside the node reports itself: the project's own
/// announcement and the platform's heartbeat.
#pragma once

#include "AsioTypes.h"
#include "TargetRecord.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace sequoiastep::node {

/// Keeps the target's newest report and its time to live. Runs on the calls thread only.
class TargetApi
{
public:
  /// Runs when what is believed of the target changed; nothing if it is lost.
  using OnChange = std::function<void(const std::optional<routing::TargetReport>&)>;

  explicit TargetApi(OnChange aOnChange);

  /// Answers a request of the target.
  net::Awaitable<net::HttpResponse> Handle(net::HttpRequest aRequest);
  /// Takes what a health check showed; a target that reported itself is known better.
  void TakeProbe(const routing::TargetReport& aReport);
  /// @return true if nothing is known of a target.
  bool KnowsNothing() const;
  /// Drops the target if it was silent beyond its time to live.
  void Review(Instant aNow);

private:
  net::HttpResponse TakeAnnouncement(const std::string& aBody);
  net::HttpResponse TakeHeartbeat(const std::string& aId, const std::string& aBody);
  net::HttpResponse TakeLeaving(const std::string& aId, const std::string& aBody);
  void Believe(const routing::TargetReport& aReport);
  net::HttpResponse Reject(const std::string& aProblem);

  OnChange m_onChange;
  routing::TargetRecord m_record;
  Milliseconds m_ttlMs = 0;
  std::uint64_t m_announcements = 0;
  std::uint64_t m_rejected = 0;
};

} // namespace sequoiastep::node
