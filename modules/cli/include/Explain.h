/// @file
/// Builds the timeline of one request from the logs of all nodes.
#pragma once

#include "Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sequoiastep::cli {

/// One parsed line of a node's log.
struct LogRecord
{
  /// Unix time in milliseconds, by the clock of the host that wrote the line.
  Milliseconds m_timeMs = 0;
  std::string m_node;
  std::string m_event;
  /// Keys and values of all other fields, in the order of the line.
  std::vector<std::pair<std::string, std::string>> m_fields;
};

/// The log records that bear on one request.
struct Timeline
{
  /// Records with the request's id, oldest first.
  std::vector<LogRecord> m_request;
  /// Each involved node's latest record of each state event up to the start of the request, and
  /// the state changes, pauses and events about one another that they logged around that time.
  /// Oldest first.
  std::vector<LogRecord> m_context;
};

/// @return the value of the field aKey, or nothing if aRecord has no such field.
std::optional<std::string_view>
FindField(const LogRecord& aRecord, std::string_view aKey);

/// Parses a log line; skips any prefix that a log collector put before the first field.
/// @return the record, or nothing if the line wasn't written by a node.
std::optional<LogRecord>
ParseLogLine(std::string_view aLine);

/// @return the timeline of the request aId; m_request is empty if no record has that id.
Timeline
ExplainRequest(const std::vector<LogRecord>& aRecords, std::string_view aId);

/// @return aTimeline as text: one line per record, with times relative to the request's first one.
std::string
TimelineText(const Timeline& aTimeline, std::string_view aId);

/// @return aTimeline as JSON.
std::string
TimelineJson(const Timeline& aTimeline, std::string_view aId);

} // namespace sequoiastep::cli
