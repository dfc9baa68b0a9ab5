// Injects every fault at every step of configuration and membership distribution. docs/FAULTS.md
// has the same table; tools/test compares the two and rejects empty cells.
#include "FakeMesh.h"
#include "NameTable.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::distribution;

namespace {

enum class StepKind
{
  Append,
  Answer,
  Read,
  Replay,
  Build,
  Swap,
  Push,
  Pull,
  Heartbeat,
  Join,
  Announce,
  Drain,
  Checkpoint,
  Directory,
};

constexpr std::array<NameRow<StepKind>, 14> kSteps{ {
  { StepKind::Append, "append" },
  { StepKind::Answer, "answer" },
  { StepKind::Read, "read" },
  { StepKind::Replay, "replay" },
  { StepKind::Build, "build" },
  { StepKind::Swap, "swap" },
  { StepKind::Push, "push" },
  { StepKind::Pull, "pull" },
  { StepKind::Heartbeat, "heartbeat" },
  { StepKind::Join, "join" },
  { StepKind::Announce, "announce" },
  { StepKind::Drain, "drain" },
  { StepKind::Checkpoint, "checkpoint" },
  { StepKind::Directory, "directory" },
} };

enum class Fault
{
  Kill,
  DomainDies,
  DomainRestarts,
  Freeze,
  LinkBreaks,
  NodeCut,
  RegionCut,
  LogOutage,
  LogSlow,
  AnswerLost,
  UpdatesReordered,
  OperatorsRace,
};

constexpr std::array<NameRow<Fault>, 12> kFaults{ {
  { Fault::Kill, "kill" },
  { Fault::DomainDies, "domain dies" },
  { Fault::DomainRestarts, "domain restarts" },
  { Fault::Freeze, "freeze" },
  { Fault::LinkBreaks, "link breaks" },
  { Fault::NodeCut, "node cut" },
  { Fault::RegionCut, "region cut" },
  { Fault::LogOutage, "log outage" },
  { Fault::LogSlow, "log slow" },
  { Fault::AnswerLost, "answer lost" },
  { Fault::UpdatesReordered, "updates reordered" },
  { Fault::OperatorsRace, "operators race" },
} };

constexpr Milliseconds kPropagationLimitMs = 3000;
constexpr Milliseconds kFaultDurationMs = 8000;
constexpr Milliseconds kStartLimitMs = 20'000;
constexpr Milliseconds kRecoveryLimitMs = 30'000;

bool
SendsBody(const Action& aAction, wire::Body aBody)
{
  const auto* send = std::get_if<SendMessage>(&aAction);
  return send != nullptr && send->m_message->body.type == aBody;
}

bool
SendsState(const Action& aAction, membership::MemberState aState)
{
  const auto* send = std::get_if<SendMessage>(&aAction);
  if (send == nullptr || send->m_message->body.type != wire::Body::MemberUpdate) {
    return false;
  }
  const auto& entries = send->m_message->body.AsMemberUpdate()->entries;
  return std::any_of(
    entries.begin(), entries.end(), [&](const auto& aEntry) { return aEntry->state == aState; });
}

bool
SendsService(const Action& aAction)
{
  const auto* send = std::get_if<SendMessage>(&aAction);
  if (send == nullptr || send->m_message->body.type != wire::Body::MemberUpdate) {
    return false;
  }
  const auto& entries = send->m_message->body.AsMemberUpdate()->entries;
  return std::any_of(
    entries.begin(), entries.end(), [](const auto& aEntry) { return !aEntry->service.empty(); });
}

// True if aAction shows that its node is at aStep.
bool
IsAt(StepKind aStep, const Action& aAction)
{
  switch (aStep) {
    case StepKind::Append:
      return std::holds_alternative<AppendPublication>(aAction);
    case StepKind::Answer:
      return std::holds_alternative<AnswerPublish>(aAction);
    case StepKind::Read:
      return std::holds_alternative<ReadConfig>(aAction);
    case StepKind::Replay:
    case StepKind::Build:
    case StepKind::Swap:
      // The controller does these in one call of Step: only their common result is visible.
      return std::holds_alternative<InstallSnapshot>(aAction);
    case StepKind::Push:
      return SendsBody(aAction, wire::Body::ConfigRecord);
    case StepKind::Pull:
      return SendsBody(aAction, wire::Body::Pull);
    case StepKind::Heartbeat:
      return SendsBody(aAction, wire::Body::Heartbeat);
    case StepKind::Join:
      return SendsBody(aAction, wire::Body::Join);
    case StepKind::Announce:
      return SendsService(aAction);
    case StepKind::Drain:
      return SendsState(aAction, membership::MemberState::Draining);
    case StepKind::Checkpoint:
      return std::holds_alternative<AppendCheckpoint>(aAction);
    case StepKind::Directory:
      return std::holds_alternative<AppendDirectory>(aAction);
  }
  return false;
}

// One cell of the matrix: a mesh that goes through all steps, and aFault injected at the first
// action that belongs to aStep.
class Cell
{
public:
  Cell(StepKind aStep, Fault aFault)
    : m_mesh(static_cast<std::uint64_t>(aStep) * 100 + static_cast<std::uint64_t>(aFault) + 1)
    , m_step(aStep)
    , m_fault(aFault)
  {
    m_mesh.Defaults().m_checkpointEveryRecords = 1;
    m_mesh.AddNodes(16);
    REQUIRE(m_mesh.RunUntil([&] { return m_mesh.AllKnowEachOther(); }, kStartLimitMs));
    m_mesh.Publish("n0", "first", 0, "first");
    REQUIRE(m_mesh.RunUntil([&] { return m_mesh.AllHoldVersion(1); }, kPropagationLimitMs));
    m_mesh.Run(3000); // Log reads that started before the nodes knew each other end.
    const std::set<std::string> usedByTest{ "n0", "n1", "n2", "n3", "n5", "n7", "n12" };
    for (auto& [name, node] : m_mesh.Nodes()) {
      // Skips two more ranks than there are readers: a restart and a drain move later ranks up.
      const std::size_t rank = ReaderRank(node.m_controller);
      if (rank >= TopologyOptions().m_readers + 2 && !usedByTest.contains(name)) {
        m_nonReader = name; // A node that gets records only from peers, by a push or a pull.
      }
      node.m_controller.m_nextDirectoryWrite = m_mesh.Now() + 1000;
    }
    m_mesh.SetActionObserver([this](const std::string& aNode, const Action& aAction) {
      if (m_step == StepKind::Pull && !m_injected) {
        DropPushesTo(m_nonReader);
      }
      if (!m_injected && IsAt(m_step, aAction)) {
        m_injected = true;
        m_mesh.SetLoss({});
        InjectFault(aNode, aAction);
      }
    });
  }

  // Publishes, announces, drains and restarts, so that every step occurs, then checks recovery.
  void Run()
  {
    m_mesh.Restart("n12");
    const std::uint64_t request = m_mesh.Publish(m_publisher, "second", 1, "second");
    m_mesh.Feed("n2", TargetChanged{ .m_service = "jobboard", .m_slots = 6 });
    m_mesh.Feed("n3", DrainRequested{});
    CheckPropagation();
    m_mesh.Run(kFaultDurationMs);
    CHECK(m_injected);
    EndFault();
    CheckRecovery(request);
  }

private:
  void DropPushesTo(const std::string& aNode)
  {
    m_mesh.SetLoss([aNode](const SendMessage& aSend) {
      return aSend.m_node == aNode && aSend.m_message->body.type == wire::Body::ConfigRecord;
    });
  }

  bool IsReachable(const std::string& aName, const FakeNode& aNode) const
  {
    const bool partitioned = m_fault == Fault::RegionCut && aNode.m_region == "west";
    return aNode.m_alive && !aNode.m_frozen && aNode.m_ready && aName != m_isolatedNode &&
           !partitioned;
  }

  // Once a reachable node holds the version, all reachable nodes hold it within the limit.
  void CheckPropagation()
  {
    const auto anyHolds = [&] {
      return std::any_of(m_mesh.Nodes().begin(), m_mesh.Nodes().end(), [&](const auto& aItem) {
        return aItem.second.m_alive && aItem.second.m_controller.m_replay->m_version >= 2 &&
               IsReachable(aItem.first, aItem.second);
      });
    };
    if (!m_mesh.RunUntil(anyHolds, kFaultDurationMs)) {
      return; // The fault keeps the publication out of the log while it lasts.
    }
    CHECK(m_mesh.RunUntil(
      [&] {
        return std::all_of(m_mesh.Nodes().begin(), m_mesh.Nodes().end(), [&](const auto& aItem) {
          return !IsReachable(aItem.first, aItem.second) ||
                 aItem.second.m_controller.m_replay->m_version >= 2;
        });
      },
      kPropagationLimitMs));
  }

  void InjectFault(const std::string& aNode, const Action& aAction)
  {
    switch (m_fault) {
      case Fault::Kill:
        m_mesh.Kill(aNode);
        m_dead.push_back(aNode);
        break;
      case Fault::DomainDies:
      case Fault::DomainRestarts:
        FailDomain(aNode);
        break;
      case Fault::Freeze:
        m_mesh.Freeze(aNode);
        m_frozen = aNode;
        break;
      case Fault::LinkBreaks:
        BreakLinks(aNode, aAction);
        break;
      case Fault::NodeCut:
        m_mesh.SetIsolated(aNode, true);
        m_isolatedNode = aNode;
        break;
      case Fault::RegionCut:
        m_mesh.SetPartitioned("east", "west", true);
        m_mesh.Log().m_cutRegions = { "west" };
        break;
      case Fault::LogOutage:
        m_mesh.Log().m_outage = true;
        break;
      case Fault::LogSlow:
        m_mesh.Log().m_delayMs = 900;
        break;
      case Fault::AnswerLost:
        m_mesh.Log().m_answersToLose = 2;
        break;
      case Fault::UpdatesReordered:
        m_mesh.SetJitter(400);
        break;
      case Fault::OperatorsRace:
        m_rivalRequest = m_mesh.Publish("n5", "rival", 1, "rival");
        break;
    }
  }

  void FailDomain(const std::string& aNode)
  {
    const std::string domain = m_mesh.Node(aNode).m_failureDomain;
    for (auto& [name, node] : m_mesh.Nodes()) {
      if (node.m_failureDomain != domain) {
        continue;
      }
      m_mesh.Kill(name);
      if (m_fault == Fault::DomainDies) {
        m_dead.push_back(name);
      }
    }
    if (m_fault == Fault::DomainRestarts) {
      for (auto& [name, node] : m_mesh.Nodes()) {
        if (!node.m_alive) {
          m_mesh.Restart(name);
        }
      }
    }
  }

  void BreakLinks(const std::string& aNode, const Action& aAction)
  {
    const auto* send = std::get_if<SendMessage>(&aAction);
    for (auto& [name, node] : m_mesh.Nodes()) {
      if (send == nullptr || send->m_node == name) {
        m_mesh.BreakLink(aNode, name);
      }
    }
  }

  void EndFault()
  {
    m_mesh.SetActionObserver({});
    m_mesh.SetLoss({});
    m_mesh.SetJitter(0);
    m_mesh.SetPartitioned("east", "west", false);
    m_mesh.Log().m_cutRegions.clear();
    m_mesh.Log().m_outage = false;
    m_mesh.Log().m_delayMs = 1;
    if (!m_frozen.empty()) {
      m_mesh.Thaw(m_frozen);
    }
    if (!m_isolatedNode.empty()) {
      m_mesh.SetIsolated(m_isolatedNode, false);
    }
    for (const std::string& name : m_dead) {
      m_mesh.Restart(name);
    }
  }

  // After the fault, the first outcome of the publish id is still the answer, all nodes hold the
  // same version and know each other, and one more publication reaches all nodes within the limit.
  void CheckRecovery(std::uint64_t aRequest)
  {
    CHECK(m_mesh.RunUntil([&] { return m_mesh.AllKnowEachOther(); }, kRecoveryLimitMs));
    const auto answer = m_mesh.Node(m_publisher).m_answers.find(aRequest);
    const std::uint64_t repeatRequest = m_mesh.Publish("n7", "second", 1, "second");
    m_mesh.Run(kPropagationLimitMs);
    REQUIRE(m_mesh.Node("n7").m_answers.contains(repeatRequest));
    const AnswerPublish& repeated = m_mesh.Node("n7").m_answers.at(repeatRequest);
    CHECK(repeated.m_known);
    if (answer != m_mesh.Node(m_publisher).m_answers.end() && answer->second.m_known) {
      CHECK(answer->second.m_outcome.m_outcome == repeated.m_outcome.m_outcome);
    }
    if (m_fault == Fault::OperatorsRace) {
      const bool accepted = repeated.m_outcome.m_outcome == config::PublishOutcome::Accepted;
      const auto& rival = m_mesh.Node("n5").m_answers.at(m_rivalRequest);
      CHECK(accepted != (rival.m_outcome.m_outcome == config::PublishOutcome::Accepted));
    } else {
      CHECK(repeated.m_outcome.m_outcome == config::PublishOutcome::Accepted);
    }
    const std::uint64_t version = m_mesh.Node("n7").m_controller.m_replay->m_version;
    CHECK(m_mesh.AllHoldVersion(version));
    m_mesh.Publish("n7", "third", version, "third");
    CHECK(m_mesh.RunUntil([&] { return m_mesh.AllHoldVersion(version + 1); }, kPropagationLimitMs));
  }

  FakeMesh m_mesh;
  StepKind m_step;
  Fault m_fault;
  std::string m_publisher = "n1";
  std::string m_nonReader;
  bool m_injected = false;
  std::vector<std::string> m_dead;
  std::string m_frozen;
  std::string m_isolatedNode;
  std::uint64_t m_rivalRequest = 0;
};

} // namespace

TEST_CASE("fault matrix of configuration and members")
{
  for (const auto& step : kSteps) {
    for (const auto& fault : kFaults) {
      const std::string cell = std::string(step.m_name) + " x " + std::string(fault.m_name);
      CAPTURE(cell);
      Cell(step.m_value, fault.m_value).Run();
    }
  }
}
