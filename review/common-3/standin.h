// Helpers of the third review's scripts: HTTP/1.1 over blocking sockets, a stand-in for the
// platform's store, and nodes as child processes. Everything listens on 127.0.0.1.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;

inline Clock::time_point gStart = Clock::now();

inline long
Ms()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - gStart).count();
}

inline void
Sleep(long aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

// ---- record

inline std::FILE* gRecord = nullptr;
inline std::mutex gRecordMutex;

[[gnu::format(printf, 1, 2)]] inline void
Record(const char* aFormat, ...)
{
  const std::lock_guard lock(gRecordMutex);
  std::va_list arguments;
  va_start(arguments, aFormat);
  std::fprintf(gRecord, "%8.3f ", static_cast<double>(Ms()) / 1000);
  std::vfprintf(gRecord, aFormat, arguments);
  std::fputc('\n', gRecord);
  std::fflush(gRecord);
  va_end(arguments);
}

// ---- sockets

inline sockaddr_in
Address(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int
Listen(int aPort, int aReceiveBytes = 0)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (aReceiveBytes > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof aReceiveBytes);
  }
  const sockaddr_in address = Address(aPort);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 256) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

// A free port below the range of ephemeral ports. Ports are not given out twice.
inline int
FreePort()
{
  static std::mt19937 random(std::random_device{}());
  static std::set<int> given;
  for (;;) {
    const int port = 15000 + static_cast<int>(random() % 16000);
    const int fd = given.contains(port) ? -1 : Listen(port);
    if (fd >= 0) {
      ::close(fd);
      given.insert(port);
      return port;
    }
  }
}

inline void
SetTimeout(int aFd, long aMs)
{
  timeval time{ .tv_sec = aMs / 1000, .tv_usec = aMs % 1000 * 1000 };
  ::setsockopt(aFd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
  ::setsockopt(aFd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
}

inline int
Connect(int aPort, long aTimeoutMs)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SetTimeout(fd, aTimeoutMs);
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  const sockaddr_in address = Address(aPort);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline bool
WriteAll(int aFd, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t size = ::send(aFd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

// ---- HTTP

struct Message
{
  std::string m_first;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  /// False if the connection ended or timed out before the message was complete.
  bool m_complete = false;

  std::string Header(std::string_view aName) const
  {
    for (const auto& [name, value] : m_headers) {
      if (name.size() == aName.size() &&
          ::strncasecmp(name.data(), aName.data(), name.size()) == 0) {
        return value;
      }
    }
    return {};
  }
  std::string Method() const { return m_first.substr(0, m_first.find(' ')); }
  std::string Target() const
  {
    const std::size_t at = m_first.find(' ');
    return m_first.substr(at + 1, m_first.rfind(' ') - at - 1);
  }
  int Status() const { return m_first.size() > 9 ? std::atoi(m_first.c_str() + 9) : 0; }
};

// A connection and the bytes read ahead.
struct Stream
{
  int m_fd = -1;
  std::string m_buffer{};

  bool Fill()
  {
    char bytes[65536];
    const ssize_t size = ::recv(m_fd, bytes, sizeof bytes, 0);
    if (size <= 0) {
      return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }
  bool ReadLine(std::string& aLine)
  {
    std::size_t end;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
      if (!Fill()) {
        return false;
      }
    }
    aLine = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
  }
  bool ReadBytes(std::string& aBytes, std::size_t aSize)
  {
    while (m_buffer.size() < aSize) {
      if (!Fill()) {
        return false;
      }
    }
    aBytes.append(m_buffer, 0, aSize);
    m_buffer.erase(0, aSize);
    return true;
  }
  // Reads the first line and the headers.
  bool ReadHead(Message& aMessage)
  {
    if (!ReadLine(aMessage.m_first)) {
      return false;
    }
    for (std::string line; ReadLine(line);) {
      if (line.empty()) {
        return true;
      }
      const std::size_t colon = line.find(':');
      const std::size_t value =
        colon == std::string::npos ? colon : line.find_first_not_of(' ', colon + 1);
      aMessage.m_headers.emplace_back(line.substr(0, colon),
                                      value == std::string::npos ? "" : line.substr(value));
    }
    return false;
  }
  // Reads a body with a length, in chunks, or (of an answer) up to the end of the connection.
  bool ReadBody(Message& aMessage, bool aAnswer)
  {
    const std::string length = aMessage.Header("Content-Length");
    if (!length.empty()) {
      return ReadBytes(aMessage.m_body, std::stoul(length));
    }
    if (!aMessage.Header("Transfer-Encoding").empty()) {
      for (std::string line; ReadLine(line);) {
        const std::size_t size = std::stoul(line, nullptr, 16);
        std::string end;
        if (!ReadBytes(aMessage.m_body, size) || !ReadBytes(end, 2)) {
          return false;
        }
        if (size == 0) {
          return true;
        }
      }
      return false;
    }
    while (aAnswer && Fill()) {
    }
    std::swap(aMessage.m_body, aAnswer ? m_buffer : aMessage.m_body);
    return true;
  }
  Message Read(bool aAnswer)
  {
    Message message;
    message.m_complete = ReadHead(message) && ReadBody(message, aAnswer);
    return message;
  }
};

inline std::string
Answer(int aStatus, std::string_view aHeaders, std::string_view aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + std::string(aHeaders) +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + std::string(aBody);
}

// Sends one request on a new connection. The answer has status 0 if there is none.
inline Message
Send(int aPort,
     std::string_view aMethod,
     std::string_view aTarget,
     std::string_view aHeaders,
     std::string_view aBody,
     long aTimeoutMs)
{
  Message answer;
  Stream stream{ .m_fd = Connect(aPort, aTimeoutMs) };
  if (stream.m_fd < 0) {
    return answer;
  }
  std::string request =
    std::string(aMethod) + " " + std::string(aTarget) + " HTTP/1.1\r\n" + std::string(aHeaders);
  request += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  request += aBody;
  if (WriteAll(stream.m_fd, request)) {
    answer = stream.Read(true);
  }
  ::close(stream.m_fd);
  return answer;
}

// Accepts connections on a port for as long as the process runs; one thread for each.
inline bool
Serve(int aPort, std::function<void(int)> aConnection, int aReceiveBytes = 0)
{
  const int listener = Listen(aPort, aReceiveBytes);
  if (listener < 0) {
    return false;
  }
  std::thread([listener, aConnection] {
    for (;;) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      std::thread([fd, aConnection] {
        aConnection(fd);
        ::close(fd);
      }).detach();
    }
  }).detach();
  return true;
}

// ---- the platform's store: append, read and newest, one partition for each topic

class Store
{
public:
  bool Start(int aPort)
  {
    return Serve(aPort, [this](int aFd) {
      Stream stream{ .m_fd = aFd };
      for (;;) {
        const Message request = stream.Read(false);
        if (!request.m_complete || !WriteAll(aFd, Handle(request))) {
          return;
        }
      }
    });
  }

  // The operator's write.
  void Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
  {
    Append(aTopic, { std::string(1, static_cast<char>(aKey.size())) + aKey + aValue });
  }

private:
  static std::string Number(std::uint64_t aNumber, int aBytes)
  {
    std::string text;
    for (int i = aBytes; i-- > 0;) {
      text += static_cast<char>(aNumber >> (8 * i) & 0xff);
    }
    return text;
  }

  static std::string Base64(std::string_view aBytes)
  {
    static const char* kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < aBytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        group =
          group << 8 | (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j]) : 0);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        text += i + j > aBytes.size() ? '=' : kLetters[group >> (18 - 6 * j) & 63];
      }
    }
    return text;
  }

  static std::string Query(const std::string& aTarget, const std::string& aKey)
  {
    std::size_t at = aTarget.find('?');
    while (at != std::string::npos) {
      const std::size_t end = aTarget.find('&', at + 1);
      const std::string pair =
        aTarget.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (pair.starts_with(aKey + "=")) {
        return pair.substr(aKey.size() + 1);
      }
      at = end;
    }
    return {};
  }

  std::uint64_t Append(const std::string& aTopic, const std::vector<std::string>& aRecords)
  {
    const std::lock_guard lock(m_mutex);
    auto& topic = m_topics[aTopic];
    const std::uint64_t first = topic.size();
    topic.insert(topic.end(), aRecords.begin(), aRecords.end());
    m_changed.notify_all();
    return first;
  }

  std::string Handle(const Message& aRequest)
  {
    const std::string target = aRequest.Target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string topic = Query(target, "topic");
    if (path == "/-/log-append") {
      std::vector<std::string> records;
      for (std::string_view left = aRequest.m_body; left.size() >= 4;) {
        std::size_t size = 0;
        for (int i = 0; i < 4; ++i) {
          size = size << 8 | static_cast<unsigned char>(left[static_cast<std::size_t>(i)]);
        }
        records.emplace_back(left.substr(4, size));
        left.remove_prefix(std::min(left.size(), 4 + size));
      }
      const std::uint64_t offset = Append(topic, records);
      return Json("{\"offset\":" + std::to_string(offset) +
                  ",\"end\":" + std::to_string(offset + records.size()) + "}");
    }
    if (path == "/-/log-read") {
      return Read(topic, Query(target, "from"), Query(target, "wait_ms"));
    }
    if (path == "/-/log-newest") {
      return Newest(topic);
    }
    return Answer(404, "", "");
  }

  static std::string Json(const std::string& aBody)
  {
    return Answer(200, "Content-Type: application/json\r\n", aBody);
  }

  std::string Read(const std::string& aTopic, const std::string& aFrom, const std::string& aWait)
  {
    const std::uint64_t from = aFrom.empty() ? 0 : std::stoull(aFrom);
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::milliseconds(aWait.empty() ? 0 : std::stoll(aWait)), [&] {
      return m_topics[aTopic].size() > from;
    });
    const auto& topic = m_topics[aTopic];
    std::string body = Number(topic.size(), 8) + Number(0, 8);
    for (std::uint64_t i = from; i < topic.size(); ++i) {
      body += Number(topic[i].size(), 4) + topic[i];
    }
    return Answer(200, "Content-Type: application/octet-stream\r\n", body);
  }

  std::string Newest(const std::string& aTopic)
  {
    const std::lock_guard lock(m_mutex);
    const auto& topic = m_topics[aTopic];
    std::map<std::string, std::pair<std::string, std::size_t>> newest;
    for (std::size_t i = 0; i < topic.size(); ++i) {
      const auto size = static_cast<unsigned char>(topic[i][0]);
      newest[topic[i].substr(1, size)] = { topic[i].substr(1 + size), i };
    }
    std::string items;
    for (const auto& [key, value] : newest) {
      items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\"" +
               Base64(value.first) + "\",\"offset\":" + std::to_string(value.second) + "}";
    }
    return Json("{\"items\":[" + items +
                "],\"has_more\":false,\"end\":" + std::to_string(topic.size()) + "}");
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::vector<std::string>> m_topics;
};

// ---- nodes

struct Node
{
  std::string m_name;
  std::string m_zone;
  std::string m_service;
  int m_outbound = FreePort();
  int m_control = FreePort();
  int m_ready = FreePort();
  int m_peer = FreePort();
  int m_metrics = FreePort();
  int m_app = FreePort();
  pid_t m_pid = -1;
};

// Settings as the template of the deploy file makes them for the deployment `dcsw-mesh`.
inline std::string
SettingsOf(const Node& aNode, int aStore, const std::string& aExtra)
{
  const auto at = [](int aPort) { return "\"127.0.0.1:" + std::to_string(aPort) + "\""; };
  return "{\"mesh\":\"mesh\",\"node\":\"" + aNode.m_name +
         "\",\"region\":\"hobart\",\"failure_domain\":\"" + aNode.m_zone +
         "\",\"caller\":{\"listen\":" + at(aNode.m_outbound) +
         "},\"target\":{\"listen\":" + at(aNode.m_control) + ",\"service\":\"" + aNode.m_service +
         "\",\"address\":" + at(aNode.m_app) + "},\"admin\":{\"listen\":" + at(aNode.m_ready) +
         "},\"metrics\":{\"listen\":" + at(aNode.m_metrics) +
         "},\"peer\":{\"listen\":" + at(aNode.m_peer) +
         ",\"link_mbps\":1000.0},\"limits\":{\"memory_mb\":260},\"platform\":{\"log\":" +
         at(aStore) +
         ",\"operator_record\":true},\"retries\":{\"ratio\":0.2,\"extra\":60,\"window_ms\":10000}"
         "," +
         aExtra +
         "\"timings\":{\"join_wait_ms\":400,\"heartbeat_ms\":1000,\"log_timeout_ms\":1000,\"drain_"
         "after_ms\":2300,"
         "\"drain_notice_ms\":300,\"caller_notice_ms\":2600,\"drain_ms\":6000}}";
}

inline void
StartNode(Node& aNode, const std::string& aDirectory, int aStore, const std::string& aExtra = {})
{
  const std::string settings = aDirectory + "/" + aNode.m_name + ".json";
  std::FILE* file = std::fopen(settings.c_str(), "w");
  std::fputs(SettingsOf(aNode, aStore, aExtra).c_str(), file);
  std::fclose(file);
  const std::string log = aDirectory + "/" + aNode.m_name + ".log";
  aNode.m_pid = ::fork();
  if (aNode.m_pid == 0) {
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::execl("target/sequoiastep",
            "sequoiastep",
            "node",
            "--settings",
            settings.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  Record("node %s started, pid %d", aNode.m_name.c_str(), static_cast<int>(aNode.m_pid));
}

inline bool
IsReady(const Node& aNode)
{
  return Send(aNode.m_ready, "GET", "/-/ready", "Host: x\r\n", "", 500).Status() == 200;
}

inline bool
WaitUntil(long aMs, const std::function<bool()>& aDone)
{
  for (const long end = Ms() + aMs; Ms() < end; Sleep(20)) {
    if (aDone()) {
      return true;
    }
  }
  return false;
}

// Ends a node that this process started.
inline void
EndNode(Node& aNode)
{
  if (aNode.m_pid <= 0) {
    return;
  }
  ::kill(aNode.m_pid, SIGCONT);
  ::kill(aNode.m_pid, SIGTERM);
  if (!WaitUntil(8000, [&] { return ::waitpid(aNode.m_pid, nullptr, WNOHANG) == aNode.m_pid; })) {
    ::kill(aNode.m_pid, SIGKILL);
    ::waitpid(aNode.m_pid, nullptr, 0);
  }
  aNode.m_pid = -1;
}

// A heartbeat or another report of an upstream to the node beside it. Returns the status.
inline int
Report(const Node& aNode, const std::string& aId, const char* aCall, const std::string& aBody)
{
  const std::string path = "/-/instances/" + aId + "/" + aCall;
  return Send(aNode.m_control,
              "POST",
              path,
              "Host: x\r\nContent-Type: application/json\r\n",
              aBody,
              1000)
    .Status();
}

inline std::string
Beat(const Node& aNode, const std::string& aService, long aBorn, const char* aState, int aSequence)
{
  return "{\"address\":\"127.0.0.1:" + std::to_string(aNode.m_app) +
         "\",\"born\":" + std::to_string(aBorn) + ",\"info\":{\"service\":\"" + aService +
         "\",\"version\":\"v1\",\"zone\":\"" + aNode.m_zone +
         "\",\"capacity\":6},\"status\":{\"state\":\"" + aState +
         "\",\"sequence\":" + std::to_string(aSequence) + ",\"warmup_left_ms\":0}}";
}

inline std::string
Route(const char* aName, const char* aHost, const char* aKind, const char* aService, int aTimeoutMs)
{
  return std::string("{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"") + aName +
         "\"},\"spec\":{\"host\":\"" + aHost + "\",\"path_prefix\":\"/" + aName +
         "/\",\"kind\":\"" + aKind + "\",\"timeout_ms\":" + std::to_string(aTimeoutMs) +
         ",\"target_latency_ms\":600,\"priority\":1,\"service\":\"" + aService +
         "\",\"max_attempts\":2}},";
}

inline std::string
Service(const char* aName)
{
  return std::string("{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"") + aName +
         "\"},\"spec\":{\"health_path\":\"/health\",\"max_connections\":120}},";
}

inline std::string
Configuration(const std::string& aRoutesAndServices)
{
  return "{\"version\":\"r1\",\"resources\":[" + aRoutesAndServices +
         "{\"resource_kind\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\"max_"
         "body_bytes\":67108864,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}]}";
}

} // namespace standin
