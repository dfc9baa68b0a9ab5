// A node restarts beside a target that goes on running, and the target deregisters before its first
// report to the new process. A report from before, delayed in the network, arrives after that.
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
  SleepMs(1000);
  Mesh::SendHeartbeat(far, far.m_upstream->Heartbeat(false));
  SleepMs(500);

  // The disruption: the node beside the target is killed and starts again.
  std::int64_t restartedAt = -kStableWindowMs;
  if (WithTrouble()) {
    const int checksBefore = far.m_upstream->HealthChecks();
    leaving.m_mesh.Restart(far);
    restartedAt = Record::Get().Now();
    const std::int64_t giveUp = SteadyMs() + 5000;
    while (far.m_upstream->HealthChecks() == checksBefore && SteadyMs() < giveUp) {
      SleepMs(5);
    }
  } else {
    SleepMs(500);
  }
  SleepMs(200);
  DelayedHeartbeat heartbeat(far);
  SleepMs(300);
  const bool acknowledged = Deregister(far);
  const std::int64_t ackedAt = Record::Get().Now();
  const bool taken = heartbeat.Deliver();
  if (!acknowledged || !taken) {
    return Finish(kCouldNotRun, "a report was not acknowledged");
  }
  return JudgeLeaving(far, traffic, ackedAt, restartedAt);
}
