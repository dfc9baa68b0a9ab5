#include "Settings.h"

#include "Address.h"
#include "Documents.h"
#include "NameTable.h"
#include "ObjectReader.h"

#include <array>
#include <boost/json.hpp>
#include <fmt/core.h>
#include <fstream>
#include <sstream>

namespace sequoiastep::node {

namespace json = boost::json;

using config::NumberRule;
using config::ObjectReader;

namespace {

constexpr std::array<LogLevel, 4> kLogLevels{ LogLevel::Debug,
                                              LogLevel::Info,
                                              LogLevel::Warning,
                                              LogLevel::Error };

// A numeric setting of an optional section: its key, the member that holds it and its range.
template<typename Section>
struct NumberField
{
  std::string_view m_key;
  std::uint64_t Section::*m_member;
  std::uint64_t m_min;
  std::uint64_t m_max;
};

constexpr std::uint64_t kDayMs = 86'400'000;

constexpr std::array<NumberField<Limits>, 12> kLimitFields{ {
  { "max_body_bytes", &Limits::m_maxBodyBytes, 1024, 12U << 20 },
  { "max_header_bytes", &Limits::m_maxHeaderBytes, 1024, 1U << 20 },
  { "memory_mb", &Limits::m_memoryMb, 16, 1U << 20 },
  { "max_connections", &Limits::m_maxConnections, 1, 60'000 },
  { "caller_memory_mb", &Limits::m_callerMemoryMb, 0, 1U << 20 },
  { "reserved_descriptors", &Limits::m_reservedDescriptors, 0, 60'000 },
  { "handshakes", &Limits::m_handshakes, 1, 60'000 },
  { "max_calls", &Limits::m_maxCalls, 1, 60'000 },
  { "joins_per_second", &Limits::m_joinsPerSecond, 1, 1000 },
  { "remembered_keys", &Limits::m_rememberedKeys, 1, 1'000'000 },
  { "remembered_answer_bytes", &Limits::m_rememberedAnswerBytes, 1024, 1U << 30 },
  { "own_key_retention_ms", &Limits::m_ownKeyRetentionMs, 1000, 30 * kDayMs },
} };

constexpr std::array<NumberField<Timings>, 13> kTimingFields{ {
  { "heartbeat_ms", &Timings::m_heartbeatMs, 100, 10'000 },
  { "suspect_after_ms", &Timings::m_suspectAfterMs, 500, 60'000 },
  { "join_wait_ms", &Timings::m_joinWaitMs, 100, 60'000 },
  { "publish_wait_ms", &Timings::m_publishWaitMs, 100, 60'000 },
  { "checkpoint_every_ms", &Timings::m_checkpointEveryMs, 1000, kDayMs },
  { "directory_every_ms", &Timings::m_directoryEveryMs, 1000, kDayMs },
  { "log_wait_ms", &Timings::m_logWaitMs, 100, 30'000 },
  { "log_timeout_ms", &Timings::m_logTimeoutMs, 100, 30'000 },
  { "version_hold_ms", &Timings::m_versionHoldMs, 0, 5000 },
  { "drain_ms", &Timings::m_drainMs, 100, 600'000 },
  { "drain_after_ms", &Timings::m_drainAfterMs, 0, 60'000 },
  { "drain_notice_ms", &Timings::m_drainNoticeMs, 0, 60'000 },
  { "caller_notice_ms", &Timings::m_callerNoticeMs, 0, 60'000 },
} };

constexpr std::array<NumberField<Links>, 2> kLinkFields{ {
  { "fan_out", &Links::m_fanOut, 1, 64 },
  { "chords", &Links::m_chords, 0, 16 },
} };

constexpr std::array<std::string_view, 6> kSections{ "caller", "target",   "admin",
                                                     "peer",   "platform", "trace" };

ObjectReader
MakeReader(const json::object* aObject, std::string_view aSection)
{
  static const json::object kEmpty;
  return { aObject == nullptr ? kEmpty : *aObject,
           fmt::format("settings.{}", aSection),
           ErrorKind::BadSettings };
}

Result<std::string>
ReadAddress(ObjectReader& aReader, std::string_view aKey, std::string_view aSection)
{
  BOOST_LEAF_AUTO(text, aReader.Text(aKey));
  const std::string problem = Handle(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(net::ParseAddress(text));
      return std::string();
    },
    [](const Error& aError) { return aError.m_message; });
  if (!problem.empty()) {
    return Fail(ErrorKind::BadSettings, fmt::format("settings.{}.{}: {}", aSection, aKey, problem));
  }
  return text;
}

template<typename Section, std::size_t Size>
Result<Section>
ReadNumbers(const json::object* aObject,
            std::string_view aSection,
            const std::array<NumberField<Section>, Size>& aFields)
{
  Section section;
  ObjectReader reader = MakeReader(aObject, aSection);
  for (const auto& field : aFields) {
    BOOST_LEAF_ASSIGN(section.*field.m_member,
                      reader.Number(field.m_key,
                                    NumberRule{ .m_default = section.*field.m_member,
                                                .m_min = field.m_min,
                                                .m_max = field.m_max }));
  }
  BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
  return section;
}

Result<std::string>
ReadListen(const json::object* aObject, std::string_view aSection)
{
  ObjectReader reader = MakeReader(aObject, aSection);
  BOOST_LEAF_AUTO(listen, ReadAddress(reader, "listen", aSection));
  BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
  return listen;
}

Result<void>
ReadTarget(const json::object* aObject, Settings& aSettings)
{
  ObjectReader reader = MakeReader(aObject, "target");
  BOOST_LEAF_ASSIGN(aSettings.m_targetListen, ReadAddress(reader, "listen", "target"));
  BOOST_LEAF_ASSIGN(aSettings.m_targetService, reader.TextOr("service", ""));
  BOOST_LEAF_ASSIGN(aSettings.m_targetAddress, reader.TextOr("address", ""));
  return reader.RejectUnknownKeys();
}

Result<void>
ReadRetries(const json::object* aObject, Settings& aSettings)
{
  constexpr NumberRule kExtraRule{ .m_default = 60, .m_min = 0, .m_max = 1'000'000 };
  constexpr NumberRule kWindowRule{ .m_default = 10'000, .m_min = 1000, .m_max = 600'000 };
  Retries& retries = aSettings.m_retries;
  ObjectReader reader = MakeReader(aObject, "retries");
  BOOST_LEAF_ASSIGN(retries.m_ratio, reader.Fraction("ratio", retries.m_ratio));
  BOOST_LEAF_ASSIGN(retries.m_share, reader.Fraction("share", retries.m_share));
  BOOST_LEAF_AUTO(extra, reader.Number("extra", kExtraRule));
  BOOST_LEAF_ASSIGN(retries.m_windowMs, reader.Number("window_ms", kWindowRule));
  retries.m_extra = static_cast<double>(extra);
  return reader.RejectUnknownKeys();
}

Result<std::optional<Quotas>>
ReadQuotas(const json::object* aObject)
{
  if (aObject == nullptr) {
    return std::optional<Quotas>();
  }
  constexpr NumberRule kWindowRule{ .m_default = 5000, .m_min = 1000, .m_max = 600'000 };
  constexpr NumberRule kSlackRule{ .m_default = 20, .m_min = 0, .m_max = 1'000'000 };
  Quotas quotas;
  ObjectReader reader = MakeReader(aObject, "quotas");
  BOOST_LEAF_ASSIGN(quotas.m_windowMs, reader.Number("window_ms", kWindowRule));
  BOOST_LEAF_ASSIGN(quotas.m_over, reader.Fraction("over", quotas.m_over));
  BOOST_LEAF_ASSIGN(quotas.m_slack, reader.Number("slack", kSlackRule));
  BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
  return std::optional(quotas);
}

Result<std::optional<Rollouts>>
ReadRollouts(const json::object* aObject)
{
  if (aObject == nullptr) {
    return std::optional<Rollouts>();
  }
  constexpr NumberRule kSlackRule{ .m_default = 50, .m_min = 0, .m_max = 1'000'000 };
  constexpr NumberRule kRollbackRule{ .m_default = 5000, .m_min = 100, .m_max = 600'000 };
  Rollouts rollouts;
  ObjectReader reader = MakeReader(aObject, "rollouts");
  BOOST_LEAF_ASSIGN(rollouts.m_share, reader.Fraction("share", rollouts.m_share));
  BOOST_LEAF_ASSIGN(rollouts.m_slack, reader.Number("slack", kSlackRule));
  BOOST_LEAF_ASSIGN(rollouts.m_rollbackMs, reader.Number("rollback_ms", kRollbackRule));
  BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
  return std::optional(rollouts);
}

Result<void>
ReadAdmin(const json::object* aObject, Settings& aSettings)
{
  ObjectReader reader = MakeReader(aObject, "admin");
  BOOST_LEAF_ASSIGN(aSettings.m_adminListen, ReadAddress(reader, "listen", "admin"));
  BOOST_LEAF_ASSIGN(aSettings.m_adminToken, reader.TextOr("token", ""));
  return reader.RejectUnknownKeys();
}

Result<void>
ReadMetrics(const json::object* aObject, Settings& aSettings)
{
  ObjectReader reader = MakeReader(aObject, "metrics");
  BOOST_LEAF_ASSIGN(aSettings.m_metricsListen, reader.TextOr("listen", ""));
  if (!aSettings.m_metricsListen.empty()) {
    BOOST_LEAF_CHECK(net::ParseAddress(aSettings.m_metricsListen));
  }
  return reader.RejectUnknownKeys();
}

Result<void>
ReadPeer(const json::object* aObject, Settings& aSettings)
{
  ObjectReader reader = MakeReader(aObject, "peer");
  BOOST_LEAF_ASSIGN(aSettings.m_peerListen, ReadAddress(reader, "listen", "peer"));
  BOOST_LEAF_ASSIGN(aSettings.m_peerHints, reader.TextList("hints"));
  BOOST_LEAF_ASSIGN(
    aSettings.m_linkMbps,
    reader.Real("link_mbps", { .m_default = aSettings.m_linkMbps, .m_min = 0.1, .m_max = 1e6 }));
  for (const std::string& hint : aSettings.m_peerHints) {
    BOOST_LEAF_CHECK(net::ParseAddress(hint));
  }
  return reader.RejectUnknownKeys();
}

Result<void>
ReadPlatform(const json::object* aObject, Settings& aSettings)
{
  ObjectReader reader = MakeReader(aObject, "platform");
  BOOST_LEAF_ASSIGN(aSettings.m_platformLog, ReadAddress(reader, "log", "platform"));
  BOOST_LEAF_ASSIGN(aSettings.m_operatorRecord, reader.Flag("operator_record", false));
  return reader.RejectUnknownKeys();
}

Result<void>
ReadTrace(const json::object* aObject, Settings& aSettings)
{
  ObjectReader reader = MakeReader(aObject, "trace");
  BOOST_LEAF_ASSIGN(aSettings.m_traceSample, reader.Fraction("sample", 0));
  return reader.RejectUnknownKeys();
}

Result<void>
ReadLog(const json::object* aObject, Settings& aSettings)
{
  ObjectReader reader = MakeReader(aObject, "log");
  BOOST_LEAF_AUTO(name, reader.TextOr("level", NameOf(LogLevel::Info)));
  BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
  for (const LogLevel level : kLogLevels) {
    if (NameOf(level) == name) {
      aSettings.m_logLevel = level;
      return {};
    }
  }
  return Fail(ErrorKind::BadSettings,
              "settings.log.level: set it to debug, info, warning or error");
}

template<typename Section, std::size_t Size>
json::object
NumbersObject(const Section& aSection, const std::array<NumberField<Section>, Size>& aFields)
{
  json::object object;
  for (const auto& field : aFields) {
    object[field.m_key] = aSection.*field.m_member;
  }
  return object;
}

} // namespace

Result<Settings>
ParseSettings(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, config::ParseObject(aText, "the settings file"));
  ObjectReader reader(object, "settings", ErrorKind::BadSettings);
  Settings settings;
  BOOST_LEAF_ASSIGN(settings.m_mesh, reader.Text("mesh"));
  BOOST_LEAF_ASSIGN(settings.m_node, reader.Text("node"));
  BOOST_LEAF_ASSIGN(settings.m_region, reader.Text("region"));
  BOOST_LEAF_ASSIGN(settings.m_failureDomain, reader.Text("failure_domain"));
  std::array<const json::object*, kSections.size()> sections{};
  for (std::size_t i = 0; i < kSections.size(); ++i) {
    BOOST_LEAF_ASSIGN(sections[i], reader.Object(kSections[i]));
  }
  BOOST_LEAF_AUTO(log, reader.Object("log"));
  BOOST_LEAF_AUTO(metrics, reader.Object("metrics"));
  BOOST_LEAF_AUTO(limits, reader.Object("limits"));
  BOOST_LEAF_AUTO(timings, reader.Object("timings"));
  BOOST_LEAF_AUTO(links, reader.Object("links"));
  BOOST_LEAF_AUTO(retries, reader.Object("retries"));
  BOOST_LEAF_AUTO(quotas, reader.Object("quotas"));
  BOOST_LEAF_AUTO(rollouts, reader.Object("rollouts"));
  BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
  BOOST_LEAF_ASSIGN(settings.m_callerListen, ReadListen(sections[0], "caller"));
  BOOST_LEAF_CHECK(ReadTarget(sections[1], settings));
  BOOST_LEAF_CHECK(ReadAdmin(sections[2], settings));
  BOOST_LEAF_CHECK(ReadPeer(sections[3], settings));
  BOOST_LEAF_CHECK(ReadPlatform(sections[4], settings));
  BOOST_LEAF_CHECK(ReadTrace(sections[5], settings));
  BOOST_LEAF_CHECK(ReadLog(log, settings));
  BOOST_LEAF_CHECK(ReadMetrics(metrics, settings));
  BOOST_LEAF_CHECK(ReadRetries(retries, settings));
  BOOST_LEAF_ASSIGN(settings.m_quotas, ReadQuotas(quotas));
  BOOST_LEAF_ASSIGN(settings.m_rollouts, ReadRollouts(rollouts));
  BOOST_LEAF_ASSIGN(settings.m_limits, ReadNumbers(limits, "limits", kLimitFields));
  BOOST_LEAF_ASSIGN(settings.m_timings, ReadNumbers(timings, "timings", kTimingFields));
  BOOST_LEAF_ASSIGN(settings.m_links, ReadNumbers(links, "links", kLinkFields));
  return settings;
}

Result<Settings>
ReadSettings(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return Fail(ErrorKind::BadSettings,
                fmt::format("can't read '{}'; check the path and its permissions", aPath));
  }
  return ParseSettings(text.str());
}

std::string
SettingsText(const Settings& aSettings)
{
  json::array hints;
  for (const std::string& hint : aSettings.m_peerHints) {
    hints.emplace_back(hint);
  }
  json::object object{
    { "mesh", aSettings.m_mesh },
    { "node", aSettings.m_node },
    { "region", aSettings.m_region },
    { "failure_domain", aSettings.m_failureDomain },
    { "caller", { { "listen", aSettings.m_callerListen } } },
    { "target",
      { { "listen", aSettings.m_targetListen },
        { "service", aSettings.m_targetService },
        { "address", aSettings.m_targetAddress } } },
    { "admin",
      { { "listen", aSettings.m_adminListen },
        { "token", aSettings.m_adminToken.empty() ? "" : "(set)" } } },
    { "peer",
      { { "listen", aSettings.m_peerListen },
        { "hints", hints },
        { "link_mbps", aSettings.m_linkMbps } } },
    { "platform",
      { { "log", aSettings.m_platformLog }, { "operator_record", aSettings.m_operatorRecord } } },
    { "trace", { { "sample", aSettings.m_traceSample } } },
    { "metrics", { { "listen", aSettings.m_metricsListen } } },
    { "log", { { "level", NameOf(aSettings.m_logLevel) } } },
    { "limits", NumbersObject(aSettings.m_limits, kLimitFields) },
    { "timings", NumbersObject(aSettings.m_timings, kTimingFields) },
    { "links", NumbersObject(aSettings.m_links, kLinkFields) },
    { "retries",
      { { "ratio", aSettings.m_retries.m_ratio },
        { "extra", static_cast<std::uint64_t>(aSettings.m_retries.m_extra) },
        { "share", aSettings.m_retries.m_share },
        { "window_ms", aSettings.m_retries.m_windowMs } } },
  };
  if (aSettings.m_quotas) {
    object["quotas"] = { { "window_ms", aSettings.m_quotas->m_windowMs },
                         { "over", aSettings.m_quotas->m_over },
                         { "slack", aSettings.m_quotas->m_slack } };
  }
  if (aSettings.m_rollouts) {
    object["rollouts"] = { { "share", aSettings.m_rollouts->m_share },
                           { "slack", aSettings.m_rollouts->m_slack },
                           { "rollback_ms", aSettings.m_rollouts->m_rollbackMs } };
  }
  return json::serialize(object);
}

} // namespace sequoiastep::node
