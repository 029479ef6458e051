/**
 * Encoding of the messages between the system's processes: MessagePack, validated with zod on receipt.
 */
import { decode, encode } from "@msgpack/msgpack";
import type { z } from "zod";

/** Encodes a message. Fields whose value is `undefined` are omitted. */
export function encodeMessage(message: unknown): Buffer {
    const bytes = encode(message, { ignoreUndefined: true });
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/**
 * Decodes and validates a message.
 *
 * @throws Error if the bytes are not MessagePack or do not match the schema; gRPC reports it as an internal error.
 */
export function decodeMessage<T>(schema: z.ZodType<T>, bytes: Uint8Array): T {
    return schema.parse(decode(bytes));
}
