// Measures the cost of distribution with the real controllers and frames on the fakes of the tests:
// steady-state traffic, one change compared over three ways to distribute it, lost pushes, and a
// failure domain that dies and restarts.
//
// Usage: distribution_bench NODES [CONFIG_KB [FAN_OUT CHORDS [HEARTBEAT_MS]]]
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
// Nodes start in groups of this size, one group per second.
constexpr std::size_t kStartGroupSize = 50;
// HTTP headers of a log read, request and answer together.
constexpr std::uint64_t kPollHeaderBytes = 300;

// Messages sent, and the bytes of their frames.
struct Traffic
{
  std::uint64_t m_messages = 0;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_crossRegionBytes = 0;
  /// The part of them that carries configuration records.
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
      if (i % kStartGroupSize == 0) {
        m_mesh.Run(kSecond);
      }
      const std::string region = i % 2 == 0 ? "east" : "west";
      m_mesh.Add("node-" + std::to_string(i), region, region + "-" + std::to_string(i / 2 % 3));
    }
    m_mesh.SetActionObserver(
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
      m_traffic.m_crossRegionBytes += m_lastSize;
    }
    if (send->m_message->body.type == wire::Body::ConfigRecord) {
      ++m_traffic.m_records;
      m_traffic.m_recordBytes += m_lastSize;
    }
  }

  Traffic TakeTraffic() { return std::exchange(m_traffic, {}); }

  FakeMesh m_mesh;
  Traffic m_traffic;
  std::shared_ptr<const wire::EnvelopeT> m_lastMessage;
  std::size_t m_lastSize = 0;
};

// A configuration of about aKilobytes in which only aNumber differs between versions.
std::string
MakeConfigJson(std::size_t aKilobytes, int aNumber)
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
MakePublication(std::uint64_t aVersion, const std::string& aBase)
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
    "node-0",
    PublishRequested{ .m_request = aVersion, .m_text = MakePublication(aVersion, aBase) });
  const Instant start = aBench.m_mesh.Now();
  const bool allHold = aBench.m_mesh.RunUntil(
    [&] { return aBench.m_mesh.AllHoldVersion(aVersion + 1); }, 10 * kSecond);
  fmt::print("change {}: all_hold={} after_ms={} (1 ms within a region, 8 ms between)\n",
             aVersion + 1,
             allHold,
             aBench.m_mesh.Now() - start);
}

void
MeasureChange(Bench& aBench, std::size_t aNodes, std::size_t aKilobytes)
{
  PublishAndWait(aBench, 0, MakeConfigJson(aKilobytes, 0));
  aBench.m_mesh.Run(5 * kSecond);
  aBench.TakeTraffic();
  aBench.m_mesh.Run(5 * kSecond);
  const Traffic steady = aBench.TakeTraffic();
  const std::uint64_t readsBefore = aBench.m_mesh.Log().m_requests;
  PublishAndWait(aBench, 1, MakeConfigJson(aKilobytes, 1));
  aBench.m_mesh.Run(5 * kSecond);
  const Traffic change = aBench.TakeTraffic();
  const auto& log = aBench.m_mesh.Log();
  const std::uint64_t recordBytes = log.m_config.back().size();
  const std::string checkpoint =
    config::EncodeCheckpoint(*aBench.m_mesh.Node("node-0").m_controller.m_replay);
  wire::WholeT whole;
  whole.checkpoint.assign(checkpoint.begin(), checkpoint.end());
  const std::uint64_t wholeFrameBytes =
    wire::EncodeFrame(wire::MakeEnvelope(std::move(whole))).size();
  const std::uint64_t configBytes =
    aBench.m_mesh.Node("node-0").m_controller.m_replay->m_canonicalText.size();
  const std::uint64_t pollBytes = recordBytes * 4 / 3 + kPollHeaderBytes;
  const std::uint64_t wholePollBytes = configBytes * 4 / 3 + kPollHeaderBytes;
  fmt::print("config_bytes={} record_in_log={} whole_frame={} log_requests={}\n",
             configBytes,
             recordBytes,
             wholeFrameBytes,
             log.m_requests - readsBefore);
  fmt::print("delta push tree: record_frames={} record_bytes={} all_bytes_over_steady={} "
             "cross_over_steady={} log_reads_cross_bytes={}\n",
             change.m_records,
             change.m_recordBytes,
             static_cast<std::int64_t>(change.m_bytes) - static_cast<std::int64_t>(steady.m_bytes),
             static_cast<std::int64_t>(change.m_crossRegionBytes) -
               static_cast<std::int64_t>(steady.m_crossRegionBytes),
             pollBytes);
  fmt::print("full-state push on the same tree: record_bytes={} cross_bytes={}\n",
             change.m_records * wholeFrameBytes,
             wholePollBytes);
  fmt::print("each node polls the log: delta_bytes={} cross={} whole_bytes={} cross={}\n",
             aNodes * pollBytes,
             aNodes / 2 * pollBytes,
             aNodes * wholePollBytes,
             aNodes / 2 * wholePollBytes);
}

// A change of which 30 % of the pushes are lost, so that nodes depend on heartbeats and pulls.
void
MeasureLostPushes(Bench& aBench, std::size_t aKilobytes)
{
  Random random{ 5 };
  aBench.m_mesh.SetLoss([&](const SendMessage& aSend) {
    return aSend.m_message->body.type == wire::Body::ConfigRecord && random.Below(100) < 30;
  });
  fmt::print("with 30 of 100 records lost: ");
  PublishAndWait(aBench, 2, MakeConfigJson(aKilobytes, 2));
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
  aBench.TakeTraffic();
  for (const std::string& name : dead) {
    mesh.Kill(name);
  }
  Instant start = mesh.Now();
  bool converged = mesh.RunUntil([&] { return mesh.AllKnowEachOther(); }, 120 * kSecond);
  Traffic traffic = aBench.TakeTraffic();
  fmt::print("domain of {} dies: known={} after_ms={} bytes_per_node={}\n",
             dead.size(),
             converged,
             mesh.Now() - start,
             traffic.m_bytes / aNodes);
  for (const std::string& name : dead) {
    mesh.Restart(name);
  }
  start = mesh.Now();
  converged =
    mesh.RunUntil([&] { return mesh.AllKnowEachOther() && mesh.AllHoldVersion(3); }, 120 * kSecond);
  traffic = aBench.TakeTraffic();
  fmt::print("domain returns at once: known={} after_ms={} bytes_per_node={} cross_bytes={}\n",
             converged,
             mesh.Now() - start,
             traffic.m_bytes / aNodes,
             traffic.m_crossRegionBytes);
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
  bench.m_mesh.Run(75 * kSecond); // Groups find each other, and unwanted links are closed.
  bench.TakeTraffic();
  const double wallStart = WallSeconds();
  bench.m_mesh.Run(kSteadyMs);
  const double wallSeconds = WallSeconds() - wallStart;
  const Traffic steady = bench.TakeTraffic();
  std::size_t links = 0;
  std::size_t maxLinks = 0;
  for (auto& [name, node] : bench.m_mesh.Nodes()) {
    links += node.m_controller.m_links.size();
    maxLinks = std::max(maxLinks, node.m_controller.m_links.size());
  }
  const auto seconds = static_cast<double>(kSteadyMs) / kSecond;
  const auto nodes = static_cast<double>(aNodes);
  fmt::print("steady: bytes_per_node_s={:.0f} messages_per_node_s={:.1f} cross_bytes_s={:.0f} "
             "links_per_node={:.1f} most={} step_us_per_node_s={:.0f}\n",
             static_cast<double>(steady.m_bytes) / nodes / seconds,
             static_cast<double>(steady.m_messages) / nodes / seconds,
             static_cast<double>(steady.m_crossRegionBytes) / seconds,
             static_cast<double>(links) / nodes,
             maxLinks,
             wallSeconds * 1e6 / nodes / seconds);
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
