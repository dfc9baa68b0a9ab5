/// @file
/// State of the links of CallLinks, shared by its source files.
#pragma once

#include "CallLinks.h"
#include "LinkLiveness.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace sequoiastep::node {

// A call that waits for its answer. The wait ends when the timer expires or is cancelled.
struct CallLinks::PendingCall
{
  PendingCall(net::asio::io_context& aContext,
              std::int64_t aTimeoutMs,
              bool aRepeatable,
              OnSilent aOnSilent)
    : m_timer(aContext, std::chrono::milliseconds(aTimeoutMs))
    , m_repeatable(aRepeatable)
    , m_onSilent(std::move(aOnSilent))
  {
  }

  /// Returns true if the peer may have the whole request. It runs nothing before.
  bool MayRun() const { return m_bodySent == m_body.size(); }

  net::asio::steady_timer m_timer;
  bool m_repeatable;
  OnSilent m_onSilent;
  /// Body that is sent in chunks; empty if the call itself carries it.
  std::vector<std::uint8_t> m_body;
  std::size_t m_bodySent = 0;
  /// The link that it was sent over, and its id there.
  std::weak_ptr<Link> m_link;
  std::uint64_t m_id = 0;
  CallReply m_reply{ .m_kind = CallReply::Kind::TimedOut, .m_answer = {} };
};

// An ask for quota tokens that waits for its reply. The wait ends when the timer expires or is
// cancelled.
struct CallLinks::PendingAsk
{
  net::asio::steady_timer m_timer;
  std::optional<wire::QuotaGrantT> m_grant;
};

// The link to one node; exists from the first call to it, while the connection is still opened.
struct CallLinks::Link
{
  bool m_connecting = true;
  std::unique_ptr<net::FrameConnection> m_connection;
  /// Calls that wait for an answer, by call id.
  std::map<std::uint64_t, PendingCall*> m_pending;
  /// Asks for quota tokens that wait for a reply, by ask id.
  std::map<std::uint64_t, PendingAsk*> m_asks;
  std::optional<Instant> m_askedAt;
  routing::LinkLiveness m_liveness;
  /// Bytes received until the last RecordReceivedBytes().
  std::uint64_t m_receivedBytes = 0;
  /// Timers of calls that, before they are sent, wait for the connection or for a sign of life.
  std::set<net::asio::steady_timer*> m_waiters;
};

} // namespace sequoiastep::node
