/// @file
/// Publications: configuration changes sent by operators, and the log records that carry them.
#pragma once

#include "Documents.h"
#include "Error.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep::config {

/// Largest record of the configuration stream, in bytes.
constexpr std::size_t kMaxRecordBytes = 2U << 20;
/// Longest publish id, in bytes.
constexpr std::size_t kMaxPublishIdBytes = 128;
/// Record format and kind that this build can replay.
constexpr std::uint16_t kRecordFormat = 1;
constexpr std::uint16_t kPublicationKind = 1;

/// One change to the documents, applied as a whole or not at all.
struct Publication
{
  std::string m_publishId;
  /// Version that the change is based on; replay reports a conflict if another one is current.
  std::uint64_t m_expectedVersion = 0;
  std::optional<boost::json::object> m_base;
  std::optional<boost::json::object> m_basePatch;
  std::map<std::string, boost::json::object, std::less<>> m_overlays;
  std::map<std::string, boost::json::object, std::less<>> m_overlayPatches;
};

/// Parses the JSON form that operators send.
/// @return the publication, or BadPublication, BadDocument or TooLarge.
Result<Publication>
ParsePublication(std::string_view aText);

/// @return aPublication as JSON text that ParsePublication reads.
std::string
PublicationText(const Publication& aPublication);

/// @return aDocuments with the change applied, without validation.
Documents
ApplyPublication(const Documents& aDocuments, const Publication& aPublication);

/// Encodes a publication as a record of the configuration stream.
/// @param aVersion the version whose canonical text is aCanonicalText. If it is the publication's
/// expected version, the content is delta-compressed against that text, which every node that may
/// accept the record holds.
std::string
EncodeRecord(const Publication& aPublication,
             std::uint64_t aVersion,
             std::string_view aCanonicalText);

} // namespace sequoiastep::config
