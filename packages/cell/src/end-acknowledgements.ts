/**
 * Which ends of one executor were processed, and up to which of them it may forget them. An executor numbers its ends
 * from 1 in each life, and forgets all up to the number that a renewal acknowledges.
 */

/** Where an end is stored. `batch` is absent where the end of its job is stored instead. */
export interface StoredEnd {
    readonly batch?: string;
    readonly revision?: number;
}

/** The ends of the present life of an executor. */
export class EndAcknowledgements {
    private processedThrough = 0;
    private readonly unstored = new Set<number>();
    private life = 0;
    private last: StoredEnd = {};

    /** Number of the last end up to which all are stored, so that the executor may forget them. */
    get acknowledged(): number {
        return this.unstored.size === 0 ? this.processedThrough : Math.min(...this.unstored) - 1;
    }

    /** Number of the last end that was processed. */
    get processed(): number {
        return this.processedThrough;
    }

    /** The latest batch that has one of the stored ends, and the revision of the store that it has. */
    get lastStored(): StoredEnd {
        return this.last;
    }

    /** Whether ends wait to be stored. */
    get isPending(): boolean {
        return this.unstored.size > 0;
    }

    /** Begins to process an end. Returns `undefined` if it was processed before, else a function that records it as stored. */
    begin(sequence: number): ((stored: StoredEnd) => void) | undefined {
        if (sequence <= this.processedThrough) {
            return undefined;
        }
        this.processedThrough = sequence;
        this.unstored.add(sequence);
        const { life } = this;
        return stored => {
            if (life === this.life) {
                this.unstored.delete(sequence);
                if ((stored.revision ?? 0) > (this.last.revision ?? 0)) {
                    this.last = stored;
                }
            }
        };
    }

    /** Forgets the ends of the life that is over. */
    reset(): void {
        this.life += 1;
        this.processedThrough = 0;
        this.unstored.clear();
        this.last = {};
    }
}
