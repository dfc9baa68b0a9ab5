// Publish requests: append once, read the outcome from the replay, answer within a bound.
#include "ControllerPriv.h"
#include "Publication.h"

#include <algorithm>

namespace sequoiastep::distribution {

namespace {

constexpr Milliseconds kAppendAgainMs = 300;
constexpr std::size_t kMaxWaitingPublishes = 256;

void
AnswerKnown(Turn& aTurn, std::uint64_t aRequest, config::Outcome aOutcome)
{
  aTurn.m_actions.emplace_back(
    AnswerPublish{ .m_request = aRequest, .m_known = true, .m_outcome = std::move(aOutcome) });
}

void
AnswerUnknown(Turn& aTurn, std::uint64_t aRequest, std::string aPublishId, std::string aReason)
{
  config::Outcome outcome{ .m_publishId = std::move(aPublishId),
                           .m_offset = 0,
                           .m_outcome = config::PublishOutcome::Refused,
                           .m_version = aTurn.m_controller.m_replay->m_version,
                           .m_reason = std::move(aReason) };
  aTurn.m_actions.emplace_back(
    AnswerPublish{ .m_request = aRequest, .m_known = false, .m_outcome = std::move(outcome) });
}

void
Append(Turn& aTurn, WaitingPublish& aWaiting)
{
  aWaiting.m_appendInFlight = true;
  aTurn.m_actions.emplace_back(
    AppendPublication{ .m_publishId = aWaiting.m_publishId, .m_body = aWaiting.m_body });
}

config::Outcome
Refusal(const Controller& aController, std::string aPublishId, std::string aReason)
{
  return { .m_publishId = std::move(aPublishId),
           .m_offset = 0,
           .m_outcome = config::PublishOutcome::Refused,
           .m_version = aController.m_replay->m_version,
           .m_reason = std::move(aReason) };
}

bool
AnswerIfDecided(Turn& aTurn, const WaitingPublish& aWaiting)
{
  const config::Outcome* outcome =
    config::FindOutcome(*aTurn.m_controller.m_replay, aWaiting.m_publishId);
  if (outcome != nullptr) {
    AnswerKnown(aTurn, aWaiting.m_request, *outcome);
    return true;
  }
  if (aTurn.m_now < aWaiting.m_deadline) {
    return false;
  }
  const std::string reason =
    aWaiting.m_lastReason.empty()
      ? "the outcome is not known yet; ask again under the same publish id"
      : aWaiting.m_lastReason + "; publish again under the same publish id";
  AnswerUnknown(aTurn, aWaiting.m_request, aWaiting.m_publishId, reason);
  return true;
}

} // namespace

void
HandlePublishRequested(Turn& aTurn, const PublishRequested& aRequest)
{
  Controller& controller = aTurn.m_controller;
  std::string reason;
  const auto publication = Handle(
    [&]() -> Result<std::optional<config::Publication>> {
      BOOST_LEAF_AUTO(parsed, config::ParsePublication(aRequest.m_text));
      return std::optional<config::Publication>(std::move(parsed));
    },
    [&](const Error& aError) {
      reason = aError.m_message;
      return std::optional<config::Publication>();
    });
  if (!publication) {
    AnswerKnown(aTurn, aRequest.m_request, Refusal(controller, {}, std::move(reason)));
    return;
  }
  const std::string& id = publication->m_publishId;
  if (const config::Outcome* known = config::FindOutcome(*controller.m_replay, id)) {
    AnswerKnown(aTurn, aRequest.m_request, *known);
    return;
  }
  if (controller.m_publishes.size() >= kMaxWaitingPublishes) {
    AnswerUnknown(aTurn, aRequest.m_request, id, "too many publishes wait here; use another node");
    return;
  }
  std::string body = config::EncodeRecord(
    *publication, controller.m_replay->m_version, controller.m_replay->m_canonicalText);
  if (body.size() > config::kMaxRecordBytes) {
    AnswerKnown(aTurn,
                aRequest.m_request,
                Refusal(controller, id, "the record is too large; publish a smaller change"));
    return;
  }
  controller.m_publishes.push_back(
    { .m_request = aRequest.m_request,
      .m_publishId = id,
      .m_body = std::move(body),
      .m_deadline = aTurn.m_now + controller.m_options.m_publishWaitMs,
      .m_retryAt = {},
      .m_appendInFlight = false,
      .m_lastReason = {} });
  Append(aTurn, controller.m_publishes.back());
}

void
HandlePublicationAppended(Turn& aTurn, const PublicationAppended& aAppended)
{
  for (WaitingPublish& waiting : aTurn.m_controller.m_publishes) {
    if (waiting.m_publishId != aAppended.m_publishId) {
      continue;
    }
    if (aAppended.m_result == AppendResult::Appended) {
      waiting.m_lastReason.clear();
      continue; // Stays in flight, so that it is not appended again.
    }
    waiting.m_appendInFlight = false;
    waiting.m_retryAt = aTurn.m_now + kAppendAgainMs;
    waiting.m_lastReason = aAppended.m_result == AppendResult::NotAppended
                             ? "the log refused the record"
                             : "the log did not answer, so the record may be in it";
  }
}

void
TickPublishes(Turn& aTurn)
{
  auto& publishes = aTurn.m_controller.m_publishes;
  std::erase_if(publishes,
                [&](const WaitingPublish& aWaiting) { return AnswerIfDecided(aTurn, aWaiting); });
  for (WaitingPublish& waiting : publishes) {
    if (!waiting.m_appendInFlight && aTurn.m_now >= waiting.m_retryAt) {
      Append(aTurn, waiting);
    }
  }
}

} // namespace sequoiastep::distribution
