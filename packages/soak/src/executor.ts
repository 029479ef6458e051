/**
 * Stand-in of an executor: starts what it is told to start, keeps leases, lists runs and ends, and registers itself. The
 * spec of a job gives the run time of its tasks and the share of runs that fail.
 */
import type { AdviceService } from "./advice-service.js";
import { ExecutorClock } from "./executor-clock.js";
import type { Gangs } from "./gangs.js";
import { encodeExecutorEntry, toExecutorKey } from "./protocol.js";
import type { RecordedRun, RunEndKind, RunRecord } from "./run-record.js";
import type { StoreState } from "./store-state.js";
import type { ExecutorReply, ExecutorRequest, JobStep } from "./types.js";
import { computeWork, findStepOfTask, getJobOfTask, getStepOfTask } from "./workload.js";

/** Ends that one listing holds at most. */
const maxListedEnds = 500;
/** Longest lease that is granted, ms. */
const maxLeaseMs = 6_000;
/** Time from a stop to the end of the run, ms. */
const stopMs = 50;
/** Interval of the entries in the store, ms. */
const heartbeatMs = 1_500;
/** Silence after which the platform removes the entry of an executor, ms: three heartbeats. */
const entryExpiryMs = 3 * heartbeatMs;
/** Interval of checks whether the lease has expired, ms. */
const leaseCheckMs = 20;

/** Identity, room and surroundings of an executor. */
export interface ExecutorOptions {
    readonly id: string;
    readonly service: string;
    readonly zone: string;
    /** Address in its entry. Hosts reach it at addresses of their own. */
    readonly address: string;
    /** Thousandths of a core. */
    readonly cpu: number;
    readonly memoryMb: number;
    readonly store: StoreState;
    readonly record: RunRecord;
    /** Checks the tickets of starts. */
    readonly advice: AdviceService;
    readonly gangs: Gangs;
    /** Whether its entries reach the store now. */
    readonly canRegister: () => boolean;
}

interface ActiveRun {
    readonly row: RecordedRun;
    readonly cpu: number;
    readonly memoryMb: number;
    readonly workMs: number;
    /** `undefined` while the members of a gang wait for each other. */
    workBeganAt: number | undefined;
}

interface ListedEnd {
    readonly number: number;
    readonly row: RecordedRun;
}

/** One executor over all of its lives. */
export class Executor {
    /** Changes when another executor takes the address. */
    private presentId: string;
    readonly zone: string;
    /** Its steady clock. Leases count on it. */
    readonly steadyClock: ExecutorClock;
    private readonly active = new Map<string, ActiveRun>();
    private finished: ListedEnd[] = [];
    private nextEndNumber = 1;
    private readonly endedRuns = new Map<string, number>();
    private token = 0;
    private leaseEndsAt = 0;
    private readonly waiting = new Set<() => void>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private sequence = 0;
    private bornAt = 0;
    private registeredAt = 0;
    private isUp = false;
    private lifeNumber = 0;
    private heartbeat: NodeJS.Timeout | undefined;
    private leaseCheck: NodeJS.Timeout | undefined;

    constructor(private readonly options: ExecutorOptions) {
        this.presentId = options.id;
        this.zone = options.zone;
        this.steadyClock = new ExecutorClock(() => options.record.now);
    }

    get id(): string {
        return this.presentId;
    }

    /** Number of the present life; `undefined` while the executor is down. */
    get life(): number | undefined {
        return this.isUp ? this.lifeNumber : undefined;
    }

    get identity(): { readonly clock: number; readonly bornAt: number; } {
        return { clock: this.clock, bornAt: this.bornAt };
    }

    /** Room that is left, in thousandths of a core and MB. */
    get room(): { readonly cpu: number; readonly memoryMb: number; } {
        let { cpu, memoryMb } = this.options;
        for (const run of this.active.values()) {
            cpu -= run.cpu;
            memoryMb -= run.memoryMb;
        }
        return { cpu, memoryMb };
    }

    get cpuCapacity(): number {
        return this.options.cpu;
    }

    /** Begins a life that knows nothing of earlier ones. Its clock begins at `originMs`. */
    beginLife(originMs = 0): void {
        this.active.clear();
        this.finished = [];
        this.nextEndNumber = 1;
        this.endedRuns.clear();
        this.token = 0;
        this.leaseEndsAt = 0;
        this.sequence = 0;
        this.lifeNumber += 1;
        this.bornAt = Date.now();
        this.steadyClock.restart(originMs);
        this.isUp = true;
        this.options.record.write("executor-start", { executor: this.id, originMs });
        this.register();
        clearInterval(this.heartbeat);
        clearInterval(this.leaseCheck);
        this.heartbeat = setInterval(() => this.register(), heartbeatMs);
        this.leaseCheck = setInterval(() => this.expireLease(), leaseCheckMs);
    }

    /** Begins the life of another executor at the address. The entry of the earlier one expires. */
    beginLifeOfSuccessor(): void {
        const earlierKey = toExecutorKey(this.id);
        this.schedule(entryExpiryMs, () => this.options.store.remove(earlierKey));
        this.presentId = `${this.options.id}-${this.lifeNumber + 1}`;
        this.beginLife();
    }

    /** Ends the life; all that ran is gone. */
    endLife(): void {
        this.isUp = false;
        this.options.record.write("executor-crash", { executor: this.id });
        this.timers.forEach(timer => clearTimeout(timer));
        this.timers.clear();
        this.waiting.clear();
        const ended = [...this.active.values()];
        this.active.clear();
        ended.forEach(({ row }) => {
            this.recordEnd(row, "crashed");
            this.options.gangs.remove(toGangKey(row), row.task);
        });
    }

    close(): void {
        this.isUp = false;
        clearInterval(this.heartbeat);
        clearInterval(this.leaseCheck);
        this.timers.forEach(timer => clearTimeout(timer));
    }

    /** Carries out a call. `isLate`: it arrived seconds ago. */
    handle(request: ExecutorRequest, sender: string, isLate: boolean, onReply: (reply: ExecutorReply) => void): void {
        if (request.executor !== this.id) {
            onReply({ kind: "wrongInstance" });
            return;
        }
        this.expireLease();
        if (request.token < this.token) {
            onReply({ kind: "rejected", reason: "fence" });
            return;
        }
        this.token = request.token;
        switch (request.kind) {
            case "start":
                onReply(this.start(request, sender, isLate));
                break;
            case "stop":
                onReply(this.stop(request));
                break;
            case "hold":
                this.renew(request, onReply);
                break;
            case "pace":
                onReply({ kind: "done" });
                break;
            case "unknown":
                onReply({ kind: "unknown" });
        }
    }

    private get clock(): number {
        return Math.floor(this.steadyClock.now);
    }

    private register(): void {
        const { options: { service, address, zone, cpu, memoryMb, store, record }, id } = this;
        if (this.isUp && this.options.canRegister()) {
            this.sequence += 1;
            this.registeredAt = record.now;
            const { key, text } = encodeExecutorEntry(id, {
                service,
                address,
                zone,
                cpu,
                memoryMb,
                sequence: this.sequence,
                ...this.identity,
            });
            store.put(key, text);
        }
        else if (record.now - this.registeredAt > entryExpiryMs && store.read(toExecutorKey(id)) !== undefined) {
            record.write("entry-expired", { executor: id });
            store.remove(toExecutorKey(id));
        }
    }

    private extendLease(endsAt: number | undefined): void {
        if (endsAt !== undefined) {
            this.leaseEndsAt = Math.max(this.leaseEndsAt, Math.min(endsAt, this.clock + maxLeaseMs));
        }
    }

    private start(request: ExecutorRequest, sender: string, isLate: boolean): ExecutorReply {
        const { task, run, spec, leaseEndsAt, token, ticket } = request;
        const present = this.active.get(task)?.row.run;
        if (present === run) {
            return { kind: "done" };
        }
        if (present !== undefined || run <= (this.endedRuns.get(task) ?? 0)) {
            this.extendLease(leaseEndsAt);
            return { kind: "rejected", reason: "old" };
        }
        if (leaseEndsAt !== undefined && leaseEndsAt < this.clock) {
            return { kind: "rejected", reason: "late" };
        }
        const { record, advice } = this.options;
        if (!advice.isValid(ticket, getStepOfTask(task), this)) {
            record.ticketRefusals += 1;
            record.write("start-refused", { executor: this.id, task, run, ticket, sender });
            return { kind: "rejected", reason: "ticket" };
        }
        this.extendLease(leaseEndsAt);
        const job = getJobOfTask(task);
        const row: RecordedRun = {
            executor: this.id,
            task,
            job,
            run,
            token,
            sender,
            spec,
            isLate,
            startedAt: record.now,
            hasLapsed: false,
        };
        const step = findStepOfTask(record.jobs.get(job), task);
        record.runs.push(row);
        record.write("start", { executor: this.id, task, run, token, sender, isLate });
        this.begin(row, step);
        const { room } = this;
        if (room.cpu < 0 || room.memoryMb < 0) {
            record.overloads.push(`${task}: run ${run} on ${this.id} leaves ${room.cpu} cpu, ${room.memoryMb} MB`);
        }
        return { kind: "done" };
    }

    /** Lets a run work, or wait for the other members of its gang. */
    private begin(row: RecordedRun, step: JobStep | undefined): void {
        const { record, gangs } = this.options;
        const { task, run, spec } = row;
        const isGang = step?.isGang === true;
        const work = computeWork(spec, isGang ? getStepOfTask(task) : task, run);
        const active: ActiveRun = {
            row,
            cpu: step?.cpu ?? 0,
            memoryMb: step?.memoryMb ?? 0,
            workMs: work.ms,
            workBeganAt: isGang ? undefined : record.now,
        };
        this.active.set(task, active);
        if (!isGang) {
            this.schedule(work.ms, () => {
                this.expireLease();
                this.end(row, work.isFailure ? "failed" : "done");
            });
            return;
        }
        const gang = { key: toGangKey(row), size: step.count, workMs: work.ms, isFailure: work.isFailure };
        gangs.add(gang, task, {
            onComplete: () => {
                active.workBeganAt = record.now;
            },
            onEnd: kind => this.end(row, kind),
        });
    }

    private stop({ task, run }: ExecutorRequest): ExecutorReply {
        this.endedRuns.set(task, Math.max(this.endedRuns.get(task) ?? 0, run));
        const present = this.active.get(task);
        if (present?.row.run === run) {
            this.schedule(stopMs, () => this.end(present.row, "stopped"));
        }
        return { kind: "done" };
    }

    private renew(
        { acknowledged, leaseEndsAt, waitMs }: ExecutorRequest,
        onReply: (reply: ExecutorReply) => void,
    ): void {
        const { record } = this.options;
        this.extendLease(leaseEndsAt);
        for (const { number, row } of this.finished) {
            if (number <= acknowledged) {
                row.acknowledgedAt = record.now;
                record.write("acknowledged", { executor: this.id, task: row.task, run: row.run, end: row.end });
            }
        }
        this.finished = this.finished.filter(({ number }) => number > acknowledged);
        if (waitMs === 0 || this.finished.length > 0) {
            onReply(this.list());
            return;
        }
        const wake = () => {
            clearTimeout(timer);
            this.timers.delete(timer);
            this.waiting.delete(wake);
            onReply(this.list());
        };
        const timer = this.schedule(waitMs, wake);
        this.waiting.add(wake);
    }

    private list(): ExecutorReply {
        return {
            kind: "listing",
            running: [...this.active.values()].map(({ row: { task, run }, workMs, workBeganAt = Infinity }) => ({
                task,
                run,
                percent: Math.max(0, Math.min(99, Math.floor((this.options.record.now - workBeganAt) / workMs * 100))),
            })),
            finished: this.finished.slice(0, maxListedEnds).map(({ number, row: { task, run, end } }) => ({
                number,
                task,
                run,
                how: end!,
            })),
        };
    }

    private end(row: RecordedRun, kind: RunEndKind): void {
        if (row.end !== undefined) {
            return;
        }
        this.recordEnd(row, kind);
        this.active.delete(row.task);
        this.endedRuns.set(row.task, Math.max(this.endedRuns.get(row.task) ?? 0, row.run));
        this.finished.push({ number: this.nextEndNumber, row });
        this.nextEndNumber += 1;
        [...this.waiting].forEach(wake => wake());
        this.options.gangs.remove(toGangKey(row), row.task);
    }

    private recordEnd(row: RecordedRun, kind: RunEndKind): void {
        row.end = kind;
        // The check of the lease may be late on a busy machine. A run ends with its lease, whenever it is checked.
        const lateMs = kind === "lapsed" ? this.steadyClock.convertToElapsed(this.clock - this.leaseEndsAt) : 0;
        row.endedAt = Math.max(row.startedAt, this.options.record.now - lateMs);
        this.options.record.write("end", { executor: this.id, task: row.task, run: row.run, end: kind });
    }

    /** Ends everything when the lease has expired, and notes for the ends that wait that it has. */
    private expireLease(): void {
        if (this.isUp && this.clock > this.leaseEndsAt) {
            [...this.active.values()].forEach(({ row }) => this.end(row, "lapsed"));
            this.finished.forEach(({ row }) => {
                row.hasLapsed = true;
            });
        }
    }

    private schedule(ms: number, action: () => void): NodeJS.Timeout {
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            action();
        }, ms);
        this.timers.add(timer);
        return timer;
    }
}

/** Returns the name of one run of a gang, which its members share. */
function toGangKey({ task, run }: RecordedRun): string {
    return `${getStepOfTask(task)}#${run}`;
}
