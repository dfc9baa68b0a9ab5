#include "Explain.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <fmt/core.h>
#include <map>
#include <set>

namespace sequoiastep::cli {

namespace json = boost::json;

namespace {

constexpr std::string_view kFirstField = "time_ms=";
// Lines of this long before the request may bear on it: hosts' clocks differ, and beliefs last.
constexpr Milliseconds kContextBeforeMs = 5000;
constexpr Milliseconds kContextAfterMs = 500;

// Events that set what a node believes until the next one of the same name.
constexpr std::array<std::string_view, 10> kStateEvents{
  "version_installed", "target_announced", "target_leaves",  "target_silent",     "readiness",
  "draining",          "store_lost",       "store_regained", "settings_reloaded", "joined",
};

// Fields that name another node.
constexpr std::array<std::string_view, 5> kNodeFields{ "last_node",
                                                       "from",
                                                       "at",
                                                       "peer",
                                                       "member" };

// Events that tell of a node in one of those fields.
constexpr std::array<std::string_view, 10> kPeerEvents{
  "target_avoided", "target_trusted", "call_link_lost",   "call_link_failed",   "peer_link_lost",
  "member_changed", "member_gone",    "member_suspected", "process_was_paused", "call_link_silent",
};

template<std::size_t Size>
bool
Contains(const std::array<std::string_view, Size>& aNames, std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

// Reads a value up to the next blank, or a quoted one, and moves aRest behind it.
std::string
TakeValue(std::string_view& aRest)
{
  std::string value;
  if (aRest.empty() || aRest.front() != '"') {
    const std::size_t end = std::min(aRest.find(' '), aRest.size());
    value = aRest.substr(0, end);
    aRest.remove_prefix(end);
    return value;
  }
  std::size_t i = 1;
  while (i < aRest.size() && aRest[i] != '"') {
    i += aRest[i] == '\\' && i + 1 < aRest.size() ? 1 : 0;
    value += aRest[i++];
  }
  aRest.remove_prefix(std::min(i + 1, aRest.size()));
  return value;
}

void
TakeField(LogRecord& aRecord, std::string aKey, std::string aValue)
{
  if (aKey == "time_ms") {
    std::from_chars(aValue.data(), aValue.data() + aValue.size(), aRecord.m_timeMs);
  } else if (aKey == "event") {
    aRecord.m_event = std::move(aValue);
  } else if (aKey == "node") {
    aRecord.m_node = std::move(aValue);
  } else {
    aRecord.m_fields.emplace_back(std::move(aKey), std::move(aValue));
  }
}

std::set<std::string, std::less<>>
NodesOf(const std::vector<LogRecord>& aRecords)
{
  std::set<std::string, std::less<>> nodes;
  for (const LogRecord& record : aRecords) {
    nodes.insert(record.m_node);
    for (const auto& [key, value] : record.m_fields) {
      if (Contains(kNodeFields, key)) {
        nodes.insert(value);
      }
    }
  }
  nodes.erase("");
  return nodes;
}

bool
TellsOf(const LogRecord& aRecord, const std::set<std::string, std::less<>>& aNodes)
{
  return std::any_of(aRecord.m_fields.begin(), aRecord.m_fields.end(), [&](const auto& aField) {
    return Contains(kNodeFields, aField.first) && aNodes.contains(aField.second);
  });
}

bool
IsEarlier(const LogRecord& aLeft, const LogRecord& aRight)
{
  return aLeft.m_timeMs < aRight.m_timeMs;
}

// The latest state line of each kind of each node involved, from before the request.
std::vector<LogRecord>
StatesBefore(const std::vector<LogRecord>& aRecords,
             const std::set<std::string, std::less<>>& aNodes,
             Milliseconds aFirstMs)
{
  std::map<std::pair<std::string, std::string>, const LogRecord*> latest;
  for (const LogRecord& record : aRecords) {
    const bool counts = Contains(kStateEvents, record.m_event) && aNodes.contains(record.m_node) &&
                        record.m_timeMs <= aFirstMs;
    if (!counts) {
      continue;
    }
    const LogRecord*& place = latest[{ record.m_node, record.m_event }];
    place = place == nullptr || place->m_timeMs <= record.m_timeMs ? &record : place;
  }
  std::vector<LogRecord> states;
  states.reserve(latest.size());
  for (const auto& [key, record] : latest) {
    states.push_back(*record);
  }
  return states;
}

void
AppendRecord(std::string& aText, const LogRecord& aRecord, Milliseconds aStartMs)
{
  aText +=
    fmt::format("{:>8} ms  {}  {}", aRecord.m_timeMs - aStartMs, aRecord.m_node, aRecord.m_event);
  for (const auto& [key, value] : aRecord.m_fields) {
    if (key != "id" && key != "level") {
      aText += value.find(' ') == std::string::npos ? fmt::format(" {}={}", key, value)
                                                    : fmt::format(" {}=\"{}\"", key, value);
    }
  }
  aText += '\n';
}

json::array
RecordsJson(const std::vector<LogRecord>& aRecords)
{
  json::array rows;
  for (const LogRecord& record : aRecords) {
    json::object fields;
    for (const auto& [key, value] : record.m_fields) {
      fields[key] = value;
    }
    rows.push_back(json::object{ { "time_ms", record.m_timeMs },
                                 { "node", record.m_node },
                                 { "event", record.m_event },
                                 { "fields", fields } });
  }
  return rows;
}

} // namespace

std::optional<std::string_view>
FieldOf(const LogRecord& aRecord, std::string_view aKey)
{
  for (const auto& [key, value] : aRecord.m_fields) {
    if (key == aKey) {
      return value;
    }
  }
  return std::nullopt;
}

std::optional<LogRecord>
ParseLogLine(std::string_view aLine)
{
  const std::size_t start = aLine.find(kFirstField);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  LogRecord record;
  std::string_view rest = aLine.substr(start);
  while (!rest.empty()) {
    if (rest.front() == ' ') {
      rest.remove_prefix(1);
      continue;
    }
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    TakeField(record, std::move(key), TakeValue(rest));
  }
  return record.m_event.empty() ? std::nullopt : std::optional(std::move(record));
}

Timeline
ExplainRequest(const std::vector<LogRecord>& aRecords, std::string_view aId)
{
  Timeline timeline;
  for (const LogRecord& record : aRecords) {
    if (FieldOf(record, "id") == aId) {
      timeline.m_request.push_back(record);
    }
  }
  if (timeline.m_request.empty()) {
    return timeline;
  }
  std::stable_sort(timeline.m_request.begin(), timeline.m_request.end(), IsEarlier);
  const Milliseconds first = timeline.m_request.front().m_timeMs;
  const Milliseconds last = timeline.m_request.back().m_timeMs;
  const auto nodes = NodesOf(timeline.m_request);
  timeline.m_context = StatesBefore(aRecords, nodes, first);
  for (const LogRecord& record : aRecords) {
    const bool near =
      record.m_timeMs >= first - kContextBeforeMs && record.m_timeMs <= last + kContextAfterMs;
    const bool involved = nodes.contains(record.m_node);
    const bool tells = Contains(kPeerEvents, record.m_event) && involved &&
                       (TellsOf(record, nodes) || record.m_event == "process_was_paused");
    const bool changes =
      Contains(kStateEvents, record.m_event) && involved && record.m_timeMs > first;
    if (near && (tells || changes)) {
      timeline.m_context.push_back(record);
    }
  }
  std::stable_sort(timeline.m_context.begin(), timeline.m_context.end(), IsEarlier);
  return timeline;
}

std::string
TimelineText(const Timeline& aTimeline, std::string_view aId)
{
  if (aTimeline.m_request.empty()) {
    return fmt::format("no line names request {}: it succeeded in time at its first target, never "
                       "reached a node whose log was given, or its lines were suppressed\n",
                       aId);
  }
  const Milliseconds start = aTimeline.m_request.front().m_timeMs;
  std::string text = fmt::format("request {}\n", aId);
  for (const LogRecord& record : aTimeline.m_request) {
    AppendRecord(text, record, start);
  }
  text += "what the nodes involved believed\n";
  for (const LogRecord& record : aTimeline.m_context) {
    AppendRecord(text, record, start);
  }
  return text;
}

std::string
TimelineJson(const Timeline& aTimeline, std::string_view aId)
{
  return json::serialize(json::object{ { "id", aId },
                                       { "request", RecordsJson(aTimeline.m_request) },
                                       { "context", RecordsJson(aTimeline.m_context) } });
}

} // namespace sequoiastep::cli
