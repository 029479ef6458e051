/**
 * Three hosts, the store and the network between them in simulated true time, for tests of the state machine.
 *
 * Hosts have clocks of different rates and offsets. Messages can be lost, delayed and delivered to a later incarnation of
 * the receiver. Store calls can be lost before or after they take effect.
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
    RecordReading,
    WriteAnswer,
} from "../types.js";
import { EventQueue } from "./event-queue.js";

export interface SimulatedHost {
    readonly id: HostId;
    readonly rate: number;
    readonly offset: number;
    incarnation: number;
    /** `undefined` while the process does not run. */
    state: OwnershipState | undefined;
    pausedUntil: number;
    hasStore: boolean;
    /** True time until which this host's clock allows placing, as of its last event. */
    placeUntil: number;
    /** Last true time at which an earlier generation or incarnation of this host could place. */
    placedUntil: number;
    generation: string;
}

export interface CellOptions {
    readonly seed: number;
    readonly timings: OwnershipTimings;
    /** Returns until when a state allows placing, by the host's clock. Tests replace it to show that a rule is needed. */
    readonly computePlaceEnd?: (state: OwnershipState) => number;
    /** Rates of the three clocks. Default: random within 1%. */
    readonly rates?: readonly number[];
}

/** Returns until when a state allows placing by the rules; minus infinity if it does not. */
export function computeLawfulEnd(state: OwnershipState): number {
    return state.right === undefined || state.right.isRecovering ? -Infinity : computeRightEnd(state);
}

export class SimulatedCell {
    readonly queue = new EventQueue();
    readonly random: SeededRandom;
    readonly hosts: readonly SimulatedHost[];
    readonly violations: string[] = [];
    readonly visited = new Set<string>();
    readonly gains: Record<string, number> = { store: 0, consent: 0, solo: 0 };
    /** Pairs `from>to` that cannot communicate. */
    readonly cutLinks = new Set<string>();
    record: { readonly record: OwnershipRecord; readonly revision: number; } | undefined;
    lossRate = 0;
    /** Part of the messages that take up to `longDelayMs`. */
    delayRate = 0;
    /** Part of the store calls that are lost, before or after they take effect, and of those that are delayed. */
    storeLossRate = 0;
    storeDelayRate = 0;
    longDelayMs = 4_000;

    constructor(private readonly options: CellOptions) {
        this.random = new SeededRandom(options.seed);
        this.hosts = ["a", "b", "c"].map((name, index) => ({
            id: toId<HostId>(name),
            rate: options.rates?.[index] ?? 1 + this.random.getFloat() * 0.01,
            offset: this.random.getInteger(1_000_000),
            incarnation: 0,
            state: undefined,
            pausedUntil: 0,
            hasStore: true,
            placeUntil: -Infinity,
            placedUntil: -Infinity,
            generation: "",
        }));
        this.hosts.forEach(host => this.startHost(host));
    }

    getHost(id: string): SimulatedHost {
        const host = this.hosts.find(other => other.id === id);
        if (host === undefined) {
            throw new Error(`no host "${id}"`);
        }
        return host;
    }

    /** Names the hosts that may place now. */
    listPlacing(): string[] {
        return this.hosts.filter(host => this.queue.now < host.placeUntil).map(host => host.id);
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
        this.closeInterval(host);
        host.placeUntil = -Infinity;
        host.state = undefined;
    }

    setStore(isUp: boolean, ...ids: string[]): void {
        for (const host of this.hosts) {
            host.hasStore = ids.length === 0 || ids.includes(host.id) ? isUp : host.hasStore;
        }
    }

    disconnectHosts(first: string, second: string): void {
        this.cutLinks.add(`${first}>${second}`).add(`${second}>${first}`);
    }

    /** Delivers an event to a host's process, after its pause if it is paused. */
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
        this.updateInterval(host, state);
        actions.forEach(action => this.performAction(host, action));
        this.checkPlacing(host);
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
                this.gains[action.basis] = (this.gains[action.basis] ?? 0) + 1;
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

    /** Sends a message and returns the receiver's reply, if any, to the sending process. */
    private send(from: SimulatedHost, to: HostId, event: OwnershipEvent): void {
        const receiver = this.getHost(to);
        const { incarnation } = from;
        this.sendOver(from.id, to, () => {
            const target = receiver.incarnation;
            this.processRequest(
                receiver,
                target,
                event,
                answer => this.sendOver(to, from.id, () => this.processEvent(from, incarnation, answer)),
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
        this.updateInterval(host, state);
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
        this.checkPlacing(host);
    }

    private sendOver(from: string, to: string, arrive: () => void): void {
        if (!this.cutLinks.has(`${from}>${to}`) && this.random.getFloat() >= this.lossRate) {
            this.queue.schedule(this.chooseDelay(this.delayRate), arrive);
        }
    }

    private chooseDelay(delayRate: number): number {
        return this.random.getFloat() < delayRate
            ? this.random.getFloat() * this.longDelayMs
            : 0.5 + this.random.getFloat() * 4;
    }

    private readRecord(host: SimulatedHost, requestId: number): void {
        const { incarnation } = host;
        this.requestStore(host, () => {
            const reading: RecordReading = this.record === undefined
                ? { kind: "absent" }
                : { kind: "found", ...this.record };
            return () => this.processEvent(host, incarnation, { kind: "recordRead", requestId, reading });
        }, () => this.processEvent(host, incarnation, { kind: "recordRead", requestId, reading: { kind: "failed" } }));
    }

    private writeRecord(host: SimulatedHost, record: OwnershipRecord, expected: number | undefined): void {
        const { incarnation } = host;
        const answerWith = (answer: WriteAnswer) => (): void =>
            this.processEvent(host, incarnation, { kind: "writeAnswered", token: record.token, answer });
        if (!host.hasStore && this.random.getFloat() < 0.5) {
            this.queue.schedule(1, answerWith({ kind: "notSent" }));
            return;
        }
        this.requestStore(host, () => {
            if (this.record?.revision !== expected) {
                return answerWith({ kind: "conflict" });
            }
            this.record = { record, revision: (this.record?.revision ?? 0) + 1 };
            return answerWith({ kind: "written", revision: this.record.revision });
        }, answerWith({ kind: "unknown" }));
    }

    /** Loses the call or its answer at random; then the failure is reported late or never. */
    private requestStore(host: SimulatedHost, run: () => () => void, fail: () => void): void {
        const isLost = !host.hasStore || this.random.getFloat() < this.storeLossRate / 2;
        const isAnswerLost = this.random.getFloat() < this.storeLossRate;
        if (!isLost) {
            this.queue.schedule(this.chooseDelay(this.storeDelayRate), () => {
                const answer = run();
                if (!isAnswerLost && host.hasStore) {
                    this.queue.schedule(this.chooseDelay(this.storeDelayRate), answer);
                }
            });
        }
        if (isLost || isAnswerLost) {
            this.queue.schedule(500 + this.random.getFloat() * 1_500, fail);
        }
    }

    /** Notes until when the earlier generation of this host could place, and until when this one can. */
    private updateInterval(host: SimulatedHost, state: OwnershipState): void {
        const generation = `${host.incarnation}.${state.right?.generation ?? "none"}`;
        if (generation !== host.generation) {
            this.closeInterval(host);
            host.generation = generation;
        }
        const computePlaceEnd = this.options.computePlaceEnd ?? computeLawfulEnd;
        host.placeUntil = (computePlaceEnd(state) - host.offset) / host.rate;
        const label = `${host.id}${state.owner?.basis ?? "-"}${state.owner?.isHandingOver === true ? "h" : ""}`
            + `${state.successor.solo !== undefined ? "s" : state.successor.armed !== undefined ? "a" : ""}`
            + `${state.right === undefined ? "" : state.right.isRecovering ? "r" : "p"}${state.pending.length}`;
        this.visited.add(label + this.hosts.map(other => this.describeHost(other)).join("/"));
    }

    private closeInterval(host: SimulatedHost): void {
        host.placedUntil = Math.max(host.placedUntil, Math.min(this.queue.now, host.placeUntil));
    }

    private describeHost({ state, hasStore, pausedUntil }: SimulatedHost): string {
        const side = state?.successor.solo !== undefined ? "solo" : state?.successor.armed !== undefined ? "armed" : "";
        const right = state?.right === undefined ? "" : state.right.isRecovering ? "recovering" : "placing";
        const isPaused = this.queue.now < pausedUntil;
        return `${state === undefined ? "dead" : state.owner?.basis ?? "none"}${side}${right}${hasStore}${isPaused}`;
    }

    /** Checks that no other host can place now, nor has a start in flight. */
    private checkPlacing(host: SimulatedHost): void {
        const { now } = this.queue;
        if (now >= host.placeUntil) {
            return;
        }
        for (const other of this.hosts) {
            const lastPlaced = Math.max(other.placedUntil, Math.min(now, other.placeUntil));
            const inFlightMs = this.options.timings.startInFlightMs / other.rate;
            if (other !== host && lastPlaced > now - inFlightMs) {
                this.violations.push(
                    `seed ${this.options.seed}: ${host.id} may place at ${now.toFixed(1)}, `
                        + `${other.id} until ${lastPlaced.toFixed(1)}`,
                );
            }
        }
    }
}
