/// @file
/// Quotas of workspaces at one node: asks owners for tokens, and answers the asks of other nodes
/// for the quotas that this node owns. Use on the calls thread only.
#pragma once

#include "AsioTypes.h"
#include "CallLinks.h"
#include "Owner.h"
#include "QuotaToken.h"
#include "Settings.h"
#include "SharedState.h"
#include "Stock.h"
#include "Workspaces.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sequoiastep::node {

/// Decision on a request of a workspace that has a quota.
struct QuotaDecision
{
  /// Set if the request is admitted.
  std::optional<QuotaToken> m_token;
  /// Of a refused request: time until there is probably room.
  Milliseconds m_retryAfterMs = 0;
  std::string_view m_reason;
};

/// Requests and tokens of one workspace since the start.
struct QuotaCounts
{
  std::uint64_t m_admitted = 0;
  /// Admitted without the owner; not contained in m_admitted.
  std::uint64_t m_floor = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_asks = 0;
  std::uint64_t m_grantedTokens = 0;
};

/// Enforces quotas if the settings have a section for them; does nothing otherwise.
class QuotaClient
{
public:
  /// References must outlive this.
  QuotaClient(net::asio::io_context& aContext,
              const Settings& aSettings,
              std::string aNode,
              SharedState& aShared,
              CallLinks& aLinks);

  /// @return true if quotas are enforced.
  bool IsEnabled() const { return m_enabled; }
  /// Takes a token for one request of aWorkspace, which must have a quota. Waits for the owner if
  /// there is none in stock.
  net::Awaitable<QuotaDecision> Admit(const config::Workspace& aWorkspace);
  /// Returns the token of a request that reached no target.
  void Refund(const QuotaToken& aToken);
  /// Answers another node. Call only if enabled.
  wire::QuotaGrantT Answer(const wire::QuotaAskT& aAsk);
  /// Takes over members and configuration, and notices pauses. Call at least every 250 ms.
  void Tick();
  /// Appends Prometheus text; nothing if not enabled.
  void AppendText(std::string& aText) const;

private:
  void Refresh(Instant aNow);
  void RefreshPeers(Instant aNow);
  void RefreshLimits(Instant aNow);
  void LogOwned();
  void SampleLinks(Instant aNow);
  void StartAsk(const std::string& aWorkspace, const quota::TakeResult& aAsk);
  net::Awaitable<void> AskOwner(std::string aWorkspace, quota::TakeResult aAsk);
  net::Awaitable<std::optional<quota::Grant>> AskNode(std::string aNode,
                                                      std::string aWorkspace,
                                                      quota::TakeResult aAsk);
  void EndAsk(const std::string& aWorkspace,
              std::uint64_t aAskId,
              const std::optional<quota::Grant>& aGrant);
  net::Awaitable<void> WaitForAsk(std::uint64_t aAskId);
  QuotaDecision Refuse(const std::string& aWorkspace, Milliseconds aRetryAfterMs);

  net::asio::io_context& m_context;
  const Settings& m_settings;
  std::string m_node;
  SharedState& m_shared;
  CallLinks& m_links;
  bool m_enabled = false;
  quota::Owner m_owner;
  quota::Stock m_stock;
  /// View and configuration that m_owner has.
  std::shared_ptr<const RoutingView> m_view;
  std::shared_ptr<const config::Snapshot> m_snapshot;
  /// Share of nodes that call links reach, now and as m_owner has it.
  double m_linkShare = 1;
  double m_usedLinkShare = 1;
  Instant m_nextDropIdle;
  /// Timers of requests that wait for an ask, by its id in m_stock.
  std::map<std::uint64_t, std::set<net::asio::steady_timer*>> m_waiting;
  std::map<std::string, QuotaCounts, std::less<>> m_counts;
  /// Of workspaces that the configuration no longer has.
  QuotaCounts m_removedCounts;
  /// Workspaces with the largest quotas; metrics have them by name.
  std::set<std::string, std::less<>> m_largest;
  /// When an owner last answered an ask about the workspace.
  std::map<std::string, Instant, std::less<>> m_answeredAt;
  std::size_t m_loggedOwned = 0;
  int m_loggedSharePercent = 100;
};

} // namespace sequoiastep::node
