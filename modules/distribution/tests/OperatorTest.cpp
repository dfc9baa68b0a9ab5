// The operator's record: a version that one reader read from the store reaches all nodes.
#include "FakeMesh.h"

#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::distribution;

namespace {

constexpr Milliseconds kStartLimitMs = 20'000;
constexpr Milliseconds kPropagationLimitMs = 1000;
constexpr std::size_t kRoutes = 2000;

// A text like that of an operator's record: long, and nearly the same in each version.
std::string
TextOf(std::uint64_t aVersion)
{
  std::string text = std::to_string(aVersion) + " record";
  for (std::size_t route = 0; route < kRoutes; ++route) {
    text += " route-" + std::to_string(route * 7919);
  }
  return text + " changed-" + std::to_string(aVersion);
}

struct OperatorMesh
{
  explicit OperatorMesh(std::size_t aCount)
    : m_mesh(3)
  {
    m_mesh.Defaults().m_followPublications = false;
    m_mesh.AddNodes(aCount);
    REQUIRE(m_mesh.RunUntil([&] { return m_mesh.AllKnowEachOther(); }, kStartLimitMs));
    m_mesh.Run(3000);
    ReadFromStore(m_mesh.ReaderOf("east"), 1);
    REQUIRE(m_mesh.RunUntil([&] { return AllHoldVersion(1); }, kPropagationLimitMs));
  }

  // Simulates that the node reads the version from the store.
  void ReadFromStore(const std::string& aNode, std::uint64_t aVersion)
  {
    m_mesh.AcceptOperatorRecord(aNode, TextOf(aVersion), {});
  }

  bool AllHoldVersion(std::uint64_t aVersion)
  {
    for (const auto& [name, node] : m_mesh.Nodes()) {
      if (node.m_alive && node.m_operatorVersion != aVersion) {
        return false;
      }
    }
    return true;
  }

  FakeMesh m_mesh;
};

} // namespace

TEST_CASE("a version that one reader read is in force on all nodes within a second")
{
  OperatorMesh running(48);
  for (std::uint64_t version = 2; version <= 5; ++version) {
    running.ReadFromStore(running.m_mesh.ReaderOf("west"), version);
    CHECK(running.m_mesh.RunUntil([&] { return running.AllHoldVersion(version); },
                                  kPropagationLimitMs));
  }
}

TEST_CASE("each node receives a change about once, as a delta")
{
  OperatorMesh running(48);
  FakeMesh& mesh = running.m_mesh;
  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;
  mesh.SetLoss([&](const SendMessage& aSend) {
    if (aSend.m_message->body.type == wire::Body::OperatorRecord) {
      bytes += aSend.m_message->body.AsOperatorRecord()->content.size();
      ++messages;
    }
    return false;
  });
  running.ReadFromStore(mesh.ReaderOf("east"), 2);
  REQUIRE(mesh.RunUntil([&] { return running.AllHoldVersion(2); }, kPropagationLimitMs));
  mesh.Run(2000);
  CHECK(messages < 48 * 2);
  CHECK(bytes < messages * TextOf(2).size() / 50);
}

TEST_CASE("nodes whose pushes are lost pull the version")
{
  OperatorMesh running(24);
  FakeMesh& mesh = running.m_mesh;
  Random random{ 9 };
  mesh.SetLoss([&](const SendMessage& aSend) {
    return aSend.m_message->body.type == wire::Body::OperatorRecord && random.Below(100) < 50;
  });
  for (std::uint64_t version = 2; version <= 8; ++version) {
    running.ReadFromStore(mesh.ReaderOf("east"), version);
    REQUIRE(mesh.RunUntil([&] { return running.AllHoldVersion(version); }, 2000));
  }
}

TEST_CASE("a restarted node gets the version from its peers while no node reads the store")
{
  OperatorMesh running(24);
  FakeMesh& mesh = running.m_mesh;
  for (std::uint64_t version = 2; version <= 7; ++version) {
    running.ReadFromStore(mesh.ReaderOf("east"), version);
  }
  REQUIRE(mesh.RunUntil([&] { return running.AllHoldVersion(7); }, kPropagationLimitMs));
  mesh.Kill("n5");
  mesh.Run(1000);
  mesh.Restart("n5");
  mesh.Node("n5").m_operatorVersion = 0;
  CHECK(mesh.RunUntil([&] { return running.AllHoldVersion(7); }, 3000));
}

TEST_CASE("starting nodes, readers and isolated nodes watch the store, others do not")
{
  OperatorMesh running(24);
  FakeMesh& mesh = running.m_mesh;
  mesh.Run(2000);
  std::map<std::string, std::size_t> readers;
  for (auto& [name, node] : mesh.Nodes()) {
    readers[node.m_region] += ShouldReadOperatorRecord(node.m_controller, mesh.Now()) ? 1 : 0;
  }
  for (const auto& [region, count] : readers) {
    CHECK(count >= 2);
    CHECK(count <= 3);
  }
  std::string isolated;
  for (auto& [name, node] : mesh.Nodes()) {
    if (!ShouldReadOperatorRecord(node.m_controller, mesh.Now())) {
      isolated = name;
    }
  }
  mesh.SetIsolated(isolated, true);
  mesh.Run(2000);
  CHECK(ShouldReadOperatorRecord(mesh.Node(isolated).m_controller, mesh.Now()));
}

TEST_CASE("after a restore of the store every node's directory entry is written again, once")
{
  FakeMesh mesh(5);
  mesh.Defaults().m_followPublications = false;
  mesh.Log().m_era = 1;
  mesh.AddNodes(12);
  REQUIRE(mesh.RunUntil([&] { return mesh.AllKnowEachOther(); }, kStartLimitMs));
  mesh.Run(3000);
  for (int restore = 0; restore < 2; ++restore) {
    mesh.Log().m_directory.clear();
    ++mesh.Log().m_era;
    mesh.Feed(mesh.ReaderOf("east"), StoreAnswered{ .m_era = mesh.Log().m_era });
    CHECK(mesh.RunUntil([&] { return mesh.Log().m_directory.size() == 12; }, 10'000));
    mesh.Run(2000);
    const std::uint64_t requests = mesh.Log().m_requests;
    mesh.Run(10'000);
    CHECK(mesh.Log().m_requests == requests);
  }
}
