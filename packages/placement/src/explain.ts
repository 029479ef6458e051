/**
 * Explains to users why a job waits.
 */
import { match } from "ts-pattern";
import type { JobRow } from "./rows.js";
import type { PlacementState } from "./state.js";
import { countStartable, countWaiting } from "./task-indexes.js";
import { fitsGrant, getGrant } from "./team-shares.js";
import type { JobExplanation, WaitReason } from "./types.js";

/** Returns the state of a job and the first reason for which its next task waits. */
export function explainJob(state: PlacementState, job: JobRow): JobExplanation {
    const reason = findReason(state, job);
    let expectedAt: number | undefined;
    for (const reservation of job.reservations) {
        expectedAt = Math.min(expectedAt ?? Infinity, reservation.readyAt);
    }
    return {
        job: job.id,
        team: job.team.id,
        waitingCount: countWaiting(job),
        runningCount: job.running.size,
        finishedCount: job.finishedCount,
        reason,
        message: describeReason(state, job, reason),
        expectedWaitMs: expectedAt === undefined ? undefined : Math.max(0, expectedAt - state.now),
    };
}

function findReason(state: PlacementState, job: JobRow): WaitReason {
    const tasksPerStart = job.kind === "gang" ? countWaiting(job) : 1;
    if (countWaiting(job) === 0) {
        return "nothingWaiting";
    }
    if (state.workers.countFitsWhenEmpty(job.shape, tasksPerStart) < tasksPerStart || !fitsLimit(job, tasksPerStart)) {
        return "unschedulable";
    }
    if (countStartable(job) === 0) {
        return "window";
    }
    if (!fitsGrant(job.team, job.shape, tasksPerStart)) {
        return "grant";
    }
    if (state.workers.countFitsWhenEmpty(job.shape, tasksPerStart, true) < tasksPerStart) {
        return "drained";
    }
    if (job.reservations.size > 0) {
        return "reservation";
    }
    return state.shares.isOverShare(job.team) && state.teams.size > 1 ? "share" : "capacity";
}

function fitsLimit(job: JobRow, count: number): boolean {
    const limit = job.team.limit;
    return limit === undefined
        || job.shape.cpu * count <= limit.cpuMillis
            && job.shape.memory * count <= limit.memoryMb
            && job.shape.accelerators * count <= limit.accelerators;
}

function describeReason(state: PlacementState, job: JobRow, reason: WaitReason): string {
    const { cpu, memory, accelerators } = job.shape;
    const size = `${cpu} millis, ${memory} MB, ${accelerators} accelerators`;
    const team = job.team;
    return match(reason)
        .with("nothingWaiting", () => `job "${job.id}" has no waiting task`)
        .with(
            "unschedulable",
            () => `the workers, even if empty, or the limit of team "${team.id}" are too small; one task needs ${size}`,
        )
        .with(
            "window",
            () => `tasks from index ${job.nextIndex} on wait until the journal has committed a larger start window`,
        )
        .with("grant", () => {
            const grant = getGrant(team);
            return `team "${team.id}" uses ${team.usedCpu} millis, ${team.usedMemory} MB, ${team.usedAccelerators} `
                + `accelerators of its grant of ${grant?.cpuMillis} millis, ${grant?.memoryMb} MB, `
                + `${grant?.accelerators} accelerators; one task needs ${size}`;
        })
        .with(
            "drained",
            () => `the workers in rotation, even if empty, are too few or too small; one task needs ${size}`,
        )
        .with("reservation", () => `capacity of ${size} is held until running work ends`)
        .with("share", () => `team "${team.id}" is above its share and no worker has ${size} free`)
        .with("capacity", () => `no worker has ${size} free`)
        .exhaustive();
}
