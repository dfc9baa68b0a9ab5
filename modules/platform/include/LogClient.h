/// @file
/// Client of the platform's append-only log, on a thread of its own.
#pragma once

#include "LogTypes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sequoiastep::platform {

struct LogClientOptions
{
  /// IP:PORT of the log.
  std::string m_address;
  Milliseconds m_timeoutMs = 3000;
  /// Requests that may wait for the thread at once; more fail at once.
  std::size_t m_waiting = 256;
};

/// Bytes and requests so far, readable from any thread.
struct LogClientCounts
{
  std::uint64_t m_requests = 0;
  std::uint64_t m_failures = 0;
  std::uint64_t m_bodyBytesReceived = 0;
  std::uint64_t m_bodyBytesSent = 0;
};

struct LogClientState;

/// Methods may be called from any thread. Handlers run on the client's thread, or at once on the
/// calling thread if too many requests wait.
class LogClient
{
public:
  using OnRead = std::function<void(ReadReply)>;
  using OnNewest = std::function<void(NewestReply)>;
  using OnAppend = std::function<void(AppendReply)>;

  explicit LogClient(LogClientOptions aOptions);
  /// Stops the thread; handlers of unfinished requests do not run.
  ~LogClient();
  LogClient(const LogClient&) = delete;
  LogClient& operator=(const LogClient&) = delete;

  /// Reads records of aTopic at or after aFrom, waiting up to aWaitMs for one.
  void Read(const std::string& aTopic,
            std::uint64_t aFrom,
            Milliseconds aWaitMs,
            const OnRead& aHandler);
  /// Reads the newest record of each key of a keyed topic.
  void ReadNewest(const std::string& aTopic, const OnNewest& aHandler);
  /// Appends one record to aTopic.
  void Append(const std::string& aTopic, const std::string& aBody, const OnAppend& aHandler);
  /// Appends the newest record of aKey to a keyed topic.
  void AppendKeyed(const std::string& aTopic,
                   std::string_view aKey,
                   std::string_view aValue,
                   const OnAppend& aHandler);
  /// @return Prometheus text of how long calls took. Any thread.
  std::string MetricsText() const;
  /// @return the counts so far.
  LogClientCounts Counts() const;

private:
  std::unique_ptr<LogClientState> m_state;
};

} // namespace sequoiastep::platform
