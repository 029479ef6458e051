import type { ExecutorId } from "@waxwingroute/core";
import { ManualClock, toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ExecutorQuorum, quorumAnswerMs } from "./executor-quorum.js";
import { readClocks } from "./lease-clock.js";

const [a, b, c, d] = ["a", "b", "c", "d"].map(name => toId<ExecutorId>(name)) as [
    ExecutorId,
    ExecutorId,
    ExecutorId,
    ExecutorId,
];

/** A clock whose wall time is set apart from its monotonic time. */
class SuspendedClock extends ManualClock {
    wallOffsetMs = 0;

    override getWallTime(): number {
        return super.getWallTime() + this.wallOffsetMs;
    }
}

function openQuorum(): { readonly clock: SuspendedClock; readonly quorum: ExecutorQuorum; } {
    const clock = new SuspendedClock(1_000);
    return { clock, quorum: new ExecutorQuorum(clock) };
}

describe("ExecutorQuorum", () => {
    describe("is held", () => {
        it("only by more than half of the executors", () => {
            // Guards against two owners that each count one half.
            const { clock, quorum } = openQuorum();
            quorum.setStoredRosters([[a, b, c, d]]);
            [a, b].forEach(executor => quorum.recordAnswer(executor, readClocks(clock)));
            expect(quorum.isHeld).toEqual(false);
            quorum.recordAnswer(c, readClocks(clock));
            expect(quorum.isHeld).toEqual(true);
        });

        it("only while the answers are recent, from the sending of their requests", async () => {
            // Guards against an answer that came late and would count for longer than the successor waits.
            const { clock, quorum } = openQuorum();
            quorum.setStoredRosters([[a]]);
            const sentAt = readClocks(clock);
            await clock.advance(quorumAnswerMs - 10);
            quorum.recordAnswer(a, sentAt);
            expect(quorum.isHeld).toEqual(true);
            await clock.advance(10);
            expect(quorum.isHeld).toEqual(false);
        });

        it("no more after a suspension that the monotonic clock does not count", () => {
            // Guards against an owner that wakes and orders by answers of before.
            const { clock, quorum } = openQuorum();
            quorum.setStoredRosters([[a]]);
            quorum.recordAnswer(a, readClocks(clock));
            clock.wallOffsetMs = quorumAnswerMs;
            expect(quorum.isHeld).toEqual(false);
        });

        it("only in each roster that can be the stored one", () => {
            // Guards against a roster whose write has no answer, and by which the successor counts.
            const { clock, quorum } = openQuorum();
            quorum.setStoredRosters([[a], [a, b, c]]);
            quorum.recordAnswer(a, readClocks(clock));
            expect(quorum.isHeld).toEqual(false);
            quorum.recordAnswer(b, readClocks(clock));
            expect(quorum.isHeld).toEqual(true);
        });

        it("not before the stored roster is known", () => {
            const { clock, quorum } = openQuorum();
            quorum.recordAnswer(a, readClocks(clock));
            expect(quorum.isHeld).toEqual(false);
        });
    });
});
