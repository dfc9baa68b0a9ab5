// Requests with idempotency keys: which node may run them, and how they get there.
#include "CallsDuty.h"
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

constexpr std::string_view kOutcomeField = "Sequoiastep-Outcome";
constexpr Milliseconds kForwardMs = 30'000;
// Nodes of the region that are asked for the keys of one claim stream, in rank order.
constexpr std::size_t kHolders = 2;
constexpr std::uint64_t kHolderSeed = 0xc1a1ULL;

HttpResponse
Unknown(std::string_view aDetail)
{
  return MakeProblem(http::status::gateway_timeout, CallOutcome::Unknown, aDetail);
}

HttpResponse
NotStarted(std::string_view aDetail)
{
  return MakeProblem(http::status::service_unavailable, CallOutcome::NotRun, aDetail);
}

HttpResponse
ProblemOf(KeyOwner::Kind aKind)
{
  switch (aKind) {
    case KeyOwner::Kind::LogDown:
      return NotStarted(
        "keys of your own need the platform's log, which can't be reached; use keys "
        "that a node issued (POST /.sequoiastep/v1/keys) or try again later");
    case KeyOwner::Kind::Full:
      return NotStarted("too many keys of callers' own are in use; use keys that a node issued "
                        "(POST /.sequoiastep/v1/keys)");
    case KeyOwner::Kind::TooOld:
      return Unknown("this key is older than keys are remembered; ask the service whether the "
                     "request was run before sending it under a new key");
    default:
      return Unknown("the log does not tell who claimed this key; ask again under the same key");
  }
}

CallT
MakeForward(const HttpRequest& aRequest, bool aClaimed)
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

// The nodes of a region that serve a claim stream, first rank first. A soft role: two that serve it
// at once are both right, since the log's order decides.
std::vector<std::string>
HoldersOf(const RoutingView& aView, std::string_view aRegion, std::uint32_t aStream)
{
  std::map<std::uint64_t, std::string> ranked;
  for (const auto& [node, address] : aView.m_nodes) {
    if (address.m_region == aRegion && !address.m_draining) {
      ranked.emplace(Hash64(node, kHolderSeed + aStream), node);
    }
  }
  std::vector<std::string> holders;
  for (const auto& [rank, node] : ranked) {
    if (holders.size() < kHolders) {
      holders.push_back(node);
    }
  }
  return holders;
}

} // namespace

Awaitable<HttpResponse>
CallsDuty::RouteKeyed(HttpRequest aRequest)
{
  const std::string text(aRequest[std::string(kKeyField)]);
  if (text.empty() || text.size() > idempotency::kMaxKeyBytes) {
    CountOutcome(CallOutcome::NotRun);
    co_return MakeProblem(
      http::status::unprocessable_entity, CallOutcome::NotRun, "Idempotency-Key: 1 to 256 bytes");
  }
  const auto key = idempotency::ParseIssuedKey(text);
  if (!key) {
    HttpResponse response = co_await RouteOwnKey(text, std::move(aRequest));
    co_return response;
  }
  if (m_keyed.IsOwn(*key)) {
    HttpResponse response = co_await m_keyed.Handle(*key, std::move(aRequest));
    co_return response;
  }
  HttpResponse response = co_await AskIssuer(*key, std::move(aRequest));
  co_return response;
}

Awaitable<CallReply>
CallsDuty::Forward(std::string aNode, HttpRequest aRequest, bool aClaimed)
{
  const auto view = m_shared.m_view.load();
  const auto node = view->m_nodes.find(aNode);
  if (node == view->m_nodes.end()) {
    co_return CallReply{};
  }
  const std::string address = node->second.m_address;
  CallReply reply =
    co_await m_links.Call(aNode, address, MakeForward(aRequest, aClaimed), kForwardMs);
  co_return reply;
}

HttpResponse
CallsDuty::ResponseToForward(const CallReply& aReply)
{
  if (aReply.m_kind != CallReply::Kind::Answered) {
    CountOutcome(CallOutcome::Unknown);
    return Unknown("the node that owns this key can't be asked now; ask again later, under the "
                   "same key");
  }
  CountOutcome(aReply.m_answer.outcome);
  HttpResponse response = ResponseFrom(aReply.m_answer);
  if (aReply.m_answer.outcome != CallOutcome::Done) {
    response.set(std::string(kOutcomeField), NameOf(aReply.m_answer.outcome));
  }
  return response;
}

// Only the issuer knows what became of its key. If it can't be asked, nobody can say.
Awaitable<HttpResponse>
CallsDuty::AskIssuer(idempotency::IssuedKey aKey, HttpRequest aRequest)
{
  const auto view = m_shared.m_view.load();
  const auto issuer = view->m_nodes.find(aKey.m_node);
  if (issuer == view->m_nodes.end() || issuer->second.m_incarnation != aKey.m_incarnation) {
    CountOutcome(CallOutcome::Unknown);
    co_return Unknown("the node that issued this key is gone; ask the service whether the request "
                      "was run before sending it under a new key");
  }
  const CallReply reply = co_await Forward(aKey.m_node, std::move(aRequest), false);
  co_return ResponseToForward(reply);
}

Awaitable<HttpResponse>
CallsDuty::RouteOwnKey(std::string aKey, HttpRequest aRequest)
{
  const auto view = m_shared.m_view.load();
  const std::uint32_t stream = idempotency::ClaimStreamOf(aKey);
  for (const std::string& holder : HoldersOf(*view, m_identity.m_region, stream)) {
    if (holder == m_identity.m_node) {
      HttpResponse response = co_await ClaimAndRun(aKey, std::move(aRequest));
      co_return response;
    }
    const CallReply reply = co_await Forward(holder, aRequest, false);
    if (reply.m_kind != CallReply::Kind::NotSent) {
      co_return ResponseToForward(reply);
    }
  }
  // No holder can be reached: this node reads the stream itself.
  HttpResponse response = co_await ClaimAndRun(aKey, std::move(aRequest));
  co_return response;
}

// Claims the key in the log unless somebody has, and lets the first claimant run the request.
Awaitable<HttpResponse>
CallsDuty::ClaimAndRun(std::string aKey, HttpRequest aRequest)
{
  const KeyOwner owner = co_await m_ownKeys.Claim(aKey);
  if (owner.m_kind != KeyOwner::Kind::Known) {
    co_return ProblemOf(owner.m_kind);
  }
  const idempotency::ClaimRecord& claim = owner.m_claim.m_record;
  if (m_ownKeys.IsOwn(claim)) {
    HttpResponse response = co_await m_keyed.HandleClaimed(
      idempotency::ClaimStreamOf(aKey), owner.m_claim.m_offset, std::move(aRequest));
    co_return response;
  }
  const auto view = m_shared.m_view.load();
  const auto claimant = view->m_nodes.find(claim.m_node);
  if (claimant == view->m_nodes.end() || claimant->second.m_incarnation != claim.m_incarnation) {
    co_return Unknown("the node that claimed this key is gone; ask the service whether the request "
                      "was run before sending it under a new key");
  }
  const CallReply reply = co_await Forward(claim.m_node, std::move(aRequest), true);
  co_return ResponseToForward(reply);
}

// Another node found that the log gave the key to this one.
Awaitable<HttpResponse>
CallsDuty::RunClaimedHere(std::string aKey, HttpRequest aRequest)
{
  const KeyOwner owner = co_await m_ownKeys.Find(aKey);
  if (owner.m_kind != KeyOwner::Kind::Known || !m_ownKeys.IsOwn(owner.m_claim.m_record)) {
    co_return ProblemOf(KeyOwner::Kind::Unknown);
  }
  HttpResponse response = co_await m_keyed.HandleClaimed(
    idempotency::ClaimStreamOf(aKey), owner.m_claim.m_offset, std::move(aRequest));
  co_return response;
}

Awaitable<HttpResponse>
CallsDuty::HandleForwarded(HttpRequest aRequest, bool aClaimed)
{
  const std::string text(aRequest[std::string(kKeyField)]);
  const auto key = idempotency::ParseIssuedKey(text);
  if (key && m_keyed.IsOwn(*key)) {
    HttpResponse response = co_await m_keyed.Handle(*key, std::move(aRequest));
    co_return response;
  }
  if (key) {
    co_return Unknown("the node that issued this key has restarted");
  }
  if (aClaimed) {
    HttpResponse response = co_await RunClaimedHere(text, std::move(aRequest));
    co_return response;
  }
  HttpResponse response = co_await ClaimAndRun(text, std::move(aRequest));
  co_return response;
}

Awaitable<AnswerT>
CallsDuty::AnswerForwarded(CallT aCall)
{
  const bool claimed = aCall.claimed;
  HttpResponse response = co_await HandleForwarded(RequestFrom(aCall), claimed);
  AnswerT answer;
  const std::string_view outcome = response.base()[std::string(kOutcomeField)];
  answer.outcome = OutcomeNamed(outcome).value_or(CallOutcome::Done);
  answer.status = static_cast<std::uint16_t>(response.result_int());
  answer.headers = EndToEndHeaders(response);
  answer.body.assign(response.body().begin(), response.body().end());
  co_return answer;
}

} // namespace sequoiastep::node
