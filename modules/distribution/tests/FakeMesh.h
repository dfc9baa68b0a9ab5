/// @file
/// A mesh of real controllers on fakes of their surroundings: links that deliver messages after a
/// delay, a log, and a simulated clock. Checks the mesh's invariants after each event.
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

/// The fake of the platform's log, with its faults.
struct FakeLog
{
  /// The configuration stream: the bodies of all records, by offset.
  std::vector<std::string> m_config;
  std::vector<std::string> m_checkpoints;
  std::map<std::string, DirectoryEntry> m_directory;
  /// Rises with each restore from a copy; 0 for a log without eras.
  std::uint64_t m_era = 0;
  /// Records of the configuration stream below this offset have expired.
  std::uint64_t m_first = 0;
  bool m_outage = false;
  /// Regions that can't reach the log.
  std::set<std::string> m_cutRegions;
  /// Delay of each answer.
  Milliseconds m_delayMs = 1;
  /// Number of next appends that take effect but whose answer is lost.
  int m_answersToLose = 0;
  /// Requests so far, except appends of checkpoints.
  std::uint64_t m_requests = 0;
};

/// One node of the fake mesh; its address is its name. It survives restarts of its controller.
struct FakeNode
{
  Controller m_controller;
  std::string m_region;
  std::string m_failureDomain;
  std::uint64_t m_operatorVersion = 0;
  std::uint64_t m_incarnation = 0;
  bool m_alive = true;
  /// The node's process is paused: it has no ticks, and other events are queued.
  bool m_frozen = false;
  /// Events that arrived while it was frozen.
  std::vector<Event> m_queuedEvents;
  /// The highest version that the node held while it was ready, kept over restarts.
  std::uint64_t m_highestReadyVersion = 0;
  /// The version held after the last event, reset by a restart.
  std::uint64_t m_currentVersion = 0;
  bool m_ready = false;
  /// Answers to publish requests, by request number.
  std::map<std::uint64_t, AnswerPublish> m_answers;
};

/// Called with each action before it is performed.
using ActionObserver = std::function<void(const std::string& aNode, const Action& aAction)>;

class FakeMesh
{
public:
  explicit FakeMesh(std::uint64_t aSeed);

  void Add(const std::string& aNode, const std::string& aRegion, const std::string& aDomain);
  /// Adds aCount nodes, spread over regions east and west, with two failure domains each.
  void AddNodes(std::size_t aCount);
  void Kill(const std::string& aNode);
  void Restart(const std::string& aNode);
  /// Pauses the node's process.
  void Freeze(const std::string& aNode);
  /// Resumes a frozen node; it handles the queued events.
  void Thaw(const std::string& aNode);
  /// Starts or ends a network partition between two regions.
  void SetPartitioned(const std::string& aLeft, const std::string& aRight, bool aPartitioned);
  /// Starts or ends the isolation of one node from all other nodes and the log.
  void SetIsolated(const std::string& aNode, bool aIsolated);
  /// Closes the link between two nodes; they may open a new one.
  void BreakLink(const std::string& aLeft, const std::string& aRight);
  /// Passes an event to the node's controller and performs the actions it asks for.
  void Feed(const std::string& aNode, Event aEvent);
  /// Simulates that the node decoded an operator's record. aText starts with the version and a
  /// space.
  /// @param aFrom the peer that sent it; empty if it came from the store.
  void AcceptOperatorRecord(const std::string& aNode,
                            const std::string& aText,
                            const std::string& aFrom);
  void Run(Milliseconds aDuration);
  /// Runs until aDone is true, at most for aTimeout.
  /// @return true if aDone became true.
  bool RunUntil(const std::function<bool()>& aDone, Milliseconds aTimeout);

  /// Publishes, through aNode, a configuration whose only service is aService.
  /// @return the request's number.
  std::uint64_t Publish(const std::string& aNode,
                        const std::string& aPublishId,
                        std::uint64_t aExpectedVersion,
                        const std::string& aService);
  /// @return the JSON of a publication that is valid whichever configuration is in force.
  static std::string MakePublicationJson(const std::string& aPublishId,
                                         std::uint64_t aExpectedVersion,
                                         const std::string& aService);

  /// @return true if all live nodes hold aVersion or a newer one.
  bool AllHoldVersion(std::uint64_t aVersion) const;
  /// @return true if all live nodes are ready and have the same member list, in which exactly the
  /// live nodes are up or draining.
  bool AllKnowEachOther() const;
  std::size_t CountLive() const;
  /// @return a live and not frozen node that computes itself as the first reader of aRegion; empty
  /// if there is none.
  std::string ReaderOf(const std::string& aRegion) const;
  /// @return the root of the failure domain's tree, as the first live node that knows the domain
  /// computes it; empty if there is none.
  std::string HeadOf(const std::string& aRegion, const std::string& aDomain) const;
  FakeNode& Node(const std::string& aNode) { return m_nodes.at(aNode); }
  std::map<std::string, FakeNode>& Nodes() { return m_nodes; }
  FakeLog& Log() { return m_log; }
  Instant Now() const { return m_now; }
  /// Options of nodes that start from now on.
  ControllerOptions& Defaults() { return m_defaults; }
  void SetActionObserver(ActionObserver aObserver) { m_actionObserver = std::move(aObserver); }
  /// Number of messages sent so far, by kind.
  const std::map<wire::Body, std::uint64_t>& Messages() const { return m_messages; }
  /// From now on, drops the messages for which aDrops returns true.
  void SetLoss(std::function<bool(const SendMessage&)> aDrops) { m_drops = std::move(aDrops); }
  /// Sets the upper limit of a random extra delay per message, which reorders messages.
  void SetJitter(Milliseconds aMax) { m_jitterMs = aMax; }

private:
  using LinkKey = std::pair<std::string, std::string>;

  void Start(const std::string& aNode);
  /// Runs aWork after aDelay of simulated time.
  void Schedule(Milliseconds aDelay, std::function<void()> aWork);
  void Tick(const std::string& aNode, std::uint64_t aIncarnation);
  bool KnowsExactlyLiveNodes(const FakeNode& aNode) const;
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
  void CloseLinks(const std::function<bool(const LinkKey&)>& aSelects);
  void CheckInvariants(const std::string& aNode);

  std::map<std::string, FakeNode> m_nodes;
  /// Both directions of all open links, with a number per connection: a message that was sent over
  /// an earlier connection of the same nodes is dropped.
  std::map<LinkKey, std::uint64_t> m_links;
  std::map<LinkKey, Instant> m_lastDelivery;
  /// Pairs of regions that can't reach each other, each in alphabetical order.
  std::set<LinkKey> m_partitions;
  std::set<std::string> m_isolatedNodes;
  /// Scheduled work by its time in milliseconds.
  std::multimap<std::int64_t, std::function<void()>> m_queue;
  /// The state digest first seen for each version.
  std::map<std::uint64_t, std::uint64_t> m_digestOfVersion;
  std::map<wire::Body, std::uint64_t> m_messages;
  FakeLog m_log;
  ControllerOptions m_defaults;
  ActionObserver m_actionObserver;
  std::function<bool(const SendMessage&)> m_drops;
  Milliseconds m_jitterMs = 0;
  Random m_random;
  Instant m_now{ 1'000'000 };
  std::uint64_t m_nextNumber = 1;
};

} // namespace sequoiastep::distribution
