#include "Commands.h"

#include "CommandsPriv.h"
#include "Documents.h"
#include "Node.h"
#include "Settings.h"

#include <boost/json.hpp>
#include <fmt/core.h>
#include <fstream>
#include <sstream>

namespace sequoiastep::cli {

namespace json = boost::json;

namespace {

struct Command
{
  CommandSpec m_spec;
  ExitCode (*m_run)(const GivenOptions&);
};

const OptionSpec kNodeOption{ "node", "IP:PORT", "Admin address of any node (required)" };
const OptionSpec kTokenOption{ "token", "TOKEN", "Admin token, if the node requires one" };
const OptionSpec kJsonOption{ "json", "", "Print the result as JSON" };
const OptionSpec kBaseOption{ "base", "FILE", "Base document" };
const OptionSpec kOverlayOption{ "overlay", "REGION=FILE", "Overlay of a region; repeatable" };

const std::vector<Command>&
AllCommands()
{
  static const std::vector<Command> kCommands{
    { { "node",
        "Run a node",
        { { "settings", "FILE", "Settings file (required)" },
          { "print-settings", "", "Print all settings, defaults included, and exit" } } },
      RunNodeCommand },
    { { "publish",
        "Publish a base, overlays, or both, as one change",
        { kNodeOption,
          kBaseOption,
          kOverlayOption,
          { "expect", "VERSION", "Version that the change is based on (default: the node's)" },
          { "publish-id", "ID", "Retry an earlier publication whose outcome is unknown" },
          { "wait", "", "Wait until all nodes of all regions have the version" },
          kTokenOption,
          kJsonOption } },
      RunPublishCommand },
    { { "status",
        "Show a node's state and the lowest version in each region",
        { kNodeOption, kJsonOption } },
      RunStatusCommand },
    { { "explain",
        "Show the timeline of one request from the logs of all nodes",
        { { "id", "ID", "Id of the request (required)" }, kJsonOption },
        "FILE..." },
      RunExplainCommand },
    { { "rollouts",
        "Show the latest rollout of each service",
        { kNodeOption, kTokenOption, kJsonOption } },
      RunRolloutsCommand },
    { { "check",
        "Validate documents offline, as a node does on publication",
        { kBaseOption, kOverlayOption, kJsonOption } },
      RunCheckCommand },
    { { "drain", "Stop a node gracefully", { kNodeOption, kTokenOption, kJsonOption } },
      RunDrainCommand },
    { { "keys",
        "Fetch idempotency keys from a node",
        { { "node", "IP:PORT", "Caller address of the node (required)" },
          { "count", "N", "Number of keys, 1 to 1000 (default 1)" },
          kJsonOption } },
      RunKeysCommand },
  };
  return kCommands;
}

void
PrintOverview()
{
  fmt::print("Usage: sequoiastep COMMAND [OPTIONS]\n\n");
  for (const Command& command : AllCommands()) {
    fmt::print("  {:<10}{}\n", command.m_spec.m_name, command.m_spec.m_summary);
  }
  fmt::print(
    "\nsequoiastep COMMAND --help shows the options of a command.\n"
    "Exit codes: 0 success, 1 refused, 2 wrong usage or settings, 3 unreachable or timed out.\n");
}

} // namespace

void
PrintError(std::string_view aMessage)
{
  fmt::print(stderr, "sequoiastep: {}\n", aMessage);
}

ExitCode
ReportError(const Error& aError)
{
  PrintError(aError.m_message);
  switch (aError.m_kind) {
    case ErrorKind::Unreachable:
    case ErrorKind::PortInUse:
      return ExitCode::Unreachable;
    case ErrorKind::Refused:
    case ErrorKind::BadDocument:
    case ErrorKind::TooLarge:
      return ExitCode::Refused;
    default:
      return ExitCode::Usage;
  }
}

OutputFormat
RequestedFormat(const GivenOptions& aOptions)
{
  return aOptions.Has("json") ? OutputFormat::Json : OutputFormat::Text;
}

std::optional<AdminResponse>
SendToNode(const GivenOptions& aOptions, AdminRequest aRequest, ExitCode& aExit)
{
  const auto address = aOptions.Value("node");
  if (!address) {
    PrintError("--node IP:PORT is required");
    aExit = ExitCode::Usage;
    return std::nullopt;
  }
  aRequest.m_address = *address;
  aRequest.m_token = aOptions.Value("token").value_or("");
  return Handle(
    [&]() -> Result<std::optional<AdminResponse>> {
      BOOST_LEAF_AUTO(response, SendAdminRequest(aRequest));
      return std::optional<AdminResponse>(std::move(response));
    },
    [&](const Error& aError) {
      aExit = ReportError(aError);
      return std::optional<AdminResponse>();
    });
}

json::object
ParseResponseBody(const std::string& aText)
{
  boost::system::error_code error;
  json::value value = json::parse(aText, error);
  return !error && value.is_object() ? std::move(value.as_object()) : json::object();
}

bool
SplitOverlay(const std::string& aText, std::string& aRegion, std::string& aFile)
{
  const std::size_t equals = aText.find('=');
  if (equals == std::string::npos || equals == 0 || equals + 1 == aText.size()) {
    PrintError(fmt::format("--overlay '{}': expected REGION=FILE", aText));
    return false;
  }
  aRegion = aText.substr(0, equals);
  aFile = aText.substr(equals + 1);
  return true;
}

Result<json::object>
ReadDocument(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return Fail(ErrorKind::BadSettings,
                fmt::format("can't read '{}'; check the path and its permissions", aPath));
  }
  return config::ParseObject(text.str(), aPath);
}

ExitCode
RunNodeCommand(const GivenOptions& aOptions)
{
  const auto path = aOptions.Value("settings");
  if (!path) {
    PrintError("--settings FILE is required");
    return ExitCode::Usage;
  }
  const auto run = [&]() -> Result<ExitCode> {
    BOOST_LEAF_AUTO(settings, node::ReadSettings(*path));
    if (aOptions.Has("print-settings")) {
      fmt::print("{}\n", node::SettingsText(settings));
      return ExitCode::Done;
    }
    SetLogNode(settings.m_node);
    const LogThread logThread(settings.m_logLevel);
    BOOST_LEAF_CHECK(node::RunNode(settings, *path));
    return ExitCode::Done;
  };
  return Handle(run, [](const Error& aError) {
    const ExitCode code = ReportError(aError);
    return code == ExitCode::Unreachable ? code : ExitCode::Usage;
  });
}

ExitCode
RunCommand(int aCount, const char** aArguments)
{
  const std::string_view name = aCount > 1 ? aArguments[1] : "";
  if (name == "--help" || name == "-?" || name == "help") {
    PrintOverview();
    return ExitCode::Done;
  }
  for (const Command& command : AllCommands()) {
    if (command.m_spec.m_name != name) {
      continue;
    }
    const ParsedOptions parsed = ParseOptions(command.m_spec, aCount - 1, aArguments + 1);
    if (parsed.m_helpShown) {
      return ExitCode::Done;
    }
    if (!parsed.m_options) {
      PrintError(fmt::format("{}; see sequoiastep {} --help", parsed.m_error, name));
      return ExitCode::Usage;
    }
    return command.m_run(*parsed.m_options);
  }
  PrintError(name.empty() ? "no command given; see sequoiastep --help"
                          : fmt::format("unknown command '{}'; see sequoiastep --help", name));
  return ExitCode::Usage;
}

} // namespace sequoiastep::cli
