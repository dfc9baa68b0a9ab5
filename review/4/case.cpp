// A target deregisters and is acknowledged; then the node beside it is killed and starts again
// while the target goes on serving. A report from before the leaving, delayed in the network,
// arrives at the new process.
#include "leaving.h"

using namespace review;

int
main(int, char** aArguments)
{
  Begin(aArguments[1]);
  LeavingMesh leaving;
  if (!leaving.m_formed) {
    return Finish(kCouldNotRun, "the mesh did not form");
  }
  Machine& far = *leaving.m_far;
  Traffic traffic(leaving.m_entry->m_outbound);
  SleepMs(1500);
  DelayedHeartbeat heartbeat(far);
  SleepMs(200);
  const bool acknowledged = Deregister(far);
  const std::int64_t ackedAt = Record::Get().Now();
  SleepMs(300);

  // The disruption: the node beside the target is killed and starts again.
  std::int64_t restartedAt = -kStableWindowMs;
  if (WithTrouble()) {
    leaving.m_mesh.Restart(far);
    restartedAt = Record::Get().Now();
  }
  const bool taken = heartbeat.Deliver();
  if (!acknowledged || !taken) {
    return Finish(kCouldNotRun, "a report was not acknowledged");
  }
  return JudgeLeaving(far, traffic, ackedAt, restartedAt);
}
