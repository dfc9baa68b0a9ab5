/// @file
/// Configuration documents: the base, one overlay for each region, and what they come to.
#pragma once

#include "Error.h"

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
/// Nesting accepted in a document.
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
RepeatNamed(std::string_view aName);

/// What the configuration says of a service.
struct Service
{
  std::string m_name;
  /// Requests that may wait at one target for a free slot.
  std::uint32_t m_queue = 0;
  /// Longest wait in that queue.
  std::uint32_t m_queueMs = 0;
  /// Path that tells who a target is and whether it is healthy; empty if there is none.
  std::string m_healthPath;
};

/// A group of targets that routes point at.
struct Cluster
{
  std::string m_name;
  std::string m_service;
  /// Whether calls may leave the region when it has no target.
  bool m_crossRegion = true;
};

/// A cluster's share of a route's requests.
struct WeightedCluster
{
  std::string m_cluster;
  std::uint32_t m_weight = 0;
};

/// Where requests under one prefix go.
struct Route
{
  /// Tells the route from others in all versions.
  std::string m_name;
  /// Host the requests name, in lower case and without a port; any if empty.
  std::string m_host;
  std::string m_prefix;
  /// Methods served; all if empty.
  std::vector<std::string> m_methods;
  /// At least one; requests are divided among them by weight.
  std::vector<WeightedCluster> m_clusters;
  Repeat m_repeat = Repeat::Never;
  std::uint32_t m_timeoutMs = 0;
  /// Latency that the operators aim at.
  std::uint32_t m_objectiveMs = 0;
  /// Targets that one request may be sent to.
  std::uint32_t m_maxAttempts = 0;
  /// Rank among routes; 0 comes first.
  std::uint32_t m_priority = 0;
  /// Its answers are large, so that they should not travel far.
  bool m_largeAnswers = false;
};

/// What a caller may send, and how long it may take or stay idle.
struct CallerLimits
{
  std::uint64_t m_maxHeaderBytes = 16U << 10;
  std::uint64_t m_maxBodyBytes = 8U << 20;
  std::uint64_t m_headerTimeoutMs = 15'000;
  std::uint64_t m_idleTimeoutMs = 60'000;
};

/// The typed, checked configuration of one region. Every reference resolves.
struct Effective
{
  std::string m_region;
  std::vector<std::string> m_failureDomains;
  std::map<std::string, Service, std::less<>> m_services;
  std::map<std::string, Cluster, std::less<>> m_clusters;
  /// Longest prefix first, so that the first match is the right one.
  std::vector<Route> m_routes;
  /// Places in m_routes by host, in the order of m_routes. The empty host stands for any.
  std::map<std::string, std::vector<std::size_t>, std::less<>> m_routesByHost;
  /// Nothing if the node's own settings bound callers.
  std::optional<CallerLimits> m_callerLimits;
};

/// Sorts the routes and indexes them by host. Called once, when all routes are in.
void
IndexRoutes(Effective& aEffective);

/// @param aPlace where the configuration stands, for messages.
/// @return success, or a BadDocument that names the first cluster or service that does not exist.
Result<void>
CheckReferences(const Effective& aEffective, std::string_view aPlace);

/// The documents as operators published them.
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

/// @return aValue as text with the keys of every object sorted: the same on every node.
std::string
CanonicalText(const boost::json::value& aValue);

/// @return base and overlays in one canonical text: the prefix of deltas and the input of digests.
std::string
CanonicalText(const Documents& aDocuments);

/// Merges base and overlay of aRegion; a region without an overlay gets the base.
boost::json::object
EffectiveDocument(const Documents& aDocuments, std::string_view aRegion);

/// Builds and checks the configuration of one region.
/// @return the configuration, or BadDocument that names the place and the remedy.
Result<std::shared_ptr<const Effective>>
MakeEffective(const Documents& aDocuments, std::string_view aRegion);

/// Checks the configuration of the bare base and of every region that has an overlay.
/// @return success, or the BadDocument of the first region in alphabetical order that fails.
Result<void>
CheckAllRegions(const Documents& aDocuments);

/// What of a request decides its route.
struct RouteQuery
{
  /// As the Host header gives it.
  std::string_view m_host;
  std::string_view m_method;
  /// Ends before any query.
  std::string_view m_path;
};

/// @return the route that serves the request, or nullptr. Routes of its host go before those of
/// any.
const Route*
FindRoute(const Effective& aEffective, const RouteQuery& aQuery);

} // namespace sequoiastep::config
