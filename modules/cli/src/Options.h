/// @file
/// Command-line parsing, based on popt.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::cli {

/// An option that a command accepts.
struct OptionSpec
{
  std::string_view m_name;
  /// Placeholder of the value in the help; empty for a flag.
  std::string_view m_placeholder;
  std::string_view m_help;
};

/// A command and the arguments that it accepts.
struct CommandSpec
{
  std::string_view m_name;
  std::string_view m_summary;
  std::vector<OptionSpec> m_options;
  /// Placeholder of the positional arguments in the help; none are accepted if empty.
  std::string_view m_positional = {};
};

/// An option as given on the command line; the value of a flag is empty.
struct GivenOption
{
  std::string m_name;
  std::string m_value;
};

/// The options and positional arguments of one command line, in the order given.
class GivenOptions
{
public:
  /// @param aPositional arguments that belong to no option.
  GivenOptions(std::vector<GivenOption> aOptions, std::vector<std::string> aPositional);
  /// @return the last value given for aName, or nothing.
  std::optional<std::string> Value(std::string_view aName) const;
  /// @return all values given for aName.
  std::vector<std::string> Values(std::string_view aName) const;
  /// @return true if aName was given.
  bool Has(std::string_view aName) const;
  /// @return arguments that belong to no option, in the order given.
  const std::vector<std::string>& Positional() const;

private:
  std::vector<GivenOption> m_options;
  std::vector<std::string> m_positional;
};

/// Result of ParseOptions().
struct ParsedOptions
{
  /// Nothing if the arguments are wrong or --help was given.
  std::optional<GivenOptions> m_options;
  bool m_helpShown = false;
  /// What is wrong with the arguments; empty otherwise.
  std::string m_error;
};

/// Parses a command line; --help prints the help to standard output.
/// @param aArguments the command's name and the arguments after it.
ParsedOptions
ParseOptions(const CommandSpec& aSpec, int aCount, const char** aArguments);

} // namespace sequoiastep::cli
