/** Bounds the messages that wait in this process for the readers of its streams. */

/** A stream whose messages are counted. */
export interface BackloggedStream {
    /** Ends the stream without its waiting messages. */
    abort(): void;
}

/**
 * Counts the bytes that streams have not yet passed to the network. Beyond the limit, the stream with the most of them
 * is ended: its reader has stopped reading, and must open a new stream to get the present state. The others keep theirs.
 */
export class StreamBacklog {
    private readonly waiting = new Map<BackloggedStream, number>();
    private total = 0;

    constructor(private readonly limitBytes: number) {}

    /** Bytes that wait in all streams. */
    get waitingBytes(): number {
        return this.total;
    }

    /** Counts a message that a stream is about to send. */
    add(stream: BackloggedStream, bytes: number): void {
        this.waiting.set(stream, (this.waiting.get(stream) ?? 0) + bytes);
        this.total += bytes;
        while (this.total > this.limitBytes) {
            const [largest] = [...this.waiting].reduce((first, second) => second[1] > first[1] ? second : first);
            this.remove(largest);
            largest.abort();
        }
    }

    /** Counts a message that has been passed to the network. */
    release(stream: BackloggedStream, bytes: number): void {
        const waitingBytes = this.waiting.get(stream);
        if (waitingBytes !== undefined) {
            this.waiting.set(stream, waitingBytes - bytes);
            this.total -= bytes;
        }
    }

    /** Forgets a stream that has ended. */
    remove(stream: BackloggedStream): void {
        this.total -= this.waiting.get(stream) ?? 0;
        this.waiting.delete(stream);
    }
}
