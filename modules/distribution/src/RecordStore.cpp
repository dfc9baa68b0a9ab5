#include "RecordStore.h"

#include <algorithm>

namespace sequoiastep::distribution {

void
AddReplayed(RecordStore& aStore, RecordPtr aRecord)
{
  aStore.m_replayedBytes += aRecord->body.size();
  aStore.m_replayed.push_back(std::move(aRecord));
  while (aStore.m_replayed.size() > 1 && (aStore.m_replayed.size() > aStore.m_maxReplayed ||
                                          aStore.m_replayedBytes > aStore.m_maxReplayedBytes)) {
    aStore.m_replayedBytes -= aStore.m_replayed.front()->body.size();
    aStore.m_replayed.pop_front();
  }
}

void
BufferOutOfOrder(RecordStore& aStore, RecordPtr aRecord)
{
  const std::uint64_t previous = aRecord->previous;
  aStore.m_outOfOrder.insert_or_assign(previous, std::move(aRecord));
  if (aStore.m_outOfOrder.size() > aStore.m_maxOutOfOrder) {
    aStore.m_outOfOrder.erase(std::prev(aStore.m_outOfOrder.end()));
  }
}

std::optional<RecordPtr>
TakeSuccessor(RecordStore& aStore, std::uint64_t aPosition)
{
  aStore.m_outOfOrder.erase(aStore.m_outOfOrder.begin(),
                            aStore.m_outOfOrder.lower_bound(aPosition));
  const auto found = aStore.m_outOfOrder.find(aPosition);
  if (found == aStore.m_outOfOrder.end()) {
    return std::nullopt;
  }
  RecordPtr record = found->second;
  aStore.m_outOfOrder.erase(found);
  return record;
}

std::optional<std::vector<RecordPtr>>
RecordsAfter(const RecordStore& aStore, std::uint64_t aPosition)
{
  const auto first =
    std::find_if(aStore.m_replayed.begin(), aStore.m_replayed.end(), [&](const RecordPtr& aRecord) {
      return aRecord->previous == aPosition;
    });
  if (first == aStore.m_replayed.end()) {
    return std::nullopt;
  }
  return std::vector<RecordPtr>(first, aStore.m_replayed.end());
}

} // namespace sequoiastep::distribution
