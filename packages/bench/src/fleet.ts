/**
 * Generated workers and task sizes.
 */
import type { RackId, RandomSource, ResourceVector, WorkerId } from "@waxwingroute/core";
import { addResources, toId, zeroResources } from "@waxwingroute/core";

/** One generated worker. */
export interface FleetWorker {
    readonly worker: WorkerId;
    readonly rack: RackId;
    readonly capacity: ResourceVector;
}

const workersPerRack = 8;
const plainWorker: ResourceVector = { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 };
// Every sixth worker has 8 accelerators: 11,000 on 8,300 workers, the target in two years.
const acceleratorWorker: ResourceVector = { cpuMillis: 64_000, memoryMb: 262_144, accelerators: 8 };

/** Returns workers of 16 cores and 32 GB; with accelerators, every sixth has 64 cores, 256 GB and 8 accelerators. */
export function createFleet(count: number, hasAccelerators: boolean): FleetWorker[] {
    return Array.from({ length: count }, (_, index) => ({
        worker: toId<WorkerId>(`worker-${index}`),
        rack: toId<RackId>(`rack-${Math.floor(index / workersPerRack)}`),
        capacity: hasAccelerators && index % 6 === 5 ? acceleratorWorker : plainWorker,
    }));
}

/** Returns the sum of the capacities. */
export function sumCapacity(fleet: readonly FleetWorker[]): ResourceVector {
    return fleet.reduce((sum, worker) => addResources(sum, worker.capacity), zeroResources);
}

/** Sizes of tasks without accelerators. On average they need 2 GB a core, as the workers have. */
const plainSizes: readonly ResourceVector[] = [
    { cpuMillis: 500, memoryMb: 512, accelerators: 0 },
    { cpuMillis: 500, memoryMb: 2048, accelerators: 0 },
    { cpuMillis: 1000, memoryMb: 1024, accelerators: 0 },
    { cpuMillis: 1000, memoryMb: 4096, accelerators: 0 },
    { cpuMillis: 1500, memoryMb: 3072, accelerators: 0 },
    { cpuMillis: 2000, memoryMb: 4096, accelerators: 0 },
    { cpuMillis: 3000, memoryMb: 5120, accelerators: 0 },
    { cpuMillis: 4000, memoryMb: 6144, accelerators: 0 },
    { cpuMillis: 8000, memoryMb: 12_288, accelerators: 0 },
];

/** Sizes of tasks with accelerators. On average they need 8 cores and 32 GB an accelerator, as the workers have. */
const acceleratorSizes: readonly ResourceVector[] = [
    { cpuMillis: 6000, memoryMb: 24_576, accelerators: 1 },
    { cpuMillis: 8000, memoryMb: 49_152, accelerators: 1 },
    { cpuMillis: 12_000, memoryMb: 65_536, accelerators: 2 },
    { cpuMillis: 32_000, memoryMb: 98_304, accelerators: 4 },
];

/** Returns a random task size; `acceleratorShare` from 0 to 1 of them have accelerators. */
export function pickSize(random: RandomSource, acceleratorShare: number): ResourceVector {
    const sizes = random.getFloat() < acceleratorShare ? acceleratorSizes : plainSizes;
    return random.pickOne(sizes) as ResourceVector;
}
