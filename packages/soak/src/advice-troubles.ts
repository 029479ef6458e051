/** Troubles of the advice service and of the ways to it. */
import type { RandomSource } from "@waxwingroute/core";
import type { AdviceFaults } from "./advice-front.js";
import type { Site } from "./site.js";
import { Trouble } from "./trouble.js";
import type { TroubleContext } from "./trouble.js";

/** Longer than any run, ms. */
const longestMs = 3_600_000;

/** Where and how long a fault is in force. */
export interface AdviceTroubleOptions {
    /** Whether it lasts as long as it may, for one zone. Default false. */
    readonly isLasting?: boolean;
}

/** A fault of the advice service for one host, for one zone or for all. */
abstract class AdviceTrouble extends Trouble {
    constructor(private readonly options: AdviceTroubleOptions = {}) {
        super();
    }

    protected abstract readonly faults: AdviceFaults;
    /** Longest duration, ms. */
    protected abstract readonly maxMs: number;

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const { isLasting = false } = this.options;
        const hosts = pickHosts(site, random, isLasting ? ["zone"] : ["host", "host", "zone", "all"]);
        const ms = isLasting ? longestMs : this.pickMs(random, 1_000, this.maxMs);
        const end = this.begin(context, hosts, { ...this.faults, ms });
        const restores = site.listAdvisors(hosts).map(advisor => advisor.addFaults(this.faults));
        await wait(ms);
        restores.forEach(restore => restore());
        end();
    }
}

function pickHosts(site: Site, random: RandomSource, scopes: readonly ("host" | "zone" | "all")[]): string[] {
    const scope = random.pickOne(scopes)!;
    if (scope === "all") {
        return site.hostNames;
    }
    const { name, zone } = site.chooseHost(random, 0.3);
    return scope === "host" ? [name] : site.hosts.filter(host => host.zone === zone).map(host => host.name);
}

/** No call arrives. */
export class AdviceSilent extends AdviceTrouble {
    readonly name = "advice-silent";
    protected readonly faults = { mode: "silent" } as const;
    protected readonly maxMs = 8_000;
}

/** Calls are handled, and their answers lost. */
export class AdviceAnswersLost extends AdviceTrouble {
    readonly name = "advice-answers-lost";
    protected readonly faults = { mode: "unanswered" } as const;
    protected readonly maxMs = 8_000;
}

/** Calls are refused at once. */
export class AdviceRefusing extends AdviceTrouble {
    readonly name = "advice-refusing";
    protected readonly faults = { mode: "refusing" } as const;
    protected readonly maxMs = 8_000;
}

/** Calls take five times as long. */
export class AdviceSlow extends AdviceTrouble {
    readonly name = "advice-slow";
    protected readonly faults = { slowness: 5 };
    protected readonly maxMs = 12_000;
}
