/// @file
/// Joins the log lines of all nodes into the story of one request.
#pragma once

#include "Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sequoiastep::cli {

/// One line of a node's log.
struct LogRecord
{
  /// By the clock of the host that wrote it, in Unix milliseconds.
  Milliseconds m_timeMs = 0;
  std::string m_node;
  std::string m_event;
  /// All others, in the order of the line.
  std::vector<std::pair<std::string, std::string>> m_fields;
};

/// What is known of one request.
struct Timeline
{
  /// Lines that name the request, oldest first.
  std::vector<LogRecord> m_request;
  /// What the nodes involved had last logged of their state before the request, and what they and
  /// others logged of each other while it lasted. Oldest first.
  std::vector<LogRecord> m_context;
};

/// @return the value of aKey, or nothing.
std::optional<std::string_view>
FieldOf(const LogRecord& aRecord, std::string_view aKey);

/// Parses a line; what stands before its first field, as collectors put it there, is passed over.
/// @return the line's parts, or nothing if it is none of a node's.
std::optional<LogRecord>
ParseLogLine(std::string_view aLine);

/// @return the story of the request aId; its m_request is empty if no line names it.
Timeline
ExplainRequest(const std::vector<LogRecord>& aRecords, std::string_view aId);

/// @return aTimeline for people: a line for each record, with times from the request's first line.
std::string
TimelineText(const Timeline& aTimeline, std::string_view aId);

/// @return aTimeline as JSON.
std::string
TimelineJson(const Timeline& aTimeline, std::string_view aId);

} // namespace sequoiastep::cli
