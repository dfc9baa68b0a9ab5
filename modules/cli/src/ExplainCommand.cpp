// The command explain: shows the timeline of one request from the logs of all nodes.
#include "CommandsPriv.h"
#include "Explain.h"

#include <fmt/core.h>
#include <fstream>

namespace sequoiastep::cli {

namespace {

bool
ReadRecords(const std::string& aPath, std::vector<LogRecord>& aRecords)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    PrintError(fmt::format("can't read '{}'; check the path and its permissions", aPath));
    return false;
  }
  std::string line;
  while (std::getline(file, line)) {
    if (auto record = ParseLogLine(line)) {
      aRecords.push_back(std::move(*record));
    }
  }
  return true;
}

} // namespace

ExitCode
RunExplainCommand(const GivenOptions& aOptions)
{
  const auto id = aOptions.Value("id");
  if (!id || aOptions.Positional().empty()) {
    PrintError("--id ID and at least one log file are required");
    return ExitCode::Usage;
  }
  std::vector<LogRecord> records;
  for (const std::string& path : aOptions.Positional()) {
    if (!ReadRecords(path, records)) {
      return ExitCode::Usage;
    }
  }
  const Timeline timeline = ExplainRequest(records, *id);
  if (RequestedFormat(aOptions) == OutputFormat::Json) {
    fmt::print("{}\n", TimelineJson(timeline, *id));
  } else {
    fmt::print("{}", TimelineText(timeline, *id));
  }
  return timeline.m_request.empty() ? ExitCode::Refused : ExitCode::Done;
}

} // namespace sequoiastep::cli
