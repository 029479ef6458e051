/**
 * Which ends of one executor were processed, and up to which of them it may forget them. An executor numbers its ends
 * from 1 in each life, and forgets all up to the number that a renewal acknowledges.
 */

/** The ends of the present life of an executor. */
export class EndAcknowledgements {
    private processedThrough = 0;
    private readonly unstored = new Set<number>();
    private life = 0;

    /** Number of the last end up to which all are stored, so that the executor may forget them. */
    get acknowledged(): number {
        return this.unstored.size === 0 ? this.processedThrough : Math.min(...this.unstored) - 1;
    }

    /** Whether ends wait to be stored. */
    get isPending(): boolean {
        return this.unstored.size > 0;
    }

    /** Begins to process an end. Returns `undefined` if it was processed before, else a function that records it as stored. */
    begin(sequence: number): (() => void) | undefined {
        if (sequence <= this.processedThrough) {
            return undefined;
        }
        this.processedThrough = sequence;
        this.unstored.add(sequence);
        const { life } = this;
        return () => {
            if (life === this.life) {
                this.unstored.delete(sequence);
            }
        };
    }

    /** Forgets the ends of the life that is over. */
    reset(): void {
        this.life += 1;
        this.processedThrough = 0;
        this.unstored.clear();
    }
}
