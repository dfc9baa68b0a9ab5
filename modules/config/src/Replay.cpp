#include "Replay.h"

#include "Compression.h"
#include "Hash.h"
#include "NameTable.h"
#include "Publication.h"

#include <algorithm>
#include <cassert>
#include <fmt/core.h>

namespace sequoiastep::config {

namespace {

constexpr std::array<NameRow<PublishOutcome>, 3> kOutcomeNames{ {
  { PublishOutcome::Accepted, "accepted" },
  { PublishOutcome::Conflict, "conflict" },
  { PublishOutcome::Refused, "refused" },
} };
constexpr std::uint16_t kCheckpointFormat = 1;
constexpr std::size_t kMaxCheckpointBytes = 16U << 20;

std::string_view
AsStringView(const flatbuffers::Vector<std::uint8_t>* aBytes)
{
  if (aBytes == nullptr) {
    return {};
  }
  return { reinterpret_cast<const char*>(aBytes->data()), aBytes->size() };
}

std::uint64_t
DigestOf(std::uint64_t aVersion, std::string_view aCanonicalText)
{
  return Hash64(aCanonicalText, aVersion);
}

// Returns the record in aAligned, which must be aligned for FlatBuffers, or nullptr if the bytes
// fail verification.
const wire::LogRecord*
VerifyRecord(const std::string& aAligned)
{
  flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(aAligned.data()),
                                 aAligned.size());
  if (!verifier.VerifyBuffer<wire::LogRecord>(nullptr)) {
    return nullptr;
  }
  return flatbuffers::GetRoot<wire::LogRecord>(aAligned.data());
}

Result<std::string>
DecodeContent(const wire::LogRecord& aRecord, const ReplayState& aState)
{
  const std::string_view content = AsStringView(aRecord.content());
  switch (aRecord.encoding()) {
    case wire::Encoding::Plain:
      return std::string(content);
    case wire::Encoding::Zstd:
      return wire::Decompress(content, kMaxDocumentBytes);
    case wire::Encoding::ZstdDelta:
      return wire::Decompress(content, kMaxDocumentBytes, aState.m_canonicalText);
  }
  return Fail(ErrorKind::BadPublication, "unknown encoding; upgrade the publishing node");
}

Result<std::shared_ptr<ReplayState>>
AcceptPublication(const ReplayState& aState,
                  const wire::LogRecord& aRecord,
                  std::uint64_t aPosition)
{
  BOOST_LEAF_AUTO(text, DecodeContent(aRecord, aState));
  BOOST_LEAF_AUTO(publication, ParsePublication(text));
  if (publication.m_publishId != aRecord.publish_id()->string_view() ||
      publication.m_expectedVersion != aRecord.expected_version()) {
    return Fail(ErrorKind::BadPublication,
                "the record's head and content differ; publish it again");
  }
  auto next = std::make_shared<ReplayState>();
  next->m_documents = ApplyPublication(aState.m_documents, publication);
  next->m_canonicalText = CanonicalText(next->m_documents);
  if (next->m_canonicalText.size() > kMaxDocumentBytes) {
    return Fail(ErrorKind::TooLarge,
                fmt::format("the documents come to {} bytes, the limit is {}; shorten them",
                            next->m_canonicalText.size(),
                            kMaxDocumentBytes));
  }
  BOOST_LEAF_CHECK(CheckAllRegions(next->m_documents));
  next->m_version = aPosition;
  next->m_digest = DigestOf(next->m_version, next->m_canonicalText);
  next->m_outcomes = aState.m_outcomes;
  return next;
}

void
AppendOutcome(ReplayState& aState, Outcome aOutcome)
{
  aState.m_outcomes.push_back(std::move(aOutcome));
  if (aState.m_outcomes.size() > kMaxOutcomes) {
    aState.m_outcomes.pop_front();
  }
}

// Moves the position past the record without keeping an outcome.
ReplayResult
SkipRecord(const ReplayState& aState, std::uint64_t aPosition, std::string aReason)
{
  auto next = std::make_shared<ReplayState>(aState);
  next->m_position = aPosition;
  return { .m_status = ReplayStatus::Skipped, .m_state = next, .m_reason = std::move(aReason) };
}

// Moves the position past the record and keeps aOutcome for its publish id.
ReplayResult
SkipWithOutcome(const ReplayState& aState,
                std::uint64_t aOffset,
                const wire::LogRecord& aRecord,
                PublishOutcome aOutcome,
                std::string aReason)
{
  auto next = std::make_shared<ReplayState>(aState);
  next->m_position = aOffset + 1;
  AppendOutcome(*next,
                { .m_publishId = aRecord.publish_id()->str(),
                  .m_offset = aOffset,
                  .m_outcome = aOutcome,
                  .m_version = aState.m_version,
                  .m_reason = aReason });
  return { .m_status = ReplayStatus::Skipped, .m_state = next, .m_reason = std::move(aReason) };
}

ReplayResult
ReplayPublication(const ReplayState& aState, std::uint64_t aOffset, const wire::LogRecord& aRecord)
{
  const std::string_view publishId =
    aRecord.publish_id() == nullptr ? std::string_view() : aRecord.publish_id()->string_view();
  if (publishId.empty() || publishId.size() > kMaxPublishIdBytes) {
    return SkipRecord(aState, aOffset + 1, "the record has no valid publish id; publish it again");
  }
  if (FindOutcome(aState, publishId) != nullptr) {
    return SkipRecord(
      aState, aOffset + 1, "the publish id was used before; its first outcome stays valid");
  }
  if (aRecord.expected_version() != aState.m_version) {
    return SkipWithOutcome(aState,
                           aOffset,
                           aRecord,
                           PublishOutcome::Conflict,
                           fmt::format("expected version {}, the current one is {}; read it, make "
                                       "the change again and publish for it",
                                       aRecord.expected_version(),
                                       aState.m_version));
  }
  std::string reason;
  auto next = Handle([&] { return AcceptPublication(aState, aRecord, aOffset + 1); },
                     [&](const Error& aError) {
                       reason = aError.m_message;
                       return std::shared_ptr<ReplayState>();
                     });
  if (!next) {
    return SkipWithOutcome(aState, aOffset, aRecord, PublishOutcome::Refused, std::move(reason));
  }
  next->m_position = aOffset + 1;
  AppendOutcome(*next,
                { .m_publishId = std::string(publishId),
                  .m_offset = aOffset,
                  .m_outcome = PublishOutcome::Accepted,
                  .m_version = next->m_version,
                  .m_reason = {} });
  return { .m_status = ReplayStatus::Accepted, .m_state = std::move(next), .m_reason = {} };
}

} // namespace

std::string_view
NameOf(PublishOutcome aOutcome)
{
  return NameIn(kOutcomeNames, aOutcome);
}

ReplayStatePtr
MakeEmptyState()
{
  auto state = std::make_shared<ReplayState>();
  state->m_canonicalText = CanonicalText(state->m_documents);
  state->m_digest = DigestOf(0, state->m_canonicalText);
  return state;
}

ReplayResult
Replay(const ReplayStatePtr& aState, std::uint64_t aOffset, std::string_view aBody)
{
  assert(aOffset >= aState->m_position);
  if (aBody.size() > kMaxRecordBytes) {
    return SkipRecord(*aState, aOffset + 1, "the record is too large; publish a smaller change");
  }
  const std::string aligned(aBody);
  const wire::LogRecord* record = VerifyRecord(aligned);
  if (record == nullptr) {
    return SkipRecord(*aState, aOffset + 1, "the record can't be decoded; publish it again");
  }
  if (record->format() > kRecordFormat || record->kind() != kPublicationKind) {
    return { .m_status = ReplayStatus::Blocked,
             .m_state = aState,
             .m_reason = fmt::format("record {} has format {} and kind {}, which this build does "
                                     "not support; upgrade this node",
                                     aOffset,
                                     record->format(),
                                     record->kind()) };
  }
  return ReplayPublication(*aState, aOffset, *record);
}

const Outcome*
FindOutcome(const ReplayState& aState, std::string_view aPublishId)
{
  const auto found =
    std::find_if(aState.m_outcomes.begin(), aState.m_outcomes.end(), [&](const Outcome& aOutcome) {
      return aOutcome.m_publishId == aPublishId;
    });
  return found == aState.m_outcomes.end() ? nullptr : &*found;
}

std::string
EncodeCheckpoint(const ReplayState& aState)
{
  wire::CheckpointT checkpoint;
  checkpoint.format = kCheckpointFormat;
  checkpoint.applied = aState.m_position;
  checkpoint.version = aState.m_version;
  checkpoint.digest = aState.m_digest;
  checkpoint.base = CanonicalText(aState.m_documents.m_base);
  for (const auto& [region, overlay] : aState.m_documents.m_overlays) {
    auto document = std::make_unique<wire::OverlayDocumentT>();
    document->region = region;
    document->document = CanonicalText(overlay);
    checkpoint.overlays.push_back(std::move(document));
  }
  for (const Outcome& outcome : aState.m_outcomes) {
    auto remote = std::make_unique<wire::RemoteOutcomeT>();
    remote->publish_id = outcome.m_publishId;
    remote->offset = outcome.m_offset;
    remote->outcome = outcome.m_outcome;
    remote->version = outcome.m_version;
    remote->reason = outcome.m_reason;
    checkpoint.outcomes.push_back(std::move(remote));
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Checkpoint::Pack(builder, &checkpoint));
  return wire::Compress(
    { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() });
}

Result<ReplayStatePtr>
DecodeCheckpoint(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(plain, wire::Decompress(aBytes, kMaxCheckpointBytes));
  flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(plain.data()), plain.size());
  if (!verifier.VerifyBuffer<wire::Checkpoint>(nullptr)) {
    return Fail(ErrorKind::BadFrame, "the checkpoint is damaged; an older one is used");
  }
  wire::CheckpointT checkpoint;
  flatbuffers::GetRoot<wire::Checkpoint>(plain.data())->UnPackTo(&checkpoint);
  if (checkpoint.format > kCheckpointFormat) {
    return Fail(ErrorKind::NewerFormat, "the checkpoint has a newer format; upgrade this node");
  }
  auto state = std::make_shared<ReplayState>();
  state->m_position = checkpoint.applied;
  state->m_version = checkpoint.version;
  state->m_digest = checkpoint.digest;
  BOOST_LEAF_ASSIGN(state->m_documents.m_base,
                    ParseObject(checkpoint.base, "the checkpoint's base"));
  for (const auto& overlay : checkpoint.overlays) {
    BOOST_LEAF_ASSIGN(state->m_documents.m_overlays[overlay->region],
                      ParseObject(overlay->document, "the checkpoint's overlay"));
  }
  for (const auto& outcome : checkpoint.outcomes) {
    state->m_outcomes.push_back({ .m_publishId = outcome->publish_id,
                                  .m_offset = outcome->offset,
                                  .m_outcome = outcome->outcome,
                                  .m_version = outcome->version,
                                  .m_reason = outcome->reason });
  }
  state->m_canonicalText = CanonicalText(state->m_documents);
  if (state->m_digest != DigestOf(state->m_version, state->m_canonicalText) ||
      state->m_version > state->m_position) {
    return Fail(ErrorKind::BadFrame, "the checkpoint's digest is wrong; an older one is used");
  }
  BOOST_LEAF_CHECK(CheckAllRegions(state->m_documents));
  return ReplayStatePtr(std::move(state));
}

std::shared_ptr<const Snapshot>
MakeSnapshot(const ReplayState& aState, std::string_view aRegion)
{
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->m_version = aState.m_version;
  snapshot->m_digest = aState.m_digest;
  snapshot->m_effective =
    Handle([&] { return MakeEffectiveConfig(aState.m_documents, aRegion); },
           [](const Error&) { return std::make_shared<const EffectiveConfig>(); });
  return snapshot;
}

} // namespace sequoiastep::config
