/**
 * RPC client of a host for the owner of the cell: follows jobs and heartbeats, and announces stored items to it.
 */
import type { Clock, JobId, NetworkAddress } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import { RpcClient } from "@waxwingroute/transport";
import type { RpcStream } from "@waxwingroute/transport";
import type { JobChange } from "@waxwingroute/workflow";
import { ownerQuestionMs } from "./call-times.js";
import type { CellUpdate } from "./cell-service.js";
import { cellService, decodeStates } from "./cell-service.js";
import type { StoreItem } from "./store.js";

/** Dependencies, identity and callbacks of `OwnerClient`. */
export interface OwnerClientOptions {
    readonly clock: Clock;
    readonly logger: LogWriter;
    /** Name of this host. */
    readonly host: string;
    /** At which the other hosts reach this one. */
    readonly address: NetworkAddress;
    /** Returns the open jobs that this host knows. */
    readonly listOpenJobs: () => readonly JobId[];
    /** Called with each message of the owner, after `onStates` with the states in it. */
    readonly onUpdate: (update: CellUpdate) => void;
    /** Called with states of jobs that the owner reports. It also reports their later changes. */
    readonly onStates: (statuses: readonly JobChange[]) => void;
    /** Called with jobs that the owner may not know yet and whose states it will report. */
    readonly onFollowed: (jobs: readonly JobId[]) => void;
    /** Called, at most once a second, while the owner is not heard from; another host may own the cell. */
    readonly onSilent: () => void;
}

/** Silence after which the stream is reopened, ms: three heartbeats. */
const maxSilenceMs = 1_500;
/** Silence up to which the owner counts as alive, ms: a heartbeat and its delay on a busy owner. */
const maxAliveSilenceMs = 800;
/** Interval of checks whether the stream must be reopened, ms. */
const checkIntervalMs = 200;
/** Least time between two attempts to open a stream, ms. A host that does not own the cell ends each at once. */
const reopenIntervalMs = 800;
/** Least time between two calls of `onSilent`, ms. */
const silentIntervalMs = 1_000;

/** Keeps a stream of updates open to the owner of the cell. */
export class OwnerClient {
    private ownerAddress: NetworkAddress | undefined;
    private client: RpcClient | undefined;
    private stream: RpcStream | undefined;
    private heardAt = -Infinity;
    private openedAt = -Infinity;
    private reportedSilentAt = -Infinity;
    private isClosed = false;
    private ownerVersion: number | undefined;
    private readonly questions = new Map<JobId, Promise<JobChange | undefined>>();

    constructor(private readonly options: OwnerClientOptions) {}

    /** Whether the owner was heard from within the last second. */
    get isOwnerAlive(): boolean {
        return this.options.clock.getNow() - this.heardAt < maxAliveSilenceMs;
    }

    /** The owner that is followed; `undefined` if there is none or it is this host. */
    get address(): NetworkAddress | undefined {
        return this.ownerAddress;
    }

    /** Version of the configuration that the owner named last; `undefined` if it was not heard from recently. */
    get configurationVersion(): number | undefined {
        return this.isOwnerAlive ? this.ownerVersion : undefined;
    }

    /** Follows the owner at this address; `undefined` if there is none or it is this host. */
    setOwner(address: NetworkAddress | undefined): void {
        if (address !== this.ownerAddress) {
            this.ownerAddress = address;
            this.disconnect();
            this.connect();
        }
    }

    /** Sends the owner what this host has stored. Returns whether the owner has applied it. */
    async announce(items: readonly StoreItem[], timeoutMs: number): Promise<boolean> {
        const { host, onStates } = this.options;
        const announced = await this.client?.call(
            cellService.announce,
            { host, items: [...items] },
            timeoutMs,
        );
        if (announced?.ok !== true) {
            return false;
        }
        onStates(decodeStates(announced.val.states));
        return true;
    }

    /** Asks the owner for the status of a job and follows the job. `undefined`: not known to the owner, or no answer. */
    follow(job: JobId): Promise<JobChange | undefined> {
        const asked = this.questions.get(job);
        if (asked !== undefined) {
            return asked;
        }
        const question = this.ask(job).finally(() => this.questions.delete(job));
        this.questions.set(job, question);
        return question;
    }

    /** Reopens the stream when it has ended or is silent, until `close`. */
    async run(): Promise<void> {
        const { clock, onSilent } = this.options;
        while (!this.isClosed) {
            await clock.wait(checkIntervalMs);
            const now = clock.getNow();
            const isSilent = now - Math.max(this.heardAt, this.openedAt) > maxSilenceMs;
            const canReopen = now - this.openedAt >= reopenIntervalMs;
            if (this.ownerAddress !== undefined && canReopen && (this.stream === undefined || isSilent)) {
                this.disconnect();
                this.connect();
            }
            const isSuspect = this.ownerAddress !== undefined && !this.isOwnerAlive;
            if (isSuspect && now - this.reportedSilentAt >= silentIntervalMs) {
                this.reportedSilentAt = now;
                onSilent();
            }
        }
    }

    /** Ends the stream and the connection. */
    close(): void {
        this.isClosed = true;
        this.disconnect();
    }

    private async ask(job: JobId): Promise<JobChange | undefined> {
        const { host, onStates } = this.options;
        const answered = await this.client?.call(cellService.follow, { host, jobs: [job] }, ownerQuestionMs);
        const states = answered?.ok === true ? decodeStates(answered.val.states) : [];
        onStates(states);
        return states[0];
    }

    private connect(): void {
        if (this.ownerAddress === undefined || this.isClosed) {
            return;
        }
        const { clock, host, address, listOpenJobs, logger, onFollowed, onStates, onUpdate } = this.options;
        this.openedAt = clock.getNow();
        const client = new RpcClient({ address: this.ownerAddress });
        this.client = client;
        const jobs = [...listOpenJobs()];
        let isAccepted = false;
        this.stream = client.openStream(cellService.subscribe, { host, address, jobs }, {
            onMessage: update => {
                this.heardAt = clock.getNow();
                this.ownerVersion = update.configurationVersion ?? this.ownerVersion;
                if (!isAccepted) {
                    isAccepted = true;
                    onFollowed(jobs);
                }
                onStates(decodeStates(update.changes));
                onUpdate(update);
            },
            onEnd: failure => {
                if (this.client === client) {
                    // An owner that resigns ends its streams, so a successor need not wait for its return.
                    this.heardAt = -Infinity;
                    logger.write("info", "stream of the owner ended", { reason: failure?.message });
                    this.disconnect();
                }
            },
        });
    }

    private disconnect(): void {
        const { client, stream } = this;
        this.client = undefined;
        this.stream = undefined;
        this.ownerVersion = undefined;
        stream?.cancel();
        client?.close();
    }
}
