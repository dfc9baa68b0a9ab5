// Requests with idempotency keys: finds the node that owns the key and forwards the request to it.
#include "CallProxy.h"
#include "Hash.h"
#include "Headers.h"
#include "Problem.h"

#include <boost/beast/http/field.hpp>
#include <limits>

namespace sequoiastep::node {

namespace http = net::http;
using net::Awaitable;
using net::HttpRequest;
using net::HttpResponse;
using wire::AnswerT;
using wire::CallT;

namespace {

constexpr Milliseconds kForwardTimeoutMs = 30'000;
// Nodes of a region that claim the keys of one claim stream.
constexpr std::size_t kClaimNodes = 2;
// Added to the stream number, seeds the hash that ranks nodes for the stream.
constexpr std::uint64_t kClaimNodeSeed = 0xc1a1ULL;

HttpResponse
MakeUnknownProblem(std::string_view aDetail)
{
  return MakeProblem(http::status::gateway_timeout, CallOutcome::Unknown, aDetail);
}

HttpResponse
MakeNotRunProblem(std::string_view aDetail)
{
  return MakeProblem(http::status::service_unavailable, CallOutcome::NotRun, aDetail);
}

HttpResponse
ProblemForLookup(KeyLookup::Kind aKind)
{
  switch (aKind) {
    case KeyLookup::Kind::LogUnavailable:
      return MakeNotRunProblem(
        "keys of your own need the platform's log, which can't be reached; use keys "
        "that a node issued (POST /.sequoiastep/v1/keys) or try again later");
    case KeyLookup::Kind::IndexFull:
      return MakeNotRunProblem(
        "too many keys of callers' own are in use; use keys that a node issued "
        "(POST /.sequoiastep/v1/keys)");
    case KeyLookup::Kind::KeyExpired:
      return MakeUnknownProblem(
        "this key is older than keys are remembered; ask the service whether the "
        "request was run before sending it under a new key");
    default:
      return MakeUnknownProblem(
        "the log does not tell who claimed this key; ask again under the same key");
  }
}

CallT
MakeForwardedCall(const HttpRequest& aRequest, bool aClaimed)
{
  CallT call;
  call.forwarded = true;
  call.claimed = aClaimed;
  call.method = aRequest.method_string();
  call.target = aRequest.target();
  for (const auto& field : aRequest) {
    auto header = std::make_unique<wire::HeaderT>();
    header->name = field.name_string();
    header->value = field.value();
    call.headers.push_back(std::move(header));
  }
  call.body.assign(aRequest.body().begin(), aRequest.body().end());
  return call;
}

// The nodes of a region that claim the keys of a stream, by rendezvous hashing, preferred node
// first. Nodes with different views may pick different ones; that is safe, since the order of
// claims in the log decides.
std::vector<std::string>
ClaimNodesOf(const RoutingView& aView, std::string_view aRegion, std::uint32_t aStream)
{
  std::map<std::uint64_t, std::string> ranked;
  for (const auto& [node, address] : aView.m_nodes) {
    if (address.m_region == aRegion && !address.m_draining) {
      ranked.emplace(Hash64(node, kClaimNodeSeed + aStream), node);
    }
  }
  std::vector<std::string> nodes;
  for (const auto& [rank, node] : ranked) {
    if (nodes.size() < kClaimNodes) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

} // namespace

Awaitable<HttpResponse>
CallProxy::RouteKeyed(HttpRequest aRequest)
{
  const std::string text(aRequest[std::string(kIdempotencyKeyHeader)]);
  if (text.empty() || text.size() > idempotency::kMaxKeyBytes) {
    CountOutcome(CallOutcome::NotRun);
    co_return MakeProblem(
      http::status::unprocessable_entity, CallOutcome::NotRun, "Idempotency-Key: 1 to 256 bytes");
  }
  const auto key = idempotency::ParseIssuedKey(text);
  if (!key) {
    HttpResponse response = co_await RouteCallerKey(text, std::move(aRequest));
    co_return response;
  }
  if (m_keyedCalls.IsIssuedHere(*key)) {
    HttpResponse response = co_await m_keyedCalls.HandleIssued(*key, std::move(aRequest));
    co_return response;
  }
  HttpResponse response = co_await ForwardToIssuer(*key, std::move(aRequest));
  co_return response;
}

Awaitable<CallReply>
CallProxy::Forward(std::string aNode, HttpRequest aRequest, bool aClaimed)
{
  const auto view = m_shared.m_view.load();
  const auto node = view->m_nodes.find(aNode);
  if (node == view->m_nodes.end()) {
    co_return CallReply{};
  }
  const std::string address = node->second.m_address;
  CallReply reply =
    co_await m_links.Call(aNode, address, MakeForwardedCall(aRequest, aClaimed), kForwardTimeoutMs);
  co_return reply;
}

HttpResponse
CallProxy::ResponseFromReply(const CallReply& aReply)
{
  if (aReply.m_kind == CallReply::Kind::InvalidAnswer) {
    CountOutcome(CallOutcome::Unknown);
    return MakeProblem(
      http::status::bad_gateway,
      CallOutcome::Unknown,
      "the node that owns this key handed on an invalid response; the request may have been run, "
      "ask the service before sending it under a new key");
  }
  if (aReply.m_kind != CallReply::Kind::Answered) {
    CountOutcome(CallOutcome::Unknown);
    return MakeUnknownProblem(
      "the node that owns this key can't be asked now; ask again later, under the "
      "same key");
  }
  CountOutcome(aReply.m_answer.outcome);
  HttpResponse response = ResponseFrom(aReply.m_answer);
  if (aReply.m_answer.outcome != CallOutcome::Done) {
    response.set(kOutcomeHeader, NameOf(aReply.m_answer.outcome));
  }
  return response;
}

// Only the issuer knows the state of its keys. While it can't be asked, the outcome is unknown.
Awaitable<HttpResponse>
CallProxy::ForwardToIssuer(idempotency::IssuedKey aKey, HttpRequest aRequest)
{
  const auto view = m_shared.m_view.load();
  const auto issuer = view->m_nodes.find(aKey.m_node);
  if (issuer == view->m_nodes.end() || issuer->second.m_incarnation != aKey.m_incarnation) {
    CountOutcome(CallOutcome::Unknown);
    co_return MakeUnknownProblem(
      "the node that issued this key is gone; ask the service whether the request "
      "was run before sending it under a new key");
  }
  const CallReply reply = co_await Forward(aKey.m_node, std::move(aRequest), false);
  co_return ResponseFromReply(reply);
}

Awaitable<HttpResponse>
CallProxy::RouteCallerKey(std::string aKey, HttpRequest aRequest)
{
  const auto view = m_shared.m_view.load();
  const std::uint32_t stream = idempotency::ClaimStreamOf(aKey);
  for (const std::string& claimNode : ClaimNodesOf(*view, m_identity.m_region, stream)) {
    if (claimNode == m_identity.m_node) {
      HttpResponse response = co_await ClaimAndRun(aKey, std::move(aRequest));
      co_return response;
    }
    const CallReply reply = co_await Forward(claimNode, aRequest, false);
    if (reply.m_kind != CallReply::Kind::NotSent) {
      co_return ResponseFromReply(reply);
    }
  }
  // None of these nodes can be reached: this node claims the key itself.
  HttpResponse response = co_await ClaimAndRun(aKey, std::move(aRequest));
  co_return response;
}

// Claims the key in the log unless it is claimed. The node of the first claim runs the request.
Awaitable<HttpResponse>
CallProxy::ClaimAndRun(std::string aKey, HttpRequest aRequest)
{
  const KeyLookup lookup = co_await m_callerKeys.Claim(aKey);
  if (lookup.m_kind != KeyLookup::Kind::Found) {
    co_return ProblemForLookup(lookup.m_kind);
  }
  const idempotency::ClaimRecord& claim = lookup.m_claim.m_record;
  if (m_callerKeys.IsClaimedHere(claim)) {
    HttpResponse response = co_await m_keyedCalls.HandleClaimed(
      idempotency::ClaimStreamOf(aKey), lookup.m_claim.m_offset, std::move(aRequest));
    co_return response;
  }
  const auto view = m_shared.m_view.load();
  const auto claimant = view->m_nodes.find(claim.m_node);
  if (claimant == view->m_nodes.end() || claimant->second.m_incarnation != claim.m_incarnation) {
    co_return MakeUnknownProblem(
      "the node that claimed this key is gone; ask the service whether the request "
      "was run before sending it under a new key");
  }
  const CallReply reply = co_await Forward(claim.m_node, std::move(aRequest), true);
  co_return ResponseFromReply(reply);
}

// Runs a request forwarded by a node that read in the log that this node owns the key.
Awaitable<HttpResponse>
CallProxy::RunClaimedHere(std::string aKey, HttpRequest aRequest)
{
  const KeyLookup lookup = co_await m_callerKeys.Find(aKey);
  if (lookup.m_kind != KeyLookup::Kind::Found ||
      !m_callerKeys.IsClaimedHere(lookup.m_claim.m_record)) {
    co_return ProblemForLookup(KeyLookup::Kind::Unknown);
  }
  HttpResponse response = co_await m_keyedCalls.HandleClaimed(
    idempotency::ClaimStreamOf(aKey), lookup.m_claim.m_offset, std::move(aRequest));
  co_return response;
}

Awaitable<HttpResponse>
CallProxy::HandleForwarded(HttpRequest aRequest, bool aClaimed)
{
  const std::string text(aRequest[std::string(kIdempotencyKeyHeader)]);
  const auto key = idempotency::ParseIssuedKey(text);
  if (key && m_keyedCalls.IsIssuedHere(*key)) {
    HttpResponse response = co_await m_keyedCalls.HandleIssued(*key, std::move(aRequest));
    co_return response;
  }
  if (key) {
    co_return MakeUnknownProblem("the node that issued this key has restarted");
  }
  if (aClaimed) {
    HttpResponse response = co_await RunClaimedHere(text, std::move(aRequest));
    co_return response;
  }
  HttpResponse response = co_await ClaimAndRun(text, std::move(aRequest));
  co_return response;
}

Awaitable<AnswerT>
CallProxy::AnswerForwarded(CallT aCall)
{
  const bool claimed = aCall.claimed;
  HttpResponse response = co_await HandleForwarded(RequestFrom(aCall), claimed);
  AnswerT answer;
  const std::string_view outcome = response.base()[kOutcomeHeader];
  answer.outcome = ParseOutcome(outcome).value_or(CallOutcome::Done);
  answer.status = static_cast<std::uint16_t>(response.result_int());
  answer.headers = EndToEndHeaders(response);
  answer.body.assign(response.body().begin(), response.body().end());
  co_return answer;
}

} // namespace sequoiastep::node
