/**
 * The executors of the cell: reads their entries from the store, keeps a session with each, and tells the scheduler
 * which of them can take work.
 *
 * An executor gets work only while the roster in the store lists it as `open`, that is, as one that can hold any run.
 * The next owner therefore knows everywhere that runs may be, even on executors whose entries have expired. An executor
 * that leaves or does not answer is listed with the tasks that it may still hold, so that the next owner delays only
 * these.
 */
import { toId, zeroResources } from "@waxwingroute/core";
import type { Clock, ExecutorId, NetworkAddress, ZoneId } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import type { ExecutorState, PoolId, TaskKey, WorkflowScheduler } from "@waxwingroute/workflow";
import { ExecutorSession } from "./executor-session.js";
import type { ExecutorAnswer, OrderAuthority, SessionListener } from "./executor-session.js";
import type { PlatformCodec } from "./platform-codec.js";
import { RosterWriter } from "./roster-writer.js";
import type { RosterEntry } from "./store-keys.js";
import type { LeaseStore, StoreItem, StoreWrite } from "./store.js";
import { listAll } from "./store.js";
import type { ExecutorConnector, ExecutorEntry } from "./task-executor.js";

/** The owner's authority, which depends on the executors of the stored roster. */
export interface RosterAuthority extends OrderAuthority {
    /** Whether an earlier owner may still send orders. */
    readonly hasEarlierOwners: boolean;
    /** Sets the roster that earlier owners have stored. */
    adoptRoster(roster: readonly RosterEntry[]): void;
    /** Sets the rosters of which any one can be the stored one. */
    setStoredRosters(rosters: readonly (readonly ExecutorId[])[]): void;
    /** Records that the executor has answered this owner. */
    recordAnswer(executor: ExecutorId, answer: ExecutorAnswer): void;
    /** Records that the executor's life that earlier owners knew is over. */
    recordLifeOver(executor: ExecutorId): void;
}

/** The connections, limits and callbacks of a registry. */
export interface ExecutorRegistryOptions {
    readonly store: LeaseStore;
    readonly codec: PlatformCodec;
    readonly connector: ExecutorConnector;
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly supervisor: Supervisor;
    readonly scheduler: WorkflowScheduler;
    readonly listener: SessionListener;
    readonly fencingToken: number;
    readonly maxLeaseMs: number;
    /** See `ExecutorSessionOptions`. */
    readonly stopMs: number;
    /** Longest lease that executors grant, ms. */
    readonly longestLeaseMs: number;
    readonly authority: RosterAuthority;
    /** Returns whether the configuration names the pool; executors of other pools are not used. */
    readonly isPoolKnown: (pool: PoolId) => boolean;
    /** Writes the roster to the store and calls `onStored` once the write is committed. */
    readonly storeRoster: (write: StoreWrite, onStored: () => void) => void;
    /** Called when executors were added or removed, or when their states changed. */
    readonly onChange: () => void;
}

/**
 * Used for an executor that has no entry, only a place in the roster: it takes no work, but runs can be charged to it.
 */
const executorWithoutEntry = {
    pool: toId<PoolId>(""),
    zone: toId<ZoneId>(""),
    rack: undefined,
    labels: [],
    capacity: zeroResources,
};

interface ExecutorRecord {
    readonly executor: ExecutorId;
    readonly address: NetworkAddress;
    readonly session: ExecutorSession;
    /** The newest entry; `undefined` if the executor is known only from the roster. */
    entry: ExecutorEntry | undefined;
    /** Earliest time at which the executor may leave; `undefined` unless it drains. */
    leavesAt: number | undefined;
    /** Time by which it should run nothing, because its machine is due for maintenance. */
    emptyBy: number | undefined;
    isEntryMissing: boolean;
    /** Its status in the stored roster. */
    rosterStatus: RosterStatus;
}

/** `absent`: not in the roster. `open`: can hold runs of any task. A list: can hold runs of these tasks only. */
type RosterStatus = "absent" | "open" | readonly TaskKey[];

interface ExecutorOfEarlierOwner {
    readonly session: ExecutorSession;
    /** Tasks of which it may hold runs; `undefined` if it may hold runs of any task. */
    readonly tasks: readonly TaskKey[] | undefined;
}

/** Interval between reads of the entries, ms. Short, to leave most of a leaving executor's notice to stop its runs. */
const pollMs = 600;
/** Time after an outage of the store in which missing entries are ignored, ms: executors restore them in about 2 s. */
const entryReturnGraceMs = 2_500;
/** Without a successful read for longer than this, the store counts as having had an outage, ms. */
const outageMs = 1_500;

/** Tracks the entries, sessions and roster statuses of all executors of the cell. */
export class ExecutorRegistry {
    private readonly records = new Map<ExecutorId, ExecutorRecord>();
    /** Executors that an earlier owner used and that may still hold runs of it. */
    private readonly executorsOfEarlierOwner = new Map<ExecutorId, ExecutorOfEarlierOwner>();
    /** Entries that name no executor to use, with the reasons that were logged. */
    private readonly skippedEntries = new Map<string, string>();
    private isClosed = false;
    private areRunsRecovered = false;
    private isRosterInFlight = false;
    /** Whether the roster has changed since its last write was begun. */
    private isRosterStale = false;
    private lastReadAt: number;
    private ignoreMissingUntil = 0;
    private fencingToken: number;
    private readonly rosterWriter: RosterWriter;

    constructor(private readonly options: ExecutorRegistryOptions) {
        this.lastReadAt = options.clock.getNow();
        this.fencingToken = options.fencingToken;
        this.rosterWriter = new RosterWriter({
            storeRoster: options.storeRoster,
            getEpoch: () => this.fencingToken,
            hasEarlierOwners: () => options.authority.hasEarlierOwners,
            onStoredRosters: rosters => options.authority.setStoredRosters(rosters),
        });
    }

    /** Opens a session for each executor that an earlier owner may have used, unless the registry was closed meanwhile. */
    adoptRoster(roster: readonly RosterEntry[]): void {
        if (this.isClosed) {
            return;
        }
        this.options.authority.adoptRoster(roster);
        this.rosterWriter.adopt(roster);
        for (const { executor, address, tasks } of roster) {
            const record = this.openRecord(executor, address);
            record.rosterStatus = tasks ?? "open";
            record.isEntryMissing = true;
            this.executorsOfEarlierOwner.set(executor, { session: record.session, tasks });
            this.updateScheduler(executor);
        }
    }

    /**
     * Reads the entries periodically until `close` is called, and begins to store the roster and to remove executors. Called
     * once the scheduler has the runs that executors have listed: before that, each executor seems to run nothing.
     */
    start(): void {
        this.areRunsRecovered = true;
        this.updateRoster();
        this.options.supervisor.startLoop({
            operation: "executor entries",
            isStopped: () => this.isClosed,
            run: () => this.run(),
        });
    }

    private async run(): Promise<void> {
        while (!this.isClosed) {
            await this.refresh();
            await this.options.clock.wait(pollMs);
        }
    }

    close(): void {
        this.isClosed = true;
        this.records.forEach(record => record.session.close());
    }

    /** Asks each executor for an answer, unless it has answered recently. */
    confirmExecutors(): void {
        for (const { executor, session } of this.records.values()) {
            this.options.supervisor.start("confirmation", { executor }, () => session.confirmAuthority());
        }
    }

    /** Number of executors that could take work and wait until the stored roster lists them as `open`. */
    get unopenedCount(): number {
        return [...this.records.values()].filter(record =>
            record.rosterStatus !== "open" && this.computeRosterStatus(record) === "open"
        ).length;
    }

    /** Longest time for which runs have stayed charged to an executor that holds them no longer, ms. */
    get unreportedLossMs(): number {
        const since = [...this.records.values()].map(({ session }) => session.unreportedLossSince ?? Infinity);
        return Math.max(0, this.options.clock.getNow() - Math.min(Infinity, ...since));
    }

    /** Reports the losses that waited for a valid lease, if the owner has one. */
    reportConfirmedLosses(): void {
        if (this.options.authority.isLeaseValid) {
            this.records.forEach(({ session }) => session.reportConfirmedLosses());
        }
    }

    getSession(executor: ExecutorId): ExecutorSession | undefined {
        return this.records.get(executor)?.session;
    }

    /**
     * Returns the tasks of which an earlier owner's runs may still be running. `undefined` means any task: an executor
     * that could hold runs of any task has neither listed its runs nor lost its leases.
     */
    listPossiblyRunningTasks(): readonly TaskKey[] | undefined {
        const tasks: TaskKey[] = [];
        for (const [executor, { session, tasks: heldTasks }] of this.executorsOfEarlierOwner) {
            if (session.areRunsKnown) {
                this.executorsOfEarlierOwner.delete(executor);
            }
            else if (heldTasks === undefined) {
                return undefined;
            }
            else {
                tasks.push(...heldTasks);
            }
        }
        return tasks;
    }

    /** Returns the executors that may run tasks by an order of an earlier owner. */
    listUnsettledExecutors(): ExecutorId[] {
        return [...this.executorsOfEarlierOwner]
            .filter(([, { session, tasks }]) => !session.areRunsKnown && tasks?.length !== 0)
            .map(([executor]) => executor);
    }

    setFencingToken(token: number): void {
        this.fencingToken = token;
        this.records.forEach(record => record.session.setFencingToken(token));
    }

    /** Sets the time by which an executor should run nothing; `undefined` lets it take work again. */
    planEvacuation(executor: ExecutorId, emptyBy: number | undefined): void {
        const record = this.records.get(executor);
        if (record !== undefined) {
            record.emptyBy = emptyBy;
            this.updateScheduler(executor);
            this.options.onChange();
        }
    }

    /** Updates the scheduler and the roster after the session of an executor changed. */
    refreshExecutor(executor: ExecutorId): void {
        this.updateScheduler(executor);
        this.updateRoster();
    }

    private updateScheduler(executor: ExecutorId): void {
        const record = this.records.get(executor);
        if (record === undefined) {
            return;
        }
        const { pool, zone, rack, labels, capacity } = record.entry ?? executorWithoutEntry;
        const state = this.getState(record);
        const { leavesAt, emptyBy } = record;
        this.options.scheduler.updateExecutor({
            executor,
            pool,
            zone,
            rack,
            labels,
            capacity,
            state,
            leavesAt,
            emptyBy,
        });
    }

    /** Reads the entries once. */
    async refresh(): Promise<void> {
        const { clock, codec, store } = this.options;
        const listed = await listAll(store, codec.executorPrefix);
        const now = clock.getNow();
        if (!listed.ok || this.isClosed) {
            return;
        }
        if (now - this.lastReadAt > outageMs) {
            this.ignoreMissingUntil = now + entryReturnGraceMs;
        }
        this.lastReadAt = now;
        this.applyEntries(listed.val.items, now >= this.ignoreMissingUntil);
    }

    private applyEntries(items: readonly StoreItem[], isListComplete: boolean): void {
        const seen = new Set<ExecutorId>();
        for (const item of items) {
            // An error that one entry causes must not keep the others from being read.
            this.options.supervisor.run("executor entry", { key: item.key }, () => {
                const entry = this.decodeEntry(item);
                if (entry !== undefined) {
                    this.applyEntry(entry);
                    seen.add(entry.executor);
                }
            });
        }
        if (isListComplete) {
            this.markMissing(seen);
        }
        this.updateRoster();
        this.options.onChange();
    }

    /** Returns the entry if it names an executor that can be used. The runs of an executor with another entry go on. */
    private decodeEntry(item: StoreItem): ExecutorEntry | undefined {
        const { codec, isPoolKnown, logger } = this.options;
        const decoded = codec.decodeExecutor(item);
        const reason = !decoded.ok
            ? decoded.val.message
            : isPoolKnown(decoded.val.pool)
            ? undefined
            : `the configuration does not name the pool ${decoded.val.pool}`;
        if (!decoded.ok || reason !== undefined) {
            if (reason !== undefined && this.skippedEntries.get(item.key) !== reason) {
                this.skippedEntries.set(item.key, reason);
                logger.write("warn", "executor entry skipped", { key: item.key, revision: item.revision, reason });
            }
            return undefined;
        }
        this.skippedEntries.delete(item.key);
        return decoded.val;
    }

    private applyEntry(entry: ExecutorEntry): void {
        const record = this.openRecord(entry.executor, entry.address);
        if (record.address !== entry.address) {
            return;
        }
        const wasDraining = record.entry?.isDraining;
        if (record.entry === undefined || wasDraining !== entry.isDraining) {
            this.options.logger.write("info", "executor seen", {
                executor: entry.executor,
                pool: entry.pool,
                isDraining: entry.isDraining,
                remainingMs: entry.remainingMs,
            });
        }
        record.entry = entry;
        record.leavesAt = this.computeLeaveTime(record, entry);
        record.isEntryMissing = false;
        this.updateScheduler(entry.executor);
    }

    /**
     * Returns the earliest time at which the executor may leave. An entry is read up to `pollMs` after it was written,
     * and the same entry is read repeatedly, so the earliest result is kept.
     */
    private computeLeaveTime(record: ExecutorRecord, entry: ExecutorEntry): number | undefined {
        if (!entry.isDraining || entry.remainingMs === undefined) {
            return undefined;
        }
        const leavesAt = this.options.clock.getNow() + entry.remainingMs - pollMs;
        return Math.min(leavesAt, record.leavesAt ?? Infinity);
    }

    /** Marks executors whose entries are missing, and removes those that neither hold runs nor answer. */
    private markMissing(seen: ReadonlySet<ExecutorId>): void {
        for (const record of this.records.values()) {
            if (seen.has(record.executor)) {
                continue;
            }
            if (!record.isEntryMissing) {
                this.options.logger.write("info", "executor entry gone", { executor: record.executor });
                record.isEntryMissing = true;
                this.updateScheduler(record.executor);
            }
            const { scheduler } = this.options;
            const isIdle = this.areRunsRecovered && scheduler.listRuns(record.executor).length === 0;
            if (isIdle && record.session.areRunsKnown && !record.session.isReachable) {
                record.session.close();
                this.records.delete(record.executor);
                scheduler.removeExecutor(this.options.clock.getNow(), record.executor);
            }
        }
    }

    /**
     * Stores the roster if it has changed. Executors that become `open` can take work once it is stored. One write is in
     * flight at a time; changes meanwhile are stored together by the next one.
     */
    private updateRoster(): void {
        if (!this.areRunsRecovered) {
            return;
        }
        const changed = new Map<ExecutorRecord, RosterStatus>();
        for (const record of this.records.values()) {
            const wanted = this.computeRosterStatus(record);
            if (!isUpToDate(record.rosterStatus, wanted)) {
                changed.set(record, wanted);
            }
        }
        this.isRosterStale ||= changed.size > 0 || this.rosterWriter.hasOutdatedEntries;
        for (const [record, wanted] of changed) {
            // Closing an executor takes effect at once. Opening it takes effect when stored, so that no run starts on
            // an executor that the next owner would not find in the roster.
            if (wanted !== "open") {
                record.rosterStatus = wanted;
            }
        }
        if (this.isRosterStale && !this.isRosterInFlight) {
            this.isRosterStale = false;
            this.isRosterInFlight = true;
            this.storeRoster(changed, () => this.handleRosterStored(changed));
        }
    }

    private handleRosterStored(changed: ReadonlyMap<ExecutorRecord, RosterStatus>): void {
        this.isRosterInFlight = false;
        for (const [record, wanted] of changed) {
            if (wanted !== "open") {
                continue;
            }
            if (this.records.get(record.executor) === record && this.computeRosterStatus(record) === "open") {
                record.rosterStatus = "open";
                this.updateScheduler(record.executor);
            }
            else {
                // It closed while it was stored as open.
                this.isRosterStale = true;
            }
        }
        this.options.onChange();
        this.updateRoster();
    }

    private computeRosterStatus(record: ExecutorRecord): RosterStatus {
        const isUsable = record.entry !== undefined && !record.isEntryMissing && !record.entry.isDraining
            && record.session.isReachable;
        if (isUsable) {
            return "open";
        }
        if (!record.session.areRunsKnown) {
            return record.rosterStatus;
        }
        const tasks = this.options.scheduler.listRuns(record.executor).map(run => run.task);
        return tasks.length === 0 ? "absent" : tasks;
    }

    private storeRoster(changed: ReadonlyMap<ExecutorRecord, RosterStatus>, onStored: () => void): void {
        const roster: RosterEntry[] = [];
        for (const record of this.records.values()) {
            const { executor, address } = record;
            const status = changed.get(record) ?? record.rosterStatus;
            if (status === "open") {
                roster.push({ executor, address });
            }
            else if (status !== "absent") {
                roster.push({ executor, address, tasks: status });
            }
        }
        this.rosterWriter.store(roster, onStored);
    }

    /**
     * Returns the record of an executor. While the owner has no valid lease it keeps the record of an earlier incarnation,
     * which has another address: a successor may have noted the ends of runs that would count as lost. The next read of the
     * entries tries again.
     */
    private openRecord(executor: ExecutorId, address: NetworkAddress): ExecutorRecord {
        const existing = this.records.get(executor);
        const isReplaced = existing !== undefined && existing.address !== address;
        if (existing !== undefined && (!isReplaced || !this.options.authority.isLeaseValid)) {
            return existing;
        }
        if (existing !== undefined) {
            // The same id at another address is a new incarnation of the executor, which holds no earlier run.
            existing.session.reportCrash();
            existing.session.close();
            this.executorsOfEarlierOwner.delete(executor);
            this.options.authority.recordLifeOver(executor);
            this.options.listener.onRunsLost(executor, "executor restarted at another address", "replaced");
        }
        const { authority, clock, connector, listener, logger, longestLeaseMs, maxLeaseMs, stopMs, supervisor } =
            this.options;
        const session = new ExecutorSession({
            executor,
            client: connector.open({ executor, address }),
            clock,
            logger,
            supervisor,
            listener,
            fencingToken: this.fencingToken,
            maxLeaseMs,
            stopMs,
            longestLeaseMs,
            authority,
            needsFrequentListings: id => this.options.scheduler.needsFrequentReports(id),
            onAnswered: (id, answer) => authority.recordAnswer(id, answer),
        });
        const record: ExecutorRecord = {
            executor,
            address,
            session,
            entry: undefined,
            leavesAt: undefined,
            emptyBy: undefined,
            isEntryMissing: false,
            rosterStatus: "absent",
        };
        this.records.set(executor, record);
        session.start();
        return record;
    }

    private getState(record: ExecutorRecord): ExecutorState {
        if (!record.session.isReachable) {
            return "unreachable";
        }
        const isLeaving = record.isEntryMissing || record.rosterStatus !== "open" || record.entry?.isDraining === true
            || record.emptyBy !== undefined;
        return isLeaving ? "leaving" : "ready";
    }
}

function isUpToDate(stored: RosterStatus, wanted: RosterStatus): boolean {
    if (typeof stored === "string" || typeof wanted === "string") {
        return stored === wanted;
    }
    // A stored list that also has ended tasks is not rewritten: it only makes a later owner wait for more tasks than
    // needed.
    return wanted.every(task => stored.includes(task));
}
