/**
 * A replica of the configuration in one process. Changes apply in revision order, never a lower one, so that an accepted
 * configuration does not revert whatever the order in which messages arrive.
 */
import { createFailure, Err, Ok, SystemClock } from "@waxwingroute/core";
import type { Clock, Failure, Result } from "@waxwingroute/core";
import type { StoreChange, StoreEntry } from "@waxwingroute/platform";
import { configurationPrefix, ConfigurationView } from "@waxwingroute/resources";
import { match } from "ts-pattern";
import { ChangeLog } from "./change-log.js";
import type { RelayDelta, RelaySnapshot, RelayUpdate } from "./types.js";

/** Options of a `ConfigurationReplica`. */
export interface ConfigurationReplicaOptions {
    /** Default: the clock of the machine. */
    readonly clock?: Clock;
    /**
     * Changes kept for deltas and watches. Default 4,096: more than six hours at 15,000 changes per day, so that a zone
     * that was cut off for an hour resumes with a delta.
     */
    readonly logLength?: number;
    /** Most changes in one delta. Default 512, which keeps a message well under 4 MB. */
    readonly maxDeltaLength?: number;
    /** Called for each value that cannot be read and each listener that throws. Default: nothing. */
    readonly onProblem?: (problem: Failure) => void;
}

/** Called with changes that came into force, in revision order, and the revision that is now in force. */
export type ChangeListener = (changes: readonly StoreChange[], revision: number) => void;

/**
 * The configuration in force in this process.
 *
 * @example
 * ```ts
 * const replica = new ConfigurationReplica();
 * replica.subscribe((changes, revision) => log(`revision ${revision} is in force`));
 * replica.applyUpdate({ kind: "snapshot", revision: range.revision, entries: range.entries });
 * replica.view.findTeam("quotes");
 * ```
 */
export class ConfigurationReplica {
    /** Tables of the configuration in force. */
    readonly view: ConfigurationView;
    private readonly clock: Clock;
    private readonly maxDeltaLength: number;
    private readonly changeLog: ChangeLog;
    private readonly entries = new Map<string, StoreEntry>();
    private readonly listeners = new Set<ChangeListener>();
    private readonly onProblem: (problem: Failure) => void;
    private currentRevision: number | undefined;
    private confirmedAt = -Infinity;

    constructor(options: ConfigurationReplicaOptions = {}) {
        this.clock = options.clock ?? new SystemClock();
        this.maxDeltaLength = options.maxDeltaLength ?? 512;
        this.changeLog = new ChangeLog(options.logLength ?? 4_096);
        this.onProblem = options.onProblem ?? (() => undefined);
        this.view = new ConfigurationView({ onProblem: this.onProblem });
    }

    /** Revision in force; `undefined` before the first load. */
    get revision(): number | undefined {
        return this.currentRevision;
    }

    /**
     * Applies a delta or snapshot; returns whether the revision rose. Failures (`notRun`): `update-gap` (a delta that begins
     * above the own revision: pull again), `malformed-update`.
     */
    applyUpdate(update: RelayUpdate): Result<boolean, Failure> {
        return match(update)
            .with({ kind: "delta" }, delta => this.applyDelta(delta))
            .with({ kind: "snapshot" }, snapshot => this.applySnapshot(snapshot))
            .exhaustive();
    }

    /**
     * Records that `revision` was the newest of the store at the monotonic time `confirmedAt`. Ignored if the replica is
     * behind that revision, because it then lacks changes that were accepted before.
     */
    confirm(revision: number, confirmedAt: number): void {
        if (this.currentRevision !== undefined && this.currentRevision >= revision) {
            this.confirmedAt = Math.max(this.confirmedAt, confirmedAt);
        }
    }

    /** Returns milliseconds since the configuration was last confirmed as the newest; `Infinity` if never. */
    getConfirmationAge(): number {
        return this.clock.getNow() - this.confirmedAt;
    }

    /** Returns whether keys may be judged by this replica: it was confirmed within `keyStalenessMs`. */
    isFresh(maxAgeMs: number): boolean {
        return this.getConfirmationAge() <= maxAgeMs;
    }

    /** Builds the update for a peer whose revision is `revision`; `undefined` if nothing is loaded. */
    buildUpdate(revision: number | undefined): RelayUpdate | undefined {
        if (this.currentRevision === undefined) {
            return undefined;
        }
        const changes = revision === undefined ? undefined : this.changeLog.list(revision);
        if (revision === undefined || changes === undefined || !changes.ok) {
            return { kind: "snapshot", revision: this.currentRevision, entries: [...this.entries.values()] };
        }
        const included = changes.val.slice(0, this.maxDeltaLength);
        const isComplete = included.length === changes.val.length;
        const lastRevision = isComplete
            ? Math.max(revision, this.currentRevision)
            : included.at(-1)?.revision ?? revision;
        return { kind: "delta", from: revision, revision: lastRevision, changes: included };
    }

    /** Lists the changes above `revision`, for a watch that resumes. Failure: `revision-compacted` (`notRun`). */
    listChanges(revision: number): Result<readonly StoreChange[], Failure> {
        return this.changeLog.list(revision);
    }

    /** Calls `listener` after each change; returns a function that ends it. */
    subscribe(listener: ChangeListener): () => void {
        this.listeners.add(listener);
        return () => {
            this.listeners.delete(listener);
        };
    }

    private applyDelta(delta: RelayDelta): Result<boolean, Failure> {
        const malformed = describeDeltaFault(delta);
        if (malformed !== undefined) {
            return Err(createFailure("malformed-update", malformed, "notRun"));
        }
        const current = this.currentRevision;
        if (current === undefined || delta.from > current) {
            const message = `the delta begins at revision ${delta.from}, the replica is at ${
                current ?? "none"
            }: pull again`;
            return Err(createFailure("update-gap", message, "notRun"));
        }
        if (delta.revision <= current) {
            return Ok(false);
        }
        const changes = delta.changes.filter(change => change.revision > current);
        for (const change of changes) {
            this.changeLog.append(change);
            this.view.apply(change);
            if (change.value === undefined) {
                this.entries.delete(change.key);
            }
            else {
                this.entries.set(change.key, { key: change.key, value: change.value, revision: change.revision });
            }
        }
        this.advanceRevision(delta.revision, changes);
        return Ok(true);
    }

    private applySnapshot(snapshot: RelaySnapshot): Result<boolean, Failure> {
        if (snapshot.entries.some(entry => entry.revision > snapshot.revision || !isConfigurationKey(entry.key))) {
            const message =
                `the snapshot of revision ${snapshot.revision} holds a newer entry or one of another prefix`;
            return Err(createFailure("malformed-update", message, "notRun"));
        }
        if (this.currentRevision !== undefined && snapshot.revision <= this.currentRevision) {
            return Ok(false);
        }
        const changes = this.computeSnapshotChanges(snapshot);
        this.entries.clear();
        for (const entry of snapshot.entries) {
            this.entries.set(entry.key, entry);
        }
        this.view.load(snapshot);
        this.changeLog.reset(snapshot.revision);
        this.advanceRevision(snapshot.revision, changes);
        return Ok(true);
    }

    /**
     * Lists what a snapshot changes. The revisions of deletions are not known, so they get the lowest possible: a watch that
     * ends among them then resumes below the log and lists again, instead of missing the rest.
     */
    private computeSnapshotChanges(snapshot: RelaySnapshot): StoreChange[] {
        const presentKeys = new Set(snapshot.entries.map(entry => entry.key));
        const deleted = [...this.entries.keys()]
            .filter(key => !presentKeys.has(key))
            .map(key => ({ key, value: undefined, revision: (this.currentRevision ?? 0) + 1 }));
        const written = snapshot.entries
            .filter(entry => this.entries.get(entry.key)?.revision !== entry.revision)
            .sort((first, second) => first.revision - second.revision);
        return [...deleted, ...written];
    }

    private advanceRevision(revision: number, changes: readonly StoreChange[]): void {
        this.currentRevision = revision;
        this.view.advanceRevision(revision);
        for (const listener of [...this.listeners]) {
            try {
                listener(changes, revision);
            }
            catch (error) {
                const message = `a configuration listener failed at revision ${revision}: ${String(error)}`;
                this.onProblem(createFailure("listener-failed", message, "mayHaveRun"));
            }
        }
    }
}

function isConfigurationKey(key: string): boolean {
    return key.startsWith(configurationPrefix);
}

function describeDeltaFault(delta: RelayDelta): string | undefined {
    let previous = delta.from;
    for (const change of delta.changes) {
        if (change.revision <= previous || change.revision > delta.revision || !isConfigurationKey(change.key)) {
            return `the change of "${change.key}" at revision ${change.revision} does not belong to the delta from `
                + `${delta.from} to ${delta.revision}, or is out of order`;
        }
        previous = change.revision;
    }
    return undefined;
}
