/**
 * Sends the states of jobs from the owner to the hosts that follow them, and heartbeats to all hosts.
 *
 * A host follows the jobs that it accepted or was asked about, so a change goes to one host in most cases. Heartbeats
 * are sent to a fraction of the hosts at a time, so that the owner never writes to all of them at once.
 */
import type { Clock, JobId, NetworkAddress, QueueId, Timer } from "@waxwingroute/core";
import type { StreamWriter } from "@waxwingroute/transport";
import { isOpenState } from "@waxwingroute/workflow";
import type { JobChange } from "@waxwingroute/workflow";
import { encodeStates } from "./cell-service.js";
import type { CellUpdate } from "./cell-service.js";

/** Dependencies of `CellPublisher`. */
export interface CellPublisherOptions {
    readonly clock: Clock;
    /** Address of the owner, through which each host can reach the store. */
    readonly address: NetworkAddress;
    /** Returns the status of a job, or `undefined` if the owner does not know it. */
    readonly getStatus: (job: JobId) => JobChange | undefined;
    /** Returns the version of the owner's configuration. */
    readonly getConfigurationVersion: () => number | undefined;
}

/** A host that receives the updates of the owner. */
export interface Subscriber {
    readonly host: string;
    /** At which other hosts reach it. */
    readonly address: NetworkAddress;
    /** Open jobs that it follows. */
    readonly jobs: readonly JobId[];
}

interface SubscriberRow {
    readonly address: NetworkAddress;
    readonly writer: StreamWriter<CellUpdate>;
    /** States that wait to be sent. */
    changes: JobChange[];
    /** Value of `membershipVersion` at the last message with peers. */
    sentMembershipVersion: number;
}

/** Longest time that changes wait to be sent together, ms. */
const sendDelayMs = 10;
/** Interval of heartbeats to one host, ms. Hosts take an owner for lost after twice this time. */
const heartbeatMs = 500;
/** Number of groups of hosts whose heartbeats are sent one group after another. */
const heartbeatGroups = 10;

/** Serves the subscriptions of the other hosts while this host owns the cell. */
export class CellPublisher {
    private readonly subscribers = new Map<string, SubscriberRow>();
    private readonly followers = new Map<JobId, Set<string>>();
    private readonly changed = new Set<SubscriberRow>();
    private pending: [QueueId, number][] | undefined;
    private membershipVersion = 0;
    private heartbeatTimer: Timer | undefined;
    private nextGroup = 0;
    private isFlushScheduled = false;

    constructor(private readonly options: CellPublisherOptions) {}

    /** Adds a subscriber, sends it the states of its jobs, and replaces an earlier stream of the same host. */
    addSubscriber({ host, address, jobs }: Subscriber, writer: StreamWriter<CellUpdate>): void {
        const row: SubscriberRow = { address, writer, changes: [], sentMembershipVersion: 0 };
        this.subscribers.get(host)?.writer.end();
        this.subscribers.set(host, row);
        this.membershipVersion += 1;
        // The owner may still be reading the jobs that earlier owners accepted, so unknown jobs are followed as well.
        jobs.forEach(job => this.addFollower(job, host));
        const states = this.listStates(jobs);
        this.sendHeartbeat(row, states);
        writer.onClose(() => {
            if (this.subscribers.get(host) === row) {
                this.subscribers.delete(host);
                this.changed.delete(row);
                this.membershipVersion += 1;
            }
        });
        this.startHeartbeats();
    }

    /** Lets a host follow jobs, and returns the states of those that are known. Unknown jobs are not followed. */
    follow(host: string, jobs: readonly JobId[]): JobChange[] {
        const states = this.listStates(jobs);
        states.filter(({ state }) => isOpenState(state)).forEach(({ job }) => this.addFollower(job, host));
        return states;
    }

    /** Sends the changed states to the hosts that follow the jobs. */
    publishChanges(changes: readonly JobChange[]): void {
        for (const change of changes) {
            const { job, state } = change;
            for (const host of this.followers.get(job) ?? []) {
                const row = this.subscribers.get(host);
                if (row !== undefined) {
                    row.changes.push(change);
                    this.changed.add(row);
                }
            }
            if (!isOpenState(state)) {
                this.followers.delete(job);
            }
        }
        this.scheduleFlush();
    }

    /** Sends the counts of pending jobs with the next heartbeats. */
    publishPending(counts: ReadonlyMap<QueueId, number>): void {
        this.pending = [...counts];
    }

    /** Ends all subscriptions. */
    close(): void {
        this.heartbeatTimer?.cancel();
        this.heartbeatTimer = undefined;
        this.subscribers.forEach(({ writer }) => writer.end());
        this.subscribers.clear();
        this.followers.clear();
        this.changed.clear();
        this.pending = undefined;
    }

    private addFollower(job: JobId, host: string): void {
        const hosts = this.followers.get(job);
        if (hosts === undefined) {
            this.followers.set(job, new Set([host]));
        }
        else {
            hosts.add(host);
        }
    }

    private listStates(jobs: readonly JobId[]): JobChange[] {
        return jobs.flatMap(job => {
            const status = this.options.getStatus(job);
            return status === undefined ? [] : [status];
        });
    }

    private scheduleFlush(): void {
        if (!this.isFlushScheduled && this.changed.size > 0) {
            this.isFlushScheduled = true;
            this.options.clock.schedule(sendDelayMs, () => {
                this.isFlushScheduled = false;
                this.changed.forEach(row => row.writer.send({ changes: encodeStates(row.changes.splice(0)) }));
                this.changed.clear();
            });
        }
    }

    private startHeartbeats(): void {
        this.heartbeatTimer ??= this.options.clock.schedule(heartbeatMs / heartbeatGroups, () => {
            this.heartbeatTimer = undefined;
            this.nextGroup = (this.nextGroup + 1) % heartbeatGroups;
            const rows = [...this.subscribers.values()];
            rows.filter((_, index) => index % heartbeatGroups === this.nextGroup).forEach(row =>
                this.sendHeartbeat(row, row.changes.splice(0))
            );
            if (rows.length > 0) {
                this.startHeartbeats();
            }
        });
    }

    private sendHeartbeat(row: SubscriberRow, states: readonly JobChange[]): void {
        const isMembershipNew = row.sentMembershipVersion !== this.membershipVersion;
        row.sentMembershipVersion = this.membershipVersion;
        this.changed.delete(row);
        row.writer.send({
            changes: encodeStates(states),
            pending: this.pending,
            peers: isMembershipNew ? this.selectPeers(row) : undefined,
            configurationVersion: this.options.getConfigurationVersion(),
        });
    }

    /**
     * Selects the owner and the hosts at distances 1, 2, 4, 8 and so on in the order of subscription, so that the number
     * of peers of a host grows with the logarithm of the number of hosts.
     */
    private selectPeers(row: SubscriberRow): NetworkAddress[] {
        const rows = [...this.subscribers.values()];
        const position = rows.indexOf(row);
        const peers = new Set([this.options.address]);
        for (let distance = 1; distance < rows.length; distance *= 2) {
            peers.add(rows[(position + distance) % rows.length]!.address);
        }
        return [...peers];
    }
}
