#include "Options.h"

#include <cstdlib>
#include <fmt/core.h>
#include <memory>
#include <popt.h>

namespace sequoiastep::cli {

namespace {

constexpr int kHelp = 1;
constexpr int kFirstOption = 2;

struct FreeContext
{
  void operator()(poptContext aContext) const { poptFreeContext(aContext); }
};

using ContextPtr = std::unique_ptr<poptContext_s, FreeContext>;

// Texts of a popt table, kept alive as long as it.
struct Table
{
  std::vector<std::string> m_texts;
  std::vector<poptOption> m_rows;
};

Table
MakeTable(const CommandSpec& aSpec)
{
  Table table;
  table.m_texts.reserve(aSpec.m_options.size() * 3);
  const auto keep = [&](std::string_view aText) {
    table.m_texts.emplace_back(aText);
    return table.m_texts.back().c_str();
  };
  int value = kFirstOption;
  for (const OptionSpec& option : aSpec.m_options) {
    const bool flag = option.m_value.empty();
    table.m_rows.push_back({ keep(option.m_name),
                             '\0',
                             flag ? POPT_ARG_NONE : POPT_ARG_STRING,
                             nullptr,
                             value++,
                             keep(option.m_help),
                             flag ? nullptr : keep(option.m_value) });
  }
  table.m_rows.push_back({ "help", '?', POPT_ARG_NONE, nullptr, kHelp, "Show this help", nullptr });
  table.m_rows.push_back({ nullptr, '\0', 0, nullptr, 0, nullptr, nullptr });
  return table;
}

void
PrintHelp(const CommandSpec& aSpec)
{
  fmt::print("sequoiastep {}: {}\n\n", aSpec.m_name, aSpec.m_summary);
  if (!aSpec.m_rest.empty()) {
    fmt::print("  {:<28}{}\n", aSpec.m_rest, "One at least");
  }
  for (const OptionSpec& option : aSpec.m_options) {
    const std::string left = option.m_value.empty()
                               ? fmt::format("--{}", option.m_name)
                               : fmt::format("--{}={}", option.m_name, option.m_value);
    fmt::print("  {:<28}{}\n", left, option.m_help);
  }
  fmt::print("  {:<28}{}\n", "--help", "Show this help");
}

} // namespace

GivenOptions::GivenOptions(std::vector<GivenOption> aOptions, std::vector<std::string> aRest)
  : m_options(std::move(aOptions))
  , m_rest(std::move(aRest))
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
GivenOptions::Rest() const
{
  return m_rest;
}

ParsedOptions
ParseOptions(const CommandSpec& aSpec, int aCount, const char** aArguments)
{
  Table table = MakeTable(aSpec);
  const ContextPtr context(
    poptGetContext("sequoiastep", aCount, aArguments, table.m_rows.data(), 0));
  std::vector<GivenOption> given;
  int found = 0;
  while ((found = poptGetNextOpt(context.get())) > 0) {
    if (found == kHelp) {
      PrintHelp(aSpec);
      return { .m_given = std::nullopt, .m_helpShown = true, .m_problem = {} };
    }
    const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()),
                                                            &std::free);
    const OptionSpec& option = aSpec.m_options[static_cast<std::size_t>(found - kFirstOption)];
    given.push_back({ .m_name = std::string(option.m_name), .m_value = value ? value.get() : "" });
  }
  if (found < -1) {
    const std::string problem = fmt::format(
      "{}: {}", poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(found));
    return { .m_given = std::nullopt, .m_helpShown = false, .m_problem = problem };
  }
  std::vector<std::string> rest;
  while (const char* extra = poptGetArg(context.get())) {
    if (aSpec.m_rest.empty()) {
      const std::string problem = fmt::format("'{}' is not expected here", extra);
      return { .m_given = std::nullopt, .m_helpShown = false, .m_problem = problem };
    }
    rest.emplace_back(extra);
  }
  return { .m_given = GivenOptions(std::move(given), std::move(rest)),
           .m_helpShown = false,
           .m_problem = {} };
}

} // namespace sequoiastep::cli
