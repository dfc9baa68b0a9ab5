// Stand-ins for the cases of this review: the platform's store, upstreams, clients, and the start
// of the project's nodes. Plain POSIX sockets on loopback, one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
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
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stand {

using Ms = std::int64_t;

inline Ms
steadyMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

inline Ms
unixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline const Ms kStart = steadyMs();

// Milliseconds since the start of the case.
inline Ms
now()
{
  return steadyMs() - kStart;
}

inline void
sleepMs(Ms aMs)
{
  if (aMs > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
  }
}

inline void
sleepUntil(Ms aAt)
{
  sleepMs(aAt - now());
}

// What was sent, answered and run: one line each.
class Record
{
public:
  void open(const std::string& aPath) { m_out.open(aPath, std::ios::trunc); }
  void line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[1024];
    va_list list;
    va_start(list, aFormat);
    std::vsnprintf(text, sizeof text, aFormat, list);
    va_end(list);
    const std::lock_guard lock(m_mutex);
    m_out << now() << " ms  " << text << "\n";
    m_out.flush();
  }
  // The same, and to standard output.
  void say(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[1024];
    va_list list;
    va_start(list, aFormat);
    std::vsnprintf(text, sizeof text, aFormat, list);
    va_end(list);
    line("%s", text);
    std::printf("%s\n", text);
    std::fflush(stdout);
  }

private:
  std::mutex m_mutex;
  std::ofstream m_out;
};

inline Record gRecord;

inline bool
troubleWanted()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---------------------------------------------------------------- sockets and HTTP

inline sockaddr_in
parseAddress(const std::string& aText)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const auto colon = aText.rfind(':');
  inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(aText.substr(colon + 1))));
  return address;
}

// A free port of 127.0.0.1.
inline std::string
freeAddress()
{
  static std::mutex mutex;
  static std::set<int> given;
  const std::lock_guard lock(mutex);
  for (;;) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = parseAddress("127.0.0.1:0");
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) {
      std::perror("bind");
      std::exit(2);
    }
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(fd);
    const int port = ntohs(address.sin_port);
    if (given.insert(port).second) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

struct Message
{
  std::string first;                          // The request line or the status line.
  std::map<std::string, std::string> headers; // Names in lower case.
  std::string body;

  std::string header(const std::string& aName) const
  {
    const auto found = headers.find(aName);
    return found == headers.end() ? std::string() : found->second;
  }
  std::string word(int aIndex) const
  {
    std::size_t at = 0;
    for (int i = 0; i < aIndex; ++i) {
      at = first.find(' ', at);
      if (at == std::string::npos) {
        return {};
      }
      ++at;
    }
    return first.substr(at, first.find(' ', at) - at);
  }
  int status() const { return first.empty() ? 0 : std::atoi(word(1).c_str()); }
};

class Connection
{
public:
  explicit Connection(int aFd)
    : m_fd(aFd)
  {
    int one = 1;
    ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> dial(const std::string& aAddress, Ms aTimeoutMs = 1000)
  {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = parseAddress(aAddress);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      pollfd entry{ .fd = fd, .events = POLLOUT, .revents = 0 };
      int error = 0;
      socklen_t size = sizeof error;
      if (errno != EINPROGRESS || ::poll(&entry, 1, static_cast<int>(aTimeoutMs)) != 1 ||
          ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(fd);
        return nullptr;
      }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Connection>(fd);
  }

  void close()
  {
    if (m_fd >= 0) {
      ::close(m_fd);
      m_fd = -1;
    }
  }
  int fd() const { return m_fd; }

  bool send(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t size = ::send(m_fd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }

  // Reads one message. Returns false if none came whole in time; m_ended then tells whether the
  // other side closed the connection.
  bool read(Message& aMessage, Ms aTimeoutMs, bool aIsResponse)
  {
    const Ms until = now() + aTimeoutMs;
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(until)) {
        return false;
      }
    }
    aMessage = Message();
    std::size_t at = 0;
    bool first = true;
    while (at < end + 2) {
      const std::size_t stop = m_buffer.find("\r\n", at);
      const std::string text = m_buffer.substr(at, stop - at);
      at = stop + 2;
      if (first) {
        aMessage.first = text;
        first = false;
        continue;
      }
      const auto colon = text.find(':');
      std::string name = text.substr(0, colon);
      for (char& letter : name) {
        letter = static_cast<char>(std::tolower(letter));
      }
      std::string value = colon == std::string::npos ? "" : text.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      aMessage.headers[name] = value;
    }
    m_buffer.erase(0, end + 4);
    const std::string length = aMessage.header("content-length");
    if (aMessage.header("transfer-encoding").find("chunked") != std::string::npos) {
      return readChunks(aMessage, until);
    }
    if (!length.empty()) {
      const std::size_t size = std::stoull(length);
      while (m_buffer.size() < size) {
        if (!fill(until)) {
          return false;
        }
      }
      aMessage.body = m_buffer.substr(0, size);
      m_buffer.erase(0, size);
      return true;
    }
    if (aIsResponse && aMessage.status() >= 200 && aMessage.status() != 204 &&
        aMessage.status() != 304) {
      while (fill(until)) {
      }
      aMessage.body = std::move(m_buffer);
      m_buffer.clear();
      return m_ended;
    }
    return true;
  }

  // Waits for bytes or the end of the connection.
  bool waitReadable(Ms aTimeoutMs)
  {
    if (!m_buffer.empty()) {
      return true;
    }
    pollfd entry{ .fd = m_fd, .events = POLLIN, .revents = 0 };
    return ::poll(&entry, 1, static_cast<int>(std::max<Ms>(0, aTimeoutMs))) == 1;
  }

  bool ended() const { return m_ended; }
  // The other side has closed or reset the connection.
  bool closedByPeer() const
  {
    char byte = 0;
    const ssize_t size = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

private:
  bool fill(Ms aUntil)
  {
    pollfd entry{ .fd = m_fd, .events = POLLIN, .revents = 0 };
    const Ms left = aUntil - now();
    if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) != 1) {
      return false;
    }
    char bytes[65536];
    const ssize_t size = ::recv(m_fd, bytes, sizeof bytes, 0);
    if (size <= 0) {
      m_ended = true;
      return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  bool readChunks(Message& aMessage, Ms aUntil)
  {
    for (;;) {
      std::size_t stop = 0;
      while ((stop = m_buffer.find("\r\n")) == std::string::npos) {
        if (!fill(aUntil)) {
          return false;
        }
      }
      const std::size_t size = std::stoull(m_buffer.substr(0, stop), nullptr, 16);
      while (m_buffer.size() < stop + 2 + size + 2) {
        if (!fill(aUntil)) {
          return false;
        }
      }
      aMessage.body += m_buffer.substr(stop + 2, size);
      m_buffer.erase(0, stop + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  int m_fd = -1;
  bool m_ended = false;
  std::string m_buffer;
};

inline std::string
makeResponse(int aStatus,
             const std::string& aReason,
             const std::string& aHeaders,
             const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " " + aReason + "\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// Accepts connections; each runs aServe on a thread of its own, which ends with the process.
class Server
{
public:
  Server(const std::string& aAddress, std::function<void(Connection&)> aServe)
    : m_serve(std::move(aServe))
  {
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in address = parseAddress(aAddress);
    if (::bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(m_fd, 256) != 0) {
      std::perror(("listen " + aAddress).c_str());
      std::exit(2);
    }
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          return;
        }
        std::thread([this, fd] {
          Connection connection(fd);
          m_serve(connection);
        }).detach();
      }
    }).detach();
  }

private:
  int m_fd = -1;
  std::function<void(Connection&)> m_serve;
};

// ---------------------------------------------------------------- the platform's store

inline std::string
base64(const std::string& aBytes)
{
  static const char* const kLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group =
        group << 8U | (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= aBytes.size() ? kLetters[group >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return text;
}

inline std::string
bigEndian(std::uint64_t aNumber, int aBytes)
{
  std::string text;
  for (int i = aBytes; i-- > 0;) {
    text += static_cast<char>(aNumber >> (8 * i) & 0xffU);
  }
  return text;
}

inline std::string
queryValue(const std::string& aTarget, const std::string& aName)
{
  std::size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const std::size_t stop = aTarget.find('&', at + 1);
    const std::string part = aTarget.substr(at + 1, stop - at - 1);
    if (part.rfind(aName + "=", 0) == 0) {
      return part.substr(aName.size() + 1);
    }
    at = stop;
  }
  return {};
}

// The log with its keyed topics, one partition each, as PROTOCOL.md tells it. It answers in 4 ms
// and loses nothing. Partitions can be made silent: calls to them get no answer.
class Store
{
public:
  // Opens one more address of the store.
  std::string listen()
  {
    const std::string address = freeAddress();
    m_servers.push_back(
      std::make_unique<Server>(address, [this](Connection& aConnection) { serve(aConnection); }));
    return address;
  }

  // A write of the operator.
  void put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(m_mutex);
    appendKeyed(aTopic, std::string(1, static_cast<char>(aKey.size())) + aKey + aValue);
  }

  void setSilent(const std::string& aTopic, bool aSilent)
  {
    const std::lock_guard lock(m_mutex);
    if (aSilent) {
      m_silent.insert(aTopic);
    } else {
      m_silent.erase(aTopic);
    }
  }

private:
  struct Topic
  {
    std::vector<std::string> m_records;
    std::map<std::string, std::pair<std::string, std::uint64_t>> m_newest;
  };

  void appendKeyed(const std::string& aTopic, const std::string& aRecord)
  {
    Topic& topic = m_topics[aTopic];
    if (aTopic.rfind("keyed.", 0) == 0 && !aRecord.empty()) {
      const std::size_t size = static_cast<unsigned char>(aRecord[0]);
      const std::string key = aRecord.substr(1, size);
      const std::string value = aRecord.substr(1 + size);
      if (value.empty()) {
        topic.m_newest.erase(key);
      } else {
        topic.m_newest[key] = { value, topic.m_records.size() };
      }
    }
    topic.m_records.push_back(aRecord);
  }

  bool isSilent(const std::string& aTopic)
  {
    const std::lock_guard lock(m_mutex);
    return m_silent.count(aTopic) > 0;
  }

  void serve(Connection& aConnection)
  {
    Message request;
    while (aConnection.read(request, 600'000, false)) {
      const std::string target = request.word(1);
      const std::string topic = queryValue(target, "topic");
      if (isSilent(topic)) {
        gRecord.line("the store is silent to %s", request.first.c_str());
        while (isSilent(topic)) {
          sleepMs(20);
        }
        return; // The connection on which an answer is lost returns nothing further.
      }
      sleepMs(4);
      if (!aConnection.send(answer(request, target, topic))) {
        return;
      }
    }
  }

  std::string answer(const Message& aRequest, const std::string& aTarget, const std::string& aTopic)
  {
    const std::string json = "Content-Type: application/json\r\n";
    const std::string path = aTarget.substr(0, aTarget.find('?'));
    if (path == "/-/log-append") {
      return append(aRequest, aTarget, aTopic);
    }
    if (path == "/-/log-newest") {
      const std::lock_guard lock(m_mutex);
      Topic& topic = m_topics[aTopic];
      std::string items;
      for (const auto& [key, entry] : topic.m_newest) {
        items += (items.empty() ? "" : ",");
        items += "{\"key\":\"" + key + "\",\"value\":\"" + base64(entry.first) +
                 "\",\"offset\":" + std::to_string(entry.second) + "}";
      }
      return makeResponse(200,
                          "OK",
                          json,
                          "{\"items\":[" + items + "],\"has_more\":false,\"end\":" +
                            std::to_string(topic.m_records.size()) + "}");
    }
    if (path == "/-/log-read") {
      return read(aTarget, aTopic);
    }
    return makeResponse(404, "Not Found", json, "{}");
  }

  std::string append(const Message& aRequest, const std::string& aTarget, const std::string& aTopic)
  {
    const std::string json = "Content-Type: application/json\r\n";
    if (aTopic == "keyed.op" || aTopic == "keyed.servers") {
      return makeResponse(403, "Forbidden", json, "{}");
    }
    const std::lock_guard lock(m_mutex);
    Topic& topic = m_topics[aTopic];
    const std::string at = queryValue(aTarget, "at");
    if (!at.empty() && std::stoull(at) != topic.m_records.size()) {
      return makeResponse(412,
                          "Precondition Failed",
                          json,
                          "{\"end\":" + std::to_string(topic.m_records.size()) + "}");
    }
    const std::size_t first = topic.m_records.size();
    std::string rest = aRequest.body;
    while (rest.size() >= 4) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i) {
        size = size << 8U | static_cast<unsigned char>(rest[static_cast<std::size_t>(i)]);
      }
      appendKeyed(aTopic, rest.substr(4, size));
      rest.erase(0, 4 + size);
    }
    return makeResponse(200,
                        "OK",
                        json,
                        "{\"offset\":" + std::to_string(first) +
                          ",\"end\":" + std::to_string(topic.m_records.size()) + "}");
  }

  std::string read(const std::string& aTarget, const std::string& aTopic)
  {
    const std::uint64_t from = std::stoull("0" + queryValue(aTarget, "from"));
    const Ms until = now() + std::stoll("0" + queryValue(aTarget, "wait_ms"));
    for (;;) {
      {
        const std::lock_guard lock(m_mutex);
        const Topic& topic = m_topics[aTopic];
        const std::uint64_t end = topic.m_records.size();
        if (from < end || now() >= until) {
          std::string body = bigEndian(end, 8) + bigEndian(0, 8);
          for (std::uint64_t offset = from; offset < end; ++offset) {
            body += bigEndian(topic.m_records[offset].size(), 4) + topic.m_records[offset];
          }
          return makeResponse(200, "OK", "Content-Type: application/octet-stream\r\n", body);
        }
      }
      sleepMs(5);
    }
  }

  std::mutex m_mutex;
  std::map<std::string, Topic> m_topics;
  std::set<std::string> m_silent;
  std::vector<std::unique_ptr<Server>> m_servers;
};

// ---------------------------------------------------------------- upstreams

struct Run
{
  Ms at = 0;
  std::string id;
  std::string tenant;
  std::string instance;
  std::string deadline;
};

// All runs of all upstreams.
class Runs
{
public:
  void add(Run aRun)
  {
    const std::lock_guard lock(m_mutex);
    m_runs.push_back(std::move(aRun));
  }
  std::vector<Run> all()
  {
    const std::lock_guard lock(m_mutex);
    return m_runs;
  }

private:
  std::mutex m_mutex;
  std::vector<Run> m_runs;
};

inline Runs gRuns;

// An upstream beside a node: serves one request at a time on a connection, as many as its capacity
// at once, and sends heartbeats to the node's control address.
class Upstream
{
public:
  std::string id;
  std::string service;
  std::string address;
  std::string control;
  Ms born = unixMs();
  int capacity = 6;
  // Requests that were dropped since their connection closed.
  std::atomic<int> abandoned{ 0 };
  // Sends the answer to a request that was run; false closes the connection. The default if empty.
  std::function<bool(Connection&, const std::string&)> reply;
  Ms workMs = 50;
  Ms beatMs = 1500;

  void start()
  {
    m_server =
      std::make_unique<Server>(address, [this](Connection& aConnection) { serve(aConnection); });
    startBeats();
  }
  void startBeats()
  {
    m_beating = true;
    std::thread([this, epoch = ++m_epoch] {
      while (m_beating && epoch == m_epoch) {
        beat();
        for (Ms waited = 0; waited < beatMs && epoch == m_epoch && !m_beatNow.exchange(false);
             waited += 10) {
          sleepMs(10);
        }
      }
    }).detach();
  }
  void stopBeats() { m_beating = false; }

  // Sends one heartbeat. Returns true if it was acknowledged: a 2xx response within a second.
  bool beat() { return sendBeat(m_sequence.fetch_add(1), m_draining ? "draining" : "ready"); }

  bool sendBeat(std::uint64_t aSequence, const std::string& aState)
  {
    const std::string body =
      "{\"address\":\"" + address + "\",\"born\":" + std::to_string(born) +
      ",\"info\":{\"service\":\"" + service +
      "\",\"version\":\"v1\",\"zone\":\"z\",\"capacity\":" + std::to_string(capacity) +
      "},\"status\":{\"state\":\"" + aState + "\",\"sequence\":" + std::to_string(aSequence) +
      ",\"warmup_left_ms\":0}}";
    const int status = post("/-/instances/" + id + "/heartbeat", body);
    if (aState != "ready") {
      gRecord.line("%s says %s (sequence %llu): answer %d",
                   id.c_str(),
                   aState.c_str(),
                   static_cast<unsigned long long>(aSequence),
                   status);
    }
    return status / 100 == 2;
  }

  // Says that it leaves, until that is acknowledged. Returns when, or nothing after aTries.
  std::optional<Ms> drain(int aTries = 4)
  {
    m_draining = true;
    for (int i = 0; i < aTries; ++i) {
      if (beat()) {
        return now();
      }
      sleepMs(200);
    }
    return std::nullopt;
  }

  std::optional<Ms> deregister()
  {
    m_draining = true;
    m_beating = false;
    const int status =
      post("/-/instances/" + id + "/deregister", "{\"born\":" + std::to_string(born) + "}");
    gRecord.line("%s deregisters: answer %d", id.c_str(), status);
    return status / 100 == 2 ? std::optional(now()) : std::nullopt;
  }

  // It crashes: its connections are closed, and it takes no new ones until it starts again.
  void crash()
  {
    m_up = false;
    m_beating = false;
    ++m_life;
  }
  // It starts again at its address, with an id and a time of its start.
  void restart(const std::string& aId, Ms aBorn)
  {
    id = aId;
    born = aBorn;
    m_sequence = 1;
    m_draining = false;
    m_running = 0;
    m_up = true;
    startBeats();
  }
  std::uint64_t lastSequence() const { return m_sequence - 1; }

private:
  int post(const std::string& aPath, const std::string& aBody)
  {
    const auto connection = Connection::dial(control);
    if (!connection) {
      return 0;
    }
    connection->send("POST " + aPath + " HTTP/1.1\r\nHost: " + control +
                     "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
                     std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
    Message response;
    return connection->read(response, 1000, true) ? response.status() : 0;
  }

  void serve(Connection& aConnection)
  {
    if (!m_up) {
      return;
    }
    const int life = m_life;
    Message request;
    for (;;) {
      while (!aConnection.waitReadable(20)) {
        if (life != m_life) {
          return;
        }
      }
      if (!aConnection.read(request, 20'000, false) || life != m_life) {
        return;
      }
      const std::string own = id;
      const std::string requestId = request.header("sequoiastep-request-id");
      if (request.word(1) == "/health") {
        const std::string headers = "Sequoiastep-Instance-Id: " + own + "\r\n";
        aConnection.send(m_draining ? makeResponse(503, "Service Unavailable", headers, "")
                                    : makeResponse(200, "OK", headers, ""));
        continue;
      }
      const std::string echo = "Sequoiastep-Request-Id: " + requestId + "\r\n";
      const std::string expected = request.header("sequoiastep-target-instance");
      if (!expected.empty() && expected != own) {
        aConnection.send(makeResponse(
          421, "Misdirected Request", echo + "Sequoiastep-Instance-Id: " + own + "\r\n", ""));
        continue;
      }
      if (requestId.empty() || m_running.load() >= capacity) {
        aConnection.send(
          makeResponse(503, "Service Unavailable", echo + "Sequoiastep-Not-Executed: 1\r\n", ""));
        continue;
      }
      ++m_running;
      gRuns.add({ now(),
                  requestId,
                  request.header("sequoiastep-tenant"),
                  own,
                  request.header("sequoiastep-deadline-ms") });
      gRecord.line("%s runs %s", own.c_str(), requestId.c_str());
      const Ms until = now() + workMs;
      while (now() < until && !aConnection.closedByPeer()) {
        sleepMs(std::min<Ms>(5, until - now()));
      }
      --m_running;
      if (now() < until) {
        gRecord.line("%s drops %s, whose connection was closed", own.c_str(), requestId.c_str());
        ++abandoned;
        return;
      }
      if (life != m_life) {
        return;
      }
      if (reply) {
        if (!reply(aConnection, requestId)) {
          return;
        }
        continue;
      }
      aConnection.send(makeResponse(
        200, "OK", echo + "Sequoiastep-Response-Signature: s." + own + "\r\n", "ran " + requestId));
    }
  }

  std::unique_ptr<Server> m_server;
  std::atomic<std::uint64_t> m_sequence{ 1 };
  std::atomic<bool> m_draining{ false };
  std::atomic<bool> m_beating{ false };
  std::atomic<bool> m_beatNow{ false };
  std::atomic<bool> m_up{ true };
  std::atomic<int> m_epoch{ 0 };
  std::atomic<int> m_life{ 0 };
  std::atomic<int> m_running{ 0 };
};

// ---------------------------------------------------------------- nodes

inline std::string gFolder;                         // Temporary folder for settings and logs.
inline std::string gProgram = "target/sequoiastep"; // As the deploy file says.

// One machine's node, with settings as platform/settings.json.tpl makes them.
class Node
{
public:
  std::string name;
  std::string region = "svealand";
  std::string zone;
  std::string service;
  std::string store;
  std::string outbound = freeAddress();
  std::string control = freeAddress();
  std::string ready = freeAddress();
  std::string metrics = freeAddress();
  std::string peer = freeAddress();
  std::string app = freeAddress();
  int memoryMb = 512;
  int grace = 6;
  bool quotas = false;

  void start()
  {
    const std::string path = gFolder + "/" + name + ".json";
    std::ofstream out(path);
    out << "{\"mesh\":\"mesh\",\"node\":\"" << name << "\",\"region\":\"" << region
        << "\",\"failure_domain\":\"" << zone << "\",\n\"caller\":{\"listen\":\"" << outbound
        << "\"},\n\"target\":{\"listen\":\"" << control << "\",\"service\":\"" << service
        << "\",\"address\":\"" << app << "\"},\n\"admin\":{\"listen\":\"" << ready
        << "\"},\n\"metrics\":{\"listen\":\"" << metrics << "\"},\n\"peer\":{\"listen\":\"" << peer
        << "\",\"link_mbps\":200},\n\"limits\":{\"memory_mb\":" << memoryMb
        << "},\n\"platform\":{\"log\":\"" << store
        << "\",\"operator_record\":true},\n\"retries\":{\"ratio\":0.2,\"extra\":60,\"window_ms\":"
           "10000},\n";
    if (quotas) {
      out << "\"quotas\":{\"window_ms\":5000,\"over\":0.1,\"slack\":20},\n";
    }
    out << "\"timings\":{\"join_wait_ms\":400,\"heartbeat_ms\":1000,\"log_timeout_ms\":1000,"
           "\"drain_after_ms\":2300,\"drain_notice_ms\":300,\"caller_notice_ms\":2600,\"drain_ms\":"
        << grace * 1000 << "}}\n";
    out.close();
    const std::string log = gFolder + "/" + name + ".log";
    m_pid = ::fork();
    if (m_pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::execl(gProgram.c_str(),
              gProgram.c_str(),
              "node",
              "--settings",
              path.c_str(),
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
    gRecord.line("node %s starts, pid %d", name.c_str(), m_pid);
  }

  // GET /-/ready, as the platform asks.
  bool isReady() const
  {
    const auto connection = Connection::dial(ready, 300);
    if (!connection) {
      return false;
    }
    connection->send("GET /-/ready HTTP/1.1\r\nHost: " + ready + "\r\nConnection: close\r\n\r\n");
    Message response;
    return connection->read(response, 300, true) && response.status() == 200;
  }
  bool awaitReady(Ms aTimeoutMs) const
  {
    const Ms until = now() + aTimeoutMs;
    while (now() < until) {
      if (isReady()) {
        return true;
      }
      sleepMs(20);
    }
    return false;
  }

  void signal(int aSignal)
  {
    if (m_pid > 0) {
      gRecord.line("node %s gets signal %d", name.c_str(), aSignal);
      ::kill(m_pid, aSignal);
    }
  }
  void kill()
  {
    if (m_pid > 0) {
      signal(SIGKILL);
      ::waitpid(m_pid, nullptr, 0);
      m_pid = -1;
    }
  }
  // Returns true if the process has ended by itself.
  bool ended()
  {
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
      m_pid = -1;
      return true;
    }
    return false;
  }
  ~Node() { kill(); }

private:
  pid_t m_pid = -1;
};

// ---------------------------------------------------------------- clients

struct Sent
{
  Ms at = 0;
  std::string id;
  int status = 0; // 0: no whole answer.
  Ms answeredAt = 0;
  std::string signature;
  std::string retryAfter;
  std::string body;
  bool connected = false;
};

inline std::string
newId()
{
  static std::atomic<std::uint64_t> next{ 0x5eed0000 };
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next++));
  return text;
}

// One request of a client on a connection of its own.
inline Sent
ask(const std::string& aNode,
    const std::string& aMethod,
    const std::string& aHost,
    const std::string& aPath,
    Ms aDeadlineMs,
    const std::string& aHeaders = {},
    const std::string& aBody = {})
{
  Sent sent;
  sent.at = now();
  sent.id = newId();
  const auto connection = Connection::dial(aNode);
  if (!connection) {
    return sent;
  }
  sent.connected = true;
  sent.at = now();
  connection->send(aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost +
                   "\r\nSequoiastep-Request-Id: " + sent.id + "\r\nSequoiastep-Deadline-Ms: " +
                   std::to_string(aDeadlineMs) + "\r\n" + aHeaders +
                   (aMethod == "GET" && aBody.empty()
                      ? std::string()
                      : "Content-Length: " + std::to_string(aBody.size()) + "\r\n") +
                   "\r\n" + aBody);
  Message response;
  if (connection->read(response, aDeadlineMs, true)) {
    sent.status = response.status();
    sent.signature = response.header("sequoiastep-response-signature");
    sent.retryAfter = response.header("retry-after");
    sent.body = response.body;
  }
  sent.answeredAt = now();
  gRecord.line("%s sent to %s at %lld ms: answer %d%s%s",
               sent.id.c_str(),
               aNode.c_str(),
               static_cast<long long>(sent.at),
               sent.status,
               sent.signature.empty() ? "" : " of ",
               sent.signature.c_str());
  return sent;
}

class Answers
{
public:
  void add(const Sent& aSent)
  {
    const std::lock_guard lock(m_mutex);
    m_all.push_back(aSent);
  }
  std::vector<Sent> all()
  {
    const std::lock_guard lock(m_mutex);
    return m_all;
  }

private:
  std::mutex m_mutex;
  std::vector<Sent> m_all;
};

inline Answers gAnswers;

// Sends requests at an even rate, each on a thread of its own, while gLoad is set.
inline std::atomic<bool> gLoad{ true };

inline std::thread
load(double aPerSecond, std::function<void()> aOne)
{
  return std::thread([aPerSecond, aOne] {
    const Ms start = now();
    for (std::uint64_t i = 0; gLoad; ++i) {
      sleepUntil(start + static_cast<Ms>(1000.0 * static_cast<double>(i) / aPerSecond));
      std::thread(aOne).detach();
    }
  });
}

// Makes the temporary folder and opens the record. Exits with 2 if the program is not built.
inline void
begin(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  if (aCount != 2 || ::access(gProgram.c_str(), X_OK) != 0) {
    std::fprintf(stderr, "the program is not built, or no record file is named\n");
    std::exit(2);
  }
  gRecord.open(aArguments[1]);
  char folder[] = "/tmp/sequoiastep-review-XXXXXX";
  gFolder = ::mkdtemp(folder);
  gRecord.line("trouble: %s", troubleWanted() ? "yes" : "no");
}

// Ends the case; the nodes must have been ended before.
[[noreturn]] inline void
end(int aCode)
{
  gRecord.line("exit code %d", aCode);
  if (std::getenv("KEEP") == nullptr) {
    const std::string command = "rm -rf " + gFolder;
    if (std::system(command.c_str()) != 0) {
      std::perror("rm");
    }
  }
  std::fflush(stdout);
  ::_exit(aCode);
}

} // namespace stand
