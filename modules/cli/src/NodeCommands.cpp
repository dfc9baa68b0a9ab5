// status, drain, keys: questions and requests to one node.
#include "CommandsPriv.h"

#include <boost/json.hpp>
#include <cstdlib>
#include <fmt/core.h>

namespace sequoiastep::cli {

namespace json = boost::json;

namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnauthorized = 401;
constexpr long kMostKeys = 1000;

std::string
Show(const json::object& aObject, std::string_view aKey)
{
  const json::value* value = aObject.if_contains(aKey);
  if (value == nullptr) {
    return "?";
  }
  return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

void
PrintStatus(const json::object& aStatus)
{
  fmt::print("node {} ({}, {}): version {}, ready {}, state {}\n",
             Show(aStatus, "node"),
             Show(aStatus, "region"),
             Show(aStatus, "failure_domain"),
             Show(aStatus, "version"),
             Show(aStatus, "ready"),
             Show(aStatus, "state"));
  const std::string blocked = Show(aStatus, "blocked");
  if (!blocked.empty() && blocked != "?") {
    fmt::print("replay is blocked: {}\n", blocked);
  }
  const json::value* regions = aStatus.if_contains("regions");
  if (regions == nullptr || !regions->is_array()) {
    return;
  }
  for (const json::value& region : regions->get_array()) {
    const json::object& row = region.as_object();
    fmt::print("region {}: {} of {} nodes report, lowest version {}, {} ms ago\n",
               Show(row, "region"),
               Show(row, "nodes"),
               Show(row, "members"),
               Show(row, "lowest_version"),
               Show(row, "age_ms"));
  }
}

ExitCode
ExitFor(const AdminResponse& aResponse)
{
  if (aResponse.m_status == kStatusOk) {
    return ExitCode::Done;
  }
  PrintProblem(Show(ParseAnswer(aResponse.m_body), "detail"));
  return aResponse.m_status == kStatusUnauthorized ? ExitCode::Usage : ExitCode::Refused;
}

} // namespace

ExitCode
RunStatusCommand(const GivenOptions& aOptions)
{
  ExitCode exit = ExitCode::Done;
  const auto response = AskNode(aOptions, { .m_target = "/admin/v1/status" }, exit);
  if (!response) {
    return exit;
  }
  if (OutputOf(aOptions) == Output::Programs) {
    fmt::print("{}\n", response->m_body);
  } else {
    PrintStatus(ParseAnswer(response->m_body));
  }
  return ExitFor(*response);
}

ExitCode
RunDrainCommand(const GivenOptions& aOptions)
{
  ExitCode exit = ExitCode::Done;
  const auto response = AskNode(aOptions, { .m_post = true, .m_target = "/admin/v1/drain" }, exit);
  if (!response) {
    return exit;
  }
  exit = ExitFor(*response);
  if (exit == ExitCode::Done) {
    fmt::print("{}\n",
               OutputOf(aOptions) == Output::Programs
                 ? response->m_body
                 : "draining; the node exits once its requests are answered");
  }
  return exit;
}

ExitCode
RunKeysCommand(const GivenOptions& aOptions)
{
  const std::string countText = aOptions.Value("count").value_or("1");
  char* end = nullptr;
  const long count = std::strtol(countText.c_str(), &end, 10);
  if (*end != '\0' || count < 1 || count > kMostKeys) {
    PrintProblem(fmt::format("--count: give a whole number from 1 to {}", kMostKeys));
    return ExitCode::Usage;
  }
  ExitCode exit = ExitCode::Done;
  const auto response =
    AskNode(aOptions,
            { .m_post = true, .m_target = fmt::format("/.sequoiastep/v1/keys?count={}", count) },
            exit);
  if (!response) {
    return exit;
  }
  exit = ExitFor(*response);
  if (exit != ExitCode::Done) {
    return exit;
  }
  if (OutputOf(aOptions) == Output::Programs) {
    fmt::print("{}\n", response->m_body);
    return exit;
  }
  const json::object answer = ParseAnswer(response->m_body);
  const json::value* keys = answer.if_contains("keys");
  if (keys != nullptr && keys->is_array()) {
    for (const json::value& key : keys->get_array()) {
      fmt::print("{}\n", key.is_string() ? std::string(key.get_string()) : "?");
    }
  }
  return exit;
}

} // namespace sequoiastep::cli
