#include "Options.h"

#include <cstdlib>
#include <fmt/core.h>
#include <memory>
#include <popt.h>

namespace sequoiastep::cli {

namespace {

// Values that poptGetNextOpt() returns; those of a command's options count up from the second.
constexpr int kHelpId = 1;
constexpr int kFirstOptionId = 2;

struct PoptContextDeleter
{
  void operator()(poptContext aContext) const { poptFreeContext(aContext); }
};

using PoptContextPtr = std::unique_ptr<poptContext_s, PoptContextDeleter>;

// A popt option table and the strings that its rows point to.
struct PoptTable
{
  std::vector<std::string> m_texts;
  std::vector<poptOption> m_rows;
};

PoptTable
MakePoptTable(const CommandSpec& aSpec)
{
  PoptTable table;
  // Reserved up front: the rows keep pointers to strings, which must not move.
  table.m_texts.reserve(aSpec.m_options.size() * 3);
  const auto addText = [&](std::string_view aText) {
    table.m_texts.emplace_back(aText);
    return table.m_texts.back().c_str();
  };
  int id = kFirstOptionId;
  for (const OptionSpec& option : aSpec.m_options) {
    const bool isFlag = option.m_placeholder.empty();
    table.m_rows.push_back({ addText(option.m_name),
                             '\0',
                             isFlag ? POPT_ARG_NONE : POPT_ARG_STRING,
                             nullptr,
                             id++,
                             addText(option.m_help),
                             isFlag ? nullptr : addText(option.m_placeholder) });
  }
  table.m_rows.push_back(
    { "help", '?', POPT_ARG_NONE, nullptr, kHelpId, "Show this help", nullptr });
  table.m_rows.push_back({ nullptr, '\0', 0, nullptr, 0, nullptr, nullptr });
  return table;
}

void
PrintHelp(const CommandSpec& aSpec)
{
  fmt::print("sequoiastep {}: {}\n\n", aSpec.m_name, aSpec.m_summary);
  if (!aSpec.m_positional.empty()) {
    fmt::print("  {:<28}{}\n", aSpec.m_positional, "One or more");
  }
  for (const OptionSpec& option : aSpec.m_options) {
    const std::string leftColumn = option.m_placeholder.empty()
                                     ? fmt::format("--{}", option.m_name)
                                     : fmt::format("--{}={}", option.m_name, option.m_placeholder);
    fmt::print("  {:<28}{}\n", leftColumn, option.m_help);
  }
  fmt::print("  {:<28}{}\n", "--help", "Show this help");
}

} // namespace

GivenOptions::GivenOptions(std::vector<GivenOption> aOptions, std::vector<std::string> aPositional)
  : m_options(std::move(aOptions))
  , m_positional(std::move(aPositional))
{
}

std::optional<std::string>
GivenOptions::Value(std::string_view aName) const
{
  const std::vector<std::string> values = Values(aName);
  return values.empty() ? std::nullopt : std::optional<std::string>(values.back());
}

std::vector<std::string>
GivenOptions::Values(std::string_view aName) const
{
  std::vector<std::string> values;
  for (const GivenOption& option : m_options) {
    if (option.m_name == aName) {
      values.push_back(option.m_value);
    }
  }
  return values;
}

bool
GivenOptions::Has(std::string_view aName) const
{
  return Value(aName).has_value();
}

const std::vector<std::string>&
GivenOptions::Positional() const
{
  return m_positional;
}

ParsedOptions
ParseOptions(const CommandSpec& aSpec, int aCount, const char** aArguments)
{
  PoptTable table = MakePoptTable(aSpec);
  const PoptContextPtr context(
    poptGetContext("sequoiastep", aCount, aArguments, table.m_rows.data(), 0));
  std::vector<GivenOption> given;
  int code = 0;
  while ((code = poptGetNextOpt(context.get())) > 0) {
    if (code == kHelpId) {
      PrintHelp(aSpec);
      return { .m_options = std::nullopt, .m_helpShown = true, .m_error = {} };
    }
    const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()),
                                                            &std::free);
    const OptionSpec& option = aSpec.m_options[static_cast<std::size_t>(code - kFirstOptionId)];
    given.push_back({ .m_name = std::string(option.m_name), .m_value = value ? value.get() : "" });
  }
  // -1 ends the options; lower values are errors.
  if (code < -1) {
    const std::string error = fmt::format(
      "{}: {}", poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(code));
    return { .m_options = std::nullopt, .m_helpShown = false, .m_error = error };
  }
  std::vector<std::string> positional;
  while (const char* argument = poptGetArg(context.get())) {
    if (aSpec.m_positional.empty()) {
      const std::string error = fmt::format("unexpected argument '{}'", argument);
      return { .m_options = std::nullopt, .m_helpShown = false, .m_error = error };
    }
    positional.emplace_back(argument);
  }
  return { .m_options = GivenOptions(std::move(given), std::move(positional)),
           .m_helpShown = false,
           .m_error = {} };
}

} // namespace sequoiastep::cli
