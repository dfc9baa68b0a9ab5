/// @file
/// Fakes at the controller's interfaces: links that carry messages after a delay, a log, and a
/// clock that only moves when told. Checks after each step what must always hold.
#pragma once

#include "Controller.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastep::distribution {

/// The fake of the platform's log.
struct FakeLog
{
  std::vector<std::string> m_config;
  std::vector<std::string> m_checkpoints;
  std::map<std::string, DirectoryEntry> m_directory;
  /// Offsets below this one have expired.
  std::uint64_t m_first = 0;
  bool m_outage = false;
  /// Regions that can't reach it.
  std::set<std::string> m_cutRegions;
  Milliseconds m_delayMs = 1;
  /// Appends that take effect but whose answer is lost.
  int m_loseAnswers = 0;
  std::uint64_t m_requests = 0;
};

/// One node of the fake mesh; its address is its name.
struct FakeNode
{
  Controller m_controller;
  std::string m_region;
  std::string m_failureDomain;
  std::uint64_t m_operatorVersion = 0;
  std::uint64_t m_incarnation = 0;
  bool m_alive = true;
  bool m_frozen = false;
  /// What came while it was frozen.
  std::vector<Event> m_held;
  /// The highest version that the node's calls have seen, over restarts too.
  std::uint64_t m_versionSeen = 0;
  std::uint64_t m_versionNow = 0;
  bool m_ready = false;
  std::map<std::uint64_t, AnswerPublish> m_answers;
};

/// Looks at each action before it is performed.
using Watch = std::function<void(const std::string& aNode, const Action& aAction)>;

class FakeMesh
{
public:
  explicit FakeMesh(std::uint64_t aSeed);

  void Add(const std::string& aNode, const std::string& aRegion, const std::string& aDomain);
  /// Adds aCount nodes spread over regions east and west, with two failure domains each.
  void AddMany(std::size_t aCount);
  void Kill(const std::string& aNode);
  void Restart(const std::string& aNode);
  void Freeze(const std::string& aNode);
  void Thaw(const std::string& aNode);
  /// Cuts or heals all links between two regions.
  void SetCut(const std::string& aLeft, const std::string& aRight, bool aCut);
  /// Cuts or heals all links of one node.
  void SetAlone(const std::string& aNode, bool aAlone);
  /// Breaks the link between two nodes once.
  void BreakLink(const std::string& aLeft, const std::string& aRight);
  void Feed(const std::string& aNode, Event aEvent);
  /// The node decoded an operator's record: its version and a blank stand at the start of aText.
  void TakeOperator(const std::string& aNode, const std::string& aText, const std::string& aFrom);
  void Run(Milliseconds aFor);
  /// Runs until aDone or for aMost.
  /// @return true if aDone became true.
  bool RunUntil(const std::function<bool()>& aDone, Milliseconds aMost);

  /// Publishes a change of the service named aMark through aNode.
  /// @return the request's number.
  std::uint64_t Publish(const std::string& aNode,
                        const std::string& aPublishId,
                        std::uint64_t aExpected,
                        const std::string& aMark);
  /// @return the JSON of a publication that is valid whatever is in force.
  static std::string PublicationJson(const std::string& aPublishId,
                                     std::uint64_t aExpected,
                                     const std::string& aMark);

  bool AllHold(std::uint64_t aVersion) const;
  bool AllKnowEachOther() const;
  std::size_t CountLive() const;
  std::string ReaderOf(const std::string& aRegion) const;
  std::string HeadOf(const std::string& aRegion, const std::string& aDomain) const;
  FakeNode& Node(const std::string& aNode) { return m_nodes.at(aNode); }
  std::map<std::string, FakeNode>& Nodes() { return m_nodes; }
  FakeLog& Log() { return m_log; }
  Instant Now() const { return m_now; }
  /// Options of nodes that start from now on.
  ControllerOptions& Defaults() { return m_defaults; }
  void SetWatch(Watch aWatch) { m_watch = std::move(aWatch); }
  /// Messages of each kind so far, and how many went between regions.
  const std::map<wire::Body, std::uint64_t>& Messages() const { return m_messages; }
  /// Drops, from now on, messages for which aLoses is true.
  void SetLoss(std::function<bool(const SendMessage&)> aLoses) { m_loses = std::move(aLoses); }
  /// Extra delay of a message, to cross updates.
  void SetJitter(Milliseconds aMost) { m_jitterMs = aMost; }

private:
  using LinkKey = std::pair<std::string, std::string>;

  void Start(const std::string& aNode);
  void At(Milliseconds aDelay, std::function<void()> aWork);
  void Tick(const std::string& aNode, std::uint64_t aIncarnation);
  bool KnowsAll(const FakeNode& aNode) const;
  bool CanReach(const std::string& aLeft, const std::string& aRight) const;
  void Perform(const std::string& aNode, const Action& aAction);
  void Open(const std::string& aFrom, const std::string& aTo);
  void Send(const std::string& aFrom, const SendMessage& aSend);
  bool LogFails(const std::string& aNode) const;
  void Read(const std::string& aNode,
            std::uint64_t aIncarnation,
            const ReadConfig& aRead,
            Instant aUntil);
  void AppendPublicationRecord(const std::string& aNode, const AppendPublication& aAppend);
  void CloseLinks(const std::function<bool(const LinkKey&)>& aCloses);
  void CheckInvariants(const std::string& aNode);

  std::map<std::string, FakeNode> m_nodes;
  /// Open links, both directions, with a number that tells an old one from its successor.
  std::map<LinkKey, std::uint64_t> m_links;
  std::map<LinkKey, Instant> m_lastDelivery;
  std::set<LinkKey> m_cuts;
  std::set<std::string> m_alone;
  std::multimap<std::int64_t, std::function<void()>> m_queue;
  std::map<std::uint64_t, std::uint64_t> m_digestOfVersion;
  std::map<wire::Body, std::uint64_t> m_messages;
  FakeLog m_log;
  ControllerOptions m_defaults;
  Watch m_watch;
  std::function<bool(const SendMessage&)> m_loses;
  Milliseconds m_jitterMs = 0;
  Random m_random;
  Instant m_now{ 1'000'000 };
  std::uint64_t m_nextNumber = 1;
};

} // namespace sequoiastep::distribution
