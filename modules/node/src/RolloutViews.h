/// @file
/// Adds rollouts to the routing view: which targets of each service may get requests, by version.
#pragma once

#include "Controller.h"
#include "SharedState.h"
#include "VersionSplit.h"

#include <map>
#include <optional>
#include <string>

namespace sequoiastep::node {

/// What this node knows of the versions of all services. Used on the control thread only.
struct RolloutViews
{
  /// Largest share of a service's requests that a trial may get.
  double m_share = 0;
  std::map<std::string, rollout::VersionHistory, std::less<>> m_histories;
  /// When the view has to be made again although nothing changed.
  std::optional<Instant> m_reviewAt;
};

/// Splits the candidates of each service in aView by version, and adds the rollouts.
void
AddRollouts(RolloutViews& aViews,
            RoutingView& aView,
            const distribution::Controller& aController,
            Instant aNow);

/// @return the version that all requests of aService may go to; empty if it is not known.
std::string
EstablishedVersion(const RolloutViews& aViews, std::string_view aService);

} // namespace sequoiastep::node
