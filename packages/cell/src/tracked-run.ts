/**
 * The runs that a session with an executor tracks, and which of them may have crashed the executor.
 */
import type { TaskKey } from "@waxwingroute/workflow";

/**
 * `sent`: the call that starts the run is in flight. `answered`: the executor has confirmed or listed the run.
 * `unanswered`: the call got no answer, so the run may start later. `stopped`: the executor has answered a stop call.
 */
export type TrackedRunState = "sent" | "answered" | "unanswered" | "stopped";

/** A run that this session started or that the executor has listed, until its end is known. */
export interface TrackedRun {
    readonly task: TaskKey;
    readonly run: number;
    state: TrackedRunState;
    /** Whether the call that starts the run is in flight, whatever `state` is: a stop can be answered before it. */
    isStartInFlight: boolean;
    /** Time of the last change of `state`. */
    changedAt: number;
    /** `sending`: calls that stop the run are repeated until one is answered. `answered`: one was, also with a refusal. */
    stop: "none" | "sending" | "answered";
    /** When a stop was last answered. */
    stopAnsweredAt: number;
    /** Whether the executor has confirmed or listed the run, so that its start is not on the way any more. */
    hasBegun: boolean;
    /** Whether the executor has listed the run at an age above `provenAfterMs`. */
    isListed: boolean;
    readonly isProbe: boolean;
    readonly provenAfterMs: number;
    readonly sentAt: number;
    /** Set when the executor crashed before it had listed the run so. */
    crashOutcome?: "crashed" | "suspected";
    /** Whether the crash that ended it was recorded, so that each crash counts once. */
    isCrashRecorded?: boolean;
}

/** A run that an executor had when it crashed. */
export interface LostRun {
    readonly task: TaskKey;
    readonly run: number;
    /** Time from the sending of the start to the first failed call, ms; for a run that was taken over, from then on. */
    readonly ageMs: number;
    readonly isListed: boolean;
    readonly isProbe: boolean;
    readonly outcome: "crashed" | "suspected" | "lost";
}

/** Longest time from the sending of a start to the first failed call after a crash under it, ms, unless it is silent. */
const maxCrashDelayMs = 600;

/** Returns the key by which a session finds a run. */
export function toRunKey(run: { readonly task: TaskKey; readonly run: number; }): string {
    return `${run.task}#${run.run}`;
}

/** Returns whether a listing of the run that arrives now shows that the executor has survived its start. */
export function isOldEnough({ provenAfterMs, sentAt }: TrackedRun, now: number): boolean {
    return provenAfterMs === 0 || now - sentAt > provenAfterMs;
}

/**
 * Sets `crashOutcome` of the runs under which an executor may have crashed: those that it did not list, and of these the
 * ones that were sent shortly before the first call failed, if there are any. A start without an answer may have been
 * sent after the crash, so that alone it counts as the only suspect only if it was a probe. Returns the runs that the
 * executor had, each only once: while the owner has no valid lease, the same crash is noticed several times.
 */
export function markCrashSuspects(runs: Iterable<TrackedRun>, failingSince: number): LostRun[] {
    const held = [...runs].filter(tracked =>
        tracked.isCrashRecorded !== true && (tracked.state !== "sent" || tracked.isListed)
    );
    const unlisted = held.filter(tracked => !tracked.isListed);
    const recent = unlisted.filter(tracked => tracked.sentAt >= failingSince - maxCrashDelayMs);
    const suspects = recent.length > 0 ? recent : unlisted;
    // The members of a gang have the step and the run number in common, and count as one.
    const starts = new Set(suspects.map(({ task, run }) => `${task.slice(0, task.lastIndexOf("."))}#${run}`));
    const isSole = starts.size === 1 && suspects.some(({ state, isProbe }) => state === "answered" || isProbe);
    suspects.forEach(tracked => {
        tracked.crashOutcome ??= isSole ? "crashed" : "suspected";
    });
    held.forEach(tracked => {
        tracked.isCrashRecorded = true;
    });
    return held.filter(tracked => tracked.state !== "stopped").map(tracked => ({
        task: tracked.task,
        run: tracked.run,
        ageMs: Math.max(0, failingSince - tracked.sentAt),
        isListed: tracked.isListed,
        isProbe: tracked.isProbe,
        outcome: tracked.crashOutcome ?? "lost",
    }));
}
