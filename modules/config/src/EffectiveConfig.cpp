// Builds the typed configuration of a region from its merged document and validates every field.
#include "Documents.h"
#include "ObjectReader.h"

#include <boost/json.hpp>
#include <fmt/core.h>

namespace sequoiastep::config {

namespace json = boost::json;

namespace {

constexpr NumberRule kQueueLimitRule{ .m_default = 12, .m_min = 0, .m_max = 10'000 };
constexpr NumberRule kQueueTimeoutMsRule{ .m_default = 200, .m_min = 0, .m_max = 60'000 };
constexpr NumberRule kTimeoutMsRule{ .m_default = 2'000, .m_min = 1, .m_max = 600'000 };
constexpr NumberRule kMaxAttemptsRule{ .m_default = 3, .m_min = 1, .m_max = 16 };
constexpr NumberRule kPriorityRule{ .m_default = 1, .m_min = 0, .m_max = 1000 };
constexpr NumberRule kWeightRule{ .m_default = 1, .m_min = 0, .m_max = 1'000'000 };
constexpr RealRule kQuotaRule{ .m_default = 0, .m_min = 0, .m_max = 1e9 };

// A member of `services` or `clusters`, with its path for messages.
struct NamedObject
{
  std::string m_name;
  std::string m_path;
  const json::object* m_object = nullptr;
};

Result<std::vector<NamedObject>>
ReadNamedObjects(const json::object* aParent, std::string_view aPath)
{
  std::vector<NamedObject> named;
  if (aParent == nullptr) {
    return named;
  }
  for (const auto& member : *aParent) {
    const std::string name(member.key());
    const std::string path = fmt::format("{}.{}", aPath, name);
    if (!member.value().is_object()) {
      return Fail(ErrorKind::BadDocument, fmt::format("{}: set it to a JSON object", path));
    }
    named.push_back({ .m_name = name, .m_path = path, .m_object = &member.value().get_object() });
  }
  return named;
}

Result<Service>
ReadService(const NamedObject& aNamed)
{
  ObjectReader reader(*aNamed.m_object, aNamed.m_path, ErrorKind::BadDocument);
  BOOST_LEAF_AUTO(queueLimit, reader.Number("queue", kQueueLimitRule));
  BOOST_LEAF_AUTO(queueTimeoutMs, reader.Number("queue_ms", kQueueTimeoutMsRule));
  BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
  return Service{ .m_name = aNamed.m_name,
                  .m_queueLimit = static_cast<std::uint32_t>(queueLimit),
                  .m_queueTimeoutMs = static_cast<std::uint32_t>(queueTimeoutMs) };
}

Result<Cluster>
ReadCluster(const NamedObject& aNamed)
{
  ObjectReader reader(*aNamed.m_object, aNamed.m_path, ErrorKind::BadDocument);
  BOOST_LEAF_AUTO(service, reader.Text("service"));
  BOOST_LEAF_AUTO(crossRegion, reader.Flag("cross_region", true));
  BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
  return Cluster{ .m_name = aNamed.m_name,
                  .m_service = std::move(service),
                  .m_crossRegion = crossRegion };
}

Result<Workspace>
ReadWorkspace(const NamedObject& aNamed)
{
  ObjectReader reader(*aNamed.m_object, aNamed.m_path, ErrorKind::BadDocument);
  Workspace workspace{ .m_name = aNamed.m_name };
  BOOST_LEAF_ASSIGN(workspace.m_keys, reader.TextList("keys"));
  if (aNamed.m_object->contains("priority")) {
    BOOST_LEAF_AUTO(priority, reader.Number("priority", kPriorityRule));
    workspace.m_priority = static_cast<std::uint32_t>(priority);
  }
  BOOST_LEAF_ASSIGN(workspace.m_ratePerSecond, reader.Real("rate_per_s", kQuotaRule));
  BOOST_LEAF_ASSIGN(workspace.m_burst, reader.Real("burst", kQuotaRule));
  BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
  return workspace;
}

// `weighted` is a list of objects, which ObjectReader can't read.
Result<std::vector<WeightedCluster>>
ReadWeightedClusters(const json::value& aList, const std::string& aPath)
{
  if (!aList.is_array() || aList.get_array().empty()) {
    return Fail(ErrorKind::BadDocument, fmt::format("{}: set it to a list of clusters", aPath));
  }
  std::vector<WeightedCluster> clusters;
  std::uint64_t totalWeight = 0;
  for (const json::value& item : aList.get_array()) {
    if (!item.is_object()) {
      return Fail(ErrorKind::BadDocument, fmt::format("{}: set its items to JSON objects", aPath));
    }
    ObjectReader reader(item.get_object(), aPath, ErrorKind::BadDocument);
    BOOST_LEAF_AUTO(cluster, reader.Text("cluster"));
    BOOST_LEAF_AUTO(weight, reader.Number("weight", kWeightRule));
    BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
    totalWeight += weight;
    clusters.push_back(
      { .m_cluster = std::move(cluster), .m_weight = static_cast<std::uint32_t>(weight) });
  }
  if (totalWeight == 0) {
    return Fail(ErrorKind::BadDocument, fmt::format("{}: set a weight above 0", aPath));
  }
  return clusters;
}

Result<Route>
ReadRoute(json::object aObject, const std::string& aPath, std::size_t aIndex)
{
  std::vector<WeightedCluster> clusters;
  if (const json::value* weighted = aObject.if_contains("weighted")) {
    BOOST_LEAF_ASSIGN(clusters, ReadWeightedClusters(*weighted, aPath + ".weighted"));
    aObject.erase("weighted");
  }
  ObjectReader reader(aObject, aPath, ErrorKind::BadDocument);
  BOOST_LEAF_AUTO(name, reader.TextOr("name", fmt::format("routes[{}]", aIndex)));
  BOOST_LEAF_AUTO(host, reader.TextOr("host", ""));
  BOOST_LEAF_AUTO(prefix, reader.Text("prefix"));
  BOOST_LEAF_AUTO(methods, reader.TextList("methods"));
  BOOST_LEAF_AUTO(repeatName, reader.TextOr("repeat", "never"));
  BOOST_LEAF_AUTO(timeoutMs, reader.Number("timeout_ms", kTimeoutMsRule));
  const NumberRule objectiveRule{ .m_default = timeoutMs, .m_min = 1, .m_max = 600'000 };
  BOOST_LEAF_AUTO(objectiveMs, reader.Number("objective_ms", objectiveRule));
  BOOST_LEAF_AUTO(maxAttempts, reader.Number("max_attempts", kMaxAttemptsRule));
  BOOST_LEAF_AUTO(priority, reader.Number("priority", kPriorityRule));
  BOOST_LEAF_AUTO(largeAnswers, reader.Flag("large_answers", false));
  BOOST_LEAF_AUTO(isPublic, reader.Flag("public", false));
  if (clusters.empty()) {
    BOOST_LEAF_AUTO(cluster, reader.Text("cluster"));
    clusters.push_back({ .m_cluster = std::move(cluster), .m_weight = 1 });
  }
  BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
  if (prefix.front() != '/') {
    return Fail(ErrorKind::BadDocument, fmt::format("{}.prefix: start it with '/'", aPath));
  }
  const auto repeat = ParseRepeat(repeatName);
  if (!repeat) {
    return Fail(ErrorKind::BadDocument,
                fmt::format("{}.repeat: set it to \"never\" or \"safe\"", aPath));
  }
  return Route{ .m_name = std::move(name),
                .m_host = std::move(host),
                .m_prefix = std::move(prefix),
                .m_methods = std::move(methods),
                .m_clusters = std::move(clusters),
                .m_repeat = *repeat,
                .m_timeoutMs = static_cast<std::uint32_t>(timeoutMs),
                .m_objectiveMs = static_cast<std::uint32_t>(objectiveMs),
                .m_maxAttempts = static_cast<std::uint32_t>(maxAttempts),
                .m_priority = static_cast<std::uint32_t>(priority),
                .m_largeAnswers = largeAnswers,
                .m_public = isPublic };
}

Result<void>
ReadRoutes(const json::value* aRoutes, const std::string& aPath, EffectiveConfig& aEffective)
{
  if (aRoutes == nullptr) {
    return CheckReferences(aEffective, aPath);
  }
  if (!aRoutes->is_array()) {
    return Fail(ErrorKind::BadDocument,
                fmt::format("{}.routes: set it to a list of routes", aPath));
  }
  std::size_t index = 0;
  for (const json::value& item : aRoutes->get_array()) {
    const std::string path = fmt::format("{}.routes[{}]", aPath, index);
    if (!item.is_object()) {
      return Fail(ErrorKind::BadDocument, fmt::format("{}: set it to a JSON object", path));
    }
    BOOST_LEAF_AUTO(route, ReadRoute(item.get_object(), path, index++));
    aEffective.m_routes.push_back(std::move(route));
  }
  IndexRoutes(aEffective);
  return CheckReferences(aEffective, aPath);
}

Result<void>
ReadDocument(json::object aDocument, const std::string& aPath, EffectiveConfig& aEffective)
{
  // `routes` is a list of objects, which ObjectReader can't read.
  json::value routes;
  const bool hasRoutes = aDocument.contains("routes");
  if (hasRoutes) {
    routes = std::move(aDocument["routes"]);
    aDocument.erase("routes");
  }
  ObjectReader reader(aDocument, aPath, ErrorKind::BadDocument);
  BOOST_LEAF_ASSIGN(aEffective.m_failureDomains, reader.TextList("failure_domains"));
  BOOST_LEAF_AUTO(services, reader.Object("services"));
  BOOST_LEAF_AUTO(clusters, reader.Object("clusters"));
  BOOST_LEAF_AUTO(workspaces, reader.Object("workspaces"));
  BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
  BOOST_LEAF_AUTO(namedServices, ReadNamedObjects(services, aPath + ".services"));
  for (const NamedObject& named : namedServices) {
    BOOST_LEAF_AUTO(service, ReadService(named));
    aEffective.m_services.emplace(named.m_name, std::move(service));
  }
  BOOST_LEAF_AUTO(namedClusters, ReadNamedObjects(clusters, aPath + ".clusters"));
  for (const NamedObject& named : namedClusters) {
    BOOST_LEAF_AUTO(cluster, ReadCluster(named));
    aEffective.m_clusters.emplace(named.m_name, std::move(cluster));
  }
  BOOST_LEAF_AUTO(namedWorkspaces, ReadNamedObjects(workspaces, aPath + ".workspaces"));
  for (const NamedObject& named : namedWorkspaces) {
    BOOST_LEAF_AUTO(workspace, ReadWorkspace(named));
    aEffective.m_workspaces.m_byName.emplace(named.m_name, std::move(workspace));
  }
  BOOST_LEAF_CHECK(IndexKeys(aEffective.m_workspaces, aPath));
  return ReadRoutes(hasRoutes ? &routes : nullptr, aPath, aEffective);
}

} // namespace

Result<std::shared_ptr<const EffectiveConfig>>
MakeEffectiveConfig(const Documents& aDocuments, std::string_view aRegion)
{
  auto effective = std::make_shared<EffectiveConfig>();
  effective->m_region = aRegion;
  const std::string rootPath = aRegion.empty() ? "base" : fmt::format("region {}", aRegion);
  BOOST_LEAF_CHECK(ReadDocument(EffectiveDocument(aDocuments, aRegion), rootPath, *effective));
  return std::shared_ptr<const EffectiveConfig>(std::move(effective));
}

Result<void>
CheckAllRegions(const Documents& aDocuments)
{
  BOOST_LEAF_CHECK(MakeEffectiveConfig(aDocuments, ""));
  for (const auto& [region, overlay] : aDocuments.m_overlays) {
    BOOST_LEAF_CHECK(MakeEffectiveConfig(aDocuments, region));
  }
  return {};
}

} // namespace sequoiastep::config
