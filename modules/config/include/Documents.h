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
};

/// A group of targets that routes point at.
struct Cluster
{
  std::string m_name;
  std::string m_service;
  /// Whether calls may leave the region when it has no target.
  bool m_crossRegion = true;
};

/// Where requests under one prefix go.
struct Route
{
  std::string m_prefix;
  /// Methods served; all if empty.
  std::vector<std::string> m_methods;
  std::string m_cluster;
  Repeat m_repeat = Repeat::Never;
  std::uint32_t m_timeoutMs = 0;
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
};

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

/// @return the route that serves the request, or nullptr. aPath ends before any query.
const Route*
FindRoute(const Effective& aEffective, std::string_view aMethod, std::string_view aPath);

} // namespace sequoiastep::config
