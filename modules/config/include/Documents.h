/// @file
/// Configuration documents: the base, one overlay per region, and the effective configuration built
/// from them.
#pragma once

#include "Error.h"
#include "Workspaces.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::config {

/// Largest publication and largest set of documents, in bytes of JSON text.
constexpr std::size_t kMaxDocumentBytes = 4U << 20;
/// Deepest nesting accepted in a document.
constexpr std::size_t kMaxDocumentDepth = 32;

/// Whether a request may be run more than once.
enum class Repeat
{
  Never,
  Safe,
};

/// @return the name of aRepeat in documents.
std::string_view
NameOf(Repeat aRepeat);
/// @return the value named aName in documents, or nothing.
std::optional<Repeat>
ParseRepeat(std::string_view aName);

/// Settings of one service.
struct Service
{
  std::string m_name;
  /// Most requests that wait at one target for a free slot.
  std::uint32_t m_queueLimit = 0;
  /// Longest wait in that queue, in milliseconds.
  std::uint32_t m_queueTimeoutMs = 0;
  /// HTTP path at which a target reports its id and its health; empty if it has none.
  std::string m_healthPath;
};

/// A destination of routes: the targets of one service.
struct Cluster
{
  std::string m_name;
  std::string m_service;
  /// Whether calls may go to another region when this region has no target.
  bool m_crossRegion = true;
};

/// A cluster's share of a route's requests.
struct WeightedCluster
{
  std::string m_cluster;
  std::uint32_t m_weight = 0;
};

/// Matches requests by host, path prefix and method, and sends them to clusters.
struct Route
{
  /// Identifies the route across configuration versions.
  std::string m_name;
  /// Host to match, in lower case and without a port; any host if empty.
  std::string m_host;
  std::string m_prefix;
  /// HTTP methods to match; all if empty.
  std::vector<std::string> m_methods;
  /// At least one; requests are divided among them by weight.
  std::vector<WeightedCluster> m_clusters;
  Repeat m_repeat = Repeat::Never;
  std::uint32_t m_timeoutMs = 0;
  /// Latency objective set by the operators.
  std::uint32_t m_objectiveMs = 0;
  /// Most targets that one request may reach, the first one included.
  std::uint32_t m_maxAttempts = 0;
  /// Priority of its requests over those of other routes; 0 is the highest.
  std::uint32_t m_priority = 0;
  /// Whether its answers are large and should therefore come from a nearby target.
  bool m_largeAnswers = false;
  /// Requests need no key of a workspace.
  bool m_public = false;
};

/// Size limits on a caller's requests, and its header and idle timeouts.
struct CallerLimits
{
  std::uint64_t m_maxHeaderBytes = 16U << 10;
  std::uint64_t m_maxBodyBytes = 8U << 20;
  std::uint64_t m_headerTimeoutMs = 15'000;
  std::uint64_t m_idleTimeoutMs = 60'000;
};

/// The typed, validated configuration of one region. Every reference resolves.
struct EffectiveConfig
{
  std::string m_region;
  std::vector<std::string> m_failureDomains;
  std::map<std::string, Service, std::less<>> m_services;
  std::map<std::string, Cluster, std::less<>> m_clusters;
  /// Sorted by prefix length, longest first, so that the first match is the most specific one.
  std::vector<Route> m_routes;
  /// Indexes into m_routes by host, ascending. The empty host means any host.
  std::map<std::string, std::vector<std::size_t>, std::less<>> m_routesByHost;
  /// Not set if the node's own settings limit callers.
  std::optional<CallerLimits> m_callerLimits;
  /// Workspaces of callers. If there is none, requests need no key.
  WorkspaceTable m_workspaces;
};

/// Sorts the routes and indexes them by host. Call once, after all routes have been added.
void
IndexRoutes(EffectiveConfig& aEffective);

/// @param aPath path of the configuration, put before the field names in messages.
/// @return success, or a BadDocument that names the first missing cluster or service.
Result<void>
CheckReferences(const EffectiveConfig& aEffective, std::string_view aPath);

/// The documents as published by operators.
struct Documents
{
  boost::json::object m_base;
  std::map<std::string, boost::json::object, std::less<>> m_overlays;
};

/// @return aText as a JSON object, or BadDocument; aWhat names it in the message.
Result<boost::json::object>
ParseObject(std::string_view aText, std::string_view aWhat);

/// Applies a JSON Merge Patch (RFC 7396).
/// @return aTarget with aPatch merged in.
boost::json::value
MergePatch(const boost::json::value& aTarget, const boost::json::value& aPatch);

/// @return aValue as JSON text with the keys of every object sorted, so that all nodes get the
/// same bytes.
std::string
CanonicalText(const boost::json::value& aValue);

/// @return base and overlays in one canonical text, which is the prefix for delta compression and
/// the input of the digest.
std::string
CanonicalText(const Documents& aDocuments);

/// Merges base and overlay of aRegion; a region without an overlay gets the base.
boost::json::object
EffectiveDocument(const Documents& aDocuments, std::string_view aRegion);

/// Builds and validates the configuration of one region.
/// @return the configuration, or a BadDocument that names the field and the remedy.
Result<std::shared_ptr<const EffectiveConfig>>
MakeEffectiveConfig(const Documents& aDocuments, std::string_view aRegion);

/// Validates the configuration of the base alone and of every region that has an overlay.
/// @return success, or the BadDocument of the first region in alphabetical order that fails.
Result<void>
CheckAllRegions(const Documents& aDocuments);

/// The parts of a request that routes match.
struct RouteQuery
{
  /// Value of the Host header; letter case and a port are ignored.
  std::string_view m_host;
  std::string_view m_method;
  /// Without the query string.
  std::string_view m_path;
};

/// @return the route that matches the request, or nullptr. Routes for the request's host take
/// precedence over routes for any host.
const Route*
FindRoute(const EffectiveConfig& aEffective, const RouteQuery& aQuery);

} // namespace sequoiastep::config
