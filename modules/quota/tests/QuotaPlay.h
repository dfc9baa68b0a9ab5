/// @file
/// Plays quotas over a fleet of nodes without a network: message delays, faults and each node's own
/// view of the others, on a simulated clock.
#pragma once

#include "Owner.h"
#include "Stock.h"

#include "Frame.h"
#include "Random.h"

#include <algorithm>
#include <cmath>
#include <fmt/core.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastep::quota {

constexpr Instant kPlayStart{ 1'000'000 };
constexpr Milliseconds kAskTimeoutMs = 60;
// Nodes learn of a failure after 2.5 s of silence at the earliest, and not all at the same time.
constexpr Milliseconds kDetectMs = 2500;
constexpr std::uint64_t kDetectSpreadMs = 1000;
constexpr std::uint64_t kMostWayMs = 8;
constexpr std::uint64_t kConfigSpreadMs = 3000;
constexpr Milliseconds kPlayTickMs = 100;
constexpr int kMaxRounds = 4;

/// One workspace of a play.
struct PlayWorkspace
{
  std::string m_name;
  Limits m_limits;
  /// Requests per second over all nodes, and the factor that applies to it now.
  double m_demand = 0;
  double m_factor = 1;
  /// Arrivals that were scheduled at an earlier factor don't take place.
  std::uint64_t m_demandVersion = 0;
  std::vector<Instant> m_admitted = {};
  std::vector<Instant> m_refused = {};
  /// Limits that were in force, from and until when the bound may use them.
  struct Past
  {
    Instant m_from;
    Instant m_until;
    Limits m_limits;
  };
  std::vector<Past> m_past = {};
};

/// Messages of a play.
struct PlayTraffic
{
  std::uint64_t m_messages = 0;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_floor = 0;
  /// Bytes sent or received by each node.
  std::vector<std::uint64_t> m_nodeBytes;
};

/// A fleet with its callers.
class QuotaPlay
{
public:
  QuotaPlay(std::size_t aNodes,
            std::vector<PlayWorkspace> aWorkspaces,
            std::uint64_t aSeed,
            const Options& aOptions = {})
    : m_options(aOptions)
    , m_workspaces(std::move(aWorkspaces))
    , m_random{ aSeed }
  {
    for (PlayWorkspace& workspace : m_workspaces) {
      workspace.m_past.push_back({ kPlayStart, kNever, workspace.m_limits });
    }
    m_nodes.resize(aNodes);
    m_traffic.m_nodeBytes.resize(aNodes);
    for (std::size_t i = 0; i < aNodes; ++i) {
      m_nodes[i].m_name = fmt::format("node-{:04}", i);
      m_nodes[i].m_limits = CurrentLimits();
      m_index[m_nodes[i].m_name] = i;
    }
    for (std::size_t i = 0; i < aNodes; ++i) {
      StartNode(i);
    }
    for (std::size_t i = 0; i < m_workspaces.size(); ++i) {
      ScheduleArrival(i);
    }
  }

  Instant Now() const { return m_now; }
  Random& Rng() { return m_random; }
  PlayWorkspace& Workspace(std::size_t aIndex) { return m_workspaces[aIndex]; }
  std::vector<PlayWorkspace>& Workspaces() { return m_workspaces; }
  PlayTraffic& Traffic() { return m_traffic; }
  std::size_t NodeCount() const { return m_nodes.size(); }

  /// Changes the demand of a workspace to its usual one times aFactor.
  void SetFactor(std::size_t aWorkspace, double aFactor)
  {
    m_workspaces[aWorkspace].m_factor = aFactor;
    ++m_workspaces[aWorkspace].m_demandVersion;
    m_clock[aWorkspace] = static_cast<double>(m_now.m_ms);
    ScheduleArrival(aWorkspace);
  }

  void At(Milliseconds aAfterStartMs, std::function<void()> aAction)
  {
    Schedule(kPlayStart + aAfterStartMs, std::move(aAction));
  }

  /// Plays until this long after the start.
  void RunTo(Milliseconds aAfterStartMs)
  {
    const Instant end = kPlayStart + aAfterStartMs;
    while (!m_events.empty() && m_events.front().m_at <= end) {
      std::pop_heap(m_events.begin(), m_events.end());
      const Event event = std::move(m_events.back());
      m_events.pop_back();
      m_now = event.m_at;
      event.m_action();
    }
    m_now = end;
  }

  /// @return the node that most nodes take for the owner.
  std::size_t OwnerOfWorkspace(std::size_t aWorkspace)
  {
    std::map<std::string, int> votes;
    for (const Node& node : m_nodes) {
      if (node.m_alive) {
        ++votes[std::string(OwnerOf(node.m_owner, m_workspaces[aWorkspace].m_name))];
      }
    }
    const auto most = std::max_element(
      votes.begin(), votes.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    return most->first.empty() ? 0 : m_index.at(most->first);
  }

  void Kill(std::size_t aNode)
  {
    m_nodes[aNode].m_alive = false;
    ++m_nodes[aNode].m_incarnation;
    m_nodes[aNode].m_waiting.clear();
    SpreadFailure();
  }

  /// The node starts again and remembers nothing.
  void Restart(std::size_t aNode)
  {
    Kill(aNode);
    StartNode(aNode);
    SpreadRecovery();
  }

  void Pause(std::size_t aNode, Milliseconds aMs)
  {
    m_nodes[aNode].m_pausedUntil = m_now + aMs;
    SpreadFailure();
    Schedule(m_now + aMs, [this] { SpreadRecovery(); });
  }

  /// The node announces that it leaves, and ends 300 ms later.
  void Leave(std::size_t aNode)
  {
    m_nodes[aNode].m_leaving = true;
    Refresh(aNode);
    SpreadRecovery();
    Schedule(m_now + 300, [this, aNode] {
      m_nodes[aNode].m_alive = false;
      ++m_nodes[aNode].m_incarnation;
      m_nodes[aNode].m_waiting.clear();
    });
  }

  /// A node that left or was killed comes back.
  void Rejoin(std::size_t aNode)
  {
    m_nodes[aNode].m_leaving = false;
    StartNode(aNode);
    SpreadRecovery();
  }

  /// Cuts the nodes off from the others. If aOneWay, only what they send is lost.
  void CutOff(const std::vector<std::size_t>& aNodes, bool aOneWay)
  {
    for (const std::size_t node : aNodes) {
      m_nodes[node].m_side = 1;
    }
    m_oneWay = aOneWay;
    SpreadFailure();
  }

  void Heal()
  {
    for (Node& node : m_nodes) {
      node.m_side = 0;
    }
    SpreadRecovery();
  }

  /// A new configuration reaches each node within kConfigSpreadMs.
  void SetWorkspaceLimits(std::size_t aWorkspace, const Limits& aLimits)
  {
    PlayWorkspace& workspace = m_workspaces[aWorkspace];
    const Instant allHold = m_now + static_cast<Milliseconds>(kConfigSpreadMs);
    workspace.m_past.back().m_until = allHold + m_options.m_windowMs;
    workspace.m_past.push_back({ m_now, kNever, aLimits });
    workspace.m_limits = aLimits;
    const LimitsByWorkspace limits = CurrentLimits();
    const std::uint64_t version = ++m_version;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      OnNode(i, static_cast<Milliseconds>(m_random.Below(kConfigSpreadMs)), [=, this] {
        if (m_nodes[i].m_version < version) {
          m_nodes[i].m_version = version;
          m_nodes[i].m_limits = limits;
          SetLimits(m_nodes[i].m_owner, limits, m_now);
        }
      });
    }
  }

  /// @return the largest number of requests beyond the bound in any window; 0 or less if it holds.
  double WorstExcess(const PlayWorkspace& aWorkspace) const
  {
    const auto& times = aWorkspace.m_admitted;
    double worst = -1e9;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= m_options.m_windowMs) {
        ++first;
      }
      double bound = 0;
      for (const auto& past : aWorkspace.m_past) {
        if (past.m_from <= times[last] && past.m_until > times[first]) {
          bound = std::max(bound, WindowBound(m_options, past.m_limits));
        }
      }
      worst = std::max(worst, static_cast<double>(last - first + 1) - bound);
    }
    return worst;
  }

private:
  static constexpr Instant kNever{ INT64_MAX };

  struct Event
  {
    Instant m_at;
    std::uint64_t m_order = 0;
    std::function<void()> m_action;
    bool operator<(const Event& aOther) const
    {
      return m_at != aOther.m_at ? m_at > aOther.m_at : m_order > aOther.m_order;
    }
  };

  struct Waiting
  {
    std::size_t m_workspace = 0;
    int m_rounds = 0;
  };

  struct Node
  {
    std::string m_name;
    Owner m_owner;
    Stock m_stock;
    LimitsByWorkspace m_limits;
    std::uint64_t m_version = 0;
    std::uint64_t m_incarnation = 0;
    bool m_alive = true;
    bool m_leaving = false;
    Instant m_pausedUntil;
    int m_side = 0;
    std::map<std::uint64_t, std::vector<Waiting>> m_waiting;
  };

  void Schedule(Instant aAt, std::function<void()> aAction)
  {
    m_events.push_back({ aAt, m_order++, std::move(aAction) });
    std::push_heap(m_events.begin(), m_events.end());
  }

  // Runs on a node after a delay, later if it is paused then, never if it ends before.
  void OnNode(std::size_t aNode, Milliseconds aDelayMs, std::function<void()> aAction)
  {
    const std::uint64_t incarnation = m_nodes[aNode].m_incarnation;
    Schedule(m_now + aDelayMs, [this, aNode, incarnation, action = std::move(aAction)] {
      const Node& node = m_nodes[aNode];
      if (!node.m_alive || node.m_incarnation != incarnation) {
        return;
      }
      if (m_now < node.m_pausedUntil) {
        OnNode(aNode, node.m_pausedUntil - m_now, action);
        return;
      }
      action();
    });
  }

  LimitsByWorkspace CurrentLimits() const
  {
    LimitsByWorkspace limits;
    for (const PlayWorkspace& workspace : m_workspaces) {
      limits[workspace.m_name] = workspace.m_limits;
    }
    return limits;
  }

  void StartNode(std::size_t aNode)
  {
    Node& node = m_nodes[aNode];
    node.m_alive = true;
    node.m_pausedUntil = {};
    ++node.m_incarnation;
    node.m_owner = MakeOwner(m_options, node.m_name, m_now);
    node.m_stock = MakeStock(m_options, m_random.Next(), m_now);
    Refresh(aNode);
    SetLimits(node.m_owner, node.m_limits, m_now);
    Tick(aNode);
  }

  void Tick(std::size_t aNode)
  {
    Observe(m_nodes[aNode].m_owner, m_now);
    Observe(m_nodes[aNode].m_stock, m_now);
    OnNode(aNode, kPlayTickMs, [this, aNode] { Tick(aNode); });
  }

  bool Reaches(const Node& aFrom, const Node& aTo) const
  {
    return aFrom.m_side == aTo.m_side || (m_oneWay && aFrom.m_side == 0);
  }

  // Takes over the true state of all nodes.
  void Refresh(std::size_t aNode)
  {
    Node& self = m_nodes[aNode];
    Peers peers;
    for (const Node& node : m_nodes) {
      const bool reachable = Reaches(self, node) && Reaches(node, self);
      const bool runs = node.m_alive && m_now >= node.m_pausedUntil;
      if (node.m_leaving) {
        if (node.m_alive) {
          peers[node.m_name] = PeerState::Present;
        }
      } else {
        peers[node.m_name] =
          &node == &self || (reachable && runs) ? PeerState::Candidate : PeerState::Unreachable;
      }
    }
    self.m_stock.m_knownNodes = peers.size();
    SetPeers(self.m_owner, peers, 1, m_now);
  }

  void SpreadFailure()
  {
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      const Milliseconds delay =
        kDetectMs + static_cast<Milliseconds>(m_random.Below(kDetectSpreadMs));
      OnNode(i, delay, [this, i] { Refresh(i); });
    }
  }

  // News of nodes that come back or leave.
  void SpreadRecovery()
  {
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      OnNode(
        i, static_cast<Milliseconds>(m_random.Below(kDetectSpreadMs)), [this, i] { Refresh(i); });
    }
  }

  void ScheduleArrival(std::size_t aWorkspace)
  {
    PlayWorkspace& workspace = m_workspaces[aWorkspace];
    const double gap = -std::log(1 - m_random.Unit()) * 1000;
    m_clock.resize(m_workspaces.size(), static_cast<double>(kPlayStart.m_ms));
    double& clock = m_clock[aWorkspace];
    clock += gap / (workspace.m_demand * workspace.m_factor);
    const std::uint64_t version = workspace.m_demandVersion;
    Schedule(Instant{ static_cast<Milliseconds>(clock) }, [this, aWorkspace, version] {
      if (m_workspaces[aWorkspace].m_demandVersion != version) {
        return;
      }
      std::size_t node = m_random.Below(m_nodes.size());
      while (!m_nodes[node].m_alive) {
        node = m_random.Below(m_nodes.size());
      }
      OnNode(node, 0, [this, node, aWorkspace] { Request(node, { aWorkspace, 0 }); });
      ScheduleArrival(aWorkspace);
    });
  }

  void Request(std::size_t aNode, Waiting aRequest)
  {
    Node& node = m_nodes[aNode];
    PlayWorkspace& workspace = m_workspaces[aRequest.m_workspace];
    const TakeFor takeFor = aRequest.m_rounds == 0 ? TakeFor::NewRequest : TakeFor::WaitingRequest;
    const TakeResult result =
      Take(node.m_stock, workspace.m_name, node.m_limits.at(workspace.m_name), takeFor, m_now);
    if (result.m_kind == TakeKind::Admit || result.m_kind == TakeKind::AdmitFloor) {
      m_traffic.m_floor += result.m_kind == TakeKind::AdmitFloor ? 1 : 0;
      workspace.m_admitted.push_back(m_now);
      return;
    }
    if (result.m_kind == TakeKind::Refuse || aRequest.m_rounds >= kMaxRounds) {
      workspace.m_refused.push_back(m_now);
      if (result.m_kind == TakeKind::Ask) {
        HandleTimeout(node.m_stock, workspace.m_name, result.m_askId, m_now);
      }
      return;
    }
    ++aRequest.m_rounds;
    node.m_waiting[result.m_askId].push_back(aRequest);
    if (result.m_kind == TakeKind::Ask) {
      SendAsk(aNode, aRequest.m_workspace, result);
    }
  }

  void Count(std::size_t aFrom, std::size_t aTo, std::size_t aBytes)
  {
    ++m_traffic.m_messages;
    m_traffic.m_bytes += aBytes;
    m_traffic.m_nodeBytes[aFrom] += aBytes;
    m_traffic.m_nodeBytes[aTo] += aBytes;
  }

  Milliseconds WayMs() { return 1 + static_cast<Milliseconds>(m_random.Below(kMostWayMs)); }

  void SendAsk(std::size_t aNode, std::size_t aWorkspace, const TakeResult& aAsk)
  {
    const std::string& name = m_workspaces[aWorkspace].m_name;
    const std::string owner(OwnerOf(m_nodes[aNode].m_owner, name));
    if (owner.empty() || owner == m_nodes[aNode].m_name) {
      const Grant grant = owner.empty()
                            ? Grant{ .m_notOwner = true }
                            : Answer(m_nodes[aNode].m_owner, name, aAsk.m_tokens, m_now);
      Receive(aNode, aWorkspace, aAsk.m_askId, grant);
      return;
    }
    static const std::size_t kAskBytes = FrameBytes(wire::QuotaAskT{}, "ws-000");
    static const std::size_t kGrantBytes = FrameBytes(wire::QuotaGrantT{}, "");
    const std::size_t to = m_index.at(owner);
    Count(aNode, to, kAskBytes);
    OnNode(aNode, kAskTimeoutMs, [=, this] {
      HandleTimeout(m_nodes[aNode].m_stock, m_workspaces[aWorkspace].m_name, aAsk.m_askId, m_now);
      Wake(aNode, aAsk.m_askId);
    });
    if (!Reaches(m_nodes[aNode], m_nodes[to])) {
      return;
    }
    OnNode(to, WayMs(), [=, this] {
      const Grant grant =
        Answer(m_nodes[to].m_owner, m_workspaces[aWorkspace].m_name, aAsk.m_tokens, m_now);
      Count(to, aNode, kGrantBytes);
      if (Reaches(m_nodes[to], m_nodes[aNode])) {
        OnNode(aNode, WayMs(), [=, this] { Receive(aNode, aWorkspace, aAsk.m_askId, grant); });
      }
    });
  }

  void Receive(std::size_t aNode, std::size_t aWorkspace, std::uint64_t aAskId, const Grant& aGrant)
  {
    HandleGrant(m_nodes[aNode].m_stock, m_workspaces[aWorkspace].m_name, aAskId, aGrant, m_now);
    Wake(aNode, aAskId);
  }

  void Wake(std::size_t aNode, std::uint64_t aAskId)
  {
    auto waiting = m_nodes[aNode].m_waiting.extract(aAskId);
    if (!waiting.empty()) {
      for (const Waiting& request : waiting.mapped()) {
        Request(aNode, request);
      }
    }
  }

  template<typename Message>
  static std::size_t FrameBytes(Message aMessage, const std::string& aWorkspace)
  {
    aMessage.id = 100'000;
    if constexpr (requires { aMessage.workspace; }) {
      aMessage.workspace = aWorkspace;
      aMessage.tokens = 3;
      aMessage.demand_per_s = 3;
    } else {
      aMessage.tokens = 3;
      aMessage.lifetime_ms = 400;
    }
    return wire::EncodeFrame(wire::MakeEnvelope(std::move(aMessage))).size();
  }

  Options m_options;
  std::vector<PlayWorkspace> m_workspaces;
  Random m_random;
  Instant m_now = kPlayStart;
  std::vector<Node> m_nodes;
  std::map<std::string, std::size_t, std::less<>> m_index;
  /// A heap, earliest first.
  std::vector<Event> m_events;
  std::uint64_t m_order = 0;
  std::uint64_t m_version = 0;
  std::vector<double> m_clock;
  bool m_oneWay = false;
  PlayTraffic m_traffic;
};

/// @return workspaces whose demand follows Zipf 1.2, each with a quota of 1.6 times its demand: the
/// largest about 370 requests per second.
inline std::vector<PlayWorkspace>
ZipfWorkspaces(std::size_t aCount)
{
  constexpr double kLargest = 231;
  constexpr double kExponent = 1.2;
  constexpr double kQuotaFactor = 1.6;
  std::vector<PlayWorkspace> workspaces;
  for (std::size_t i = 0; i < aCount; ++i) {
    const double demand = kLargest * std::pow(static_cast<double>(i + 1), -kExponent);
    const double rate = demand * kQuotaFactor;
    workspaces.push_back(
      { .m_name = fmt::format("ws-{:03}", i),
        .m_limits = { .m_ratePerSecond = rate, .m_burst = std::max(1.0, std::round(rate)) },
        .m_demand = demand });
  }
  return workspaces;
}

} // namespace sequoiastep::quota
