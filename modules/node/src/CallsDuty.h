/// @file
/// The duty of the calls thread: callers in, the target beside the node, links to other nodes.
#pragma once

#include "AsioTypes.h"
#include "CallLinks.h"
#include "CallMetrics.h"
#include "Events.h"
#include "HttpServer.h"
#include "KeyedCalls.h"
#include "OwnKeys.h"
#include "Picker.h"
#include "Random.h"
#include "Retry.h"
#include "RouteAverages.h"
#include "Settings.h"
#include "SharedState.h"
#include "TargetApi.h"
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

namespace sequoiastep::node {

/// Header that bears a request's idempotency key.
constexpr std::string_view kKeyField = "Idempotency-Key";

/// Everything here runs on the calls thread, but for the constructor.
class CallsDuty
{
public:
  /// Tells the control thread.
  using Notify = std::function<void(distribution::Event)>;

  CallsDuty(net::asio::io_context& aContext,
            const Settings& aSettings,
            const Identity& aIdentity,
            SharedState& aShared,
            Notify aNotify);

  /// Starts to listen.
  /// @return success, or PortInUse.
  Result<void> Listen();
  /// Sets the log's client, for keys that callers made up.
  void SetLog(platform::LogClient& aLog);
  /// Takes an accepted connection for calls over.
  void TakeCallSocket(int aDescriptor, const wire::HelloT& aHello);
  /// First part of a stop: callers are asked to go elsewhere with each response.
  void BeginDrain();
  /// Second part of a stop: no new work for the target here.
  void StopTakingWork();
  /// Third part of a stop: no new callers.
  void StopTakingCallers();
  /// @return true if no call is in progress.
  bool IsIdle() const;
  void Stop();
  /// @return Prometheus text of what this thread measures.
  std::string MetricsText() const;

private:
  struct Inbound;
  using InboundPtr = std::shared_ptr<Inbound>;

  net::Awaitable<net::HttpResponse> HandleCaller(net::HttpRequest aRequest);
  net::Awaitable<net::HttpResponse> Enter(net::HttpRequest aRequest);
  net::Awaitable<net::HttpResponse> Route(net::HttpRequest aRequest);
  net::Awaitable<net::HttpResponse> RouteKeyed(net::HttpRequest aRequest);
  net::Awaitable<net::HttpResponse> AskIssuer(idempotency::IssuedKey aKey,
                                              net::HttpRequest aRequest);
  net::Awaitable<net::HttpResponse> RouteOwnKey(std::string aKey, net::HttpRequest aRequest);
  net::Awaitable<net::HttpResponse> ClaimAndRun(std::string aKey, net::HttpRequest aRequest);
  net::Awaitable<net::HttpResponse> RunClaimedHere(std::string aKey, net::HttpRequest aRequest);
  net::Awaitable<CallReply> Forward(std::string aNode, net::HttpRequest aRequest, bool aClaimed);
  net::HttpResponse ResponseToForward(const CallReply& aReply);
  net::Awaitable<net::HttpResponse> HandleForwarded(net::HttpRequest aRequest, bool aClaimed);
  net::Awaitable<wire::AnswerT> AnswerForwarded(wire::CallT aCall);
  net::Awaitable<void> HoldWhileStale();
  net::Awaitable<void> HoldForVersion(std::uint64_t aVersion);
  net::Awaitable<wire::AnswerT> Attempt(const CallJob& aJob, const routing::Candidate& aTarget);
  net::Awaitable<wire::AnswerT> RunHere(wire::CallT aCall);
  CallJob MakeJob(const net::HttpRequest& aRequest,
                  const config::Snapshot& aSnapshot,
                  const config::Route& aRoute);
  Milliseconds ShortWait(const CallJob& aJob) const;
  routing::RetryBudget& BudgetOf(const std::string& aService);
  bool MayOverlap(const net::HttpRequest& aRequest) const;
  void ApplyCallerLimits();
  std::optional<routing::Candidate> PickTarget(const CallJob& aJob,
                                               const std::set<std::string, std::less<>>& aTried);
  net::Awaitable<routing::AttemptOutcome> TryTarget(const CallJob& aJob,
                                                    const routing::Candidate& aTarget,
                                                    wire::AnswerT& aAnswer);
  std::optional<routing::Candidate> NextTarget(CallJob& aJob, CallAttempts& aAttempts);
  void TakeAttempt(const CallJob& aJob, CallAttempts& aAttempts, wire::AnswerT aNext);
  void NoteEnd(const CallJob& aJob, const CallAttempts& aAttempts, std::int64_t aElapsedUs);
  void LogTrusted(const std::string& aNode) const;
  void LogAvoided(const std::string& aNode, const std::string& aReason) const;
  net::Awaitable<net::HttpResponse> RunJob(CallJob aJob);
  net::Awaitable<void> Serve(InboundPtr aInbound,
                             wire::CallT aCall,
                             std::shared_ptr<TargetRun> aRun);
  void Receive(const InboundPtr& aInbound, wire::EnvelopeT aMessage);
  routing::AttemptOutcome Judge(const CallJob& aJob,
                                const wire::AnswerT& aAnswer,
                                const std::string& aNode,
                                std::int64_t aElapsedUs);
  void NoteRun(const CallJob& aJob,
               const wire::AnswerT& aAnswer,
               const std::string& aNode,
               std::int64_t aElapsedUs);
  net::HttpResponse Respond(const CallJob& aJob, const wire::AnswerT& aAnswer);
  void CountOutcome(wire::CallOutcome aOutcome);
  net::Awaitable<void> TickLoop();
  net::Awaitable<void> ProbeTarget();
  std::uint16_t UsualSlots(const std::string& aService) const;

  net::asio::io_context& m_context;
  const Settings& m_settings;
  Identity m_identity;
  SharedState& m_shared;
  Notify m_notify;
  Random m_random;
  CallMetrics m_metrics;
  TargetRunner m_runner;
  TargetApi m_targetApi;
  CallLinks m_links;
  KeyedCalls m_keyed;
  OwnKeys m_ownKeys;
  net::HttpServer m_callerServer;
  net::HttpServer m_targetServer;
  routing::PickState m_picks;
  std::map<std::string, routing::RetryBudget, std::less<>> m_budgets;
  routing::RouteRoundRobins m_weightTurns;
  /// How long requests of a route run, over all targets, in microseconds.
  routing::RouteAverages m_runUs;
  routing::RouteAverages m_answerKilobytes{ .m_weight = 0.2 };
  /// Version whose limits for callers are applied.
  std::uint64_t m_limitsVersion = 0;
  std::set<InboundPtr> m_inbound;
  std::uint32_t m_active = 0;
  std::uint32_t m_serving = 0;
  bool m_stopped = false;
};

} // namespace sequoiastep::node
