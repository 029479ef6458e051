/** Reads what earlier owners stored: jobs, cancellations, run ends and the executor roster. */
import type { Failure, JobId, Result } from "@waxwingroute/core";
import { Err, Ok } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { RunEnd } from "@waxwingroute/workflow";
import type { JobRecord, RosterEntry } from "./store-keys.js";
import {
    decodeJobRecord,
    decodeRoster,
    decodeRunEnds,
    listJobPrefixes,
    parseJobKey,
    rosterKey,
    runEndsPrefix,
} from "./store-keys.js";
import type { LeaseStore, StoreItem } from "./store.js";
import { listAll } from "./store.js";

/** A stored job record or cancellation; revisions give the order. */
export type JobEvent =
    | { readonly kind: "record"; readonly job: JobId; readonly record: JobRecord; readonly revision: number; }
    | { readonly kind: "cancel"; readonly job: JobId; readonly revision: number; };

/** How an owner learned of a job or cancellation. */
export type JobEventPath = "recovery" | "announced" | "watch" | "fullRead";

/** The jobs and run ends that the cell has stored. */
export interface StoredCell {
    readonly jobs: readonly JobEvent[];
    /** Batches of run ends with their keys. */
    readonly batches: readonly { readonly key: string; readonly ends: readonly RunEnd[]; }[];
    /** Revision from which a watch of the jobs misses nothing. */
    readonly storeRevision: number;
}

/** Decodes an item below `jobPrefix`. Logs a malformed item and returns `undefined`. */
export function decodeJobItem(item: StoreItem, logger: LogWriter): JobEvent | undefined {
    const { job, isCancel } = parseJobKey(item.key);
    if (isCancel) {
        return { kind: "cancel", job, revision: item.revision };
    }
    const decoded = decodeJobRecord(item.value);
    if (!decoded.ok) {
        logger.write("error", "job record cannot be read", {
            job,
            revision: item.revision,
            reason: decoded.val.message,
        });
        return undefined;
    }
    return { kind: "record", job, record: decoded.val, revision: item.revision };
}

/** The executor roster and the revision of its key, which is 0 if no roster is stored. */
export interface StoredRoster {
    readonly entries: readonly RosterEntry[];
    readonly revision: number;
}

/** Reads the executor roster. */
export async function readRoster(store: LeaseStore, logger: LogWriter): Promise<Result<StoredRoster, Failure>> {
    const read = await store.call({ kind: "read", key: rosterKey });
    if (!read.ok) {
        return Err(read.val);
    }
    if (read.val.item === undefined) {
        return Ok({ entries: [], revision: 0 });
    }
    const { revision } = read.val.item;
    const decoded = decodeRoster(read.val.item.value);
    if (!decoded.ok) {
        logger.write("error", "executor roster cannot be read", { reason: decoded.val.message });
        return Err(decoded.val);
    }
    return Ok({ entries: decoded.val, revision });
}

/** Reads all stored jobs and run ends. Malformed values are logged and skipped. */
export async function readStoredCell(store: LeaseStore, logger: LogWriter): Promise<Result<StoredCell, Failure>> {
    // Only the owner changes accepted jobs, so the parts can be read concurrently, at different revisions.
    const [ends, ...parts] = await Promise.all([
        listAll(store, runEndsPrefix),
        ...listJobPrefixes().map(prefix => listAll(store, prefix)),
    ]);
    if (!ends.ok) {
        return Err(ends.val);
    }
    const items: StoreItem[] = [];
    let storeRevision = Infinity;
    for (const part of parts) {
        if (!part.ok) {
            return Err(part.val);
        }
        items.push(...part.val.items);
        storeRevision = Math.min(storeRevision, part.val.storeRevision);
    }
    const batches: { key: string; ends: RunEnd[]; }[] = [];
    for (const item of ends.val.items) {
        const decoded = decodeRunEnds(item.value);
        if (decoded.ok) {
            batches.push({ key: item.key, ends: decoded.val });
        }
        else {
            logger.write("error", "stored ends cannot be read", { key: item.key, reason: decoded.val.message });
        }
    }
    const events = items.map(item => decodeJobItem(item, logger)).filter(event => event !== undefined);
    return Ok({ jobs: events, batches, storeRevision });
}
