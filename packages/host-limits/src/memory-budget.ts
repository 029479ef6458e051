/** Divides the memory of a process, and decides what is refused when it runs short. */
import type { Clock } from "@waxwingroute/core";
import { ByteBudget } from "./byte-budget.js";

/** Memory of a process, bytes. */
export interface MemoryUsage {
    /** Memory that the system counts for the process. */
    readonly residentBytes: number;
    /** Size of the heap and of buffers, with parts that are free. */
    readonly reservedBytes: number;
    /** What of the heap and of buffers is in use, garbage included. */
    readonly usedBytes: number;
}

/** Settings of a `MemoryBudget`. */
export interface MemoryBudgetOptions {
    /** Memory at which the platform ends the process, bytes. */
    readonly maxBytes: number;
    readonly clock: Clock;
    readonly readUsage: () => MemoryUsage;
    /** Frees the memory that is no longer in use, as far as the runtime can. */
    readonly collectGarbage: () => void;
}

/** What a call needs memory for. A submission adds a job that stays for minutes; a query or cancellation adds nothing. */
export type CallKind = "submission" | "other";

/** Part of the memory for the bodies of requests that are being read or carried out. */
const bodyFraction = 1 / 8;
/** Part of the memory for messages that wait for other hosts. */
const peerBacklogFraction = 1 / 16;
/** Fraction of resident memory at which garbage is collected; V8 knows only the limit of its heap. */
const collectFraction = 0.7;
/**
 * Growth since the last collection, as a fraction of the limit, without which another one would free little: of resident
 * memory, or of the memory in use where submissions would be refused for it.
 */
const collectGrowthFraction = 0.05;
/** Minimum time between two collections, ms. One of a heap of 190 MB takes 220 to 290 ms. */
const collectIntervalMs = 2_000;
/**
 * Submissions are refused at this fraction of resident memory if the memory in use has reached its own fraction. The
 * difference is memory that the allocator holds back after a burst of bodies (60 MB were measured): it is used again for
 * the next bodies and does not grow, so that alone it must not refuse jobs for good.
 */
const highResidentFraction = 0.8;
const highUsedFraction = 0.65;
/** Fraction of resident memory at which submissions are refused in any case. */
const submissionFraction = 0.9;
/** Fraction at which every call is refused. The rest is for the work of the host itself: its lease and its executors. */
const callFraction = 0.95;
/** Time for which a measurement is used, ms: a link of 1,000 Mbit/s brings 12 MB in it. */
const sampleIntervalMs = 100;

/**
 * The memory of a process by use: `bodies` are bounded exactly, all else is watched through the resident memory. As it
 * grows, garbage is collected first, then submissions are refused, then all calls.
 */
export class MemoryBudget {
    /** Bodies of requests. */
    readonly bodies: ByteBudget;
    /** Maximum size of the messages that wait for other hosts, bytes. */
    readonly peerBacklogBytes: number;
    /** Memory of the program outside the heap and buffers: code, stacks, libraries. */
    private readonly runtimeBytes: number;
    private usage: MemoryUsage;
    private sampledAt: number;
    private collectedAt = -Infinity;
    private collectedResidentBytes = 0;
    private collectedUsedBytes = 0;
    private collectedCount = 0;

    constructor(private readonly options: MemoryBudgetOptions) {
        this.bodies = new ByteBudget(Math.floor(options.maxBytes * bodyFraction));
        this.peerBacklogBytes = Math.floor(options.maxBytes * peerBacklogFraction);
        this.usage = options.readUsage();
        this.sampledAt = options.clock.getNow();
        this.runtimeBytes = Math.max(0, this.usage.residentBytes - this.usage.reservedBytes);
    }

    get maxBytes(): number {
        return this.options.maxBytes;
    }

    /** Number of collections that this budget has asked for. */
    get collections(): number {
        return this.collectedCount;
    }

    /** Returns the resident memory, at most 100 ms old. */
    getResidentBytes(): number {
        this.updateUsage();
        return this.usage.residentBytes;
    }

    /** Whether there is memory for a call of this kind. */
    allows(kind: CallKind): boolean {
        this.updateUsage();
        return kind === "submission"
            ? this.hasSubmissionMemory()
            : this.usage.residentBytes < this.options.maxBytes * callFraction;
    }

    private hasSubmissionMemory(): boolean {
        const { maxBytes } = this.options;
        const { residentBytes, usedBytes } = this.usage;
        const isUsedHigh = this.runtimeBytes + usedBytes >= maxBytes * highUsedFraction;
        return residentBytes < maxBytes * (isUsedHigh ? highResidentFraction : submissionFraction);
    }

    private updateUsage(): void {
        const { clock, readUsage } = this.options;
        if (clock.getNow() - this.sampledAt < sampleIntervalMs) {
            return;
        }
        this.usage = readUsage();
        if (this.needsCollection()) {
            this.options.collectGarbage();
            this.usage = readUsage();
            this.collectedCount += 1;
            this.collectedAt = clock.getNow();
            this.collectedResidentBytes = this.usage.residentBytes;
            this.collectedUsedBytes = this.usage.usedBytes;
        }
        this.sampledAt = clock.getNow();
    }

    private needsCollection(): boolean {
        const { clock, maxBytes } = this.options;
        const { residentBytes, usedBytes } = this.usage;
        // Memory that was given back since is no growth.
        this.collectedResidentBytes = Math.min(this.collectedResidentBytes, residentBytes);
        this.collectedUsedBytes = Math.min(this.collectedUsedBytes, usedBytes);
        const minGrowth = maxBytes * collectGrowthFraction;
        const hasGrown = residentBytes - this.collectedResidentBytes >= minGrowth
            || !this.hasSubmissionMemory() && usedBytes - this.collectedUsedBytes >= minGrowth;
        return residentBytes >= maxBytes * collectFraction && hasGrown
            && clock.getNow() - this.collectedAt >= collectIntervalMs;
    }
}
