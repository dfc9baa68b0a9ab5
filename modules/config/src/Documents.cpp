#include "Documents.h"

#include "NameTable.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>
#include <fmt/core.h>

namespace sequoiastep::config {

namespace json = boost::json;

namespace {

constexpr std::array<NameRow<Repeat>, 2> kRepeatNames{ {
  { Repeat::Never, "never" },
  { Repeat::Safe, "safe" },
} };

void
AppendCanonical(std::string& aText, const json::value& aValue);

void
AppendCanonicalObject(std::string& aText, const json::object& aObject)
{
  std::vector<std::string_view> keys;
  keys.reserve(aObject.size());
  for (const auto& member : aObject) {
    keys.push_back(member.key());
  }
  std::sort(keys.begin(), keys.end());
  aText += '{';
  bool first = true;
  for (const std::string_view key : keys) {
    if (!first) {
      aText += ',';
    }
    first = false;
    aText += json::serialize(json::string(key));
    aText += ':';
    AppendCanonical(aText, aObject.at(key));
  }
  aText += '}';
}

void
AppendCanonical(std::string& aText, const json::value& aValue)
{
  if (const json::object* object = aValue.if_object()) {
    AppendCanonicalObject(aText, *object);
    return;
  }
  const json::array* array = aValue.if_array();
  if (array == nullptr) {
    aText += json::serialize(aValue);
    return;
  }
  aText += '[';
  for (std::size_t i = 0; i < array->size(); ++i) {
    if (i > 0) {
      aText += ',';
    }
    AppendCanonical(aText, (*array)[i]);
  }
  aText += ']';
}

} // namespace

std::string_view
NameOf(Repeat aRepeat)
{
  return NameIn(kRepeatNames, aRepeat);
}

std::optional<Repeat>
ParseRepeat(std::string_view aName)
{
  return ValueIn(kRepeatNames, aName);
}

Result<json::object>
ParseObject(std::string_view aText, std::string_view aWhat)
{
  if (aText.size() > kMaxDocumentBytes) {
    return Fail(ErrorKind::TooLarge,
                fmt::format("{} has {} bytes, the limit is {}; split it or shorten it",
                            aWhat,
                            aText.size(),
                            kMaxDocumentBytes));
  }
  json::parse_options options;
  options.max_depth = kMaxDocumentDepth;
  boost::system::error_code error;
  json::value value = json::parse(aText, error, {}, options);
  if (error) {
    return Fail(ErrorKind::BadDocument,
                fmt::format("{} is not valid JSON ({}); correct it", aWhat, error.message()));
  }
  if (!value.is_object()) {
    return Fail(ErrorKind::BadDocument, fmt::format("{} must be a JSON object", aWhat));
  }
  return std::move(value.as_object());
}

json::value
MergePatch(const json::value& aTarget, const json::value& aPatch)
{
  const json::object* patch = aPatch.if_object();
  if (patch == nullptr) {
    return aPatch;
  }
  json::object merged = aTarget.is_object() ? aTarget.get_object() : json::object();
  for (const auto& member : *patch) {
    if (member.value().is_null()) {
      merged.erase(member.key());
      continue;
    }
    const json::value* old = merged.if_contains(member.key());
    merged[member.key()] = MergePatch(old != nullptr ? *old : json::value(), member.value());
  }
  return merged;
}

std::string
CanonicalText(const json::value& aValue)
{
  std::string text;
  AppendCanonical(text, aValue);
  return text;
}

std::string
CanonicalText(const Documents& aDocuments)
{
  std::string text;
  AppendCanonicalObject(text, aDocuments.m_base);
  for (const auto& [region, overlay] : aDocuments.m_overlays) {
    text += '\n';
    text += region;
    text += ' ';
    AppendCanonicalObject(text, overlay);
  }
  return text;
}

json::object
EffectiveDocument(const Documents& aDocuments, std::string_view aRegion)
{
  const auto overlay = aDocuments.m_overlays.find(aRegion);
  if (overlay == aDocuments.m_overlays.end()) {
    return aDocuments.m_base;
  }
  return MergePatch(aDocuments.m_base, overlay->second).as_object();
}

namespace {

// Removes the port and converts to lower case.
std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.rfind(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aByte) {
    return static_cast<char>(std::tolower(aByte));
  });
  return host;
}

bool
Matches(const Route& aRoute, const RouteQuery& aQuery)
{
  if (!aQuery.m_path.starts_with(aRoute.m_prefix)) {
    return false;
  }
  const bool atSegmentEnd = aQuery.m_path.size() == aRoute.m_prefix.size() ||
                            aRoute.m_prefix.back() == '/' ||
                            aQuery.m_path[aRoute.m_prefix.size()] == '/';
  const auto& methods = aRoute.m_methods;
  return atSegmentEnd &&
         (methods.empty() ||
          std::find(methods.begin(), methods.end(), aQuery.m_method) != methods.end());
}

} // namespace

void
IndexRoutes(EffectiveConfig& aEffective)
{
  std::stable_sort(aEffective.m_routes.begin(),
                   aEffective.m_routes.end(),
                   [](const Route& aLeft, const Route& aRight) {
                     return aLeft.m_prefix.size() > aRight.m_prefix.size();
                   });
  aEffective.m_routesByHost.clear();
  for (std::size_t i = 0; i < aEffective.m_routes.size(); ++i) {
    aEffective.m_routesByHost[aEffective.m_routes[i].m_host].push_back(i);
  }
}

Result<void>
CheckReferences(const EffectiveConfig& aEffective, std::string_view aPath)
{
  for (const auto& [name, cluster] : aEffective.m_clusters) {
    if (!aEffective.m_services.contains(cluster.m_service)) {
      return Fail(ErrorKind::BadDocument,
                  fmt::format("{}.clusters.{}.service: there is no service '{}'; add it to "
                              "services or name another",
                              aPath,
                              name,
                              cluster.m_service));
    }
  }
  for (const Route& route : aEffective.m_routes) {
    for (const WeightedCluster& weighted : route.m_clusters) {
      if (!aEffective.m_clusters.contains(weighted.m_cluster)) {
        return Fail(ErrorKind::BadDocument,
                    fmt::format("{}.{}.cluster: there is no cluster '{}'; add it to clusters or "
                                "name another",
                                aPath,
                                route.m_name,
                                weighted.m_cluster));
      }
    }
  }
  return {};
}

const Route*
FindRoute(const EffectiveConfig& aEffective, const RouteQuery& aQuery)
{
  for (const std::string& host : { NormalizeHost(aQuery.m_host), std::string() }) {
    const auto indexes = aEffective.m_routesByHost.find(host);
    if (indexes == aEffective.m_routesByHost.end()) {
      continue;
    }
    for (const std::size_t index : indexes->second) {
      if (Matches(aEffective.m_routes[index], aQuery)) {
        return &aEffective.m_routes[index];
      }
    }
  }
  return nullptr;
}

} // namespace sequoiastep::config
