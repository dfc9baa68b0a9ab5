/// @file
/// One function for each command, and what they share.
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
enum class Output
{
  People,
  Programs,
};

ExitCode
RunNodeCommand(const GivenOptions& aOptions);
ExitCode
RunPublishCommand(const GivenOptions& aOptions);
ExitCode
RunStatusCommand(const GivenOptions& aOptions);
ExitCode
RunExplainCommand(const GivenOptions& aOptions);
ExitCode
RunCheckCommand(const GivenOptions& aOptions);
ExitCode
RunDrainCommand(const GivenOptions& aOptions);
ExitCode
RunKeysCommand(const GivenOptions& aOptions);

/// Prints a problem to standard error.
void
PrintProblem(std::string_view aMessage);
/// @return the exit code for an error, after printing it.
ExitCode
ReportError(const Error& aError);
/// @return what --json asks for.
Output
OutputOf(const GivenOptions& aOptions);
/// Sends a request to the node that --node names.
/// @return the response, or the exit code in aExit after the problem was printed.
std::optional<AdminResponse>
AskNode(const GivenOptions& aOptions, AdminRequest aRequest, ExitCode& aExit);
/// @return aText as a JSON object; empty if it is none.
boost::json::object
ParseAnswer(const std::string& aText);
/// Splits REGION=FILE.
/// @return true on success.
bool
SplitOverlay(const std::string& aText, std::string& aRegion, std::string& aFile);
/// Reads a document file.
Result<boost::json::object>
ReadDocument(const std::string& aPath);

} // namespace sequoiastep::cli
