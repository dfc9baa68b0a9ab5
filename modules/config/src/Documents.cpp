#include "Documents.h"

#include "NameTable.h"

#include <algorithm>
#include <boost/json.hpp>
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
RepeatNamed(std::string_view aName)
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

const Route*
FindRoute(const Effective& aEffective, std::string_view aMethod, std::string_view aPath)
{
  for (const Route& route : aEffective.m_routes) {
    if (!aPath.starts_with(route.m_prefix)) {
      continue;
    }
    const bool wholeSegment = aPath.size() == route.m_prefix.size() ||
                              route.m_prefix.back() == '/' || aPath[route.m_prefix.size()] == '/';
    if (!wholeSegment) {
      continue;
    }
    const auto& methods = route.m_methods;
    if (methods.empty() || std::find(methods.begin(), methods.end(), aMethod) != methods.end()) {
      return &route;
    }
  }
  return nullptr;
}

} // namespace sequoiastep::config
