/// @file
/// The HTTP interface by which the target beside the node announces itself.
#pragma once

#include "AsioTypes.h"
#include "TargetRunner.h"

#include <functional>
#include <optional>
#include <string>

namespace sequoiastep::node {

/// Keeps the target's announcement and its time to live. Runs on the calls thread only.
class TargetApi
{
public:
  /// Runs when the announcement changed; nothing if the target is lost.
  using OnChange = std::function<void(const std::optional<TargetAnnouncement>&)>;

  explicit TargetApi(OnChange aOnChange);

  /// Answers a request of the target.
  net::Awaitable<net::HttpResponse> Handle(net::HttpRequest aRequest);
  /// Drops the target if it was silent beyond its time to live.
  void Review(Instant aNow);

private:
  net::HttpResponse TakeAnnouncement(const std::string& aBody);

  OnChange m_onChange;
  std::optional<TargetAnnouncement> m_target;
  Instant m_heardAt;
};

} // namespace sequoiastep::node
