/**
 * What a host knows of the stored record: its encoding, the newest known revision, and the outcome of unanswered
 * writes.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, HostId, IncarnationId, Result, WriterToken } from "@waxwingroute/core";
import { z } from "zod";
import type { OwnershipRecord } from "./messages.js";
import type { Step } from "./step.js";
import type { PendingWrite } from "./types.js";

const recordVersion = 1;

const recordSchema = z.object({
    version: z.literal(recordVersion),
    epoch: z.number().int().positive(),
    owner: z.string().min(1).transform(value => value as HostId),
    ownerIncarnation: z.string().min(1).transform(value => value as IncarnationId),
    successor: z.string().min(1).transform(value => value as HostId).optional(),
    successorIncarnation: z.string().min(1).transform(value => value as IncarnationId).optional(),
    renewal: z.number().int().nonnegative(),
    token: z.string().min(1).transform(value => value as WriterToken),
});

/** Encodes a record as a store value. */
export function encodeOwnershipRecord(record: OwnershipRecord): string {
    return JSON.stringify({ version: recordVersion, ...record });
}

/** Parses a store value. Fails with `ownership-record-unreadable` for a damaged value or one of a newer version. */
export function parseOwnershipRecord(value: string): Result<OwnershipRecord, Failure> {
    const json = parseJson(value);
    const version = z.object({ version: z.number() }).safeParse(json).data?.version;
    if (version !== undefined && version > recordVersion) {
        return createUnreadableResult(`has version ${version}; this program reads versions up to ${recordVersion}`);
    }
    const parsed = recordSchema.safeParse(json);
    if (!parsed.success) {
        return createUnreadableResult(`is damaged: ${z.prettifyError(parsed.error)}`);
    }
    const { epoch, owner, ownerIncarnation, successor, successorIncarnation, renewal, token } = parsed.data;
    return Ok({ epoch, owner, ownerIncarnation, successor, successorIncarnation, renewal, token });
}

function createUnreadableResult(reason: string): Result<OwnershipRecord, Failure> {
    return Err(createFailure("ownership-record-unreadable", `the ownership record ${reason}`, "notRun"));
}

function parseJson(value: string): unknown {
    try {
        return JSON.parse(value);
    }
    catch {
        return undefined;
    }
}

/** Applies a record from the store or from a heartbeat; ignores it unless its revision is newer than the known one. */
export function updateKnownRecord(step: Step, record: OwnershipRecord, revision: number): void {
    const { state } = step;
    if (state.known !== undefined && revision <= state.known.revision) {
        return;
    }
    const ownWrite = state.pending.find(write => write.record.token === record.token);
    state.known = { record, revision, observedAt: step.now };
    state.absentSince = undefined;
    // A write that expected an older revision can no longer take effect.
    state.pending = state.pending.filter(write => write.expected !== undefined && write.expected >= revision);
    state.release = undefined;
    updateOwnerState(step, record, ownWrite);
    updateSuccessorState(step, record);
}

/** Starts or ends the state of this process as owner. A record from its own write confirms a renewal. */
function updateOwnerState(step: Step, record: OwnershipRecord, ownWrite: PendingWrite | undefined): void {
    const { state } = step;
    const { self, incarnation } = state.settings;
    if (record.owner !== self || record.ownerIncarnation !== incarnation) {
        if (state.owner?.isHandingOver === true) {
            step.actions.push({ kind: "handedOver" });
        }
        state.owner = undefined;
        return;
    }
    if (state.owner === undefined || state.owner.epoch !== record.epoch) {
        state.owner = {
            epoch: record.epoch,
            renewedAt: ownWrite?.sentAt,
            basis: "store",
            sequence: 0,
            arms: [],
            lastDisarmAt: -Infinity,
            consentSentAt: undefined,
            heldUntil: -Infinity,
            identify: undefined,
            isHandingOver: false,
        };
    }
    else if (ownWrite !== undefined) {
        state.owner = { ...state.owner, renewedAt: Math.max(ownWrite.sentAt, state.owner.renewedAt ?? -Infinity) };
    }
}

/** Drops the armed and the solo state if their epoch is over or the record does not name this process as successor. */
function updateSuccessorState(step: Step, record: OwnershipRecord): void {
    const { state } = step;
    const { armed, solo } = state.successor;
    const isSuccessor = record.successor === state.settings.self
        && record.successorIncarnation === state.settings.incarnation;
    const isStillValid = (epoch: number | undefined): boolean =>
        epoch !== undefined && isSuccessor && epoch >= record.epoch;
    state.successor = {
        ...state.successor,
        armed: isStillValid(armed?.epoch) ? armed : undefined,
        solo: isStillValid(solo?.epoch) ? solo : undefined,
    };
}
