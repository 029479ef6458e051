/**
 * The content of the host list stand-in: the state of each host as of some seconds ago.
 */
import type { Clock, Failure, Result, ZoneId } from "@waxwingroute/core";
import { Ok } from "@waxwingroute/core";
import type { ExecutorAddress, HostListing, HostState, WorkerAddress } from "@waxwingroute/platform";
import { match } from "ts-pattern";

/**
 * How the host list reports hosts:
 * - `normal`: changes are visible after the lag.
 * - `frozen`: changes are held back.
 * - `empty`: no hosts.
 * - `wrong`: live and leaving are swapped, and every third host is missing.
 */
export type HostListMode = "normal" | "frozen" | "empty" | "wrong";

/** State of a host as known to the host list; `gone` hosts are not listed. */
export type KnownHostState = HostState | "gone";

type HostAddress =
    | { readonly kind: "worker"; readonly address: WorkerAddress; }
    | { readonly kind: "executor"; readonly address: ExecutorAddress; };

interface HostRow {
    readonly host: HostAddress;
    state: KnownHostState;
}

/** The state of the host list. */
export class HostListState {
    private readonly rows = new Map<string, HostRow>();
    private mode: HostListMode = "normal";
    private heldChanges: (() => void)[] = [];

    /** `lagMs`: milliseconds until a change is visible. */
    constructor(private readonly clock: Clock, private readonly lagMs = 5_000) {}

    /** Adds a worker, listed at once. */
    addWorker(address: WorkerAddress): void {
        this.rows.set(address.worker, { host: { kind: "worker", address }, state: "live" });
    }

    /** Adds an executor, listed at once. */
    addExecutor(address: ExecutorAddress): void {
        this.rows.set(address.executor, { host: { kind: "executor", address }, state: "live" });
    }

    /** Changes the state of a host after the lag. */
    setState(id: string, state: KnownHostState): void {
        this.clock.schedule(this.lagMs, () => {
            const apply = () => {
                const row = this.rows.get(id);
                if (row !== undefined) {
                    row.state = state;
                }
            };
            if (this.mode === "frozen") {
                this.heldChanges.push(apply);
            }
            else {
                apply();
            }
        });
    }

    /** Sets the mode. Changes held back while frozen become visible in any other mode. */
    setMode(mode: HostListMode): void {
        this.mode = mode;
        if (mode !== "frozen") {
            for (const apply of this.heldChanges.splice(0)) {
                apply();
            }
        }
    }

    list(zone: ZoneId): Result<HostListing, Failure> {
        const rows = [...this.rows.values()].filter(row => row.host.address.zone === zone && row.state !== "gone");
        const shown = match(this.mode)
            .with("normal", "frozen", () => rows)
            .with("empty", () => [])
            .with("wrong", () => rows.filter((_, index) => index % 3 !== 2).map(row => swapState(row)))
            .exhaustive();
        const workers: HostListing["workers"][number][] = [];
        const executors: HostListing["executors"][number][] = [];
        for (const { host, state } of shown) {
            if (state === "gone") {
                continue;
            }
            if (host.kind === "worker") {
                workers.push({ address: host.address, state });
            }
            else {
                executors.push({ address: host.address, state });
            }
        }
        return Ok({ workers, executors });
    }
}

const swapState = (row: HostRow): HostRow => ({ ...row, state: row.state === "live" ? "leaving" : "live" });
