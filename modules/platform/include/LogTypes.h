/// @file
/// What is asked of the platform's log and what it answers.
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
  /// The records asked for are no longer kept; m_first tells what is.
  Expired,
  Failed,
};

struct ReadReply
{
  ReadStatus m_status = ReadStatus::Failed;
  std::vector<LogEntry> m_entries;
  std::uint64_t m_first = 0;
  /// Offset that the topic gives out next; nothing if the log did not tell.
  std::optional<std::uint64_t> m_next;
};

/// The newest record of one key. A key without a value was dropped.
struct KeyedEntry
{
  std::string m_key;
  std::string m_value;
  std::uint64_t m_offset = 0;
};

/// The newest record of each key of a topic. Pages are not one moment's picture.
struct NewestReply
{
  bool m_ok = false;
  std::vector<KeyedEntry> m_entries;
  /// Where reading goes on to see every later record.
  std::uint64_t m_next = 0;
  /// More keys follow after the last entry's.
  bool m_hasMore = false;
};

/// How an append ended.
enum class AppendStatus
{
  Appended,
  /// The log said that it did not take the record.
  Refused,
  /// No whole answer came: the record may be in the log, or come into it later.
  Unknown,
};

struct AppendReply
{
  AppendStatus m_status = AppendStatus::Unknown;
  std::uint64_t m_offset = 0;
};

} // namespace sequoiastep::platform
