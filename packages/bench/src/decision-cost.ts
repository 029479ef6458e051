/**
 * Decisions a second and time for one decision, with a full fleet and waiting work.
 *
 * Every measured step ends running tasks at random and ticks, as the scheduler does when workers report. The queue is
 * refilled between the steps, outside the measured time.
 */
import type { JobId, RandomSource, TaskId, TeamId } from "@waxwingroute/core";
import { SeededRandom, toId } from "@waxwingroute/core";
import type { JobKind } from "@waxwingroute/placement";
import { PlacementEngine } from "@waxwingroute/placement";
import { build } from "hdr-histogram-js";
import { createFleet, pickSize } from "./fleet.js";
import type { Figure, Goal, SectionReport } from "./report.js";
import { formatNumber, formatTable } from "./report.js";

const fleetSizes = [33, 700, 8300] as const;
const waitingCounts = [10, 1000, 100_000] as const;
/** Time spent on each of the two measurements of one combination. */
const measureMs = 1000;
/** Tasks that end before one tick in the measurement of the rate; the peak of 2,700 starts a second every 20 ms. */
const batchSize = 54; // not more than the waiting tasks, so that the fleet stays full

interface CostResult {
    readonly perSecond: number;
    readonly p50: number;
    readonly p99: number;
    readonly max: number;
}

/** A full fleet with waiting work. */
class LoadedEngine {
    readonly engine = new PlacementEngine({ objective: "fairness" });
    private readonly running: TaskId[] = [];
    private readonly random: RandomSource;
    private readonly teamCount: number;
    private jobCount = 0;
    private now = 0;
    private waitingCount = 0;

    constructor(fleetSize: number, seed: number) {
        this.random = new SeededRandom(seed);
        this.teamCount = fleetSize >= 8300 ? 400 : 6;
        for (const { worker, rack, capacity } of createFleet(fleetSize, true)) {
            this.engine.updateWorker({ worker, rack, capacity, isInRotation: true });
        }
    }

    /** Submits jobs and starts what fits, until `count` tasks wait and none fits. */
    fillUp(count: number): void {
        for (let decisionCount = 1; decisionCount > 0;) {
            this.submit(count);
            ({ decisionCount } = this.runStep(0));
        }
    }

    /** Submits jobs until `count` tasks wait. */
    private submit(count: number): void {
        while (this.waitingCount < count) {
            const kindNumber = this.random.getInteger(20);
            const kind: JobKind = kindNumber < 3 ? "service" : kindNumber === 3 ? "gang" : "batch";
            const taskCount = 1 + this.random.getInteger(kind === "gang" ? 8 : 40);
            const submission = {
                job: toId<JobId>(`job-${this.jobCount++}`),
                team: toId<TeamId>(`team-${this.random.getInteger(this.teamCount)}`),
                kind,
                priority: this.random.getInteger(20) === 0 ? "urgent" as const : "normal" as const,
                taskCount,
                resources: pickSize(this.random, 0.15),
                estimatedRunMs: 1000 + this.random.getInteger(600_000),
            };
            if (this.engine.submitJob(this.now, submission).ok) {
                this.waitingCount += taskCount;
            }
        }
    }

    /** Ends `endCount` random tasks and ticks. Returns the number of decisions and the milliseconds they took. */
    runStep(endCount: number): { readonly decisionCount: number; readonly elapsedMs: number; } {
        const ended: TaskId[] = [];
        for (let count = 0; count < endCount && this.running.length > 0; count++) {
            const index = this.random.getInteger(this.running.length);
            ended.push(this.running[index] as TaskId);
            this.running[index] = this.running[this.running.length - 1] as TaskId;
            this.running.pop();
        }
        this.now += 20;
        const start = performance.now();
        for (const task of ended) {
            this.engine.recordTaskEnded(this.now, task, "succeeded");
        }
        const { decisions } = this.engine.tick(this.now, { maxDecisions: 10_000 });
        const elapsedMs = performance.now() - start;
        for (const decision of decisions) {
            if (decision.kind === "start") {
                this.running.push(decision.task);
                this.engine.recordTaskStarted(this.now, decision.task);
                this.waitingCount--;
            }
            else {
                // A preempted task waits again.
                this.running.splice(this.running.indexOf(decision.task), 1);
                this.engine.recordTaskEnded(this.now, decision.task, "preempted");
                this.waitingCount++;
            }
        }
        return { decisionCount: decisions.length, elapsedMs };
    }
}

function measure(fleetSize: number, waitingCount: number, seed: number): CostResult {
    const loaded = new LoadedEngine(fleetSize, seed);
    loaded.fillUp(waitingCount);
    measureRate(loaded, waitingCount, measureMs / 4); // warms up the compiler
    const perSecond = measureRate(loaded, waitingCount, measureMs);
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000_000 });
    const end = performance.now() + 2 * measureMs;
    while (performance.now() < end) {
        loaded.fillUp(waitingCount);
        const { elapsedMs } = loaded.runStep(1);
        histogram.recordValue(Math.max(1, Math.round(elapsedMs * 1e6)));
    }
    const toMicros = (nanoseconds: number): number => nanoseconds / 1000;
    return {
        perSecond,
        p50: toMicros(histogram.getValueAtPercentile(50)),
        p99: toMicros(histogram.getValueAtPercentile(99)),
        max: toMicros(histogram.maxValue),
    };
}

function measureRate(loaded: LoadedEngine, waitingCount: number, durationMs: number): number {
    let total = 0;
    let elapsed = 0;
    const wallEnd = performance.now() + 4 * durationMs;
    while (elapsed < durationMs && performance.now() < wallEnd) {
        loaded.fillUp(waitingCount);
        const { decisionCount, elapsedMs } = loaded.runStep(Math.min(batchSize, waitingCount));
        total += decisionCount;
        elapsed += elapsedMs;
    }
    return total / elapsed * 1000;
}

/** Runs the section. */
export function runDecisionCost(seed: number): SectionReport {
    const rows = [["workers", "waiting", "decisions/s", "p50 us", "p99 us", "max us"]];
    const figures: Figure[] = [];
    const results = new Map<string, CostResult>();
    for (const fleetSize of fleetSizes) {
        for (const waitingCount of waitingCounts) {
            const result = measure(fleetSize, waitingCount, seed);
            const name = `decisions.${fleetSize}.${waitingCount}`;
            results.set(name, result);
            const { perSecond, p50, p99, max } = result;
            rows.push([String(fleetSize), String(waitingCount), ...[perSecond, p50, p99, max].map(formatNumber)]);
            figures.push(
                { name: `${name}.perSecond`, value: perSecond, unit: "decisions/s" },
                { name: `${name}.p50`, value: p50, unit: "us" },
                { name: `${name}.p99`, value: p99, unit: "us" },
                { name: `${name}.max`, value: max, unit: "us" },
            );
        }
    }
    const goals: Goal[] = [];
    for (const waitingCount of waitingCounts) {
        const middle = results.get(`decisions.700.${waitingCount}`) as CostResult;
        const large = results.get(`decisions.8300.${waitingCount}`) as CostResult;
        goals.push(
            {
                name: `rate at 700 workers, ${waitingCount} waiting`,
                value: middle.perSecond,
                unit: "decisions/s",
                bound: 20_000,
                direction: "atLeast",
            },
            {
                name: `p99 of one decision at 700 workers, ${waitingCount} waiting`,
                value: middle.p99,
                unit: "us",
                bound: 1000,
                direction: "below",
            },
            {
                name: `cost at 8,300 workers over cost at 700, ${waitingCount} waiting`,
                value: middle.perSecond / large.perSecond,
                unit: "times",
                bound: 2,
                direction: "below",
            },
        );
    }
    const lines = [
        `rate: ${batchSize} tasks end, then one tick; times: one task ends, then one tick, with or without a start`,
        ...formatTable(rows),
    ];
    return { section: "decisions", lines, figures, goals };
}
