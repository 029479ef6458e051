/**
 * Writes text to a pipe that may take only a part at a time, without blocking and with a bound on what is kept.
 */

export interface BoundedOutputOptions {
    /** Writes bytes and returns how many were taken. Throws with the code `EAGAIN` when the pipe is full. */
    readonly write: (bytes: Buffer) => number;
    /** Most bytes that are kept while the pipe is full. Default 1 MiB. */
    readonly maxPendingBytes?: number;
}

const defaultMaxPendingBytes = 1_048_576;

export class BoundedOutput {
    private pending: Buffer = Buffer.alloc(0);
    private dropCount = 0;

    constructor(private readonly options: BoundedOutputOptions) {}

    /** Batches that were dropped because the pipe stayed full, or because nobody reads it any more. */
    get droppedBatches(): number {
        return this.dropCount;
    }

    /** Whether a part still waits for the pipe. */
    get hasPending(): boolean {
        return this.pending.length > 0;
    }

    /** Writes what is kept and then the text; keeps what the pipe does not take. */
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

    /** Writes what the pipe takes now. */
    flush(): void {
        try {
            while (this.pending.length > 0) {
                this.pending = this.pending.subarray(this.options.write(this.pending));
            }
        }
        catch (error) {
            if ((error as { code?: unknown; }).code !== "EAGAIN") {
                // A closed pipe must not end the program.
                this.dropCount += 1;
                this.pending = Buffer.alloc(0);
            }
        }
    }
}
