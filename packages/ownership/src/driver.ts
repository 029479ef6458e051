/**
 * Connects the state machine of one shard to the store, the clock and the other hosts.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Clock, Failure, HostId, IncarnationId, Result, ShardId, Timer } from "@waxwingroute/core";
import type { Store, StoreEntry } from "@waxwingroute/platform";
import { match } from "ts-pattern";
import { applyOwnershipEvent, createOwnershipState } from "./machine.js";
import type {
    ArmAnswer,
    ArmRequest,
    DisarmAnswer,
    DisarmRequest,
    Heartbeat,
    IdentifyAnswer,
    IdentifyRequest,
    OwnershipRecord,
    ReleaseAnswer,
    ReleaseRequest,
} from "./messages.js";
import type { OwnershipPeers } from "./peers.js";
import { encodeOwnershipRecord, parseOwnershipRecord } from "./record.js";
import { canPlace } from "./right.js";
import { defaultOwnershipTimings } from "./types.js";
import type {
    OwnershipAction,
    OwnershipEvent,
    OwnershipState,
    OwnershipTimings,
    RecordReadResult,
    RightBasis,
    WriteResult,
} from "./types.js";

/** Receives the changes of this host's right. Calls come in order, from within driver methods and timers. */
export interface OwnershipListener {
    /** Begin the recovery. Call `completeRecovery(generation)` at its end, but not earlier than `waitMs` from now. */
    onRightGained(
        right: {
            readonly generation: number;
            readonly epoch: number;
            readonly basis: RightBasis;
            readonly waitMs: number;
        },
    ): void;
    /** Stop placing. `canPlace()` has returned `false` since the right ended, which can be earlier than this call. */
    onRightLost(generation: number): void;
    /** The record names the successor as owner after `startHandover()`. */
    onHandedOver?(): void;
    /** A fault that an operator must know of, for example a record of a newer version in the store. */
    onFault?(failure: Failure): void;
}

/** Identity of this process, the hosts that can own the shard, and the driver's connections. */
export interface OwnershipDriverOptions {
    readonly shard: ShardId;
    readonly self: HostId;
    /**
     * Random id generated at process start, after the process has bound its configured address. A new one therefore
     * proves that earlier processes on that address have ended.
     */
    readonly incarnation: IncarnationId;
    /** All entry hosts of the zone, most preferred first. */
    readonly hosts: readonly HostId[];
    readonly store: Store;
    readonly clock: Clock;
    readonly peers: OwnershipPeers;
    readonly listener: OwnershipListener;
    /** Period of the driver's timer in ms. Default 100. */
    readonly tickMs?: number;
    /** Durations that differ from `defaultOwnershipTimings`. All hosts of a zone must use the same. */
    readonly timings?: Partial<OwnershipTimings>;
}

/**
 * Takes part in the ownership of one shard on behalf of one host.
 *
 * @example
 * ```ts
 * const driver = new OwnershipDriver({ shard, self, incarnation, hosts, store, clock, peers, listener });
 * driver.start();
 * if (driver.canPlace()) {
 *     send(start);
 * }
 * ```
 */
export class OwnershipDriver {
    private state: OwnershipState;
    private timer: Timer | undefined;
    private isStopped = false;
    private readonly recordKey: string;

    constructor(private readonly options: OwnershipDriverOptions) {
        const { self, incarnation, hosts, clock, shard } = options;
        const timings = { ...defaultOwnershipTimings, ...options.timings };
        this.recordKey = `owner/${shard}`;
        this.state = createOwnershipState({ self, incarnation, hosts, timings }, clock.getNow());
    }

    /** Starts the timer. */
    start(): void {
        this.isStopped = false;
        this.runTick();
    }

    /**
     * Stops the timer and ignores later answers. Does not give up the right in the store: call `startHandover()`
     * before, or the successor waits until the right expires.
     */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
    }

    /** Returns whether this host may place now. Check it after each decision and immediately before each send. */
    canPlace(): boolean {
        return !this.isStopped && canPlace(this.state, this.options.clock.getNow());
    }

    /** Returns the current state, for explanations and health reports. */
    getState(): OwnershipState {
        return this.state;
    }

    /** Returns the epoch of the right that this host has or is recovering; `undefined` without one. */
    getEpoch(): number | undefined {
        return this.state.right?.epoch;
    }

    /** Returns the owner that the newest known record names. It may have lost its right since. */
    getKnownOwner(): HostId | undefined {
        return this.state.known?.record.owner;
    }

    /**
     * Ends the recovery of a right, so that `canPlace()` can return `true`. Returns `false` if the right has been lost
     * or replaced since, or if the `waitMs` of `onRightGained` is not over.
     */
    completeRecovery(generation: number): boolean {
        this.applyEvent({ kind: "recoveryCompleted", generation });
        return this.state.right?.generation === generation && !this.state.right.isRecovering;
    }

    /**
     * Gives up the right and writes the successor into the record as the new owner. Returns `false`, without effect, if
     * no successor is alive, or in consent mode.
     */
    startHandover(): boolean {
        this.applyEvent({ kind: "handOver" });
        return this.state.owner?.isHandingOver === true;
    }

    /**
     * Applies the operator's statement that the unreachable owner or successor has ended. If it is wrong, two hosts can
     * place. The caller logs who issued it.
     */
    applyForceRelease(): void {
        this.applyEvent({ kind: "forceRelease" });
    }

    /** Handles a heartbeat from another host. */
    handleHeartbeat(heartbeat: Heartbeat): void {
        this.applyEvent({ kind: "heartbeatReceived", heartbeat });
    }

    /** Handles an arm request of the owner. */
    handleArm(request: ArmRequest): Result<ArmAnswer, Failure> {
        const actions = this.applyEvent({ kind: "armRequested", request });
        return this.toReplyResult(actions.flatMap(action => action.kind === "replyArm" ? [action.answer] : []));
    }

    /** Handles a disarm request of the owner. */
    handleDisarm(request: DisarmRequest): Result<DisarmAnswer, Failure> {
        const actions = this.applyEvent({ kind: "disarmRequested", request });
        return this.toReplyResult(actions.flatMap(action => action.kind === "replyDisarm" ? [action.answer] : []));
    }

    /** Handles a release request of a third host. */
    handleRelease(request: ReleaseRequest): Result<ReleaseAnswer, Failure> {
        const actions = this.applyEvent({ kind: "releaseRequested", request });
        return this.toReplyResult(actions.flatMap(action => action.kind === "replyRelease" ? [action.answer] : []));
    }

    /** Handles a request for the incarnation of this process. */
    handleIdentify(request: IdentifyRequest): Result<IdentifyAnswer, Failure> {
        const actions = this.applyEvent({ kind: "identifyRequested", request });
        return this.toReplyResult(actions.flatMap(action => action.kind === "replyIdentify" ? [action.answer] : []));
    }

    private toReplyResult<Answer>(answers: readonly Answer[]): Result<Answer, Failure> {
        const answer = answers[0];
        return answer === undefined
            ? Err(
                createFailure(
                    "ownership-stopped",
                    `ownership of shard ${this.options.shard} is stopped on this host`,
                    "notRun",
                ),
            )
            : Ok(answer);
    }

    private runTick(): void {
        if (this.isStopped) {
            return;
        }
        this.applyEvent({ kind: "tick" });
        this.timer = this.options.clock.schedule(this.options.tickMs ?? 100, () => this.runTick());
    }

    private applyEvent(event: OwnershipEvent): readonly OwnershipAction[] {
        if (this.isStopped) {
            return [];
        }
        const { state, actions } = applyOwnershipEvent(this.state, event, this.options.clock.getNow());
        this.state = state;
        for (const action of actions) {
            this.performAction(action);
        }
        return actions;
    }

    private performAction(action: OwnershipAction): void {
        const { peers, listener } = this.options;
        match(action)
            .with({ kind: "readRecord" }, ({ requestId }) => void this.readRecord(requestId))
            .with({ kind: "writeRecord" }, ({ record, expected }) => void this.writeRecord(record, expected))
            .with({ kind: "sendHeartbeat" }, ({ to, heartbeat }) => void peers.sendHeartbeat(to, heartbeat))
            .with({ kind: "sendArm" }, ({ to, request }) => {
                void this.awaitAnswer(peers.arm(to, request), answer => ({ kind: "armAnswered", answer }));
            })
            .with({ kind: "sendDisarm" }, ({ to, request }) => {
                void this.awaitAnswer(peers.disarm(to, request), answer => ({ kind: "disarmAnswered", answer }));
            })
            .with({ kind: "sendRelease" }, ({ to, request }) => {
                void this.awaitAnswer(peers.release(to, request), answer => ({ kind: "releaseAnswered", answer }));
            })
            .with({ kind: "sendIdentify" }, ({ to, request }) => {
                void this.awaitAnswer(peers.identify(to, request), answer => ({ kind: "identifyAnswered", answer }));
            })
            .with({ kind: "rightGained" }, right => listener.onRightGained(right))
            .with({ kind: "rightLost" }, ({ generation }) => listener.onRightLost(generation))
            .with({ kind: "handedOver" }, () => listener.onHandedOver?.())
            .otherwise(() => {});
    }

    private async awaitAnswer<Answer>(
        call: Promise<Result<Answer, Failure>>,
        toEvent: (answer: Answer) => OwnershipEvent,
    ): Promise<void> {
        const result = await call;
        if (result.ok) {
            this.applyEvent(toEvent(result.val));
        }
    }

    private async readRecord(requestId: number): Promise<void> {
        const result = await this.options.store.read(this.recordKey);
        const readResult = result.ok ? this.toReadResult(result.val) : { kind: "failed" as const };
        this.applyEvent({ kind: "recordRead", requestId, result: readResult });
    }

    private toReadResult(entry: StoreEntry | undefined): RecordReadResult {
        if (entry === undefined) {
            return { kind: "absent" };
        }
        const parsed = parseOwnershipRecord(entry.value);
        if (!parsed.ok) {
            this.options.listener.onFault?.(parsed.val);
            return { kind: "unreadable" };
        }
        return { kind: "found", record: parsed.val, revision: entry.revision };
    }

    private async writeRecord(record: OwnershipRecord, expected: number | undefined): Promise<void> {
        const result = await this.options.store.write({
            key: this.recordKey,
            value: encodeOwnershipRecord(record),
            expected: expected === undefined ? { kind: "absent" } : { kind: "revision", revision: expected },
            token: record.token,
        });
        const writeResult: WriteResult = result.ok
            ? { kind: "written", revision: result.val }
            : result.val.code === "store-conflict"
            ? { kind: "conflict" }
            : { kind: result.val.verdict === "notRun" ? "notSent" : "unknown" };
        this.applyEvent({ kind: "writeAnswered", token: record.token, result: writeResult });
    }
}
