#include "FakeMesh.h"

#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::distribution;

namespace {

// Time for a publication to reach all nodes.
constexpr Milliseconds kPropagationLimitMs = 3000;
// Time for starting nodes to become ready and know all others.
constexpr Milliseconds kStartLimitMs = 20'000;

// A mesh of aCount nodes that all know each other and hold version 1.
struct RunningMesh
{
  explicit RunningMesh(std::size_t aCount, std::uint64_t aSeed = 1)
    : m_mesh(aSeed)
  {
    m_mesh.AddNodes(aCount);
    REQUIRE(m_mesh.RunUntil([&] { return m_mesh.AllKnowEachOther(); }, kStartLimitMs));
    m_mesh.Publish("n0", "first", 0, "first");
    REQUIRE(m_mesh.RunUntil([&] { return m_mesh.AllHoldVersion(1); }, kPropagationLimitMs));
    m_mesh.Run(3000);
  }

  FakeMesh m_mesh;
};

std::uint64_t
VersionOf(FakeMesh& aMesh, const std::string& aNode)
{
  return aMesh.Node(aNode).m_controller.m_replay->m_version;
}

} // namespace

TEST_CASE("nodes that start together find each other and hold a publication within 3 s")
{
  RunningMesh running(24);
  FakeMesh& mesh = running.m_mesh;
  const std::uint64_t request = mesh.Publish("n5", "second", 1, "second");
  CHECK(mesh.RunUntil([&] { return mesh.AllHoldVersion(2); }, kPropagationLimitMs));
  mesh.Run(200);
  REQUIRE(mesh.Node("n5").m_answers.contains(request));
  CHECK(mesh.Node("n5").m_answers[request].m_outcome.m_outcome == config::PublishOutcome::Accepted);
}

TEST_CASE("reordered, late and lost updates never take a node to an older version and are repaired")
{
  for (const std::uint64_t seed : { 1U, 2U, 3U, 4U }) {
    RunningMesh running(16, seed);
    FakeMesh& mesh = running.m_mesh;
    mesh.SetJitter(300);
    Random random{ seed };
    mesh.SetLoss([&](const SendMessage& aSend) {
      return aSend.m_message->body.type == wire::Body::ConfigRecord && random.Below(100) < 40;
    });
    for (std::uint64_t version = 1; version <= 8; ++version) {
      mesh.Publish("n" + std::to_string(version),
                   "p" + std::to_string(version),
                   version,
                   "s" + std::to_string(version));
      REQUIRE(mesh.RunUntil([&, version] { return mesh.AllHoldVersion(version + 1); },
                            kPropagationLimitMs));
    }
  }
}

TEST_CASE("of two concurrent publications exactly one is accepted, the other learns the version")
{
  RunningMesh running(12);
  FakeMesh& mesh = running.m_mesh;
  const std::uint64_t left = mesh.Publish("n2", "left", 1, "left");
  const std::uint64_t right = mesh.Publish("n3", "right", 1, "right");
  REQUIRE(mesh.RunUntil([&] { return mesh.AllHoldVersion(2); }, kPropagationLimitMs));
  mesh.Run(1000);
  const AnswerPublish first = mesh.Node("n2").m_answers.at(left);
  const AnswerPublish second = mesh.Node("n3").m_answers.at(right);
  CHECK(first.m_outcome.m_outcome == config::PublishOutcome::Accepted);
  CHECK(second.m_outcome.m_outcome == config::PublishOutcome::Conflict);
  CHECK(second.m_outcome.m_version == 2);
}

TEST_CASE("an append whose answer is lost is applied once, and a repeat gets the first outcome")
{
  RunningMesh running(12);
  FakeMesh& mesh = running.m_mesh;
  mesh.Log().m_answersToLose = 2;
  const std::uint64_t request = mesh.Publish("n4", "lost", 1, "lost");
  REQUIRE(mesh.RunUntil([&] { return mesh.Node("n4").m_answers.contains(request); },
                        kPropagationLimitMs));
  CHECK(mesh.Node("n4").m_answers[request].m_outcome.m_outcome == config::PublishOutcome::Accepted);
  mesh.Run(2000);
  const std::uint64_t again = mesh.Publish("n9", "lost", 1, "lost");
  mesh.Run(500);
  CHECK(mesh.Node("n9").m_answers.at(again).m_outcome.m_outcome ==
        config::PublishOutcome::Accepted);
  CHECK(VersionOf(mesh, "n9") == 2);
}

TEST_CASE("a publish during a log outage is answered as not known yet, and nothing is applied")
{
  RunningMesh running(12);
  FakeMesh& mesh = running.m_mesh;
  mesh.Log().m_outage = true;
  const std::uint64_t request = mesh.Publish("n4", "later", 1, "later");
  REQUIRE(mesh.RunUntil([&] { return mesh.Node("n4").m_answers.contains(request); }, 4000));
  CHECK_FALSE(mesh.Node("n4").m_answers[request].m_known);
  CHECK(VersionOf(mesh, "n4") == 1);
  mesh.Log().m_outage = false;
  mesh.Publish("n4", "later", 1, "later");
  CHECK(mesh.RunUntil([&] { return mesh.AllHoldVersion(2); }, kPropagationLimitMs));
}

TEST_CASE("during a log outage nodes keep their version and a restarted node gets it from peers")
{
  RunningMesh running(12);
  FakeMesh& mesh = running.m_mesh;
  mesh.Log().m_outage = true;
  mesh.Node("n6").m_controller.m_options.m_bootstrapPeers = { "n7" };
  mesh.Kill("n6");
  mesh.Run(10'000);
  mesh.Restart("n6");
  mesh.Node("n6").m_controller.m_options.m_bootstrapPeers = { "n7" };
  CHECK(mesh.RunUntil([&] { return mesh.Node("n6").m_ready; }, kPropagationLimitMs));
  CHECK(VersionOf(mesh, "n6") == 1);
  mesh.Log().m_outage = false;
  mesh.Run(3000);
  mesh.Publish("n6", "after", 1, "after");
  CHECK(mesh.RunUntil([&] { return mesh.AllHoldVersion(2); }, kPropagationLimitMs));
}

TEST_CASE("after a restart of all nodes but one, and then of all, the version is the same")
{
  RunningMesh running(12);
  FakeMesh& mesh = running.m_mesh;
  for (auto& [name, node] : mesh.Nodes()) {
    if (name != "n3") {
      mesh.Restart(name);
    }
  }
  CHECK(mesh.RunUntil([&] { return mesh.AllKnowEachOther() && mesh.AllHoldVersion(1); },
                      kStartLimitMs));
  for (auto& [name, node] : mesh.Nodes()) {
    mesh.Restart(name);
  }
  CHECK(mesh.RunUntil([&] { return mesh.AllKnowEachOther() && mesh.AllHoldVersion(1); },
                      kStartLimitMs));
}

TEST_CASE(
  "a stale checkpoint of a paused writer is ignored, and a newer one covers expired records")
{
  RunningMesh running(8);
  FakeMesh& mesh = running.m_mesh;
  const std::string stale = config::EncodeCheckpoint(*mesh.Node("n0").m_controller.m_replay);
  for (std::uint64_t version = 1; version <= 5; ++version) {
    mesh.Publish("n1", "q" + std::to_string(version), version, "s" + std::to_string(version));
    REQUIRE(mesh.RunUntil([&, version] { return mesh.AllHoldVersion(version + 1); },
                          kPropagationLimitMs));
  }
  mesh.Log().m_checkpoints.push_back(
    config::EncodeCheckpoint(*mesh.Node("n0").m_controller.m_replay));
  mesh.Log().m_checkpoints.push_back(stale);
  mesh.Log().m_first = 4;
  for (auto& [name, node] : mesh.Nodes()) {
    mesh.Restart(name);
  }
  CHECK(mesh.RunUntil([&] { return mesh.AllKnowEachOther() && mesh.AllHoldVersion(6); },
                      kStartLimitMs));
}

TEST_CASE(
  "without a checkpoint that covers expired records no node becomes ready with partial history")
{
  RunningMesh running(4);
  FakeMesh& mesh = running.m_mesh;
  mesh.Publish("n1", "q", 1, "s");
  REQUIRE(mesh.RunUntil([&] { return mesh.AllHoldVersion(2); }, kPropagationLimitMs));
  mesh.Log().m_first = 1;
  mesh.Log().m_checkpoints.clear();
  for (auto& [name, node] : mesh.Nodes()) {
    mesh.Restart(name);
  }
  mesh.Run(kStartLimitMs);
  for (auto& [name, node] : mesh.Nodes()) {
    CHECK_FALSE(node.m_ready);
  }
}

TEST_CASE("a log that lost its records is reported, and records at reused offsets are not applied")
{
  RunningMesh running(8);
  FakeMesh& mesh = running.m_mesh;
  for (std::uint64_t version = 1; version <= 3; ++version) {
    mesh.Publish("n1", "q" + std::to_string(version), version, "s" + std::to_string(version));
    REQUIRE(mesh.RunUntil([&, version] { return mesh.AllHoldVersion(version + 1); },
                          kPropagationLimitMs));
  }
  mesh.Log().m_config.clear();
  mesh.Publish("n1", "anew", 4, "anew");
  mesh.Run(10'000);
  std::uint64_t regressionsReported = 0;
  for (auto& [name, node] : mesh.Nodes()) {
    CHECK(node.m_controller.m_replay->m_version == 4);
    regressionsReported += node.m_controller.m_counters.m_logTruncations;
  }
  CHECK(regressionsReported > 0);
}

TEST_CASE("a region partitioned for an hour keeps its version and then catches up")
{
  RunningMesh running(16);
  FakeMesh& mesh = running.m_mesh;
  mesh.SetPartitioned("east", "west", true);
  mesh.Log().m_cutRegions = { "west" };
  mesh.Publish("n0", "cut", 1, "cut");
  mesh.Run(3'600'000);
  CHECK(VersionOf(mesh, "n0") == 2);
  CHECK(VersionOf(mesh, "n1") == 1);
  CHECK(mesh.Node("n1").m_ready);
  mesh.SetPartitioned("east", "west", false);
  mesh.Log().m_cutRegions.clear();
  CHECK(mesh.RunUntil([&] { return mesh.AllHoldVersion(2); }, kPropagationLimitMs));
  CHECK(mesh.RunUntil([&] { return mesh.AllKnowEachOther(); }, 30'000));
}

TEST_CASE("the death of a failure domain is detected, and its nodes can all rejoin at once")
{
  RunningMesh running(48);
  FakeMesh& mesh = running.m_mesh;
  std::vector<std::string> dead;
  for (auto& [name, node] : mesh.Nodes()) {
    if (node.m_failureDomain == "west-b") {
      dead.push_back(name);
    }
  }
  for (const std::string& name : dead) {
    mesh.Kill(name);
  }
  CHECK(mesh.RunUntil([&] { return mesh.AllKnowEachOther(); }, 20'000));
  mesh.Publish("n0", "without", 1, "without");
  CHECK(mesh.RunUntil([&] { return mesh.AllHoldVersion(2); }, kPropagationLimitMs));
  for (const std::string& name : dead) {
    mesh.Restart(name);
  }
  CHECK(mesh.RunUntil([&] { return mesh.AllKnowEachOther() && mesh.AllHoldVersion(2); }, 20'000));
}

TEST_CASE("restarted nodes join through their own region, as cross-region traffic is billed")
{
  RunningMesh running(48);
  FakeMesh& mesh = running.m_mesh;
  mesh.Run(60'000);
  std::size_t foreignJoins = 0;
  mesh.SetActionObserver([&](const std::string& aNode, const Action& aAction) {
    const auto* send = std::get_if<SendMessage>(&aAction);
    if (send != nullptr && send->m_message->body.type == wire::Body::Join) {
      foreignJoins += mesh.Node(aNode).m_region != mesh.Node(send->m_node).m_region ? 1 : 0;
    }
  });
  for (auto& [name, node] : mesh.Nodes()) {
    if (node.m_failureDomain == "west-b") {
      mesh.Restart(name);
    }
  }
  CHECK(mesh.RunUntil([&] { return mesh.AllKnowEachOther() && mesh.AllHoldVersion(1); },
                      kStartLimitMs));
  CHECK(foreignJoins == 0);
}

TEST_CASE("an isolated node detects this, makes at most two accusations, and rejoins afterwards")
{
  RunningMesh running(24);
  FakeMesh& mesh = running.m_mesh;
  mesh.SetIsolated("n8", true);
  mesh.Run(20'000);
  CHECK(mesh.Node("n8").m_controller.m_counters.m_accusations <= 2);
  std::size_t notLive = 0;
  for (const auto& [name, record] : mesh.Node("n0").m_controller.m_table.m_members) {
    notLive += membership::IsLive(record.m_member.m_state) ? 0 : 1;
  }
  CHECK(notLive == 1);
  mesh.SetIsolated("n8", false);
  CHECK(mesh.RunUntil([&] { return mesh.AllKnowEachOther(); }, 30'000));
}

TEST_CASE("a paused node refutes the suspicion and checks with a peer before it is ready again")
{
  RunningMesh running(12);
  FakeMesh& mesh = running.m_mesh;
  mesh.Freeze("n5");
  mesh.Run(15'000);
  mesh.Publish("n0", "while", 1, "while");
  mesh.Run(3000);
  std::vector<std::uint64_t> versionsWhenReady;
  mesh.SetActionObserver([&](const std::string& aNode, const Action& aAction) {
    const auto* change = std::get_if<ReadinessChanged>(&aAction);
    if (aNode == "n5" && change != nullptr && change->m_ready) {
      versionsWhenReady.push_back(VersionOf(mesh, "n5"));
    }
  });
  mesh.Thaw("n5");
  CHECK(mesh.RunUntil([&] { return mesh.AllKnowEachOther() && mesh.AllHoldVersion(2); }, 15'000));
  REQUIRE(versionsWhenReady.size() == 1);
  CHECK(versionsWhenReady.front() == 2);
}

TEST_CASE("a version reaches all other nodes while a reader and a domain head are frozen or dead")
{
  for (const std::uint64_t seed : { 11U, 12U, 13U, 14U, 15U, 16U }) {
    for (const bool freeze : { false, true }) {
      RunningMesh running(32, seed);
      FakeMesh& mesh = running.m_mesh;
      const std::string reader = mesh.ReaderOf("east");
      const std::string head = mesh.HeadOf("west", "west-a");
      const auto injectFault = [&](const std::string& aNode) {
        if (freeze) {
          mesh.Freeze(aNode);
        } else {
          mesh.Kill(aNode);
        }
      };
      injectFault(reader);
      if (head != reader) {
        injectFault(head);
      }
      const std::string publisher = reader == "n0" || head == "n0" ? "n1" : "n0";
      mesh.Publish(publisher == reader || publisher == head ? "n2" : publisher, "pair", 1, "pair");
      CHECK(mesh.RunUntil(
        [&] {
          for (auto& [name, node] : mesh.Nodes()) {
            if (node.m_alive && !node.m_frozen && node.m_controller.m_replay->m_version < 2) {
              return false;
            }
          }
          return true;
        },
        kPropagationLimitMs));
    }
  }
}

TEST_CASE("all nodes see a draining node as draining within 2 s, and as gone within 2 s of leaving")
{
  RunningMesh running(24);
  FakeMesh& mesh = running.m_mesh;
  mesh.Feed("n9", DrainRequested{});
  const auto allSee = [&](membership::MemberState aState) {
    for (auto& [name, node] : mesh.Nodes()) {
      const auto found = node.m_controller.m_table.m_members.find("n9");
      if (found->second.m_member.m_state != aState) {
        return false;
      }
    }
    return true;
  };
  CHECK(mesh.RunUntil([&] { return allSee(membership::MemberState::Draining); }, 2000));
  mesh.Feed("n9", LeaveRequested{});
  CHECK(mesh.RunUntil([&] { return allSee(membership::MemberState::Gone); }, 2000));
}

TEST_CASE("a target's announcement and its expiry reach all nodes")
{
  RunningMesh running(24);
  FakeMesh& mesh = running.m_mesh;
  mesh.Feed("n4", TargetChanged{ .m_service = "jobboard", .m_slots = 6 });
  const auto allSee = [&](const std::string& aService) {
    for (auto& [name, node] : mesh.Nodes()) {
      if (node.m_controller.m_table.m_members.at("n4").m_member.m_service != aService) {
        return false;
      }
    }
    return true;
  };
  CHECK(mesh.RunUntil([&] { return allSee("jobboard"); }, 2000));
  mesh.Feed("n4", TargetChanged{});
  CHECK(mesh.RunUntil([&] { return allSee(""); }, 2000));
}

TEST_CASE("the rate of log requests is bounded by the number of regions, not of nodes")
{
  RunningMesh small(12);
  RunningMesh large(48);
  const auto requestsIn10Seconds = [](FakeMesh& aMesh) {
    aMesh.Run(70'000); // Groups that formed at the start search for each other in the first minute.
    const std::uint64_t before = aMesh.Log().m_requests;
    aMesh.Run(10'000);
    return aMesh.Log().m_requests - before;
  };
  CHECK(requestsIn10Seconds(small.m_mesh) <= 20);
  CHECK(requestsIn10Seconds(large.m_mesh) <= 20);
}

TEST_CASE("the version that a held call waits for is pulled at once")
{
  RunningMesh running(12);
  FakeMesh& mesh = running.m_mesh;
  mesh.SetLoss([](const SendMessage& aSend) {
    return aSend.m_node == "n7" && (aSend.m_message->body.type == wire::Body::ConfigRecord ||
                                    aSend.m_message->body.type == wire::Body::Heartbeat);
  });
  mesh.Publish("n0", "held", 1, "held");
  mesh.Run(150);
  CHECK(VersionOf(mesh, "n7") == 1);
  mesh.SetLoss({});
  mesh.Feed("n7", VersionWanted{ .m_version = 2 });
  CHECK(mesh.RunUntil([&] { return VersionOf(mesh, "n7") == 2; }, 50));
}

TEST_CASE("summaries count all nodes of each region and their lowest version")
{
  RunningMesh running(40);
  FakeMesh& mesh = running.m_mesh;
  mesh.Publish("n0", "sum", 1, "sum");
  const auto complete = [&](const std::string& aNode) {
    const auto regions = SummarizeRegions(mesh.Node(aNode).m_controller.m_summaries, mesh.Now());
    return regions.size() == 2 && regions[0].m_nodes == 20 && regions[1].m_nodes == 20 &&
           regions[0].m_lowestVersion == 2 && regions[1].m_lowestVersion == 2;
  };
  CHECK(mesh.RunUntil([&] { return complete("n0") && complete("n39"); }, kPropagationLimitMs));
}
