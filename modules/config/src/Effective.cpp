// Builds the typed configuration of a region out of its merged document, checking every field.
#include "Documents.h"
#include "ObjectReader.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/core.h>

namespace sequoiastep::config {

namespace json = boost::json;

namespace {

constexpr NumberRule kQueueRule{ .m_default = 12, .m_least = 0, .m_most = 10'000 };
constexpr NumberRule kQueueMsRule{ .m_default = 200, .m_least = 0, .m_most = 60'000 };
constexpr NumberRule kTimeoutMsRule{ .m_default = 2'000, .m_least = 1, .m_most = 600'000 };

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
ReadCluster(const NamedObject& aNamed, const Effective& aEffective)
{
  ObjectReader reader(*aNamed.m_object, aNamed.m_path, ErrorKind::BadDocument);
  BOOST_LEAF_AUTO(service, reader.Text("service"));
  BOOST_LEAF_AUTO(crossRegion, reader.Flag("cross_region", true));
  BOOST_LEAF_CHECK(reader.Finish());
  if (!aEffective.m_services.contains(service)) {
    return Fail(ErrorKind::BadDocument,
                fmt::format("{}.service: there is no service '{}'; add it to services or name "
                            "another",
                            aNamed.m_path,
                            service));
  }
  return Cluster{ .m_name = aNamed.m_name,
                  .m_service = std::move(service),
                  .m_crossRegion = crossRegion };
}

Result<Route>
ReadRoute(const json::object& aObject, const std::string& aPath, const Effective& aEffective)
{
  ObjectReader reader(aObject, aPath, ErrorKind::BadDocument);
  BOOST_LEAF_AUTO(prefix, reader.Text("prefix"));
  BOOST_LEAF_AUTO(methods, reader.Texts("methods"));
  BOOST_LEAF_AUTO(cluster, reader.Text("cluster"));
  BOOST_LEAF_AUTO(repeatName, reader.TextOr("repeat", "never"));
  BOOST_LEAF_AUTO(timeoutMs, reader.Number("timeout_ms", kTimeoutMsRule));
  BOOST_LEAF_CHECK(reader.Finish());
  if (prefix.front() != '/') {
    return Fail(ErrorKind::BadDocument, fmt::format("{}.prefix: start it with '/'", aPath));
  }
  if (!aEffective.m_clusters.contains(cluster)) {
    return Fail(ErrorKind::BadDocument,
                fmt::format("{}.cluster: there is no cluster '{}'; add it to clusters or name "
                            "another",
                            aPath,
                            cluster));
  }
  const auto repeat = RepeatNamed(repeatName);
  if (!repeat) {
    return Fail(ErrorKind::BadDocument,
                fmt::format("{}.repeat: set it to \"never\" or \"safe\"", aPath));
  }
  return Route{ .m_prefix = std::move(prefix),
                .m_methods = std::move(methods),
                .m_cluster = std::move(cluster),
                .m_repeat = *repeat,
                .m_timeoutMs = static_cast<std::uint32_t>(timeoutMs) };
}

Result<void>
ReadRoutes(const json::value* aRoutes, const std::string& aPath, Effective& aEffective)
{
  if (aRoutes == nullptr) {
    return {};
  }
  if (!aRoutes->is_array()) {
    return Fail(ErrorKind::BadDocument, fmt::format("{}: set it to a list of routes", aPath));
  }
  std::size_t index = 0;
  for (const json::value& item : aRoutes->get_array()) {
    const std::string path = fmt::format("{}[{}]", aPath, index++);
    if (!item.is_object()) {
      return Fail(ErrorKind::BadDocument, fmt::format("{}: set it to a JSON object", path));
    }
    BOOST_LEAF_AUTO(route, ReadRoute(item.get_object(), path, aEffective));
    aEffective.m_routes.push_back(std::move(route));
  }
  std::stable_sort(aEffective.m_routes.begin(),
                   aEffective.m_routes.end(),
                   [](const Route& aLeft, const Route& aRight) {
                     return aLeft.m_prefix.size() > aRight.m_prefix.size();
                   });
  return {};
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
    BOOST_LEAF_AUTO(cluster, ReadCluster(named, aEffective));
    aEffective.m_clusters.emplace(named.m_name, std::move(cluster));
  }
  return ReadRoutes(hasRoutes ? &routes : nullptr, aPlace + ".routes", aEffective);
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
