#include "Publication.h"

#include "Compression.h"
#include "Messages_generated.h"
#include "ObjectReader.h"

#include <boost/json.hpp>
#include <fmt/core.h>
#include <limits>

namespace sequoiastep::config {

namespace json = boost::json;

namespace {

using ObjectsByRegion = std::map<std::string, json::object, std::less<>>;

Result<ObjectsByRegion>
ReadRegionObjects(ObjectReader& aReader, std::string_view aKey)
{
  ObjectsByRegion objects;
  BOOST_LEAF_AUTO(parent, aReader.Object(aKey));
  if (parent == nullptr) {
    return objects;
  }
  for (const auto& member : *parent) {
    const std::string region(member.key());
    if (region.empty() || !member.value().is_object()) {
      return Fail(ErrorKind::BadPublication,
                  fmt::format("{}.{}: name a region and set it to a JSON object", aKey, region));
    }
    objects.emplace(region, member.value().get_object());
  }
  return objects;
}

Result<std::optional<json::object>>
ReadOptionalObject(ObjectReader& aReader, std::string_view aKey)
{
  BOOST_LEAF_AUTO(object, aReader.Object(aKey));
  return object == nullptr ? std::nullopt : std::optional<json::object>(*object);
}

Result<void>
CheckFields(const Publication& aPublication)
{
  if (aPublication.m_publishId.size() > kMaxPublishIdBytes) {
    return Fail(ErrorKind::BadPublication,
                fmt::format("publish_id: at most {} bytes", kMaxPublishIdBytes));
  }
  if (aPublication.m_base && aPublication.m_basePatch) {
    return Fail(ErrorKind::BadPublication, "send base or base_patch, not both");
  }
  for (const auto& [region, patch] : aPublication.m_overlayPatches) {
    if (aPublication.m_overlays.contains(region)) {
      return Fail(
        ErrorKind::BadPublication,
        fmt::format("region {} has an overlay and an overlay patch; send one of them", region));
    }
  }
  const bool empty = !aPublication.m_base && !aPublication.m_basePatch &&
                     aPublication.m_overlays.empty() && aPublication.m_overlayPatches.empty();
  if (empty) {
    return Fail(ErrorKind::BadPublication,
                "the publication changes nothing; add a base or overlay");
  }
  return {};
}

json::object
RegionObjectsToJson(const ObjectsByRegion& aObjects)
{
  json::object object;
  for (const auto& [region, value] : aObjects) {
    object[region] = value;
  }
  return object;
}

} // namespace

Result<Publication>
ParsePublication(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseObject(aText, "the publication"));
  ObjectReader reader(object, "publication", ErrorKind::BadPublication);
  Publication publication;
  BOOST_LEAF_ASSIGN(publication.m_publishId, reader.Text("publish_id"));
  BOOST_LEAF_ASSIGN(
    publication.m_expectedVersion,
    reader.Number("expected_version", { .m_max = std::numeric_limits<std::uint64_t>::max() }));
  BOOST_LEAF_ASSIGN(publication.m_base, ReadOptionalObject(reader, "base"));
  BOOST_LEAF_ASSIGN(publication.m_basePatch, ReadOptionalObject(reader, "base_patch"));
  BOOST_LEAF_ASSIGN(publication.m_overlays, ReadRegionObjects(reader, "overlays"));
  BOOST_LEAF_ASSIGN(publication.m_overlayPatches, ReadRegionObjects(reader, "overlay_patches"));
  BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
  BOOST_LEAF_CHECK(CheckFields(publication));
  return publication;
}

std::string
PublicationText(const Publication& aPublication)
{
  json::object object;
  object["publish_id"] = aPublication.m_publishId;
  object["expected_version"] = aPublication.m_expectedVersion;
  if (aPublication.m_base) {
    object["base"] = *aPublication.m_base;
  }
  if (aPublication.m_basePatch) {
    object["base_patch"] = *aPublication.m_basePatch;
  }
  if (!aPublication.m_overlays.empty()) {
    object["overlays"] = RegionObjectsToJson(aPublication.m_overlays);
  }
  if (!aPublication.m_overlayPatches.empty()) {
    object["overlay_patches"] = RegionObjectsToJson(aPublication.m_overlayPatches);
  }
  return CanonicalText(object);
}

Documents
ApplyPublication(const Documents& aDocuments, const Publication& aPublication)
{
  Documents changed = aDocuments;
  if (aPublication.m_base) {
    changed.m_base = *aPublication.m_base;
  }
  if (aPublication.m_basePatch) {
    changed.m_base = MergePatch(changed.m_base, *aPublication.m_basePatch).as_object();
  }
  for (const auto& [region, overlay] : aPublication.m_overlays) {
    changed.m_overlays[region] = overlay;
  }
  for (const auto& [region, patch] : aPublication.m_overlayPatches) {
    json::object& overlay = changed.m_overlays[region];
    overlay = MergePatch(overlay, patch).as_object();
  }
  return changed;
}

std::string
EncodeRecord(const Publication& aPublication,
             std::uint64_t aVersion,
             std::string_view aCanonicalText)
{
  const std::string text = PublicationText(aPublication);
  const bool isDelta = aVersion == aPublication.m_expectedVersion && !aCanonicalText.empty();
  const std::string compressed =
    isDelta ? wire::CompressDelta(text, aCanonicalText) : wire::Compress(text);
  wire::LogRecordT record;
  record.format = kRecordFormat;
  record.kind = kPublicationKind;
  record.publish_id = aPublication.m_publishId;
  record.expected_version = aPublication.m_expectedVersion;
  record.encoding = isDelta ? wire::Encoding::ZstdDelta : wire::Encoding::Zstd;
  record.plain_size = static_cast<std::uint32_t>(text.size());
  record.content.assign(compressed.begin(), compressed.end());
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::LogRecord::Pack(builder, &record));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

} // namespace sequoiastep::config
