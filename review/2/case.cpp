// A node is stopped by SIGTERM while answers are on their way to its clients over the machine's
// link.
#include "standins.h"

using namespace review;

namespace {

constexpr std::size_t kDrawingBytes =
  540'000;                   // The largest answer of drawing-pull in the site files.
constexpr int kWorkMs = 700; // Below the longest work of drawing-pull there (770).
constexpr double kLinkBytesPerMs = 7e6 / 8 / 1000;
// Links have "small windows".
constexpr int kWindowBytes = 4 << 10;
constexpr int kSegmentBytes = 536;
constexpr std::int64_t kDeadlineMs = 4000; // Of drawing-pull on the grown site.
constexpr std::int64_t kSentAfterStopMs = 1600;
constexpr int kDownloads = 4;

// The machine's link: bytes of all clients pass one after the other.
class Link
{
public:
  void Pass(std::size_t aBytes)
  {
    std::int64_t until = 0;
    {
      const std::lock_guard lock(m_mutex);
      m_freeAtUs = std::max(m_freeAtUs, SteadyMs() * 1000) +
                   static_cast<std::int64_t>(static_cast<double>(aBytes) / kLinkBytesPerMs * 1000);
      until = m_freeAtUs / 1000;
    }
    SleepMs(until - SteadyMs());
  }

private:
  std::mutex m_mutex;
  std::int64_t m_freeAtUs = 0;
};

} // namespace

int
main(int, char** aArguments)
{
  Begin(aArguments[1]);
  Mesh mesh({ .m_linkMbps = "7.0" });
  Machine& near = mesh.Add("sidecar-hobart-a-1",
                           { .m_service = "jobboard", .m_zone = "hobart-a", .m_id = "i-jobs-1" });
  Machine& far = mesh.Add("sidecar-hobart-b-1",
                          { .m_service = "drawings",
                            .m_zone = "hobart-b",
                            .m_id = "i-draw-1",
                            .m_workMs = [](const std::string&) { return kWorkMs; },
                            .m_bytes = [](const std::string&) { return kDrawingBytes; } });
  const bool written = mesh.WriteConfig(ConfigText(1,
                                                   { { .m_name = "r-pull",
                                                       .m_prefix = "/pull/",
                                                       .m_kind = "download",
                                                       .m_service = "drawings",
                                                       .m_timeoutMs = static_cast<int>(kDeadlineMs),
                                                       .m_targetLatencyMs = 1000 } },
                                                   { "jobboard", "drawings" }));
  mesh.Report(near);
  mesh.Report(far);
  if (!written || !mesh.WaitUntilFormed(2)) {
    return Finish(kCouldNotRun, "the mesh did not form");
  }
  // Clients that open a new connection for each request.
  Link link;
  struct Client
  {
    int m_socket = -1;
    std::unique_ptr<Reader> m_reader;
    std::string m_id;
    std::size_t m_received = 0;
    Answer m_answer;
  };
  std::vector<Client> clients(kDownloads);
  const auto download = [&](Client& aClient) {
    aClient.m_id = NewId();
    aClient.m_received = 0;
    aClient.m_socket = Connect(near.m_outbound, kWindowBytes, kSegmentBytes);
    if (aClient.m_socket < 0) {
      return;
    }
    aClient.m_reader = std::make_unique<Reader>(aClient.m_socket, [&](std::size_t aBytes) {
      aClient.m_received += aBytes;
      link.Pass(aBytes);
    });
    aClient.m_answer = Exchange(aClient.m_socket,
                                *aClient.m_reader,
                                RequestText("GET", "/pull/1", kHost, aClient.m_id, kDeadlineMs),
                                2 * kDeadlineMs);
    ::close(aClient.m_socket);
  };
  const auto downloadAll = [&] {
    std::vector<std::thread> threads;
    for (Client& client : clients) {
      threads.emplace_back([&] { download(client); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  };
  downloadAll();
  for (const Client& client : clients) {
    Note("client: before: %s status %d, %zu bytes, %lld ms, %s",
         client.m_id.c_str(),
         client.m_answer.m_status,
         client.m_received,
         static_cast<long long>(client.m_answer.m_endAt - client.m_answer.m_sentAt),
         client.m_answer.EndName());
    if (client.m_answer.m_status != 200) {
      return Finish(kCouldNotRun, "no service before the stop");
    }
  }
  SleepMs(3200); // The stable window, without any disruption.

  // The planned work: the node that takes the clients' requests is stopped. Its upstream goes on.
  const std::int64_t stoppedAt = Record::Get().Now();
  if (WithTrouble()) {
    near.m_node->Signal(SIGTERM);
    Note("node %s got SIGTERM", near.m_name.c_str());
  }
  SleepMs(kSentAfterStopMs);
  std::thread exitWatch([&] {
    if (WithTrouble()) {
      const auto status = near.m_node->Wait(9000);
      Note("node %s ended %lld ms after its SIGTERM, wait status %d",
           near.m_name.c_str(),
           static_cast<long long>(Record::Get().Now() - stoppedAt),
           status.value_or(-1));
    }
  });
  downloadAll();
  exitWatch.join();

  int lost = 0;
  const std::vector<Run> runs = far.m_upstream->Runs();
  for (const Client& client : clients) {
    const auto run = std::find_if(
      runs.begin(), runs.end(), [&](const Run& aRun) { return aRun.m_id == client.m_id; });
    const bool ran = run != runs.end() && run->m_status == 200;
    const bool complete = client.m_answer.m_end == ReadEnd::Complete;
    const bool wrong =
      client.m_answer.m_status == 200 &&
      client.m_answer.m_message.m_body != far.m_upstream->Body("/pull/1", client.m_id);
    const bool isLost = ran && (!complete || wrong);
    lost += isLost ? 1 : 0;
    Note("client: %s sent %lld ms after the stop: status line '%s', %zu bytes, ended %lld ms after "
         "the stop: %s; upstream: %s%s",
         client.m_id.c_str(),
         static_cast<long long>(client.m_answer.m_sentAt - stoppedAt),
         client.m_answer.m_message.m_startLine.c_str(),
         client.m_received,
         static_cast<long long>(client.m_answer.m_endAt - stoppedAt),
         client.m_answer.EndName(),
         ran ? "answered 200 in full" : "did not answer 200",
         isLost ? " LOST" : "");
  }
  char text[300];
  std::snprintf(
    text,
    sizeof text,
    "%d of %d downloads that the upstream had answered in full ended without a complete answer",
    lost,
    kDownloads);
  return Finish(lost > 0 ? kBroken : kHeld, text);
}
