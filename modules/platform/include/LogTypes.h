/// @file
/// Records and replies of the platform's log.
#pragma once

#include "Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastep::platform {

/// One record of a topic.
struct LogEntry
{
  std::uint64_t m_offset = 0;
  std::string m_body;
};

/// How a read ended.
enum class ReadStatus
{
  Ok,
  /// The requested records are no longer kept; m_first is the oldest offset that is.
  Expired,
  Failed,
};

struct ReadReply
{
  ReadStatus m_status = ReadStatus::Failed;
  std::vector<LogEntry> m_entries;
  /// Offset of the oldest record that the log still keeps; 0 if it is not known.
  std::uint64_t m_first = 0;
  /// Offset that the topic will assign to its next record; nothing if the log did not report it.
  std::optional<std::uint64_t> m_next;
  /// Era of the log, which rises when it was restored from a copy: records may be lost then, and
  /// their offsets are assigned again. 0 if the log names none.
  std::uint64_t m_era = 0;
};

/// The newest record of one key. An empty value means that the key was deleted.
struct KeyedEntry
{
  std::string m_key;
  std::string m_value;
  std::uint64_t m_offset = 0;
};

/// The newest record of each key of a topic. The pages are read one after the other, so together
/// they are not a consistent snapshot.
struct NewestReply
{
  bool m_ok = false;
  std::vector<KeyedEntry> m_entries;
  /// Offset to continue reading at so that no later record is missed.
  std::uint64_t m_next = 0;
  /// True if more keys follow after that of the last entry.
  bool m_hasMore = false;
  /// As in ReadReply; of the first page.
  std::uint64_t m_era = 0;
};

/// How an append ended.
enum class AppendStatus
{
  Appended,
  /// The record is not in the log: the log rejected it, or the request was never sent.
  Refused,
  /// The record is not in the log, since the topic did not end at the offset that the append named.
  EndMoved,
  /// No complete response arrived, or its status leaves the outcome open: the record may be in the
  /// log or be appended later.
  Unknown,
};

struct AppendReply
{
  AppendStatus m_status = AppendStatus::Unknown;
  std::uint64_t m_offset = 0;
  /// As in ReadReply.
  std::uint64_t m_era = 0;
};

} // namespace sequoiastep::platform
