/**
 * Request keys: `zone.shard.epoch.sequence.random`.
 */
import { isValidName, toId } from "@waxwingroute/core";
import type { RequestKey, ShardId } from "@waxwingroute/core";

/** The parts of a request key. */
export interface RequestKeyParts {
    readonly shard: ShardId;
    readonly epoch: number;
    /** Rises with each key of an epoch, from 1. */
    readonly sequence: number;
    /** 16 lower-case hexadecimal digits, so that no caller can guess the key of another. */
    readonly random: string;
}

const numberPattern = /^(?:0|[1-9][0-9]{0,14})$/;
const randomPattern = /^[0-9a-f]{16}$/;

/** Longest request key in characters: a zone name, three numbers and the random part. */
export const maxRequestKeyLength = 63 + 3 * 16 + 17;

/** Returns the part of a key that is the same for all keys of an epoch, with its final dot. */
export function encodeKeyPrefix(shard: ShardId, epoch: number): string {
    return `${shard.replace("/", ".")}.${epoch}.`;
}

/** Builds a request key. */
export function encodeRequestKey(parts: RequestKeyParts): RequestKey {
    return toId<RequestKey>(`${encodeKeyPrefix(parts.shard, parts.epoch)}${parts.sequence}.${parts.random}`);
}

/**
 * Splits a request key; returns `undefined` if the text is not one.
 *
 * @example
 * ```ts
 * parseRequestKey("glasgow.0.4.17.0123456789abcdef")?.sequence; // 17
 * ```
 */
export function parseRequestKey(text: string): RequestKeyParts | undefined {
    if (text.length > maxRequestKeyLength) {
        return undefined;
    }
    const [zone, number, epoch, sequence, random, ...extraParts] = text.split(".");
    const numbers = [number, epoch, sequence];
    if (
        zone === undefined || !isValidName(zone) || extraParts.length > 0 || random === undefined
        || !randomPattern.test(random)
    ) {
        return undefined;
    }
    if (!numbers.every(part => part !== undefined && numberPattern.test(part))) {
        return undefined;
    }
    return { shard: toId<ShardId>(`${zone}/${number}`), epoch: Number(epoch), sequence: Number(sequence), random };
}
