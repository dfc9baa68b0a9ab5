/// @file
/// Command-line options by popt.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::cli {

/// One option of a command.
struct OptionSpec
{
  std::string_view m_name;
  /// What stands for the value in the help; empty for a flag.
  std::string_view m_value;
  std::string_view m_help;
};

/// A command and its options.
struct CommandSpec
{
  std::string_view m_name;
  std::string_view m_summary;
  std::vector<OptionSpec> m_options;
  /// What further arguments stand for in the help; none are taken if empty.
  std::string_view m_rest = {};
};

/// One option that was given.
struct GivenOption
{
  std::string m_name;
  std::string m_value;
};

/// The options that were given, in order.
class GivenOptions
{
public:
  /// @param aRest arguments that belong to no option.
  GivenOptions(std::vector<GivenOption> aOptions, std::vector<std::string> aRest);
  /// @return the last value given for aName, or nothing.
  std::optional<std::string> Value(std::string_view aName) const;
  /// @return all values given for aName.
  std::vector<std::string> Values(std::string_view aName) const;
  /// @return true if aName was given.
  bool Has(std::string_view aName) const;
  /// @return arguments that belong to no option, in order.
  const std::vector<std::string>& Rest() const;

private:
  std::vector<GivenOption> m_options;
  std::vector<std::string> m_rest;
};

/// What parsing came to.
struct ParsedOptions
{
  /// Nothing if the arguments are wrong or help was asked for.
  std::optional<GivenOptions> m_given;
  bool m_helpShown = false;
  std::string m_problem;
};

/// Parses the arguments after the command's name. --help prints the help to standard output.
ParsedOptions
ParseOptions(const CommandSpec& aSpec, int aCount, const char** aArguments);

} // namespace sequoiastep::cli
