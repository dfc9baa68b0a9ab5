#include "AdmissionQueue.h"

#include <doctest/doctest.h>

using namespace sequoiastep;
using namespace sequoiastep::routing;

namespace {

constexpr Instant kNow{ 1'000'000 };

} // namespace

TEST_CASE("calls of targets at work run before new requests of their priority, also when late")
{
  // Otherwise a new request takes the slot of a call on which another one's finished work depends.
  AdmissionQueue queue{ .m_options = { .m_slots = 1, .m_queue = 8, .m_queueMs = 60'000 } };
  const auto offer = [&](std::uint64_t aId,
                         std::uint32_t aPriority,
                         bool aContinuesWork,
                         Milliseconds aObjectiveMs) {
    return Offer(queue,
                 { .m_id = aId,
                   .m_caller = aContinuesWork ? "node" : "workspace",
                   .m_priority = aPriority,
                   .m_continuesWork = aContinuesWork,
                   .m_serviceUs = 10'000,
                   .m_deadline = kNow + 5000,
                   .m_objective = kNow + aObjectiveMs },
                 kNow);
  };
  offer(1, 1, false, 1000);
  offer(2, 1, false, 1000);
  offer(3, 1, true, 1);
  offer(4, 0, false, 1000);
  std::vector<std::uint64_t> order;
  for (int i = 0; i < 3; ++i) {
    for (const std::uint64_t id : Finish(queue, kNow, 10'000).m_run) {
      order.push_back(id);
    }
  }
  CHECK(order == std::vector<std::uint64_t>{ 4, 3, 2 });
}
