/// @file
/// The commands of the one binary.
#pragma once

namespace sequoiastep::cli {

/// How a command ended, as its exit code.
enum class ExitCode
{
  Done = 0,
  /// The mesh, or the offline check, refused it.
  Refused = 1,
  /// Wrong usage or settings.
  Usage = 2,
  /// A node or a port can't be had.
  Unreachable = 3,
};

/// Runs the command that the arguments name.
/// @return the exit code.
ExitCode
RunCommand(int aCount, const char** aArguments);

} // namespace sequoiastep::cli
