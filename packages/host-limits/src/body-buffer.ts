/** Collects the chunks of a body in memory that is reserved for bodies. */
import type { ByteBudget } from "./byte-budget.js";

/** Bounds of a `BodyBuffer`. */
export interface BodyBufferOptions {
    readonly budget: ByteBudget;
    readonly maxBytes: number;
    /** Length that the sender states, bytes, if it does. */
    readonly statedBytes?: number;
}

/** Why a chunk was not taken. */
export type BodyRefusal = "tooLarge" | "noMemory";

/**
 * Collects chunks in one growing buffer, because a list of many small chunks takes far more memory than their bytes.
 * Memory is reserved as bytes arrive, because a caller that announces a long body and sends nothing must not keep
 * others out.
 */
export class BodyBuffer {
    private buffer: Buffer = Buffer.alloc(0);
    private length = 0;

    constructor(private readonly options: BodyBufferOptions) {}

    /** Adds a chunk; returns the reason if a limit does not allow it. */
    append(chunk: Buffer): BodyRefusal | undefined {
        const { budget, maxBytes, statedBytes } = this.options;
        const neededBytes = this.length + chunk.byteLength;
        if (neededBytes > maxBytes) {
            return "tooLarge";
        }
        if (neededBytes > this.buffer.byteLength) {
            const expected = statedBytes ?? maxBytes;
            const capacity = Math.min(
                Math.max(neededBytes, 2 * this.buffer.byteLength),
                Math.max(neededBytes, expected),
            );
            if (!budget.tryReserve(capacity - this.buffer.byteLength)) {
                return "noMemory";
            }
            const larger = this.length === 0 ? chunk : Buffer.allocUnsafeSlow(capacity);
            this.buffer.copy(larger, 0, 0, this.length);
            this.buffer = larger;
        }
        if (this.buffer !== chunk) {
            chunk.copy(this.buffer, this.length);
        }
        this.length = neededBytes;
        return undefined;
    }

    /** Returns the body, whose bytes remain reserved, and releases the unused rest of the buffer. */
    finish(): Buffer {
        this.options.budget.release(this.buffer.byteLength - this.length);
        return this.buffer.subarray(0, this.length);
    }

    /** Releases all bytes of a body that is not finished. */
    release(): void {
        this.options.budget.release(this.buffer.byteLength);
    }
}
