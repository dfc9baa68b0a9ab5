#include "Workspaces.h"

#include "Documents.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <fmt/core.h>

using namespace sequoiastep;
using namespace sequoiastep::config;

namespace {

// The effective configuration of a base document with these workspaces, or the error's message.
struct Parsed
{
  std::shared_ptr<const EffectiveConfig> m_config;
  std::string m_error;
};

Parsed
ParseWorkspaces(const std::string& aWorkspaces)
{
  Parsed parsed;
  parsed.m_error = Handle(
    [&]() -> Result<std::string> {
      BOOST_LEAF_AUTO(base, ParseObject(R"({"workspaces":)" + aWorkspaces + "}", "the base"));
      BOOST_LEAF_ASSIGN(parsed.m_config, MakeEffectiveConfig({ .m_base = base }, ""));
      return std::string();
    },
    [](const Error& aError) { return aError.m_message; });
  return parsed;
}

} // namespace

TEST_CASE("a key authenticates its workspace only, and similar keys authenticate none")
{
  const Parsed parsed =
    ParseWorkspaces(R"({"mill":{"keys":["k-one","k-two"],"priority":2,"rate_per_s":2.5,"burst":5},)"
                    R"("farm":{"keys":["k-three"]}})");
  REQUIRE(parsed.m_config);
  const WorkspaceTable& table = parsed.m_config->m_workspaces;
  REQUIRE(Authenticate(table, "k-two") != nullptr);
  const Workspace& mill = *Authenticate(table, "k-two");
  CHECK(mill.m_name == "mill");
  CHECK(mill.m_priority == 2);
  CHECK(mill.m_ratePerSecond == 2.5);
  CHECK(HasQuota(mill));
  CHECK(Authenticate(table, "k-three")->m_name == "farm");
  CHECK_FALSE(HasQuota(*Authenticate(table, "k-three")));
  for (const std::string_view key : { "", "k-on", "k-one ", "K-ONE", "mill" }) {
    CHECK_MESSAGE(Authenticate(table, key) == nullptr, key);
  }
}

TEST_CASE("one key in two workspaces is refused with a message that does not show the key")
{
  const Parsed parsed =
    ParseWorkspaces(R"({"a":{"keys":["secret-key"]},"b":{"keys":["secret-key"]}})");
  CHECK_FALSE(parsed.m_config);
  CHECK(parsed.m_error.find("a and b") != std::string::npos);
  CHECK(parsed.m_error.find(KeyFingerprint("secret-key")) != std::string::npos);
  CHECK(parsed.m_error.find("secret") == std::string::npos);
}

TEST_CASE("a key that is too long or of the wrong type is refused")
{
  CHECK_FALSE(
    ParseWorkspaces(fmt::format(R"({{"a":{{"keys":["{}"]}}}})", std::string(257, 'k'))).m_config);
  CHECK_FALSE(ParseWorkspaces(R"({"a":{"keys":[""]}})").m_config);
  CHECK_FALSE(ParseWorkspaces(R"({"a":{"keys":[7]}})").m_config);
  CHECK_FALSE(ParseWorkspaces(R"({"a":{"keys":["k"],"rate_per_s":-1}})").m_config);
  CHECK(ParseWorkspaces(R"({"a":{"keys":["k","k"]}})").m_config);
}
