/** Bounds the bytes that all holders of one kind keep in memory together. */

/** Counts reserved bytes up to a limit. */
export class ByteBudget {
    private used = 0;

    constructor(readonly limitBytes: number) {}

    get usedBytes(): number {
        return this.used;
    }

    /** Whether this many more bytes would be within the limit. */
    fits(bytes: number): boolean {
        return this.used + bytes <= this.limitBytes;
    }

    /** Reserves bytes if the limit allows it; returns whether it did. */
    tryReserve(bytes: number): boolean {
        if (!this.fits(bytes)) {
            return false;
        }
        this.used += bytes;
        return true;
    }

    /**
     * Reserves bytes that are already in memory, even above the limit; new bodies are then refused until bytes are
     * released.
     */
    reserve(bytes: number): void {
        this.used += bytes;
    }

    release(bytes: number): void {
        this.used -= bytes;
    }
}
