/// @file
/// Runs calls at the target beside the node: slots, a short queue, dispatch, truthful outcomes.
#pragma once

#include "AsioTypes.h"
#include "HttpClient.h"
#include "Messages_generated.h"
#include "Shared.h"
#include "SlotGate.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace sequoiastep::node {

/// What the target said of itself.
struct TargetAnnouncement
{
  std::string m_service;
  std::string m_address;
  std::uint16_t m_slots = 1;
  std::uint32_t m_warmUpMs = 0;
  Milliseconds m_ttlMs = 3000;
  bool m_draining = false;
};

/// Runs on the calls thread only.
class TargetRunner
{
public:
  TargetRunner(net::asio::io_context& aContext, Shared& aShared);

  /// Takes the target's latest announcement.
  void SetTarget(const TargetAnnouncement& aAnnouncement);
  /// The target was silent beyond its time to live: it gets no new work.
  void LoseTarget();
  /// New work is refused from now on; what is queued or runs goes on.
  void StopTakingWork();
  /// Runs a call at the target. Cancelling the coroutine closes the target's connection.
  /// @param aCaller the node it came from, for fair turns.
  net::Awaitable<wire::AnswerT> Run(wire::CallT aCall, std::string aCaller);
  /// @return requests that run or wait here.
  std::uint32_t Outstanding() const;
  /// Sheds what waited too long. Called every few milliseconds.
  void Review();

private:
  struct Waiting;

  net::Awaitable<bool> Admit(std::uint64_t aId, std::string aCaller, Instant aDeadline);
  net::Awaitable<wire::AnswerT> Dispatch(const wire::CallT& aCall, Instant aDeadline);
  void Apply(const routing::GateDecision& aDecision);
  void ApplyServiceLimits(const std::string& aService);
  wire::AnswerT Refuse(std::string_view aReason, bool aOverloaded) const;

  net::asio::io_context& m_context;
  Shared& m_shared;
  routing::SlotGate m_gate;
  TargetAnnouncement m_target;
  std::shared_ptr<net::HttpClient> m_client;
  std::map<std::uint64_t, Waiting*> m_waiting;
  std::uint64_t m_nextId = 1;
  bool m_present = false;
  bool m_stopping = false;
};

} // namespace sequoiastep::node
