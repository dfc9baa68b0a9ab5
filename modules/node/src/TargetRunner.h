/// @file
/// Runs calls at the target beside this node: admission to its slots, a short queue, dispatch, and
/// an outcome that says whether the call may have run.
#pragma once

#include "AdmissionQueue.h"
#include "AsioTypes.h"
#include "CallMetrics.h"
#include "HttpClient.h"
#include "Messages_generated.h"
#include "RouteAverages.h"
#include "SharedState.h"
#include "TargetNotice.h"
#include "TargetRecord.h"

#include <boost/asio/cancellation_signal.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep::node {

/// State of one call at the target, shared between the run and those who wait for it.
struct TargetRun
{
  /// Cancels the run; see Abandon.
  net::asio::cancellation_signal m_cancel;
  /// The request's id, for the log.
  std::string m_requestId;
  /// The call may safely run more than once.
  bool m_repeatable = false;
  /// Bytes of the request may have reached the target.
  bool m_dispatched = false;
  /// The request's number in the admission queue, once it was offered there.
  std::optional<std::uint64_t> m_queueId;
  /// The node that sent the call needs the answer by then; none if it named no such time.
  std::optional<Instant> m_answerBy;
};

/// @return the shared state of a run of aCall.
std::shared_ptr<TargetRun>
MakeTargetRun(const wire::CallT& aCall);

/// Called when nobody waits for the call any more. A call that is not dispatched yet is dropped,
/// and a repeatable one is cancelled. A dispatched call that may run only once is left to finish.
void
Abandon(TargetRun& aRun);

/// Used on the calls thread only.
class TargetRunner
{
public:
  /// @param aMetrics must outlive this.
  /// @param aBudget counts the answers that are being received.
  TargetRunner(net::asio::io_context& aContext,
               SharedState& aShared,
               CallMetrics& aMetrics,
               std::shared_ptr<net::ByteBudget> aBudget);

  /// The part of rollouts; all empty if the settings have none.
  struct RolloutHooks
  {
    /// @return why the target's version may get no request now; empty if it may.
    std::function<std::string_view(const routing::TargetReport&)> m_refusalReason;
    /// Called when a request that was sent to the target has ended.
    std::function<void(const routing::TargetReport&, const wire::CallT&, const wire::AnswerT&)>
      m_answered;
  };

  /// Call before the first request.
  void SetRolloutHooks(RolloutHooks aHooks);
  /// Applies the target's latest report.
  void SetTarget(const routing::TargetReport& aReport);
  /// Stops new work for the target, whose report has expired.
  void RemoveTarget();
  /// Refuses new work from now on; queued and running calls go on.
  void StopTakingWork();
  /// The node stops: refuses or sheds the requests that would probably end after aAt.
  void CloseAt(Instant aAt);
  /// Applies aRun.m_answerBy to a run that was started before it was set.
  void Shorten(const TargetRun& aRun);
  /// Runs a call at the target. Cancelling the coroutine closes the connection to the target.
  /// @param aCaller node that the call came from, for fair queueing among nodes.
  /// @param aRun its m_dispatched is set when the call is dispatched.
  net::Awaitable<wire::AnswerT> Run(wire::CallT aCall,
                                    std::string aCaller,
                                    std::shared_ptr<TargetRun> aRun);
  /// Decides early about a call whose body is not received yet.
  /// @param aBodyMs estimated time until its body is complete, in milliseconds.
  /// @return the answer to a call that would be refused, or nothing.
  std::optional<wire::AnswerT> RefuseEarly(const wire::CallT& aCall,
                                           const std::string& aCaller,
                                           Milliseconds aBodyMs);
  /// @return the number of running and queued requests.
  std::uint32_t Outstanding() const;
  /// @return the target's latest report; null if it has none.
  const routing::TargetReport* Target() const;
  /// @return the notice of the target that is in force.
  const routing::TargetNotice& Notice() const;
  /// @return true if the target reported that it leaves or says so in its responses.
  bool IsLeaving() const;
  /// Applies a notice of the target that a health check or another node brings.
  /// @param aSource where it comes from, for the log.
  void RecallNotice(const routing::StatedNotice& aStated, std::string_view aSource);
  /// Sheds queued requests that would be too late. Call it every few milliseconds.
  void ShedExpired();

private:
  struct QueuedRequest;

  net::Awaitable<wire::AnswerT> RunAdmitted(const wire::CallT& aCall,
                                            std::string aCaller,
                                            std::shared_ptr<TargetRun> aRun);
  net::Awaitable<routing::AdmissionResult> Admit(routing::AdmissionRequest aRequest);
  bool IsCallOfTarget(const wire::CallT& aCall) const;
  routing::AdmissionRequest MakeAdmissionRequest(const wire::CallT& aCall,
                                                 const std::string& aCaller);
  net::Awaitable<wire::AnswerT> Dispatch(const wire::CallT& aCall,
                                         Instant aDeadline,
                                         std::shared_ptr<TargetRun> aRun);
  std::string RefusalReason(const wire::CallT& aCall) const;
  std::string_view VersionRefusal() const;
  void LogRefused(const wire::CallT& aCall,
                  std::string_view aCaller,
                  std::string_view aReason,
                  Milliseconds aWaitMs) const;
  void LogIfFailedOrLate(const wire::CallT& aCall,
                         std::string_view aCaller,
                         const wire::AnswerT& aAnswer,
                         std::int64_t aWaitedUs) const;
  void ApplyDecision(const routing::QueueDecision& aDecision);
  void UseNotice(std::string_view aSource);
  void RecordNotice(const std::string& aId,
                    std::optional<std::int64_t> aBornMs,
                    const net::HttpResponse& aResponse);
  void ApplyServiceLimits(const std::string& aService);
  wire::AnswerT MakeRefusal(std::string_view aReason, bool aOverloaded) const;
  std::optional<wire::AnswerT> RefuseUnfit(const wire::CallT& aCall,
                                           std::string_view aCaller) const;
  wire::AnswerT RefuseFull(const wire::CallT& aCall,
                           std::string_view aCaller,
                           const routing::AdmissionResult& aAdmission,
                           std::string_view aReason) const;
  std::string_view FullReason(const routing::AdmissionResult& aAdmission,
                              const TargetRun* aRun) const;

  net::asio::io_context& m_context;
  SharedState& m_shared;
  CallMetrics& m_metrics;
  std::shared_ptr<net::ByteBudget> m_budget;
  routing::AdmissionQueue m_admissionQueue;
  routing::TargetReport m_target;
  routing::NoticeRecord m_notice;
  /// When the target first reported that it is leaving.
  std::optional<Instant> m_leavingSince;
  /// A connection to the target failed; new calls are refused until this time.
  Instant m_unreachableUntil;
  std::shared_ptr<net::HttpClient> m_client;
  std::map<std::uint64_t, QueuedRequest*> m_queued;
  /// Average service time by route, in microseconds.
  routing::RouteAverages m_serviceUs;
  std::uint64_t m_nextId = 1;
  RolloutHooks m_rolloutHooks;
  bool m_targetPresent = false;
  bool m_stopping = false;
};

} // namespace sequoiastep::node
