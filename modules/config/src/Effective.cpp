// Builds the typed configuration of a region out of its merged document, checking every field.
#include "Documents.h"
#include "ObjectReader.h"

#include <boost/json.hpp>
#include <fmt/core.h>

namespace sequoiastep::config {

namespace json = boost::json;

namespace {

constexpr NumberRule kQueueRule{ .m_default = 12, .m_least = 0, .m_most = 10'000 };
constexpr NumberRule kQueueMsRule{ .m_default = 200, .m_least = 0, .m_most = 60'000 };
constexpr NumberRule kTimeoutMsRule{ .m_default = 2'000, .m_least = 1, .m_most = 600'000 };
constexpr NumberRule kMaxAttemptsRule{ .m_default = 3, .m_least = 1, .m_most = 16 };
constexpr NumberRule kPriorityRule{ .m_default = 1, .m_least = 0, .m_most = 1000 };
constexpr NumberRule kWeightRule{ .m_default = 1, .m_least = 0, .m_most = 1'000'000 };

// A member of `services` or `clusters`, with its place for messages.
struct NamedObject
{
  std::string m_name;
  std::string m_path;
  const json::object* m_object = nullptr;
};

Result<std::vector<NamedObject>>
NamedObjects(const json::object* aParent, std::string_view aPath)
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
  BOOST_LEAF_AUTO(queue, reader.Number("queue", kQueueRule));
  BOOST_LEAF_AUTO(queueMs, reader.Number("queue_ms", kQueueMsRule));
  BOOST_LEAF_CHECK(reader.Finish());
  return Service{ .m_name = aNamed.m_name,
                  .m_queue = static_cast<std::uint32_t>(queue),
                  .m_queueMs = static_cast<std::uint32_t>(queueMs) };
}

Result<Cluster>
ReadCluster(const NamedObject& aNamed)
{
  ObjectReader reader(*aNamed.m_object, aNamed.m_path, ErrorKind::BadDocument);
  BOOST_LEAF_AUTO(service, reader.Text("service"));
  BOOST_LEAF_AUTO(crossRegion, reader.Flag("cross_region", true));
  BOOST_LEAF_CHECK(reader.Finish());
  return Cluster{ .m_name = aNamed.m_name,
                  .m_service = std::move(service),
                  .m_crossRegion = crossRegion };
}

// `weighted` is a list of objects, which ObjectReader does not know.
Result<std::vector<WeightedCluster>>
ReadWeighted(const json::value& aList, const std::string& aPath)
{
  if (!aList.is_array() || aList.get_array().empty()) {
    return Fail(ErrorKind::BadDocument, fmt::format("{}: set it to a list of clusters", aPath));
  }
  std::vector<WeightedCluster> parts;
  std::uint64_t sum = 0;
  for (const json::value& item : aList.get_array()) {
    if (!item.is_object()) {
      return Fail(ErrorKind::BadDocument, fmt::format("{}: set its items to JSON objects", aPath));
    }
    ObjectReader reader(item.get_object(), aPath, ErrorKind::BadDocument);
    BOOST_LEAF_AUTO(cluster, reader.Text("cluster"));
    BOOST_LEAF_AUTO(weight, reader.Number("weight", kWeightRule));
    BOOST_LEAF_CHECK(reader.Finish());
    sum += weight;
    parts.push_back(
      { .m_cluster = std::move(cluster), .m_weight = static_cast<std::uint32_t>(weight) });
  }
  if (sum == 0) {
    return Fail(ErrorKind::BadDocument, fmt::format("{}: set a weight above 0", aPath));
  }
  return parts;
}

Result<Route>
ReadRoute(json::object aObject, const std::string& aPath, std::size_t aIndex)
{
  std::vector<WeightedCluster> clusters;
  if (const json::value* weighted = aObject.if_contains("weighted")) {
    BOOST_LEAF_ASSIGN(clusters, ReadWeighted(*weighted, aPath + ".weighted"));
    aObject.erase("weighted");
  }
  ObjectReader reader(aObject, aPath, ErrorKind::BadDocument);
  BOOST_LEAF_AUTO(name, reader.TextOr("name", fmt::format("routes[{}]", aIndex)));
  BOOST_LEAF_AUTO(host, reader.TextOr("host", ""));
  BOOST_LEAF_AUTO(prefix, reader.Text("prefix"));
  BOOST_LEAF_AUTO(methods, reader.Texts("methods"));
  BOOST_LEAF_AUTO(repeatName, reader.TextOr("repeat", "never"));
  BOOST_LEAF_AUTO(timeoutMs, reader.Number("timeout_ms", kTimeoutMsRule));
  const NumberRule objectiveRule{ .m_default = timeoutMs, .m_least = 1, .m_most = 600'000 };
  BOOST_LEAF_AUTO(objectiveMs, reader.Number("objective_ms", objectiveRule));
  BOOST_LEAF_AUTO(maxAttempts, reader.Number("max_attempts", kMaxAttemptsRule));
  BOOST_LEAF_AUTO(priority, reader.Number("priority", kPriorityRule));
  BOOST_LEAF_AUTO(largeAnswers, reader.Flag("large_answers", false));
  if (clusters.empty()) {
    BOOST_LEAF_AUTO(cluster, reader.Text("cluster"));
    clusters.push_back({ .m_cluster = std::move(cluster), .m_weight = 1 });
  }
  BOOST_LEAF_CHECK(reader.Finish());
  if (prefix.front() != '/') {
    return Fail(ErrorKind::BadDocument, fmt::format("{}.prefix: start it with '/'", aPath));
  }
  const auto repeat = RepeatNamed(repeatName);
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
                .m_largeAnswers = largeAnswers };
}

Result<void>
ReadRoutes(const json::value* aRoutes, const std::string& aPlace, Effective& aEffective)
{
  if (aRoutes == nullptr) {
    return CheckReferences(aEffective, aPlace);
  }
  if (!aRoutes->is_array()) {
    return Fail(ErrorKind::BadDocument,
                fmt::format("{}.routes: set it to a list of routes", aPlace));
  }
  std::size_t index = 0;
  for (const json::value& item : aRoutes->get_array()) {
    const std::string path = fmt::format("{}.routes[{}]", aPlace, index);
    if (!item.is_object()) {
      return Fail(ErrorKind::BadDocument, fmt::format("{}: set it to a JSON object", path));
    }
    BOOST_LEAF_AUTO(route, ReadRoute(item.get_object(), path, index++));
    aEffective.m_routes.push_back(std::move(route));
  }
  IndexRoutes(aEffective);
  return CheckReferences(aEffective, aPlace);
}

Result<void>
ReadDocument(json::object aDocument, const std::string& aPlace, Effective& aEffective)
{
  // Routes are a list, which ObjectReader does not know.
  json::value routes;
  const bool hasRoutes = aDocument.contains("routes");
  if (hasRoutes) {
    routes = std::move(aDocument["routes"]);
    aDocument.erase("routes");
  }
  ObjectReader reader(aDocument, aPlace, ErrorKind::BadDocument);
  BOOST_LEAF_ASSIGN(aEffective.m_failureDomains, reader.Texts("failure_domains"));
  BOOST_LEAF_AUTO(services, reader.Object("services"));
  BOOST_LEAF_AUTO(clusters, reader.Object("clusters"));
  BOOST_LEAF_CHECK(reader.Finish());
  BOOST_LEAF_AUTO(namedServices, NamedObjects(services, aPlace + ".services"));
  for (const NamedObject& named : namedServices) {
    BOOST_LEAF_AUTO(service, ReadService(named));
    aEffective.m_services.emplace(named.m_name, std::move(service));
  }
  BOOST_LEAF_AUTO(namedClusters, NamedObjects(clusters, aPlace + ".clusters"));
  for (const NamedObject& named : namedClusters) {
    BOOST_LEAF_AUTO(cluster, ReadCluster(named));
    aEffective.m_clusters.emplace(named.m_name, std::move(cluster));
  }
  return ReadRoutes(hasRoutes ? &routes : nullptr, aPlace, aEffective);
}

} // namespace

Result<std::shared_ptr<const Effective>>
MakeEffective(const Documents& aDocuments, std::string_view aRegion)
{
  auto effective = std::make_shared<Effective>();
  effective->m_region = aRegion;
  const std::string place = aRegion.empty() ? "base" : fmt::format("region {}", aRegion);
  BOOST_LEAF_CHECK(ReadDocument(EffectiveDocument(aDocuments, aRegion), place, *effective));
  return std::shared_ptr<const Effective>(std::move(effective));
}

Result<void>
CheckAllRegions(const Documents& aDocuments)
{
  BOOST_LEAF_CHECK(MakeEffective(aDocuments, ""));
  for (const auto& [region, overlay] : aDocuments.m_overlays) {
    BOOST_LEAF_CHECK(MakeEffective(aDocuments, region));
  }
  return {};
}

} // namespace sequoiastep::config
