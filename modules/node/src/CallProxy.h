/// @file
/// The data plane of a node: proxies requests of callers to targets, and calls of other nodes to
/// the target beside this node.
#pragma once

#include "AsioTypes.h"
#include "BodyReceiver.h"
#include "CallLinks.h"
#include "CallMetrics.h"
#include "CallRace.h"
#include "CallerKeys.h"
#include "DrainPlan.h"
#include "Events.h"
#include "HttpServer.h"
#include "KeyedCalls.h"
#include "NodeBudget.h"
#include "Picker.h"
#include "QuotaClient.h"
#include "Random.h"
#include "Retry.h"
#include "RolloutCalls.h"
#include "RouteAverages.h"
#include "Settings.h"
#include "SharedState.h"
#include "TargetApi.h"
#include "TargetNotice.h"
#include "TargetRunner.h"
#include "Trace.h"
#include "WeightedRoundRobin.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::node {

/// Header that carries a request's idempotency key.
constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

/// What a node that stops still owes to its peers.
struct StopDebts
{
  /// Connections of callers on which a request is being received, handled or answered, or whose
  /// last response has yet to be received.
  std::size_t m_callerConnections = 0;
  /// Requests of callers in progress.
  std::uint32_t m_callerRequests = 0;
  /// Calls of other nodes in progress.
  std::uint32_t m_inboundCalls = 0;
  /// Requests that run or wait at the target beside this node.
  std::uint32_t m_targetRequests = 0;
  /// Connections on which that target waits for the answer to its report.
  std::size_t m_targetReports = 0;
  /// Bytes of answers that other nodes have yet to receive; counted once nothing else is owed.
  std::size_t m_undeliveredBytes = 0;

  /// @return true if nothing is owed.
  bool IsClear() const { return *this == StopDebts{}; }
  friend bool operator==(const StopDebts&, const StopDebts&) = default;
};

/// Owns the ports for callers and for the target, and the call links to other nodes. Everything but
/// the constructor runs on the calls thread.
class CallProxy
{
public:
  /// Posts an event to the control thread.
  using NotifyControl = std::function<void(distribution::Event)>;

  CallProxy(net::asio::io_context& aContext,
            const Settings& aSettings,
            const Identity& aIdentity,
            SharedState& aShared,
            NotifyControl aNotifyControl);

  /// Starts to listen for callers and for reports of the target.
  /// @return success, or PortInUse.
  Result<void> Listen();
  /// Sets the log client, used to claim idempotency keys that callers generate; call before the
  /// first request.
  void SetLogClient(platform::LogClient& aLog);
  /// Takes ownership of the descriptor of an accepted connection on which another node sends calls.
  void AdoptCallSocket(int aDescriptor, const wire::HelloT& aHello);
  /// First step of a stop: asks callers to use another node, by closing each connection after its
  /// responses. What can't end in time is refused from now on, also where it waits at other nodes.
  void BeginDrain(const routing::DrainPlan& aPlan);
  /// Second step of a stop: refuses new calls for the target beside this node.
  void StopAcceptingCalls();
  /// Third step of a stop: accepts no new connections of callers.
  void StopAcceptingCallers();
  /// Fourth step of a stop: gives the requests that are still in progress their final answer.
  void EndCalls();
  /// @return what this node still owes. It may stop once that is nothing.
  StopDebts Debts() const;
  /// Last step of a stop: closes all connections.
  void Stop();
  /// Another node holds a departure of the target beside this node.
  void HandleDepartureKept(const distribution::DepartureKept& aKept);
  /// Another node sent what it remembers of this one.
  void HandleOwnEntryRecalled(const distribution::OwnEntryRecalled& aRecalled);
  /// @return the metrics of the calls thread as Prometheus text.
  std::string MetricsText() const;

private:
  struct InboundLink;
  using InboundLinkPtr = std::shared_ptr<InboundLink>;

  net::Awaitable<net::HttpResponse> HandleCallerRequest(net::HttpRequest aRequest);
  net::Awaitable<net::HttpResponse> HandleAdmitted(net::HttpRequest aRequest);
  std::optional<net::HttpResponse> RefuseUnauthenticated(net::HttpRequest& aRequest);
  net::HttpResponse RefuseNotReady(const net::HttpRequest& aRequest);
  net::Awaitable<net::HttpResponse> Route(net::HttpRequest aRequest);
  net::Awaitable<net::HttpResponse> RouteKeyed(net::HttpRequest aRequest);
  net::Awaitable<net::HttpResponse> ForwardToIssuer(idempotency::IssuedKey aKey,
                                                    net::HttpRequest aRequest);
  net::Awaitable<net::HttpResponse> RouteCallerKey(std::string aKey, net::HttpRequest aRequest);
  net::Awaitable<net::HttpResponse> ClaimAndRun(std::string aKey, net::HttpRequest aRequest);
  net::Awaitable<net::HttpResponse> RunClaimedHere(std::string aKey, net::HttpRequest aRequest);
  net::Awaitable<CallReply> Forward(std::string aNode, net::HttpRequest aRequest, bool aClaimed);
  net::HttpResponse ResponseFromReply(const CallReply& aReply);
  net::Awaitable<net::HttpResponse> HandleForwarded(net::HttpRequest aRequest, bool aClaimed);
  net::Awaitable<wire::AnswerT> AnswerForwarded(wire::CallT aCall);
  net::Awaitable<void> HoldWhileControlStale();
  net::Awaitable<void> HoldForVersion(std::uint64_t aVersion);
  net::Awaitable<wire::AnswerT> RunAttempt(const CallJob& aJob,
                                           const CallAttempt& aAttempt,
                                           CallLinks::OnSilent aOnSilent);
  net::Awaitable<wire::AnswerT> RunAtLocalTarget(wire::CallT aCall);
  CallJob MakeJob(const net::HttpRequest& aRequest,
                  const config::Snapshot& aSnapshot,
                  const config::Route& aRoute);
  routing::PickRequest PickRequestFor(const CallJob& aJob) const;
  Instant DeadlineOf(const CallJob& aJob) const;
  routing::RetryBudget& BudgetOf(const std::string& aService);
  bool MayOverlap(const net::HttpRequest& aRequest) const;
  void ApplyCallerLimits();
  net::Awaitable<void> TryTarget(std::shared_ptr<const CallJob> aJob,
                                 CallAttemptPtr aAttempt,
                                 std::shared_ptr<AttemptEvents> aEvents);
  CallAttemptPtr NextAttempt(const CallJob& aJob, CallAttempts& aAttempts);
  CallAttemptPtr PlaceAmong(const std::vector<routing::Candidate>& aCandidates,
                            const CallJob& aJob,
                            CallAttempts& aAttempts);
  void MakeRolloutCalls();
  void BeginTrial(const CallJob& aJob, CallAttempts& aAttempts);
  CallAttemptPtr PlaceTrial(const RoutingView& aView, const CallJob& aJob, CallAttempts& aAttempts);
  void HandleUnresponsive(const CallJob& aJob, CallAttempts& aAttempts, CallAttempt& aAttempt);
  void HandleAttemptEnd(const CallJob& aJob, CallAttempts& aAttempts, CallAttempt& aAttempt);
  net::Awaitable<void> HandleNextEvent(CallRace& aRace,
                                       const CallJob& aJob,
                                       CallAttempts& aAttempts);
  void RecordCallEnd(const CallJob& aJob, const CallAttempts& aAttempts, std::int64_t aElapsedUs);
  void LogTargetTrusted(const std::string& aNode) const;
  void LogTargetAvoided(const std::string& aNode, const std::string& aReason) const;
  net::Awaitable<net::HttpResponse> RunJob(CallJob aJob);
  net::Awaitable<void> ServeCall(InboundLinkPtr aLink,
                                 wire::CallT aCall,
                                 std::shared_ptr<TargetRun> aRun);
  net::Awaitable<std::optional<wire::AnswerT>> ReceiveBody(InboundLinkPtr aLink,
                                                           wire::CallT& aCall,
                                                           net::BudgetShare& aShare);
  wire::AnswerT RefuseBody(const wire::CallT& aCall, const std::string& aCaller);
  void Receive(const InboundLinkPtr& aLink, wire::EnvelopeT aMessage);
  routing::AttemptOutcome RecordOutcome(const CallJob& aJob,
                                        const wire::AnswerT& aAnswer,
                                        const std::string& aNode,
                                        std::int64_t aElapsedUs);
  void RecordAnswer(const CallJob& aJob,
                    const wire::AnswerT& aAnswer,
                    const std::string& aNode,
                    std::int64_t aElapsedUs);
  net::HttpResponse RefuseOverQuota(const CallJob& aJob, const QuotaDecision& aDecision);
  net::Awaitable<std::optional<net::HttpResponse>> TakeQuotaToken(
    std::shared_ptr<const config::Snapshot> aSnapshot,
    CallJob& aJob);
  void ReturnUnusedToken(const CallJob& aJob, const CallAttempts& aAttempts);
  net::HttpResponse Respond(const CallJob& aJob, const wire::AnswerT& aAnswer);
  void CountOutcome(wire::CallOutcome aOutcome);
  net::Awaitable<void> TickLoop();
  net::Awaitable<void> ProbeTarget();
  net::Awaitable<std::string> AwaitHealthPath();
  net::Awaitable<bool> ProbeOnce(std::string aPath);
  void AnnounceTarget();
  void UseTarget(const std::optional<routing::TargetReport>& aTarget);
  std::uint16_t MinSlotsOfService(const std::string& aService) const;
  std::size_t UndeliveredBytes() const;
  void EndInboundCalls();

  net::asio::io_context& m_context;
  const Settings& m_settings;
  Identity m_identity;
  SharedState& m_shared;
  NotifyControl m_notifyControl;
  Random m_random;
  CallMetrics m_metrics;
  NodeBudget m_budget;
  TargetRunner m_runner;
  BodyReceiver m_bodies;
  TargetApi m_targetApi;
  CallLinks m_links;
  /// Null unless the settings have rollouts.
  std::unique_ptr<RolloutCalls> m_rolloutCalls;
  QuotaClient m_quotas;
  KeyedCalls m_keyedCalls;
  CallerKeys m_callerKeys;
  net::HttpServer m_callerServer;
  net::HttpServer m_targetServer;
  routing::PickState m_pickState;
  routing::NoticeMemory m_noticeMemory;
  routing::AnnouncedNotice m_announcedNotice;
  std::map<std::string, routing::RetryBudget, std::less<>> m_budgets;
  routing::RouteRoundRobins m_weightTurns;
  /// Average run time of a route's requests over all targets, in microseconds.
  routing::RouteAverages m_runUs;
  /// Average body size of a route's answers.
  routing::RouteAverages m_answerKilobytes{ .m_weight = 0.2 };
  /// Configuration version whose limits for callers are applied; 0 if none is.
  std::uint64_t m_callerLimitsVersion = 0;
  /// Set when this node stops.
  std::optional<routing::DrainPlan> m_drainPlan;
  /// Runs of this node's callers at its own target.
  std::set<std::shared_ptr<TargetRun>> m_localRuns;
  std::set<InboundLinkPtr> m_inboundLinks;
  std::uint64_t m_nextInboundLink = 1;
  /// Requests of callers in progress.
  std::uint32_t m_callerRequests = 0;
  /// Calls of other nodes in progress.
  std::uint32_t m_inboundCalls = 0;
  /// Calls of other nodes refused because there was no room for their bodies.
  std::uint64_t m_bodiesRefused = 0;
  /// ProbeTarget is running.
  bool m_probing = false;
  bool m_stopped = false;
};

} // namespace sequoiastep::node
