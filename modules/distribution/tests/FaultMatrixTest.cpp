// Every fault at every step of keeping configuration and members in step. docs/FAULTS.md shows the
// same table; tools/test compares the two, so that a cell can't be empty.
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
  HerdDies,
  StormOfReturns,
  Freeze,
  LinkBreaks,
  NodeCut,
  RegionCut,
  LogOutage,
  LogSlow,
  AnswerLost,
  UpdatesCross,
  OperatorsRace,
};

constexpr std::array<NameRow<Fault>, 12> kFaults{ {
  { Fault::Kill, "kill" },
  { Fault::HerdDies, "herd dies" },
  { Fault::StormOfReturns, "storm of returns" },
  { Fault::Freeze, "freeze" },
  { Fault::LinkBreaks, "link breaks" },
  { Fault::NodeCut, "node cut" },
  { Fault::RegionCut, "region cut" },
  { Fault::LogOutage, "log outage" },
  { Fault::LogSlow, "log slow" },
  { Fault::AnswerLost, "answer lost" },
  { Fault::UpdatesCross, "updates cross" },
  { Fault::OperatorsRace, "operators race" },
} };

constexpr Milliseconds kInForceMs = 3000;
constexpr Milliseconds kFaultLastsMs = 8000;
constexpr Milliseconds kStartMs = 20'000;
constexpr Milliseconds kRecoverMs = 30'000;

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
      // One step of the pure controller: nothing of it is visible before all of it is done.
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

// One cell of the matrix: a mesh that goes through all steps, and one fault at the first aStep.
class Cell
{
public:
  Cell(StepKind aStep, Fault aFault)
    : m_mesh(static_cast<std::uint64_t>(aStep) * 100 + static_cast<std::uint64_t>(aFault) + 1)
    , m_step(aStep)
    , m_fault(aFault)
  {
    m_mesh.Defaults().m_checkpointEveryRecords = 1;
    m_mesh.AddMany(16);
    REQUIRE(m_mesh.RunUntil([&] { return m_mesh.AllKnowEachOther(); }, kStartMs));
    m_mesh.Publish("n0", "first", 0, "first");
    REQUIRE(m_mesh.RunUntil([&] { return m_mesh.AllHold(1); }, kInForceMs));
    m_mesh.Run(3000); // Polls of the log from before the nodes knew each other end.
    const std::set<std::string> busy{ "n0", "n1", "n2", "n3", "n5", "n7", "n12" };
    for (auto& [name, node] : m_mesh.Nodes()) {
      // Two ranks more, as a restart and a drain move the ranks up.
      const std::size_t rank = ReaderRank(node.m_controller);
      if (rank >= TopologyOptions().m_readers + 2 && !busy.contains(name)) {
        m_unlucky = name; // A node that gets the record by a push or a pull only.
      }
      node.m_controller.m_nextDirectoryWrite = m_mesh.Now() + 1000;
    }
    m_mesh.SetWatch([this](const std::string& aNode, const Action& aAction) {
      if (m_step == StepKind::Pull && !m_struck) {
        DropPushesTo(m_unlucky);
      }
      if (!m_struck && IsAt(m_step, aAction)) {
        m_struck = true;
        m_mesh.SetLoss({});
        Strike(aNode, aAction);
      }
    });
  }

  // Publishes, announces, drains and restarts, so that every step is passed.
  void Run()
  {
    m_mesh.Restart("n12");
    const std::uint64_t request = m_mesh.Publish(m_publisher, "second", 1, "second");
    m_mesh.Feed("n2", TargetChanged{ .m_service = "jobboard", .m_slots = 6 });
    m_mesh.Feed("n3", DrainRequested{});
    Settle();
    m_mesh.Run(kFaultLastsMs);
    CHECK(m_struck);
    Heal();
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
    const bool cut = m_fault == Fault::RegionCut && aNode.m_region == "west";
    return aNode.m_alive && !aNode.m_frozen && aNode.m_ready && aName != m_cutNode && !cut;
  }

  // From the first swap on, all reachable nodes hold the version within the stated time.
  void Settle()
  {
    const auto anyHolds = [&] {
      return std::any_of(m_mesh.Nodes().begin(), m_mesh.Nodes().end(), [&](const auto& aItem) {
        return aItem.second.m_alive && aItem.second.m_controller.m_replay->m_version >= 2 &&
               IsReachable(aItem.first, aItem.second);
      });
    };
    if (!m_mesh.RunUntil(anyHolds, kFaultLastsMs)) {
      return; // The fault keeps the publication out of the log for now.
    }
    CHECK(m_mesh.RunUntil(
      [&] {
        return std::all_of(m_mesh.Nodes().begin(), m_mesh.Nodes().end(), [&](const auto& aItem) {
          return !IsReachable(aItem.first, aItem.second) ||
                 aItem.second.m_controller.m_replay->m_version >= 2;
        });
      },
      kInForceMs));
  }

  void Strike(const std::string& aNode, const Action& aAction)
  {
    switch (m_fault) {
      case Fault::Kill:
        m_mesh.Kill(aNode);
        m_dead.push_back(aNode);
        break;
      case Fault::HerdDies:
      case Fault::StormOfReturns:
        StrikeHerd(aNode);
        break;
      case Fault::Freeze:
        m_mesh.Freeze(aNode);
        m_frozen = aNode;
        break;
      case Fault::LinkBreaks:
        BreakLinks(aNode, aAction);
        break;
      case Fault::NodeCut:
        m_mesh.SetAlone(aNode, true);
        m_cutNode = aNode;
        break;
      case Fault::RegionCut:
        m_mesh.SetCut("east", "west", true);
        m_mesh.Log().m_cutRegions = { "west" };
        break;
      case Fault::LogOutage:
        m_mesh.Log().m_outage = true;
        break;
      case Fault::LogSlow:
        m_mesh.Log().m_delayMs = 900;
        break;
      case Fault::AnswerLost:
        m_mesh.Log().m_loseAnswers = 2;
        break;
      case Fault::UpdatesCross:
        m_mesh.SetJitter(400);
        break;
      case Fault::OperatorsRace:
        m_rival = m_mesh.Publish("n5", "rival", 1, "rival");
        break;
    }
  }

  void StrikeHerd(const std::string& aNode)
  {
    const std::string domain = m_mesh.Node(aNode).m_failureDomain;
    for (auto& [name, node] : m_mesh.Nodes()) {
      if (node.m_failureDomain != domain) {
        continue;
      }
      m_mesh.Kill(name);
      if (m_fault == Fault::HerdDies) {
        m_dead.push_back(name);
      }
    }
    if (m_fault == Fault::StormOfReturns) {
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

  void Heal()
  {
    m_mesh.SetWatch({});
    m_mesh.SetLoss({});
    m_mesh.SetJitter(0);
    m_mesh.SetCut("east", "west", false);
    m_mesh.Log().m_cutRegions.clear();
    m_mesh.Log().m_outage = false;
    m_mesh.Log().m_delayMs = 1;
    if (!m_frozen.empty()) {
      m_mesh.Thaw(m_frozen);
    }
    if (!m_cutNode.empty()) {
      m_mesh.SetAlone(m_cutNode, false);
    }
    for (const std::string& name : m_dead) {
      m_mesh.Restart(name);
    }
  }

  // After the fault: the first outcome of the publish id stands, all nodes hold the same version
  // and know each other, and one more publication goes through in the stated time.
  void CheckRecovery(std::uint64_t aRequest)
  {
    CHECK(m_mesh.RunUntil([&] { return m_mesh.AllKnowEachOther(); }, kRecoverMs));
    const auto answer = m_mesh.Node(m_publisher).m_answers.find(aRequest);
    const std::uint64_t again = m_mesh.Publish("n7", "second", 1, "second");
    m_mesh.Run(kInForceMs);
    REQUIRE(m_mesh.Node("n7").m_answers.contains(again));
    const AnswerPublish& repeated = m_mesh.Node("n7").m_answers.at(again);
    CHECK(repeated.m_known);
    if (answer != m_mesh.Node(m_publisher).m_answers.end() && answer->second.m_known) {
      CHECK(answer->second.m_outcome.m_outcome == repeated.m_outcome.m_outcome);
    }
    if (m_fault == Fault::OperatorsRace) {
      const bool won = repeated.m_outcome.m_outcome == config::PublishOutcome::Accepted;
      const auto& rival = m_mesh.Node("n5").m_answers.at(m_rival);
      CHECK(won != (rival.m_outcome.m_outcome == config::PublishOutcome::Accepted));
    } else {
      CHECK(repeated.m_outcome.m_outcome == config::PublishOutcome::Accepted);
    }
    const std::uint64_t version = m_mesh.Node("n7").m_controller.m_replay->m_version;
    CHECK(m_mesh.AllHold(version));
    m_mesh.Publish("n7", "third", version, "third");
    CHECK(m_mesh.RunUntil([&] { return m_mesh.AllHold(version + 1); }, kInForceMs));
  }

  FakeMesh m_mesh;
  StepKind m_step;
  Fault m_fault;
  std::string m_publisher = "n1";
  std::string m_unlucky;
  bool m_struck = false;
  std::vector<std::string> m_dead;
  std::string m_frozen;
  std::string m_cutNode;
  std::uint64_t m_rival = 0;
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
