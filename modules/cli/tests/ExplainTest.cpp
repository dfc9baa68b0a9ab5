#include "Explain.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace sequoiastep::cli {

namespace {

std::vector<LogRecord>
ParseLines(const std::vector<std::string>& aLines)
{
  std::vector<LogRecord> records;
  for (const std::string& line : aLines) {
    if (auto record = ParseLogLine(line)) {
      records.push_back(std::move(*record));
    }
  }
  return records;
}

const std::vector<std::string> kLines{
  "time_ms=900 level=info event=version_installed node=near version=3 before=0",
  "time_ms=950 level=info event=version_installed node=near version=4 before=3",
  "time_ms=960 level=info event=version_installed node=other version=4 before=3",
  "  12.5 far time_ms=1010 level=info event=call_failed node=far id=r1 from=near reason=\"a "
  "\\\"reset\\\"\" waited_us=5",
  "time_ms=1012 level=info event=request_failed node=near id=r1 last_node=far outcome=unknown",
  "time_ms=1011 level=info event=target_avoided node=near at=far failures=1 reason=reset",
  "time_ms=1011 level=info event=target_avoided node=near at=other failures=1 reason=reset",
  "time_ms=1013 level=info event=call_link_silent node=near peer=far heard_ms_ago=551",
  "time_ms=1020 level=info event=request_failed node=near id=r2 last_node=far outcome=unknown",
  "not a line of a node",
};

TEST_CASE("a log line is parsed with quoted values and without the prefix of a log collector")
{
  const auto record = ParseLogLine(kLines[3]);
  REQUIRE(record);
  CHECK(record->m_timeMs == 1010);
  CHECK(record->m_node == "far");
  CHECK(record->m_event == "call_failed");
  CHECK(FindField(*record, "reason") == "a \"reset\"");
  CHECK(FindField(*record, "waited_us") == "5");
  CHECK_FALSE(ParseLogLine("not a line of a node"));
  CHECK_FALSE(ParseLogLine("time_ms=5 \"=="));
}

TEST_CASE("a timeline has the request's records of all nodes in time order, with their context")
{
  const Timeline timeline = ExplainRequest(ParseLines(kLines), "r1");
  REQUIRE(timeline.m_request.size() == 2);
  CHECK(timeline.m_request[0].m_event == "call_failed");
  CHECK(timeline.m_request[1].m_event == "request_failed");
  // The version that node near installed last, and its events about node far; none about node
  // other.
  REQUIRE(timeline.m_context.size() == 3);
  CHECK(FindField(timeline.m_context[0], "version") == "4");
  CHECK(FindField(timeline.m_context[1], "at") == "far");
  CHECK(timeline.m_context[2].m_event == "call_link_silent");
}

TEST_CASE("the text for a request that no line names says so")
{
  const Timeline timeline = ExplainRequest(ParseLines(kLines), "r9");
  CHECK(timeline.m_request.empty());
  CHECK(TimelineText(timeline, "r9").find("no line names request r9") == 0);
}

TEST_CASE("the text has times relative to the request's first line, and JSON has all fields")
{
  const Timeline timeline = ExplainRequest(ParseLines(kLines), "r1");
  const std::string text = TimelineText(timeline, "r1");
  CHECK(text.find("       2 ms  near  request_failed last_node=far outcome=unknown") !=
        std::string::npos);
  CHECK(text.find("     -60 ms  near  version_installed") != std::string::npos);
  CHECK(TimelineJson(timeline, "r1").find("\"waited_us\":\"5\"") != std::string::npos);
}

} // namespace

} // namespace sequoiastep::cli
