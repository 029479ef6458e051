/** Runs the hosts of a cell, fake executors and a store in one process with one manual clock, for tests. */
import type { JobId, NetworkAddress, QueueId, RackId, TeamId, ZoneId } from "@waxwingroute/core";
import { createFailure, Err, ManualClock, Ok, SeededRandom, toId } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import { Supervisor } from "@waxwingroute/telemetry";
import type { JobState, PoolId, QueueRules, StepSpec } from "@waxwingroute/workflow";
import { CellOwner } from "../cell-owner.js";
import type { CellConfiguration } from "../configuration.js";
import { JobIntake } from "../job-intake.js";
import type { OwnershipTerm } from "../lease-ownership.js";
import { LeaseOwnership } from "../lease-ownership.js";
import type { MachineManager, MaintenanceWave, WaveState } from "../machine-manager.js";
import { PlatformCodec } from "../platform-codec.js";
import type { PossibleOwner } from "../store-keys.js";
import type { StoreItem } from "../store.js";
import type { ExecutorEntry } from "../task-executor.js";
import type { RunPlan } from "./fake-executor.js";
import { FakeConnector, FakeExecutor, toFakeAddress, toFakeExecutorId } from "./fake-executor.js";
import { InvariantChecker } from "./invariant-checker.js";
import { MemoryLeaseStore, MemoryStoreData } from "./memory-lease-store.js";
import { createStrictSupervisor } from "./strict-supervisor.js";

export const testQueue = toId<QueueId>("orders");
export const testTeam = toId<TeamId>("sales");
/** A team whose limit is half of the processors of four executors. */
export const limitedTeam = toId<TeamId>("trials");
const limitedCpuMillis = 8_000;
const executorCpuMillis = 4_000;
/** Number of the tasks of `createStep` that an executor can run at a time. */
export const tasksPerExecutor = 4;
const pool = toId<PoolId>("workers");
/** Longest lease of the fake executors, ms. */
const maxLeaseMs = 6_000;

export const testRules: QueueRules = {
    queue: testQueue,
    pool,
    priority: 0,
    maxAttempts: 3,
    stretchFactor: 2,
    targetLatencyMs: 1_000,
};

export const testConfiguration: CellConfiguration = {
    version: 1,
    queues: [{ rules: testRules, host: "test", prefix: "/orders/", isPublic: true }],
    teams: [{
        rules: { team: testTeam, weight: 0, limit: { cpuMillis: 0, memoryMb: 0, accelerators: 0 } },
        keys: [],
    }, {
        rules: {
            team: limitedTeam,
            weight: 0,
            limit: { cpuMillis: limitedCpuMillis, memoryMb: 0, accelerators: 0 },
        },
        keys: [],
    }],
    pools: new Set([pool]),
    maxBodyBytes: 100_000,
};

export class TestCodec extends PlatformCodec {
    override readonly configurationKey = "config";
    override readonly executorPrefix = "executors/";

    override readonly waveRequestPrefix = "waves/";
    override readonly waveStatePrefix = "wave-states/";

    override decodeWave(item: StoreItem): Result<MaintenanceWave, Failure> {
        return Ok(JSON.parse(item.value) as MaintenanceWave);
    }

    override toWaveStateKey(wave: number): string {
        return `${this.waveStatePrefix}${wave}`;
    }

    override encodeWaveState(state: WaveState): string {
        return state;
    }

    override decodeWaveState(item: StoreItem): WaveState {
        return item.value as WaveState;
    }

    override decodeConfiguration(): Result<CellConfiguration, Failure> {
        return Ok(testConfiguration);
    }

    override decodeExecutor(item: StoreItem): Result<ExecutorEntry, Failure> {
        const value = JSON.parse(item.value) as { index?: number; addressIndex?: number; isDraining?: boolean; };
        if (value.index === undefined) {
            return Err(createFailure("invalid", "the executor entry has no index", "ran"));
        }
        return Ok({
            executor: toFakeExecutorId(value.index),
            address: toFakeAddress(value.addressIndex ?? value.index),
            pool,
            zone: toId<ZoneId>("zone"),
            rack: toId<RackId>("rack"),
            labels: [],
            capacity: { cpuMillis: executorCpuMillis, memoryMb: 8_000, accelerators: 0 },
            isDraining: value.isDraining === true,
            remainingMs: undefined,
        });
    }
}

/** Size, seed and parts of a simulated cell. */
export interface CellSimulationOptions {
    readonly hosts: number;
    readonly executors: number;
    readonly seed?: number;
    readonly planRun?: FakeExecutor["options"]["planRun"];
    readonly machines?: MachineManager;
    /** Most ends in one listing of an executor. Default 500. */
    readonly maxListedEnds?: number;
    /** Time to live of the owner's lease, ms. Default 1,500. */
    readonly leaseMs?: number;
    readonly clock?: ManualClock;
    /** Whether unexpected errors are logged, as in a program, and do not fail the test. Default: no. */
    readonly toleratesErrors?: boolean;
}

const defaultPlan: RunPlan = { workMs: 300, outcome: "done" };

/** One host: its connections to the store and the executors, and a `CellOwner` while it owns the cell. */
export class SimulatedHost {
    readonly store: MemoryLeaseStore;
    readonly connector: FakeConnector;
    readonly intake: JobIntake;
    owner: CellOwner | undefined;
    private ownership: LeaseOwnership;

    constructor(
        private readonly simulation: CellSimulation,
        private readonly name: string,
        readonly address: NetworkAddress,
    ) {
        const { clock, data, executors } = simulation;
        this.store = new MemoryLeaseStore(data);
        this.connector = new FakeConnector(new Map(executors.map(row => [row.options.address, row])));
        this.intake = new JobIntake({
            store: this.store,
            clock,
            logger: simulation,
            supervisor: simulation.supervisor,
            // Announced to every owner, even a deposed one that does not know it yet: hosts that have not heard of its
            // successor still do this.
            onStored: items => simulation.hosts.forEach(host => host.owner?.acceptAnnounced(items)),
        });
        this.ownership = this.start();
    }

    /** Ends the process without releasing the ownership, and starts it again. */
    restart(): void {
        this.kill();
        this.ownership = this.start();
    }

    /** Releases the ownership in an orderly way, then starts again. */
    async resign(): Promise<void> {
        const resigning = this.ownership;
        await resigning.stop();
        // `restart` may have been called meanwhile.
        if (this.ownership === resigning) {
            this.ownership = this.start();
        }
    }

    /** Ends the process without releasing the ownership. */
    kill(): void {
        this.owner?.close();
        this.owner = undefined;
        this.ownership.abort();
    }

    private start(): LeaseOwnership {
        const { clock, random } = this.simulation;
        const ownership = new LeaseOwnership({
            store: this.store,
            clock,
            random,
            logger: this.simulation,
            supervisor: this.simulation.supervisor,
            host: this.name,
            address: this.address,
            incarnation: random.getHex(16),
            isOwnerAlive: () => false,
            leaseMs: this.simulation.leaseMs,
            listener: {
                onAcquired: (term, isContinued) => this.beginTerm(ownership, term, isContinued),
                onLost: () => {
                    this.owner?.close();
                    this.owner = undefined;
                },
                onOwnerSeen: (_owner, epoch) => this.intake.recordEpoch(epoch),
            },
        });
        ownership.start();
        return ownership;
    }

    /** Reads the owner record, as after a sign that it is not that of the term. */
    verifyOwnership(): Promise<void> {
        return this.ownership.verify();
    }

    /** Gives the cell up because another host has acquired it in this epoch. */
    replaceOwner(epoch: number): void {
        this.ownership.recordSuccessor(epoch);
    }

    private beginTerm(ownership: LeaseOwnership, term: OwnershipTerm, isContinued: boolean): void {
        this.intake.recordEpoch(term);
        this.simulation.checker.recordOwner(this.name, term.epoch);
        if (isContinued && this.owner !== undefined) {
            this.owner.setTerm(term);
            return;
        }
        this.owner = new CellOwner({
            store: this.store,
            codec: new TestCodec(),
            connector: this.connector,
            clock: this.simulation.clock,
            logger: this.simulation,
            supervisor: this.simulation.supervisor,
            term,
            configuration: testConfiguration,
            maxLeaseMs,
            retentionMs: 120_000,
            stopMs: 100,
            ownership,
            askToStop: async owner => this.simulation.replaceOwner(owner, term.epoch),
            maintenance: this.simulation.machines === undefined ? undefined : {
                machines: this.simulation.machines,
                holder: this.name,
                ownerChangeMs: 1_000,
            },
            listener: {
                onChanges: changes => changes.forEach(({ job, state }) => this.simulation.states.set(job, state)),
                onPending: () => undefined,
                onFenced: reason => ownership.recordFenced(reason),
                onConflict: () => this.simulation.supervisor.start("ownership check", {}, () => ownership.verify()),
            },
        });
        this.owner.start();
    }
}

/** A simulated cell. Time advances only by `advance` and `advanceUntil`. */
export class CellSimulation {
    readonly clock: ManualClock;
    readonly random: SeededRandom;
    readonly supervisor: Supervisor;
    readonly data: MemoryStoreData;
    readonly checker = new InvariantChecker({
        executorCpuMillis,
        teamCpuMillis: new Map([[limitedTeam, limitedCpuMillis]]),
        maxAttempts: testRules.maxAttempts,
    });
    readonly executors: FakeExecutor[] = [];
    readonly hosts: SimulatedHost[] = [];
    /** The job states that owners have reported. */
    readonly states = new Map<JobId, JobState>();
    readonly logLines: string[] = [];
    readonly machines: MachineManager | undefined;
    readonly leaseMs: number | undefined;
    /** Whether hosts cannot call each other. */
    arePeersCutOff = false;

    constructor(options: CellSimulationOptions) {
        this.clock = options.clock ?? new ManualClock(1_000);
        this.supervisor = options.toleratesErrors === true
            ? new Supervisor({ clock: this.clock, logger: this })
            : createStrictSupervisor(this.clock);
        this.data = new MemoryStoreData(this.clock);
        this.machines = options.machines;
        this.leaseMs = options.leaseMs;
        this.random = new SeededRandom(options.seed ?? 1);
        for (let index = 0; index < options.executors; index++) {
            this.executors.push(
                new FakeExecutor({
                    executor: toFakeExecutorId(index),
                    address: toFakeAddress(index),
                    clock: this.clock,
                    checker: this.checker,
                    planRun: options.planRun ?? (() => defaultPlan),
                    maxListedEnds: options.maxListedEnds,
                    maxLeaseMs,
                }),
            );
            this.putExecutorEntry(index);
        }
        for (let index = 0; index < options.hosts; index++) {
            this.hosts.push(new SimulatedHost(this, `host-${index}`, toId<NetworkAddress>(`10.1.0.${index + 1}:1`)));
        }
    }

    /** Collects the log lines of all hosts. */
    write(level: string, message: string, fields: Readonly<Record<string, unknown>> = {}): void {
        this.logLines.push(`${Math.round(this.clock.getNow())} ${level} ${message} ${JSON.stringify(fields)}`);
    }

    /** Asks the host at the address of an earlier owner to stop, unless the hosts are cut off from one another. */
    replaceOwner({ address }: PossibleOwner, epoch: number): boolean {
        if (this.arePeersCutOff) {
            return false;
        }
        this.hosts.find(host => host.address === address)?.replaceOwner(epoch);
        return true;
    }

    get owner(): SimulatedHost | undefined {
        return this.hosts.find(host => host.owner !== undefined);
    }

    putExecutorEntry(index: number, isDraining = false): void {
        this.putEntry(`${index}`, JSON.stringify({ index, isDraining }));
    }

    /** Stores any text as the entry of an executor, as another writer might. */
    putEntry(name: string, value: string): void {
        const write = { key: `executors/${name}`, value };
        this.data.execute({ kind: "commit", transaction: { conditions: [], writes: [write], removals: [] } });
    }

    removeExecutorEntry(index: number): void {
        const removals = [`executors/${index}`];
        this.data.execute({ kind: "commit", transaction: { conditions: [], writes: [], removals } });
    }

    /** Submits a job through a host. The promise settles only while time advances. */
    submit(
        host: SimulatedHost,
        name: string,
        steps: readonly Partial<StepSpec>[],
        team = testTeam,
    ): Promise<Result<string, Failure>> {
        const spec = { payload: name, steps: steps.map(createStep) };
        this.checker.registerJob(toId<JobId>(name), { team, steps: spec.steps });
        return host.intake.submit(toId<JobId>(name), {
            kind: "accepted",
            queue: testQueue,
            team,
            acceptedAtWallMs: this.clock.getWallTime(),
            spec,
        });
    }

    /** Advances time in steps of 50 ms and lets the executors end runs after each. */
    async advance(durationMs: number): Promise<void> {
        for (let elapsed = 0; elapsed < durationMs; elapsed += 50) {
            await this.clock.advance(Math.min(50, durationMs - elapsed));
            this.executors.forEach(executor => executor.advance());
        }
    }

    /** Advances time until the condition holds, at most by `maxMs`. Returns whether it holds. */
    async advanceUntil(condition: () => boolean, maxMs: number): Promise<boolean> {
        for (let elapsed = 0; elapsed < maxMs && !condition(); elapsed += 50) {
            await this.advance(50);
        }
        return condition();
    }

    getState(name: string): JobState | undefined {
        return this.states.get(toId<JobId>(name));
    }

    /** Ends all hosts. */
    close(): void {
        this.hosts.forEach(host => host.kill());
    }
}

/** Returns a step of one short task, with the given changes. */
export function createStep(step: Partial<StepSpec>): StepSpec {
    return {
        taskCount: 1,
        resources: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 },
        estimateMs: 300,
        after: [],
        isGang: false,
        prefersOneRack: false,
        canRunCopies: false,
        savesCheckpoints: false,
        isLongRunning: false,
        usesIdleProcessors: false,
        ...step,
    };
}
