/// @file
/// Client of the platform's append-only log, which runs on its own thread.
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
  /// Most requests that may be queued for the client's thread; further ones fail immediately.
  std::size_t m_maxQueuedRequests = 256;
};

/// Totals since the start of the client.
struct LogClientCounts
{
  std::uint64_t m_requests = 0;
  std::uint64_t m_failures = 0;
  std::uint64_t m_bodyBytesReceived = 0;
  std::uint64_t m_bodyBytesSent = 0;
};

struct LogClientState;

/// Methods may be called from any thread. Handlers run on the client's thread, or immediately on
/// the calling thread if the request queue is full.
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

  /// Reads the records of aTopic from offset aFrom on. If there are none, the log waits up to
  /// aWaitMs for one.
  void Read(const std::string& aTopic,
            std::uint64_t aFrom,
            Milliseconds aWaitMs,
            const OnRead& aHandler);
  /// Reads the newest record of each key of a keyed topic, page by page.
  void ReadNewest(const std::string& aTopic, const OnNewest& aHandler);
  /// Appends one record to aTopic.
  void Append(const std::string& aTopic, const std::string& aBody, const OnAppend& aHandler);
  /// Appends a record to a keyed topic; it becomes the newest record of aKey.
  void AppendKeyed(const std::string& aTopic,
                   std::string_view aKey,
                   std::string_view aValue,
                   const OnAppend& aHandler);
  /// Like AppendKeyed, but only if the topic ends at the offset aEnd; else the reply is EndMoved.
  void AppendKeyedAt(const std::string& aTopic,
                     std::string_view aKey,
                     std::string_view aValue,
                     std::uint64_t aEnd,
                     const OnAppend& aHandler);
  /// @return histograms of the durations of requests, as Prometheus text. Any thread.
  std::string MetricsText() const;
  /// @return the totals so far. Any thread.
  LogClientCounts Counts() const;

private:
  std::unique_ptr<LogClientState> m_state;
};

} // namespace sequoiastep::platform
