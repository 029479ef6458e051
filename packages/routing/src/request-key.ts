/**
 * Request keys: `zone.shard.epoch.sequence.random`.
 */
import { isValidName, toId } from "@waxwingroute/core";
import type { RequestKey, ShardId } from "@waxwingroute/core";

/** The parts of a request key. */
export interface RequestKeyParts {
    readonly shard: ShardId;
    readonly epoch: number;
    /** Starts at 1 in each epoch and increases with each key. */
    readonly sequence: number;
    /** 16 lower-case hexadecimal digits, so that no caller can guess the key of another. */
    readonly random: string;
}

const numberPattern = /^(?:0|[1-9][0-9]{0,14})$/;
const randomPattern = /^[0-9a-f]{16}$/;

/** Longest request key in characters: a zone name, three numbers and the random part. */
export const maxRequestKeyLength = 63 + 3 * 16 + 17;

/** Returns the prefix that all keys of an epoch share, with its final dot. */
export function encodeKeyPrefix(shard: ShardId, epoch: number): string {
    return `${shard.replace("/", ".")}.${epoch}.`;
}

/** Builds a request key. */
export function encodeRequestKey(parts: RequestKeyParts): RequestKey {
    return toId<RequestKey>(`${encodeKeyPrefix(parts.shard, parts.epoch)}${parts.sequence}.${parts.random}`);
}

/**
 * Parses a request key; returns `undefined` if the text is not one.
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
    const [zone, shardNumber, epoch, sequence, random, ...extraParts] = text.split(".");
    const numericParts = [shardNumber, epoch, sequence];
    if (
        zone === undefined || !isValidName(zone) || extraParts.length > 0 || random === undefined
        || !randomPattern.test(random)
    ) {
        return undefined;
    }
    if (!numericParts.every(part => part !== undefined && numberPattern.test(part))) {
        return undefined;
    }
    return { shard: toId<ShardId>(`${zone}/${shardNumber}`), epoch: Number(epoch), sequence: Number(sequence), random };
}
