/**
 * Operator resources in the store. A write is accepted when its compare-and-swap took effect; a lost answer is resolved by
 * reading the writer token back.
 */
import { createFailure, Err, Ok, SystemClock, toId } from "@waxwingroute/core";
import type { Clock, Failure, Result, WriterToken } from "@waxwingroute/core";
import type { Store, StoreWrite, WritePrecondition } from "@waxwingroute/platform";
import { ulid } from "ulid";
import { generateSecret, hashSecret } from "./key-secret.js";
import { decodeResource, encodeResource, toKindPrefix, toStoreKey } from "./resource-codec.js";
import type { ConfigurationKind, ConfigurationResource, KeyResource, ResourceOf } from "./schemas.js";
import { formatValue } from "./validation.js";

/** Options of a `ResourceRepository`. */
export interface ResourceRepositoryOptions {
    readonly store: Store;
    /** Default: the clock of the machine. */
    readonly clock?: Clock;
    /** Most attempts at one write whose answers are lost. Default 3. */
    readonly maxAttempts?: number;
    /** Wait between attempts, in milliseconds. Default 50. */
    readonly retryDelayMs?: number;
    /** Creates a token that no other write has. Default: a ULID. */
    readonly createToken?: () => WriterToken;
    /** Default: 256 bits from the operating system. */
    readonly createSecret?: () => string;
}

/** Resources of one kind at one moment. */
export interface ResourceList<Kind extends ConfigurationKind> {
    readonly items: readonly ResourceOf<Kind>[];
    /** Stored values that could not be read, with the reason. */
    readonly problems: readonly Failure[];
    /** Store revision of the list; a watch from it misses nothing. */
    readonly revision: number;
}

/** A created key and its secret, which is returned only here. */
export interface CreatedKey {
    readonly key: KeyResource;
    readonly secret: string;
}

/**
 * Reads and writes operator resources.
 *
 * Failure codes: `not-found`, `already-exists`, `version-conflict` (`notRun`, or `mayHaveRun` when an earlier attempt at the
 * same write may have taken effect and been overwritten), `damaged-value`, `newer-format`, and those of the store.
 *
 * @example
 * ```ts
 * const repository = new ResourceRepository({ store });
 * const created = await repository.create(team);
 * ```
 */
export class ResourceRepository {
    private readonly store: Store;
    private readonly clock: Clock;
    private readonly maxAttempts: number;
    private readonly retryDelayMs: number;
    private readonly createToken: () => WriterToken;
    private readonly createSecret: () => string;

    constructor(options: ResourceRepositoryOptions) {
        this.store = options.store;
        this.clock = options.clock ?? new SystemClock();
        this.maxAttempts = options.maxAttempts ?? 3;
        this.retryDelayMs = options.retryDelayMs ?? 50;
        this.createToken = options.createToken ?? (() => toId<WriterToken>(ulid()));
        this.createSecret = options.createSecret ?? generateSecret;
    }

    /** Reads one resource. */
    async get<Kind extends ConfigurationKind>(kind: Kind, name: string): Promise<Result<ResourceOf<Kind>, Failure>> {
        const entry = await this.store.read(toStoreKey(kind, name));
        if (!entry.ok) {
            return Err(entry.val);
        }
        if (entry.val === undefined) {
            return Err(createNotFound(kind, name));
        }
        return decodeResource(entry.val) as Result<ResourceOf<Kind>, Failure>;
    }

    /** Reads all resources of a kind, sorted by name. */
    async list<Kind extends ConfigurationKind>(kind: Kind): Promise<Result<ResourceList<Kind>, Failure>> {
        const range = await this.store.readRange(toKindPrefix(kind));
        if (!range.ok) {
            return Err(range.val);
        }
        const items: ResourceOf<Kind>[] = [];
        const problems: Failure[] = [];
        for (const entry of range.val.entries) {
            const decoded = decodeResource(entry);
            if (decoded.ok) {
                items.push(decoded.val as ResourceOf<Kind>);
            }
            else {
                problems.push(decoded.val);
            }
        }
        return Ok({ items, problems, revision: range.val.revision });
    }

    /** Creates a resource; its `version` is ignored. Returns it with its version. */
    async create<T extends ConfigurationResource>(resource: T): Promise<Result<T, Failure>> {
        return this.write(resource, { kind: "absent" });
    }

    /** Replaces the resource whose current version is `resource.version`. Returns it with its new version. */
    async update<T extends ConfigurationResource>(resource: T): Promise<Result<T, Failure>> {
        return this.write(resource, { kind: "revision", revision: resource.version });
    }

    /** Creates a key with a new secret for a team that exists. */
    async createKey(name: string, team: string): Promise<Result<CreatedKey, Failure>> {
        const owner = await this.get("Team", team);
        if (!owner.ok) {
            return Err(owner.val);
        }
        const secret = this.createSecret();
        const key = await this.create<KeyResource>({
            kind: "Key",
            name,
            version: 0,
            spec: { team, hash: hashSecret(secret) },
        });
        return key.map(created => ({ key: created, secret }));
    }

    /**
     * Deletes a resource; returns the revision of the deletion, or 0 if its answer was lost and the resource is gone.
     *
     * @param version Version to delete; `undefined` for whichever is current.
     */
    async delete(kind: ConfigurationKind, name: string, version?: number): Promise<Result<number, Failure>> {
        const key = toStoreKey(kind, name);
        const entry = await this.store.read(key);
        if (!entry.ok) {
            return Err(entry.val);
        }
        if (entry.val === undefined) {
            return Err(createNotFound(kind, name));
        }
        const current = entry.val.revision;
        if (version !== undefined && version !== current) {
            return Err(createConflict(kind, name, version, current, "notRun"));
        }
        return this.performDelete(kind, name, current);
    }

    private async performDelete(
        kind: ConfigurationKind,
        name: string,
        version: number,
    ): Promise<Result<number, Failure>> {
        const key = toStoreKey(kind, name);
        let isUncertain = false;
        for (let attempt = 1;; attempt++) {
            const deleted = await this.store.delete(key, version);
            if (deleted.ok) {
                return deleted;
            }
            const isConflict = deleted.val.code === "store-conflict";
            isUncertain ||= deleted.val.verdict !== "notRun";
            if (!isConflict && !isUncertain) {
                return deleted;
            }
            const entry = await this.store.read(key);
            if (entry.ok && entry.val?.revision !== version) {
                return this.resolveDelete(kind, name, version, entry.val?.revision, isUncertain);
            }
            if (attempt >= this.maxAttempts) {
                return Err({ ...deleted.val, verdict: isUncertain ? "mayHaveRun" : "notRun" });
            }
            await this.clock.wait(this.retryDelayMs);
        }
    }

    private resolveDelete(
        kind: ConfigurationKind,
        name: string,
        version: number,
        current: number | undefined,
        isUncertain: boolean,
    ): Result<number, Failure> {
        if (current === undefined) {
            return isUncertain ? Ok(0) : Err(createNotFound(kind, name));
        }
        return Err(createConflict(kind, name, version, current, isUncertain ? "mayHaveRun" : "notRun"));
    }

    private async write<T extends ConfigurationResource>(
        resource: T,
        expected: WritePrecondition,
    ): Promise<Result<T, Failure>> {
        const write: StoreWrite = {
            key: toStoreKey(resource.kind, resource.name),
            value: encodeResource(resource),
            expected,
            token: this.createToken(),
        };
        let isUncertain = false;
        for (let attempt = 1;; attempt++) {
            const written = await this.store.write(write);
            if (written.ok) {
                return Ok({ ...resource, version: written.val });
            }
            const isConflict = written.val.code === "store-conflict";
            isUncertain ||= written.val.verdict !== "notRun";
            if (!isConflict && !isUncertain) {
                return Err(written.val);
            }
            const found = await this.store.readToken(write.key);
            if (found.ok && found.val?.token === write.token) {
                return Ok({ ...resource, version: found.val.revision });
            }
            const expectedRevision = expected.kind === "absent" ? undefined : expected.revision;
            if (found.ok && (isConflict || found.val?.revision !== expectedRevision)) {
                return Err(createWriteConflict(resource, expected, found.val?.revision, isUncertain));
            }
            if (attempt >= this.maxAttempts || isConflict) {
                return Err({ ...written.val, verdict: isUncertain ? "mayHaveRun" : "notRun" });
            }
            await this.clock.wait(this.retryDelayMs);
        }
    }
}

function createNotFound(kind: ConfigurationKind, name: string): Failure {
    return createFailure("not-found", `${kind} "${name}" does not exist: check the name, or create it`, "notRun");
}

function createConflict(
    kind: ConfigurationKind,
    name: string,
    version: number,
    current: number,
    verdict: Failure["verdict"],
): Failure {
    const message = `${kind} "${name}" has version ${current}, not ${
        formatValue(version)
    }: read it again and repeat the change`;
    return createFailure("version-conflict", message, verdict);
}

/** Builds the failure of a write whose expectation did not hold. `current` is `undefined` if the resource does not exist. */
function createWriteConflict(
    resource: ConfigurationResource,
    expected: WritePrecondition,
    current: number | undefined,
    isUncertain: boolean,
): Failure {
    const { kind, name, version } = resource;
    const verdict = isUncertain ? "mayHaveRun" : "notRun";
    if (current === undefined) {
        return { ...createNotFound(kind, name), verdict };
    }
    return expected.kind === "absent"
        ? createFailure(
            "already-exists",
            `${kind} "${name}" exists with version ${current}: update it instead`,
            verdict,
        )
        : createConflict(kind, name, version, current, verdict);
}
