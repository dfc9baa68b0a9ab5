// Rollouts: an order that one node read, and a phase that one node decided, reach all nodes and
// outlive restarts, partitions and lost messages.
#include "FakeMesh.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::distribution;
using rollout::Rollout;
using rollout::RolloutPhase;

namespace {

constexpr Milliseconds kStartLimitMs = 20'000;
constexpr Milliseconds kFloodLimitMs = 300;
constexpr Milliseconds kRepairLimitMs = 15'000;
constexpr Milliseconds kDurationMs = 30'000;
const rollout::OrderId kOrder{ .m_era = 1, .m_offset = 7 };

struct RolloutMesh
{
  explicit RolloutMesh(std::size_t aCount, bool aRollouts = true)
    : m_mesh(11)
  {
    m_mesh.Defaults().m_followPublications = false;
    m_mesh.Defaults().m_rollouts = aRollouts;
    m_mesh.AddNodes(aCount);
    REQUIRE(m_mesh.RunUntil([&] { return m_mesh.AllKnowEachOther(); }, kStartLimitMs));
    m_mesh.Run(3000);
  }

  void Order(const std::string& aNode, rollout::OrderId aOrder = kOrder, bool aFresh = true)
  {
    m_mesh.Feed(aNode,
                RolloutOrdered{ .m_service = "jobs",
                                .m_version = "v2",
                                .m_durationMs = kDurationMs,
                                .m_order = aOrder,
                                .m_fresh = aFresh,
                                .m_established = "v1" });
  }

  void Decide(const std::string& aNode,
              RolloutPhase aPhase,
              std::optional<std::uint64_t> aFinalOffset = std::nullopt)
  {
    m_mesh.Feed(aNode,
                RolloutDecided{ .m_service = "jobs",
                                .m_order = kOrder,
                                .m_phase = aPhase,
                                .m_finalOffset = aFinalOffset,
                                .m_reason = "test" });
  }

  const Rollout* Held(const std::string& aNode)
  {
    return rollout::FindRollout(m_mesh.Node(aNode).m_controller.m_rollouts, "jobs");
  }

  bool AllHold(RolloutPhase aPhase)
  {
    for (const auto& [name, node] : m_mesh.Nodes()) {
      const Rollout* held = Held(name);
      if (node.m_alive && (held == nullptr || held->m_phase != aPhase)) {
        return false;
      }
    }
    return true;
  }

  bool AllHoldWithin(RolloutPhase aPhase, Milliseconds aLimit)
  {
    return m_mesh.RunUntil([&] { return AllHold(aPhase); }, aLimit);
  }

  FakeMesh m_mesh;
};

std::uint64_t
UpdatesSent(const FakeMesh& aMesh)
{
  const auto found = aMesh.Messages().find(wire::Body::RolloutUpdate);
  return found == aMesh.Messages().end() ? 0 : found->second;
}

} // namespace

TEST_CASE("rollout replication: an order and its phases reach all nodes at once")
{
  RolloutMesh running(40);
  running.Order("n3");
  REQUIRE(running.AllHoldWithin(RolloutPhase::Trial, kFloodLimitMs));
  for (const auto& [name, node] : running.m_mesh.Nodes()) {
    const Rollout& held = *running.Held(name);
    CHECK(held.m_version == "v2");
    CHECK(held.m_established == "v1");
    CHECK(held.m_deadline - running.m_mesh.Now() > kDurationMs - 1000);
    CHECK(held.m_deadline - running.m_mesh.Now() <= kDurationMs);
  }
  running.Decide("n9", RolloutPhase::Shifting);
  CHECK(running.AllHoldWithin(RolloutPhase::Shifting, kFloodLimitMs));
  running.Decide("n14", RolloutPhase::RolledBack);
  CHECK(running.AllHoldWithin(RolloutPhase::RolledBack, kFloodLimitMs));
}

// Guards against a flood that never ends and against traffic by a table that does not change.
TEST_CASE("rollout replication: a table that all nodes share costs no further message")
{
  RolloutMesh running(20);
  running.Order("n3");
  REQUIRE(running.AllHoldWithin(RolloutPhase::Trial, kFloodLimitMs));
  running.m_mesh.Run(15'000); // A link that is opened as the mesh settles carries the table once.
  const std::uint64_t sent = UpdatesSent(running.m_mesh);
  running.m_mesh.Run(20'000);
  CHECK(UpdatesSent(running.m_mesh) == sent);
  running.Order("n8"); // Another reader finds the same record.
  running.m_mesh.Run(1000);
  CHECK(UpdatesSent(running.m_mesh) == sent);
}

// Guards against a longer trial for a node that learns of the order from the store after its peers.
TEST_CASE("rollout replication: a node that starts later takes its peers' deadline and phase")
{
  RolloutMesh running(12);
  running.m_mesh.Kill("n2");
  running.Order("n3");
  running.m_mesh.Run(10'000);
  running.m_mesh.Restart("n2");
  running.Order("n2", kOrder, false);
  REQUIRE(running.AllHoldWithin(RolloutPhase::Trial, kRepairLimitMs));
  const auto deadlineKnown = [&] {
    const auto& nodes = running.m_mesh.Nodes();
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& aNode) {
      return running.Held(aNode.first)->m_deadline - running.Held("n3")->m_deadline < 500;
    });
  };
  CHECK(running.m_mesh.RunUntil(deadlineKnown, kRepairLimitMs));
  running.m_mesh.Kill("n2");
  running.Decide("n3", RolloutPhase::RolledBack, 12);
  running.m_mesh.Run(1000);
  running.m_mesh.Restart("n2");
  CHECK(running.AllHoldWithin(RolloutPhase::RolledBack, kRepairLimitMs));
}

// Guards against a version that stays in use on one side after a partition has healed.
TEST_CASE("rollout replication: tables that differ after a partition are repaired by digests")
{
  RolloutMesh running(12);
  running.Order("n3");
  REQUIRE(running.AllHoldWithin(RolloutPhase::Trial, kFloodLimitMs));
  running.m_mesh.SetPartitioned("east", "west", true);
  running.m_mesh.Run(500);
  running.Decide("n0", RolloutPhase::RolledBack);
  running.Decide("n1", RolloutPhase::Completed, 21);
  running.m_mesh.Run(5000);
  running.m_mesh.SetPartitioned("east", "west", false);
  // The store's state counts against one that nobody has written.
  CHECK(running.AllHoldWithin(RolloutPhase::Completed, 2 * kRepairLimitMs));
}

TEST_CASE("rollout replication: lost messages are made up for")
{
  RolloutMesh running(12);
  running.m_mesh.SetLoss([](const SendMessage& aSend) {
    return aSend.m_message->body.type == wire::Body::RolloutUpdate &&
           !aSend.m_message->body.AsRolloutUpdate()->reply_wanted && aSend.m_node != "n5";
  });
  running.Order("n3");
  running.m_mesh.Run(500);
  CHECK_FALSE(running.AllHold(RolloutPhase::Trial));
  CHECK(running.AllHoldWithin(RolloutPhase::Trial, kRepairLimitMs));
}

TEST_CASE("rollout replication: a later order replaces an earlier one, a late decision is ignored")
{
  RolloutMesh running(8);
  running.Order("n3");
  REQUIRE(running.AllHoldWithin(RolloutPhase::Trial, kFloodLimitMs));
  running.Order("n3", { .m_era = 1, .m_offset = 8 });
  running.m_mesh.Run(kFloodLimitMs);
  running.Decide("n4", RolloutPhase::RolledBack, 30);
  running.m_mesh.Run(kFloodLimitMs);
  CHECK(running.AllHold(RolloutPhase::Trial));
  CHECK(running.Held("n6")->m_order.m_offset == 8);
}

// Guards against a second rollout of an order that the restored store names in a new era.
TEST_CASE("rollout replication: an order of a restored store keeps its phase and deadline")
{
  RolloutMesh running(8);
  running.Order("n3");
  running.Decide("n3", RolloutPhase::RolledBack, 12);
  REQUIRE(running.AllHoldWithin(RolloutPhase::RolledBack, kFloodLimitMs));
  const Instant deadline = running.Held("n3")->m_deadline;
  running.Order("n3", { .m_era = 2, .m_offset = 7 }, false);
  running.m_mesh.Run(kFloodLimitMs);
  CHECK(running.AllHold(RolloutPhase::RolledBack));
  CHECK(running.Held("n3")->m_order.m_era == 2);
  CHECK(running.Held("n3")->m_deadline == deadline);
  CHECK_FALSE(running.Held("n3")->m_finalOffset); // The record may be lost, so it is written again.
}

TEST_CASE("rollout replication: without the setting no message is sent and none is heeded")
{
  RolloutMesh running(6, false);
  running.Order("n3");
  running.m_mesh.Run(3000);
  CHECK(running.Held("n3") == nullptr);
  CHECK(UpdatesSent(running.m_mesh) == 0);
}
