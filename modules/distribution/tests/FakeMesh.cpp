#include "FakeMesh.h"

#include "Publication.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace sequoiastep::distribution {

namespace {

constexpr Milliseconds kSameRegionDelayMs = 1;
constexpr Milliseconds kCrossRegionDelayMs = 8;
constexpr Milliseconds kConnectTimeoutMs = 1000;
constexpr Milliseconds kLogPollMs = 5; // How often a waiting read looks for new records.
constexpr Milliseconds kLogTimeoutMs = 3000;
constexpr std::size_t kNewestCheckpoints = 3; // Checkpoints returned by a read.

} // namespace

FakeMesh::FakeMesh(std::uint64_t aSeed)
  : m_random{ aSeed }
{
}

void
FakeMesh::Schedule(Milliseconds aDelay, std::function<void()> aWork)
{
  m_queue.emplace(m_now.m_ms + std::max<Milliseconds>(0, aDelay), std::move(aWork));
}

void
FakeMesh::Add(const std::string& aNode, const std::string& aRegion, const std::string& aDomain)
{
  FakeNode node;
  node.m_region = aRegion;
  node.m_failureDomain = aDomain;
  m_nodes.emplace(aNode, std::move(node));
  Start(aNode);
}

void
FakeMesh::AddNodes(std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    const std::string region = i % 2 == 0 ? "east" : "west";
    Add("n" + std::to_string(i), region, region + (i / 2 % 2 == 0 ? "-a" : "-b"));
  }
}

void
FakeMesh::Start(const std::string& aNode)
{
  FakeNode& node = m_nodes.at(aNode);
  node.m_incarnation = m_random.Next() | 1U;
  node.m_alive = true;
  node.m_frozen = false;
  node.m_ready = false;
  node.m_currentVersion = 0;
  node.m_queuedEvents.clear();
  ControllerOptions options = m_defaults;
  options.m_node = aNode;
  options.m_incarnation = node.m_incarnation;
  options.m_address = aNode;
  options.m_region = node.m_region;
  options.m_failureDomain = node.m_failureDomain;
  options.m_seed = node.m_incarnation;
  node.m_controller = MakeController(options, m_now);
  Tick(aNode, node.m_incarnation);
}

void
FakeMesh::Tick(const std::string& aNode, std::uint64_t aIncarnation)
{
  FakeNode& node = m_nodes.at(aNode);
  if (!node.m_alive || node.m_incarnation != aIncarnation) {
    return;
  }
  if (!node.m_frozen) {
    Feed(aNode, distribution::Tick{});
  }
  Schedule(kTickMs, [this, aNode, aIncarnation] { Tick(aNode, aIncarnation); });
}

void
FakeMesh::Feed(const std::string& aNode, Event aEvent)
{
  FakeNode& node = m_nodes.at(aNode);
  if (!node.m_alive) {
    return;
  }
  if (node.m_frozen) {
    node.m_queuedEvents.push_back(std::move(aEvent));
    return;
  }
  const std::uint64_t incarnation = node.m_incarnation;
  const Actions actions = Step(node.m_controller, std::move(aEvent), m_now);
  for (const Action& action : actions) {
    if (m_actionObserver) {
      m_actionObserver(aNode, action);
    }
    if (node.m_alive && node.m_incarnation == incarnation) {
      Perform(aNode, action);
    }
  }
  CheckInvariants(aNode);
}

void
FakeMesh::CheckInvariants(const std::string& aNode)
{
  FakeNode& node = m_nodes.at(aNode);
  const config::ReplayState& state = *node.m_controller.m_replay;
  REQUIRE(node.m_currentVersion <= state.m_version); // A node never goes back to an older version.
  node.m_currentVersion = state.m_version;
  if (node.m_ready) {
    // Nor does a restarted node, once it is ready.
    REQUIRE(node.m_highestReadyVersion <= state.m_version);
    node.m_highestReadyVersion = state.m_version;
  }
  const auto [known, inserted] = m_digestOfVersion.emplace(state.m_version, state.m_digest);
  REQUIRE(known->second == state.m_digest); // All nodes have the same snapshot for a version.
}

bool
FakeMesh::CanReach(const std::string& aLeft, const std::string& aRight) const
{
  const FakeNode& left = m_nodes.at(aLeft);
  const FakeNode& right = m_nodes.at(aRight);
  const LinkKey regions = std::minmax(left.m_region, right.m_region);
  return !m_isolatedNodes.contains(aLeft) && !m_isolatedNodes.contains(aRight) &&
         !m_partitions.contains(regions);
}

void
FakeMesh::Open(const std::string& aFrom, const std::string& aTo)
{
  const std::uint64_t incarnation = m_nodes.at(aFrom).m_incarnation;
  const auto fail = [this, aFrom, aTo, incarnation](Milliseconds aDelay) {
    Schedule(aDelay, [this, aFrom, aTo, incarnation] {
      if (m_nodes.at(aFrom).m_incarnation == incarnation) {
        Feed(aFrom, ConnectFailed{ .m_address = aTo });
      }
    });
  };
  const auto target = m_nodes.find(aTo);
  if (target == m_nodes.end() || !CanReach(aFrom, aTo) || target->second.m_frozen) {
    fail(kConnectTimeoutMs);
    return;
  }
  if (!target->second.m_alive) {
    fail(kSameRegionDelayMs);
    return;
  }
  Schedule(kSameRegionDelayMs, [this, aFrom, aTo, incarnation] {
    FakeNode& from = m_nodes.at(aFrom);
    FakeNode& to = m_nodes.at(aTo);
    if (!from.m_alive || from.m_incarnation != incarnation || !to.m_alive) {
      return;
    }
    if (m_links.contains({ aFrom, aTo })) {
      return; // The other node opened a link first.
    }
    m_links[{ aFrom, aTo }] = m_links[{ aTo, aFrom }] = m_nextNumber++;
    Feed(
      aFrom,
      LinkOpened{ .m_node = aTo, .m_address = aTo, .m_region = to.m_region, .m_outbound = true });
    Feed(aTo,
         LinkOpened{
           .m_node = aFrom, .m_address = aFrom, .m_region = from.m_region, .m_outbound = false });
  });
}

void
FakeMesh::Send(const std::string& aFrom, const SendMessage& aSend)
{
  const LinkKey key{ aFrom, aSend.m_node };
  const auto link = m_links.find(key);
  ++m_messages[aSend.m_message->body.type];
  if (link == m_links.end() || !CanReach(aFrom, aSend.m_node) || (m_drops && m_drops(aSend))) {
    return;
  }
  const bool crossRegion = m_nodes.at(aFrom).m_region != m_nodes.at(aSend.m_node).m_region;
  const auto jitter =
    static_cast<Milliseconds>(m_random.Below(static_cast<std::uint64_t>(m_jitterMs + 1)));
  Schedule((crossRegion ? kCrossRegionDelayMs : kSameRegionDelayMs) + jitter,
           [this, key, number = link->second, message = aSend.m_message] {
             const auto current = m_links.find(key);
             if (current != m_links.end() && current->second == number &&
                 CanReach(key.first, key.second)) {
               Feed(key.second, MessageReceived{ .m_node = key.first, .m_message = *message });
             }
           });
}

bool
FakeMesh::LogFails(const std::string& aNode) const
{
  return m_log.m_outage || m_log.m_delayMs > kLogTimeoutMs || m_isolatedNodes.contains(aNode) ||
         m_log.m_cutRegions.contains(m_nodes.at(aNode).m_region);
}

void
FakeMesh::Read(const std::string& aNode,
               std::uint64_t aIncarnation,
               const ReadConfig& aRead,
               Instant aUntil)
{
  const auto answer = [this, aNode, aIncarnation](Event aEvent) {
    Schedule(m_log.m_delayMs, [this, aNode, aIncarnation, event = std::move(aEvent)] {
      if (m_nodes.at(aNode).m_incarnation == aIncarnation) {
        Feed(aNode, event);
      }
    });
  };
  if (LogFails(aNode)) {
    answer(ConfigReadFailed{});
    return;
  }
  if (aRead.m_from < m_log.m_first) {
    answer(ConfigExpired{ .m_first = m_log.m_first });
    return;
  }
  if (aRead.m_from >= m_log.m_config.size() && m_now < aUntil) {
    Schedule(kLogPollMs, [this, aNode, aIncarnation, aRead, aUntil] {
      Read(aNode, aIncarnation, aRead, aUntil);
    });
    return;
  }
  ConfigRead read;
  read.m_next = m_log.m_config.size();
  for (std::uint64_t offset = aRead.m_from; offset < m_log.m_config.size(); ++offset) {
    read.m_records.push_back({ .m_offset = offset, .m_body = m_log.m_config[offset] });
  }
  answer(std::move(read));
}

void
FakeMesh::AppendPublicationRecord(const std::string& aNode, const AppendPublication& aAppend)
{
  AppendResult result = AppendResult::NotAppended;
  if (!LogFails(aNode)) {
    m_log.m_config.push_back(aAppend.m_body);
    result = AppendResult::Appended;
    if (m_log.m_answersToLose > 0) {
      --m_log.m_answersToLose;
      result = AppendResult::Unknown;
    }
  }
  Schedule(m_log.m_delayMs, [this, aNode, id = aAppend.m_publishId, result] {
    Feed(aNode, PublicationAppended{ .m_publishId = id, .m_result = result });
  });
}

void
FakeMesh::AcceptOperatorRecord(const std::string& aNode,
                               const std::string& aText,
                               const std::string& aFrom)
{
  FakeNode& node = m_nodes.at(aNode);
  const std::uint64_t version = std::stoull(aText.substr(0, aText.find(' ')));
  REQUIRE(version >= node.m_operatorVersion);
  node.m_operatorVersion = version;
  Feed(aNode,
       OperatorRecordApplied{ .m_version = version,
                              .m_text = std::make_shared<const std::string>(aText),
                              .m_from = aFrom });
}

void
FakeMesh::Perform(const std::string& aNode, const Action& aAction)
{
  if (const auto* open = std::get_if<OpenLink>(&aAction)) {
    Open(aNode, open->m_address);
  } else if (const auto* close = std::get_if<CloseLink>(&aAction)) {
    BreakLink(aNode, close->m_node);
  } else if (const auto* send = std::get_if<SendMessage>(&aAction)) {
    Send(aNode, *send);
  } else if (const auto* read = std::get_if<ReadConfig>(&aAction)) {
    ++m_log.m_requests;
    Read(aNode, m_nodes.at(aNode).m_incarnation, *read, m_now + read->m_waitMs);
  } else if (std::holds_alternative<ReadCheckpoints>(aAction)) {
    ++m_log.m_requests;
    CheckpointsRead event;
    if (!LogFails(aNode)) {
      const std::size_t skip =
        m_log.m_checkpoints.size() - std::min(m_log.m_checkpoints.size(), kNewestCheckpoints);
      event.m_bodies.assign(m_log.m_checkpoints.begin() + static_cast<std::ptrdiff_t>(skip),
                            m_log.m_checkpoints.end());
    }
    Schedule(m_log.m_delayMs, [this, aNode, event] { Feed(aNode, event); });
  } else if (std::holds_alternative<ReadDirectory>(aAction)) {
    ++m_log.m_requests;
    DirectoryRead event;
    if (!LogFails(aNode)) {
      event.m_ok = true;
      for (const auto& [node, entry] : m_log.m_directory) {
        event.m_entries.push_back(entry);
      }
    }
    Schedule(m_log.m_delayMs, [this, aNode, event] { Feed(aNode, event); });
  } else if (const auto* append = std::get_if<AppendPublication>(&aAction)) {
    ++m_log.m_requests;
    AppendPublicationRecord(aNode, *append);
  } else if (const auto* checkpoint = std::get_if<AppendCheckpoint>(&aAction)) {
    if (!LogFails(aNode)) {
      m_log.m_checkpoints.push_back(checkpoint->m_body);
    }
  } else if (const auto* directory = std::get_if<AppendDirectory>(&aAction)) {
    ++m_log.m_requests;
    const bool written = !LogFails(aNode);
    if (written) {
      m_log.m_directory[aNode] = directory->m_entry;
    }
    Schedule(m_log.m_delayMs, [this, aNode, written, era = m_log.m_era] {
      Feed(aNode, DirectoryWritten{ .m_ok = written, .m_era = era });
    });
  } else if (const auto* record = std::get_if<ApplyOperatorRecord>(&aAction)) {
    AcceptOperatorRecord(aNode, record->m_text, record->m_from);
  } else if (const auto* answer = std::get_if<AnswerPublish>(&aAction)) {
    m_nodes.at(aNode).m_answers[answer->m_request] = *answer;
  } else if (const auto* snapshot = std::get_if<InstallSnapshot>(&aAction)) {
    // Every route of an installed snapshot refers to a cluster and a service that the snapshot has.
    const config::EffectiveConfig& effective = *snapshot->m_snapshot->m_effective;
    for (const config::Route& route : effective.m_routes) {
      REQUIRE_FALSE(route.m_clusters.empty());
      for (const config::WeightedCluster& weighted : route.m_clusters) {
        const auto cluster = effective.m_clusters.find(weighted.m_cluster);
        REQUIRE(cluster != effective.m_clusters.end());
        REQUIRE(effective.m_services.contains(cluster->second.m_service));
      }
    }
  } else if (const auto* ready = std::get_if<ReadinessChanged>(&aAction)) {
    m_nodes.at(aNode).m_ready = ready->m_ready;
  }
}

void
FakeMesh::CloseLinks(const std::function<bool(const LinkKey&)>& aSelects)
{
  std::vector<LinkKey> closed;
  for (const auto& [key, number] : m_links) {
    if (aSelects(key)) {
      closed.push_back(key);
    }
  }
  for (const LinkKey& key : closed) {
    m_links.erase(key);
  }
  for (const LinkKey& key : closed) {
    Schedule(kSameRegionDelayMs, [this, key] {
      const FakeNode& node = m_nodes.at(key.first);
      if (!m_links.contains(key) && node.m_controller.m_links.contains(key.second)) {
        Feed(key.first, LinkClosed{ .m_node = key.second });
      }
    });
  }
}

void
FakeMesh::Kill(const std::string& aNode)
{
  m_nodes.at(aNode).m_alive = false;
  m_nodes.at(aNode).m_ready = false;
  CloseLinks([&](const LinkKey& aKey) { return aKey.first == aNode || aKey.second == aNode; });
}

void
FakeMesh::Restart(const std::string& aNode)
{
  if (m_nodes.at(aNode).m_alive) {
    Kill(aNode);
  }
  Start(aNode);
}

void
FakeMesh::Freeze(const std::string& aNode)
{
  m_nodes.at(aNode).m_frozen = true;
}

void
FakeMesh::Thaw(const std::string& aNode)
{
  FakeNode& node = m_nodes.at(aNode);
  if (!node.m_frozen) {
    return;
  }
  node.m_frozen = false;
  std::vector<Event> queued = std::move(node.m_queuedEvents);
  node.m_queuedEvents.clear();
  for (Event& event : queued) {
    Feed(aNode, std::move(event));
  }
}

void
FakeMesh::SetPartitioned(const std::string& aLeft, const std::string& aRight, bool aPartitioned)
{
  const LinkKey key = std::minmax(aLeft, aRight);
  if (aPartitioned) {
    m_partitions.insert(key);
  } else {
    m_partitions.erase(key);
  }
}

void
FakeMesh::SetIsolated(const std::string& aNode, bool aIsolated)
{
  if (aIsolated) {
    m_isolatedNodes.insert(aNode);
  } else {
    m_isolatedNodes.erase(aNode);
  }
}

void
FakeMesh::BreakLink(const std::string& aLeft, const std::string& aRight)
{
  CloseLinks([&](const LinkKey& aKey) {
    return aKey == LinkKey{ aLeft, aRight } || aKey == LinkKey{ aRight, aLeft };
  });
}

void
FakeMesh::Run(Milliseconds aDuration)
{
  RunUntil([] { return false; }, aDuration);
}

bool
FakeMesh::RunUntil(const std::function<bool()>& aDone, Milliseconds aTimeout)
{
  const Instant end = m_now + aTimeout;
  Instant lastChecked{ -1 };
  for (;;) {
    if (lastChecked != m_now && aDone()) {
      return true;
    }
    lastChecked = m_now;
    if (m_queue.empty() || m_queue.begin()->first > end.m_ms) {
      m_now = end;
      return aDone();
    }
    auto item = m_queue.extract(m_queue.begin());
    m_now = Instant{ std::max(m_now.m_ms, item.key()) };
    item.mapped()();
  }
}

std::string
FakeMesh::MakePublicationJson(const std::string& aPublishId,
                              std::uint64_t aExpectedVersion,
                              const std::string& aService)
{
  return R"({"publish_id":")" + aPublishId + R"(","expected_version":)" +
         std::to_string(aExpectedVersion) + R"(,"base":{"services":{")" + aService +
         R"(":{}},"clusters":{"c":{"service":")" + aService +
         R"("}},"routes":[{"prefix":"/","cluster":"c"}]},"overlays":{"west":{"failure_domains":["west-a"]}}})";
}

std::uint64_t
FakeMesh::Publish(const std::string& aNode,
                  const std::string& aPublishId,
                  std::uint64_t aExpectedVersion,
                  const std::string& aService)
{
  const std::uint64_t request = m_nextNumber++;
  Feed(aNode,
       PublishRequested{ .m_request = request,
                         .m_text = MakePublicationJson(aPublishId, aExpectedVersion, aService) });
  return request;
}

bool
FakeMesh::AllHoldVersion(std::uint64_t aVersion) const
{
  return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& aItem) {
    const FakeNode& node = aItem.second;
    return !node.m_alive || node.m_controller.m_replay->m_version >= aVersion;
  });
}

std::size_t
FakeMesh::CountLive() const
{
  return static_cast<std::size_t>(std::count_if(
    m_nodes.begin(), m_nodes.end(), [](const auto& aItem) { return aItem.second.m_alive; }));
}

bool
FakeMesh::AllKnowEachOther() const
{
  const FakeNode* first = nullptr;
  for (const auto& [name, node] : m_nodes) {
    if (!node.m_alive) {
      continue;
    }
    first = first == nullptr ? &node : first;
    if (!node.m_ready || node.m_controller.m_memberDigest != first->m_controller.m_memberDigest) {
      return false;
    }
  }
  return first != nullptr && KnowsExactlyLiveNodes(*first);
}

// True if exactly the live nodes are up or draining in aNode's member list.
bool
FakeMesh::KnowsExactlyLiveNodes(const FakeNode& aNode) const
{
  std::size_t listed = 0;
  for (const auto& [name, record] : aNode.m_controller.m_table.m_members) {
    const bool listedAsLive = record.m_member.m_state == membership::MemberState::Up ||
                              record.m_member.m_state == membership::MemberState::Draining;
    if (listedAsLive != m_nodes.at(name).m_alive) {
      return false;
    }
    listed += listedAsLive ? 1 : 0;
  }
  return listed == CountLive();
}

std::string
FakeMesh::ReaderOf(const std::string& aRegion) const
{
  for (const auto& [name, node] : m_nodes) {
    if (node.m_alive && !node.m_frozen && node.m_region == aRegion &&
        ReaderRank(node.m_controller) == 0) {
      return name;
    }
  }
  return {};
}

std::string
FakeMesh::HeadOf(const std::string& aRegion, const std::string& aDomain) const
{
  for (const auto& [name, node] : m_nodes) {
    const auto& domains = node.m_controller.m_topology.m_domainOrder;
    const auto order = domains.find({ aRegion, aDomain });
    if (node.m_alive && order != domains.end() && !order->second.empty()) {
      return order->second.front();
    }
  }
  return {};
}

} // namespace sequoiastep::distribution
