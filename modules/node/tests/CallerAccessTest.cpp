#include "../src/CallerAccess.h"

#include <doctest/doctest.h>

namespace sequoiastep::node {

namespace {

constexpr const char* kKey = "Sequoiastep-Credential";
constexpr const char* kName = "Sequoiastep-Tenant";

config::EffectiveConfig
MakeConfig(bool aHasWorkspaces)
{
  config::EffectiveConfig effective;
  effective.m_routes.push_back({ .m_name = "private", .m_prefix = "/jobs" });
  effective.m_routes.push_back({ .m_name = "public", .m_prefix = "/open", .m_public = true });
  config::IndexRoutes(effective);
  if (aHasWorkspaces) {
    effective.m_workspaces.m_byName["mill"] = { .m_name = "mill", .m_keys = { "key-of-mill" } };
  }
  Handle([&]() -> Result<void> { return config::IndexKeys(effective.m_workspaces, "test"); },
         [](const Error&) { FAIL("keys"); });
  return effective;
}

net::HttpRequest
MakeRequest(const char* aPath)
{
  return { net::http::verb::get, aPath, 11 };
}

} // namespace

TEST_CASE("a private route needs exactly one known key, which is removed from the request")
{
  const config::EffectiveConfig effective = MakeConfig(true);
  net::HttpRequest known = MakeRequest("/jobs/1");
  known.set(kKey, "key-of-mill");
  CHECK_FALSE(AuthenticateCaller(effective, known));
  CHECK(WorkspaceOf(known) == "mill");
  CHECK(known.count(kKey) == 0);

  net::HttpRequest none = MakeRequest("/jobs/1");
  CHECK(AuthenticateCaller(effective, none));
  net::HttpRequest empty = MakeRequest("/jobs/1");
  empty.set(kKey, "");
  CHECK(AuthenticateCaller(effective, empty));
  net::HttpRequest twice = MakeRequest("/jobs/1");
  twice.insert(kKey, "key-of-mill");
  twice.insert(kKey, "key-of-mill");
  CHECK(AuthenticateCaller(effective, twice));
  CHECK(twice.count(kKey) == 0);
  net::HttpRequest unknown = MakeRequest("/jobs/1");
  unknown.set(kKey, "key-of-mall");
  const auto refusal = AuthenticateCaller(effective, unknown);
  REQUIRE(refusal);
  CHECK(refusal->m_keyFingerprint == config::KeyFingerprint("key-of-mall"));
  CHECK(MakeUnauthorized(*refusal).result() == net::http::status::unauthorized);
}

TEST_CASE("a workspace name that a caller sends itself is never taken over")
{
  for (const bool hasWorkspaces : { true, false }) {
    const config::EffectiveConfig effective = MakeConfig(hasWorkspaces);
    net::HttpRequest forged = MakeRequest("/open/1");
    forged.insert(kName, "mill");
    forged.insert(kName, "mill");
    CHECK_FALSE(AuthenticateCaller(effective, forged));
    CHECK(WorkspaceOf(forged).empty());
  }
}

TEST_CASE("a public route takes any key, names a known one's workspace and forwards no key")
{
  const config::EffectiveConfig effective = MakeConfig(true);
  net::HttpRequest unknown = MakeRequest("/open/1");
  unknown.set(kKey, "stale");
  CHECK_FALSE(AuthenticateCaller(effective, unknown));
  CHECK(unknown.count(kKey) == 0);
  CHECK(WorkspaceOf(unknown).empty());
  net::HttpRequest known = MakeRequest("/open/1");
  known.set(kKey, "key-of-mill");
  CHECK_FALSE(AuthenticateCaller(effective, known));
  CHECK(WorkspaceOf(known) == "mill");
}

TEST_CASE("without workspaces no request needs a key")
{
  const config::EffectiveConfig effective = MakeConfig(false);
  net::HttpRequest request = MakeRequest("/jobs/1");
  CHECK_FALSE(AuthenticateCaller(effective, request));
}

} // namespace sequoiastep::node
