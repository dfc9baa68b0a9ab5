// A node is stopped by SIGTERM while requests that it took wait for a slot of their upstream.
#include "standins.h"

using namespace review;

namespace {

constexpr int kWorkMs = 640;               // The mean work of part-history.
constexpr std::int64_t kDeadlineMs = 8000; // Of part-history.
constexpr std::int64_t kGraceMs = 6000;
constexpr std::int64_t kLossSlackMs = 200;
constexpr int kTimeoutMs = 8000;         // The route's; as long as the clients wait.
constexpr std::int64_t kIntervalMs = 60; // 16.7 requests a second; the site's clients send 19.6.
constexpr std::int64_t kTrafficBeforeMs = 6000;
constexpr std::int64_t kTrafficAfterMs =
  1500; // Two readiness checks that miss end it at the latest after 2 s.

} // namespace

int
main(int, char** aArguments)
{
  Begin(aArguments[1]);
  Mesh mesh;
  Machine& near = mesh.Add("sidecar-hobart-a-1",
                           { .m_service = "jobboard", .m_zone = "hobart-a", .m_id = "i-jobs-1" });
  Machine& far = mesh.Add("sidecar-hobart-b-1",
                          { .m_service = "drawings",
                            .m_zone = "hobart-b",
                            .m_id = "i-draw-1",
                            .m_workMs = [](const std::string&) { return kWorkMs; } });
  const bool written = mesh.WriteConfig(ConfigText(1,
                                                   { { .m_name = "r-history",
                                                       .m_prefix = "/history/",
                                                       .m_kind = "safe",
                                                       .m_service = "drawings",
                                                       .m_timeoutMs = kTimeoutMs } },
                                                   { "jobboard", "drawings" }));
  mesh.Report(near);
  mesh.Report(far);
  if (!written || !mesh.WaitUntilFormed(2)) {
    return Finish(kCouldNotRun, "the mesh did not form");
  }
  struct Client
  {
    std::string m_id;
    Answer m_answer;
  };
  const auto call = [&](Client& aClient) {
    aClient.m_id = NewId();
    aClient.m_answer = Call(near.m_outbound,
                            RequestText("GET", "/history/1", kHost, aClient.m_id, kDeadlineMs),
                            kDeadlineMs + 1000);
  };
  for (int n = 0; n < 10; ++n) {
    Client client;
    call(client);
    if (client.m_answer.m_status != 200) {
      return Finish(kCouldNotRun, "no service before the stop");
    }
  }
  // Clients send at a constant rate, each on a new connection. The one upstream that is left of the
  // service can't take all of it, so requests wait for its slots.
  std::deque<Client> clients;
  std::vector<std::thread> threads;
  const auto sendFor = [&](std::int64_t aMs) {
    const std::int64_t until = SteadyMs() + aMs;
    while (SteadyMs() < until) {
      Client& client = clients.emplace_back();
      threads.emplace_back([&call, &client] { call(client); });
      SleepMs(kIntervalMs);
    }
  };
  sendFor(kTrafficBeforeMs);
  const std::int64_t stoppedAt = Record::Get().Now();
  if (WithTrouble()) {
    near.m_node->Signal(SIGTERM);
    Note("node %s got SIGTERM", near.m_name.c_str());
  }
  std::thread exitWatch([&] {
    if (WithTrouble()) {
      const auto status = near.m_node->Wait(9000);
      Note("node %s ended %lld ms after its SIGTERM, wait status %d",
           near.m_name.c_str(),
           static_cast<long long>(Record::Get().Now() - stoppedAt),
           status.value_or(-1));
    }
  });
  sendFor(kTrafficAfterMs);
  for (std::thread& thread : threads) {
    thread.join();
  }
  exitWatch.join();
  SleepMs(1000); // The upstream learns that its callers are gone.

  std::map<std::string, Run> runs;
  for (const Run& run : far.m_upstream->Runs()) {
    runs[run.m_id] = run;
    Note("upstream: %s arrived %lld, started %lld, ended %lld ms after the stop, status %d",
         run.m_id.c_str(),
         static_cast<long long>(run.m_arrivedAt - stoppedAt),
         static_cast<long long>(run.m_startedAt - stoppedAt),
         static_cast<long long>(run.m_endedAt - stoppedAt),
         run.m_status);
  }
  int lost = 0;
  std::map<int, int> statuses;
  for (const Client& client : clients) {
    const Answer& answer = client.m_answer;
    ++statuses[answer.m_status];
    const auto run = runs.find(client.m_id);
    const bool passedOn = run != runs.end();
    const bool ended = answer.m_end == ReadEnd::Closed || answer.m_end == ReadEnd::Reset;
    const std::int64_t endedAfterStop = answer.m_endAt - stoppedAt;
    // Excused: the upstream was still at work in the last sixth of grace_s.
    const bool excused = passedOn && run->second.m_endedAt - stoppedAt >= kGraceMs * 5 / 6;
    const bool inWindow =
      endedAfterStop <= kGraceMs + 1000 &&
      answer.m_endAt - answer.m_sentAt < std::min<std::int64_t>(kTimeoutMs, kDeadlineMs);
    const bool isLost = answer.m_connected && answer.m_sent && ended && inWindow && !excused &&
                        (passedOn || answer.m_endAt - answer.m_sentAt > kLossSlackMs);
    lost += isLost ? 1 : 0;
    char atUpstream[120] = "never got it";
    if (passedOn) {
      std::snprintf(atUpstream,
                    sizeof atUpstream,
                    "got it %lld ms after the stop, ended %lld ms after it with %d",
                    static_cast<long long>(run->second.m_arrivedAt - stoppedAt),
                    static_cast<long long>(run->second.m_endedAt - stoppedAt),
                    run->second.m_status);
    }
    Note("client: %s sent %lld ms after the stop, ended %lld ms after it: status %d, %s; upstream: "
         "%s%s%s",
         client.m_id.c_str(),
         static_cast<long long>(answer.m_sentAt - stoppedAt),
         static_cast<long long>(endedAfterStop),
         answer.m_status,
         answer.EndName(),
         atUpstream,
         ended && excused ? " (excused)" : "",
         isLost ? " LOST" : "");
  }
  std::string counts;
  for (const auto& [status, count] : statuses) {
    counts += " " + std::to_string(count) + "x" + std::to_string(status);
  }
  char text[300];
  std::snprintf(text,
                sizeof text,
                "%d of %zu requests that the node had read ended without an answer; statuses:%s",
                lost,
                clients.size(),
                counts.c_str());
  return Finish(lost > 0 ? kBroken : kHeld, text);
}
