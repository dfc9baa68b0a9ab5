// What the cases about a target that leaves share: the mesh, its clients and the verdict.
#pragma once

#include "standins.h"

namespace review {

constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kStableWindowMs = 3000;
constexpr std::int64_t kHeartbeatDelayMs = 2500;
constexpr std::int64_t kStayAfterAckMs = 9000;

// Three machines: one whose clients send, and two with upstreams of the service, the first of which
// leaves.
struct LeavingMesh
{
  Mesh m_mesh;
  Machine* m_entry = nullptr;
  Machine* m_far = nullptr;
  bool m_formed = false;

  LeavingMesh()
  {
    const auto work = [](const std::string&) { return 640; };
    m_entry = &m_mesh.Add("sidecar-hobart-a-1",
                          { .m_service = "jobboard", .m_zone = "hobart-a", .m_id = "i-jobs-1" });
    m_far = &m_mesh.Add(
      "sidecar-hobart-b-1",
      { .m_service = "drawings", .m_zone = "hobart-b", .m_id = "i-draw-1", .m_workMs = work });
    Machine& other = m_mesh.Add(
      "sidecar-hobart-b-2",
      { .m_service = "drawings", .m_zone = "hobart-b", .m_id = "i-draw-2", .m_workMs = work });
    const bool written = m_mesh.WriteConfig(ConfigText(1,
                                                       { { .m_name = "r-history",
                                                           .m_prefix = "/history/",
                                                           .m_kind = "safe",
                                                           .m_service = "drawings" },
                                                         { .m_name = "r-book",
                                                           .m_prefix = "/book/",
                                                           .m_kind = "unsafe",
                                                           .m_service = "drawings",
                                                           .m_timeoutMs = 2500 } },
                                                       { "jobboard", "drawings" }));
    m_mesh.Report(*m_entry);
    m_mesh.Report(other);
    const std::int64_t giveUp = SteadyMs() + 20'000;
    while (written && !m_formed && SteadyMs() < giveUp) {
      Mesh::SendHeartbeat(*m_far, m_far->m_upstream->Heartbeat(false));
      m_formed = m_mesh.WaitUntilFormed(3, 1000);
    }
  }
};

// Clients on one machine, 10 requests a second, every second one unsafe.
class Traffic
{
public:
  struct Sent
  {
    std::string m_id;
    bool m_unsafe = false;
    Answer m_answer;
  };

  explicit Traffic(Address aTo)
    : m_to(std::move(aTo))
    , m_sending(std::thread([this] { SendLoop(); }))
  {
  }
  ~Traffic() { End(); }

  // Stops and returns what was sent.
  const std::vector<Sent>& End()
  {
    m_on = false;
    if (m_sending.joinable()) {
      m_sending.join();
    }
    for (std::thread& client : m_clients) {
      client.join();
    }
    m_clients.clear();
    return m_sent;
  }

private:
  void SendLoop()
  {
    for (int n = 0; m_on; ++n) {
      m_clients.emplace_back([this, isUnsafe = n % 2 != 0] {
        Sent one{ .m_id = NewId(), .m_unsafe = isUnsafe, .m_answer = {} };
        one.m_answer = Call(m_to,
                            isUnsafe ? RequestText("POST", "/book/1", kHost, one.m_id, 2500)
                                     : RequestText("GET", "/history/1", kHost, one.m_id, 8000),
                            9000);
        const std::lock_guard lock(m_mutex);
        m_sent.push_back(std::move(one));
      });
      SleepMs(100);
    }
  }

  Address m_to;
  std::atomic<bool> m_on{ true };
  std::mutex m_mutex;
  std::vector<Sent> m_sent;
  std::vector<std::thread> m_clients;
  std::thread m_sending;
};

// A heartbeat that is sent at once and arrives later.
class DelayedHeartbeat
{
public:
  explicit DelayedHeartbeat(const Machine& aMachine)
    : m_machine(aMachine)
    , m_body(aMachine.m_upstream->Heartbeat(false))
    , m_sentAt(SteadyMs())
  {
    Note("upstream %s: heartbeat sent (state ready), it is delayed: %s",
         aMachine.m_upstream->Id().c_str(),
         m_body.c_str());
  }

  // Waits until it is due and delivers it; true if it was answered with 200.
  bool Deliver()
  {
    SleepMs(kHeartbeatDelayMs - (SteadyMs() - m_sentAt));
    const bool taken = Mesh::SendHeartbeat(m_machine, m_body);
    Note("upstream %s: the delayed heartbeat arrived %lld ms late, answered %s",
         m_machine.m_upstream->Id().c_str(),
         static_cast<long long>(SteadyMs() - m_sentAt),
         taken ? "200" : "otherwise");
    return taken;
  }

private:
  const Machine& m_machine;
  std::string m_body;
  std::int64_t m_sentAt;
};

// The upstream deregisters; true if that was acknowledged.
inline bool
Deregister(const Machine& aMachine)
{
  Upstream& upstream = *aMachine.m_upstream;
  upstream.Leave();
  const Answer ack =
    Call(aMachine.m_control, JsonPost(upstream.DeregisterPath(), upstream.BornBody()), 1000);
  Note("upstream %s: deregistered, answered %d", upstream.Id().c_str(), ack.m_status);
  return ack.m_status == 200;
}

// Lets the upstream serve until kStayAfterAckMs after its acknowledgement at aAckedAt, ends it and
// judges what it ran. aRestartedAt is when the node beside it started; it counts as in touch
// kStableWindowMs later.
inline int
JudgeLeaving(const Machine& aMachine,
             Traffic& aTraffic,
             std::int64_t aAckedAt,
             std::int64_t aRestartedAt)
{
  Upstream& upstream = *aMachine.m_upstream;
  SleepMs(kStayAfterAckMs - (Record::Get().Now() - aAckedAt));
  upstream.Stop();
  const std::int64_t exitedAt = Record::Get().Now();
  Note("upstream %s: exits, %lld ms after its acknowledgement",
       upstream.Id().c_str(),
       static_cast<long long>(exitedAt - aAckedAt));
  SleepMs(500);
  const std::int64_t boundFrom = std::max(aAckedAt + kDrainMs, aRestartedAt + kStableWindowMs);
  std::map<std::string, Run> lateRuns;
  int cut = 0;
  for (const Run& run : upstream.Runs()) {
    const bool isLate = run.m_arrivedAt > boundFrom;
    const bool isCut = run.m_startedAt >= 0 && run.m_status == 0 && run.m_endedAt >= exitedAt - 20;
    cut += isLate && isCut ? 1 : 0;
    if (isLate) {
      lateRuns[run.m_id] = run;
    }
    Note("upstream %s ran %s %s %s: arrived %lld (%lld ms after the acknowledgement)%s, ended "
         "%lld, status %d%s",
         upstream.Id().c_str(),
         run.m_method.c_str(),
         run.m_path.c_str(),
         run.m_id.c_str(),
         static_cast<long long>(run.m_arrivedAt),
         static_cast<long long>(run.m_arrivedAt - aAckedAt),
         isLate ? " LATE" : "",
         static_cast<long long>(run.m_endedAt),
         run.m_status,
         isCut ? ", cut by its exit" : "");
  }
  int lostUnsafe = 0;
  for (const Traffic::Sent& one : aTraffic.End()) {
    const Answer& answer = one.m_answer;
    const bool lost = one.m_unsafe && answer.m_status != 200 && lateRuns.contains(one.m_id);
    lostUnsafe += lost ? 1 : 0;
    if (answer.m_status != 200) {
      Note("client: %s %s sent %lld, ended %lld: status %d, %s%s",
           one.m_unsafe ? "POST" : "GET",
           one.m_id.c_str(),
           static_cast<long long>(answer.m_sentAt),
           static_cast<long long>(answer.m_endAt),
           answer.m_status,
           answer.EndName(),
           lost ? " (had begun late)" : "");
    }
  }
  char text[400];
  std::snprintf(text,
                sizeof text,
                "%zu requests reached %s later than %lld ms after the acknowledgement and the "
                "stable window; %d of them were "
                "cut at work when it exited, %d unsafe ones got no success",
                lateRuns.size(),
                upstream.Id().c_str(),
                static_cast<long long>(kDrainMs),
                cut,
                lostUnsafe);
  return Finish(lateRuns.empty() ? kHeld : kBroken, text);
}

} // namespace review
