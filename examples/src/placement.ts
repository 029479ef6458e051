/**
 * Placement: the engine places a batch job and a gang job on two workers. It performs no I/O.
 */
import { toId } from "@waxwingroute/core";
import type { JobId, RackId, TeamId, WorkerId } from "@waxwingroute/core";
import { PlacementEngine } from "@waxwingroute/placement";

const engine = new PlacementEngine({ objective: "waiting" });
for (const worker of ["worker-1", "worker-2"]) {
    engine.updateWorker({
        worker: toId<WorkerId>(worker),
        rack: toId<RackId>("rack-1"),
        capacity: { cpuMillis: 4_000, memoryMb: 8_192, accelerators: 0 },
        isInRotation: true,
    });
}
const team = toId<TeamId>("quotes");
const resources = { cpuMillis: 2_000, memoryMb: 1_024, accelerators: 0 };
const gangJob = toId<JobId>("wash-batch");
engine.submitJob(0, { job: toId<JobId>("quotes"), team, kind: "batch", taskCount: 2, resources });
engine.submitJob(0, { job: gangJob, team, kind: "gang", taskCount: 3, resources });

for (const decision of engine.tick(0).decisions) {
    if (decision.kind === "start") {
        console.log(`start ${decision.task} on ${decision.worker}`);
        engine.recordTaskStarted(0, decision.task);
    }
}
console.log(`wash-batch: ${engine.explain(gangJob)?.message}`);
