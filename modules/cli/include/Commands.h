/// @file
/// Entry point of the command line.
#pragma once

namespace sequoiastep::cli {

/// Exit code of a command; scripts depend on the values.
enum class ExitCode
{
  Done = 0,
  /// The mesh refused the request, the offline check failed, or explain found no line of the id.
  Refused = 1,
  /// Wrong arguments, settings or admin token, or an unreadable file.
  Usage = 2,
  /// A node is unreachable, a port is in use, a publication's outcome is unknown, or not all nodes
  /// installed the version in time.
  Unreachable = 3,
};

/// Runs the command that aArguments[1] names and prints its result or errors.
/// @return the exit code of the process.
ExitCode
RunCommand(int aCount, const char** aArguments);

} // namespace sequoiastep::cli
