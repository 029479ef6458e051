/**
 * An in-process fake of the host list.
 */
import type { Failure, Result, ZoneId } from "@waxwingroute/core";
import type { HostListing } from "@waxwingroute/platform";
import { HostList } from "@waxwingroute/platform";
import type { FakeOptions } from "./fake-call.js";
import { runFakeCall } from "./fake-call.js";
import { FaultInjector } from "./fault-injector.js";
import { HostListState } from "./host-list-state.js";

const codes = { unreachable: "host-list-unavailable", timedOut: "host-list-unavailable" };

/** Options of `FakeHostList`. */
export interface FakeHostListOptions extends FakeOptions {
    /** Milliseconds until a change is visible. Default 5,000. */
    readonly lagMs?: number;
}

/**
 * A host list in memory.
 *
 * @example
 * ```ts
 * const hostList = new FakeHostList({ clock });
 * hostList.state.addWorker(address);
 * hostList.state.setMode("frozen");
 * ```
 */
export class FakeHostList extends HostList {
    readonly faults: FaultInjector;
    readonly state: HostListState;

    constructor(
        private readonly options: FakeHostListOptions,
        private readonly source?: string,
        shared?: { readonly faults: FaultInjector; readonly state: HostListState; },
    ) {
        super();
        this.faults = shared?.faults ?? new FaultInjector(options.clock);
        this.state = shared?.state ?? new HostListState(options.clock, options.lagMs);
    }

    /** Returns a client of the same host list whose calls come from `source`, which can be cut off. */
    forSource(source: string): FakeHostList {
        return new FakeHostList(this.options, source, this);
    }

    list(zone: ZoneId): Promise<Result<HostListing, Failure>> {
        return runFakeCall(this.options.clock, this.faults, codes, {
            operation: "list",
            source: this.source,
            isWrite: false,
            timeoutMs: this.options.timeoutMs ?? 1_000,
            run: () => this.state.list(zone),
        });
    }
}
