/**
 * One sample of what the programs of a small cluster cost over a span of time.
 */
import type { RecordsReport } from "@waxwingroute/stand-ins";
import type { ProcessZone } from "./process-zone.js";

export type ProgramName = "scheduler" | "entry" | "operator";

/** What one program of one host used. */
export interface ProgramCost {
    /** Percent of one core. */
    readonly cpuPercent: number;
    readonly residentMb: number;
    /** Bytes sent a second to all processes, without logs. */
    readonly sentPerSecond: number;
}

/** Rates over one span of time. */
export interface ControlSample {
    /** The owner's scheduler, and the mean over hosts of the other programs. */
    readonly costs: Readonly<Record<ProgramName | "standby", ProgramCost>>;
    /** Bytes a second between schedulers and other programs of two hosts, both directions, by distance. */
    readonly ownZoneBytes: number;
    readonly ownRegionBytes: number;
    readonly otherRegionBytes: number;
    /** Store calls a second by operation and first part of the key. */
    readonly storeCalls: Readonly<Record<string, number>>;
    /** Bytes of values a second. */
    readonly storeBytes: number;
}

/** Measures for `durationMs` while `run` goes on. */
export async function measureControl(
    zone: ProcessZone,
    durationMs: number,
    run: () => Promise<unknown> = () => Promise.resolve(),
): Promise<ControlSample> {
    const owner = await zone.findOwner(zone.hosts[0]?.zone ?? "");
    const before = await readAll(zone);
    await Promise.all([run(), zone.clock.wait(durationMs)]);
    const after = await readAll(zone);
    const seconds = (after.records.now - before.records.now) / 1_000;
    const getCosts = (program: ProgramName, accepts: (host: string) => boolean) => {
        const names = zone.hosts.map(host => host.name).filter(accepts).map(host => `${program}/${host}`);
        return computeMeanCost(names.map(name => computeCost(before, after, name, seconds)));
    };
    const isOwner = (host: string) => host === owner;
    return {
        costs: {
            scheduler: getCosts("scheduler", isOwner),
            standby: getCosts("scheduler", host => !isOwner(host)),
            entry: getCosts("entry", () => true),
            operator: getCosts("operator", () => true),
        },
        ...sumLinkBytes(zone, before, after, seconds),
        storeCalls: computeStoreRates(before.records, after.records, seconds),
        storeBytes: (countStoreBytes(after.records) - countStoreBytes(before.records)) / seconds,
    };
}

interface Reading {
    readonly usage: ReturnType<ProcessZone["readUsage"]>;
    readonly links: ReturnType<ProcessZone["world"]["listLinkBytes"]>;
    readonly records: RecordsReport;
}

async function readAll(zone: ProcessZone): Promise<Reading> {
    return { usage: zone.readUsage(), links: zone.world.listLinkBytes(), records: await zone.readCounts() };
}

function computeCost(before: Reading, after: Reading, name: string, seconds: number): ProgramCost {
    const first = before.usage.get(name);
    const last = after.usage.get(name);
    if (first === undefined || last === undefined) {
        throw new Error(`program "${name}" ended during the measurement`);
    }
    return {
        cpuPercent: (last.cpuMs - first.cpuMs) / seconds / 10,
        residentMb: last.residentMb,
        sentPerSecond: (last.sentBytes - first.sentBytes) / seconds,
    };
}

function computeMeanCost(costs: readonly ProgramCost[]): ProgramCost {
    const getMean = (read: (cost: ProgramCost) => number) =>
        costs.reduce((sum, cost) => sum + read(cost), 0) / Math.max(1, costs.length);
    return {
        cpuPercent: getMean(cost => cost.cpuPercent),
        residentMb: getMean(cost => cost.residentMb),
        sentPerSecond: getMean(cost => cost.sentPerSecond),
    };
}

function sumLinkBytes(
    zone: ProcessZone,
    before: Reading,
    after: Reading,
    seconds: number,
): Pick<ControlSample, "ownZoneBytes" | "ownRegionBytes" | "otherRegionBytes"> {
    const places = new Map(zone.hosts.map(host => [host.name, host]));
    const sums = { ownZoneBytes: 0, ownRegionBytes: 0, otherRegionBytes: 0 };
    for (const { from, to, bytes } of after.links) {
        const earlier = before.links.find(link => link.from === from && link.to === to)?.bytes ?? 0;
        const source = places.get(from);
        const target = places.get(to);
        const distance = source?.zone === target?.zone
            ? "ownZoneBytes"
            : (source?.region ?? "region") === (target?.region ?? "region")
            ? "ownRegionBytes"
            : "otherRegionBytes";
        sums[distance] += (bytes - earlier) / seconds;
    }
    return sums;
}

function computeStoreRates(
    before: RecordsReport,
    after: RecordsReport,
    seconds: number,
): Readonly<Record<string, number>> {
    return Object.fromEntries(
        Object.entries(after.storeCalls).map(([cause, count]) => [
            cause,
            (count - (before.storeCalls[cause] ?? 0)) / seconds,
        ]),
    );
}

const countStoreBytes = ({ store }: RecordsReport) => store.bytesRead + store.bytesWritten;
