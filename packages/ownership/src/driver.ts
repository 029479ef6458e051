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

/** What the scheduler does when its right changes. Calls come in order, from within driver methods and timers. */
export interface OwnershipListener {
    /** Begin recovery: `waitMs` from now at the earliest, call `completeRecovery(generation)`. */
    onRightGained(
        right: {
            readonly generation: number;
            readonly epoch: number;
            readonly basis: RightBasis;
            readonly waitMs: number;
        },
    ): void;
    /** Stop placing. `canPlace()` has been false since the right ended, which can be earlier than this call. */
    onRightLost(generation: number): void;
    /** The record names the successor as owner after `startHandover()`. */
    onHandedOver?(): void;
    /** A fault that an operator should see, for example a record of a newer version. */
    onFault?(failure: Failure): void;
}

export interface OwnershipDriverOptions {
    readonly shard: ShardId;
    readonly self: HostId;
    /** Random id generated at process start, after the process has bound its configured address. */
    readonly incarnation: IncarnationId;
    /** All entry hosts of the zone, most preferred first. */
    readonly hosts: readonly HostId[];
    readonly store: Store;
    readonly clock: Clock;
    readonly peers: OwnershipPeers;
    readonly listener: OwnershipListener;
    /** Period of the driver's timer in ms. Default 100. */
    readonly tickMs?: number;
    /** Default: `defaultOwnershipTimings`. */
    readonly timings?: Partial<OwnershipTimings>;
}

/**
 * Runs ownership of one shard on one host.
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

    /** Stops the timer and ignores later answers. The right is not given up in the store: call `startHandover()` before. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
    }

    /** Whether this host may place now. Check it after each decision and immediately before each send. */
    canPlace(): boolean {
        return !this.isStopped && canPlace(this.state, this.options.clock.getNow());
    }

    /** The present state, for explanations and health reports. */
    getState(): OwnershipState {
        return this.state;
    }

    /** The epoch of the right held or being recovered; `undefined` without one. */
    getEpoch(): number | undefined {
        return this.state.right?.epoch;
    }

    /** The owner that the newest known record names; it may have lost its right since. */
    getKnownOwner(): HostId | undefined {
        return this.state.known?.record.owner;
    }

    /**
     * Ends the recovery of a right, so that `canPlace()` can become true. Returns whether it did: `false` when the right has
     * been lost or replaced since, or when the wait of `onRightGained` is not over.
     */
    completeRecovery(generation: number): boolean {
        this.applyEvent({ kind: "recoveryCompleted", generation });
        return this.state.right?.generation === generation && !this.state.right.isRecovering;
    }

    /** Gives up the right and names the successor as owner. Returns whether a live successor is there to take it. */
    startHandover(): boolean {
        this.applyEvent({ kind: "handOver" });
        return this.state.owner?.isHandingOver === true;
    }

    /** Applies the operator's statement that the silent owner or successor has ended. The caller logs who issued it. */
    applyForceRelease(): void {
        this.applyEvent({ kind: "forceRelease" });
    }

    /** Handles a heartbeat from another host. */
    handleHeartbeat(heartbeat: Heartbeat): void {
        this.applyEvent({ kind: "heartbeatReceived", heartbeat });
    }

    /** Handles a consent request of the owner. */
    handleArm(request: ArmRequest): Result<ArmAnswer, Failure> {
        const actions = this.applyEvent({ kind: "armRequested", request });
        return this.toReplyResult(actions.flatMap(action => action.kind === "replyArm" ? [action.answer] : []));
    }

    handleDisarm(request: DisarmRequest): Result<DisarmAnswer, Failure> {
        const actions = this.applyEvent({ kind: "disarmRequested", request });
        return this.toReplyResult(actions.flatMap(action => action.kind === "replyDisarm" ? [action.answer] : []));
    }

    handleRelease(request: ReleaseRequest): Result<ReleaseAnswer, Failure> {
        const actions = this.applyEvent({ kind: "releaseRequested", request });
        return this.toReplyResult(actions.flatMap(action => action.kind === "replyRelease" ? [action.answer] : []));
    }

    handleIdentify(request: IdentifyRequest): Result<IdentifyAnswer, Failure> {
        const actions = this.applyEvent({ kind: "identifyRequested", request });
        return this.toReplyResult(actions.flatMap(action => action.kind === "replyIdentify" ? [action.answer] : []));
    }

    private toReplyResult<Answer>(answers: readonly Answer[]): Result<Answer, Failure> {
        const answer = answers[0];
        return answer === undefined
            ? Err(createFailure("ownership-stopped", `ownership of ${this.options.shard} has stopped here`, "notRun"))
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
