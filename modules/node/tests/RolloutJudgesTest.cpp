#include "../src/RolloutJudges.h"

#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::node;
using rollout::RolloutPhase;

namespace {

constexpr const char* kService = "jobs";
constexpr Milliseconds kStepMs = 100;

// Judges of all nodes of a service, whose messages arrive at once.
struct Bench
{
  explicit Bench(RolloutPhase aPhase = RolloutPhase::Trial)
  {
    auto view = std::make_shared<RoutingView>();
    for (const char* node : { "a", "b", "c", "d" }) {
      view->m_nodes[node] = {};
    }
    view->m_rollouts[kService] = { .m_rollout = { .m_service = kService,
                                                  .m_version = "v2",
                                                  .m_order = { .m_era = 1, .m_offset = 4 },
                                                  .m_durationMs = 60'000,
                                                  .m_deadline = m_now + 60'000,
                                                  .m_phase = aPhase,
                                                  .m_established = "v1" },
                                   .m_trial = {},
                                   .m_oldTargets = { "old" } };
    m_view = view;
    m_judges = rollout::JudgesOf(kService, { "a", "b", "c", "d" });
    for (const std::string& node : m_judges) {
      m_nodes.emplace(node,
                      std::make_unique<RolloutJudges>(
                        node,
                        m_shared,
                        RolloutJudges::Hooks{
                          .m_send =
                            [this, node](const std::string& aTo, wire::RolloutEvidenceT aEvidence) {
                              ++m_signs;
                              aEvidence.node = node;
                              if (aTo != m_dead) {
                                m_nodes.at(aTo)->Receive(aEvidence, *m_view, m_now);
                              }
                            },
                          .m_notifyControl =
                            [this, node](const distribution::Event& aEvent) {
                              m_decided[node] =
                                std::get<distribution::RolloutDecided>(aEvent).m_phase;
                            } }));
    }
  }

  // One step in which both targets report; every second answer of the new version is an error.
  void Step(bool aErrors)
  {
    m_now = m_now + kStepMs;
    m_answers += 20;
    ++m_sequence;
    for (const auto& [node, judges] : m_nodes) {
      if (node != m_dead) {
        judges->Receive(Report("old", "v1", 0), *m_view, m_now);
        judges->Receive(Report("new", "v2", aErrors ? m_answers / 2 : 0), *m_view, m_now);
        judges->Review(m_view, m_now);
      }
    }
  }

  void Run(Milliseconds aDuration, bool aErrors)
  {
    for (Milliseconds elapsed = 0; elapsed < aDuration; elapsed += kStepMs) {
      Step(aErrors);
    }
  }

  wire::RolloutEvidenceT Report(const char* aNode,
                                const char* aVersion,
                                std::uint32_t aErrors) const
  {
    wire::RolloutEvidenceT report;
    report.service = kService;
    report.order_era = 1;
    report.order_offset = 4;
    report.node = aNode;
    report.incarnation = 1;
    report.version = aVersion;
    report.sequence = m_sequence;
    auto route = std::make_unique<wire::RouteEvidenceT>();
    route->route = "r";
    route->requests = m_answers;
    route->errors = aErrors;
    route->run_buckets = { 0, 0, 0, m_answers - aErrors };
    report.routes.push_back(std::move(route));
    return report;
  }

  Instant m_now{ 1'000'000 };
  SharedState m_shared;
  std::shared_ptr<const RoutingView> m_view;
  std::vector<std::string> m_judges;
  std::map<std::string, std::unique_ptr<RolloutJudges>> m_nodes;
  std::map<std::string, RolloutPhase> m_decided;
  /// A node that neither sends nor receives.
  std::string m_dead;
  std::uint32_t m_answers = 0;
  std::uint64_t m_sequence = 0;
  int m_signs = 0;
};

} // namespace

// Guards against two nodes that decide, and write to the store, at the same time.
TEST_CASE("only the first judge decides while it is heard")
{
  Bench bench;
  REQUIRE(bench.m_judges.size() == 2);
  bench.Run(5000, true);
  CHECK(bench.m_decided.size() == 1);
  REQUIRE(bench.m_decided.contains(bench.m_judges[0]));
  CHECK(bench.m_decided[bench.m_judges[0]] == RolloutPhase::RolledBack);
  CHECK(bench.m_signs <= 11);
}

// Guards against a bad version that stays in use since the node that judged it is gone.
TEST_CASE("the second judge decides once the first one is silent")
{
  Bench bench;
  bench.m_dead = bench.m_judges[0];
  bench.Run(1400, true);
  CHECK(bench.m_decided.empty());
  bench.Run(400, true);
  REQUIRE(bench.m_decided.contains(bench.m_judges[1]));
  CHECK(bench.m_decided[bench.m_judges[1]] == RolloutPhase::RolledBack);
}

TEST_CASE("a version without errors is not judged early, and a final one not at all")
{
  Bench good;
  good.Run(5000, false);
  CHECK(good.m_decided.empty());
  Bench ended(RolloutPhase::RolledBack);
  ended.Run(3000, true);
  CHECK(ended.m_decided.empty());
  CHECK(ended.m_signs == 0);
}

TEST_CASE("reports of another order are ignored")
{
  Bench bench;
  auto other = std::make_shared<RoutingView>(*bench.m_view);
  other->m_rollouts[kService].m_rollout.m_order.m_offset = 5;
  bench.m_view = other;
  bench.Run(5000, true);
  CHECK(bench.m_decided.empty());
}
