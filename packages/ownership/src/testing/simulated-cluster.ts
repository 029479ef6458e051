/**
 * Three hosts, the store and the network between them in simulated true time, for tests of the state machine.
 *
 * The clocks of the hosts have different rates and offsets. Messages can be lost, delayed and delivered to a later
 * incarnation of the receiver. Store calls can be lost before or after they take effect.
 */
import { SeededRandom, toId } from "@waxwingroute/core";
import type { HostId, IncarnationId } from "@waxwingroute/core";
import { applyOwnershipEvent, createOwnershipState } from "../machine.js";
import type { OwnershipRecord } from "../messages.js";
import { computeRightEnd } from "../right.js";
import type {
    OwnershipAction,
    OwnershipEvent,
    OwnershipState,
    OwnershipTimings,
    RecordReadResult,
    WriteResult,
} from "../types.js";
import { EventQueue } from "./event-queue.js";

/** A host, its clock, and the process that runs on it. */
export interface SimulatedHost {
    readonly id: HostId;
    /** Rate of the host's clock relative to true time. */
    readonly rate: number;
    /** Time of the host's clock at true time 0, in ms. */
    readonly offset: number;
    incarnation: number;
    /** `undefined` while no process runs. */
    state: OwnershipState | undefined;
    pausedUntil: number;
    isStoreReachable: boolean;
    /** True time until which the state after the last event allows placing. */
    placementEnd: number;
    /** Last true time at which this host could place in an earlier generation or incarnation. */
    previousPlacementEnd: number;
    /** Incarnation and generation of the current right. */
    generation: string;
}

export interface SimulatedClusterOptions {
    readonly seed: number;
    readonly timings: OwnershipTimings;
    /** Returns until when a state allows placing, by the host's clock. Tests replace it to break a rule on purpose. */
    readonly computePlacementEnd?: (state: OwnershipState) => number;
    /** Rates of the three clocks. Default: random, from 1 to 1.01. */
    readonly rates?: readonly number[];
}

/** Returns until when the state machine allows placing, by the host's clock; minus infinity if it does not. */
export function computeDefaultPlacementEnd(state: OwnershipState): number {
    return state.right === undefined || state.right.isRecovering ? -Infinity : computeRightEnd(state);
}

/** Runs the state machine on three hosts and records when two of them could place. */
export class SimulatedCluster {
    readonly queue = new EventQueue();
    readonly random: SeededRandom;
    readonly hosts: readonly SimulatedHost[];
    readonly violations: string[] = [];
    readonly visitedStates = new Set<string>();
    /** Rights gained so far, by basis. */
    readonly gainCounts: Record<string, number> = { store: 0, consent: 0, solo: 0 };
    /** Links, written as `from>to`, over which no message arrives. */
    readonly blockedLinks = new Set<string>();
    /** The stored record. */
    record: { readonly record: OwnershipRecord; readonly revision: number; } | undefined;
    /** Fraction of the messages that are lost. */
    messageLossRate = 0;
    /** Fraction of the messages that take up to `longDelayMs`. */
    messageDelayRate = 0;
    /** Fraction of the store calls whose answers are lost. Half as many calls are lost before they take effect. */
    storeLossRate = 0;
    /** Fraction of the store calls and of their answers that take up to `longDelayMs`. */
    storeDelayRate = 0;
    longDelayMs = 4_000;

    constructor(private readonly options: SimulatedClusterOptions) {
        this.random = new SeededRandom(options.seed);
        this.hosts = ["a", "b", "c"].map((name, index) => ({
            id: toId<HostId>(name),
            rate: options.rates?.[index] ?? 1 + this.random.getFloat() * 0.01,
            offset: this.random.getInteger(1_000_000),
            incarnation: 0,
            state: undefined,
            pausedUntil: 0,
            isStoreReachable: true,
            placementEnd: -Infinity,
            previousPlacementEnd: -Infinity,
            generation: "",
        }));
        this.hosts.forEach(host => this.startHost(host));
    }

    getHost(id: string): SimulatedHost {
        const host = this.hosts.find(other => other.id === id);
        if (host === undefined) {
            throw new Error(`the simulated cluster has no host "${id}"`);
        }
        return host;
    }

    /** Returns the ids of the hosts that may place now. */
    listPlacingHosts(): string[] {
        return this.hosts.filter(host => this.queue.now < host.placementEnd).map(host => host.id);
    }

    startHost(host: SimulatedHost): void {
        if (host.state === undefined) {
            host.incarnation++;
            host.pausedUntil = 0;
            const incarnation = toId<IncarnationId>(`${host.id}${host.incarnation}`);
            const hosts = this.hosts.map(({ id }) => id);
            const settings = { self: host.id, incarnation, hosts, timings: this.options.timings };
            host.state = createOwnershipState(settings, this.getLocalTime(host));
            this.tick(host, host.incarnation);
        }
    }

    stopHost(host: SimulatedHost): void {
        this.closePlacementInterval(host);
        host.placementEnd = -Infinity;
        host.state = undefined;
    }

    /** Sets whether the hosts with these ids reach the store; without ids, all hosts. */
    setStoreReachable(isReachable: boolean, ...ids: string[]): void {
        for (const host of this.hosts) {
            host.isStoreReachable = ids.length === 0 || ids.includes(host.id) ? isReachable : host.isStoreReachable;
        }
    }

    /** Blocks the messages between two hosts in both directions. */
    disconnectHosts(first: string, second: string): void {
        this.blockedLinks.add(`${first}>${second}`).add(`${second}>${first}`);
    }

    /** Delivers an event to this incarnation of a host, after the pause if the host is paused. */
    processEvent(host: SimulatedHost, incarnation: number, event: OwnershipEvent): void {
        if (host.state === undefined || host.incarnation !== incarnation) {
            return;
        }
        if (this.queue.now < host.pausedUntil) {
            const waitMs = host.pausedUntil - this.queue.now + this.random.getFloat() * 5;
            this.queue.schedule(waitMs, () => this.processEvent(host, incarnation, event));
            return;
        }
        const { state, actions } = applyOwnershipEvent(host.state, event, this.getLocalTime(host));
        host.state = state;
        this.updatePlacementInterval(host, state);
        actions.forEach(action => this.performAction(host, action));
        this.checkExclusivity(host);
    }

    private tick(host: SimulatedHost, incarnation: number): void {
        if (host.state !== undefined && host.incarnation === incarnation) {
            this.processEvent(host, incarnation, { kind: "tick" });
            this.queue.schedule(80 + this.random.getFloat() * 60, () => this.tick(host, incarnation));
        }
    }

    private getLocalTime(host: SimulatedHost): number {
        return host.offset + this.queue.now * host.rate;
    }

    private performAction(host: SimulatedHost, action: OwnershipAction): void {
        switch (action.kind) {
            case "readRecord":
                return this.readRecord(host, action.requestId);
            case "writeRecord":
                return this.writeRecord(host, action.record, action.expected);
            case "sendHeartbeat":
                return this.send(host, action.to, { kind: "heartbeatReceived", heartbeat: action.heartbeat });
            case "sendArm":
                return this.send(host, action.to, { kind: "armRequested", request: action.request });
            case "sendDisarm":
                return this.send(host, action.to, { kind: "disarmRequested", request: action.request });
            case "sendRelease":
                return this.send(host, action.to, { kind: "releaseRequested", request: action.request });
            case "sendIdentify":
                return this.send(host, action.to, { kind: "identifyRequested", request: action.request });
            case "rightGained":
                this.gainCounts[action.basis] = (this.gainCounts[action.basis] ?? 0) + 1;
                return this.scheduleRecovery(host, action.generation, action.waitMs);
            default:
        }
    }

    private scheduleRecovery(host: SimulatedHost, generation: number, waitMs: number): void {
        const { incarnation } = host;
        this.queue.schedule(
            waitMs / host.rate + this.random.getFloat() * 50,
            () => this.processEvent(host, incarnation, { kind: "recoveryCompleted", generation }),
        );
    }

    /** Sends a message and delivers the receiver's reply, if any, to the process that sent it. */
    private send(from: SimulatedHost, to: HostId, event: OwnershipEvent): void {
        const receiver = this.getHost(to);
        const { incarnation } = from;
        this.sendOverLink(from.id, to, () => {
            const receiverIncarnation = receiver.incarnation;
            this.processRequest(
                receiver,
                receiverIncarnation,
                event,
                answer => this.sendOverLink(to, from.id, () => this.processEvent(from, incarnation, answer)),
            );
        });
    }

    private processRequest(
        host: SimulatedHost,
        incarnation: number,
        event: OwnershipEvent,
        reply: (answer: OwnershipEvent) => void,
    ): void {
        if (this.queue.now < host.pausedUntil && host.state !== undefined) {
            this.queue.schedule(
                host.pausedUntil - this.queue.now,
                () => this.processRequest(host, incarnation, event, reply),
            );
            return;
        }
        if (host.state === undefined || host.incarnation !== incarnation) {
            return;
        }
        const { state, actions } = applyOwnershipEvent(host.state, event, this.getLocalTime(host));
        host.state = state;
        this.updatePlacementInterval(host, state);
        for (const action of actions) {
            if (action.kind === "replyArm") {
                reply({ kind: "armAnswered", answer: action.answer });
            }
            else if (action.kind === "replyDisarm") {
                reply({ kind: "disarmAnswered", answer: action.answer });
            }
            else if (action.kind === "replyRelease") {
                reply({ kind: "releaseAnswered", answer: action.answer });
            }
            else if (action.kind === "replyIdentify") {
                reply({ kind: "identifyAnswered", answer: action.answer });
            }
            else {
                this.performAction(host, action);
            }
        }
        this.checkExclusivity(host);
    }

    private sendOverLink(from: string, to: string, deliver: () => void): void {
        if (!this.blockedLinks.has(`${from}>${to}`) && this.random.getFloat() >= this.messageLossRate) {
            this.queue.schedule(this.chooseDelayMs(this.messageDelayRate), deliver);
        }
    }

    private chooseDelayMs(delayRate: number): number {
        return this.random.getFloat() < delayRate
            ? this.random.getFloat() * this.longDelayMs
            : 0.5 + this.random.getFloat() * 4;
    }

    private readRecord(host: SimulatedHost, requestId: number): void {
        const { incarnation } = host;
        this.callStore(host, () => {
            const result: RecordReadResult = this.record === undefined
                ? { kind: "absent" }
                : { kind: "found", ...this.record };
            return () => this.processEvent(host, incarnation, { kind: "recordRead", requestId, result });
        }, () => this.processEvent(host, incarnation, { kind: "recordRead", requestId, result: { kind: "failed" } }));
    }

    private writeRecord(host: SimulatedHost, record: OwnershipRecord, expected: number | undefined): void {
        const { incarnation } = host;
        const createReply = (result: WriteResult) => (): void =>
            this.processEvent(host, incarnation, { kind: "writeAnswered", token: record.token, result });
        if (!host.isStoreReachable && this.random.getFloat() < 0.5) {
            this.queue.schedule(1, createReply({ kind: "notSent" }));
            return;
        }
        this.callStore(host, () => {
            if (this.record?.revision !== expected) {
                return createReply({ kind: "conflict" });
            }
            this.record = { record, revision: (this.record?.revision ?? 0) + 1 };
            return createReply({ kind: "written", revision: this.record.revision });
        }, createReply({ kind: "unknown" }));
    }

    /**
     * Loses the call or its answer at random and reports the failure after 0.5 to 2 s. If the host can no longer reach
     * the store when the call takes effect, it gets no answer at all.
     */
    private callStore(host: SimulatedHost, execute: () => () => void, reportFailure: () => void): void {
        const isLost = !host.isStoreReachable || this.random.getFloat() < this.storeLossRate / 2;
        const isAnswerLost = this.random.getFloat() < this.storeLossRate;
        if (!isLost) {
            this.queue.schedule(this.chooseDelayMs(this.storeDelayRate), () => {
                const deliverAnswer = execute();
                if (!isAnswerLost && host.isStoreReachable) {
                    this.queue.schedule(this.chooseDelayMs(this.storeDelayRate), deliverAnswer);
                }
            });
        }
        if (isLost || isAnswerLost) {
            this.queue.schedule(500 + this.random.getFloat() * 1_500, reportFailure);
        }
    }

    /** Records until when the earlier generation of a host could place, and until when the current one can. */
    private updatePlacementInterval(host: SimulatedHost, state: OwnershipState): void {
        const generation = `${host.incarnation}.${state.right?.generation ?? "none"}`;
        if (generation !== host.generation) {
            this.closePlacementInterval(host);
            host.generation = generation;
        }
        const computePlacementEnd = this.options.computePlacementEnd ?? computeDefaultPlacementEnd;
        host.placementEnd = (computePlacementEnd(state) - host.offset) / host.rate;
        const label = `${host.id}${state.owner?.basis ?? "-"}${state.owner?.isHandingOver === true ? "h" : ""}`
            + `${state.successor.solo !== undefined ? "s" : state.successor.armed !== undefined ? "a" : ""}`
            + `${state.right === undefined ? "" : state.right.isRecovering ? "r" : "p"}${state.pending.length}`;
        this.visitedStates.add(label + this.hosts.map(other => this.describeHost(other)).join("/"));
    }

    private closePlacementInterval(host: SimulatedHost): void {
        host.previousPlacementEnd = Math.max(host.previousPlacementEnd, Math.min(this.queue.now, host.placementEnd));
    }

    private describeHost({ state, isStoreReachable, pausedUntil }: SimulatedHost): string {
        const successorMode = state?.successor.solo !== undefined
            ? "solo"
            : state?.successor.armed !== undefined
            ? "armed"
            : "";
        const rightPhase = state?.right === undefined ? "" : state.right.isRecovering ? "recovering" : "placing";
        const isPaused = this.queue.now < pausedUntil;
        return `${
            state === undefined ? "dead" : state.owner?.basis ?? "none"
        }${successorMode}${rightPhase}${isStoreReachable}${isPaused}`;
    }

    /** Records a violation if a host can place while another one can, or can have a start in flight. */
    private checkExclusivity(host: SimulatedHost): void {
        const { now } = this.queue;
        if (now >= host.placementEnd) {
            return;
        }
        for (const other of this.hosts) {
            const otherPlacementEnd = Math.max(other.previousPlacementEnd, Math.min(now, other.placementEnd));
            const inFlightMs = this.options.timings.startInFlightMs / other.rate;
            if (other !== host && otherPlacementEnd > now - inFlightMs) {
                this.violations.push(
                    `seed ${this.options.seed}: ${host.id} may place at ${now.toFixed(1)}, `
                        + `${other.id} until ${otherPlacementEnd.toFixed(1)}`,
                );
            }
        }
    }
}
