#include "Node.h"

#include "CallProxy.h"
#include "ControlPlane.h"
#include "DrainPlan.h"
#include "Log.h"
#include "ProcessMemory.h"

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

constexpr Milliseconds kDrainPollMs = 20;
constexpr Milliseconds kLeaveNoticeMs = 150;
constexpr std::size_t kCallSocketCapacity = 1024;

// An accepted connection that is handed from the control thread to the calls thread.
struct CallSocket
{
  int m_descriptor = -1;
  wire::HelloT m_hello;
};

// The threads of one node and the queues between them.
class NodeProcess
{
public:
  NodeProcess(const Settings& aSettings, std::string aPath)
    : m_settings(aSettings)
    , m_settingsPath(std::move(aPath))
    , m_control(m_controlContext,
                aSettings,
                EntropySeed() | 1U,
                m_shared,
                [this](int aDescriptor, wire::HelloT aHello) {
                  PassCallSocket(aDescriptor, std::move(aHello));
                })
    , m_callSockets(m_callsContext,
                    kCallSocketCapacity,
                    [this](const CallSocket& aSocket) {
                      m_calls->AdoptCallSocket(aSocket.m_descriptor, aSocket.m_hello);
                    })
    , m_stopSignals(m_controlContext, SIGTERM, SIGINT)
    , m_reloadSignals(m_controlContext, SIGHUP)
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
                      .m_callMetrics = [this] { return FetchCallMetrics(); },
                      .m_drain = [this] { BeginStop(); } },
                    MakeTargetHooks());
    m_calls->SetLogClient(m_control.Log());
    m_stopSignals.async_wait([this](const net::error_code& aError, int) {
      if (!aError) {
        BeginStop();
      }
    });
    WaitForReload();
    std::thread callsThread([this] { RunCalls(); });
    m_controlContext.run();
    m_callsGuard.reset();
    callsThread.join();
    LogLine(LogLevel::Info, "stopped");
    return {};
  }

private:
  void RunCalls() { m_callsContext.run(); }

  void WaitForReload()
  {
    m_reloadSignals.async_wait([this](const net::error_code& aError, int) {
      if (!aError) {
        Reload();
        WaitForReload();
      }
    });
  }

  // Applies only the log level. Addresses and names can't change while the process runs.
  void Reload()
  {
    const std::string problem = Handle(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(settings, ReadSettings(m_settingsPath));
        SetLogLevel(settings.m_logLevel);
        return std::string();
      },
      [](const Error& aError) { return aError.m_message; });
    LogLine(problem.empty() ? LogLevel::Info : LogLevel::Error, "settings_reloaded")
      .Add("problem", problem.empty() ? "none" : problem);
  }

  TargetHooks MakeTargetHooks()
  {
    return { .m_departureKept =
               [this](const distribution::DepartureKept& aKept) {
                 asio::post(m_callsContext, [this, aKept] { m_calls->HandleDepartureKept(aKept); });
               },
             .m_ownEntryRecalled =
               [this](const distribution::OwnEntryRecalled& aRecalled) {
                 asio::post(m_callsContext,
                            [this, aRecalled] { m_calls->HandleOwnEntryRecalled(aRecalled); });
               } };
  }

  void PassCallSocket(int aDescriptor, wire::HelloT aHello)
  {
    if (!m_callSockets.Post({ .m_descriptor = aDescriptor, .m_hello = std::move(aHello) })) {
      ::close(aDescriptor);
    }
  }

  Awaitable<std::string> FetchCallMetrics()
  {
    const auto query = [](CallProxy& aCalls) -> Awaitable<std::string> {
      co_return aCalls.MetricsText();
    };
    std::string text =
      co_await asio::co_spawn(m_callsContext, query(*m_calls), asio::use_awaitable);
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
    const routing::DrainPlan plan = MakeDrainPlan(Clock::Now());
    asio::post(m_callsContext, [this, plan] { m_calls->BeginDrain(plan); });
    asio::co_spawn(m_controlContext, FinishStop(Clock::Now(), plan), asio::detached);
  }

  Awaitable<void> Sleep(Milliseconds aDelay)
  {
    asio::steady_timer timer(m_controlContext, std::chrono::milliseconds(aDelay));
    co_await timer.async_wait(kAsTuple);
  }

  Awaitable<StopDebts> FetchDebts()
  {
    const auto query = [](CallProxy& aCalls) -> Awaitable<StopDebts> { co_return aCalls.Debts(); };
    const StopDebts debts =
      co_await asio::co_spawn(m_callsContext, query(*m_calls), asio::use_awaitable);
    co_return debts;
  }

  // Waits until nothing is owed, until aLimit at most. Returns what is still owed then.
  Awaitable<StopDebts> PayDebts(Instant aLimit)
  {
    StopDebts debts = co_await FetchDebts();
    while (!debts.IsClear() && Clock::Now() < aLimit) {
      co_await Sleep(kDrainPollMs);
      debts = co_await FetchDebts();
    }
    co_return debts;
  }

  static void LogDebts(std::string_view aEvent, const StopDebts& aDebts, Milliseconds aElapsedMs)
  {
    const bool clear = aDebts.IsClear();
    LogLine(clear ? LogLevel::Info : LogLevel::Warning, aEvent)
      .Add("after_ms", aElapsedMs)
      .Add("caller_connections", aDebts.m_callerConnections)
      .Add("caller_requests", aDebts.m_callerRequests)
      .Add("inbound_calls", aDebts.m_inboundCalls)
      .Add("target_requests", aDebts.m_targetRequests)
      .Add("target_reports", aDebts.m_targetReports)
      .Add("undelivered_bytes", aDebts.m_undeliveredBytes)
      .Add("remedy", clear ? "none" : "if requests take longer, increase timings.drain_ms");
  }

  routing::DrainPlan MakeDrainPlan(Instant aStart) const
  {
    const Timings& timings = m_settings.m_timings;
    const routing::DrainTimings drain{
      .m_announceAfterMs = static_cast<Milliseconds>(timings.m_drainAfterMs),
      .m_noticeMs = static_cast<Milliseconds>(timings.m_drainNoticeMs),
      .m_callerNoticeMs = static_cast<Milliseconds>(timings.m_callerNoticeMs),
      .m_totalMs = static_cast<Milliseconds>(timings.m_drainMs)
    };
    return routing::PlanDrain(aStart, drain);
  }

  Awaitable<void> SleepUntil(Instant aUntil)
  {
    const Milliseconds left = aUntil - Clock::Now();
    if (left > 0) {
      co_await Sleep(left);
    }
  }

  Awaitable<void> FinishStop(Instant aStart, routing::DrainPlan aPlan)
  {
    co_await SleepUntil(aPlan.m_announceAt);
    m_control.Feed(distribution::DrainRequested{});
    co_await SleepUntil(aPlan.m_refuseCallsAt);
    asio::post(m_callsContext, [this] { m_calls->StopAcceptingCalls(); });
    co_await SleepUntil(aPlan.m_refuseCallersAt);
    asio::post(m_callsContext, [this] { m_calls->StopAcceptingCallers(); });
    StopDebts debts = co_await PayDebts(aPlan.m_answerBy);
    if (!debts.IsClear()) {
      LogDebts("drain_time_over", debts, Clock::Now() - aStart);
      asio::post(m_callsContext, [this] { m_calls->EndCalls(); });
    }
    m_control.Feed(distribution::LeaveRequested{});
    co_await Sleep(kLeaveNoticeMs);
    debts = co_await PayDebts(aPlan.m_closeBy); // Answers to calls that came meanwhile as well.
    LogDebts(debts.IsClear() ? "drained" : "answers_cut", debts, Clock::Now() - aStart);
    asio::post(m_callsContext, [this] {
      m_calls->Stop();
      m_callsContext.stop();
    });
    m_control.Stop();
    m_controlContext.stop();
  }

  const Settings& m_settings;
  std::string m_settingsPath;
  SharedState m_shared;
  asio::io_context m_controlContext{ 1 };
  asio::io_context m_callsContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> m_callsGuard{
    m_callsContext.get_executor()
  };
  ControlPlane m_control;
  std::unique_ptr<CallProxy> m_calls;
  Mailbox<CallSocket> m_callSockets;
  asio::signal_set m_stopSignals;
  asio::signal_set m_reloadSignals;
  bool m_stopping = false;
};

} // namespace

Result<void>
RunNode(const Settings& aSettings, const std::string& aPath)
{
  std::signal(SIGPIPE, SIG_IGN);
  ReturnFreedMemory();
  // Never destroyed, since suspended coroutines refer to it until the process exits.
  static NodeProcess* process = nullptr;
  process = new NodeProcess(aSettings, aPath); // NOLINT(cppcoreguidelines-owning-memory)
  return process->Run();
}

} // namespace sequoiastep::node
