/**
 * Begins an epoch: reads the journal and appends the entry that fences earlier writers.
 */
import { createFailure, Err, Ok, toId } from "@waxwingroute/core";
import type { Failure, Result, WriterToken } from "@waxwingroute/core";
import { writeEntry } from "./entry-write.js";
import type { EntryWriteResult } from "./entry-write.js";
import { encodeValue, getEntryKey } from "./format.js";
import type { ResolvedJournalOptions } from "./options.js";
import { createFencedFailure, readJournal } from "./recovery.js";
import type { JournalContent, StoredEntry } from "./recovery.js";
import type { JournalRecord } from "./types.js";

/** The journal at the start of an epoch. */
export interface EpochStart {
    /** The journal before the fence. No entry can be added to it any more. */
    readonly content: JournalContent;
    /** The entry that begins the epoch. */
    readonly fence: StoredEntry;
}

/**
 * Begins the epoch that the options name. Retries until `openTimeoutMs` while the store cannot be reached or an earlier
 * writer takes the sequence number of the fence.
 */
export async function beginEpoch(options: ResolvedJournalOptions): Promise<Result<EpochStart, Failure>> {
    const { clock, store, shard, epoch, random, retryIntervalMs, openTimeoutMs } = options;
    const deadline = clock.getNow() + openTimeoutMs;
    const token = toId<WriterToken>(`${epoch}.${random.getHex(24)}`);
    let failure = createFailure(
        "journal-unavailable",
        `the journal of "${shard}" was not opened in time: other writers took every sequence number`,
        "notRun",
    );
    while (clock.getNow() < deadline) {
        const read = await readJournal(store, shard);
        if (read.ok && read.val.lastEpoch > epoch) {
            return Err(createFencedFailure(shard, epoch, read.val.lastEpoch));
        }
        if (!read.ok && read.val.code.startsWith("journal-")) {
            return read;
        }
        if (read.ok) {
            const content = read.val;
            const sequence = content.lastSequence + 1;
            const written = await writeFence(options, sequence, token);
            if (written.kind === "written") {
                const key = getEntryKey(shard, sequence);
                return Ok({ content, fence: { key, sequence, revision: written.revision, isFence: true } });
            }
            if (written.kind === "occupied") {
                continue;
            }
            failure = written.failure;
        }
        else {
            failure = read.val;
        }
        await clock.wait(retryIntervalMs);
    }
    return Err(failure);
}

function writeFence(options: ResolvedJournalOptions, sequence: number, token: WriterToken): Promise<EntryWriteResult> {
    const { clock, store, shard, epoch, host } = options;
    const record: JournalRecord = { kind: "epochBegun", epoch, host, at: clock.getWallTime() };
    return writeEntry(store, getEntryKey(shard, sequence), encodeValue({ epoch, records: [record] }), token);
}
