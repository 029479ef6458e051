/**
 * Reservations: capacity that is held for blocked jobs, so that smaller work cannot delay them forever, and the
 * backfill of that capacity with work that ends in time.
 *
 * At most one gang and `maxReservations` other jobs hold capacity at a time. Candidates are ordered by their latest
 * start time, which is fixed when a job is submitted, so every job for which capacity can be reserved becomes the first
 * at some time. Because only one gang holds capacity at a time, two gangs cannot deadlock.
 */
import { planParts } from "./reservation-plan.js";
import type { JobRow, Reservation } from "./rows.js";
import type { PlacementState } from "./state.js";
import { countWaiting } from "./task-indexes.js";
import { fitsGrant } from "./team-shares.js";

/** Delay before a queue is considered again after no capacity could be reserved for it, in milliseconds. */
const candidatePauseMs = 1000;
/** Shortest delay past the expected time after which other workers are searched for, in milliseconds. */
const minReplanMs = 10_000;
/** Most candidates that one tick considers. */
const maxCandidatesPerTick = 8;
/** Most workers with held capacity that one tick considers for backfill. */
const maxBackfillWorkers = 16;
/** Queues from the top of the candidates, and as many from other positions, considered for each such worker. */
const maxBackfillQueues = 12;

/** Creates reservations, starts jobs on them, and releases them. */
export class ReservationSystem {
    private readonly state: PlacementState;

    constructor(state: PlacementState) {
        this.state = state;
    }

    /** Starts jobs whose reserved capacity has become free. */
    startReadyJobs(): void {
        for (const reservation of this.state.reservations) {
            if (this.state.isBudgetExhausted) {
                return;
            }
            const job = reservation.job;
            if (!this.isUsable(reservation)) {
                this.state.removeReservation(reservation);
            }
            else if (!fitsGrant(job.team, job.shape, countTasks(reservation))) {
                this.state.removeReservation(reservation);
            }
            else if (this.isReady(reservation)) {
                this.startReserved(reservation);
            }
            else if (this.state.now >= reservation.replanAt) {
                this.replaceReservation(reservation);
            }
        }
    }

    /** Reserves capacity for the first blocked jobs. */
    reserveNext(): void {
        const { queues, now } = this.state;
        let headReservationCount = 0;
        let gangReservationCount = 0;
        for (const reservation of this.state.reservations) {
            headReservationCount += reservation.purpose === "head" ? 1 : 0;
            gangReservationCount += reservation.purpose === "gang" ? 1 : 0;
        }
        for (let count = 0; count < maxCandidatesPerTick; count++) {
            const queue = queues.reservationCandidates.getFirst()?.queue;
            const job = queue?.jobs.getFirst();
            if (queue === undefined || job === undefined || this.state.isBudgetExhausted) {
                return;
            }
            if (queue.state === "active" && queue.shape.isOpen) {
                // The queue is not blocked: this tick did not try it.
                queues.pauseCandidate(queue, now + candidatePauseMs);
                continue;
            }
            const isGang = job.kind === "gang";
            const mayReserve = isGang
                ? gangReservationCount === 0
                : headReservationCount < this.state.options.maxReservations;
            if (!isGang && !mayReserve && gangReservationCount > 0) {
                return;
            }
            const reservation = mayReserve && this.allowsReservation(job) ? this.planReservation(job) : undefined;
            if (reservation === undefined) {
                queues.pauseCandidate(queue, now + candidatePauseMs);
                continue;
            }
            this.state.addReservation(reservation);
            headReservationCount += isGang ? 0 : 1;
            gangReservationCount += isGang ? 1 : 0;
        }
    }

    /** Backfills held capacity with work that is expected to end before the capacity is needed. */
    fillHeldCapacity(): void {
        let workerCount = 0;
        for (const reservation of this.state.reservations) {
            for (const part of reservation.parts) {
                if (
                    this.state.isBudgetExhausted || workerCount >= maxBackfillWorkers
                ) {
                    return;
                }
                if (this.state.workers.canPlace(part.workerRow)) {
                    workerCount++;
                    this.fillWorker(part.workerRow, reservation);
                }
            }
        }
    }

    /** Releases the reservations of a job. */
    releaseReservations(job: JobRow): void {
        for (const reservation of job.reservations) {
            this.state.removeReservation(reservation);
        }
    }

    /** Returns whether the job still needs the reservation and all its workers may get tasks. */
    private isUsable(reservation: Reservation): boolean {
        const job = reservation.job;
        if (
            this.state.countUnreserved(job) < 0 || job.kind === "gang" && countTasks(reservation) !== countWaiting(job)
        ) {
            return false;
        }
        return reservation.parts.every(part => this.state.workers.canPlace(part.workerRow));
    }

    private isReady(reservation: Reservation): boolean {
        const { workers } = this.state;
        return reservation.parts.every(part => workers.fitsFree(part.workerRow, reservation.job.shape, part.count));
    }

    private startReserved(reservation: Reservation): void {
        const job = reservation.job;
        this.state.removeReservation(reservation);
        for (const part of reservation.parts) {
            for (let count = 0; count < part.count; count++) {
                this.state.startTask(job, part.workerRow, "reservation", 0);
            }
        }
    }

    private allowsReservation(job: JobRow): boolean {
        const { shares, teams } = this.state;
        const count = job.kind === "gang" ? countWaiting(job) : 1;
        // With other teams in the shard, a team above its share gets no reservation, only capacity that is left over.
        return fitsGrant(job.team, job.shape, count) && !(teams.size > 1 && shares.isOverShare(job.team));
    }

    /** Replaces a reservation at once, so that no other work takes those of its workers that are free already. */
    private replaceReservation(reservation: Reservation): void {
        this.state.removeReservation(reservation);
        const replacement = this.planReservation(reservation.job, reservation.parts.map(part => part.workerRow));
        if (replacement !== undefined && reservation.purpose !== "preemption") {
            this.state.addReservation(replacement);
        }
    }

    private planReservation(job: JobRow, preferredRows: readonly number[] = []): Reservation | undefined {
        const isGang = job.kind === "gang";
        const plan = planParts(this.state, job.shape, isGang ? countWaiting(job) : 1, preferredRows);
        if (plan === undefined) {
            return undefined;
        }
        const { now } = this.state;
        const { parts, readyAt } = plan;
        const replanAt = readyAt + Math.max(minReplanMs, readyAt - now);
        return { job, purpose: isGang ? "gang" : "head", parts, readyAt, replanAt };
    }

    private fillWorker(row: number, reservation: Reservation): void {
        const { queues, workers } = this.state;
        // Queues at the top of the heap, and others in turn.
        const nearTop = queues.reservationCandidates.listFrom(0, maxBackfillQueues);
        const nextInTurn = queues.reservationCandidates.listFrom(
            this.state.advanceSearchCursor(maxBackfillQueues),
            maxBackfillQueues,
        );
        for (const { queue } of [...nearTop, ...nextInTurn]) {
            const job = queue.jobs.getFirst();
            if (job === undefined || queue.kind === "gang" || job === reservation.job) {
                continue;
            }
            while (
                queue.jobs.getFirst() === job
                && workers.fitsFree(row, queue.shape, 1)
                && fitsGrant(queue.team, queue.shape, 1)
                && this.allowsBackfill(job, reservation)
                && !this.state.isBudgetExhausted
            ) {
                this.state.startTask(job, row, "backfill", 0);
            }
        }
    }

    private allowsBackfill(job: JobRow, reservation: Reservation): boolean {
        // Urgent work comes before normal work, also before normal work with a reservation.
        if (job.priority === "urgent" && reservation.job.priority === "normal") {
            return true;
        }
        if (job.kind !== "batch" || reservation.purpose === "preemption") {
            return false;
        }
        const runMs = this.state.estimates.estimateUpperBound(job.jobClass, job.declaredRunMs);
        return this.state.now + runMs <= reservation.readyAt;
    }
}

function countTasks(reservation: Reservation): number {
    let count = 0;
    for (const part of reservation.parts) {
        count += part.count;
    }
    return count;
}
