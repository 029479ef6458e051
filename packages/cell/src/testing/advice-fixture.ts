/** A dispatcher with a fake advisor service, a manual clock and a log that is kept, for tests. */
import type { ExecutorId, QueueId } from "@waxwingroute/core";
import { ManualClock, toId } from "@waxwingroute/core";
import type { LogFields } from "@waxwingroute/telemetry";
import type { AdviceRules, AdviceSendResult, StepKey } from "@waxwingroute/workflow";
import type { AdviceHost } from "../advice-dispatcher.js";
import { AdviceDispatcher } from "../advice-dispatcher.js";
import { Advisor } from "../advisor.js";
import { FakeAdviceService } from "./fake-advisor.js";
import { createStrictSupervisor } from "./strict-supervisor.js";

/** An answer that the dispatcher has passed on. */
export interface RecordedAnswer {
    readonly step: StepKey;
    readonly isGranted: boolean;
    readonly at: number;
}

/** The rules of calls by the first letter of their step. */
export const fixtureRules: Readonly<Record<string, AdviceRules>> = {
    /** Short calls of 10 ms. */
    s: { callMs: 9, perExecutorMs: 1, validMs: 2_000 },
    /** Long calls of 400 ms. */
    l: { callMs: 399, perExecutorMs: 1, validMs: 2_000 },
    /** Short calls that the advisor rejects. */
    r: { callMs: 9, perExecutorMs: 1, validMs: 2_000 },
};

/** Sends requests through a dispatcher with hosts `h0`, `h1` and so on. */
export class AdviceFixture {
    readonly clock = new ManualClock(1_000);
    readonly service: FakeAdviceService;
    readonly dispatcher: AdviceDispatcher;
    readonly lines: { readonly message: string; readonly fields: LogFields; }[] = [];
    readonly answers: RecordedAnswer[] = [];
    private hosts: AdviceHost[] = [];
    private sent = 0;

    constructor(hosts: number, latencyMs = 5) {
        const { clock } = this;
        this.service = new FakeAdviceService({ clock, getRules, isGranted: () => true, isRejected, latencyMs });
        const logger = {
            write: (_level: string, message: string, fields: LogFields = {}) => {
                this.lines.push({ message, fields });
            },
        };
        this.dispatcher = new AdviceDispatcher({
            clock,
            logger,
            supervisor: createStrictSupervisor(clock),
            onAnswer: (step, _executors, grants) => {
                this.answers.push({ step, isGranted: grants.ok, at: clock.getNow() });
            },
        });
        for (let index = 0; index < hosts; index++) {
            this.addHost(`h${index}`);
        }
    }

    /** Adds a host, again if there is one of this name. `delayMs` is added to the way of each call, ms. */
    addHost(name: string, delayMs = 0): void {
        const advisor = this.service.getAdvisor(name);
        const host = { name, advisor: delayMs === 0 ? advisor : new DelayedAdvisor(advisor, this.clock, delayMs) };
        this.hosts.push(host);
        this.dispatcher.addHost(host);
    }

    removeHost(name: string): void {
        this.hosts.filter(host => host.name === name).forEach(host => this.dispatcher.removeHost(host));
        this.hosts = this.hosts.filter(host => host.name !== name);
    }

    /** Sends a request about one executor; the first letter of the step chooses its rules. */
    send(step: string): AdviceSendResult {
        const key = toId<StepKey>(step);
        const executors = [toId<ExecutorId>("e0")];
        const request = { step: key, queue: toId<QueueId>("queue"), executors, isOverdue: false };
        const result = this.dispatcher.send(request, getRules(key));
        this.sent += result === "sent" ? 1 : 0;
        return result;
    }

    /**
     * Keeps requests of one kind due, as the scheduler does, for `durationMs`: at most `maxPending` steps have a call in
     * flight. Returns the most calls that the advisor held for one host at a time.
     */
    async sendRepeatedly(kind: string, durationMs: number, maxPending = 1): Promise<number> {
        let mostQueued = 0;
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
            this.sendAll(kind, maxPending);
            await this.clock.advance(10);
            const queued = this.hosts.map(({ name }) => this.service.getAdvisor(name).queueLength);
            mostQueued = Math.max(mostQueued, ...queued);
        }
        return mostQueued;
    }

    /**
     * Sends requests until `maxPending` calls are in flight or one has to wait, like a round of the scheduler. Returns
     * whether the round may go on to other steps.
     */
    sendAll(kind: string, maxPending: number): boolean {
        let result: AdviceSendResult = "sent";
        while (result === "sent" && this.sent - this.answers.length < maxPending) {
            result = this.send(`${kind}${this.sent}`);
        }
        return result !== "noHost";
    }

    countGranted(): number {
        return this.answers.filter(({ isGranted }) => isGranted).length;
    }

    /** Returns the state of a host as the dispatcher has it. */
    getHost(name: string): ReturnType<AdviceDispatcher["listHostStates"]>[number] {
        return this.dispatcher.listHostStates().find(host => host.name === name)!;
    }

    /** Returns the lines of one kind. */
    listLines(message: string): LogFields[] {
        return this.lines.filter(line => line.message === message).map(({ fields }) => fields);
    }
}

/** An advisor that is reached through a far host. */
class DelayedAdvisor extends Advisor {
    constructor(
        private readonly advisor: Advisor,
        private readonly clock: ManualClock,
        private readonly delayMs: number,
    ) {
        super();
    }

    override async ask(...call: Parameters<Advisor["ask"]>): ReturnType<Advisor["ask"]> {
        await this.clock.wait(this.delayMs);
        return this.advisor.ask(...call);
    }
}

function isRejected(step: StepKey): boolean {
    return step.startsWith("r");
}

function getRules(step: StepKey): AdviceRules {
    return fixtureRules[step[0]!]!;
}
