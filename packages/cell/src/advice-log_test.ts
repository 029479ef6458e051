import type { WaitingReason, WaitingSample } from "@waxwingroute/workflow";
import { expect } from "earl";
import { describe, it } from "node:test";
import { AdviceLog } from "./advice-log.js";
import { AdviceFixture } from "./testing/advice-fixture.js";

function createSample(reason: WaitingReason | undefined): WaitingSample {
    const counts = new Map<WaitingReason, number>(reason === undefined ? [] : [[reason, 1]]);
    return { news: [], counts, notExamined: 0, adviceOverdue: { steps: counts.size, longestMs: 1_200 } };
}

function createLog(fixture: AdviceFixture): AdviceLog {
    const logger = {
        write: (_level: string, message: string, fields = {}) => {
            fixture.lines.push({ message, fields });
        },
    };
    return new AdviceLog({ dispatcher: fixture.dispatcher, clock: fixture.clock, logger, canOrder: () => true });
}

describe("AdviceLog", () => {
    describe("while steps wait for the advisor", () => {
        it("tells hosts that are in use from hosts that are closed after failures", async () => {
            // Guards against records in which a busy, a broken and an idle way to the advisor look the same.
            const fixture = new AdviceFixture(3);
            const log = createLog(fixture);
            fixture.service.getAdvisor("h0").mode = "refusing";
            fixture.send("s1");
            await fixture.clock.advance(100);
            fixture.send("l1");
            await fixture.clock.advance(200);
            log.record(createSample("adviceNotAsked"));
            const { answered, hosts: described, idleHosts, overdueSteps, refused, sent } = fixture.listLines(
                "advice calls",
            )[0]!;
            expect({ answered, idleHosts, overdueSteps, refused, sent }).toEqual({
                answered: 0,
                idleHosts: 1,
                overdueSteps: 1,
                refused: 1,
                sent: 2,
            });
            const hosts = String(described).split(" ");
            expect(hosts.length).toEqual(2);
            expect(hosts[0]!.startsWith("h0,work:0,calls:0,long:0,oldest:0,backoff:1710,")).toEqual(true);
            expect(hosts[0]!.endsWith("failures:1")).toEqual(true);
            expect(hosts[1]!.startsWith("h1,work:200,calls:1,long:1,oldest:200,backoff:0,")).toEqual(true);
        });

        it("reports the share of the hosts' time with a call in flight and how the rounds ended", async () => {
            const fixture = new AdviceFixture(2);
            const log = createLog(fixture);
            fixture.send("l1");
            fixture.dispatcher.statistics.recordRound(new Set(["sent"]));
            await fixture.clock.advance(1_000);
            fixture.dispatcher.statistics.recordRound(new Set(["sent", "postponed"]));
            fixture.dispatcher.statistics.recordRound(new Set(["postponed", "noHost"]));
            log.record(createSample("ticketExpired"));
            const [line] = fixture.listLines("advice calls");
            // One of two hosts for 410 of 1,000 ms.
            expect(line!.usePercent).toEqual(21);
            expect(line!.rounds).toEqual(3);
            expect(line!.roundsWithoutHost).toEqual(1);
            expect(line!.roundsPostponed).toEqual(1);
            expect(log.gauges.advice_rounds).toEqual(3);
        });
    });

    it("writes nothing while no step waits for the advisor, apart from one line after the last wait", () => {
        const fixture = new AdviceFixture(1);
        const log = createLog(fixture);
        log.record(createSample(undefined));
        log.record(createSample("noRoom"));
        expect(fixture.listLines("advice calls").length).toEqual(0);
        log.record(createSample("adviceInFlight"));
        log.record(createSample(undefined));
        log.record(createSample(undefined));
        expect(fixture.listLines("advice calls").length).toEqual(2);
    });
});
