/// @file
/// The commands' functions and their shared helpers.
#pragma once

#include "AdminClient.h"
#include "Commands.h"
#include "Options.h"

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep::cli {

/// The format of results on standard output.
enum class OutputFormat
{
  Text,
  Json,
};

ExitCode
RunNodeCommand(const GivenOptions& aOptions);
ExitCode
RunPublishCommand(const GivenOptions& aOptions);
ExitCode
RunStatusCommand(const GivenOptions& aOptions);
ExitCode
RunRolloutsCommand(const GivenOptions& aOptions);
ExitCode
RunExplainCommand(const GivenOptions& aOptions);
ExitCode
RunCheckCommand(const GivenOptions& aOptions);
ExitCode
RunDrainCommand(const GivenOptions& aOptions);
ExitCode
RunKeysCommand(const GivenOptions& aOptions);

/// Prints aMessage to standard error.
void
PrintError(std::string_view aMessage);
/// Prints an error to standard error.
/// @return the exit code for its kind.
ExitCode
ReportError(const Error& aError);
/// @return Json if --json was given, else Text.
OutputFormat
RequestedFormat(const GivenOptions& aOptions);
/// Sends a request to the address given with --node, with the token given with --token.
/// @return the response of any status; on failure prints the error and sets aExit.
std::optional<AdminResponse>
SendToNode(const GivenOptions& aOptions, AdminRequest aRequest, ExitCode& aExit);
/// @return aText as a JSON object; empty if aText isn't one.
boost::json::object
ParseResponseBody(const std::string& aText);
/// Splits REGION=FILE; prints an error if aText has another form.
/// @return true on success.
bool
SplitOverlay(const std::string& aText, std::string& aRegion, std::string& aFile);
/// Reads a file as a JSON object.
/// @return the object, BadSettings if the file can't be read, or the error of config::ParseObject.
Result<boost::json::object>
ReadDocument(const std::string& aPath);

} // namespace sequoiastep::cli
