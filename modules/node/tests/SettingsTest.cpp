#include "Settings.h"
#include "Publication.h"
#include "Random.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <fmt/core.h>

using namespace sequoiastep;
using namespace sequoiastep::node;

namespace {

constexpr int kMutations = 4000;
constexpr const char* kValidSettings = R"({"mesh":"derwent","node":"hobart-a-1","region":"hobart",
 "failure_domain":"hobart-a","caller":{"listen":"127.0.0.1:8080"},"target":{"listen":"127.0.0.1:8081"},
 "admin":{"listen":"127.0.0.1:8082","token":"t"},"peer":{"listen":"127.0.0.1:8083","hints":["127.0.0.1:8183"]},
 "platform":{"log":"127.0.0.1:7000"},"trace":{"sample":0.01},"log":{"level":"info"}})";

std::string
ErrorMessage(const std::string& aText)
{
  return Handle(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(ParseSettings(aText));
      return std::string();
    },
    [](const Error& aError) { return aError.m_message; });
}

std::string
Replace(std::string aText, const std::string& aOld, const std::string& aNew)
{
  const std::size_t place = aText.find(aOld);
  REQUIRE(place != std::string::npos);
  return aText.replace(place, aOld.size(), aNew);
}

} // namespace

TEST_CASE("valid settings are accepted and printed with their defaults")
{
  CHECK(ErrorMessage(kValidSettings).empty());
  const Settings settings =
    Handle([] { return ParseSettings(kValidSettings); }, [](const Error&) { return Settings(); });
  CHECK(settings.m_peerHints.size() == 1);
  CHECK(settings.m_linkMbps == 1000);
  const auto shown = boost::json::parse(SettingsText(settings)).as_object();
  CHECK(shown.at("timings").as_object().at("heartbeat_ms").to_number<std::uint64_t>() == 1000);
  CHECK(shown.at("admin").as_object().at("token").as_string() == "(set)");
}

TEST_CASE("each invalid setting gives one error with the key and the remedy")
{
  struct InvalidCase
  {
    const char* m_old;
    const char* m_new;
    const char* m_message;
  };
  const InvalidCase cases[] = {
    { "\"mesh\"", "\"mash\"", "settings.mesh: set it to a text that is not empty" },
    { "\"trace\"",
      "\"tracing\"",
      "settings.tracing: unknown key; remove it or correct its spelling" },
    { "0.01", "1.5", "settings.trace.sample: set it to a number from 0 to 1" },
    { "\"info\"", "\"loud\"", "settings.log.level: set it to debug, info, warning or error" },
    { "127.0.0.1:8080",
      "localhost",
      "settings.caller.listen: 'localhost' is no address; write IP:PORT, for IPv6 [IP]:PORT" },
    { "\"log\":{",
      "\"timings\":{\"heartbeat_ms\":5},\"log\":{",
      "settings.timings.heartbeat_ms: set it to a whole number from 100 to 10000" },
    { "\"t\"}", "7}", "settings.admin.token: set it to a text that is not empty" },
    { "\"hints\":",
      "\"link_mbps\":0,\"hints\":",
      "settings.peer.link_mbps: set it to a number from 0.1 to 1000000" },
    { "[\"127", "[7,\"127", "settings.peer.hints: set it to a list of texts that are not empty" },
  };
  for (const InvalidCase& invalid : cases) {
    CHECK(ErrorMessage(Replace(kValidSettings, invalid.m_old, invalid.m_new)) == invalid.m_message);
  }
  CHECK(ErrorMessage("{").find("is not valid JSON") != std::string::npos);
}

TEST_CASE("mutated settings and publications never crash their parsers")
{
  constexpr const char* kPublication =
    R"({"publish_id":"p","expected_version":3,"base":{"services":{"a":{"queue":3}}},"overlay_patches":{"hobart":{"x":null}}})";
  Random random{ 99 };
  std::size_t rejected = 0;
  for (int i = 0; i < kMutations; ++i) {
    std::string text = i % 2 == 0 ? kValidSettings : kPublication;
    for (std::uint64_t change = 0; change <= random.Below(3); ++change) {
      text[random.Below(text.size())] = static_cast<char>(random.Next());
    }
    const bool accepted = Handle(
      [&]() -> Result<bool> {
        if (i % 2 == 0) {
          BOOST_LEAF_CHECK(ParseSettings(text));
        } else {
          BOOST_LEAF_AUTO(publication, config::ParsePublication(text));
          const config::Documents documents = config::ApplyPublication({}, publication);
          BOOST_LEAF_CHECK(config::CheckAllRegions(documents));
        }
        return true;
      },
      [](const Error&) { return false; });
    rejected += accepted ? 0 : 1;
  }
  CHECK(rejected > 0);
}
