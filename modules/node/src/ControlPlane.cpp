#include "ControlPlane.h"

#include "Address.h"
#include "Exposure.h"
#include "Log.h"
#include "Problem.h"
#include "StoreCalls.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace asio = net::asio;
using distribution::Event;
using net::Awaitable;
using net::kAsTuple;

namespace {

// Longest publication that an operator may send, and what admin requests may take at least.
constexpr std::uint64_t kAdminBodyBytes = 8U << 20;
// Requests for metrics have no body.
constexpr std::uint64_t kMetricsBodyBytes = 64U << 10;
constexpr std::size_t kMailboxCapacity = 4096;

distribution::ControllerOptions
MakeControllerOptions(const Settings& aSettings, std::uint64_t aIncarnation)
{
  distribution::ControllerOptions options;
  options.m_node = aSettings.m_node;
  options.m_incarnation = aIncarnation;
  options.m_region = aSettings.m_region;
  options.m_failureDomain = aSettings.m_failureDomain;
  options.m_bootstrapPeers = aSettings.m_peerHints;
  options.m_followPublications = !aSettings.m_operatorRecord;
  options.m_rollouts = aSettings.m_rollouts.has_value();
  options.m_seed = aIncarnation;
  options.m_topology.m_fanOut = aSettings.m_links.m_fanOut;
  options.m_topology.m_chords = aSettings.m_links.m_chords;
  const Timings& timings = aSettings.m_timings;
  options.m_detector.m_suspectAfterMs = static_cast<Milliseconds>(timings.m_suspectAfterMs);
  options.m_heartbeatMs = static_cast<Milliseconds>(timings.m_heartbeatMs);
  options.m_joinWaitMs = static_cast<Milliseconds>(timings.m_joinWaitMs);
  options.m_joinsPerSecond = static_cast<std::uint32_t>(aSettings.m_limits.m_joinsPerSecond);
  options.m_logWaitMs = static_cast<Milliseconds>(timings.m_logWaitMs);
  options.m_publishWaitMs = static_cast<Milliseconds>(timings.m_publishWaitMs);
  options.m_checkpointEveryMs = static_cast<Milliseconds>(timings.m_checkpointEveryMs);
  options.m_directoryEveryMs = static_cast<Milliseconds>(timings.m_directoryEveryMs);
  return options;
}

Event
ToEvent(platform::ReadReply aReply)
{
  switch (aReply.m_status) {
    case platform::ReadStatus::Expired:
      return distribution::ConfigExpired{ .m_first = aReply.m_first };
    case platform::ReadStatus::Failed:
      return distribution::ConfigReadFailed{};
    case platform::ReadStatus::Ok:
      break;
  }
  distribution::ConfigRead read;
  read.m_next = aReply.m_next;
  for (platform::LogEntry& entry : aReply.m_entries) {
    read.m_records.push_back({ .m_offset = entry.m_offset, .m_body = std::move(entry.m_body) });
  }
  return read;
}

std::string
DirectoryText(const distribution::DirectoryEntry& aEntry)
{
  boost::json::array addresses;
  for (const std::string& address : aEntry.m_addresses) {
    addresses.emplace_back(address);
  }
  return boost::json::serialize(
    boost::json::object{ { "region", aEntry.m_region }, { "addresses", addresses } });
}

// Returns nullopt if the entry can't be parsed. A starting node skips such entries: one valid entry
// is enough to find the mesh.
std::optional<distribution::DirectoryEntry>
ParseDirectoryEntry(const std::string& aBody)
{
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(aBody, error);
  const auto* object = error ? nullptr : value.if_object();
  const auto* addresses = object == nullptr ? nullptr : object->if_contains("addresses");
  const auto* region = object == nullptr ? nullptr : object->if_contains("region");
  if (addresses == nullptr || !addresses->is_array() || region == nullptr || !region->is_string()) {
    return std::nullopt;
  }
  distribution::DirectoryEntry entry;
  entry.m_region = std::string(region->get_string());
  for (const boost::json::value& address : addresses->get_array()) {
    if (address.is_string()) {
      entry.m_addresses.emplace_back(address.get_string());
    }
  }
  return entry;
}

distribution::DirectoryRead
ParseDirectory(const platform::NewestReply& aReply)
{
  distribution::DirectoryRead read;
  read.m_ok = aReply.m_ok;
  for (const platform::KeyedEntry& keyed : aReply.m_entries) {
    if (auto entry = ParseDirectoryEntry(keyed.m_value)) {
      read.m_entries.push_back(std::move(*entry));
    }
  }
  return read;
}

distribution::AppendResult
ToAppendResult(platform::AppendStatus aStatus)
{
  switch (aStatus) {
    case platform::AppendStatus::Appended:
      return distribution::AppendResult::Appended;
    case platform::AppendStatus::Refused:
    case platform::AppendStatus::EndMoved:
      return distribution::AppendResult::NotAppended;
    case platform::AppendStatus::Unknown:
      break;
  }
  return distribution::AppendResult::Unknown;
}

// True for a member that is gone now if it was not draining before.
bool
WasLost(const RoutingView& aPrevious, const std::string& aNode)
{
  const auto before = aPrevious.m_nodes.find(aNode);
  return before == aPrevious.m_nodes.end() ? aPrevious.m_lost.contains(aNode)
                                           : !before->second.m_draining;
}

} // namespace

// Performs one action that the controller asked for.
struct ControlPlane::ActionVisitor
{
  ControlPlane& m_controlPlane;

  void operator()(const distribution::OpenLink& aAction) const
  {
    m_controlPlane.m_links.Open(aAction.m_address);
  }
  void operator()(const distribution::CloseLink& aAction) const
  {
    m_controlPlane.m_links.Close(aAction.m_node);
  }
  void operator()(const distribution::SendMessage& aAction) const
  {
    m_controlPlane.m_links.Send(aAction.m_node, aAction.m_message);
  }
  void operator()(const distribution::ReadConfig& aAction) const
  {
    m_controlPlane.m_log->Read(m_controlPlane.TopicName("config"),
                               aAction.m_from,
                               aAction.m_waitMs,
                               [plane = &m_controlPlane](platform::ReadReply aReply) {
                                 plane->Post(ToEvent(std::move(aReply)));
                               });
  }
  void operator()(const distribution::ReadCheckpoints&) const
  {
    m_controlPlane.m_log->ReadNewest(
      adapter::KeyedTopic(m_controlPlane.TopicName("checkpoints")),
      [plane = &m_controlPlane](const platform::NewestReply& aReply) {
        distribution::CheckpointsRead read;
        for (const platform::KeyedEntry& entry : aReply.m_entries) {
          read.m_bodies.push_back(entry.m_value);
        }
        plane->Post(std::move(read));
      });
  }
  void operator()(const distribution::ReadDirectory&) const
  {
    m_controlPlane.m_log->ReadNewest(
      adapter::KeyedTopic(m_controlPlane.TopicName("nodes")),
      [plane = &m_controlPlane](const platform::NewestReply& aReply) {
        plane->Post(ParseDirectory(aReply));
      });
  }
  void operator()(const distribution::AppendPublication& aAction) const
  {
    m_controlPlane.m_log->Append(
      m_controlPlane.TopicName("config"),
      aAction.m_body,
      [plane = &m_controlPlane, id = aAction.m_publishId](platform::AppendReply aReply) {
        plane->Post(distribution::PublicationAppended{
          .m_publishId = id, .m_result = ToAppendResult(aReply.m_status) });
      });
  }
  void operator()(const distribution::AppendCheckpoint& aAction) const
  {
    // Keyed by the writer's node name, so that a late checkpoint from a paused node can't replace a
    // newer one from another node.
    m_controlPlane.m_log->AppendKeyed(
      adapter::KeyedTopic(m_controlPlane.TopicName("checkpoints")),
      m_controlPlane.m_settings.m_node,
      aAction.m_body,
      [](const platform::AppendReply& aReply) {
        if (aReply.m_status != platform::AppendStatus::Appended) {
          LogLine(LogLevel::Warning, "checkpoint_not_written")
            .Add("remedy",
                 "the next periodic checkpoint makes up for it; check the platform's log");
        }
      });
  }
  void operator()(const distribution::AppendDirectory& aAction) const
  {
    m_controlPlane.m_log->AppendKeyed(
      adapter::KeyedTopic(m_controlPlane.TopicName("nodes")),
      m_controlPlane.m_settings.m_node,
      DirectoryText(aAction.m_entry),
      [plane = &m_controlPlane](const platform::AppendReply& aReply) {
        const bool ok = aReply.m_status == platform::AppendStatus::Appended;
        plane->Post(distribution::DirectoryWritten{ .m_ok = ok, .m_era = aReply.m_era });
      });
  }
  void operator()(const distribution::ApplyOperatorRecord& aAction) const
  {
    if (m_controlPlane.m_operatorSource) {
      m_controlPlane.m_operatorSource->InstallIfNewer(aAction.m_text, aAction.m_from);
    }
  }
  void operator()(const distribution::AnswerPublish& aAction) const
  {
    m_controlPlane.m_admin->CompletePublish(aAction);
  }
  void operator()(const distribution::InstallSnapshot& aAction) const
  {
    if (!m_controlPlane.m_operatorSource) {
      m_controlPlane.m_shared.m_snapshot.store(aAction.m_snapshot);
    }
  }
  void operator()(const distribution::MembersChanged&) const
  {
    m_controlPlane.RefreshRoutingView();
  }
  void operator()(const distribution::RolloutsChanged&) const
  {
    m_controlPlane.RefreshRoutingView();
  }
  void operator()(const distribution::ReadinessChanged& aAction) const
  {
    m_controlPlane.m_shared.m_ready.store(aAction.m_ready);
    if (aAction.m_ready) {
      m_controlPlane.m_shared.m_wasReady.store(true);
    }
    LogLine(LogLevel::Info, "readiness").Add("ready", aAction.m_ready ? "yes" : "no");
  }
  void operator()(const distribution::DepartureKept& aAction) const
  {
    m_controlPlane.m_targetHooks.m_departureKept(aAction);
  }
  void operator()(const distribution::OwnEntryRecalled& aAction) const
  {
    m_controlPlane.m_targetHooks.m_ownEntryRecalled(aAction);
  }
};

ControlPlane::ControlPlane(asio::io_context& aContext,
                           const Settings& aSettings,
                           std::uint64_t aIncarnation,
                           SharedState& aShared,
                           PeerLinks::OnCallSocket aOnCallSocket)
  : m_context(aContext)
  , m_settings(aSettings)
  , m_incarnation(aIncarnation)
  , m_shared(aShared)
  , m_links(
      aContext,
      aSettings.m_limits.m_handshakes,
      [this](Event aEvent) { Feed(std::move(aEvent)); },
      std::move(aOnCallSocket))
  , m_mailbox(aContext, kMailboxCapacity, [this](Event aEvent) { Feed(std::move(aEvent)); })
{
}

std::string
ControlPlane::TopicName(std::string_view aName) const
{
  return fmt::format("{}.{}", m_settings.m_mesh, aName);
}

std::uint64_t
ControlPlane::HandshakeWaits() const
{
  return m_links.HandshakeWaits();
}

Result<Identity>
ControlPlane::Listen()
{
  BOOST_LEAF_AUTO(peerAddress, net::ParseAddress(m_settings.m_peerListen));
  BOOST_LEAF_AUTO(adminAddress, net::ParseAddress(m_settings.m_adminListen));
  BOOST_LEAF_AUTO(peerEndpoint, m_links.Listen(peerAddress));
  m_adminServer = std::make_unique<net::HttpServer>(
    m_context,
    net::HttpLimits{
      .m_maxBufferedBytes = std::max(kAdminBodyBytes, MaxBufferedBytes(m_settings.m_limits)),
      .m_maxHeldBytes = std::max(kAdminBodyBytes, MaxBufferedBytes(m_settings.m_limits)),
      .m_maxConnections = 64 },
    [this](net::HttpRequest aRequest) { return m_admin->Handle(std::move(aRequest)); },
    MakeBadRequest);
  BOOST_LEAF_AUTO(adminEndpoint, m_adminServer->Listen(adminAddress));
  BOOST_LEAF_CHECK(ListenForMetrics());
  Identity identity{ .m_mesh = m_settings.m_mesh,
                     .m_node = m_settings.m_node,
                     .m_incarnation = m_incarnation,
                     .m_address = net::AddressText(peerEndpoint),
                     .m_region = m_settings.m_region,
                     .m_failureDomain = m_settings.m_failureDomain };
  m_links.SetIdentity(identity);
  LogLine(LogLevel::Info, "listening").Add("role", "peer").Add("address", identity.m_address);
  LogLine(LogLevel::Info, "listening")
    .Add("role", "admin")
    .Add("address", net::AddressText(adminEndpoint));
  return identity;
}

Result<void>
ControlPlane::ListenForMetrics()
{
  if (m_settings.m_metricsListen.empty()) {
    return {};
  }
  BOOST_LEAF_AUTO(address, net::ParseAddress(m_settings.m_metricsListen));
  m_metricsServer = std::make_unique<net::HttpServer>(
    m_context,
    net::HttpLimits{ .m_maxBodyBytes = kMetricsBodyBytes, .m_maxConnections = 8 },
    [this](net::HttpRequest aRequest) { return m_admin->HandleMetrics(std::move(aRequest)); },
    MakeBadRequest);
  BOOST_LEAF_AUTO(endpoint, m_metricsServer->Listen(address));
  LogLine(LogLevel::Info, "listening")
    .Add("role", "metrics")
    .Add("address", net::AddressText(endpoint));
  return {};
}

void
ControlPlane::Start(AdminApi::Hooks aHooks, TargetHooks aTargetHooks)
{
  m_targetHooks = std::move(aTargetHooks);
  distribution::ControllerOptions options = MakeControllerOptions(m_settings, m_incarnation);
  options.m_address = m_links.Address();
  m_controller = distribution::MakeController(options, Clock::Now());
  aHooks.m_feed = [this](Event aEvent) { Feed(std::move(aEvent)); };
  m_admin = std::make_unique<AdminApi>(m_context, m_settings, *this, std::move(aHooks));
  m_log = std::make_unique<platform::LogClient>(platform::LogClientOptions{
    .m_address = m_settings.m_platformLog,
    .m_timeoutMs = static_cast<Milliseconds>(m_settings.m_timings.m_logTimeoutMs) });
  if (m_settings.m_operatorRecord) {
    StartOperatorSource();
  } else {
    m_shared.m_snapshot.store(config::MakeSnapshot(*m_controller->m_replay, m_settings.m_region));
  }
  if (m_settings.m_rollouts) {
    m_rolloutViews =
      RolloutViews{ .m_share = m_settings.m_rollouts->m_share * rollout::kUsedShare };
    m_statusWriter = std::make_unique<RolloutStatusWriter>(
      m_context, *m_log, m_shared, m_settings.m_node, [this](Event aEvent) {
        Feed(std::move(aEvent));
      });
    m_statusWriter->Start();
  }
  RefreshRoutingView();
  asio::co_spawn(m_context, TickLoop(), asio::detached);
}

void
ControlPlane::StartOperatorSource()
{
  m_operatorSource = std::make_unique<OperatorConfigSource>(
    m_context,
    *m_log,
    m_shared,
    OperatorConfigSource::Hooks{
      .m_shouldRead =
        [this] { return distribution::ShouldReadOperatorRecord(*m_controller, Clock::Now()); },
      .m_feed = [this](Event aEvent) { FeedFromStore(std::move(aEvent)); } },
    m_settings.m_rollouts.has_value());
  m_operatorSource->Start();
}

// An order does not say which version it replaces; the targets do.
void
ControlPlane::FeedFromStore(Event aEvent)
{
  if (auto* ordered = std::get_if<distribution::RolloutOrdered>(&aEvent)) {
    if (m_rolloutViews) {
      ordered->m_established = EstablishedVersion(*m_rolloutViews, ordered->m_service);
    }
  }
  Feed(std::move(aEvent));
}

void
ControlPlane::Post(Event aEvent)
{
  if (!m_mailbox.Post(std::move(aEvent))) {
    LogLine(LogLevel::Error, "control_ring_full").Add("refused", m_mailbox.Refused());
  }
}

void
ControlPlane::Feed(Event aEvent)
{
  if (m_stopped || !m_controller) {
    return;
  }
  for (const distribution::Action& action :
       distribution::Step(*m_controller, std::move(aEvent), Clock::Now())) {
    std::visit(ActionVisitor{ *this }, action);
  }
}

Awaitable<void>
ControlPlane::TickLoop()
{
  while (!m_stopped) {
    Feed(distribution::Tick{});
    if (m_rolloutViews && m_rolloutViews->m_reviewAt &&
        Clock::Now() >= *m_rolloutViews->m_reviewAt) {
      RefreshRoutingView();
    }
    m_shared.m_lastControlTickMs.store(Clock::Now().m_ms);
    asio::steady_timer timer(m_context, std::chrono::milliseconds(distribution::kTickMs));
    co_await timer.async_wait(kAsTuple);
  }
}

// A member is a candidate target while it is up or suspected; suspected ones are tried last.
void
ControlPlane::RefreshRoutingView()
{
  auto view = std::make_shared<RoutingView>();
  const auto previous = m_shared.m_view.load();
  for (const auto& [node, record] : m_controller->m_table.m_members) {
    const membership::Member& member = record.m_member;
    const bool suspect = member.m_state == membership::MemberState::Suspect;
    if (member.m_state != membership::MemberState::Gone) {
      view->m_nodes[node] = { .m_address = member.m_address,
                              .m_incarnation = member.m_incarnation,
                              .m_region = member.m_region,
                              .m_draining = member.m_state == membership::MemberState::Draining,
                              .m_up = member.m_state == membership::MemberState::Up,
                              .m_suspect = suspect };
    } else if (previous && WasLost(*previous, node)) {
      view->m_lost.insert(node);
    }
    if (member.m_service.empty() || (member.m_state != membership::MemberState::Up && !suspect)) {
      continue;
    }
    view->m_services[member.m_service].push_back({ .m_node = node,
                                                   .m_address = member.m_address,
                                                   .m_region = member.m_region,
                                                   .m_failureDomain = member.m_failureDomain,
                                                   .m_slots = member.m_slots,
                                                   .m_warmUpMs = member.m_warmUpMs,
                                                   .m_upSince = record.m_upSince,
                                                   .m_suspect = suspect,
                                                   .m_perSecond = member.m_perSecond,
                                                   .m_version = member.m_version });
  }
  if (m_rolloutViews) {
    AddRollouts(*m_rolloutViews, *view, *m_controller, Clock::Now());
  }
  m_shared.m_view.store(std::move(view));
}

void
ControlPlane::Stop()
{
  m_stopped = true;
  if (m_operatorSource) {
    m_operatorSource->Stop();
  }
  if (m_statusWriter) {
    m_statusWriter->Stop();
  }
  m_adminServer->CloseAll();
  if (m_metricsServer) {
    m_metricsServer->CloseAll();
  }
  m_links.Stop();
}

bool
ControlPlane::AcceptsCalls() const
{
  return m_shared.m_ready.load() && !m_shared.m_draining.load() && m_shared.m_snapshot.load();
}

const distribution::Controller&
ControlPlane::ControllerState() const
{
  return *m_controller;
}

ControlBytes
ControlPlane::Bytes() const
{
  return m_links.Bytes();
}

std::uint64_t
ControlPlane::RefusedRolloutOrders() const
{
  return m_operatorSource ? m_operatorSource->RefusedOrders() : 0;
}

std::string
ControlPlane::LogMetricsText() const
{
  return m_log ? m_log->MetricsText() : std::string();
}

platform::LogClientCounts
ControlPlane::LogCounts() const
{
  return m_log ? m_log->Counts() : platform::LogClientCounts{};
}

} // namespace sequoiastep::node
