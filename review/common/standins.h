// Stand-ins for the cases of this review: an HTTP client, an upstream, its reports, a proxy and
// helpers that start the project's own programs as processes. POSIX sockets and threads only.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCouldNotRun = 2;

inline std::int64_t
SteadyMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t
UnixMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void
SleepMs(std::int64_t aMs)
{
  if (aMs > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
  }
}

// The record of a case: one line per event, with milliseconds since the start.
class Record
{
public:
  static Record& Get()
  {
    static Record record;
    return record;
  }
  void Open(const std::string& aPath)
  {
    m_file = std::fopen(aPath.c_str(), "w");
    m_start = SteadyMs();
  }
  std::int64_t Now() const { return SteadyMs() - m_start; }
  void Write(const char* aFormat, va_list aArguments)
  {
    const std::lock_guard lock(m_mutex);
    if (m_file == nullptr) {
      return;
    }
    std::fprintf(m_file, "%7lld ", static_cast<long long>(Now()));
    std::vfprintf(m_file, aFormat, aArguments);
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }

private:
  std::mutex m_mutex;
  std::FILE* m_file = nullptr;
  std::int64_t m_start = SteadyMs();
};

[[gnu::format(printf, 1, 2)]] inline void
Note(const char* aFormat, ...)
{
  va_list arguments;
  va_start(arguments, aFormat);
  Record::Get().Write(aFormat, arguments);
  va_end(arguments);
}

struct Address
{
  std::string m_ip = "127.0.0.1";
  int m_port = 0;
  std::string Text() const { return m_ip + ":" + std::to_string(m_port); }
};

inline sockaddr_in
SocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.m_port));
  inet_pton(AF_INET, aAddress.m_ip.c_str(), &address.sin_addr);
  return address;
}

// Opens a listener; returns -1 if the address is in use. aReceiveBuffer and aMaxSegment set the
// sizes that accepted connections inherit, as on a link with small windows; 0 leaves them.
inline int
Listen(Address& aAddress, int aReceiveBuffer = 0, int aMaxSegment = 0)
{
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (aReceiveBuffer > 0) {
    ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
  }
  if (aMaxSegment > 0) {
    ::setsockopt(listener, IPPROTO_TCP, TCP_MAXSEG, &aMaxSegment, sizeof aMaxSegment);
  }
  sockaddr_in address = SocketAddress(aAddress);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(listener, 512) != 0) {
    ::close(listener);
    return -1;
  }
  socklen_t size = sizeof address;
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  aAddress.m_port = ntohs(address.sin_port);
  return listener;
}

// A port that is free now on aIp; no port is returned twice.
inline int
FreePort(const std::string& aIp)
{
  static std::set<int> given;
  for (;;) {
    Address address{ .m_ip = aIp, .m_port = 0 };
    const int listener = Listen(address);
    if (listener >= 0) {
      ::close(listener);
    }
    if (given.insert(address.m_port).second) {
      return address.m_port;
    }
  }
}

// Connects; returns -1 on failure.
inline int
Connect(const Address& aAddress, int aReceiveBuffer = 0, int aMaxSegment = 0)
{
  const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBuffer > 0) {
    ::setsockopt(connection, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
  }
  if (aMaxSegment > 0) {
    ::setsockopt(connection, IPPROTO_TCP, TCP_MAXSEG, &aMaxSegment, sizeof aMaxSegment);
  }
  const int on = 1;
  ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address = SocketAddress(aAddress);
  if (::connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(connection);
    return -1;
  }
  return connection;
}

inline bool
SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t size = ::send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (size < 0 && errno == EINTR) {
      continue;
    }
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

inline std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return aText;
}

// A message with its head parsed; header names are in lower case.
struct Message
{
  std::string m_startLine;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
  std::string Header(const std::string& aName) const
  {
    const auto found = m_headers.find(Lower(aName));
    return found == m_headers.end() ? std::string() : found->second;
  }
};

inline Message
ParseHead(const std::string& aHead)
{
  Message message;
  std::istringstream lines(aHead);
  std::string line;
  std::getline(lines, line);
  message.m_startLine = line.substr(0, line.find('\r'));
  while (std::getline(lines, line)) {
    line = line.substr(0, line.find('\r'));
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t from = line.find_first_not_of(' ', colon + 1);
      message.m_headers[Lower(line.substr(0, colon))] =
        from == std::string::npos ? std::string() : line.substr(from);
    }
  }
  return message;
}

// How a read ended.
enum class ReadEnd
{
  Complete,
  Closed,
  Reset,
  TimedOut,
};

// Reads messages from one connection.
class Reader
{
public:
  explicit Reader(int aSocket, std::function<void(std::size_t)> aOnBytes = {})
    : m_socket(aSocket)
    , m_onBytes(std::move(aOnBytes))
  {
  }

  // Reads one whole message with a Content-Length or in chunks.
  ReadEnd Read(Message& aMessage, std::int64_t aTimeoutMs)
  {
    const std::int64_t deadline = SteadyMs() + aTimeoutMs;
    std::size_t headEnd = 0;
    while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      const ReadEnd end = More(deadline);
      if (end != ReadEnd::Complete) {
        return end;
      }
    }
    aMessage = ParseHead(m_buffer.substr(0, headEnd + 2));
    m_buffer.erase(0, headEnd + 4);
    if (Lower(aMessage.Header("transfer-encoding")) == "chunked") {
      return ReadChunks(aMessage, deadline);
    }
    const std::size_t size = std::strtoull(aMessage.Header("content-length").c_str(), nullptr, 10);
    while (m_buffer.size() < size) {
      const ReadEnd end = More(deadline);
      if (end != ReadEnd::Complete) {
        aMessage.m_body = m_buffer;
        return end;
      }
    }
    aMessage.m_body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return ReadEnd::Complete;
  }

  bool HasBuffered() const { return !m_buffer.empty(); }

private:
  ReadEnd ReadChunks(Message& aMessage, std::int64_t aDeadline)
  {
    for (;;) {
      std::size_t line = 0;
      while ((line = m_buffer.find("\r\n")) == std::string::npos) {
        const ReadEnd end = More(aDeadline);
        if (end != ReadEnd::Complete) {
          return end;
        }
      }
      const std::size_t size = std::strtoull(m_buffer.c_str(), nullptr, 16);
      while (m_buffer.size() < line + 2 + size + 2) {
        const ReadEnd end = More(aDeadline);
        if (end != ReadEnd::Complete) {
          return end;
        }
      }
      aMessage.m_body += m_buffer.substr(line + 2, size);
      m_buffer.erase(0, line + 2 + size + 2);
      if (size == 0) {
        return ReadEnd::Complete;
      }
    }
  }

  ReadEnd More(std::int64_t aDeadline)
  {
    for (;;) {
      pollfd waiting{ .fd = m_socket, .events = POLLIN, .revents = 0 };
      const std::int64_t left = aDeadline - SteadyMs();
      if (left <= 0) {
        return ReadEnd::TimedOut;
      }
      const int ready = ::poll(&waiting, 1, static_cast<int>(left));
      if (ready < 0 && errno == EINTR) {
        continue;
      }
      if (ready == 0) {
        return ReadEnd::TimedOut;
      }
      char bytes[16384];
      const ssize_t size = ::recv(m_socket, bytes, sizeof bytes, 0);
      if (size < 0 && errno == EINTR) {
        continue;
      }
      if (size < 0) {
        return ReadEnd::Reset;
      }
      if (size == 0) {
        return ReadEnd::Closed;
      }
      m_buffer.append(bytes, static_cast<std::size_t>(size));
      if (m_onBytes) {
        m_onBytes(static_cast<std::size_t>(size));
      }
      return ReadEnd::Complete;
    }
  }

  int m_socket;
  std::function<void(std::size_t)> m_onBytes;
  std::string m_buffer;
};

// What a client saw.
struct Answer
{
  // 0 if no complete answer came.
  int m_status = 0;
  Message m_message;
  ReadEnd m_end = ReadEnd::Closed;
  bool m_connected = false;
  bool m_sent = false;
  std::int64_t m_sentAt = 0;
  std::int64_t m_endAt = 0;
  const char* EndName() const
  {
    switch (m_end) {
      case ReadEnd::Complete:
        return "complete";
      case ReadEnd::Closed:
        return m_connected ? "closed without a complete answer" : "no connection";
      case ReadEnd::Reset:
        return "reset without a complete answer";
      case ReadEnd::TimedOut:
        return "no answer in time";
    }
    return "?";
  }
};

inline int
StatusOf(const Message& aMessage)
{
  return aMessage.m_startLine.size() > 12 ? std::atoi(aMessage.m_startLine.c_str() + 9) : 0;
}

// Sends one request on an open connection and reads its answer.
inline Answer
Exchange(int aSocket, Reader& aReader, const std::string& aText, std::int64_t aTimeoutMs)
{
  Answer answer;
  answer.m_connected = true;
  answer.m_sent = SendAll(aSocket, aText);
  answer.m_sentAt = Record::Get().Now();
  answer.m_end = answer.m_sent ? aReader.Read(answer.m_message, aTimeoutMs) : ReadEnd::Closed;
  answer.m_endAt = Record::Get().Now();
  if (answer.m_end == ReadEnd::Complete) {
    answer.m_status = StatusOf(answer.m_message);
  }
  return answer;
}

// Sends one request on a new connection.
inline Answer
Call(const Address& aTo, const std::string& aText, std::int64_t aTimeoutMs)
{
  const int connection = Connect(aTo);
  if (connection < 0) {
    Answer none;
    none.m_sentAt = none.m_endAt = Record::Get().Now();
    return none;
  }
  Reader reader(connection);
  Answer answer = Exchange(connection, reader, aText, aTimeoutMs);
  ::close(connection);
  return answer;
}

inline std::string
NewId()
{
  static std::mutex mutex;
  static std::mt19937_64 random{ std::random_device{}() };
  const std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

inline std::string
RequestText(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aHost,
            const std::string& aId,
            std::int64_t aDeadlineMs,
            const std::string& aBody = {},
            const std::string& aMore = {})
{
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost +
                     "\r\nSequoiastep-Request-Id: " + aId +
                     "\r\nSequoiastep-Deadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n" + aMore;
  if (aMethod != "GET" || !aBody.empty()) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

inline std::string
JsonPost(const std::string& aPath, const std::string& aBody)
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\nConnection: close\r\n\r\n" + aBody;
}

// One request as an upstream saw it.
struct Run
{
  std::string m_id;
  std::string m_method;
  std::string m_path;
  std::string m_callerService;
  std::int64_t m_arrivedAt = 0;
  // -1 if it did not run.
  std::int64_t m_startedAt = -1;
  std::int64_t m_endedAt = -1;
  // 0 if its connection ended first.
  int m_status = 0;
};

struct UpstreamOptions
{
  std::string m_service;
  std::string m_zone = "hobart-a";
  std::string m_id;
  int m_capacity = 6;
  std::function<int(const std::string&)> m_workMs = [](const std::string&) { return 20; };
  std::function<std::size_t(const std::string&)> m_bytes = [](const std::string&) { return 200; };
};

// An upstream as the pages describe it: slots and a queue, identity, health, deadline, signature;
// drops a request when its connection closes.
class Upstream
{
public:
  explicit Upstream(UpstreamOptions aOptions, const std::string& aIp)
    : m_options(std::move(aOptions))
    , m_born(UnixMs())
  {
    m_address.m_ip = aIp;
    m_listener = Listen(m_address);
    m_accepting = std::thread([this] { AcceptLoop(); });
  }
  ~Upstream()
  {
    Stop();
    if (m_accepting.joinable()) {
      m_accepting.join();
    }
    while (m_connections.load() > 0) {
      SleepMs(5);
    }
  }

  const Address& At() const { return m_address; }
  const std::string& Id() const { return m_options.m_id; }
  std::int64_t Born() const { return m_born; }
  const std::string& Service() const { return m_options.m_service; }
  void Leave() { m_leaving = true; }
  bool HasLeft() const { return m_leaving; }
  int HealthChecks() const { return m_healthChecks; }

  // Ends as a process does: the listener and all connections close.
  void Stop()
  {
    m_stopped = true;
    const std::lock_guard lock(m_mutex);
    if (m_listener >= 0) {
      ::shutdown(m_listener, SHUT_RDWR);
      ::close(m_listener);
      m_listener = -1;
    }
    for (const int connection : m_open) {
      ::shutdown(connection, SHUT_RDWR);
    }
    m_slotFree.notify_all();
  }

  std::vector<Run> Runs()
  {
    const std::lock_guard lock(m_mutex);
    return { m_runs.begin(), m_runs.end() };
  }

  // The body of a heartbeat that is sent now.
  std::string Heartbeat(bool aDraining)
  {
    char text[512];
    std::snprintf(
      text,
      sizeof text,
      "{\"address\":\"%s\",\"born\":%lld,\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":"
      "\"%s\","
      "\"capacity\":%d},\"status\":{\"state\":\"%s\",\"sequence\":%d,\"warmup_left_ms\":0}}",
      m_address.Text().c_str(),
      static_cast<long long>(m_born),
      m_options.m_service.c_str(),
      m_options.m_zone.c_str(),
      m_options.m_capacity,
      aDraining ? "draining" : "ready",
      ++m_sequence);
    return text;
  }
  std::string HeartbeatPath() const { return "/-/instances/" + m_options.m_id + "/heartbeat"; }
  std::string DeregisterPath() const { return "/-/instances/" + m_options.m_id + "/deregister"; }
  std::string BornBody() const { return "{\"born\":" + std::to_string(m_born) + "}"; }

private:
  void AcceptLoop()
  {
    while (!m_stopped) {
      const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        if (m_stopped) {
          return;
        }
        SleepMs(5);
        continue;
      }
      const int on = 1;
      ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard lock(m_mutex);
        m_open.push_back(connection);
      }
      ++m_connections;
      std::thread([this, connection] {
        Serve(connection);
        {
          const std::lock_guard lock(m_mutex);
          std::erase(m_open, connection);
          ::close(connection);
        }
        --m_connections;
      }).detach();
    }
  }

  void Serve(int aSocket)
  {
    constexpr std::int64_t kIdleCloseMs = 10'000;
    Reader reader(aSocket);
    while (!m_stopped) {
      Message request;
      if (reader.Read(request, kIdleCloseMs) != ReadEnd::Complete) {
        return;
      }
      if (!Respond(aSocket, request)) {
        return;
      }
    }
  }

  bool Send(int aSocket,
            const std::string& aStatus,
            const std::string& aHeaders,
            const std::string& aBody)
  {
    const bool closing = m_leaving;
    std::string text = "HTTP/1.1 " + aStatus + "\r\n" + aHeaders +
                       "Content-Length: " + std::to_string(aBody.size()) + "\r\n" +
                       (closing ? "Connection: close\r\n\r\n" : "Keep-Alive: timeout=10\r\n\r\n") +
                       aBody;
    return SendAll(aSocket, text) && !closing;
  }

  // True if the peer closed its connection.
  static bool PeerLeft(int aSocket)
  {
    pollfd waiting{ .fd = aSocket, .events = POLLIN | POLLRDHUP, .revents = 0 };
    return ::poll(&waiting, 1, 0) > 0 && (waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  bool Respond(int aSocket, const Message& aRequest)
  {
    std::istringstream line(aRequest.m_startLine);
    std::string method;
    std::string path;
    line >> method >> path;
    const std::string instance = "Sequoiastep-Instance-Id: " + m_options.m_id + "\r\n";
    if (path == "/health") {
      ++m_healthChecks;
      Note("upstream %s: health check, answers %d", m_options.m_id.c_str(), m_leaving ? 503 : 200);
      return Send(aSocket, m_leaving ? "503 Service Unavailable" : "200 OK", instance, "");
    }
    const std::string id = aRequest.Header("Sequoiastep-Request-Id");
    const std::string echo = "Sequoiastep-Request-Id: " + id + "\r\n";
    const std::string notRun = "Sequoiastep-Not-Executed: 1\r\n";
    if (id.empty()) {
      return Send(aSocket, "400 Bad Request", notRun, "");
    }
    const std::string expected = aRequest.Header("Sequoiastep-Target-Instance");
    if (!expected.empty() && expected != m_options.m_id) {
      return Send(aSocket, "421 Misdirected Request", echo + instance + notRun, "");
    }
    const std::int64_t deadlineMs = std::atoll(aRequest.Header("Sequoiastep-Deadline-Ms").c_str());
    const std::int64_t deadline = SteadyMs() + (deadlineMs > 0 ? deadlineMs : 60'000);
    std::size_t index = 0;
    {
      std::unique_lock lock(m_mutex);
      index = m_runs.size();
      m_runs.push_back({ .m_id = id,
                         .m_method = method,
                         .m_path = path,
                         .m_callerService = aRequest.Header("Sequoiastep-Caller-Service"),
                         .m_arrivedAt = Record::Get().Now() });
      const std::uint64_t ticket = m_nextTicket++;
      m_queue.push_back(ticket);
      while (!m_stopped && (m_busy >= m_options.m_capacity || m_queue.front() != ticket) &&
             SteadyMs() < deadline) {
        m_slotFree.wait_for(lock, std::chrono::milliseconds(10));
      }
      const bool admitted = !m_stopped && m_busy < m_options.m_capacity &&
                            m_queue.front() == ticket && SteadyMs() < deadline;
      std::erase(m_queue, ticket);
      if (!admitted) {
        m_slotFree.notify_all();
        lock.unlock();
        return !m_stopped && Send(aSocket, "503 Service Unavailable", echo + notRun, "");
      }
      ++m_busy;
      m_runs[index].m_startedAt = Record::Get().Now();
    }
    const std::int64_t end = SteadyMs() + m_options.m_workMs(path);
    bool left = false;
    while (!m_stopped && !left && SteadyMs() < std::min(end, deadline)) {
      SleepMs(std::min<std::int64_t>(5, std::min(end, deadline) - SteadyMs()));
      left = PeerLeft(aSocket);
    }
    const bool late = SteadyMs() >= deadline && end > deadline;
    const int status = m_stopped || left ? 0 : (late ? 504 : 200);
    {
      const std::lock_guard lock(m_mutex);
      --m_busy;
      m_runs[index].m_endedAt = Record::Get().Now();
      m_runs[index].m_status = status;
      m_slotFree.notify_all();
    }
    if (status == 0) {
      return false;
    }
    const std::string signature =
      "Sequoiastep-Response-Signature: " + m_options.m_id + "." + id + "\r\n";
    return Send(aSocket,
                status == 200 ? "200 OK" : "504 Gateway Timeout",
                echo + signature,
                status == 200 ? Body(path, id) : std::string());
  }

public:
  // The body that a request gets.
  std::string Body(const std::string& aPath, const std::string& aId) const
  {
    std::string body = m_options.m_service + " " + aPath + " " + aId + " ";
    const std::size_t size = m_options.m_bytes(aPath);
    while (body.size() < size) {
      body += static_cast<char>('a' + body.size() % 23);
    }
    return body;
  }

private:
  UpstreamOptions m_options;
  std::int64_t m_born;
  Address m_address;
  int m_listener = -1;
  std::thread m_accepting;
  std::atomic<bool> m_stopped{ false };
  std::atomic<bool> m_leaving{ false };
  std::atomic<int> m_connections{ 0 };
  std::atomic<int> m_healthChecks{ 0 };
  std::atomic<int> m_sequence{ 0 };
  std::mutex m_mutex;
  std::condition_variable m_slotFree;
  std::deque<std::uint64_t> m_queue;
  std::uint64_t m_nextTicket = 0;
  int m_busy = 0;
  std::deque<Run> m_runs;
  std::vector<int> m_open;
};

// A child process whose output goes to a file.
class Process
{
public:
  Process(std::vector<std::string> aCommand, const std::string& aLog)
  {
    m_pid = ::fork();
    if (m_pid == 0) {
      const int log = ::open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      std::vector<char*> words;
      for (std::string& word : aCommand) {
        words.push_back(word.data());
      }
      words.push_back(nullptr);
      ::execv(words[0], words.data());
      ::_exit(127);
    }
  }
  ~Process() { End(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Pid() const { return m_pid; }
  void Signal(int aSignal) const
  {
    if (m_pid > 0) {
      ::kill(m_pid, aSignal);
    }
  }
  // The wait status if the process ended within aMs.
  std::optional<int> Wait(std::int64_t aMs)
  {
    if (m_pid <= 0) {
      return m_status;
    }
    const std::int64_t deadline = SteadyMs() + aMs;
    do {
      int status = 0;
      if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = -1;
        m_status = status;
        return status;
      }
      SleepMs(2);
    } while (SteadyMs() < deadline);
    return std::nullopt;
  }
  void End()
  {
    if (m_pid > 0) {
      ::kill(m_pid, SIGCONT);
      ::kill(m_pid, SIGKILL);
      Wait(5000);
    }
  }

private:
  pid_t m_pid = -1;
  std::optional<int> m_status;
};

inline std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Figures of a deployment that the settings template asks for.
struct Deployment
{
  std::string m_linkMbps = "1000.0";
  std::string m_memoryMb = "260";
  std::string m_budgetExtra = "60";
};

// A machine of the mesh: an upstream and the node beside it, on an address of their own.
struct Machine
{
  std::string m_name;
  std::string m_region = "hobart";
  std::string m_zone = "hobart-a";
  std::string m_ip;
  Address m_outbound;
  Address m_ready;
  Address m_control;
  int m_peerPort = 0;
  std::unique_ptr<Upstream> m_upstream;
  std::unique_ptr<Process> m_node;
  std::string m_settingsPath;
};

// The programs of the project: the platform's store stand-in and the nodes, in a temporary folder.
class Mesh
{
public:
  explicit Mesh(Deployment aDeployment = {})
    : m_deployment(std::move(aDeployment))
  {
    char folder[] = "/tmp/review-XXXXXX";
    m_folder = ::mkdtemp(folder);
    std::random_device random;
    m_net =
      "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
    m_store = { .m_ip = m_net + "250", .m_port = FreePort(m_net + "250") };
    m_storeProcess = std::make_unique<Process>(
      std::vector<std::string>{ "target/standinlog", "listen=" + m_store.Text() },
      m_folder + "/store.log");
  }
  ~Mesh()
  {
    for (auto& machine : m_machines) {
      machine->m_node.reset();
    }
    m_storeProcess.reset();
    m_reporting = false;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_machines.clear();
    std::system(("rm -rf '" + m_folder + "'").c_str());
  }

  // Adds a machine with an upstream and starts its node.
  Machine& Add(const std::string& aName,
               UpstreamOptions aUpstream,
               const std::string& aRegion = "hobart")
  {
    auto machine = std::make_unique<Machine>();
    machine->m_name = aName;
    machine->m_region = aRegion;
    machine->m_zone = aUpstream.m_zone;
    machine->m_ip = m_net + std::to_string(m_machines.size() + 1);
    // It takes its port first, so that it gets none of those that are given out.
    machine->m_upstream = std::make_unique<Upstream>(std::move(aUpstream), machine->m_ip);
    machine->m_outbound = { .m_ip = machine->m_ip, .m_port = FreePort(machine->m_ip) };
    machine->m_ready = { .m_ip = machine->m_ip, .m_port = FreePort(machine->m_ip) };
    machine->m_control = { .m_ip = machine->m_ip, .m_port = FreePort(machine->m_ip) };
    machine->m_peerPort = FreePort(machine->m_ip);
    m_machines.push_back(std::move(machine));
    Machine& added = *m_machines.back();
    WriteSettings(added);
    StartNode(added);
    return added;
  }

  // Starts the node with the command of the deploy file.
  void StartNode(Machine& aMachine)
  {
    aMachine.m_node = std::make_unique<Process>(
      std::vector<std::string>{
        "target/sequoiastep", "node", "--settings", aMachine.m_settingsPath },
      m_folder + "/" + aMachine.m_name + ".log");
    Note("node %s started", aMachine.m_name.c_str());
  }

  // Kills the node and starts it again after a short delay.
  void Restart(Machine& aMachine)
  {
    constexpr std::int64_t kRestartDelayMs = 200;
    aMachine.m_node->Signal(SIGKILL);
    aMachine.m_node->Wait(5000);
    Note("node %s killed", aMachine.m_name.c_str());
    SleepMs(kRestartDelayMs);
    StartNode(aMachine);
  }

  std::string LogOf(const Machine& aMachine) const
  {
    return ReadFile(m_folder + "/" + aMachine.m_name + ".log");
  }

  // The operator writes a configuration; true if the store acknowledged it.
  bool WriteConfig(const std::string& aJson)
  {
    std::string record(1, static_cast<char>(6));
    record += "config" + aJson;
    std::string body;
    for (int shift = 24; shift >= 0; shift -= 8) {
      body += static_cast<char>(record.size() >> shift & 0xffU);
    }
    body += record;
    const std::string text = "POST /admin/v1/append?topic=keyed.op&part=0 HTTP/1.1\r\nHost: "
                             "store\r\nConnection: close\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body;
    for (int attempt = 0; attempt < 100; ++attempt) {
      if (Call(m_store, text, 1000).m_status == 200) {
        Note("operator: configuration acknowledged: %s", aJson.c_str());
        return true;
      }
      SleepMs(50);
    }
    return false;
  }

  // One heartbeat of the upstream, sent now.
  static bool SendHeartbeat(const Machine& aMachine, const std::string& aBody)
  {
    return Call(aMachine.m_control, JsonPost(aMachine.m_upstream->HeartbeatPath(), aBody), 1000)
             .m_status == 200;
  }

  // Reports the upstream's state every aIntervalMs until it leaves.
  void Report(Machine& aMachine, std::int64_t aIntervalMs = 1500)
  {
    m_threads.emplace_back([this, &aMachine, aIntervalMs] {
      while (m_reporting && !aMachine.m_upstream->HasLeft()) {
        SendHeartbeat(aMachine, aMachine.m_upstream->Heartbeat(false));
        for (std::int64_t waited = 0;
             waited < aIntervalMs && m_reporting && !aMachine.m_upstream->HasLeft();
             waited += 10) {
          SleepMs(10);
        }
      }
    });
  }

  static bool IsReady(const Machine& aMachine)
  {
    return Call(aMachine.m_ready,
                "GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
                1000)
             .m_status == 200;
  }

  // Waits until all nodes are ready and each knows aMembers members that are up, aServices of them
  // with a service.
  bool WaitUntilFormed(std::size_t aMembers, std::int64_t aMs = 20'000)
  {
    const std::int64_t deadline = SteadyMs() + aMs;
    while (SteadyMs() < deadline) {
      bool formed = true;
      for (const auto& machine : m_machines) {
        formed = formed && IsReady(*machine) && CountUp(*machine) >= aMembers;
      }
      if (formed) {
        return true;
      }
      SleepMs(50);
    }
    return false;
  }

  // Members with a service that the node sees as up.
  static std::size_t CountUp(const Machine& aMachine)
  {
    const Answer answer =
      Call(aMachine.m_ready,
           "GET /admin/v1/members HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
           1000);
    std::size_t count = 0;
    std::size_t at = 0;
    const std::string& body = answer.m_message.m_body;
    while ((at = body.find("{\"node\":", at)) != std::string::npos) {
      const std::string entry = body.substr(at, body.find('}', at) - at);
      count += entry.find("\"state\":\"up\"") != std::string::npos &&
                   entry.find("\"service\":\"\"") == std::string::npos
                 ? 1
                 : 0;
      ++at;
    }
    return count;
  }

  const std::string& Net() const { return m_net; }

private:
  void WriteSettings(Machine& aMachine)
  {
    std::string text = ReadFile("platform/settings.json.tpl");
    const std::map<std::string, std::string> fields{
      { "node_name", aMachine.m_name },
      { "region", aMachine.m_region },
      { "zone", aMachine.m_zone },
      { "listen.outbound", aMachine.m_outbound.Text() },
      { "listen.control", aMachine.m_control.Text() },
      { "listen.ready", aMachine.m_ready.Text() },
      { "service", aMachine.m_upstream->Service() },
      { "app_addr", aMachine.m_upstream->At().Text() },
      { "ip", aMachine.m_ip },
      { "internal_ports.0", std::to_string(aMachine.m_peerPort) },
      { "limits.link_mbps", m_deployment.m_linkMbps },
      { "limits.memory_mb", m_deployment.m_memoryMb },
      { "platform.address", m_store.Text() },
      { "contract_params.budget_ratio", "0.2" },
      { "contract_params.budget_extra", m_deployment.m_budgetExtra },
      { "contract_params.budget_window_s", "10" },
      { "contract_params.grace_s", "6" },
    };
    for (const auto& [name, value] : fields) {
      const std::string placeholder = "{{" + name + "}}";
      std::size_t at = 0;
      while ((at = text.find(placeholder, at)) != std::string::npos) {
        text.replace(at, placeholder.size(), value);
      }
    }
    aMachine.m_settingsPath = m_folder + "/" + aMachine.m_name + ".json";
    std::ofstream(aMachine.m_settingsPath) << text;
  }

  Deployment m_deployment;
  std::string m_folder;
  std::string m_net;
  Address m_store;
  std::unique_ptr<Process> m_storeProcess;
  std::vector<std::unique_ptr<Machine>> m_machines;
  std::vector<std::thread> m_threads;
  std::atomic<bool> m_reporting{ true };
};

struct RouteOptions
{
  std::string m_name;
  std::string m_prefix;
  std::string m_kind;
  std::string m_service;
  int m_timeoutMs = 4000;
  int m_targetLatencyMs = 2000;
  int m_priority = 2;
};

constexpr const char* kHost = "jepu9.example";

// The operator's record with the given routes and services.
inline std::string
ConfigText(int aVersion,
           const std::vector<RouteOptions>& aRoutes,
           const std::vector<std::string>& aServices)
{
  std::string text =
    "{\"version\":\"r" + std::to_string(aVersion) + "\",\"base_version\":\"r0\",\"resources\":[";
  for (const RouteOptions& route : aRoutes) {
    text += "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"" + route.m_name +
            "\"},\"spec\":{\"host\":\"" + kHost + "\",\"path_prefix\":\"" + route.m_prefix +
            "\",\"kind\":\"" + route.m_kind +
            "\",\"timeout_ms\":" + std::to_string(route.m_timeoutMs) +
            ",\"target_latency_ms\":" + std::to_string(route.m_targetLatencyMs) +
            ",\"priority\":" + std::to_string(route.m_priority) + ",\"service\":\"" +
            route.m_service + "\",\"max_attempts\":2}},";
  }
  for (const std::string& service : aServices) {
    text += "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"" + service +
            "\"},\"spec\":{\"health_path\":\"/"
            "health\",\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}},";
  }
  return text + "{\"resource_kind\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":"
                "16384,\"max_body_bytes\":"
                "67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}]}";
}

// Whether this run has its disruption.
inline bool
WithTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// Opens the record and ignores SIGPIPE. Call first in main, from the repository's root.
inline void
Begin(const std::string& aRecordPath)
{
  std::signal(SIGPIPE, SIG_IGN);
  Record::Get().Open(aRecordPath);
  Note("%s", WithTrouble() ? "run with the disruption" : "run without the disruption (TROUBLE=0)");
}

inline int
Finish(int aResult, const std::string& aText)
{
  Note("result %d: %s", aResult, aText.c_str());
  std::printf("%s\n", aText.c_str());
  return aResult;
}

} // namespace review
