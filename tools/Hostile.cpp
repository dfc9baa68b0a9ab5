// A crowd of HTTP/1.1 clients that misbehave in one chosen way, to test that a node survives them.
// Each client connects again when its connection ends, until the time is over. With `listen` the
// tool is a target whose answers misbehave in that way. Prints one line of key=value pairs.
#include "Acceptor.h"
#include "Address.h"
#include "Clock.h"
#include "ToolOptions.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fmt/core.h>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace sequoiastep::tools {

namespace asio = net::asio;
using net::Awaitable;
using net::kAsTuple;
using net::tcp;

namespace {

constexpr Milliseconds kReconnectPauseMs = 20;
// Pause between the reads of a client that reads slowly, and what it reads at once.
constexpr Milliseconds kSlowReadPauseMs = 200;
constexpr std::size_t kSlowReadBytes = 1024;
// Receive buffer of a client that reads slowly or not at all.
constexpr int kSmallReceiveBuffer = 4096;
// Endless input is sent in blocks of about this size.
constexpr std::size_t kBlockBytes = 32U << 10;
// Pause between an early answer and the end of its connection, and how long that end lasts.
constexpr Milliseconds kEarlyAnswerPauseMs = 100;
constexpr Milliseconds kHalfClosedMs = 1000;
// Pause of a target in the middle of reading a request.
constexpr Milliseconds kReadPauseMs = 4000;
// Part of an announced body that is sent.
constexpr std::size_t kBodyPartBytes = 1024;

struct CrowdOptions
{
  tcp::endpoint m_endpoint;
  std::string m_method;
  std::string m_path;
  /// Size of the bodies that clients announce or send.
  std::size_t m_bodyBytes = 0;
  /// File that holds the bytes of a target's answer; read anew for each answer.
  std::string m_answerFile;
  /// Pause of a client between its connect and its first bytes.
  Milliseconds m_quietMs = 0;
  Instant m_deadline;
};

struct CrowdCounts
{
  std::uint64_t m_connections = 0;
  std::uint64_t m_refusedConnections = 0;
  std::uint64_t m_bytesSent = 0;
  std::uint64_t m_bytesReceived = 0;
};

// One client of the crowd and its current connection.
struct Client
{
  Client(asio::io_context& aContext, const CrowdOptions& aOptions, CrowdCounts& aCounts)
    : m_context(aContext)
    , m_options(aOptions)
    , m_counts(aCounts)
    , m_socket(aContext)
  {
  }

  asio::io_context& m_context;
  const CrowdOptions& m_options;
  CrowdCounts& m_counts;
  tcp::socket m_socket;
  std::uint64_t m_number = 0;
};

using Play = std::function<Awaitable<void>(Client&)>;

Awaitable<void>
Sleep(Client& aClient, Milliseconds aPauseMs)
{
  asio::steady_timer timer(aClient.m_context, std::chrono::milliseconds(aPauseMs));
  co_await timer.async_wait(kAsTuple);
}

Awaitable<bool>
Send(Client& aClient, std::string_view aBytes)
{
  const auto [error, size] =
    co_await asio::async_write(aClient.m_socket, asio::buffer(aBytes), kAsTuple);
  aClient.m_counts.m_bytesSent += size;
  co_return !error;
}

// Sends aHead once and then aPart without end.
Awaitable<void>
SendEndless(Client& aClient, std::string aHead, std::string aPart)
{
  std::string block;
  while (block.size() < kBlockBytes) {
    block += aPart;
  }
  bool sent = co_await Send(aClient, aHead);
  while (sent) {
    sent = co_await Send(aClient, block);
  }
}

// Waits until the server closes the connection, without sending anything.
Awaitable<void>
ReadUntilClosed(Client& aClient)
{
  std::array<char, 4096> bytes{};
  for (;;) {
    const auto [error, size] =
      co_await aClient.m_socket.async_read_some(asio::buffer(bytes), kAsTuple);
    aClient.m_counts.m_bytesReceived += size;
    if (error) {
      co_return;
    }
  }
}

std::string
RequestHead(const Client& aClient, std::string_view aMethod, std::string_view aFields)
{
  return fmt::format(
    "{} {} HTTP/1.1\r\nHost: crowd\r\n{}", aMethod, aClient.m_options.m_path, aFields);
}

std::string
ChunkedHead(const Client& aClient)
{
  return RequestHead(aClient, "POST", "Transfer-Encoding: chunked\r\n\r\n");
}

std::string
BodyHead(const Client& aClient)
{
  return RequestHead(
    aClient, "POST", fmt::format("Content-Length: {}\r\n\r\n", aClient.m_options.m_bodyBytes));
}

// A request as the options say, with a body of their size if there is one.
std::string
WholeRequest(const Client& aClient)
{
  const std::size_t size = aClient.m_options.m_bodyBytes;
  if (size == 0) {
    return RequestHead(aClient, aClient.m_options.m_method, "\r\n");
  }
  return BodyHead(aClient) + std::string(size, 'x');
}

Awaitable<void>
PlayTrailers(Client& aClient)
{
  co_await SendEndless(
    aClient, ChunkedHead(aClient) + "5\r\nhello\r\n0\r\n", "X-Trailer: aaaaaaaaaaaaaaaaaaaa\r\n");
}

Awaitable<void>
PlayExtensions(Client& aClient)
{
  co_await SendEndless(aClient, ChunkedHead(aClient) + "5", ";name=value");
}

Awaitable<void>
PlayZeros(Client& aClient)
{
  co_await SendEndless(aClient, ChunkedHead(aClient), "0000000000000000");
}

Awaitable<void>
PlayHeaders(Client& aClient)
{
  co_await SendEndless(
    aClient, RequestHead(aClient, "GET", ""), "X-Header: aaaaaaaaaaaaaaaaaaaa\r\n");
}

// Whole requests in chunks of one byte, each of them with an extension.
Awaitable<void>
PlayChunks(Client& aClient)
{
  co_await SendEndless(aClient, ChunkedHead(aClient), "1;a=b\r\nx\r\n");
}

// One byte in each write.
Awaitable<void>
PlayBytes(Client& aClient)
{
  const std::string bytes = ChunkedHead(aClient) + "5\r\nhello\r\n0\r\nX-Trailer: ";
  bool sent = true;
  for (std::size_t i = 0; sent; ++i) {
    sent = co_await Send(aClient, i < bytes.size() ? std::string_view(bytes).substr(i, 1) : "a");
    co_await Sleep(aClient, 1);
  }
}

Awaitable<void>
PlayPipeline(Client& aClient)
{
  co_await SendEndless(aClient, "", WholeRequest(aClient));
}

Awaitable<void>
PlayNoRead(Client& aClient)
{
  bool sent = co_await Send(aClient, WholeRequest(aClient));
  while (sent && Clock::Now() < aClient.m_options.m_deadline) {
    co_await Sleep(aClient, kSlowReadPauseMs);
    char byte = 0;
    net::error_code error;
    aClient.m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    sent = !error || error == asio::error::would_block;
  }
}

Awaitable<void>
PlaySlowRead(Client& aClient)
{
  std::array<char, kSlowReadBytes> bytes{};
  bool open = co_await Send(aClient, WholeRequest(aClient));
  while (open) {
    const auto [error, size] =
      co_await aClient.m_socket.async_read_some(asio::buffer(bytes), kAsTuple);
    aClient.m_counts.m_bytesReceived += size;
    open = !error;
    co_await Sleep(aClient, kSlowReadPauseMs);
  }
}

Awaitable<void>
PlayAnnounced(Client& aClient)
{
  co_await Send(aClient, BodyHead(aClient) + std::string(kBodyPartBytes, 'x'));
  co_await ReadUntilClosed(aClient);
}

// Sends half of a body and leaves.
Awaitable<void>
PlayCut(Client& aClient)
{
  co_await Send(aClient, BodyHead(aClient) + std::string(aClient.m_options.m_bodyBytes / 2, 'x'));
}

Awaitable<void>
PlayOpen(Client& aClient)
{
  co_await ReadUntilClosed(aClient);
}

// Closes the sending side, in turn after a whole request, a part of a body and a part of a header.
Awaitable<void>
PlayHalfClosed(Client& aClient)
{
  std::string bytes = WholeRequest(aClient);
  if (aClient.m_number % 3 == 1) {
    bytes = BodyHead(aClient) + "part";
  } else if (aClient.m_number % 3 == 2) {
    bytes = RequestHead(aClient, "GET", "X-Head");
  }
  co_await Send(aClient, bytes);
  net::error_code ignored;
  aClient.m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  co_await Sleep(aClient, kSlowReadPauseMs);
}

// Resets the connection, in turn at once, after a whole request and in the middle of a body.
Awaitable<void>
PlayResets(Client& aClient)
{
  net::error_code ignored;
  aClient.m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
  if (aClient.m_number % 3 == 1) {
    co_await Send(aClient, WholeRequest(aClient));
  } else if (aClient.m_number % 3 == 2) {
    co_await Send(aClient, BodyHead(aClient) + std::string(kBodyPartBytes, 'x'));
  }
  co_await Sleep(aClient, static_cast<Milliseconds>(aClient.m_number % 4));
}

// Requests with ever new values of Host and path, whose answers are read.
Awaitable<void>
PlayNames(Client& aClient)
{
  std::array<char, 4096> bytes{};
  bool open = true;
  for (std::uint64_t i = 0; open; ++i) {
    const std::string request =
      fmt::format("GET {}/{}-{}/{:0200}?q={} HTTP/1.1\r\nHost: host-{}-{}.example\r\n\r\n",
                  i % 2 == 0 ? aClient.m_options.m_path : "/unknown",
                  aClient.m_number,
                  i,
                  i,
                  i,
                  aClient.m_number,
                  i);
    open = co_await Send(aClient, request);
    const auto [error, size] =
      co_await aClient.m_socket.async_read_some(asio::buffer(bytes), kAsTuple);
    aClient.m_counts.m_bytesReceived += size;
    open = open && !error;
  }
}

// Bytes of another node that announce a long frame and bring little of it.
Awaitable<void>
PlayFrames(Client& aClient)
{
  using namespace std::string_view_literals;
  co_await SendEndless(aClient, std::string("SQ\x01\x00\xff\xff\xff\x00"sv), "xxxxxxxxxxxxxxxx");
}

// Answers of a target. Each begins after the first bytes of a request.
constexpr std::string_view kChunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

Awaitable<void>
AnswerHeaders(Client& aClient)
{
  co_await SendEndless(aClient, "HTTP/1.1 200 OK\r\n", "X-Header: aaaaaaaaaaaaaaaaaaaa\r\n");
}

Awaitable<void>
AnswerTrailers(Client& aClient)
{
  co_await SendEndless(aClient,
                       std::string(kChunkedAnswer) + "5\r\nhello\r\n0\r\n",
                       "X-Trailer: aaaaaaaaaaaaaaaaaaaa\r\n");
}

Awaitable<void>
AnswerExtensions(Client& aClient)
{
  co_await SendEndless(aClient, std::string(kChunkedAnswer) + "5", ";name=value");
}

Awaitable<void>
AnswerInterim(Client& aClient)
{
  co_await SendEndless(aClient, "", "HTTP/1.1 100 Continue\r\nX-Header: aaaa\r\n\r\n");
}

Awaitable<void>
AnswerBody(Client& aClient)
{
  co_await SendEndless(aClient, std::string(kChunkedAnswer), "10\r\nxxxxxxxxxxxxxxxx\r\n");
}

// The bytes of a file; empty if it can't be read.
std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

// The bytes of a file to each request, on connections that stay open.
Awaitable<void>
AnswerFile(Client& aClient)
{
  std::array<char, 4096> bytes{};
  bool open = true;
  while (open) {
    const std::string answer = ReadFile(aClient.m_options.m_answerFile);
    open = co_await Send(aClient, answer);
    const auto [error, size] =
      co_await aClient.m_socket.async_read_some(asio::buffer(bytes), kAsTuple);
    open = open && !error;
  }
}

// The bytes of a file before the rest of the request is read, then a reset.
Awaitable<void>
AnswerReset(Client& aClient)
{
  co_await Send(aClient, ReadFile(aClient.m_options.m_answerFile));
  co_await Sleep(aClient, kEarlyAnswerPauseMs);
  net::error_code ignored;
  aClient.m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

// The bytes of a file before the rest of the request is read, then the end of the sending side.
Awaitable<void>
AnswerEnd(Client& aClient)
{
  co_await Send(aClient, ReadFile(aClient.m_options.m_answerFile));
  co_await Sleep(aClient, kEarlyAnswerPauseMs);
  net::error_code ignored;
  aClient.m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  co_await Sleep(aClient, kHalfClosedMs);
}

// Stops reading for a while, then reads a body of the size in the options and answers with the
// bytes of a file.
Awaitable<void>
AnswerLate(Client& aClient)
{
  co_await Sleep(aClient, kReadPauseMs);
  std::array<char, 4096> bytes{};
  std::size_t received = 0;
  while (received < aClient.m_options.m_bodyBytes) {
    const auto [error, size] =
      co_await aClient.m_socket.async_read_some(asio::buffer(bytes), kAsTuple);
    received += size;
    if (error) {
      co_return;
    }
  }
  co_await Send(aClient, ReadFile(aClient.m_options.m_answerFile));
}

struct Behaviour
{
  Play m_play;
  bool m_smallReceiveBuffer = false;
};

const std::map<std::string, Behaviour, std::less<>>&
ClientBehaviours()
{
  static const std::map<std::string, Behaviour, std::less<>> kBehaviours{
    { "trailers", { .m_play = PlayTrailers } },
    { "extensions", { .m_play = PlayExtensions } },
    { "zeros", { .m_play = PlayZeros } },
    { "headers", { .m_play = PlayHeaders } },
    { "chunks", { .m_play = PlayChunks } },
    { "bytes", { .m_play = PlayBytes } },
    { "pipeline", { .m_play = PlayPipeline, .m_smallReceiveBuffer = true } },
    { "no-read", { .m_play = PlayNoRead, .m_smallReceiveBuffer = true } },
    { "slow-read", { .m_play = PlaySlowRead, .m_smallReceiveBuffer = true } },
    { "announced", { .m_play = PlayAnnounced } },
    { "cut", { .m_play = PlayCut } },
    { "open", { .m_play = PlayOpen } },
    { "half-closed", { .m_play = PlayHalfClosed } },
    { "resets", { .m_play = PlayResets } },
    { "names", { .m_play = PlayNames } },
    { "frames", { .m_play = PlayFrames } },
  };
  return kBehaviours;
}

const std::map<std::string, Behaviour, std::less<>>&
TargetBehaviours()
{
  static const std::map<std::string, Behaviour, std::less<>> kBehaviours{
    { "headers", { .m_play = AnswerHeaders } },
    { "trailers", { .m_play = AnswerTrailers } },
    { "extensions", { .m_play = AnswerExtensions } },
    { "interim", { .m_play = AnswerInterim } },
    { "body", { .m_play = AnswerBody } },
    { "file", { .m_play = AnswerFile } },
    { "early-reset", { .m_play = AnswerReset } },
    { "early-end", { .m_play = AnswerEnd } },
    { "late", { .m_play = AnswerLate } },
  };
  return kBehaviours;
}

Awaitable<void>
RunClient(std::shared_ptr<Client> aClient, Behaviour aBehaviour)
{
  while (Clock::Now() < aClient->m_options.m_deadline) {
    net::error_code error;
    aClient->m_socket = tcp::socket(aClient->m_context);
    aClient->m_socket.open(aClient->m_options.m_endpoint.protocol(), error);
    if (aBehaviour.m_smallReceiveBuffer) {
      aClient->m_socket.set_option(asio::socket_base::receive_buffer_size(kSmallReceiveBuffer),
                                   error);
    }
    const auto [connectError] =
      co_await aClient->m_socket.async_connect(aClient->m_options.m_endpoint, kAsTuple);
    if (connectError) {
      ++aClient->m_counts.m_refusedConnections;
    } else {
      ++aClient->m_counts.m_connections;
      aClient->m_socket.non_blocking(true, error);
      co_await Sleep(*aClient, aClient->m_options.m_quietMs);
      co_await aBehaviour.m_play(*aClient);
    }
    aClient->m_socket.close(error);
    ++aClient->m_number;
    co_await Sleep(*aClient, kReconnectPauseMs);
  }
}

Awaitable<void>
AnswerOne(std::shared_ptr<Client> aClient, Behaviour aBehaviour)
{
  std::array<char, 4096> bytes{};
  const auto [error, size] =
    co_await aClient->m_socket.async_read_some(asio::buffer(bytes), kAsTuple);
  if (!error) {
    co_await aBehaviour.m_play(*aClient);
  }
}

Awaitable<void>
AcceptLoop(asio::io_context& aContext,
           tcp::acceptor& aAcceptor,
           const CrowdOptions& aOptions,
           CrowdCounts& aCounts,
           Behaviour aBehaviour)
{
  for (;;) {
    auto [error, socket] = co_await aAcceptor.async_accept(kAsTuple);
    if (error) {
      co_return;
    }
    ++aCounts.m_connections;
    auto client = std::make_shared<Client>(aContext, aOptions, aCounts);
    client->m_socket = std::move(socket);
    asio::co_spawn(aContext, AnswerOne(std::move(client), aBehaviour), asio::detached);
  }
}

tcp::endpoint
EndpointOf(const std::string& aAddress)
{
  return Handle([&] { return net::ParseAddress(aAddress); },
                [](const Error&) { return tcp::endpoint(); });
}

} // namespace

int
RunCrowd(const ToolOptions& aOptions)
{
  asio::io_context context(1);
  const Milliseconds lifetimeMs = aOptions.Number("seconds", 5) * 1000;
  const std::string listen = aOptions.Text("listen", "");
  const auto& behaviours = listen.empty() ? ClientBehaviours() : TargetBehaviours();
  const auto behaviour = behaviours.find(aOptions.Text("behaviour", ""));
  if (behaviour == behaviours.end()) {
    fmt::print(stderr, "behaviour: none of this tool's; see the tables in tools/Hostile.cpp\n");
    return 2;
  }
  const CrowdOptions options{ .m_endpoint = EndpointOf(aOptions.Text("to", "127.0.0.1:8080")),
                              .m_method = aOptions.Text("method", "GET"),
                              .m_path = aOptions.Text("path", "/"),
                              .m_bodyBytes =
                                static_cast<std::size_t>(aOptions.Number("body-bytes", 0)),
                              .m_answerFile = aOptions.Text("answer-file", ""),
                              .m_quietMs = aOptions.Number("quiet-ms", 0),
                              .m_deadline = Clock::Now() + lifetimeMs };
  CrowdCounts counts;
  tcp::acceptor acceptor(context);
  if (!listen.empty()) {
    const bool bound = Handle(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(net::OpenAcceptor(acceptor, EndpointOf(listen)));
        return true;
      },
      [](const Error&) { return false; });
    if (!bound) {
      return 3;
    }
    asio::co_spawn(
      context, AcceptLoop(context, acceptor, options, counts, behaviour->second), asio::detached);
  }
  const Milliseconds clients = listen.empty() ? aOptions.Number("clients", 40) : 0;
  for (Milliseconds i = 0; i < clients; ++i) {
    auto client = std::make_shared<Client>(context, options, counts);
    client->m_number = static_cast<std::uint64_t>(i);
    asio::co_spawn(context, RunClient(std::move(client), behaviour->second), asio::detached);
  }
  context.run_for(std::chrono::milliseconds(lifetimeMs));
  fmt::print("connections={} refused={} sent_bytes={} received_bytes={}\n",
             counts.m_connections,
             counts.m_refusedConnections,
             counts.m_bytesSent,
             counts.m_bytesReceived);
  std::fflush(stdout);
  return 0;
}

} // namespace sequoiastep::tools

int
main(int aCount, char** aArguments)
{
  return sequoiastep::tools::RunCrowd(sequoiastep::tools::ToolOptions(aCount, aArguments));
}
