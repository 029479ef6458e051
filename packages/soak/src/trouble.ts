/** What goes wrong during a run. A trouble ends all that it began. */
import type { RandomSource } from "@waxwingroute/core";
import type { Site } from "./site.js";

/** What a trouble may use. */
export interface TroubleContext {
    readonly site: Site;
    readonly random: RandomSource;
    /** Waits, at most until the end of the time of trouble. */
    readonly wait: (ms: number) => Promise<void>;
}

/** One kind of trouble. */
export abstract class Trouble {
    /** Name in the record. */
    abstract readonly name: string;
    /** Whether it is work that an operator plans. */
    protected readonly isPlanned: boolean = false;

    /** Begins the trouble, waits, and ends it. */
    abstract run(context: TroubleContext): Promise<void>;

    /** Notes the trouble and its hosts, which are not in touch until the returned function is called. */
    protected begin(
        { site }: TroubleContext,
        hosts: readonly string[],
        details: Readonly<Record<string, unknown>>,
    ): () => void {
        const end = site.record.beginDisruption(hosts, this.isPlanned);
        site.record.write("trouble", { name: this.name, hosts, ...details });
        return () => {
            end();
            site.record.write("trouble-end", { name: this.name, hosts });
        };
    }

    /** Draws a duration between two times, ms. */
    protected pickMs(random: RandomSource, least: number, most: number): number {
        return Math.round(least + random.getFloat() * (most - least));
    }
}
