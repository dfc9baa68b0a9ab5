#include "Replay.h"
#include "Publication.h"

#include "Compression.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::config;

namespace {

constexpr const char* kBase =
  R"({"services":{"jobboard":{}},"clusters":{"jobs":{"service":"jobboard"}},
  "routes":[{"prefix":"/jobs","cluster":"jobs","repeat":"safe"}]})";

Publication
MakePublication(const std::string& aId, std::uint64_t aExpected, const std::string& aText)
{
  const std::string text = R"({"publish_id":")" + aId + R"(","expected_version":)" +
                           std::to_string(aExpected) + "," + aText + "}";
  return Handle([&] { return ParsePublication(text); },
                [](const Error& aError) -> Publication {
                  FAIL(aError.m_message);
                  return {};
                });
}

std::string
RecordFor(const ReplayState& aState,
          const std::string& aId,
          std::uint64_t aExpected,
          const std::string& aText)
{
  return EncodeRecord(
    MakePublication(aId, aExpected, aText), aState.m_version, aState.m_canonicalText);
}

std::string
BaseText()
{
  return std::string(R"("base":)") + kBase;
}

ReplayStatePtr
AcceptBase(std::uint64_t aOffset = 0)
{
  const ReplayStatePtr empty = MakeEmptyState();
  return Replay(empty, aOffset, RecordFor(*empty, "p1", 0, BaseText())).m_state;
}

} // namespace

TEST_CASE("every node computes the same version and digest from an accepted publication")
{
  const ReplayStatePtr one = AcceptBase(4);
  const ReplayStatePtr two = AcceptBase(4);
  CHECK(one->m_version == 5);
  CHECK(one->m_position == 5);
  CHECK(one->m_digest == two->m_digest);
  CHECK(MakeSnapshot(*one, "hobart")->m_effective->m_routes.size() == 1);
}

TEST_CASE("a publication with a dangling reference in any region is refused as a whole")
{
  const ReplayStatePtr before = AcceptBase();
  const std::string change =
    R"("base_patch":{"services":{"extra":{}}},"overlays":{"burnie":{"clusters":{"jobs":{"service":"gone"}}}})";
  const ReplayResult after = Replay(before, 1, RecordFor(*before, "p2", 1, change));
  CHECK(after.m_status == ReplayStatus::Skipped);
  CHECK(after.m_state->m_version == before->m_version);
  CHECK(after.m_state->m_digest == before->m_digest);
  CHECK(after.m_state->m_position == 2);
  CHECK(after.m_reason ==
        "region burnie.clusters.jobs.service: there is no service 'gone'; add it to "
        "services or name another");
  CHECK(FindOutcome(*after.m_state, "p2")->m_outcome == PublishOutcome::Refused);
}

TEST_CASE("an overlay that removes a cluster used by a route is refused")
{
  const ReplayStatePtr before = AcceptBase();
  const std::string change = R"("overlay_patches":{"hobart":{"clusters":{"jobs":null}}})";
  // A null in an overlay patch removes the key from the overlay only; the cluster of the base
  // stays.
  CHECK(Replay(before, 1, RecordFor(*before, "p2", 1, change)).m_status == ReplayStatus::Accepted);
  const std::string overlay = R"("overlays":{"hobart":{"clusters":{"jobs":null}}})";
  CHECK(Replay(before, 1, RecordFor(*before, "p3", 1, overlay)).m_status == ReplayStatus::Skipped);
}

TEST_CASE("of two concurrent publications the later one gets a conflict that names the version")
{
  const ReplayStatePtr before = AcceptBase();
  const std::string first = RecordFor(*before, "a", 1, R"("base_patch":{"services":{"a":{}}})");
  const std::string second = RecordFor(*before, "b", 1, R"("base_patch":{"services":{"b":{}}})");
  const ReplayResult won = Replay(before, 1, first);
  const ReplayResult lost = Replay(won.m_state, 2, second);
  CHECK(won.m_status == ReplayStatus::Accepted);
  CHECK(lost.m_status == ReplayStatus::Skipped);
  const Outcome* outcome = FindOutcome(*lost.m_state, "b");
  REQUIRE(outcome != nullptr);
  CHECK(outcome->m_outcome == PublishOutcome::Conflict);
  CHECK(outcome->m_version == 2);
}

TEST_CASE("a repeated publish id is applied once and keeps its first outcome")
{
  const ReplayStatePtr before = AcceptBase();
  const std::string record = RecordFor(*before, "same", 1, R"("base_patch":{"services":{"a":{}}})");
  const ReplayResult first = Replay(before, 1, record);
  const ReplayResult again = Replay(first.m_state, 2, record);
  CHECK(again.m_status == ReplayStatus::Skipped);
  CHECK(again.m_state->m_version == 2);
  CHECK(again.m_state->m_outcomes.size() == first.m_state->m_outcomes.size());
  CHECK(FindOutcome(*again.m_state, "same")->m_outcome == PublishOutcome::Accepted);
}

TEST_CASE("a record of a newer format blocks replay; malformed and oversized records are skipped")
{
  const ReplayStatePtr before = AcceptBase();
  wire::LogRecordT record;
  record.format = kRecordFormat + 1;
  record.kind = kPublicationKind;
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::LogRecord::Pack(builder, &record));
  const std::string newer(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                          builder.GetSize());
  const ReplayResult blocked = Replay(before, 1, newer);
  CHECK(blocked.m_status == ReplayStatus::Blocked);
  CHECK(blocked.m_state == before);
  CHECK(blocked.m_reason.find("upgrade this node") != std::string::npos);
  const ReplayResult garbage = Replay(before, 1, "garbage that is no record");
  CHECK(garbage.m_status == ReplayStatus::Skipped);
  CHECK(garbage.m_state->m_position == 2);
  CHECK(Replay(before, 1, std::string(kMaxRecordBytes + 1, 'x')).m_status == ReplayStatus::Skipped);
}

TEST_CASE("a checkpoint restores the state, and a damaged one is refused")
{
  const ReplayStatePtr state = AcceptBase(9);
  const std::string bytes = EncodeCheckpoint(*state);
  const auto decode = [](const std::string& aBytes) {
    return Handle([&] { return DecodeCheckpoint(aBytes); },
                  [](const Error&) { return ReplayStatePtr(); });
  };
  const ReplayStatePtr restored = decode(bytes);
  REQUIRE(restored);
  CHECK(restored->m_digest == state->m_digest);
  CHECK(restored->m_position == state->m_position);
  CHECK(restored->m_canonicalText == state->m_canonicalText);
  CHECK(FindOutcome(*restored, "p1") != nullptr);
  std::size_t wrongStates = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string damaged = bytes;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x55);
    const ReplayStatePtr other = decode(damaged);
    wrongStates += other && other->m_canonicalText != state->m_canonicalText ? 1 : 0;
  }
  CHECK(wrongStates == 0);
}

TEST_CASE("a record for the current version is encoded as a delta against it")
{
  const ReplayStatePtr before = AcceptBase();
  const std::string record = RecordFor(*before, "d", 1, R"("base_patch":{"services":{"a":{}}})");
  const auto* view = flatbuffers::GetRoot<wire::LogRecord>(record.data());
  CHECK(view->encoding() == wire::Encoding::ZstdDelta);
  CHECK(Replay(before, 1, record).m_status == ReplayStatus::Accepted);
}

TEST_CASE("the longest prefix that matches whole path segments and the method selects the route")
{
  const auto object = [](const char* aText) { return boost::json::parse(aText).as_object(); };
  const Documents documents{
    .m_base = object(R"({"services":{"s":{}},"clusters":{"a":{"service":"s"},"b":{"service":"s"}},
      "routes":[{"prefix":"/x","cluster":"a"},{"prefix":"/x/y","cluster":"b","methods":["GET"]}]})")
  };
  const auto effective =
    Handle([&] { return MakeEffectiveConfig(documents, ""); },
           [](const Error&) { return std::shared_ptr<const EffectiveConfig>(); });
  REQUIRE(effective);
  CHECK(FindRoute(*effective, { "", "GET", "/x/y/z" })->m_clusters[0].m_cluster == "b");
  CHECK(FindRoute(*effective, { "", "POST", "/x/y/z" })->m_clusters[0].m_cluster == "a");
  CHECK(FindRoute(*effective, { "", "GET", "/xy" }) == nullptr);
}

TEST_CASE("a merge patch follows the examples of RFC 7396")
{
  struct Example
  {
    const char* m_target;
    const char* m_patch;
    const char* m_result;
  };
  const Example examples[] = {
    { R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})" },
    { R"({"a":"b"})", R"({"a":null})", "{}" },
    { R"({"a":["b"]})", R"({"a":"c"})", R"({"a":"c"})" },
    { R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})", R"({"a":{"b":"d"}})" },
    { "[1,2]", R"({"a":"b","c":null})", R"({"a":"b"})" },
    { "{}", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})" },
  };
  for (const Example& example : examples) {
    CHECK(CanonicalText(MergePatch(boost::json::parse(example.m_target),
                                   boost::json::parse(example.m_patch))) ==
          CanonicalText(boost::json::parse(example.m_result)));
  }
}
