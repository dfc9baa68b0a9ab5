#include "Node.h"

#include "CallProxy.h"
#include "ControlDuty.h"
#include "Log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <thread>
#include <unistd.h>

namespace sequoiastep::node {

namespace asio = net::asio;
using net::Awaitable;
using net::kAsTuple;

namespace {

constexpr Milliseconds kDrainStepMs = 20;
constexpr Milliseconds kLeaveNoticeMs = 150;
// The rest of the time is left for the exit itself.
constexpr double kDrainShare = 0.9;
constexpr std::size_t kCallSocketsWaiting = 1024;

// An accepted connection on its way from the control thread to the calls thread.
struct CallSocket
{
  int m_descriptor = -1;
  wire::HelloT m_hello;
};

// The threads of one node and what connects them.
class NodeProcess
{
public:
  NodeProcess(const Settings& aSettings, std::string aPath)
    : m_settings(aSettings)
    , m_path(std::move(aPath))
    , m_control(m_controlContext,
                aSettings,
                EntropySeed() | 1U,
                m_shared,
                [this](int aDescriptor, wire::HelloT aHello) {
                  PassCallSocket(aDescriptor, std::move(aHello));
                })
    , m_callSockets(m_callsContext,
                    kCallSocketsWaiting,
                    [this](const CallSocket& aSocket) {
                      m_calls->AdoptCallSocket(aSocket.m_descriptor, aSocket.m_hello);
                    })
    , m_signals(m_controlContext, SIGTERM, SIGINT)
    , m_reloads(m_controlContext, SIGHUP)
  {
  }

  Result<void> Run()
  {
    BOOST_LEAF_AUTO(identity, m_control.Listen());
    m_calls = std::make_unique<CallProxy>(
      m_callsContext, m_settings, identity, m_shared, [this](distribution::Event aEvent) {
        m_control.Post(std::move(aEvent));
      });
    BOOST_LEAF_CHECK(m_calls->Listen());
    m_control.Start({ .m_feed = {},
                      .m_callMetrics = [this] { return CallMetrics(); },
                      .m_drain = [this] { BeginStop(); } });
    m_calls->SetLogClient(m_control.Log());
    m_signals.async_wait([this](const net::error_code& aError, int) {
      if (!aError) {
        BeginStop();
      }
    });
    AwaitReload();
    std::thread callsThread([this] { RunCalls(); });
    m_controlContext.run();
    m_callsGuard.reset();
    callsThread.join();
    LogLine(LogLevel::Info, "stopped");
    return {};
  }

private:
  void RunCalls() { m_callsContext.run(); }

  void AwaitReload()
  {
    m_reloads.async_wait([this](const net::error_code& aError, int) {
      if (!aError) {
        Reload();
        AwaitReload();
      }
    });
  }

  // Addresses and names belong to the process for its life; the log level may change.
  void Reload()
  {
    const std::string problem = Handle(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(settings, ReadSettings(m_path));
        SetLogLevel(settings.m_logLevel);
        return std::string();
      },
      [](const Error& aError) { return aError.m_message; });
    LogLine(problem.empty() ? LogLevel::Info : LogLevel::Error, "settings_reloaded")
      .Add("problem", problem.empty() ? "none" : problem);
  }

  void PassCallSocket(int aDescriptor, wire::HelloT aHello)
  {
    if (!m_callSockets.Post({ .m_descriptor = aDescriptor, .m_hello = std::move(aHello) })) {
      ::close(aDescriptor);
    }
  }

  Awaitable<std::string> CallMetrics()
  {
    const auto ask = [](CallProxy& aCalls) -> Awaitable<std::string> {
      co_return aCalls.MetricsText();
    };
    std::string text = co_await asio::co_spawn(m_callsContext, ask(*m_calls), asio::use_awaitable);
    co_return text;
  }

  void BeginStop()
  {
    if (m_stopping) {
      return;
    }
    m_stopping = true;
    LogLine(LogLevel::Info, "draining");
    m_shared.m_draining.store(true);
    asio::post(m_callsContext, [this] { m_calls->BeginDrain(); });
    asio::co_spawn(m_controlContext, FinishStop(), asio::detached);
  }

  Awaitable<void> Sleep(Milliseconds aDelay)
  {
    asio::steady_timer timer(m_controlContext, std::chrono::milliseconds(aDelay));
    co_await timer.async_wait(kAsTuple);
  }

  Awaitable<bool> CallsAreIdle()
  {
    const auto ask = [](CallProxy& aCalls) -> Awaitable<bool> { co_return aCalls.IsIdle(); };
    const bool idle = co_await asio::co_spawn(m_callsContext, ask(*m_calls), asio::use_awaitable);
    co_return idle;
  }

  // Waits until the given time after the stop request.
  Awaitable<void> SleepUntil(Instant aStart, std::uint64_t aAfterMs)
  {
    const Milliseconds left = static_cast<Milliseconds>(aAfterMs) - (Clock::Now() - aStart);
    if (left > 0) {
      co_await Sleep(left);
    }
  }

  Awaitable<void> FinishStop()
  {
    const Timings& timings = m_settings.m_timings;
    const Instant start = Clock::Now();
    co_await SleepUntil(start, timings.m_drainAfterMs);
    m_control.Feed(distribution::DrainRequested{});
    co_await SleepUntil(start, timings.m_drainAfterMs + timings.m_drainNoticeMs);
    asio::post(m_callsContext, [this] { m_calls->StopAcceptingCalls(); });
    co_await SleepUntil(start, timings.m_callerNoticeMs);
    asio::post(m_callsContext, [this] { m_calls->StopAcceptingCallers(); });
    const auto most = static_cast<Milliseconds>(timings.m_drainMs * kDrainShare);
    bool idle = false;
    while (!idle && Clock::Now() - start < most) {
      co_await Sleep(kDrainStepMs);
      idle = co_await CallsAreIdle();
    }
    if (!idle) {
      LogLine(LogLevel::Warning, "drain_time_over")
        .Add("remedy", "raise timings.drain_ms if requests take longer");
    }
    m_control.Feed(distribution::LeaveRequested{});
    co_await Sleep(kLeaveNoticeMs);
    asio::post(m_callsContext, [this] {
      m_calls->Stop();
      m_callsContext.stop();
    });
    m_control.Stop();
    m_controlContext.stop();
  }

  const Settings& m_settings;
  std::string m_path;
  Shared m_shared;
  asio::io_context m_controlContext{ 1 };
  asio::io_context m_callsContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> m_callsGuard{
    m_callsContext.get_executor()
  };
  ControlDuty m_control;
  std::unique_ptr<CallProxy> m_calls;
  Mailbox<CallSocket> m_callSockets;
  asio::signal_set m_signals;
  asio::signal_set m_reloads;
  bool m_stopping = false;
};

} // namespace

Result<void>
RunNode(const Settings& aSettings, const std::string& aPath)
{
  std::signal(SIGPIPE, SIG_IGN);
  // Never torn down: suspended calls refer to it until the process ends.
  static NodeProcess* process = nullptr;
  process = new NodeProcess(aSettings, aPath); // NOLINT(cppcoreguidelines-owning-memory)
  return process->Run();
}

} // namespace sequoiastep::node
