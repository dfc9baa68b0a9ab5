// The three nodes of a region that would read the platform's store lose power at once, between two
// changes of the configuration in quick succession. The other nodes of the region have no
// disruption.
#include "standins.h"

using namespace review;

namespace {

constexpr std::int64_t kConfigApplyMs = 2000;
constexpr std::int64_t kStableWindowMs = 3000;
constexpr std::int64_t kWatchMs = 5000;
constexpr int kReaders = 3;
constexpr int kMachines = 10;
constexpr std::int64_t kBetweenMs = 250;

int
ReaderRank(const Machine& aMachine)
{
  const Answer answer =
    Call(aMachine.m_ready,
         "GET /admin/v1/status HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
         1000);
  const std::string key = "\"reader_rank\":";
  const std::size_t at = answer.m_message.m_body.find(key);
  return at == std::string::npos ? -1
                                 : std::atoi(answer.m_message.m_body.c_str() + at + key.size());
}

} // namespace

int
main(int, char** aArguments)
{
  Begin(aArguments[1]);
  Mesh mesh;
  std::vector<Machine*> machines;
  for (int n = 0; n < kMachines; ++n) {
    const std::string zone = n % 2 == 0 ? "hobart-a" : "hobart-b";
    machines.push_back(&mesh.Add("sidecar-" + zone + "-" + std::to_string(n / 2 + 1),
                                 { .m_service = n / 2 % 2 == 0 ? "jobboard" : "workorders",
                                   .m_zone = zone,
                                   .m_id = "i-" + std::to_string(n) }));
    mesh.Report(*machines.back());
  }
  const std::vector<std::string> services{ "jobboard", "workorders" };
  const RouteOptions list{ .m_name = "r-list",
                           .m_prefix = "/list/",
                           .m_kind = "safe",
                           .m_service = "jobboard",
                           .m_timeoutMs = 1000 };
  const RouteOptions book{ .m_name = "r-book",
                           .m_prefix = "/book/",
                           .m_kind = "unsafe",
                           .m_service = "jobboard",
                           .m_timeoutMs = 1200 };
  if (!mesh.WriteConfig(ConfigText(1, { list, book }, services)) ||
      !mesh.WaitUntilFormed(kMachines)) {
    return Finish(kCouldNotRun, "the mesh did not form");
  }
  SleepMs(kStableWindowMs + 1000);
  std::vector<Machine*> readers;
  std::vector<Machine*> others;
  for (Machine* machine : machines) {
    const int rank = ReaderRank(*machine);
    Note("node %s: reader rank %d, upstream of %s",
         machine->m_name.c_str(),
         rank,
         machine->m_upstream->Service().c_str());
    (rank >= 0 && rank < kReaders ? readers : others).push_back(machine);
  }
  if (readers.size() != kReaders) {
    return Finish(kCouldNotRun, "the readers are not known");
  }
  // The operator changes the configuration twice in quick succession; the readers go dark between
  // the two.
  if (!mesh.WriteConfig(ConfigText(2, { list, book }, services))) {
    return Finish(kCouldNotRun, "the second configuration was not acknowledged");
  }
  SleepMs(kBetweenMs);
  if (WithTrouble()) {
    for (Machine* machine : readers) {
      machine->m_node->Signal(
        SIGSTOP); // A machine without power answers nothing; it never comes back.
      Note("machine %s is dark", machine->m_name.c_str());
    }
  }
  RouteOptions added = list;
  added.m_name = "r-added";
  added.m_prefix = "/added/";
  RouteOptions moved = book;
  moved.m_service = "workorders";
  if (!mesh.WriteConfig(ConfigText(3, { list, moved, added }, services))) {
    return Finish(kCouldNotRun, "the third configuration was not acknowledged");
  }
  const std::int64_t ackedAt = Record::Get().Now();
  // Clients of the machines without disruption use the added route and the one that moved.
  struct Sent
  {
    std::string m_id;
    std::string m_machine;
    bool m_booking = false;
    Answer m_answer;
  };
  std::mutex mutex;
  std::vector<Sent> sent;
  std::vector<std::thread> clients;
  for (Machine* machine : others) {
    for (const bool booking : { false, true }) {
      clients.emplace_back([&, machine, booking] {
        while (Record::Get().Now() - ackedAt < kWatchMs) {
          Sent one{
            .m_id = NewId(), .m_machine = machine->m_name, .m_booking = booking, .m_answer = {}
          };
          const std::string text = booking
                                     ? RequestText("POST", "/book/1", kHost, one.m_id, 2500, "1")
                                     : RequestText("GET", "/added/1", kHost, one.m_id, 2000);
          one.m_answer = Call(machine->m_outbound, text, 3000);
          const std::lock_guard lock(mutex);
          sent.push_back(std::move(one));
          SleepMs(40);
        }
      });
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  std::map<std::string, std::string> ranBy;
  for (Machine* machine : machines) {
    for (const Run& run : machine->m_upstream->Runs()) {
      if (run.m_startedAt >= 0) {
        ranBy[run.m_id] = machine->m_upstream->Service();
      }
    }
  }
  int refused = 0;
  int byOldService = 0;
  for (const Sent& one : sent) {
    const std::int64_t sentAfter = one.m_answer.m_sentAt - ackedAt;
    const std::string service = ranBy.contains(one.m_id) ? ranBy[one.m_id] : "none";
    const bool older = one.m_booking ? service == "jobboard" : one.m_answer.m_status == 404;
    const bool late = older && sentAfter > kConfigApplyMs;
    refused += late && !one.m_booking ? 1 : 0;
    byOldService += late && one.m_booking ? 1 : 0;
    Note("client at %s: %s %s sent %lld ms after the acknowledgement: %d, run by %s%s",
         one.m_machine.c_str(),
         one.m_booking ? "POST /book/1" : "GET /added/1",
         one.m_id.c_str(),
         static_cast<long long>(sentAfter),
         one.m_answer.m_status,
         service.c_str(),
         late ? " LATE" : "");
  }
  char text[300];
  std::snprintf(text,
                sizeof text,
                "of the requests sent later than %lld ms after the acknowledgement, %d bookings "
                "were run by the old service and "
                "%d requests got 404 though their route was there",
                static_cast<long long>(kConfigApplyMs),
                byOldService,
                refused);
  return Finish(byOldService + refused > 0 ? kBroken : kHeld, text);
}
