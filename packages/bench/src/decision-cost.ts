/**
 * Decisions a second and time for one decision, with a full fleet and waiting work.
 *
 * Every measured step ends running tasks at random, submits as many new ones of the same sizes, and ticks, as the scheduler does.
 * Between the steps the fleet and the queue are refilled, outside the measured time. Without the new tasks only those
 * would wait that did not fit before, and most ends would start nothing.
 */
import type { JobId, RandomSource, ResourceVector, TeamId } from "@waxwingroute/core";
import { SeededRandom, toId } from "@waxwingroute/core";
import type { Decision, JobKind, StartDecision } from "@waxwingroute/placement";
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
const batchSize = 54;

interface CostResult {
    readonly perSecond: number;
    readonly p50: number;
    readonly p99: number;
    readonly max: number;
}

/** A full fleet with waiting work. */
class LoadedEngine {
    readonly engine = new PlacementEngine({ objective: "fairness" });
    private readonly running: StartDecision[] = [];
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
            while (this.waitingCount < count) {
                const isGang = this.random.getInteger(20) === 0;
                const kind = isGang ? "gang" : this.random.getInteger(6) === 0 ? "service" : "batch";
                this.submit(kind, 1 + this.random.getInteger(isGang ? 8 : 40), pickSize(this.random, 0.15));
            }
            ({ decisionCount } = this.runStep(0));
        }
    }

    /** Ends `endCount` random tasks, replaces them, and ticks. Returns the number of decisions and the time they took. */
    runStep(endCount: number): { readonly decisionCount: number; readonly elapsedMs: number; } {
        const ended = Array.from({ length: Math.min(endCount, this.running.length) }, () => this.takeRunning());
        const counts = new Map<ResourceVector, number>();
        ended.forEach(({ resources }) => counts.set(resources, (counts.get(resources) ?? 0) + 1));
        this.now += 20;
        const start = performance.now();
        ended.forEach(({ task }) => this.engine.recordTaskEnded(this.now, task, "succeeded"));
        for (const [resources, count] of counts) {
            this.submit(this.random.getInteger(6) === 0 ? "service" : "batch", count, resources);
        }
        const { decisions } = this.engine.tick(this.now, { maxDecisions: 10_000 });
        const elapsedMs = performance.now() - start;
        decisions.forEach(decision => this.apply(decision));
        return { decisionCount: decisions.length, elapsedMs };
    }

    private submit(kind: JobKind, taskCount: number, resources: ResourceVector): void {
        const submission = {
            job: toId<JobId>(`job-${this.jobCount++}`),
            team: toId<TeamId>(`team-${this.random.getInteger(this.teamCount)}`),
            kind,
            priority: this.random.getInteger(20) === 0 ? "urgent" as const : "normal" as const,
            taskCount,
            resources,
            estimatedRunMs: 1000 + this.random.getInteger(600_000),
        };
        if (this.engine.submitJob(this.now, submission).ok) {
            this.waitingCount += taskCount;
        }
    }

    private takeRunning(): StartDecision {
        const index = this.random.getInteger(this.running.length);
        const taken = this.running[index] as StartDecision;
        this.running[index] = this.running[this.running.length - 1] as StartDecision;
        this.running.pop();
        return taken;
    }

    private apply(decision: Decision): void {
        if (decision.kind === "start") {
            this.running.push(decision);
            this.engine.recordTaskStarted(this.now, decision.task);
            this.waitingCount--;
            return;
        }
        // A preempted task waits again.
        this.running.splice(this.running.findIndex(start => start.task === decision.task), 1);
        this.engine.recordTaskEnded(this.now, decision.task, "preempted");
        this.waitingCount++;
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
        const { decisionCount, elapsedMs } = loaded.runStep(batchSize);
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
        `rate: ${batchSize} tasks end and as many arrive, then one tick; times: one task ends and one arrives, then one tick`,
        ...formatTable(rows),
    ];
    return { section: "decisions", lines, figures, goals };
}
