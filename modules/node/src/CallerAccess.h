/// @file
/// Authenticates requests of callers by the key of their workspace.
#pragma once

#include "AsioTypes.h"
#include "Documents.h"

#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep::node {

/// Why a request is refused.
struct AccessRefusal
{
  std::string_view m_reason;
  /// Stands for the key that was sent; empty if there was not exactly one.
  std::string m_keyFingerprint;
};

/// Removes the workspace's key and any workspace name that the caller sent from aRequest, and sets
/// the name of the workspace that the key authenticates. A request needs a key if the configuration
/// has workspaces and its route is not public.
/// @return why the request must be refused, or nothing.
std::optional<AccessRefusal>
AuthenticateCaller(const config::EffectiveConfig& aConfig, net::HttpRequest& aRequest);

/// @return the workspace that AuthenticateCaller set; empty if there is none.
std::string_view
WorkspaceOf(const net::HttpRequest& aRequest);

/// @return what routes match in aRequest, which must outlive it.
config::RouteQuery
RouteQueryOf(const net::HttpRequest& aRequest);

/// @return the response to a refused request: 401, not run.
net::HttpResponse
MakeUnauthorized(const AccessRefusal& aRefusal);

} // namespace sequoiastep::node
