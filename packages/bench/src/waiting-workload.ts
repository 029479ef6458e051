/**
 * Work of six teams, two of them large, for a given load, with a surge of one small team.
 */
import type { JobId, RandomSource, ResourceVector, TeamId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import type { JobSubmission, TeamUpdate } from "@waxwingroute/placement";
import { pickSize } from "./fleet.js";
import type { Arrival } from "./virtual-drive.js";

/** The classes for which waiting time is reported. */
export type WorkClass = "urgent" | "service" | "batch" | "gang";

export const workClasses: readonly WorkClass[] = ["urgent", "service", "batch", "gang"];

/** Part of the offered load, and how it comes. */
interface ClassShape {
    readonly workClass: WorkClass;
    readonly loadShare: number;
    readonly minTasks: number;
    readonly maxTasks: number;
    readonly meanRunMs: number;
}

const classShapes: readonly ClassShape[] = [
    { workClass: "urgent", loadShare: 0.08, minTasks: 1, maxTasks: 8, meanRunMs: 10_000 },
    { workClass: "service", loadShare: 0.2, minTasks: 2, maxTasks: 6, meanRunMs: 300_000 },
    { workClass: "batch", loadShare: 0.57, minTasks: 1, maxTasks: 40, meanRunMs: 40_000 },
    { workClass: "gang", loadShare: 0.15, minTasks: 4, maxTasks: 16, meanRunMs: 60_000 },
];

/** Weight of each team, and its part of the offered load; the last one surges. */
const teamShapes = [
    { name: "large-a", weight: 4, loadShare: 0.35 },
    { name: "large-b", weight: 4, loadShare: 0.3 },
    { name: "medium", weight: 2, loadShare: 0.15 },
    { name: "small-a", weight: 1, loadShare: 0.08 },
    { name: "small-b", weight: 1, loadShare: 0.07 },
    { name: "surging", weight: 1, loadShare: 0.05 },
] as const;

export const teams: readonly TeamUpdate[] = teamShapes.map(({ name, weight }) => ({
    team: toId<TeamId>(name),
    weight,
}));

const surgeFactor = 10;

/** Length of the drive; the surge takes its third fifth. */
export const driveMs = 600_000;
const surgeStart = driveMs * 0.4;
const surgeEnd = driveMs * 0.6;

/** Returns the class of a job. */
export function classifyWork(submission: JobSubmission): WorkClass {
    return submission.priority === "urgent" ? "urgent" : submission.kind;
}

/** Returns arrivals that offer `load` (1 is all processors) before the surge of one team is added. */
export function generateArrivals(random: RandomSource, capacity: ResourceVector, load: number): Arrival[] {
    const arrivals: Arrival[] = [];
    for (const team of teamShapes) {
        for (const shape of classShapes) {
            const cpuPerMs = capacity.cpuMillis * load * team.loadShare * shape.loadShare;
            // The first job of each kind arrives at a random part of a gap, so that not all arrive together.
            let at = -1;
            while (at < driveMs) {
                const arrival = generateArrival(random, toId<TeamId>(team.name), shape, at, arrivals.length);
                const isSurging = team.name === "surging" && at >= surgeStart && at < surgeEnd;
                const rate = cpuPerMs * (isSurging ? surgeFactor : 1);
                // The gap is proportional to the work of the job that precedes it, so the load is met by large jobs too.
                const work = arrival.submission.resources.cpuMillis * arrival.submission.taskCount * arrival.runMs;
                if (at < 0) {
                    at = work / rate * random.getFloat();
                    continue;
                }
                arrivals.push(arrival);
                at += work / rate * (0.5 + random.getFloat());
            }
        }
    }
    return arrivals.sort((first, second) => first.at - second.at);
}

function generateArrival(
    random: RandomSource,
    team: TeamId,
    shape: ClassShape,
    at: number,
    number: number,
): Arrival {
    const runMs = shape.meanRunMs * pickFactor(random, 0.6);
    const resources = shape.workClass === "urgent"
        ? { cpuMillis: 1000, memoryMb: 2048, accelerators: 0 }
        : pickSize(random, 0);
    return {
        at,
        runMs,
        submission: {
            job: toId<JobId>(`${shape.workClass}-${number}`),
            team,
            kind: shape.workClass === "urgent" ? "batch" : shape.workClass,
            priority: shape.workClass === "urgent" ? "urgent" : "normal",
            taskCount: shape.minTasks + random.getInteger(shape.maxTasks - shape.minTasks + 1),
            resources,
            // Declared run times are far from accurate.
            estimatedRunMs: runMs * pickFactor(random, 0.8),
        },
    };
}

/** Returns a log-normal factor with median 1. */
function pickFactor(random: RandomSource, deviation: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.getFloat())) * Math.cos(2 * Math.PI * random.getFloat());
    return Math.exp(normal * deviation);
}
