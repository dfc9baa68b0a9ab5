// Publish requests: append the record once, take the outcome from replay, answer within a time
// limit.
#include "ControllerPriv.h"
#include "Publication.h"

#include <algorithm>

namespace sequoiastep::distribution {

namespace {

constexpr Milliseconds kAppendRetryMs = 300;
constexpr std::size_t kMaxPendingPublishes = 256;

void
AnswerKnown(StepContext& aContext, std::uint64_t aRequest, config::Outcome aOutcome)
{
  aContext.m_actions.emplace_back(
    AnswerPublish{ .m_request = aRequest, .m_known = true, .m_outcome = std::move(aOutcome) });
}

void
AnswerUnknown(StepContext& aContext,
              std::uint64_t aRequest,
              std::string aPublishId,
              std::string aReason)
{
  config::Outcome outcome{ .m_publishId = std::move(aPublishId),
                           .m_offset = 0,
                           .m_outcome = config::PublishOutcome::Refused,
                           .m_version = aContext.m_controller.m_replay->m_version,
                           .m_reason = std::move(aReason) };
  aContext.m_actions.emplace_back(
    AnswerPublish{ .m_request = aRequest, .m_known = false, .m_outcome = std::move(outcome) });
}

void
Append(StepContext& aContext, PendingPublish& aPending)
{
  aPending.m_appendInFlight = true;
  aContext.m_actions.emplace_back(
    AppendPublication{ .m_publishId = aPending.m_publishId, .m_body = aPending.m_body });
}

config::Outcome
MakeRefusal(const Controller& aController, std::string aPublishId, std::string aReason)
{
  return { .m_publishId = std::move(aPublishId),
           .m_offset = 0,
           .m_outcome = config::PublishOutcome::Refused,
           .m_version = aController.m_replay->m_version,
           .m_reason = std::move(aReason) };
}

bool
AnswerIfDecidedOrExpired(StepContext& aContext, const PendingPublish& aPending)
{
  const config::Outcome* outcome =
    config::FindOutcome(*aContext.m_controller.m_replay, aPending.m_publishId);
  if (outcome != nullptr) {
    AnswerKnown(aContext, aPending.m_request, *outcome);
    return true;
  }
  if (aContext.m_now < aPending.m_deadline) {
    return false;
  }
  const std::string reason =
    aPending.m_lastFailure.empty()
      ? "the outcome is not known yet; ask again under the same publish id"
      : aPending.m_lastFailure + "; publish again under the same publish id";
  AnswerUnknown(aContext, aPending.m_request, aPending.m_publishId, reason);
  return true;
}

} // namespace

void
HandlePublishRequested(StepContext& aContext, const PublishRequested& aRequest)
{
  Controller& controller = aContext.m_controller;
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
    AnswerKnown(aContext, aRequest.m_request, MakeRefusal(controller, {}, std::move(reason)));
    return;
  }
  const std::string& id = publication->m_publishId;
  if (const config::Outcome* known = config::FindOutcome(*controller.m_replay, id)) {
    AnswerKnown(aContext, aRequest.m_request, *known);
    return;
  }
  if (controller.m_pendingPublishes.size() >= kMaxPendingPublishes) {
    AnswerUnknown(aContext,
                  aRequest.m_request,
                  id,
                  "too many publish requests are pending on this node; use another node");
    return;
  }
  std::string body = config::EncodeRecord(
    *publication, controller.m_replay->m_version, controller.m_replay->m_canonicalText);
  if (body.size() > config::kMaxRecordBytes) {
    AnswerKnown(aContext,
                aRequest.m_request,
                MakeRefusal(controller, id, "the record is too large; publish a smaller change"));
    return;
  }
  controller.m_pendingPublishes.push_back(
    { .m_request = aRequest.m_request,
      .m_publishId = id,
      .m_body = std::move(body),
      .m_deadline = aContext.m_now + controller.m_options.m_publishWaitMs,
      .m_retryAt = {},
      .m_appendInFlight = false,
      .m_lastFailure = {} });
  Append(aContext, controller.m_pendingPublishes.back());
}

void
HandlePublicationAppended(StepContext& aContext, const PublicationAppended& aAppended)
{
  for (PendingPublish& pending : aContext.m_controller.m_pendingPublishes) {
    if (pending.m_publishId != aAppended.m_publishId) {
      continue;
    }
    if (aAppended.m_result == AppendResult::Appended) {
      pending.m_lastFailure.clear();
      continue; // Stays in flight, so that it is not appended again.
    }
    pending.m_appendInFlight = false;
    pending.m_retryAt = aContext.m_now + kAppendRetryMs;
    pending.m_lastFailure = aAppended.m_result == AppendResult::NotAppended
                              ? "the log refused the record"
                              : "the log did not answer, so the record may be in it";
  }
}

void
TickPublishes(StepContext& aContext)
{
  auto& pendingPublishes = aContext.m_controller.m_pendingPublishes;
  std::erase_if(pendingPublishes, [&](const PendingPublish& aPending) {
    return AnswerIfDecidedOrExpired(aContext, aPending);
  });
  for (PendingPublish& pending : pendingPublishes) {
    if (!pending.m_appendInFlight && aContext.m_now >= pending.m_retryAt) {
      Append(aContext, pending);
    }
  }
}

} // namespace sequoiastep::distribution
