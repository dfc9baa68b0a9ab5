// A target deregisters and is acknowledged; then the node beside it is killed and starts again while the target goes
// on serving. A report from before the leaving, delayed in the network, arrives at the new process.
#include "standins.h"

using namespace review;

namespace {

constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kStableWindowMs = 3000;
constexpr std::int64_t kHeartbeatDelayMs = 2500;
constexpr std::int64_t kStayAfterAckMs = 9000;

struct Sent
{
  std::string m_id;
  std::string m_method;
  Answer m_answer;
};

} // namespace

int
main(int, char** aArguments)
{
  Begin(aArguments[1]);
  Mesh mesh;
  const auto work = [](const std::string&) { return 640; };
  Machine& entry = mesh.Add("sidecar-hobart-a-1", { .m_service = "jobboard", .m_zone = "hobart-a", .m_id = "i-jobs-1" });
  Machine& far = mesh.Add(
    "sidecar-hobart-b-1", { .m_service = "drawings", .m_zone = "hobart-b", .m_id = "i-draw-1", .m_workMs = work });
  Machine& other = mesh.Add(
    "sidecar-hobart-b-2", { .m_service = "drawings", .m_zone = "hobart-b", .m_id = "i-draw-2", .m_workMs = work });
  const bool written = mesh.WriteConfig(ConfigText(
    1,
    { { .m_name = "r-history", .m_prefix = "/history/", .m_kind = "safe", .m_service = "drawings" },
      { .m_name = "r-book", .m_prefix = "/book/", .m_kind = "unsafe", .m_service = "drawings", .m_timeoutMs = 2500 } },
    { "jobboard", "drawings" }));
  mesh.Report(entry);
  mesh.Report(other);
  Mesh::SendHeartbeat(far, far.m_upstream->Heartbeat(false));
  if (!written || !mesh.WaitUntilFormed(3)) {
    return Finish(kCouldNotRun, "the mesh did not form");
  }
  // Clients on the first machine, 10 requests a second, every second one unsafe.
  std::atomic<bool> sending{ true };
  std::mutex mutex;
  std::vector<Sent> sent;
  std::vector<std::thread> clients;
  std::thread traffic([&] {
    for (int n = 0; sending; ++n) {
      clients.emplace_back([&, n] {
        Sent one{ .m_id = NewId(), .m_method = n % 2 == 0 ? "GET" : "POST", .m_answer = {} };
        const std::string path = n % 2 == 0 ? "/history/1" : "/book/1";
        one.m_answer = Call(
          entry.m_outbound, RequestText(one.m_method, path, kHost, one.m_id, n % 2 == 0 ? 8000 : 2500), 9000);
        const std::lock_guard lock(mutex);
        sent.push_back(std::move(one));
      });
      SleepMs(100);
    }
  });
  SleepMs(1500);
  // Sent now, delivered late.
  const std::string lateHeartbeat = far.m_upstream->Heartbeat(false);
  const std::int64_t heartbeatSentAt = SteadyMs();
  Note("upstream i-draw-1: heartbeat sent (state ready), it is delayed: %s", lateHeartbeat.c_str());
  SleepMs(200);
  far.m_upstream->Leave();
  const Answer ack = Call(far.m_control, JsonPost(far.m_upstream->DeregisterPath(), far.m_upstream->Born_()), 1000);
  const std::int64_t ackedAt = Record::Get().Now();
  Note("upstream i-draw-1: deregistered, answered %d", ack.m_status);

  // The disruption: the node beside the target is killed and starts again.
  std::int64_t restartedAt = -kStableWindowMs;
  SleepMs(300);
  if (WithTrouble()) {
    far.m_node->Signal(SIGKILL);
    far.m_node->Wait(5000);
    Note("node %s killed", far.m_name.c_str());
    SleepMs(200);
    mesh.StartNode(far);
    restartedAt = Record::Get().Now();
  }
  SleepMs(kHeartbeatDelayMs - (SteadyMs() - heartbeatSentAt));
  const bool taken = Mesh::SendHeartbeat(far, lateHeartbeat);
  Note("upstream i-draw-1: the delayed heartbeat arrived %lld ms late, answered %s",
       static_cast<long long>(SteadyMs() - heartbeatSentAt), taken ? "200" : "otherwise");
  SleepMs(kStayAfterAckMs - (Record::Get().Now() - ackedAt));
  far.m_upstream->Stop();
  const std::int64_t exitedAt = Record::Get().Now();
  Note("upstream i-draw-1: exits, %lld ms after its acknowledgement", static_cast<long long>(exitedAt - ackedAt));
  SleepMs(500);
  sending = false;
  traffic.join();
  for (std::thread& client : clients) {
    client.join();
  }
  if (ack.m_status != 200 || !taken) {
    return Finish(kCouldNotRun, "a report was not acknowledged");
  }

  const std::int64_t boundFrom = std::max(ackedAt + kDrainMs, restartedAt + kStableWindowMs);
  std::map<std::string, Run> runs;
  int late = 0;
  int cut = 0;
  int cutUnsafe = 0;
  for (const Run& run : far.m_upstream->Runs()) {
    const bool isLate = run.m_arrivedAt > boundFrom;
    const bool isCut = run.m_startedAt >= 0 && run.m_status == 0 && run.m_endedAt >= exitedAt - 20;
    late += isLate ? 1 : 0;
    cut += isLate && isCut ? 1 : 0;
    Note("upstream i-draw-1 ran %s %s %s: arrived %lld (%lld ms after the acknowledgement)%s, ended %lld, status %d%s",
         run.m_method.c_str(), run.m_path.c_str(), run.m_id.c_str(), static_cast<long long>(run.m_arrivedAt),
         static_cast<long long>(run.m_arrivedAt - ackedAt), isLate ? " LATE" : "",
         static_cast<long long>(run.m_endedAt), run.m_status, isCut ? ", cut by its exit" : "");
    runs[run.m_id] = run;
  }
  for (const Sent& one : sent) {
    const bool lost = runs.contains(one.m_id) && one.m_method == "POST" && one.m_answer.m_status != 200 &&
                      runs[one.m_id].m_arrivedAt > boundFrom;
    cutUnsafe += lost ? 1 : 0;
    if (one.m_answer.m_status != 200) {
      Note("client: %s %s sent %lld, ended %lld: status %d, %s%s", one.m_method.c_str(), one.m_id.c_str(),
           static_cast<long long>(one.m_answer.m_sentAt), static_cast<long long>(one.m_answer.m_endAt),
           one.m_answer.m_status, one.m_answer.EndName(), lost ? " (had run at i-draw-1)" : "");
    }
  }
  char text[400];
  std::snprintf(text, sizeof text,
                "%d requests reached i-draw-1 later than %lld ms after the acknowledgement and the stable window; %d of them "
                "were cut at work when it exited, %d unsafe ones got no success",
                late, static_cast<long long>(kDrainMs), cut, cutUnsafe);
  return Finish(late > 0 ? kBroken : kHeld, text);
}
