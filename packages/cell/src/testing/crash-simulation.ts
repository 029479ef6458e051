/**
 * Plays jobs of which some crash each executor that starts one of their tasks, a set time after the start. Executors are
 * back under their ids soon afterwards; nothing else goes wrong.
 */
import { SeededRandom } from "@waxwingroute/core";
import { CellSimulation } from "./cell-simulation.js";

/** Moment of the crashes and length of the arrivals. */
export interface CrashSimulationOptions {
    /** Times from the start of a task to the crash, ms; each crashing job has one of them. */
    readonly crashAfterMs: readonly number[];
    readonly seed: number;
    /** Share of the jobs that crash their executors. Default 0.03. */
    readonly crashingShare?: number;
    /** Time for which jobs arrive, ms. Default 45,000. */
    readonly arrivalMs?: number;
    /** Time after the last arrival for which is played on, ms. */
    readonly calmMs: number;
}

/** What became of the jobs. */
export interface CrashSimulationResult {
    readonly soundJobs: number;
    readonly crashingJobs: number;
    /** Sound jobs that are not done at the end of the calm. */
    readonly unfinished: readonly string[];
    /** Sound jobs that were given up. */
    readonly failedSoundJobs: readonly string[];
    /** Crashing jobs that are not given up at the end of the calm. */
    readonly openCrashingJobs: readonly string[];
    /** Time after the last arrival at which the last sound job was done, ms; infinite if one is not. */
    readonly soundDoneMs: number;
    /** Longest time from the submission of a sound job to its end, ms. */
    readonly longestSoundMs: number;
    /** Most executors that one crashing job has cost. */
    readonly mostCrashes: number;
    readonly crashes: number;
    readonly violations: readonly string[];
    readonly logLines: readonly string[];
}

const executorCount = 8;
const jobIntervalMs = 62.5;
const shortestTaskMs = 200;
const longestTaskMs = 3_400;
/** Sixteen of these tasks fit on an executor, like tasks of one core on one of sixteen. */
const resources = { cpuMillis: 250, memoryMb: 100, accelerators: 0 };
const crashDownMs = 1_500;
const pollMs = 100;

/** Plays one seed. */
export async function runCrashSimulation(options: CrashSimulationOptions): Promise<CrashSimulationResult> {
    const { arrivalMs = 45_000, calmMs, crashAfterMs, crashingShare = 0.03, seed } = options;
    const random = new SeededRandom(seed);
    const crashes = new Map<string, number>();
    const crashingJobs = new Map<string, number>();
    const workByJob = new Map<string, number>();
    const cell: CellSimulation = new CellSimulation({
        hosts: 2,
        executors: executorCount,
        seed,
        planRun: task => {
            const job = task.split(".")[0]!;
            const workMs = workByJob.get(job)!;
            const crashAt = crashingJobs.get(job);
            if (crashAt === undefined) {
                return { workMs, outcome: "done" };
            }
            crashes.set(job, (crashes.get(job) ?? 0) + 1);
            return { workMs: workMs + crashAt, outcome: "done", crashAfterMs: crashAt, crashDownMs };
        },
    });
    cell.executors.forEach(executor => {
        executor.refusesWhenDown = true;
    });
    await cell.advance(3_000);
    const submittedAt = new Map<string, number>();
    const endedAt = new Map<string, number>();
    const beginsAt = cell.clock.getNow();
    const arrivalsEndAt = beginsAt + arrivalMs;
    while (cell.clock.getNow() < arrivalsEndAt + calmMs) {
        const now = cell.clock.getNow();
        while (now < arrivalsEndAt && submittedAt.size * jobIntervalMs <= now - beginsAt) {
            const job = `j${submittedAt.size}`;
            const workMs = shortestTaskMs + random.getFloat() * (longestTaskMs - shortestTaskMs);
            workByJob.set(job, workMs);
            if (random.getFloat() < crashingShare) {
                crashingJobs.set(job, crashAfterMs[crashingJobs.size % crashAfterMs.length]!);
            }
            submittedAt.set(job, now);
            void cell.submit(cell.hosts[0]!, job, [{ resources, estimateMs: Math.round(workMs) }]);
        }
        await cell.advance(pollMs);
        for (const job of submittedAt.keys()) {
            const state = cell.getState(job);
            if ((state === "succeeded" || state === "failed") && !endedAt.has(job)) {
                endedAt.set(job, cell.clock.getNow());
            }
        }
    }
    const sound = [...submittedAt.keys()].filter(job => !crashingJobs.has(job));
    const soundTimes = sound.map(job => (endedAt.get(job) ?? Infinity) - submittedAt.get(job)!);
    cell.close();
    return {
        soundJobs: sound.length,
        crashingJobs: crashingJobs.size,
        unfinished: sound.filter(job => cell.getState(job) !== "succeeded"),
        failedSoundJobs: sound.filter(job => cell.getState(job) === "failed"),
        openCrashingJobs: [...crashingJobs.keys()].filter(job => cell.getState(job) !== "failed"),
        soundDoneMs: Math.max(...sound.map(job => endedAt.get(job) ?? Infinity)) - arrivalsEndAt,
        longestSoundMs: Math.max(...soundTimes),
        mostCrashes: Math.max(0, ...crashes.values()),
        crashes: [...crashes.values()].reduce((sum, count) => sum + count, 0),
        violations: cell.checker.violations,
        logLines: cell.logLines,
    };
}
