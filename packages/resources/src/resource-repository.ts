/**
 * Repository of operator resources in the store. Writes use compare-and-swap; after a lost response, the writer token
 * in the store shows whether the write took effect.
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
    /** Most attempts at one write while responses are lost. Default 3. */
    readonly maxAttempts?: number;
    /** Wait between attempts, in milliseconds. Default 50. */
    readonly retryDelayMs?: number;
    /** Creates a unique token for each write. Default: a ULID. */
    readonly createToken?: () => WriterToken;
    /** Creates the secret of a key. Default: 256 random bits from the operating system. */
    readonly createSecret?: () => string;
}

/** Resources of one kind, read at one moment. */
export interface ResourceList<Kind extends ConfigurationKind> {
    readonly items: readonly ResourceOf<Kind>[];
    /** Failures to decode stored values. */
    readonly problems: readonly Failure[];
    /** Store revision of the list; a watch from it receives every later change. */
    readonly revision: number;
}

/** A created key and its secret, which no other call returns. */
export interface CreatedKey {
    readonly key: KeyResource;
    readonly secret: string;
}

/**
 * Reads and writes operator resources.
 *
 * Failure codes: `not-found`, `already-exists`, `version-conflict` (`notRun`, or `mayHaveRun` if an earlier attempt at
 * the same write may have taken effect and been overwritten), `damaged-value`, `newer-format`, and those of the store.
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
            return Err(createNotFoundFailure(kind, name));
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

    /** Creates a resource, ignoring its `version`. Returns it with its stored version. */
    async create<T extends ConfigurationResource>(resource: T): Promise<Result<T, Failure>> {
        return this.write(resource, { kind: "absent" });
    }

    /** Replaces the resource whose current version is `resource.version`. Returns it with its new version. */
    async update<T extends ConfigurationResource>(resource: T): Promise<Result<T, Failure>> {
        return this.write(resource, { kind: "revision", revision: resource.version });
    }

    /** Creates a key with a new secret. The team must exist. */
    async createKey(name: string, team: string): Promise<Result<CreatedKey, Failure>> {
        const teamResource = await this.get("Team", team);
        if (!teamResource.ok) {
            return Err(teamResource.val);
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
     * Deletes a resource. Returns the revision of the deletion, or 0 if the response was lost and the resource no
     * longer exists.
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
            return Err(createNotFoundFailure(kind, name));
        }
        const current = entry.val.revision;
        if (version !== undefined && version !== current) {
            return Err(createVersionConflict(kind, name, version, current, "notRun"));
        }
        return this.performDelete(kind, name, current);
    }

    private async performDelete(
        kind: ConfigurationKind,
        name: string,
        version: number,
    ): Promise<Result<number, Failure>> {
        const key = toStoreKey(kind, name);
        let mayHaveTakenEffect = false;
        for (let attempt = 1;; attempt++) {
            const deleteResult = await this.store.delete(key, version);
            if (deleteResult.ok) {
                return deleteResult;
            }
            const isConflict = deleteResult.val.code === "store-conflict";
            mayHaveTakenEffect ||= deleteResult.val.verdict !== "notRun";
            if (!isConflict && !mayHaveTakenEffect) {
                return deleteResult;
            }
            const entry = await this.store.read(key);
            if (entry.ok && entry.val?.revision !== version) {
                return this.resolveDeleteConflict(kind, name, version, entry.val?.revision, mayHaveTakenEffect);
            }
            if (attempt >= this.maxAttempts) {
                return Err({ ...deleteResult.val, verdict: mayHaveTakenEffect ? "mayHaveRun" : "notRun" });
            }
            await this.clock.wait(this.retryDelayMs);
        }
    }

    private resolveDeleteConflict(
        kind: ConfigurationKind,
        name: string,
        version: number,
        current: number | undefined,
        mayHaveTakenEffect: boolean,
    ): Result<number, Failure> {
        if (current === undefined) {
            return mayHaveTakenEffect ? Ok(0) : Err(createNotFoundFailure(kind, name));
        }
        return Err(createVersionConflict(kind, name, version, current, mayHaveTakenEffect ? "mayHaveRun" : "notRun"));
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
        let mayHaveTakenEffect = false;
        for (let attempt = 1;; attempt++) {
            const writeResult = await this.store.write(write);
            if (writeResult.ok) {
                return Ok({ ...resource, version: writeResult.val });
            }
            const isConflict = writeResult.val.code === "store-conflict";
            mayHaveTakenEffect ||= writeResult.val.verdict !== "notRun";
            if (!isConflict && !mayHaveTakenEffect) {
                return Err(writeResult.val);
            }
            const storedToken = await this.store.readToken(write.key);
            if (storedToken.ok && storedToken.val?.token === write.token) {
                return Ok({ ...resource, version: storedToken.val.revision });
            }
            const expectedRevision = expected.kind === "absent" ? undefined : expected.revision;
            if (storedToken.ok && (isConflict || storedToken.val?.revision !== expectedRevision)) {
                return Err(createWriteConflict(resource, expected, storedToken.val?.revision, mayHaveTakenEffect));
            }
            if (attempt >= this.maxAttempts || isConflict) {
                return Err({ ...writeResult.val, verdict: mayHaveTakenEffect ? "mayHaveRun" : "notRun" });
            }
            await this.clock.wait(this.retryDelayMs);
        }
    }
}

function createNotFoundFailure(kind: ConfigurationKind, name: string): Failure {
    return createFailure("not-found", `${kind} "${name}" does not exist: check the name, or create it`, "notRun");
}

function createVersionConflict(
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

/** Creates the failure of a write whose precondition did not hold; `current` is `undefined` if there is no resource. */
function createWriteConflict(
    resource: ConfigurationResource,
    expected: WritePrecondition,
    current: number | undefined,
    mayHaveTakenEffect: boolean,
): Failure {
    const { kind, name, version } = resource;
    const verdict = mayHaveTakenEffect ? "mayHaveRun" : "notRun";
    if (current === undefined) {
        return { ...createNotFoundFailure(kind, name), verdict };
    }
    return expected.kind === "absent"
        ? createFailure(
            "already-exists",
            `${kind} "${name}" exists with version ${current}: update it instead`,
            verdict,
        )
        : createVersionConflict(kind, name, version, current, verdict);
}
