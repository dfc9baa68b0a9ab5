#include "QuotaClient.h"

#include "Log.h"

#include <algorithm>
#include <chrono>
#include <fmt/core.h>
#include <vector>

namespace sequoiastep::node {

namespace asio = net::asio;
using net::Awaitable;
using net::kAsTuple;
using quota::TakeFor;
using quota::TakeKind;
using quota::TakeResult;

namespace {

// Covers opening a link to another region and a slow host at its end: with 60 ms most first asks of
// a node failed, although the owner was well.
constexpr Milliseconds kAskTimeoutMs = 200;
// A request waits for several asks only if others took the tokens of the earlier ones.
constexpr int kMaxAskRounds = 4;
constexpr Milliseconds kRetryAfterRoundsMs = 100;
constexpr Milliseconds kDropIdleIntervalMs = 10'000;
constexpr std::size_t kLargestInMetrics = 8;
// Fewer silent nodes may have crashed or be restarting, which the member list shows soon.
constexpr std::size_t kSilentNodesToCount = 3;
constexpr double kPercent = 100;
constexpr std::string_view kOtherLabel = "other";
constexpr std::string_view kExhausted = "the workspace's quota is used up";
constexpr std::string_view kOwnerSilent =
  "the owner of the workspace's quota can't be reached, and this node's share is used up";

quota::Options
OptionsFrom(const Settings& aSettings)
{
  const Quotas quotas = aSettings.m_quotas.value_or(Quotas());
  return { .m_windowMs = static_cast<Milliseconds>(quotas.m_windowMs),
           .m_over = quotas.m_over,
           .m_slack = static_cast<double>(quotas.m_slack) };
}

quota::Limits
LimitsOf(const config::Workspace& aWorkspace)
{
  return { .m_ratePerSecond = aWorkspace.m_ratePerSecond, .m_burst = aWorkspace.m_burst };
}

quota::Peers
PeersFrom(const RoutingView& aView, const std::string& aSelf)
{
  quota::Peers peers;
  for (const auto& [node, address] : aView.m_nodes) {
    const bool heard = node == aSelf || !address.m_suspect;
    peers[node] = !heard         ? quota::PeerState::Unreachable
                  : address.m_up ? quota::PeerState::Candidate
                                 : quota::PeerState::Present;
  }
  for (const std::string& node : aView.m_lost) {
    peers[node] = quota::PeerState::Unreachable;
  }
  return peers;
}

// Nodes that the settings name as peers, this one not counted.
std::size_t
HintedPeers(const Settings& aSettings)
{
  return static_cast<std::size_t>(std::count_if(
    aSettings.m_peerHints.begin(), aSettings.m_peerHints.end(), [&](const std::string& aHint) {
      return aHint != aSettings.m_peerListen;
    }));
}

std::string
EscapedLabel(std::string_view aText)
{
  std::string escaped;
  for (const char letter : aText) {
    if (letter == '\\' || letter == '"') {
      escaped += '\\';
    }
    escaped += letter == '\n' ? ' ' : letter;
  }
  return escaped;
}

void
AppendCounts(std::string& aText, std::string_view aWorkspace, const QuotaCounts& aCounts)
{
  const std::string label = EscapedLabel(aWorkspace);
  const auto requests = [&](std::string_view aResult, std::uint64_t aCount) {
    aText += fmt::format("sequoiastep_quota_requests_total{{workspace=\"{}\",result=\"{}\"}} {}\n",
                         label,
                         aResult,
                         aCount);
  };
  requests("admitted", aCounts.m_admitted);
  requests("admitted_floor", aCounts.m_floor);
  requests("refused", aCounts.m_refused);
  aText +=
    fmt::format("sequoiastep_quota_asks_total{{workspace=\"{}\"}} {}\n", label, aCounts.m_asks);
  aText += fmt::format("sequoiastep_quota_granted_tokens_total{{workspace=\"{}\"}} {}\n",
                       label,
                       aCounts.m_grantedTokens);
}

void
AddCounts(QuotaCounts& aSum, const QuotaCounts& aCounts)
{
  aSum.m_admitted += aCounts.m_admitted;
  aSum.m_floor += aCounts.m_floor;
  aSum.m_refused += aCounts.m_refused;
  aSum.m_asks += aCounts.m_asks;
  aSum.m_grantedTokens += aCounts.m_grantedTokens;
}

std::set<std::string, std::less<>>
LargestOf(const config::WorkspaceTable& aTable)
{
  std::vector<const config::Workspace*> workspaces;
  for (const auto& [name, workspace] : aTable.m_byName) {
    if (config::HasQuota(workspace) && name != kOtherLabel) {
      workspaces.push_back(&workspace);
    }
  }
  const auto count = std::min(kLargestInMetrics, workspaces.size());
  std::partial_sort(workspaces.begin(),
                    workspaces.begin() + static_cast<std::ptrdiff_t>(count),
                    workspaces.end(),
                    [](const auto* aLeft, const auto* aRight) {
                      return aLeft->m_ratePerSecond > aRight->m_ratePerSecond;
                    });
  std::set<std::string, std::less<>> largest;
  for (std::size_t i = 0; i < count; ++i) {
    largest.insert(workspaces[i]->m_name);
  }
  return largest;
}

} // namespace

QuotaClient::QuotaClient(asio::io_context& aContext,
                         const Settings& aSettings,
                         std::string aNode,
                         SharedState& aShared,
                         CallLinks& aLinks)
  : m_context(aContext)
  , m_settings(aSettings)
  , m_node(std::move(aNode))
  , m_shared(aShared)
  , m_links(aLinks)
  , m_enabled(aSettings.m_quotas.has_value())
  , m_owner(quota::MakeOwner(OptionsFrom(aSettings), m_node, Clock::Now()))
  , m_stock(quota::MakeStock(OptionsFrom(aSettings), EntropySeed(), Clock::Now()))
{
}

// The share of nodes that call links reach. The member list shows a partition only after seconds,
// since each node watches only some others.
void
QuotaClient::SampleLinks(Instant aNow)
{
  const LinkSample sample = m_links.Sample(aNow);
  const double heard = 1 + static_cast<double>(sample.m_heard);
  const double all = heard + static_cast<double>(sample.m_silent);
  m_linkShare = sample.m_silent < kSilentNodesToCount ? 1 : heard / all;
}

void
QuotaClient::RefreshPeers(Instant aNow)
{
  const auto view = m_shared.m_view.load();
  if (!view || (view == m_view && m_linkShare == m_usedLinkShare)) {
    return;
  }
  m_view = view;
  m_usedLinkShare = m_linkShare;
  const quota::Peers peers = PeersFrom(*view, m_node);
  // A node that knows no other one although its settings name some may be cut off since its start.
  const std::size_t hinted = peers.size() == 1 ? HintedPeers(m_settings) : 0;
  m_stock.m_knownNodes = peers.size() + hinted;
  const double knownShare = 1 / static_cast<double>(1 + hinted);
  quota::SetPeers(m_owner, peers, std::min(m_linkShare, knownShare), aNow);
  LogOwned();
}

void
QuotaClient::RefreshLimits(Instant aNow)
{
  const auto snapshot = m_shared.m_snapshot.load();
  if (!snapshot || snapshot == m_snapshot) {
    return;
  }
  m_snapshot = snapshot;
  const config::WorkspaceTable& table = snapshot->m_effective->m_workspaces;
  quota::LimitsByWorkspace limits;
  for (const auto& [name, workspace] : table.m_byName) {
    limits[name] = LimitsOf(workspace);
  }
  quota::SetLimits(m_owner, limits, aNow);
  m_largest = LargestOf(table);
  std::erase_if(m_answeredAt, [&](const auto& aItem) { return !limits.contains(aItem.first); });
  std::erase_if(m_counts, [&](const auto& aItem) {
    const bool removed = !limits.contains(aItem.first);
    if (removed) {
      AddCounts(m_removedCounts, aItem.second);
    }
    return removed;
  });
  LogOwned();
}

void
QuotaClient::Refresh(Instant aNow)
{
  quota::Observe(m_stock, aNow);
  if (quota::Observe(m_owner, aNow)) {
    LogLine(LogLevel::Info, "quota_reset").Add("reason", "the process was paused");
  }
  RefreshPeers(aNow);
  RefreshLimits(aNow);
}

// Logs a change of the number of quotas that this node owns, or of the share that it hears.
void
QuotaClient::LogOwned()
{
  const auto owned =
    std::count_if(m_owner.m_quotas.begin(), m_owner.m_quotas.end(), [&](const auto& aItem) {
      const quota::OwnedQuota& entry = aItem.second;
      return entry.m_limits.m_ratePerSecond > 0 && entry.m_first.m_node == m_node;
    });
  const auto count = static_cast<std::size_t>(owned);
  const int percent = static_cast<int>(m_owner.m_share * kPercent);
  if (count == m_loggedOwned && percent == m_loggedSharePercent) {
    return;
  }
  m_loggedOwned = count;
  m_loggedSharePercent = percent;
  LogLine(LogLevel::Info, "quotas_owned", "change")
    .Add("workspaces", count)
    .Add("known_nodes", m_owner.m_peers.size())
    .Add("heard_percent", percent);
}

void
QuotaClient::Tick()
{
  if (!m_enabled) {
    return;
  }
  const Instant now = Clock::Now();
  SampleLinks(now);
  Refresh(now);
  if (now >= m_nextDropIdle) {
    quota::DropIdle(m_stock, now);
    m_nextDropIdle = now + kDropIdleIntervalMs;
  }
}

Awaitable<QuotaDecision>
QuotaClient::Admit(const config::Workspace& aWorkspace)
{
  // Copies, since the configuration may change during a wait.
  const std::string name = aWorkspace.m_name;
  const quota::Limits limits = LimitsOf(aWorkspace);
  for (int round = 0; round < kMaxAskRounds; ++round) {
    const Instant now = Clock::Now();
    Refresh(now);
    const TakeFor takeFor = round == 0 ? TakeFor::NewRequest : TakeFor::WaitingRequest;
    const TakeResult result = quota::Take(m_stock, name, limits, takeFor, now);
    switch (result.m_kind) {
      case TakeKind::Admit:
        ++m_counts[name].m_admitted;
        co_return QuotaDecision{ .m_token = QuotaToken{ name, result.m_expiresAt } };
      case TakeKind::AdmitFloor:
        ++m_counts[name].m_floor;
        co_return QuotaDecision{ .m_token = QuotaToken{ name, result.m_expiresAt } };
      case TakeKind::Refuse:
        co_return Refuse(name, result.m_retryAfterMs);
      case TakeKind::Ask:
        StartAsk(name, result);
        [[fallthrough]];
      case TakeKind::Wait:
        co_await WaitForAsk(result.m_askId);
        break;
    }
  }
  co_return Refuse(name, kRetryAfterRoundsMs);
}

QuotaDecision
QuotaClient::Refuse(const std::string& aWorkspace, Milliseconds aRetryAfterMs)
{
  ++m_counts[aWorkspace].m_refused;
  const Instant now = Clock::Now();
  const auto entry = m_stock.m_entries.find(aWorkspace);
  const bool silent = entry != m_stock.m_entries.end() && now < entry->second.m_silentUntil;
  const std::string_view reason = silent ? kOwnerSilent : kExhausted;
  const auto answered = m_answeredAt.find(aWorkspace);
  LogLine(LogLevel::Info, "quota_refused", reason)
    .Add("workspace", aWorkspace)
    .Add("owner", quota::OwnerOf(m_owner, aWorkspace))
    .Add("answered_ms_ago", answered == m_answeredAt.end() ? -1 : now - answered->second)
    .Add("retry_after_ms", aRetryAfterMs)
    .Add("reason", reason);
  return { .m_retryAfterMs = aRetryAfterMs, .m_reason = reason };
}

void
QuotaClient::Refund(const QuotaToken& aToken)
{
  quota::Refund(m_stock, aToken.m_workspace, aToken.m_expiresAt, Clock::Now());
}

// The owner is asked apart from the request that needs the token, since others wait for the same
// answer and the caller of this one may leave.
void
QuotaClient::StartAsk(const std::string& aWorkspace, const TakeResult& aAsk)
{
  ++m_counts[aWorkspace].m_asks;
  m_waiting[aAsk.m_askId];
  asio::co_spawn(m_context, AskOwner(aWorkspace, aAsk), asio::detached);
}

Awaitable<void>
QuotaClient::AskOwner(std::string aWorkspace, TakeResult aAsk)
{
  const std::string owner(quota::OwnerOf(m_owner, aWorkspace));
  std::optional<quota::Grant> grant;
  if (owner == m_node) {
    grant = quota::Answer(m_owner, aWorkspace, aAsk.m_tokens, Clock::Now());
  } else {
    grant = co_await AskNode(owner, aWorkspace, aAsk);
  }
  EndAsk(aWorkspace, aAsk.m_askId, grant);
}

Awaitable<std::optional<quota::Grant>>
QuotaClient::AskNode(std::string aNode, std::string aWorkspace, TakeResult aAsk)
{
  if (!m_view) {
    co_return std::nullopt;
  }
  const auto node = m_view->m_nodes.find(aNode);
  if (node == m_view->m_nodes.end()) {
    co_return std::nullopt;
  }
  wire::QuotaAskT ask;
  ask.workspace = std::move(aWorkspace);
  ask.tokens = aAsk.m_tokens;
  ask.demand_per_s = static_cast<float>(aAsk.m_demandPerSecond);
  const std::string address = node->second.m_address;
  const auto reply = co_await m_links.AskQuota(aNode, address, std::move(ask), kAskTimeoutMs);
  if (!reply) {
    co_return std::nullopt;
  }
  co_return quota::Grant{ .m_tokens = std::min(reply->tokens, aAsk.m_tokens),
                          .m_lifetimeMs = static_cast<Milliseconds>(reply->lifetime_ms),
                          .m_retryAfterMs = static_cast<Milliseconds>(reply->retry_after_ms),
                          .m_notOwner = reply->not_owner };
}

void
QuotaClient::EndAsk(const std::string& aWorkspace,
                    std::uint64_t aAskId,
                    const std::optional<quota::Grant>& aGrant)
{
  const Instant now = Clock::Now();
  if (aGrant) {
    quota::HandleGrant(m_stock, aWorkspace, aAskId, *aGrant, now);
    m_counts[aWorkspace].m_grantedTokens += aGrant->m_tokens;
    if (!aGrant->m_notOwner) {
      m_answeredAt[aWorkspace] = now;
    }
  } else {
    quota::HandleTimeout(m_stock, aWorkspace, aAskId, now);
  }
  const auto waiting = m_waiting.extract(aAskId);
  if (!waiting.empty()) {
    for (asio::steady_timer* timer : waiting.mapped()) {
      timer->cancel();
    }
  }
}

// Returns at once if the ask has ended.
Awaitable<void>
QuotaClient::WaitForAsk(std::uint64_t aAskId)
{
  if (!m_waiting.contains(aAskId)) {
    co_return;
  }
  asio::steady_timer timer(m_context, std::chrono::milliseconds(2 * kAskTimeoutMs));
  struct RemoveTimer
  {
    QuotaClient& m_client;
    std::uint64_t m_askId;
    asio::steady_timer* m_timer;
    ~RemoveTimer()
    {
      const auto found = m_client.m_waiting.find(m_askId);
      if (found != m_client.m_waiting.end()) {
        found->second.erase(m_timer);
      }
    }
  };
  m_waiting[aAskId].insert(&timer);
  const RemoveTimer removeTimer{ .m_client = *this, .m_askId = aAskId, .m_timer = &timer };
  co_await timer.async_wait(kAsTuple);
}

wire::QuotaGrantT
QuotaClient::Answer(const wire::QuotaAskT& aAsk)
{
  const Instant now = Clock::Now();
  Refresh(now);
  const quota::Grant grant = quota::Answer(m_owner, aAsk.workspace, aAsk.tokens, now);
  wire::QuotaGrantT reply;
  reply.id = aAsk.id;
  reply.tokens = grant.m_tokens;
  reply.lifetime_ms = static_cast<std::uint32_t>(grant.m_lifetimeMs);
  reply.retry_after_ms = static_cast<std::uint32_t>(grant.m_retryAfterMs);
  reply.not_owner = grant.m_notOwner;
  return reply;
}

void
QuotaClient::AppendText(std::string& aText) const
{
  if (!m_enabled) {
    return;
  }
  QuotaCounts others = m_removedCounts;
  for (const auto& [workspace, counts] : m_counts) {
    if (m_largest.contains(workspace)) {
      AppendCounts(aText, workspace, counts);
    } else {
      AddCounts(others, counts);
    }
  }
  AppendCounts(aText, kOtherLabel, others);
  aText += fmt::format("sequoiastep_quotas_owned {}\n", m_loggedOwned);
  aText += fmt::format("sequoiastep_quota_heard_share {:.3f}\n", m_owner.m_share);
}

} // namespace sequoiastep::node
