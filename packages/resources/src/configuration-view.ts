/**
 * The configuration in force, as tables in memory. A stored value that cannot be read is reported and skipped; the last
 * good value stays in force, so that one damaged write does not take a team or key away.
 */
import { Table } from "@waxwingroute/core";
import type { Failure } from "@waxwingroute/core";
import type { StoreChange, StoreEntry, StoreRange } from "@waxwingroute/platform";
import { match } from "ts-pattern";
import { hashSecret, hasSecretLength, isSameHash } from "./key-secret.js";
import { NameIndex } from "./name-index.js";
import { configurationPrefix, decodeResource, parseStoreKey } from "./resource-codec.js";
import type {
    ConfigurationKind,
    ConfigurationResource,
    DrainResource,
    KeyResource,
    QueueResource,
    ResourceOf,
    TeamResource,
} from "./schemas.js";

/** Options of a `ConfigurationView`. */
export interface ConfigurationViewOptions {
    /** Called for each stored value that cannot be read. Default: nothing. */
    readonly onProblem?: (problem: Failure) => void;
}

/** The holder of a key. */
export interface AuthenticatedCaller {
    readonly key: KeyResource;
    readonly team: TeamResource;
}

/**
 * Tables of the configuration, built from store entries and changes.
 *
 * @example
 * ```ts
 * const view = new ConfigurationView();
 * view.load(range);
 * const caller = view.authenticate(secret);
 * ```
 */
export class ConfigurationView {
    private readonly tables: { readonly [Kind in ConfigurationKind]: Table<string, ResourceOf<Kind>>; } = {
        Team: new Table(),
        Key: new Table(),
        Queue: new Table(),
        Drain: new Table(),
    };
    private readonly keysByHash = new NameIndex();
    private readonly drainsByTarget = new NameIndex();
    private readonly problems = new Map<string, Failure>();
    private readonly onProblem: (problem: Failure) => void;
    private newestRevision = 0;

    constructor(options: ConfigurationViewOptions = {}) {
        this.onProblem = options.onProblem ?? (() => undefined);
    }

    /** Newest store revision that the view reflects. */
    get revision(): number {
        return this.newestRevision;
    }

    /**
     * Replaces the whole view by a range that was read at one moment. Ignored, with result `false`, if the range is older
     * than the view.
     */
    load(range: StoreRange): boolean {
        if (range.revision < this.newestRevision) {
            return false;
        }
        const present = new Set(range.entries.map(entry => entry.key));
        for (const [kind, table] of Object.entries(this.tables)) {
            for (const name of [...table.keys()]) {
                const key = `${configurationPrefix}${kind.toLowerCase()}/${name}`;
                if (!present.has(key)) {
                    this.remove(kind as ConfigurationKind, name);
                }
            }
        }
        for (const key of [...this.problems.keys()]) {
            if (!present.has(key)) {
                this.problems.delete(key);
            }
        }
        for (const entry of range.entries) {
            this.applyEntry(entry);
        }
        this.newestRevision = range.revision;
        return true;
    }

    /** Applies one change. Ignored, with result `false`, unless its revision is above that of the view. */
    apply(change: StoreChange): boolean {
        if (change.revision <= this.newestRevision) {
            return false;
        }
        this.newestRevision = change.revision;
        if (change.value !== undefined) {
            this.applyEntry({ key: change.key, value: change.value, revision: change.revision });
            return true;
        }
        this.problems.delete(change.key);
        const parsed = parseStoreKey(change.key);
        if (parsed !== undefined) {
            this.remove(parsed.kind, parsed.name);
        }
        return true;
    }

    /** Records that the view reflects the store up to `revision`, above its newest change. */
    advanceRevision(revision: number): void {
        this.newestRevision = Math.max(this.newestRevision, revision);
    }

    findTeam(name: string): TeamResource | undefined {
        return this.tables.Team.get(name);
    }

    findQueue(name: string): QueueResource | undefined {
        return this.tables.Queue.get(name);
    }

    /** Finds a resource of any configuration kind. */
    find<Kind extends ConfigurationKind>(kind: Kind, name: string): ResourceOf<Kind> | undefined {
        return this.tables[kind].get(name);
    }

    /** Lists the resources of a kind, in the order in which they first came into force. */
    list<Kind extends ConfigurationKind>(kind: Kind): readonly ResourceOf<Kind>[] {
        return [...this.tables[kind].values()] as ResourceOf<Kind>[];
    }

    listDrains(): readonly DrainResource[] {
        return this.list("Drain");
    }

    /** Returns whether an operator has taken a worker, executor or entry host out of rotation. */
    isDrained(targetKind: DrainResource["spec"]["target"]["kind"], name: string): boolean {
        return this.drainsByTarget.has(`${targetKind}/${name}`);
    }

    /** Lists the stored values that could not be read, newest reason per key. */
    listProblems(): readonly Failure[] {
        return [...this.problems.values()];
    }

    /**
     * Finds the holder of a secret. Returns `undefined` if no key has it, if its team does not exist, or if keys of
     * different teams have the same hash, because the secret then does not tell whose work it is.
     */
    authenticate(secret: string): AuthenticatedCaller | undefined {
        if (!hasSecretLength(secret)) {
            return undefined;
        }
        const hash = hashSecret(secret);
        const keys = this.keysByHash.list(hash)
            .map(name => this.tables.Key.get(name))
            .filter(key => key !== undefined && isSameHash(key.spec.hash, hash));
        const [key] = keys;
        if (key === undefined || keys.some(other => other?.spec.team !== key.spec.team)) {
            return undefined;
        }
        const team = this.findTeam(key.spec.team);
        return team === undefined ? undefined : { key, team };
    }

    private applyEntry(entry: StoreEntry): void {
        const decoded = decodeResource(entry);
        if (!decoded.ok) {
            this.problems.set(entry.key, decoded.val);
            this.onProblem(decoded.val);
            return;
        }
        this.problems.delete(entry.key);
        this.set(decoded.val);
    }

    private set(resource: ConfigurationResource): void {
        this.removeFromIndexes(resource.kind, resource.name);
        match(resource)
            .with({ kind: "Team" }, team => this.tables.Team.set(team.name, team))
            .with({ kind: "Queue" }, queue => this.tables.Queue.set(queue.name, queue))
            .with({ kind: "Drain" }, drain => {
                this.tables.Drain.set(drain.name, drain);
                this.drainsByTarget.add(toTargetText(drain), drain.name);
            })
            .with({ kind: "Key" }, key => {
                this.tables.Key.set(key.name, key);
                this.keysByHash.add(key.spec.hash, key.name);
            })
            .exhaustive();
    }

    private remove(kind: ConfigurationKind, name: string): void {
        this.removeFromIndexes(kind, name);
        this.tables[kind].delete(name);
    }

    private removeFromIndexes(kind: ConfigurationKind, name: string): void {
        match(this.find<ConfigurationKind>(kind, name))
            .with({ kind: "Key" }, key => this.keysByHash.remove(key.spec.hash, name))
            .with({ kind: "Drain" }, drain => this.drainsByTarget.remove(toTargetText(drain), name))
            .otherwise(() => undefined);
    }
}

function toTargetText({ spec: { target } }: DrainResource): string {
    return `${target.kind}/${target.name}`;
}
