// Rules of the owner's side and the asking side of quotas, one by one.
#include "Owner.h"
#include "Stock.h"

#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::quota;

namespace {

constexpr Instant kStart{ 1'000'000 };
constexpr Limits kLimits{ .m_ratePerSecond = 100, .m_burst = 50 };
// Burst and half of the slack.
constexpr std::uint32_t kDepth = 60;

Peers
PeersOf(std::initializer_list<const char*> aNodes)
{
  Peers peers;
  for (const char* node : aNodes) {
    peers[node] = PeerState::Candidate;
  }
  return peers;
}

// Lets time pass as a running process does.
void
RunTo(Owner& aOwner, Instant aUntil)
{
  while (aOwner.m_observedAt < aUntil) {
    Observe(aOwner, std::min(aUntil, aOwner.m_observedAt + 100));
  }
}

// The only node, past its hold, with a full bucket.
Owner
ReadyOwner()
{
  Owner owner = MakeOwner(Options(), "a", kStart);
  SetPeers(owner, PeersOf({ "a" }), 1, kStart);
  SetLimits(owner, { { "ws", kLimits } }, kStart);
  RunTo(owner, kStart + 10'000);
  return owner;
}

TakeResult
TakeNew(Stock& aStock, Instant aNow)
{
  return Take(aStock, "ws", kLimits, TakeFor::NewRequest, aNow);
}

} // namespace

// Guards against a start, a takeover or a pause that grants what was granted before.
TEST_CASE("quota owner: starts empty and held")
{
  Owner owner = MakeOwner(Options(), "a", kStart);
  SetPeers(owner, PeersOf({ "a" }), 1, kStart);
  SetLimits(owner, { { "ws", kLimits } }, kStart);
  const Grant held = Answer(owner, "ws", 10, kStart + 1000);
  CHECK(held.m_tokens == 0);
  CHECK(held.m_retryAfterMs == kTakeoverHoldMs - 1000);
  RunTo(owner, kStart + kTakeoverHoldMs);
  CHECK(Answer(owner, "ws", 10, kStart + kTakeoverHoldMs).m_tokens == 0);
  CHECK(Answer(owner, "ws", 100, kStart + kTakeoverHoldMs + 100).m_tokens == 10);
}

TEST_CASE("quota owner: a pause empties the bucket, a short one does not")
{
  Owner owner = ReadyOwner();
  CHECK(Answer(owner, "ws", 1000, owner.m_observedAt + kPauseGapMs).m_tokens == kDepth);
  owner = ReadyOwner();
  const Instant resumed = owner.m_observedAt + kPauseGapMs + 1;
  const Grant grant = Answer(owner, "ws", 1, resumed);
  CHECK(grant.m_tokens == 0);
  CHECK(grant.m_retryAfterMs == kTakeoverHoldMs);
}

TEST_CASE("quota owner: grants up to the depth, then at the rate")
{
  Owner owner = ReadyOwner();
  const Instant now = owner.m_observedAt;
  Grant grant = Answer(owner, "ws", 1000, now);
  CHECK(grant.m_tokens == kDepth);
  CHECK(grant.m_lifetimeMs == 400);
  CHECK(grant.m_retryAfterMs > 0);
  CHECK(Answer(owner, "ws", 1, now).m_tokens == 0);
  CHECK(Answer(owner, "ws", 1000, now + 200).m_tokens == 20);
}

// Guards against two sides of a partition that each grant the whole rate.
TEST_CASE("quota owner: grants the share of the nodes it hears")
{
  Owner owner = ReadyOwner();
  Peers peers = PeersOf({ "a" });
  peers["b"] = PeerState::Unreachable;
  const Instant now = owner.m_observedAt;
  SetPeers(owner, peers, 1, now);
  CHECK(Answer(owner, "ws", 1000, now).m_tokens == kDepth / 2);
  CHECK(Answer(owner, "ws", 1000, now + 200).m_tokens == 10);
  // The other side may learn later that the partition has ended.
  peers["b"] = PeerState::Present;
  SetPeers(owner, peers, 1, now + 200);
  CHECK(Answer(owner, "ws", 1000, now + 400).m_tokens == 10);
  RunTo(owner, now + 200 + kTakeoverHoldMs);
  CHECK(Answer(owner, "ws", 1000, now + 200 + kTakeoverHoldMs).m_tokens > 0);
  CHECK(Answer(owner, "ws", 1000, now + 400 + kTakeoverHoldMs).m_tokens == 20);
}

// Guards against an owner that goes on after another node took its place, and against a new one
// that starts before.
TEST_CASE("quota owner: hands over to the first node")
{
  const Peers both = PeersOf({ "a", "b" });
  const std::string first = FindFirst(both, "ws").m_node;
  const std::string second = first == "a" ? "b" : "a";
  Owner owner = MakeOwner(Options(), second, kStart);
  SetPeers(owner, both, 1, kStart);
  SetLimits(owner, { { "ws", kLimits } }, kStart);
  RunTo(owner, kStart + 5000);
  Instant now = owner.m_observedAt;
  CHECK(Answer(owner, "ws", 1, now).m_notOwner);
  Peers changed = both;

  SUBCASE("an unreachable predecessor may still grant")
  {
    changed[first] = PeerState::Unreachable;
    SetPeers(owner, changed, 1, now);
    CHECK(Answer(owner, "ws", 1, now).m_retryAfterMs == kTakeoverHoldMs);
    SetPeers(owner, both, 1, now + 500);
    CHECK(Answer(owner, "ws", 1, now + 500).m_notOwner);
  }
  SUBCASE("one that announced its end grants nothing more")
  {
    changed[first] = PeerState::Present;
    SetPeers(owner, changed, 1, now);
    CHECK(Answer(owner, "ws", 1, now).m_retryAfterMs == 400 + kHandoverMarginMs);
  }
  SUBCASE("its end does not shorten the hold after an earlier change")
  {
    changed[first] = PeerState::Unreachable;
    SetPeers(owner, changed, 1, now);
    changed.erase(first);
    SetPeers(owner, changed, 1, now + 100);
    CHECK(Answer(owner, "ws", 1, now + 100).m_retryAfterMs == kTakeoverHoldMs - 100);
  }
}

// Guards against configurations that fill a bucket.
TEST_CASE("quota owner: new limits keep the tokens, up to the new depth")
{
  Owner owner = ReadyOwner();
  const Instant now = owner.m_observedAt;
  Answer(owner, "ws", 1000, now);
  for (int i = 0; i < 10; ++i) {
    SetLimits(owner, { { "ws", { .m_ratePerSecond = 1, .m_burst = 0 } } }, now);
    SetLimits(owner, { { "ws", { .m_ratePerSecond = 1000, .m_burst = 1000 } } }, now);
  }
  CHECK(Answer(owner, "ws", 1000, now).m_tokens == 0);
  SetLimits(owner, {}, now);
  CHECK(Answer(owner, "ws", 1, now).m_tokens == 0);
  SetLimits(owner, { { "ws", kLimits } }, now);
  CHECK(Answer(owner, "ws", 1, now).m_tokens == 0);
}

TEST_CASE("quota stock: a token admits, a wait shares one ask")
{
  Stock stock = MakeStock(Options(), 1, kStart);
  const TakeResult ask = TakeNew(stock, kStart);
  REQUIRE(ask.m_kind == TakeKind::Ask);
  CHECK(ask.m_tokens == 1);
  const TakeResult wait = TakeNew(stock, kStart + 1);
  CHECK(wait.m_kind == TakeKind::Wait);
  CHECK(wait.m_askId == ask.m_askId);
  HandleGrant(stock, "ws", ask.m_askId, { .m_tokens = 1, .m_lifetimeMs = 400 }, kStart + 10);
  const auto again = [&] {
    return Take(stock, "ws", kLimits, TakeFor::WaitingRequest, kStart + 10);
  };
  CHECK(again().m_kind == TakeKind::Admit);
  CHECK(again().m_kind == TakeKind::Ask);
}

// Guards against tokens that are used after the owner counts them as expired.
TEST_CASE("quota stock: tokens expire, also over a pause")
{
  Stock stock = MakeStock(Options(), 1, kStart);
  const Grant grant{ .m_tokens = 5, .m_lifetimeMs = 60'000 };
  TakeResult ask = TakeNew(stock, kStart);
  HandleGrant(stock, "ws", ask.m_askId, grant, kStart + 10);
  CHECK(TakeNew(stock, kStart + 399).m_kind == TakeKind::Admit);
  ask = TakeNew(stock, kStart + 400);
  CHECK(ask.m_kind == TakeKind::Ask);
  // The answer was read only after its tokens expired.
  HandleGrant(stock, "ws", ask.m_askId, grant, kStart + 800);
  CHECK(TakeNew(stock, kStart + 800).m_kind == TakeKind::Ask);
}

TEST_CASE("quota stock: refuses without asking until the owner may have tokens")
{
  Stock stock = MakeStock(Options(), 1, kStart);
  const TakeResult ask = TakeNew(stock, kStart);
  HandleGrant(stock, "ws", ask.m_askId, { .m_retryAfterMs = 300 }, kStart + 10);
  const TakeResult refused = TakeNew(stock, kStart + 110);
  CHECK(refused.m_kind == TakeKind::Refuse);
  // The owner's time, and the next turns at this node's part of the rate.
  CHECK(refused.m_retryAfterMs == 210);
  CHECK(TakeNew(stock, kStart + 110).m_retryAfterMs == 220);
  for (int i = 0; i < 1000; ++i) {
    CHECK(TakeNew(stock, kStart + 110).m_retryAfterMs <= 2000);
  }
  CHECK(TakeNew(stock, kStart + 310).m_kind == TakeKind::Ask);
}

// Guards against nodes that each admit a request because they can't reach the owner.
TEST_CASE("quota stock: all floors together stay within their part of the slack")
{
  constexpr std::size_t kNodes = 82;
  const double most = FloorPerWindow(Options(), kLimits);
  double admitted = 0;
  for (std::size_t node = 0; node < kNodes; ++node) {
    Stock stock = MakeStock(Options(), node + 1, kStart);
    stock.m_knownNodes = kNodes;
    for (Milliseconds ms = 0; ms < 50'000; ms += 50) {
      const TakeResult result = TakeNew(stock, kStart + ms);
      if (result.m_kind == TakeKind::Ask) {
        HandleTimeout(stock, "ws", result.m_askId, kStart + ms);
      }
      admitted += result.m_kind == TakeKind::AdmitFloor ? 1 : 0;
    }
  }
  // Ten windows, and up to one more where a node's windows are out of step.
  CHECK(admitted <= most * 11 * 1.2);
  CHECK(admitted >= most * 5);
}

TEST_CASE("quota stock: a refunded token can be used until it expires")
{
  Stock stock = MakeStock(Options(), 1, kStart);
  const TakeResult ask = TakeNew(stock, kStart);
  HandleGrant(stock, "ws", ask.m_askId, { .m_tokens = 1, .m_lifetimeMs = 400 }, kStart + 10);
  const TakeResult admitted = TakeNew(stock, kStart + 10);
  REQUIRE(admitted.m_kind == TakeKind::Admit);
  Refund(stock, "ws", admitted.m_expiresAt, kStart + 399);
  CHECK(TakeNew(stock, kStart + 399).m_kind == TakeKind::Admit);
  Refund(stock, "ws", admitted.m_expiresAt, kStart + 400);
  CHECK(TakeNew(stock, kStart + 400).m_kind == TakeKind::Ask);
}

// Guards against one message for each request where several come within one lifetime.
TEST_CASE("quota stock: asks for several tokens at once if many requests come")
{
  Stock stock = MakeStock(Options(), 1, kStart);
  std::uint32_t asks = 0;
  constexpr std::uint32_t kRequests = 1000;
  for (std::uint32_t i = 0; i < kRequests; ++i) {
    const Instant now = kStart + static_cast<Milliseconds>(i) * 20;
    TakeResult result = TakeNew(stock, now);
    if (result.m_kind == TakeKind::Ask) {
      ++asks;
      const Grant grant{ .m_tokens = result.m_tokens, .m_lifetimeMs = 400 };
      HandleGrant(stock, "ws", result.m_askId, grant, now);
      result = Take(stock, "ws", kLimits, TakeFor::WaitingRequest, now);
    }
    CHECK(result.m_kind == TakeKind::Admit);
  }
  CHECK(asks < kRequests / 8);
}
