/**
 * Share error: the distance of each team from its weighted dominant share while all teams have more work than fits.
 *
 * The target is the division of one large host by weighted dominant shares: all teams grow together until a resource is
 * full, and those that need it stop.
 */
import type { JobId, RandomSource, ResourceVector, TaskId, TeamId } from "@waxwingroute/core";
import {
    addResources,
    computeDominantShare,
    multiplyResources,
    resourceNames,
    SeededRandom,
    subtractResources,
    toId,
    zeroResources,
} from "@waxwingroute/core";
import type { EndOutcome, JobSubmission, Objective, TeamUpdate } from "@waxwingroute/placement";
import { createFleet, sumCapacity } from "./fleet.js";
import type { PlacerDecision } from "./placers.js";
import { EnginePlacer } from "./placers.js";
import type { Figure, Goal, SectionReport } from "./report.js";
import { formatNumber, formatTable } from "./report.js";
import type { Arrival } from "./virtual-drive.js";
import { VirtualDrive } from "./virtual-drive.js";

interface Layout {
    readonly teamCount: number;
    readonly fleetSize: number;
}

const layouts: readonly Layout[] = [{ teamCount: 6, fleetSize: 33 }, { teamCount: 400, fleetSize: 700 }];
const objectives: readonly Objective[] = ["fairness", "waiting"];
const driveMs = 240_000;
/** Shares are compared after this time, when the first tasks have ended. */
const settleMs = 120_000;
/** Largest distance of a team from its share, in parts of the fleet. */
const errorBound = 0.02;

interface BusyTeam extends TeamUpdate {
    readonly weight: number;
    readonly size: ResourceVector;
}

/** Adds up what each team uses. */
class MeteredPlacer extends EnginePlacer {
    readonly used = new Map<TeamId, ResourceVector>();
    private readonly submissions = new Map<JobId, JobSubmission>();
    private readonly owners = new Map<TaskId, JobSubmission>();

    override submitJob(now: number, submission: JobSubmission): void {
        this.submissions.set(submission.job, submission);
        super.submitJob(now, submission);
    }

    override recordEnded(now: number, task: TaskId, outcome: EndOutcome): void {
        const { team, resources } = this.owners.get(task) as JobSubmission;
        this.used.set(team, subtractResources(this.used.get(team) ?? zeroResources, resources));
        super.recordEnded(now, task, outcome);
    }

    override tick(now: number): readonly PlacerDecision[] {
        const decisions = super.tick(now);
        for (const decision of decisions) {
            if (decision.kind === "start") {
                const submission = this.submissions.get(decision.job) as JobSubmission;
                const { team, resources } = submission;
                this.owners.set(decision.task, submission);
                this.used.set(team, addResources(this.used.get(team) ?? zeroResources, resources));
            }
        }
        return decisions;
    }
}

/** Runs the section. */
export function runShareError(seed: number): SectionReport {
    const rows = [["teams", "workers", "objective", "mean error %", "max error %", "mean relative error %"]];
    const figures: Figure[] = [];
    const goals: Goal[] = [];
    for (const layout of layouts) {
        for (const objective of objectives) {
            const { mean, max, relative } = measureErrors(layout, objective, seed);
            const name = `shares.${layout.teamCount}.${objective}`;
            const cells = [mean, max, relative].map(error => formatNumber(error * 100));
            rows.push([String(layout.teamCount), String(layout.fleetSize), objective, ...cells]);
            figures.push(
                { name: `${name}.mean`, value: mean, unit: "share" },
                { name: `${name}.max`, value: max, unit: "share" },
                { name: `${name}.relative`, value: relative, unit: "share" },
            );
            goals.push({
                name: `largest share error, ${layout.teamCount} teams, objective ${objective}`,
                value: max * 100,
                unit: "% of the fleet",
                bound: errorBound * 100,
                direction: "below",
            });
        }
    }
    const lines = [
        "errors are means over time, in parts of the fleet; relative ones are parts of the share",
        ...formatTable(rows),
    ];
    return { section: "shares", lines, figures, goals };
}

function measureErrors(
    layout: Layout,
    objective: Objective,
    seed: number,
): { readonly mean: number; readonly max: number; readonly relative: number; } {
    const random = new SeededRandom(seed);
    const fleet = createFleet(layout.fleetSize, true);
    const capacity = sumCapacity(fleet);
    const teams = createTeams(layout.teamCount, random);
    const targets = computeTargets(teams, capacity);
    const placer = new MeteredPlacer(fleet, teams, objective);
    const sums = teams.map(() => 0);
    let sampleCount = 0;
    const drive = new VirtualDrive(placer);
    drive.run(generateBacklog(teams, targets, capacity, random), driveMs, () => {
        if (drive.now < settleMs || drive.now % 1000 !== 0) {
            return;
        }
        sampleCount++;
        teams.forEach((team, index) => {
            const share = computeDominantShare(placer.used.get(team.team) ?? zeroResources, capacity);
            sums[index] = (sums[index] as number) + Math.abs(share - (targets[index] as number));
        });
    });
    const errors = sums.map(sum => sum / sampleCount);
    const relative = errors.map((error, index) => error / (targets[index] as number));
    const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
    return { mean: mean(errors), max: Math.max(...errors), relative: mean(relative) };
}

/** Returns teams of which the first few have large weights. */
function createTeams(count: number, random: RandomSource): BusyTeam[] {
    return Array.from({ length: count }, (_, index) => ({
        team: toId<TeamId>(`team-${index}`),
        weight: index < 3 ? 10 : 1 + random.getInteger(3),
        size: random.pickOne([
            { cpuMillis: 1000, memoryMb: 2048, accelerators: 0 },
            { cpuMillis: 2000, memoryMb: 4096, accelerators: 0 },
            { cpuMillis: 1000, memoryMb: 4096, accelerators: 0 },
            { cpuMillis: 2000, memoryMb: 2048, accelerators: 0 },
            { cpuMillis: 4000, memoryMb: 16_384, accelerators: 1 },
        ]) as ResourceVector,
    }));
}

/** Returns work at the start that keeps each team busy at three times its share until the end. */
function generateBacklog(
    teams: readonly BusyTeam[],
    targets: readonly number[],
    capacity: ResourceVector,
    random: RandomSource,
): Arrival[] {
    const meanRunMs = 10_000;
    const jobCount = 24;
    return teams.flatMap(({ team, size }, teamIndex) => {
        const runningCount = (targets[teamIndex] as number) / computeDominantShare(size, capacity);
        const taskCount = Math.ceil(3 * runningCount * driveMs / meanRunMs / jobCount);
        return Array.from({ length: jobCount }, (_, index) => {
            const runMs = meanRunMs * (0.5 + random.getFloat());
            return {
                at: 0,
                runMs,
                submission: {
                    job: toId<JobId>(`${team}-${index}`),
                    team,
                    kind: "batch" as const,
                    taskCount,
                    resources: size,
                    estimatedRunMs: runMs,
                },
            };
        });
    });
}

/** Returns the weighted dominant share of each team on one large host. */
export function computeTargets(teams: readonly Omit<BusyTeam, "team">[], capacity: ResourceVector): number[] {
    const shares = teams.map(() => 0);
    const isFrozen = teams.map(() => false);
    // Use of each team at dominant share 1, so that the growth of all teams can be added up.
    const units = teams.map(({ size }) => multiplyResources(size, 1 / computeDominantShare(size, capacity)));
    let free = { ...capacity };
    while (isFrozen.includes(false)) {
        const growth = resourceNames.map(name => {
            const rate = units.reduce(
                (sum, unit, index) => isFrozen[index] === true ? sum : sum + unit[name] * (teams[index]?.weight ?? 0),
                0,
            );
            return rate === 0 ? Infinity : free[name] / rate;
        });
        const step = Math.min(...growth);
        const full = resourceNames.filter((_, index) => growth[index] === step);
        units.forEach((unit, index) => {
            if (isFrozen[index] === true) {
                return;
            }
            const added = step * (teams[index]?.weight ?? 0);
            shares[index] = (shares[index] as number) + added;
            free = subtractResources(free, multiplyResources(unit, added));
            isFrozen[index] = full.some(name => unit[name] > 0);
        });
    }
    return shares;
}
