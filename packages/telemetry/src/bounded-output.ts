/**
 * Writes text to a pipe without blocking. What the pipe does not accept is buffered up to a limit.
 */

/** Settings of a `BoundedOutput`. */
export interface BoundedOutputOptions {
    /** Writes bytes and returns how many the pipe accepted. Throws with the code `EAGAIN` if the pipe is full. */
    readonly write: (bytes: Buffer) => number;
    /** Maximum number of bytes that are buffered while the pipe is full. Default 1 MiB. */
    readonly maxPendingBytes?: number;
}

const defaultMaxPendingBytes = 1_048_576;

/** Buffers batches of text for a pipe and drops whole batches beyond its limit. */
export class BoundedOutput {
    private pending: Buffer = Buffer.alloc(0);
    private dropCount = 0;

    constructor(private readonly options: BoundedOutputOptions) {}

    /** Number of batches that were dropped because the pipe stayed full or was closed. */
    get droppedBatches(): number {
        return this.dropCount;
    }

    /** Whether bytes are still buffered. */
    get hasPending(): boolean {
        return this.pending.length > 0;
    }

    /** Writes the buffered bytes and then the text; buffers what the pipe does not accept. */
    append(text: string): void {
        const bytes = Buffer.from(text, "utf8");
        if (this.pending.length + bytes.length > (this.options.maxPendingBytes ?? defaultMaxPendingBytes)) {
            this.dropCount += 1;
        }
        else {
            this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
        }
        this.flush();
    }

    /** Writes as many buffered bytes as the pipe accepts now. */
    flush(): void {
        try {
            while (this.pending.length > 0) {
                this.pending = this.pending.subarray(this.options.write(this.pending));
            }
        }
        catch (error) {
            if ((error as { code?: unknown; }).code !== "EAGAIN") {
                // Logging must not end the program, for example when the reader has closed the pipe.
                this.dropCount += 1;
                this.pending = Buffer.alloc(0);
            }
        }
    }
}
