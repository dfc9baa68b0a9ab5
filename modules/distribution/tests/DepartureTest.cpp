// Departures of targets: held by peers before they are acknowledged, and told to a restarted node.
#include "FakeMesh.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::distribution;

namespace {

constexpr Milliseconds kStartLimitMs = 20'000;
constexpr Milliseconds kKeepLimitMs = 500;
constexpr Milliseconds kRecallLimitMs = 1500;
const Departure kDeparture{ .m_id = "i-1", .m_bornMs = 1'700'000'000'000 };

// What the controllers asked of their nodes about departures.
struct Seen
{
  std::string m_node;
  std::vector<DepartureKept> m_kept;
  std::vector<OwnEntryRecalled> m_recalled;
};

struct DepartureMesh
{
  explicit DepartureMesh(std::size_t aCount)
    : m_mesh(5)
  {
    m_mesh.Defaults().m_followPublications = false;
    m_mesh.SetActionObserver([this](const std::string& aNode, const Action& aAction) {
      if (aNode != m_seen.m_node) {
        return;
      }
      if (const auto* kept = std::get_if<DepartureKept>(&aAction)) {
        m_seen.m_kept.push_back(*kept);
      } else if (const auto* recalled = std::get_if<OwnEntryRecalled>(&aAction)) {
        m_seen.m_recalled.push_back(*recalled);
      }
    });
    m_mesh.AddNodes(aCount);
    REQUIRE(m_mesh.RunUntil([&] { return m_mesh.AllKnowEachOther(); }, kStartLimitMs));
    m_mesh.Run(3000);
    m_seen = { .m_node = "n2", .m_kept = {}, .m_recalled = {} };
    Announce();
    m_mesh.Run(200);
  }

  void Announce(bool aDraining = false)
  {
    m_mesh.Feed("n2", TargetChanged{ .m_service = "jobs", .m_slots = 6, .m_draining = aDraining });
  }

  // The target beside n2 leaves.
  void Leave()
  {
    Announce(true);
    m_mesh.Feed("n2", DepartureRecorded{ .m_request = 1, .m_departure = kDeparture });
  }

  bool IsKept() const { return !m_seen.m_kept.empty(); }

  bool IsRecalled() const
  {
    return std::any_of(
      m_seen.m_recalled.begin(), m_seen.m_recalled.end(), [](const OwnEntryRecalled& aRecalled) {
        return std::find(aRecalled.m_departures.begin(),
                         aRecalled.m_departures.end(),
                         kDeparture) != aRecalled.m_departures.end();
      });
  }

  FakeMesh m_mesh;
  Seen m_seen;
};

} // namespace

// Guards against work that is lost at a target that left: the process that acknowledged its leaving
// is gone a moment later.
TEST_CASE("a departure that is confirmed comes back to a node that is killed and starts again")
{
  for (const Milliseconds downMs : { 0, 200, 4000, 12'000 }) {
    CAPTURE(downMs);
    DepartureMesh running(12);
    FakeMesh& mesh = running.m_mesh;
    running.Leave();
    REQUIRE(mesh.RunUntil([&] { return running.IsKept(); }, kKeepLimitMs));
    const std::string keeper = running.m_seen.m_kept.front().m_node;
    CHECK(mesh.Node(keeper).m_failureDomain != mesh.Node("n2").m_failureDomain);
    mesh.Kill("n2");
    mesh.Run(downMs);
    mesh.Restart("n2");
    CHECK(mesh.RunUntil([&] { return running.IsRecalled(); }, kRecallLimitMs));
    // A second restart forgets nothing either, whatever the first process announced.
    running.Announce();
    mesh.Run(300);
    running.m_seen.m_recalled.clear();
    mesh.Kill("n2");
    mesh.Run(200);
    mesh.Restart("n2");
    CHECK(mesh.RunUntil([&] { return running.IsRecalled(); }, kRecallLimitMs));
  }
}

TEST_CASE("a departure outlives the node and the whole failure domain that acknowledged it")
{
  DepartureMesh running(24);
  FakeMesh& mesh = running.m_mesh;
  running.Leave();
  REQUIRE(mesh.RunUntil([&] { return running.IsKept(); }, kKeepLimitMs));
  const std::string domain = mesh.Node("n2").m_failureDomain;
  std::vector<std::string> lost;
  for (const auto& [name, node] : mesh.Nodes()) {
    if (node.m_failureDomain == domain) {
      lost.push_back(name);
    }
  }
  for (const std::string& name : lost) {
    mesh.Kill(name);
  }
  mesh.Run(500);
  for (const std::string& name : lost) {
    mesh.Restart(name);
  }
  CHECK(mesh.RunUntil([&] { return running.IsRecalled(); }, 2 * kRecallLimitMs));
}

TEST_CASE("a node without peers gets no confirmation until one is linked")
{
  DepartureMesh running(6);
  FakeMesh& mesh = running.m_mesh;
  mesh.SetIsolated("n2", true);
  mesh.Run(100);
  running.Leave();
  mesh.Run(2000);
  CHECK_FALSE(running.IsKept());
  mesh.SetIsolated("n2", false);
  CHECK(mesh.RunUntil([&] { return running.IsKept(); }, kStartLimitMs));
}

TEST_CASE("a restarted node is told that its peers know of no departure")
{
  DepartureMesh running(12);
  FakeMesh& mesh = running.m_mesh;
  mesh.Kill("n2");
  mesh.Run(300);
  mesh.Restart("n2");
  const auto complete = [&] {
    return std::any_of(running.m_seen.m_recalled.begin(),
                       running.m_seen.m_recalled.end(),
                       [](const OwnEntryRecalled& aRecalled) { return aRecalled.m_ofPredecessor; });
  };
  CHECK(mesh.RunUntil(complete, kRecallLimitMs));
  CHECK_FALSE(running.IsRecalled());
}
