#include "CallerAccess.h"

#include "HttpServer.h"
#include "Names.h"
#include "Problem.h"

#include <boost/beast/http/field.hpp>

namespace sequoiastep::node {

namespace http = net::http;

namespace {

// The keys that a request carries.
struct SentKeys
{
  std::size_t m_count = 0;
  /// The first one.
  std::string m_key;
};

SentKeys
TakeKeys(net::HttpRequest& aRequest)
{
  SentKeys keys{ .m_count = aRequest.count(adapter::kWorkspaceKey) };
  if (keys.m_count > 0) {
    keys.m_key = std::string_view(aRequest[adapter::kWorkspaceKey]);
    aRequest.erase(adapter::kWorkspaceKey);
  }
  return keys;
}

AccessRefusal
RefusalOf(const SentKeys& aKeys)
{
  if (aKeys.m_count == 0) {
    return { .m_reason = "the request has no key of a workspace", .m_keyFingerprint = {} };
  }
  if (aKeys.m_count > 1) {
    return { .m_reason = "the request has several keys of workspaces", .m_keyFingerprint = {} };
  }
  return { .m_reason = "no workspace has the request's key",
           .m_keyFingerprint = config::KeyFingerprint(aKeys.m_key) };
}

} // namespace

config::RouteQuery
RouteQueryOf(const net::HttpRequest& aRequest)
{
  return { .m_host = aRequest[http::field::host],
           .m_method = aRequest.method_string(),
           .m_path = net::PathOf(aRequest.target()) };
}

std::optional<AccessRefusal>
AuthenticateCaller(const config::EffectiveConfig& aConfig, net::HttpRequest& aRequest)
{
  const SentKeys keys = TakeKeys(aRequest);
  aRequest.erase(adapter::kWorkspace);
  if (aConfig.m_workspaces.m_byName.empty()) {
    return std::nullopt;
  }
  const config::Workspace* workspace =
    keys.m_count == 1 ? config::Authenticate(aConfig.m_workspaces, keys.m_key) : nullptr;
  if (workspace != nullptr) {
    aRequest.set(adapter::kWorkspace, workspace->m_name);
    return std::nullopt;
  }
  const config::Route* route = config::FindRoute(aConfig, RouteQueryOf(aRequest));
  if (route == nullptr || route->m_public) {
    return std::nullopt; // A request without a route is refused where it is routed.
  }
  return RefusalOf(keys);
}

std::string_view
WorkspaceOf(const net::HttpRequest& aRequest)
{
  return aRequest[adapter::kWorkspace];
}

net::HttpResponse
MakeUnauthorized(const AccessRefusal& aRefusal)
{
  net::HttpResponse response =
    MakeProblem(http::status::unauthorized, CallOutcome::NotRun, aRefusal.m_reason);
  response.set(http::field::www_authenticate, "ApiKey");
  return response;
}

} // namespace sequoiastep::node
