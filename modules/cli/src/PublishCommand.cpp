// publish, check: changing the configuration, or trying a change offline.
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
constexpr std::chrono::milliseconds kWaitStep{ 50 };
constexpr std::chrono::seconds kLongestWait{ 60 };

std::uint64_t
NumberOf(const json::object& aObject, std::string_view aKey)
{
  const json::value* value = aObject.if_contains(aKey);
  boost::system::error_code error;
  const auto number = value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

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

// Reads the base and the overlays that the options name into aDocuments.
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

std::optional<json::object>
MakeBody(const GivenOptions& aOptions, ExitCode& aExit)
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
    PrintProblem("give --base, --overlay or both");
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

// Sets the version that the change is made for. Returns false after printing a problem.
bool
SetExpectedVersion(const GivenOptions& aOptions, json::object& aBody, ExitCode& aExit)
{
  if (const auto expect = aOptions.Value("expect")) {
    char* end = nullptr;
    aBody["expected_version"] = std::strtoull(expect->c_str(), &end, 10);
    if (expect->empty() || *end != '\0') {
      PrintProblem("--expect: give a version, a whole number");
      aExit = ExitCode::Usage;
      return false;
    }
    return true;
  }
  const auto status = AskNode(aOptions, { .m_target = "/admin/v1/status" }, aExit);
  if (!status) {
    return false;
  }
  aBody["expected_version"] = NumberOf(ParseAnswer(status->m_body), "version");
  return true;
}

bool
IsEverywhere(const json::object& aStatus, std::uint64_t aVersion)
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

ExitCode
WaitEverywhere(const GivenOptions& aOptions, std::uint64_t aVersion)
{
  const auto start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start < kLongestWait) {
    ExitCode exit = ExitCode::Done;
    const auto status = AskNode(aOptions, { .m_target = "/admin/v1/status" }, exit);
    if (!status) {
      return exit;
    }
    if (IsEverywhere(ParseAnswer(status->m_body), aVersion)) {
      const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - start);
      if (OutputOf(aOptions) == Output::People) {
        fmt::print("in force on all nodes after {} ms\n", elapsed.count());
      }
      return ExitCode::Done;
    }
    std::this_thread::sleep_for(kWaitStep);
  }
  PrintProblem(fmt::format("version {} is accepted, but not all nodes hold it after {} s; see "
                           "sequoiastep status",
                           aVersion,
                           kLongestWait.count()));
  return ExitCode::Unreachable;
}

} // namespace

ExitCode
RunPublishCommand(const GivenOptions& aOptions)
{
  ExitCode exit = ExitCode::Done;
  auto body = MakeBody(aOptions, exit);
  if (!body || !SetExpectedVersion(aOptions, *body, exit)) {
    return exit;
  }
  const auto response =
    AskNode(aOptions,
            { .m_post = true, .m_target = "/admin/v1/config", .m_body = json::serialize(*body) },
            exit);
  if (!response) {
    return exit;
  }
  const json::object answer = ParseAnswer(response->m_body);
  if (response->m_status == kStatusUnauthorized) {
    PrintProblem(TextOf(answer, "detail"));
    return ExitCode::Usage;
  }
  const std::uint64_t version = NumberOf(answer, "version");
  const std::string publishId = TextOf(*body, "publish_id");
  if (OutputOf(aOptions) == Output::Programs) {
    json::object shown = answer;
    shown["publish_id"] = publishId;
    fmt::print("{}\n", json::serialize(shown));
  } else {
    fmt::print("{}: version {}\n", TextOf(answer, "outcome"), version);
  }
  if (response->m_status == kStatusAccepted) {
    PrintProblem(fmt::format("{}; repeat with --publish-id {} --expect {}",
                             TextOf(answer, "reason"),
                             publishId,
                             NumberOf(*body, "expected_version")));
    return ExitCode::Unreachable;
  }
  if (response->m_status != kStatusOk) {
    PrintProblem(TextOf(answer, "reason"));
    return ExitCode::Refused;
  }
  return aOptions.Has("wait") ? WaitEverywhere(aOptions, version) : ExitCode::Done;
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
               OutputOf(aOptions) == Output::Programs
                 ? std::string("{\"valid\":true}")
                 : fmt::format("valid for the base and {} regions", documents.m_overlays.size()));
    return ExitCode::Done;
  };
  return Handle(check, [&](const Error& aError) {
    if (OutputOf(aOptions) == Output::Programs) {
      fmt::print(
        "{}\n",
        json::serialize(json::object{ { "valid", false }, { "reason", aError.m_message } }));
    }
    return ReportError(aError);
  });
}

} // namespace sequoiastep::cli
