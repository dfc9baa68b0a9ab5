// What a broken response of a target counts for at the node beside it.
#include "../src/RolloutCalls.h"
#include "../src/TargetExchange.h"

#include <doctest/doctest.h>
#include <string>

using namespace sequoiastep;
using namespace sequoiastep::node;
using wire::CallOutcome;

namespace {

constexpr const char* kService = "jobs";

wire::AnswerT
BrokenAnswer()
{
  return AnswerFrom({ .m_response = std::nullopt,
                      .m_failure = net::HttpFailure::BadResponse,
                      .m_reason = "bad status" });
}

// A view in which the service is in a rollout to v2, with nodes that judge it.
std::shared_ptr<const RoutingView>
MakeTrialView()
{
  auto view = std::make_shared<RoutingView>();
  view->m_nodes["judge-1"] = {};
  view->m_nodes["judge-2"] = {};
  view->m_rollouts[kService] = { .m_rollout = { .m_service = kService,
                                                .m_version = "v2",
                                                .m_order = { .m_era = 1, .m_offset = 4 },
                                                .m_durationMs = 60'000,
                                                .m_deadline = Clock::Now() + 60'000,
                                                .m_phase = rollout::RolloutPhase::Trial,
                                                .m_established = "v1" },
                                 .m_trial = {},
                                 .m_oldTargets = { "old" } };
  return view;
}

} // namespace

TEST_CASE("the request of a broken response may have run")
{
  const wire::AnswerT answer = BrokenAnswer();
  CHECK(answer.outcome == CallOutcome::Unknown);
  CHECK(answer.arrived);
  CHECK(answer.status == 0);
  CHECK(answer.headers.empty());
  CHECK(answer.body.empty());
}

// Guards against a new version whose broken responses count as its successes.
TEST_CASE("a broken response is an error of the target's version")
{
  SharedState shared;
  shared.m_view = MakeTrialView();
  std::vector<wire::RolloutEvidenceT> sent;
  RolloutCalls calls(
    Rollouts{},
    Identity{ .m_node = "new" },
    shared,
    { .m_send = [&](const std::string&,
                    const NodeAddress&,
                    wire::RolloutEvidenceT aEvidence) { sent.push_back(std::move(aEvidence)); },
      .m_notifyControl = [](const distribution::Event&) {} });
  const routing::TargetReport target{ .m_id = "i-1", .m_service = kService, .m_version = "v2" };
  wire::CallT call;
  call.route = std::string("lookup"); // g++ 12 warns of an assignment of the literal.
  calls.RecordTargetAnswer(target, call, BrokenAnswer());
  calls.Tick(&target, 0);
  REQUIRE_FALSE(sent.empty());
  REQUIRE(sent[0].routes.size() == 1);
  CHECK(sent[0].routes[0]->requests == 1);
  CHECK(sent[0].routes[0]->errors == 1);
}
