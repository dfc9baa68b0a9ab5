// The commands status, rollouts, drain and keys, which send one request to one node.
#include "CommandsPriv.h"

#include <boost/json.hpp>
#include <cstdlib>
#include <fmt/core.h>

namespace sequoiastep::cli {

namespace json = boost::json;

namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnauthorized = 401;
constexpr long kMaxKeys = 1000;

// Returns a string as it is, any other value as JSON, and "?" for an absent key.
std::string
FieldText(const json::object& aObject, std::string_view aKey)
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
             FieldText(aStatus, "node"),
             FieldText(aStatus, "region"),
             FieldText(aStatus, "failure_domain"),
             FieldText(aStatus, "version"),
             FieldText(aStatus, "ready"),
             FieldText(aStatus, "state"));
  const std::string blocked = FieldText(aStatus, "blocked");
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
               FieldText(row, "region"),
               FieldText(row, "nodes"),
               FieldText(row, "members"),
               FieldText(row, "lowest_version"),
               FieldText(row, "age_ms"));
  }
}

void
PrintRollouts(const json::object& aBody)
{
  const json::value* rollouts = aBody.if_contains("rollouts");
  if (rollouts == nullptr || !rollouts->is_array()) {
    return;
  }
  for (const json::value& rollout : rollouts->get_array()) {
    const json::object& row = rollout.as_object();
    fmt::print("service {}: version {} after {}, phase {}, stored {}, order {}, {} ms left, "
               "targets {}\n",
               FieldText(row, "service"),
               FieldText(row, "version"),
               FieldText(row, "established"),
               FieldText(row, "phase"),
               FieldText(row, "stored"),
               FieldText(row, "order"),
               FieldText(row, "left_ms"),
               FieldText(row, "targets"));
  }
}

// Prints the detail of an error response.
ExitCode
ExitCodeFor(const AdminResponse& aResponse)
{
  if (aResponse.m_status == kStatusOk) {
    return ExitCode::Done;
  }
  PrintError(FieldText(ParseResponseBody(aResponse.m_body), "detail"));
  return aResponse.m_status == kStatusUnauthorized ? ExitCode::Usage : ExitCode::Refused;
}

} // namespace

ExitCode
RunStatusCommand(const GivenOptions& aOptions)
{
  ExitCode exit = ExitCode::Done;
  const auto response = SendToNode(aOptions, { .m_target = "/admin/v1/status" }, exit);
  if (!response) {
    return exit;
  }
  if (RequestedFormat(aOptions) == OutputFormat::Json) {
    fmt::print("{}\n", response->m_body);
  } else {
    PrintStatus(ParseResponseBody(response->m_body));
  }
  return ExitCodeFor(*response);
}

ExitCode
RunRolloutsCommand(const GivenOptions& aOptions)
{
  ExitCode exit = ExitCode::Done;
  const auto response = SendToNode(aOptions, { .m_target = "/admin/v1/rollouts" }, exit);
  if (!response) {
    return exit;
  }
  exit = ExitCodeFor(*response);
  if (exit != ExitCode::Done) {
    return exit;
  }
  if (RequestedFormat(aOptions) == OutputFormat::Json) {
    fmt::print("{}\n", response->m_body);
  } else {
    PrintRollouts(ParseResponseBody(response->m_body));
  }
  return exit;
}

ExitCode
RunDrainCommand(const GivenOptions& aOptions)
{
  ExitCode exit = ExitCode::Done;
  const auto response =
    SendToNode(aOptions, { .m_post = true, .m_target = "/admin/v1/drain" }, exit);
  if (!response) {
    return exit;
  }
  exit = ExitCodeFor(*response);
  if (exit == ExitCode::Done) {
    fmt::print("{}\n",
               RequestedFormat(aOptions) == OutputFormat::Json
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
  if (*end != '\0' || count < 1 || count > kMaxKeys) {
    PrintError(fmt::format("--count must be a whole number from 1 to {}", kMaxKeys));
    return ExitCode::Usage;
  }
  ExitCode exit = ExitCode::Done;
  const auto response =
    SendToNode(aOptions,
               { .m_post = true, .m_target = fmt::format("/.sequoiastep/v1/keys?count={}", count) },
               exit);
  if (!response) {
    return exit;
  }
  exit = ExitCodeFor(*response);
  if (exit != ExitCode::Done) {
    return exit;
  }
  if (RequestedFormat(aOptions) == OutputFormat::Json) {
    fmt::print("{}\n", response->m_body);
    return exit;
  }
  const json::object responseBody = ParseResponseBody(response->m_body);
  const json::value* keys = responseBody.if_contains("keys");
  if (keys != nullptr && keys->is_array()) {
    for (const json::value& key : keys->get_array()) {
      fmt::print("{}\n", key.is_string() ? std::string(key.get_string()) : "?");
    }
  }
  return exit;
}

} // namespace sequoiastep::cli
