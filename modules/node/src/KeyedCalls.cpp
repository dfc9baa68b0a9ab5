#include "KeyedCalls.h"

#include "CallerAccess.h"
#include "Hash.h"
#include "HttpServer.h"
#include "ParseNumber.h"
#include "Problem.h"
#include "Random.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <fmt/core.h>
#include <optional>

namespace sequoiastep::node {

namespace http = net::http;
using idempotency::ClaimDecision;
using idempotency::IssuedKey;
using net::Awaitable;
using net::HttpRequest;
using net::HttpResponse;

namespace {

constexpr std::size_t kMaxKeysPerRequest = 1000;
// Longer than the maximum timeout of a route.
constexpr std::int64_t kMaxWaitMs = 660'000;

// Digest of method, target, body and workspace. A key may be reused only for a request with the
// same digest, so that no workspace gets a response that is stored for another one.
std::uint64_t
RequestDigest(const HttpRequest& aRequest)
{
  std::string head = fmt::format(
    "{} {}", std::string_view(aRequest.method_string()), std::string_view(aRequest.target()));
  if (const std::string_view workspace = WorkspaceOf(aRequest); !workspace.empty()) {
    head += fmt::format("\n{}", workspace);
  }
  return Hash64(aRequest.body(), Hash64(head));
}

HttpResponse
MakeRefusal(ClaimDecision aDecision)
{
  switch (aDecision) {
    case ClaimDecision::InProgress:
      return MakeProblem(http::status::conflict,
                         CallOutcome::Unknown,
                         "the request of this key is in progress; ask again in a moment");
    case ClaimDecision::OtherRequest:
      return MakeProblem(http::status::unprocessable_entity,
                         CallOutcome::NotRun,
                         "this key was used for another request; fetch a new key");
    case ClaimDecision::NotIssued:
      return MakeProblem(http::status::unprocessable_entity,
                         CallOutcome::NotRun,
                         "no node issued this key; fetch keys with POST /.sequoiastep/v1/keys");
    default:
      return MakeProblem(http::status::gateway_timeout,
                         CallOutcome::Unknown,
                         "the request of this key may have been run and its answer is lost; ask "
                         "the service before sending it under a new key");
  }
}

idempotency::StoredResponse
MakeStoredResponse(const HttpResponse& aResponse)
{
  idempotency::StoredResponse stored{ .m_status =
                                        static_cast<std::uint16_t>(aResponse.result_int()),
                                      .m_headers = {},
                                      .m_body = aResponse.body() };
  for (const auto& field : aResponse) {
    stored.m_headers.emplace_back(field.name_string(), field.value());
  }
  return stored;
}

void
RecordResponse(idempotency::KeyTable& aTable, std::uint64_t aSerial, const HttpResponse& aResponse)
{
  const std::string_view outcome = aResponse.base()[kOutcomeHeader];
  if (outcome.empty()) {
    idempotency::FinishClaim(aTable, aSerial, MakeStoredResponse(aResponse));
  } else if (outcome == NameOf(CallOutcome::NotRun)) {
    idempotency::ReleaseClaim(aTable, aSerial);
  } else {
    idempotency::MarkClaimUnknown(aTable, aSerial);
  }
}

HttpResponse
MakeRepeatedResponse(const idempotency::StoredResponse& aStored)
{
  HttpResponse response;
  response.version(11);
  response.result(aStored.m_status);
  for (const auto& [name, value] : aStored.m_headers) {
    response.insert(name, value);
  }
  response.set("Sequoiastep-Repeated", "true");
  response.body() = aStored.m_body;
  response.prepare_payload();
  return response;
}

} // namespace

// A started request. The timer is cancelled when the response is there.
struct KeyedCalls::StartedRequest
{
  explicit StartedRequest(net::asio::io_context& aContext)
    : m_timer(aContext, std::chrono::milliseconds(kMaxWaitMs))
  {
  }

  net::asio::steady_timer m_timer;
  std::optional<HttpResponse> m_response;
};

KeyedCalls::KeyedCalls(net::asio::io_context& aContext,
                       std::string aNode,
                       std::uint64_t aIncarnation,
                       idempotency::KeyTableOptions aOptions,
                       RunCall aRunCall)
  : m_context(aContext)
  , m_runCall(std::move(aRunCall))
{
  m_issuedTable.m_options = aOptions;
  m_issuedTable.m_node = std::move(aNode);
  m_issuedTable.m_incarnation = aIncarnation;
  m_issuedTable.m_secret = EntropySeed();
  for (idempotency::KeyTable& table : m_callerTables) {
    table.m_options = { .m_maxClaims = aOptions.m_maxClaims / m_callerTables.size() + 1,
                        .m_maxResponseBytes =
                          aOptions.m_maxResponseBytes / m_callerTables.size() + 1 };
  }
}

HttpResponse
KeyedCalls::Issue(const HttpRequest& aRequest)
{
  const auto count = ParseNumber(net::QueryValue(aRequest.target(), "count", "1"));
  if (!count || *count < 1 || *count > kMaxKeysPerRequest) {
    return MakeProblem(http::status::bad_request,
                       CallOutcome::NotRun,
                       fmt::format("count: a whole number from 1 to {}", kMaxKeysPerRequest));
  }
  boost::json::array keys;
  for (const std::string& key : idempotency::IssueKeys(m_issuedTable, *count)) {
    keys.emplace_back(key);
  }
  return net::MakeResponse(http::status::ok,
                           "application/json",
                           boost::json::serialize(boost::json::object{ { "keys", keys } }));
}

bool
KeyedCalls::IsIssuedHere(const IssuedKey& aKey) const
{
  return aKey.m_node == m_issuedTable.m_node && aKey.m_incarnation == m_issuedTable.m_incarnation;
}

std::size_t
KeyedCalls::ClaimCount() const
{
  std::size_t claims = m_issuedTable.m_claims.size();
  for (const idempotency::KeyTable& table : m_callerTables) {
    claims += table.m_claims.size();
  }
  return claims;
}

Awaitable<HttpResponse>
KeyedCalls::HandleIssued(IssuedKey aKey, HttpRequest aRequest)
{
  idempotency::ClaimResult claim =
    idempotency::ClaimKey(m_issuedTable, aKey, RequestDigest(aRequest));
  HttpResponse response =
    co_await RunOnce(m_issuedTable, aKey.m_serial, std::move(claim), std::move(aRequest));
  co_return response;
}

Awaitable<HttpResponse>
KeyedCalls::HandleClaimed(std::uint32_t aStream, std::uint64_t aOffset, HttpRequest aRequest)
{
  idempotency::KeyTable& table = m_callerTables[aStream];
  const std::uint64_t serial = aOffset + 1; // Serial 0 counts as evicted.
  idempotency::ClaimResult claim = idempotency::ClaimSerial(table, serial, RequestDigest(aRequest));
  HttpResponse response = co_await RunOnce(table, serial, std::move(claim), std::move(aRequest));
  co_return response;
}

Awaitable<HttpResponse>
KeyedCalls::RunOnce(idempotency::KeyTable& aTable,
                    std::uint64_t aSerial,
                    idempotency::ClaimResult aClaim,
                    HttpRequest aRequest)
{
  if (aClaim.m_decision == ClaimDecision::ReturnStored) {
    co_return MakeRepeatedResponse(*aClaim.m_storedResponse);
  }
  if (aClaim.m_decision != ClaimDecision::Start) {
    co_return MakeRefusal(aClaim.m_decision);
  }
  auto started = std::make_shared<StartedRequest>(m_context);
  net::asio::co_spawn(
    m_context, RunClaimed(aTable, aSerial, std::move(aRequest), started), net::asio::detached);
  co_await started->m_timer.async_wait(net::kAsTuple);
  if (!started->m_response) {
    co_return MakeRefusal(ClaimDecision::Unknown);
  }
  co_return std::move(*started->m_response);
}

Awaitable<void>
KeyedCalls::RunClaimed(idempotency::KeyTable& aTable,
                       std::uint64_t aSerial,
                       HttpRequest aRequest,
                       std::shared_ptr<StartedRequest> aStarted)
{
  HttpResponse response = co_await m_runCall(std::move(aRequest));
  RecordResponse(aTable, aSerial, response);
  aStarted->m_response = std::move(response);
  aStarted->m_timer.cancel();
}

} // namespace sequoiastep::node
