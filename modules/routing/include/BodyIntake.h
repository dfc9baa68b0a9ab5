/// @file
/// Flow control for large request bodies that other nodes send to this one. The sender announces a
/// body and sends only the bytes that were granted. Grants keep the bytes in transit small, so that
/// short messages are not held up behind bodies on the host's link.
#pragma once

#include "Clock.h"

#include <cstdint>
#include <limits>
#include <map>
#include <vector>

namespace sequoiastep::routing {

/// Limits of an intake.
struct IntakeOptions
{
  /// Bytes per millisecond that the host's link carries.
  double m_bytesPerMs = 125'000;
  /// Granted bytes in transit, as time on the link.
  Milliseconds m_windowMs = 40;
  /// Smallest grant, but for the end of a body.
  std::uint64_t m_minGrantBytes = 8U << 10;
  /// Granted bytes of a body that makes no progress for this time are no longer counted as in
  /// transit.
  Milliseconds m_stallMs = 400;
};

/// A body that is being received.
struct BodyTransfer
{
  std::uint64_t m_size = 0;
  /// Priority of its request; 0 is the highest.
  std::uint32_t m_priority = 0;
  /// When the latency objective of its request is over.
  Instant m_objective{ std::numeric_limits<Milliseconds>::max() };
  /// Set by the intake: bytes granted and received so far.
  std::uint64_t m_granted = 0;
  std::uint64_t m_received = 0;
  /// Set by the intake: when a grant was given or bytes came.
  Instant m_progressAt;
};

/// The bodies that are being received, by id.
struct BodyIntake
{
  IntakeOptions m_options;
  std::map<std::uint64_t, BodyTransfer> m_transfers;
};

/// Allows the sender of a body to send its bytes up to an offset.
struct BodyGrant
{
  std::uint64_t m_id = 0;
  std::uint64_t m_upTo = 0;
};

/// @return the estimated time until a body of aSize bytes that is announced now is complete, in
/// milliseconds.
double
TransferMs(const BodyIntake& aIntake, std::uint64_t aSize);

/// Adds an announced body.
void
Begin(BodyIntake& aIntake, std::uint64_t aId, const BodyTransfer& aTransfer, Instant aNow);

/// Records received bytes.
/// @return false if there is no such body or the sender sent more than was granted.
bool
Receive(BodyIntake& aIntake, std::uint64_t aId, std::uint64_t aBytes, Instant aNow);

/// Removes a body that is complete or whose sender left.
void
End(BodyIntake& aIntake, std::uint64_t aId);

/// @return the grants to send now, by priority, then the earliest objective first. Call it whenever
/// a body begins, receives bytes or ends, and from time to time.
std::vector<BodyGrant>
NextGrants(BodyIntake& aIntake, Instant aNow);

} // namespace sequoiastep::routing
