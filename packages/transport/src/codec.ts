/**
 * The message codec of the system's own processes: MessagePack, checked with zod on receipt.
 */
import { decode, encode } from "@msgpack/msgpack";
import type { z } from "zod";

/** Encodes a message. `undefined` fields are left out. */
export function encodeMessage(message: unknown): Buffer {
    const bytes = encode(message, { ignoreUndefined: true });
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/**
 * Decodes and checks a message.
 *
 * @throws Error if the bytes are not MessagePack or do not match the schema; gRPC reports it as an internal error.
 */
export function decodeMessage<T>(schema: z.ZodType<T>, bytes: Uint8Array): T {
    return schema.parse(decode(bytes));
}
