/// @file
/// Publications: what an operator asks to change, and the log record that carries it.
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
/// Record format and kind that this build replays.
constexpr std::uint16_t kRecordFormat = 1;
constexpr std::uint16_t kPublicationKind = 1;

/// One change, taken whole or not at all.
struct Publication
{
  std::string m_publishId;
  /// The version that the change was made for.
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

/// @return aDocuments with the change made; nothing is checked.
Documents
ApplyPublication(const Documents& aDocuments, const Publication& aPublication);

/// Packs a publication into a record of the configuration stream.
/// @param aVersion the version whose canonical text is aCanonical; if it is the expected one, the
/// content goes as a delta against that text, which every node that may accept it holds.
std::string
EncodeRecord(const Publication& aPublication, std::uint64_t aVersion, std::string_view aCanonical);

} // namespace sequoiastep::config
