/**
 * One zone on in-process fakes: real schedulers' shard runners, a fake store, workers and executors, and a manual clock.
 *
 * What is asserted comes from the fakes' records, not from the schedulers.
 */
import { ManualClock, SeededRandom, toId, toShardId } from "@waxwingroute/core";
import type {
    ExecutorId,
    HostId,
    IncarnationId,
    JobId,
    RackId,
    Result,
    TeamId,
    WorkerId,
    ZoneId,
} from "@waxwingroute/core";
import { createFailure, Err } from "@waxwingroute/core";
import type { Failure } from "@waxwingroute/core";
import { OwnershipPeers } from "@waxwingroute/ownership";
import type {
    ArmAnswer,
    ArmRequest,
    DisarmAnswer,
    DisarmRequest,
    Heartbeat,
    IdentifyAnswer,
    IdentifyRequest,
    ReleaseAnswer,
    ReleaseRequest,
} from "@waxwingroute/ownership";
import { ConfigurationView, encodeResource, jobSpecSchema, teamSpecSchema } from "@waxwingroute/resources";
import type { JobSpec } from "@waxwingroute/resources";
import { parseSettings } from "@waxwingroute/settings";
import type { Settings } from "@waxwingroute/settings";
import { Fleet } from "@waxwingroute/stand-ins";
import type { ExecuteRequest, ExecuteResponse, JobStatus } from "@waxwingroute/transport";
import { EndpointCatalog } from "../endpoint-catalog.js";
import { toJobId } from "../job-row.js";
import type { ShardOwner } from "../shard-owner.js";
import { ShardRunner } from "../shard-runner.js";
import { ProcessClock, ProcessGate } from "./process-gate.js";

export const zone = toId<ZoneId>("north");
export const shard = toShardId(zone, 0);
const tickMs = 20;

export interface FakeZoneOptions {
    readonly hosts?: number;
    readonly workers?: number;
    readonly executors?: number;
    readonly seed?: number;
    /** Milliseconds by which timers run too early; default 0. */
    readonly earlyMs?: number;
    /** Team limits; the default is far above the zone. */
    readonly limit?: {
        readonly cpuMillis: number;
        readonly memoryMb: number;
        readonly accelerators: number;
        readonly slots: number;
    };
}

export interface FakeHost {
    readonly name: HostId;
    readonly gate: ProcessGate;
    readonly runner: ShardRunner;
}

function createZoneSettings(hostCount: number): Settings {
    const hosts = Array.from({ length: hostCount }, (_, index) => ({
        name: `north-${index + 1}`,
        address: "127.0.0.1",
        ports: Object.fromEntries(
            ["scheduler", "entry", "operator", "schedulerHealth", "entryHealth", "operatorHealth"]
                .map((program, position) => [program, 10_000 + index * 10 + position]),
        ),
    }));
    const settings = {
        cluster: "test",
        store: { url: "http://127.0.0.1:9000" },
        hostList: { url: "http://127.0.0.1:9001", pollMs: 500 },
        regions: [{ name: "region", zones: [{ name: zone, hosts }] }],
    };
    return parseSettings(JSON.stringify(settings), "test").unwrap();
}

class InProcessPeers extends OwnershipPeers {
    constructor(private readonly findHost: (host: HostId) => FakeHost | undefined) {
        super();
    }

    sendHeartbeat(to: HostId, message: Heartbeat): Promise<Result<void, Failure>> {
        return this.call(to, runner => {
            runner.ownership.handleHeartbeat(message);
            return { ok: true, err: false, val: undefined } as Result<void, Failure>;
        });
    }

    arm(to: HostId, message: ArmRequest): Promise<Result<ArmAnswer, Failure>> {
        return this.call(to, runner => runner.ownership.handleArm(message));
    }

    disarm(to: HostId, message: DisarmRequest): Promise<Result<DisarmAnswer, Failure>> {
        return this.call(to, runner => runner.ownership.handleDisarm(message));
    }

    release(to: HostId, message: ReleaseRequest): Promise<Result<ReleaseAnswer, Failure>> {
        return this.call(to, runner => runner.ownership.handleRelease(message));
    }

    identify(to: HostId, message: IdentifyRequest): Promise<Result<IdentifyAnswer, Failure>> {
        return this.call(to, runner => runner.ownership.handleIdentify(message));
    }

    private call<T>(to: HostId, run: (runner: ShardRunner) => Result<T, Failure>): Promise<Result<T, Failure>> {
        const host = this.findHost(to);
        return host === undefined
            ? Promise.resolve(Err(createFailure("peer-unreachable", `${to} is unreachable`, "notRun")))
            : new Promise(resolve => host.gate.run(() => resolve(run(host.runner))));
    }
}

/** A zone that tests drive by hand. */
export class FakeZone {
    readonly clock = new ManualClock(1_000_000);
    readonly fleet: Fleet;
    readonly hosts = new Map<string, FakeHost>();
    readonly log: { readonly at: number; readonly host: string; readonly message: string; readonly fields: object; }[] =
        [];
    readonly configuration = new ConfigurationView();
    private readonly settings: Settings;
    private readonly random: SeededRandom;
    private incarnations = 0;

    constructor(private readonly options: FakeZoneOptions = {}) {
        this.settings = createZoneSettings(options.hosts ?? 2);
        this.random = new SeededRandom(options.seed ?? 1);
        this.fleet = new Fleet({ clock: this.clock, hostListLagMs: 1_000 });
        for (let index = 0; index < (options.workers ?? 4); index++) {
            this.fleet.addWorker({
                worker: toId<WorkerId>(`worker-${index}`),
                zone,
                rack: toId<RackId>(`rack-${Math.floor(index / 2)}`),
                url: `http://127.0.0.1:${20_000 + index}`,
                capacity: { cpuMillis: 4_000, memoryMb: 8_192, accelerators: 0 },
            });
        }
        for (let index = 0; index < (options.executors ?? 2); index++) {
            this.fleet.addExecutor({
                executor: toId<ExecutorId>(`executor-${index}`),
                zone,
                url: `http://127.0.0.1:${30_000 + index}`,
                slots: 8,
                connections: 64,
                queues: [],
            });
        }
        this.setTeam(
            "quotes",
            options.limit ?? { cpuMillis: 1_000_000, memoryMb: 4_000_000, accelerators: 0, slots: 1_000 },
        );
    }

    /** Creates a team or changes its limit. */
    setTeam(name: string, limit: NonNullable<FakeZoneOptions["limit"]>): void {
        const spec = teamSpecSchema.parse({ limit });
        const revision = this.configuration.revision + 1;
        const value = encodeResource({ kind: "Team", name, version: 0, spec });
        this.configuration.apply({ key: `config/team/${name}`, value, revision });
        if (this.configuration.findTeam(name) === undefined) {
            throw new Error(`team not applied: ${JSON.stringify(this.configuration.listProblems())}`);
        }
    }

    /** Starts a host, or starts it again after its death. */
    startHost(name: string): FakeHost {
        const gate = new ProcessGate();
        const clock = new ProcessClock(this.clock, gate, this.options.earlyMs);
        const catalog = new EndpointCatalog({
            zone,
            hostList: gate.wrap(this.fleet.hostList.forSource(name)),
            clock,
            pollMs: 500,
            chooseShard: () => shard,
            onChange: () => runner.refreshEndpoints(),
        });
        const context = {
            shard,
            host: toId<HostId>(name),
            settings: this.settings,
            clock,
            random: this.random,
            store: gate.wrap(this.fleet.store.forSource(name)),
            logger: {
                write: (_level: string, message: string, fields: object = {}) =>
                    void this.log.push({ at: this.clock.getNow(), host: name, message, fields }),
            },
            catalog,
            endpoints: {
                openWorker: ({ worker }: { worker: WorkerId; }) =>
                    gate.wrap(this.fleet.workers.get(worker)!.forSource(name)),
                openExecutor: ({ executor }: { executor: ExecutorId; }) =>
                    gate.wrap(this.fleet.executors.get(executor)!.forSource(name)),
            },
            configuration: this.configuration,
        };
        const incarnation = toId<IncarnationId>(`${name}-${++this.incarnations}`);
        const peers = gate.wrap(new InProcessPeers(host => this.hosts.get(host)));
        const runner: ShardRunner = new ShardRunner({ context, incarnation, peers });
        const host: FakeHost = { name: context.host, gate, runner };
        this.hosts.set(name, host);
        void catalog.start();
        runner.start();
        const tick = () => {
            runner.tick(clock.getNow());
            clock.schedule(tickMs, tick);
        };
        tick();
        return host;
    }

    startAll(): void {
        for (let index = 1; index <= (this.options.hosts ?? 2); index++) {
            this.startHost(`north-${index}`);
        }
    }

    killHost(name: string): void {
        this.hosts.get(name)?.gate.kill();
        this.hosts.delete(name);
    }

    /** Advances the clock in steps that keep answers and timers in order. */
    async advance(durationMs: number): Promise<void> {
        await this.clock.advance(durationMs);
    }

    /** Returns the host that may place now. */
    findOwner(): { readonly host: FakeHost; readonly owner: ShardOwner; } | undefined {
        for (const host of this.hosts.values()) {
            const found = host.runner.findOwner();
            if (found.ok) {
                return { host, owner: found.val };
            }
        }
        return undefined;
    }

    /** Advances until a host may place; returns the milliseconds that it took, or `undefined` after `boundMs`. */
    async awaitOwner(boundMs: number): Promise<number | undefined> {
        const startedAt = this.clock.getNow();
        while (this.clock.getNow() - startedAt <= boundMs) {
            if (this.findOwner() !== undefined) {
                return this.clock.getNow() - startedAt;
            }
            await this.advance(50);
        }
        return undefined;
    }

    /** Submits a job to the owner and advances until it answers. */
    async submitJob(name: string, spec: Partial<JobSpec>): Promise<Result<JobStatus, Failure>> {
        const owner = this.findOwner()?.owner;
        if (owner === undefined) {
            throw new Error("no host owns the shard");
        }
        const full = jobSpecSchema.parse({
            kind: "batch",
            team: "quotes",
            taskCount: 1,
            resources: { cpuMillis: 1_000, memoryMb: 512 },
            command: "run 1s",
            ...spec,
        });
        return this.awaitResult(owner.tracker.submitJob(toJobId(zone, name), full));
    }

    /** Sends a request to the owner without waiting for its answer. */
    execute(request: Partial<ExecuteRequest>): Promise<Result<ExecuteResponse, Failure>> {
        const owner = this.findOwner()?.owner;
        if (owner === undefined) {
            throw new Error("no host owns the shard");
        }
        return owner.execute({
            shard,
            team: "quotes",
            queue: "orders",
            isIdempotent: false,
            timeoutMs: 5_000,
            contentType: "text/plain",
            body: new Uint8Array([1, 2, 3]),
            ...request,
        });
    }

    async awaitResult<T>(promise: Promise<T>): Promise<T> {
        let isDone = false;
        const done = promise.finally(() => {
            isDone = true;
        });
        for (let step = 0; step < 2_000 && !isDone; step++) {
            await this.advance(10);
        }
        return done;
    }

    describeJob(name: string): JobStatus | undefined {
        return this.findOwner()?.owner.tracker.jobs.get(toJobId(zone, name))?.toStatus();
    }

    /** Returns the number of starts of each task of a job, by the workers' records. */
    countRuns(name: string): ReadonlyMap<string, number> {
        const counts = new Map<string, number>();
        const job: JobId = toJobId(zone, name);
        for (const run of this.fleet.records.taskRuns.filter(other => other.task.startsWith(`${job}/`))) {
            counts.set(run.task, (counts.get(run.task) ?? 0) + 1);
        }
        return counts;
    }

    /** Returns all violations that the fakes recorded; empty when every promise held. */
    listViolations(): readonly string[] {
        const { overcommits, tasksInTwoPlaces, repeatedRequests, overloads } = this.fleet.records;
        return [
            ...overcommits.map(overcommit => `overcommit on ${overcommit.worker}`),
            ...tasksInTwoPlaces.map(({ task, workers }) => `task ${task} on ${workers.join(" and ")}`),
            ...repeatedRequests.map(({ requestKey }) => `request ${requestKey} ran twice`),
            ...overloads.map(({ executor, kind }) => `${executor} had too many ${kind}`),
        ];
    }

    /** Largest amounts of a team that ran at one time, by the workers' records. */
    computePeakCpu(team: TeamId, cpuMillisPerTask: number): number {
        const edges = this.fleet.records.taskRuns.filter(run => run.team === team).flatMap(run => [
            { at: run.startedAt, change: 1 },
            { at: run.endedAt ?? Infinity, change: -1 },
        ]);
        edges.sort((first, second) => first.at - second.at || first.change - second.change);
        let running = 0;
        let peak = 0;
        for (const { change } of edges) {
            running += change;
            peak = Math.max(peak, running);
        }
        return peak * cpuMillisPerTask;
    }
}
