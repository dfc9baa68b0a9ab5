/// @file
/// Client of the platform's append-only log, on a thread of its own.
#pragma once

#include "Clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastep::platform {

/// One record of a stream.
struct LogEntry
{
  std::uint64_t m_offset = 0;
  std::string m_body;
};

/// How a read ended.
enum class ReadStatus
{
  Ok,
  /// The records asked for are no longer kept; m_first tells what is.
  Expired,
  Failed,
};

struct ReadReply
{
  ReadStatus m_status = ReadStatus::Failed;
  std::vector<LogEntry> m_entries;
  std::uint64_t m_first = 0;
  /// Offset that the stream gives out next; nothing if the log did not tell.
  std::optional<std::uint64_t> m_next;
};

/// How an append ended.
enum class AppendStatus
{
  Appended,
  /// The log said that it did not take the record.
  Refused,
  /// No whole answer came: the record may be in the log.
  Unknown,
};

struct AppendReply
{
  AppendStatus m_status = AppendStatus::Unknown;
  std::uint64_t m_offset = 0;
};

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
  using OnAppend = std::function<void(AppendReply)>;

  explicit LogClient(LogClientOptions aOptions);
  /// Stops the thread; handlers of unfinished requests do not run.
  ~LogClient();
  LogClient(const LogClient&) = delete;
  LogClient& operator=(const LogClient&) = delete;

  /// Reads records of aStream at or after aFrom, at most aMost, waiting up to aWaitMs for one.
  void Read(const std::string& aStream,
            std::uint64_t aFrom,
            std::uint32_t aMost,
            Milliseconds aWaitMs,
            const OnRead& aHandler);
  /// Reads up to aMost of the newest records of aStream.
  void ReadNewest(const std::string& aStream, std::uint32_t aMost, const OnRead& aHandler);
  /// Appends one record to aStream.
  void Append(const std::string& aStream, const std::string& aBody, const OnAppend& aHandler);
  /// @return the counts so far.
  LogClientCounts Counts() const;

private:
  std::unique_ptr<LogClientState> m_state;
};

} // namespace sequoiastep::platform
