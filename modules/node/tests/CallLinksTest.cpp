// Calls over a link to another node that is played by the test.
#include "../src/CallLinks.h"
#include "Address.h"
#include "HttpServer.h"
#include "RunUntil.h"

#include <chrono>
#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <string>

using namespace sequoiastep;
using namespace sequoiastep::node;

namespace {

namespace asio = net::asio;
using wire::AnswerT;
using wire::CallOutcome;

const Identity kNear{ .m_mesh = "m", .m_node = "near" };
const Identity kFar{ .m_mesh = "m", .m_node = "far" };

// A node that gives the same answer to every call, and answers no probe.
class AnsweringNode
{
public:
  AnsweringNode(asio::io_context& aContext, AnswerT aAnswer, Milliseconds aDelayMs = 0)
    : m_acceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_timer(aContext)
    , m_answer(std::move(aAnswer))
    , m_delayMs(aDelayMs)
  {
    asio::co_spawn(aContext, Serve(), asio::detached);
  }

  std::string Address() const { return net::AddressText(m_acceptor.local_endpoint()); }

private:
  net::Awaitable<void> Serve()
  {
    auto [error, socket] = co_await m_acceptor.async_accept(net::kAsTuple);
    m_connection = std::make_unique<net::FrameConnection>(std::move(socket));
    wire::EnvelopeT hello;
    co_await m_connection->ReceiveOne(hello, 1000);
    m_connection->Send(wire::EncodeFrame(MakeHello(kFar, wire::Purpose::Calls)));
    m_connection->Start([this](wire::EnvelopeT aMessage) { Answer(std::move(aMessage)); },
                        [](const std::string&) {});
  }

  void Answer(wire::EnvelopeT aMessage)
  {
    if (aMessage.body.type == wire::Body::Call) {
      m_timer.expires_after(std::chrono::milliseconds(m_delayMs));
      m_timer.async_wait([this, id = aMessage.body.AsCall()->id](const net::error_code&) {
        AnswerT answer(m_answer);
        answer.id = id;
        m_connection->Send(wire::EncodeFrame(wire::MakeEnvelope(std::move(answer))));
      });
    }
  }

  net::tcp::acceptor m_acceptor;
  asio::steady_timer m_timer;
  AnswerT m_answer;
  Milliseconds m_delayMs;
  std::unique_ptr<net::FrameConnection> m_connection;
};

AnswerT
MakeAnswer(CallOutcome aOutcome, std::uint16_t aStatus, const std::string& aBody = "")
{
  AnswerT answer;
  answer.outcome = aOutcome;
  answer.status = aStatus;
  answer.body.assign(aBody.begin(), aBody.end());
  return answer;
}

// How a call ended, and how often its caller was told that the node is silent.
struct CallEnd
{
  CallReply::Kind m_kind;
  int m_silent = 0;
};

// Sends a call to a node that gives aAnswer after aDelayMs.
CallEnd
SendCall(wire::CallT aCall, const AnswerT& aAnswer, Milliseconds aDelayMs)
{
  constexpr std::int64_t kTimeoutMs = 3000;
  asio::io_context context(1);
  AnsweringNode far(context, aAnswer, aDelayMs);
  SharedState shared;
  const auto budget = std::make_shared<net::ByteBudget>(net::ByteBudget{ .m_max = 1U << 20 });
  CallLinks links(context, kNear, shared, budget);
  aCall.timeout_ms = kTimeoutMs;
  int silent = 0;
  std::optional<CallReply> reply;
  asio::co_spawn(
    context,
    links.Call("far", far.Address(), std::move(aCall), kTimeoutMs, [&silent] { ++silent; }),
    [&](const std::exception_ptr&, CallReply aReply) { reply = std::move(aReply); });
  REQUIRE(RunUntil(context, [&] { return reply.has_value(); }));
  links.Stop();
  return { .m_kind = reply->m_kind, .m_silent = silent };
}

// How a call to a node ends that gives this answer.
CallReply::Kind
KindOfReply(const AnswerT& aAnswer, bool aForwarded = false)
{
  wire::CallT call;
  call.repeatable = true;
  call.forwarded = aForwarded;
  return SendCall(std::move(call), aAnswer, 0).m_kind;
}

} // namespace

// Guards against a far node of an older version, which hands on answers of targets that are none.
TEST_CASE("an answer of another node whose response is none in HTTP is not taken for an answer")
{
  for (const std::uint16_t status : { 0, 99, 100, 101, 103, 199, 600, 999, 65'535 }) {
    CAPTURE(status);
    CHECK(KindOfReply(MakeAnswer(CallOutcome::Done, status, "body")) ==
          CallReply::Kind::InvalidAnswer);
    CHECK(KindOfReply(MakeAnswer(CallOutcome::Done, status)) == CallReply::Kind::InvalidAnswer);
  }
  for (const std::uint16_t status : { 204, 304 }) {
    CHECK(KindOfReply(MakeAnswer(CallOutcome::Done, status, "body")) ==
          CallReply::Kind::InvalidAnswer);
    CHECK(KindOfReply(MakeAnswer(CallOutcome::Done, status)) == CallReply::Kind::Answered);
  }
  for (const std::uint16_t status : { 200, 299, 404, 500, 599 }) {
    CHECK(KindOfReply(MakeAnswer(CallOutcome::Done, status, "body")) == CallReply::Kind::Answered);
  }
}

TEST_CASE("only the answer to a forwarded request needs a response whatever its outcome")
{
  for (const CallOutcome outcome : { CallOutcome::NotRun, CallOutcome::Unknown }) {
    CHECK(KindOfReply(MakeAnswer(outcome, 0)) == CallReply::Kind::Answered);
    // The response to a forwarded request goes to the caller whatever the outcome.
    CHECK(KindOfReply(MakeAnswer(outcome, 0), true) == CallReply::Kind::InvalidAnswer);
    CHECK(KindOfReply(MakeAnswer(outcome, 503), true) == CallReply::Kind::Answered);
  }
}

TEST_CASE("a call in progress is not given up when the node beside its target falls silent")
{
  constexpr Milliseconds kLongSilenceMs = 900;
  for (const bool repeatable : { true, false }) {
    CAPTURE(repeatable);
    wire::CallT call;
    call.repeatable = repeatable;
    const CallEnd end =
      SendCall(std::move(call), MakeAnswer(CallOutcome::Done, 200), kLongSilenceMs);
    CHECK(end.m_kind == CallReply::Kind::Answered);
    CHECK(end.m_silent == 1);
  }
}

TEST_CASE("a call that may run once is withdrawn from a silent node that lacks a part of its body")
{
  constexpr Milliseconds kLongSilenceMs = 900;
  wire::CallT call;
  call.body.assign(net::kMaxSmallBodyBytes + 1, 'x');
  const CallEnd end = SendCall(std::move(call), MakeAnswer(CallOutcome::Done, 200), kLongSilenceMs);
  CHECK(end.m_kind == CallReply::Kind::NotSent);
  CHECK(end.m_silent == 0);
}
