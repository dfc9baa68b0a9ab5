// What keeping a mesh in step costs, with the real controllers and frames on the fakes of the
// tests: steady traffic, one change by three ways of spreading it, a failure domain that dies and
// returns. Usage: distribution_bench NODES [CONFIG_KB [FAN_OUT CHORDS [HEARTBEAT_MS]]]
#define DOCTEST_CONFIG_IMPLEMENT
#include "FakeMesh.h"
#include "Frame.h"
#include "Log.h"

#include <chrono>
#include <doctest/doctest.h>
#include <fmt/core.h>

using namespace sequoiastep;
using namespace sequoiastep::distribution;

namespace {

constexpr Milliseconds kSecond = 1000;
constexpr Milliseconds kSteadyMs = 10'000;
// Nodes are started in groups, one each second.
constexpr std::size_t kStartedAtOnce = 50;
// Head of a log read's HTTP answer, and of the request for it.
constexpr std::uint64_t kPollHeadBytes = 300;

struct Traffic
{
  std::uint64_t m_messages = 0;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_crossBytes = 0;
  /// Of these, frames that carry a configuration record, and their bytes.
  std::uint64_t m_records = 0;
  std::uint64_t m_recordBytes = 0;
};

struct Bench
{
  Bench(std::size_t aNodes, const ControllerOptions& aDefaults)
    : m_mesh(1)
  {
    m_mesh.Defaults() = aDefaults;
    for (std::size_t i = 0; i < aNodes; ++i) {
      if (i % kStartedAtOnce == 0) {
        m_mesh.Run(kSecond);
      }
      const std::string region = i % 2 == 0 ? "east" : "west";
      m_mesh.Add("node-" + std::to_string(i), region, region + "-" + std::to_string(i / 2 % 3));
    }
    m_mesh.SetWatch(
      [this](const std::string& aNode, const Action& aAction) { Count(aNode, aAction); });
  }

  void Count(const std::string& aNode, const Action& aAction)
  {
    const auto* send = std::get_if<SendMessage>(&aAction);
    if (send == nullptr) {
      return;
    }
    if (m_lastMessage != send->m_message) {
      m_lastMessage = send->m_message;
      m_lastSize = wire::EncodeFrame(*send->m_message).size();
    }
    ++m_traffic.m_messages;
    m_traffic.m_bytes += m_lastSize;
    if (m_mesh.Node(aNode).m_region != m_mesh.Node(send->m_node).m_region) {
      m_traffic.m_crossBytes += m_lastSize;
    }
    if (send->m_message->body.type == wire::Body::ConfigRecord) {
      ++m_traffic.m_records;
      m_traffic.m_recordBytes += m_lastSize;
    }
  }

  Traffic Take() { return std::exchange(m_traffic, {}); }

  FakeMesh m_mesh;
  Traffic m_traffic;
  std::shared_ptr<const wire::EnvelopeT> m_lastMessage;
  std::size_t m_lastSize = 0;
};

// A configuration of about aKilobytes, with one number that changes.
std::string
ConfigJson(std::size_t aKilobytes, int aNumber)
{
  std::string services = R"("s":{})";
  std::string routes =
    R"({"prefix":"/","cluster":"c","timeout_ms":)" + std::to_string(1000 + aNumber) + "}";
  Random random{ 3 };
  while (services.size() + routes.size() < aKilobytes * 1024) {
    const std::string name = fmt::format("service-{:012x}", random.Next() & 0xffffffffffffULL);
    services += fmt::format(
      R"(,"{}":{{"queue":{},"queue_ms":{}}})", name, random.Below(100), random.Below(1000));
    routes += fmt::format(
      R"(,{{"prefix":"/{}","methods":["GET"],"cluster":"c","repeat":"safe","timeout_ms":{}}})",
      name,
      1 + random.Below(5000));
  }
  return R"({"services":{)" + services + R"(},"clusters":{"c":{"service":"s"}},"routes":[)" +
         routes + "]}";
}

std::string
PublicationOf(std::uint64_t aVersion, const std::string& aBase)
{
  return fmt::format(
    R"({{"publish_id":"p{}","expected_version":{},"base":{}}})", aVersion, aVersion, aBase);
}

double
WallSeconds()
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void
PublishAndWait(Bench& aBench, std::uint64_t aVersion, const std::string& aBase)
{
  aBench.m_mesh.Feed(
    "node-0", PublishRequested{ .m_request = aVersion, .m_text = PublicationOf(aVersion, aBase) });
  const Instant start = aBench.m_mesh.Now();
  const bool all =
    aBench.m_mesh.RunUntil([&] { return aBench.m_mesh.AllHold(aVersion + 1); }, 10 * kSecond);
  fmt::print("change {}: all_hold={} after_ms={} (1 ms within a region, 8 ms between)\n",
             aVersion + 1,
             all,
             aBench.m_mesh.Now() - start);
}

void
MeasureChange(Bench& aBench, std::size_t aNodes, std::size_t aKilobytes)
{
  PublishAndWait(aBench, 0, ConfigJson(aKilobytes, 0));
  aBench.m_mesh.Run(5 * kSecond);
  aBench.Take();
  aBench.m_mesh.Run(5 * kSecond);
  const Traffic steady = aBench.Take();
  const std::uint64_t readsBefore = aBench.m_mesh.Log().m_requests;
  PublishAndWait(aBench, 1, ConfigJson(aKilobytes, 1));
  aBench.m_mesh.Run(5 * kSecond);
  const Traffic change = aBench.Take();
  const auto& log = aBench.m_mesh.Log();
  const std::uint64_t body = log.m_config.back().size();
  const std::string checkpoint =
    config::EncodeCheckpoint(*aBench.m_mesh.Node("node-0").m_controller.m_replay);
  wire::WholeT whole;
  whole.checkpoint.assign(checkpoint.begin(), checkpoint.end());
  const std::uint64_t wholeFrame = wire::EncodeFrame(wire::MakeEnvelope(std::move(whole))).size();
  const std::uint64_t canonical =
    aBench.m_mesh.Node("node-0").m_controller.m_replay->m_canonicalText.size();
  const std::uint64_t poll = body * 4 / 3 + kPollHeadBytes;
  const std::uint64_t wholePoll = canonical * 4 / 3 + kPollHeadBytes;
  fmt::print("config_bytes={} record_in_log={} whole_frame={} log_requests={}\n",
             canonical,
             body,
             wholeFrame,
             log.m_requests - readsBefore);
  fmt::print("delta push tree: record_frames={} record_bytes={} all_bytes_over_steady={} "
             "cross_over_steady={} log_reads_cross_bytes={}\n",
             change.m_records,
             change.m_recordBytes,
             static_cast<std::int64_t>(change.m_bytes) - static_cast<std::int64_t>(steady.m_bytes),
             static_cast<std::int64_t>(change.m_crossBytes) -
               static_cast<std::int64_t>(steady.m_crossBytes),
             poll);
  fmt::print("whole push on the same tree: record_bytes={} cross_bytes={}\n",
             change.m_records * wholeFrame,
             wholePoll);
  fmt::print("each node polls the log: delta_bytes={} cross={} whole_bytes={} cross={}\n",
             aNodes * poll,
             aNodes / 2 * poll,
             aNodes * wholePoll,
             aNodes / 2 * wholePoll);
}

// A change of which three of ten pushes are lost: heartbeats and pulls have to mend it.
void
MeasureLostPushes(Bench& aBench, std::size_t aKilobytes)
{
  Random random{ 5 };
  aBench.m_mesh.SetLoss([&](const SendMessage& aSend) {
    return aSend.m_message->body.type == wire::Body::ConfigRecord && random.Below(100) < 30;
  });
  fmt::print("with 30 of 100 records lost: ");
  PublishAndWait(aBench, 2, ConfigJson(aKilobytes, 2));
  aBench.m_mesh.SetLoss({});
}

void
MeasureDomainLoss(Bench& aBench, std::size_t aNodes)
{
  FakeMesh& mesh = aBench.m_mesh;
  std::vector<std::string> dead;
  for (auto& [name, node] : mesh.Nodes()) {
    if (node.m_failureDomain == "west-2") {
      dead.push_back(name);
    }
  }
  aBench.Take();
  for (const std::string& name : dead) {
    mesh.Kill(name);
  }
  Instant start = mesh.Now();
  bool done = mesh.RunUntil([&] { return mesh.AllKnowEachOther(); }, 120 * kSecond);
  Traffic traffic = aBench.Take();
  fmt::print("domain of {} dies: known={} after_ms={} bytes_per_node={}\n",
             dead.size(),
             done,
             mesh.Now() - start,
             traffic.m_bytes / aNodes);
  for (const std::string& name : dead) {
    mesh.Restart(name);
  }
  start = mesh.Now();
  done = mesh.RunUntil([&] { return mesh.AllKnowEachOther() && mesh.AllHold(3); }, 120 * kSecond);
  traffic = aBench.Take();
  fmt::print("domain returns at once: known={} after_ms={} bytes_per_node={} cross_bytes={}\n",
             done,
             mesh.Now() - start,
             traffic.m_bytes / aNodes,
             traffic.m_crossBytes);
}

void
Run(std::size_t aNodes, std::size_t aKilobytes, const ControllerOptions& aDefaults)
{
  Bench bench(aNodes, aDefaults);
  const bool known =
    bench.m_mesh.RunUntil([&] { return bench.m_mesh.AllKnowEachOther(); }, 120 * kSecond);
  fmt::print("nodes={} start in groups of 50: known={} after_ms={} log_requests={}\n",
             aNodes,
             known,
             bench.m_mesh.Now().m_ms - 1'000'000,
             bench.m_mesh.Log().m_requests);
  bench.m_mesh.Run(75 * kSecond); // Groups look for each other, and unwanted links close.
  bench.Take();
  const double wall = WallSeconds();
  bench.m_mesh.Run(kSteadyMs);
  const double spent = WallSeconds() - wall;
  const Traffic steady = bench.Take();
  std::size_t links = 0;
  std::size_t mostLinks = 0;
  for (auto& [name, node] : bench.m_mesh.Nodes()) {
    links += node.m_controller.m_links.size();
    mostLinks = std::max(mostLinks, node.m_controller.m_links.size());
  }
  const auto seconds = static_cast<double>(kSteadyMs) / kSecond;
  const auto nodes = static_cast<double>(aNodes);
  fmt::print("steady: bytes_per_node_s={:.0f} messages_per_node_s={:.1f} cross_bytes_s={:.0f} "
             "links_per_node={:.1f} most={} step_us_per_node_s={:.0f}\n",
             static_cast<double>(steady.m_bytes) / nodes / seconds,
             static_cast<double>(steady.m_messages) / nodes / seconds,
             static_cast<double>(steady.m_crossBytes) / seconds,
             static_cast<double>(links) / nodes,
             mostLinks,
             spent * 1e6 / nodes / seconds);
  MeasureChange(bench, aNodes, aKilobytes);
  MeasureLostPushes(bench, aKilobytes);
  MeasureDomainLoss(bench, aNodes);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  SetLogLevel(LogLevel::Error);
  doctest::Context context;
  context.setAsDefaultForAssertsOutOfTestCases();
  const std::size_t nodes = aCount > 1 ? std::stoul(aArguments[1]) : 50;
  const std::size_t kilobytes = aCount > 2 ? std::stoul(aArguments[2]) : 2;
  ControllerOptions defaults;
  if (aCount > 4) {
    defaults.m_topology.m_fanOut = std::stoul(aArguments[3]);
    defaults.m_topology.m_chords = std::stoul(aArguments[4]);
  }
  if (aCount > 5) {
    defaults.m_heartbeatMs = std::stol(aArguments[5]);
  }
  Run(nodes, kilobytes, defaults);
  return 0;
}
