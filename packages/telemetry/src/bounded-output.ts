/**
 * Writes text to a pipe that may take only a part at a time, without blocking and with a bound on what is kept.
 */

export interface BoundedOutputOptions {
    /** Writes bytes and returns how many were taken. Throws with the code `EAGAIN` when the pipe is full. */
    readonly write: (bytes: Buffer) => number;
    /** Most bytes that are kept while the pipe is full. Default 1 MiB. */
    readonly maxKeptBytes?: number;
}

const defaultMaxKeptBytes = 1_048_576;

export class BoundedOutput {
    private kept: Buffer = Buffer.alloc(0);
    private droppedBatches = 0;

    constructor(private readonly options: BoundedOutputOptions) {}

    /** Batches that were dropped because the pipe stayed full, or because nobody reads it any more. */
    get dropped(): number {
        return this.droppedBatches;
    }

    /** Whether a part still waits for the pipe. */
    get hasKept(): boolean {
        return this.kept.length > 0;
    }

    /** Writes what is kept and then the text; keeps what the pipe does not take. */
    append(text: string): void {
        const bytes = Buffer.from(text, "utf8");
        if (this.kept.length + bytes.length > (this.options.maxKeptBytes ?? defaultMaxKeptBytes)) {
            this.droppedBatches += 1;
        }
        else {
            this.kept = this.kept.length === 0 ? bytes : Buffer.concat([this.kept, bytes]);
        }
        this.flush();
    }

    /** Writes what the pipe takes now. */
    flush(): void {
        try {
            while (this.kept.length > 0) {
                this.kept = this.kept.subarray(this.options.write(this.kept));
            }
        }
        catch (error) {
            if ((error as { code?: unknown; }).code !== "EAGAIN") {
                // A closed pipe must not end the program.
                this.droppedBatches += 1;
                this.kept = Buffer.alloc(0);
            }
        }
    }
}
