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

// Start of every line that a node logs.
constexpr std::string_view kFirstField = "time_ms=";
// Context starts this long before the request: host clocks differ, and what a node assumes of its
// peers outlives the event that led to it.
constexpr Milliseconds kContextBeforeMs = 5000;
constexpr Milliseconds kContextAfterMs = 500;

// Events that describe a node's state, each until the node's next event of the same name.
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

// Events about a node named in one of kNodeFields, or about a pause of the logging node itself.
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

// Parses a value that is quoted or ends at the next space, and removes it from aInput.
std::string
ParseValue(std::string_view& aInput)
{
  std::string value;
  if (aInput.empty() || aInput.front() != '"') {
    const std::size_t end = std::min(aInput.find(' '), aInput.size());
    value = aInput.substr(0, end);
    aInput.remove_prefix(end);
    return value;
  }
  std::size_t i = 1;
  while (i < aInput.size() && aInput[i] != '"') {
    i += aInput[i] == '\\' && i + 1 < aInput.size() ? 1 : 0;
    value += aInput[i++];
  }
  aInput.remove_prefix(std::min(i + 1, aInput.size()));
  return value;
}

// Stores time_ms, event and node in their own members, and any other field in m_fields.
void
StoreField(LogRecord& aRecord, std::string aKey, std::string aValue)
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

// Returns the nodes that logged the records or that their fields name.
std::set<std::string, std::less<>>
CollectNodes(const std::vector<LogRecord>& aRecords)
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
MentionsAnyNode(const LogRecord& aRecord, const std::set<std::string, std::less<>>& aNodes)
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

// Returns each node's latest record of each state event up to aFirstMs, the start of the request.
std::vector<LogRecord>
LatestStates(const std::vector<LogRecord>& aRecords,
             const std::set<std::string, std::less<>>& aNodes,
             Milliseconds aFirstMs)
{
  std::map<std::pair<std::string, std::string>, const LogRecord*> latest;
  for (const LogRecord& record : aRecords) {
    const bool isRelevant = Contains(kStateEvents, record.m_event) &&
                            aNodes.contains(record.m_node) && record.m_timeMs <= aFirstMs;
    if (!isRelevant) {
      continue;
    }
    const LogRecord*& entry = latest[{ record.m_node, record.m_event }];
    entry = entry == nullptr || entry->m_timeMs <= record.m_timeMs ? &record : entry;
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
FindField(const LogRecord& aRecord, std::string_view aKey)
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
    StoreField(record, std::move(key), ParseValue(rest));
  }
  return record.m_event.empty() ? std::nullopt : std::optional(std::move(record));
}

Timeline
ExplainRequest(const std::vector<LogRecord>& aRecords, std::string_view aId)
{
  Timeline timeline;
  for (const LogRecord& record : aRecords) {
    if (FindField(record, "id") == aId) {
      timeline.m_request.push_back(record);
    }
  }
  if (timeline.m_request.empty()) {
    return timeline;
  }
  std::stable_sort(timeline.m_request.begin(), timeline.m_request.end(), IsEarlier);
  const Milliseconds first = timeline.m_request.front().m_timeMs;
  const Milliseconds last = timeline.m_request.back().m_timeMs;
  const auto nodes = CollectNodes(timeline.m_request);
  timeline.m_context = LatestStates(aRecords, nodes, first);
  for (const LogRecord& record : aRecords) {
    const bool isInWindow =
      record.m_timeMs >= first - kContextBeforeMs && record.m_timeMs <= last + kContextAfterMs;
    const bool isInvolved = nodes.contains(record.m_node);
    const bool isPeerEvent =
      Contains(kPeerEvents, record.m_event) && isInvolved &&
      (MentionsAnyNode(record, nodes) || record.m_event == "process_was_paused");
    const bool isStateChange =
      Contains(kStateEvents, record.m_event) && isInvolved && record.m_timeMs > first;
    if (isInWindow && (isPeerEvent || isStateChange)) {
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
