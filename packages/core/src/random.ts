/**
 * Random numbers. Decisions take a `RandomSource`, so that a seed repeats them.
 */
import { randomBytes } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Bytes taken from the operating system at a time for floats; a call for each float took 5% of a busy scheduler. */
const randomBufferBytes = 4_096;

/** A source of random numbers. */
export abstract class RandomSource {
    /** Returns a number in [0, 1). */
    abstract getFloat(): number;

    /** Returns an integer in [0, `bound`). */
    getInteger(bound: number): number {
        return Math.floor(this.getFloat() * bound);
    }

    /** Returns `count` random lower-case hexadecimal digits. */
    getHex(count: number): string {
        let text = "";
        while (text.length < count) {
            text += this.getInteger(16).toString(16);
        }
        return text;
    }

    /** Returns one element, or `undefined` for an empty array. */
    pickOne<T>(values: readonly T[]): T | undefined {
        return values[this.getInteger(values.length)];
    }
}

/** A source that gives the same numbers for the same seed. Not for secrets. */
export class SeededRandom extends RandomSource {
    private readonly generator: ReturnType<typeof xoroshiro128plus>;

    constructor(seed: number) {
        super();
        this.generator = xoroshiro128plus(seed);
    }

    getFloat(): number {
        return uniformFloat64(this.generator);
    }
}

/** A source seeded by the operating system. Its `getHex` is fit for secrets and unique ids. */
export class SystemRandom extends RandomSource {
    private buffer = Buffer.alloc(0);
    private offset = 0;

    getFloat(): number {
        if (this.offset + 4 > this.buffer.length) {
            this.buffer = randomBytes(randomBufferBytes);
            this.offset = 0;
        }
        const value = this.buffer.readUInt32LE(this.offset) / 2 ** 32;
        this.offset += 4;
        return value;
    }

    override getHex(count: number): string {
        return randomBytes(Math.ceil(count / 2)).toString("hex").slice(0, count);
    }
}
