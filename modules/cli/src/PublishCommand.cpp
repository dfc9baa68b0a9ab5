// The commands publish and check: change the configuration, or validate a change offline.
#include "CommandsPriv.h"
#include "Documents.h"

#include <boost/json.hpp>
#include <chrono>
#include <fmt/core.h>
#include <random>
#include <thread>

namespace sequoiastep::cli {

namespace json = boost::json;

namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusAccepted = 202;
constexpr unsigned kStatusUnauthorized = 401;
constexpr std::chrono::milliseconds kPollInterval{ 50 };
constexpr std::chrono::seconds kMaxWait{ 60 };

// Returns 0 if the key is absent or its value isn't a valid unsigned integer.
std::uint64_t
NumberOf(const json::object& aObject, std::string_view aKey)
{
  const json::value* value = aObject.if_contains(aKey);
  boost::system::error_code error;
  const auto number = value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

// Returns an empty string if the key is absent or its value isn't a string.
std::string
TextOf(const json::object& aObject, std::string_view aKey)
{
  const json::value* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::string
NewPublishId()
{
  std::random_device device;
  return fmt::format("cli-{:08x}{:08x}{:08x}", device(), device(), device());
}

// Reads the files given with --base and --overlay into aDocuments.
Result<void>
ReadDocuments(const GivenOptions& aOptions, config::Documents& aDocuments, bool& aHasBase)
{
  if (const auto base = aOptions.Value("base")) {
    BOOST_LEAF_ASSIGN(aDocuments.m_base, ReadDocument(*base));
    aHasBase = true;
  }
  for (const std::string& overlay : aOptions.Values("overlay")) {
    std::string region;
    std::string file;
    if (!SplitOverlay(overlay, region, file)) {
      return Fail(ErrorKind::BadSettings, "the overlays can't be read");
    }
    BOOST_LEAF_ASSIGN(aDocuments.m_overlays[region], ReadDocument(file));
  }
  return {};
}

// Builds the body of a publish request. Returns nothing after printing an error.
std::optional<json::object>
MakePublishBody(const GivenOptions& aOptions, ExitCode& aExit)
{
  config::Documents documents;
  bool hasBase = false;
  const bool read = Handle(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(ReadDocuments(aOptions, documents, hasBase));
      return true;
    },
    [&](const Error& aError) {
      aExit = ReportError(aError);
      return false;
    });
  if (!read) {
    return std::nullopt;
  }
  if (!hasBase && documents.m_overlays.empty()) {
    PrintError("give --base, --overlay or both");
    aExit = ExitCode::Usage;
    return std::nullopt;
  }
  json::object body;
  body["publish_id"] = aOptions.Value("publish-id").value_or(NewPublishId());
  if (hasBase) {
    body["base"] = documents.m_base;
  }
  json::object overlays;
  for (const auto& [region, overlay] : documents.m_overlays) {
    overlays[region] = overlay;
  }
  if (!overlays.empty()) {
    body["overlays"] = overlays;
  }
  return body;
}

// Sets expected_version to the value of --expect, or else to the node's version. Returns false
// after printing an error.
bool
SetExpectedVersion(const GivenOptions& aOptions, json::object& aBody, ExitCode& aExit)
{
  if (const auto expect = aOptions.Value("expect")) {
    char* end = nullptr;
    aBody["expected_version"] = std::strtoull(expect->c_str(), &end, 10);
    if (expect->empty() || *end != '\0') {
      PrintError("--expect must be a version, a whole number");
      aExit = ExitCode::Usage;
      return false;
    }
    return true;
  }
  const auto status = SendToNode(aOptions, { .m_target = "/admin/v1/status" }, aExit);
  if (!status) {
    return false;
  }
  aBody["expected_version"] = NumberOf(ParseResponseBody(status->m_body), "version");
  return true;
}

// Returns true if every member of every region reports at least aVersion.
bool
IsInstalledEverywhere(const json::object& aStatus, std::uint64_t aVersion)
{
  const json::value* regions = aStatus.if_contains("regions");
  if (regions == nullptr || !regions->is_array() || regions->get_array().empty()) {
    return false;
  }
  for (const json::value& value : regions->get_array()) {
    const json::object& region = value.as_object();
    if (NumberOf(region, "lowest_version") < aVersion ||
        NumberOf(region, "nodes") < NumberOf(region, "members")) {
      return false;
    }
  }
  return true;
}

// Polls the node's status until all nodes have installed aVersion, or for kMaxWait.
ExitCode
WaitForAllNodes(const GivenOptions& aOptions, std::uint64_t aVersion)
{
  const auto start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start < kMaxWait) {
    ExitCode exit = ExitCode::Done;
    const auto status = SendToNode(aOptions, { .m_target = "/admin/v1/status" }, exit);
    if (!status) {
      return exit;
    }
    if (IsInstalledEverywhere(ParseResponseBody(status->m_body), aVersion)) {
      const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - start);
      if (RequestedFormat(aOptions) == OutputFormat::Text) {
        fmt::print("in force on all nodes after {} ms\n", elapsed.count());
      }
      return ExitCode::Done;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  PrintError(fmt::format("version {} was accepted, but not all nodes have installed it after "
                         "{} s; see sequoiastep status",
                         aVersion,
                         kMaxWait.count()));
  return ExitCode::Unreachable;
}

} // namespace

ExitCode
RunPublishCommand(const GivenOptions& aOptions)
{
  ExitCode exit = ExitCode::Done;
  auto body = MakePublishBody(aOptions, exit);
  if (!body || !SetExpectedVersion(aOptions, *body, exit)) {
    return exit;
  }
  const auto response =
    SendToNode(aOptions,
               { .m_post = true, .m_target = "/admin/v1/config", .m_body = json::serialize(*body) },
               exit);
  if (!response) {
    return exit;
  }
  const json::object responseBody = ParseResponseBody(response->m_body);
  if (response->m_status == kStatusUnauthorized) {
    PrintError(TextOf(responseBody, "detail"));
    return ExitCode::Usage;
  }
  const std::uint64_t version = NumberOf(responseBody, "version");
  const std::string publishId = TextOf(*body, "publish_id");
  if (RequestedFormat(aOptions) == OutputFormat::Json) {
    json::object printed = responseBody;
    printed["publish_id"] = publishId;
    fmt::print("{}\n", json::serialize(printed));
  } else {
    fmt::print("{}: version {}\n", TextOf(responseBody, "outcome"), version);
  }
  if (response->m_status == kStatusAccepted) {
    PrintError(fmt::format("{}; retry with --publish-id {} --expect {}",
                           TextOf(responseBody, "reason"),
                           publishId,
                           NumberOf(*body, "expected_version")));
    return ExitCode::Unreachable;
  }
  if (response->m_status != kStatusOk) {
    PrintError(TextOf(responseBody, "reason"));
    return ExitCode::Refused;
  }
  return aOptions.Has("wait") ? WaitForAllNodes(aOptions, version) : ExitCode::Done;
}

ExitCode
RunCheckCommand(const GivenOptions& aOptions)
{
  const auto check = [&]() -> Result<ExitCode> {
    config::Documents documents;
    bool hasBase = false;
    BOOST_LEAF_CHECK(ReadDocuments(aOptions, documents, hasBase));
    if (!hasBase) {
      return Fail(ErrorKind::BadSettings, "--base FILE is required");
    }
    BOOST_LEAF_CHECK(config::CheckAllRegions(documents));
    fmt::print("{}\n",
               RequestedFormat(aOptions) == OutputFormat::Json
                 ? std::string("{\"valid\":true}")
                 : fmt::format("valid for the base and {} regions", documents.m_overlays.size()));
    return ExitCode::Done;
  };
  return Handle(check, [&](const Error& aError) {
    if (RequestedFormat(aOptions) == OutputFormat::Json) {
      fmt::print(
        "{}\n",
        json::serialize(json::object{ { "valid", false }, { "reason", aError.m_message } }));
    }
    return ReportError(aError);
  });
}

} // namespace sequoiastep::cli
