/// @file
/// Runs calls at the target beside the node: slots, a short queue, dispatch, truthful outcomes.
#pragma once

#include "AsioTypes.h"
#include "CallMetrics.h"
#include "HttpClient.h"
#include "Messages_generated.h"
#include "RouteAverages.h"
#include "SharedState.h"
#include "SlotGate.h"
#include "TargetRecord.h"

#include <boost/asio/cancellation_signal.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sequoiastep::node {

/// One call at the target, as those who wait for it see it.
struct TargetRun
{
  /// Ends the call; see Abandon.
  net::asio::cancellation_signal m_cancel;
  /// The request's own id, for the log.
  std::string m_requestId;
  bool m_repeatable = false;
  /// Bytes of it may have reached the target.
  bool m_dispatched = false;
};

/// @return what those who wait for aCall share with its run.
std::shared_ptr<TargetRun>
MakeTargetRun(const wire::CallT& aCall);

/// Nobody waits for the call any more. What waits is dropped and what may be repeated is broken
/// off; what may run only once and was started is left to end by itself.
void
Abandon(TargetRun& aRun);

/// Runs on the calls thread only.
class TargetRunner
{
public:
  /// @param aMetrics must outlive this.
  TargetRunner(net::asio::io_context& aContext, SharedState& aShared, CallMetrics& aMetrics);

  /// Takes the target's latest report.
  void SetTarget(const routing::TargetReport& aReport);
  /// The target was silent beyond its time to live: it gets no new work.
  void LoseTarget();
  /// New work is refused from now on; what is queued or runs goes on.
  void StopTakingWork();
  /// Runs a call at the target. Cancelling the coroutine closes the target's connection.
  /// @param aCaller the node it came from, for fair turns.
  /// @param aRun told when the call is dispatched.
  net::Awaitable<wire::AnswerT> Run(wire::CallT aCall,
                                    std::string aCaller,
                                    std::shared_ptr<TargetRun> aRun);
  /// @return requests that run or wait here.
  std::uint32_t Outstanding() const;
  /// Sheds what waited too long. Called every few milliseconds.
  void Review();

private:
  struct Waiting;

  net::Awaitable<bool> Admit(routing::GateRequest aRequest, Milliseconds& aWaitMs);
  routing::GateRequest MakeGateRequest(const wire::CallT& aCall, std::string aCaller);
  net::Awaitable<wire::AnswerT> Dispatch(const wire::CallT& aCall,
                                         Instant aDeadline,
                                         std::shared_ptr<TargetRun> aRun);
  std::string WhyNoNewWork(const wire::CallT& aCall) const;
  void LogRefused(const wire::CallT& aCall,
                  std::string_view aCaller,
                  std::string_view aReason,
                  Milliseconds aWaitMs) const;
  void LogEnd(const wire::CallT& aCall,
              std::string_view aCaller,
              const wire::AnswerT& aAnswer,
              std::int64_t aWaitedUs) const;
  void Apply(const routing::GateDecision& aDecision);
  void ApplyServiceLimits(const std::string& aService);
  wire::AnswerT Refuse(std::string_view aReason, bool aOverloaded) const;

  net::asio::io_context& m_context;
  SharedState& m_shared;
  CallMetrics& m_metrics;
  routing::SlotGate m_gate;
  routing::TargetReport m_target;
  /// When the target said that it leaves.
  std::optional<Instant> m_leavingSince;
  /// It refused connections; it gets no call before this instant.
  Instant m_unreachableUntil;
  std::shared_ptr<net::HttpClient> m_client;
  std::map<std::uint64_t, Waiting*> m_waiting;
  /// How long requests of a route run, in microseconds.
  routing::RouteAverages m_serviceUs;
  std::uint64_t m_nextId = 1;
  bool m_present = false;
  bool m_stopping = false;
};

} // namespace sequoiastep::node
