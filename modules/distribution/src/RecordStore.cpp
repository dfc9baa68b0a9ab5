#include "RecordStore.h"

#include <algorithm>

namespace sequoiastep::distribution {

void
KeepReplayed(RecordStore& aStore, RecordPtr aRecord)
{
  aStore.m_bytes += aRecord->body.size();
  aStore.m_replayed.push_back(std::move(aRecord));
  while (aStore.m_replayed.size() > 1 &&
         (aStore.m_replayed.size() > aStore.m_maxRecords || aStore.m_bytes > aStore.m_maxBytes)) {
    aStore.m_bytes -= aStore.m_replayed.front()->body.size();
    aStore.m_replayed.pop_front();
  }
}

void
KeepWaiting(RecordStore& aStore, RecordPtr aRecord)
{
  const std::uint64_t previous = aRecord->previous;
  aStore.m_waiting.insert_or_assign(previous, std::move(aRecord));
  if (aStore.m_waiting.size() > aStore.m_maxWaiting) {
    aStore.m_waiting.erase(std::prev(aStore.m_waiting.end()));
  }
}

std::optional<RecordPtr>
TakeWaiting(RecordStore& aStore, std::uint64_t aPosition)
{
  aStore.m_waiting.erase(aStore.m_waiting.begin(), aStore.m_waiting.lower_bound(aPosition));
  const auto found = aStore.m_waiting.find(aPosition);
  if (found == aStore.m_waiting.end()) {
    return std::nullopt;
  }
  RecordPtr record = found->second;
  aStore.m_waiting.erase(found);
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
