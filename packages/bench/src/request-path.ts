/**
 * Section `path`: what the way of a request through an entry host costs, and what happens above its peak.
 */
import { headers } from "./executor-headers.js";
import type { LoadResult, LoadTarget } from "./load-generator.js";
import { runLoad } from "./load-generator.js";
import type { DeclaredTeam } from "./process-zone.js";
import { ProcessZone } from "./process-zone.js";
import type { Figure, Goal, SectionReport } from "./report.js";
import { formatNumber, formatTable } from "./report.js";

const teamCount = 4;
const closedMs = 5_000;
const openMs = 6_000;
const overloadMs = 15_000;
const closedConcurrency = 128;
const warmUpMs = 10_000;
const idleMs = 3_000;
/** Rate of the latency comparison, well below the peak so that no queue forms. */
const latencyRate = 300;
const overloadConcurrency = 4_000;
const deadlineMs = 2_000;
/** Too short for any executor, so that the owner refuses the request on arrival. */
const unreachableDeadlineMs = 1;
/** Well-formed, but no key has it. */
const unknownSecret = "0".repeat(64);
const body = Buffer.alloc(64, "x");

interface MeteredResult {
    readonly result: LoadResult;
    /** Processor time of the system's programs, in milliseconds. */
    readonly cpuMs: number;
    readonly cpuByProgram: Readonly<Record<string, number>>;
}

/** Measures the request path over real processes. */
export async function runRequestPath(): Promise<SectionReport> {
    const zone = new ProcessZone();
    try {
        await zone.open();
        const teams = await zone.createTeams(teamCount);
        const owner = await zone.findOwner("glasgow") ?? "glasgow-1";
        return await measure(zone, owner, teams);
    }
    finally {
        await zone.close();
    }
}

async function measure(
    zone: ProcessZone,
    owner: string,
    teams: readonly DeclaredTeam[],
): Promise<SectionReport> {
    const direct = createDirectTargets(zone);
    const entry = teams.map(team => createEntryTarget(zone, owner, team));
    const unknownKeys = teams.map(({ team }) => createEntryTarget(zone, owner, { team, secret: unknownSecret }));
    const lateDeadlines = teams.map(team => createEntryTarget(zone, owner, team, unreachableDeadlineMs));
    const closed = { durationMs: closedMs, concurrency: closedConcurrency };
    // The first run warms up both paths and lets the owner ask for grants.
    await runLoad({ targets: [...direct, ...entry], durationMs: warmUpMs, concurrency: closedConcurrency });
    const idleShare = await measureIdleShare(zone);
    const directPeak = await measureRun(zone, () => runLoad({ targets: direct, ...closed }));
    const peak = await measureRun(zone, () => runLoad({ targets: entry, ...closed }));
    const open = { durationMs: openMs, concurrency: overloadConcurrency, usefulMs: deadlineMs };
    const directLatency = await measureRun(
        zone,
        () => runLoad({ targets: direct, ...open, ratePerSecond: latencyRate }),
    );
    const entryLatency = await measureRun(zone, () => runLoad({ targets: entry, ...open, ratePerSecond: latencyRate }));
    const peakRate = toRate(peak.result.served, peak.result);
    const overload = await measureRun(
        zone,
        () => runLoad({ targets: entry, ...open, durationMs: overloadMs, ratePerSecond: Math.round(peakRate * 2) }),
    );
    const refusedByEntry = await measureRun(zone, () => runLoad({ targets: unknownKeys, ...closed }));
    const refusedByOwner = await measureRun(zone, () => runLoad({ targets: lateDeadlines, ...closed }));
    const records = await zone.readCounts();
    const rows = { directPeak, peak, directLatency, entryLatency, overload, refusedByEntry, refusedByOwner };
    return createReport(rows, idleShare, records.repeatedRequests.length + records.overloads.length);
}

async function measureRun(zone: ProcessZone, run: () => Promise<LoadResult>): Promise<MeteredResult> {
    const before = zone.readUsage();
    const result = await run();
    const cpuByProgram = Object.fromEntries(
        [...zone.readUsage()].map(([name, usage]) => [name, usage.cpuMs - (before.get(name)?.cpuMs ?? 0)]),
    );
    return { result, cpuByProgram, cpuMs: Object.values(cpuByProgram).reduce((sum, cpuMs) => sum + cpuMs, 0) };
}

function createEntryTarget(
    zone: ProcessZone,
    host: string,
    { team, secret }: DeclaredTeam,
    timeoutMs = deadlineMs,
): LoadTarget {
    const fixed = {
        "authorization": `Bearer ${secret}`,
        "content-type": "application/octet-stream",
        "waxwing-deadline-ms": String(timeoutMs),
    };
    return { url: `${zone.world.getUrl(host, "entry")}/v1/queues/${team}/requests`, createHeaders: () => fixed, body };
}

function createDirectTargets(zone: ProcessZone): readonly LoadTarget[] {
    let sequence = 0;
    return zone.world.addresses.executors.map(({ url }) => ({
        url: `${url}${headers.path}`,
        createHeaders: () => headers.create(`direct-${sequence++}`, deadlineMs),
        body,
    }));
}

/** Returns the processor time of the system's programs without requests, in milliseconds per millisecond. */
async function measureIdleShare(zone: ProcessZone): Promise<number> {
    const sumCpuMs = () => [...zone.readUsage().values()].reduce((sum, usage) => sum + usage.cpuMs, 0);
    const startedAt = zone.clock.getNow();
    const before = sumCpuMs();
    await zone.clock.wait(idleMs);
    return (sumCpuMs() - before) / (zone.clock.getNow() - startedAt);
}

function createReport(
    rows: Readonly<Record<string, MeteredResult>>,
    idleShare: number,
    violations: number,
): SectionReport {
    const get = (name: string) => rows[name] as MeteredResult;
    const overload = get("overload").result;
    const entryLatency = get("entryLatency").result.latency;
    const directLatency = get("directLatency").result.latency;
    const addedMs = (percentile: number) =>
        (entryLatency.getValueAtPercentile(percentile) - directLatency.getValueAtPercentile(percentile)) / 1_000;
    const peakRate = toRate(get("peak").result.served, get("peak").result);
    // Each answer is judged from the time at which its request was due, so all useful ones came in this span.
    const usefulRate = overload.useful / (overload.elapsedMs + deadlineMs) * 1_000;
    // The cost of an idle system is not the cost of requests.
    const toCost = ({ cpuMs, result }: MeteredResult) => (cpuMs - idleShare * result.totalMs) / result.sent;
    const servedCost = toCost(get("peak"));
    const entryCost = toCost(get("refusedByEntry"));
    const ownerCost = toCost(get("refusedByOwner"));
    const figures: readonly Figure[] = [
        { name: "path.peak", value: peakRate, unit: "requests/s" },
        {
            name: "path.directPeak",
            value: toRate(get("directPeak").result.served, get("directPeak").result),
            unit: "requests/s",
        },
        { name: "path.addedP50", value: addedMs(50), unit: "ms" },
        { name: "path.addedP99", value: addedMs(99), unit: "ms" },
        { name: "path.idle", value: idleShare * 100, unit: "% of a core, all six programs" },
        { name: "path.servedCost", value: servedCost, unit: "CPU ms" },
        { name: "path.refusedByEntryCost", value: entryCost, unit: "CPU ms" },
        { name: "path.refusedByOwnerCost", value: ownerCost, unit: "CPU ms" },
        { name: "path.usefulAtOverload", value: usefulRate, unit: "requests/s" },
    ];
    const below = (name: string, value: number, unit: string, bound: number): Goal => ({
        name,
        value,
        unit,
        bound,
        direction: "below",
    });
    return {
        section: "path",
        lines: [
            `${teamCount} teams, 33 executors of 8 slots, 64-byte bodies, one log line per decision, through the owner's entry host`,
            ...formatRows(rows),
            ...figures.map(figure => `${figure.name}: ${formatNumber(figure.value)} ${figure.unit}`),
        ],
        figures,
        goals: [
            {
                name: `useful answers (within ${deadlineMs} ms) at 2x the peak`,
                value: usefulRate / peakRate * 100,
                unit: "% of the peak",
                bound: 90,
                direction: "atLeast",
            },
            below("refusals at 2x the peak without \"not run\"", sumCounts(overload.others), "requests", 1),
            below("a request that the entry process refuses", entryCost / servedCost * 100, "% of a served one", 10),
            below("a request that the owner refuses", ownerCost / servedCost * 100, "% of a served one", 10),
            below("overloaded executors and repeated requests", violations, "records", 1),
        ],
    };
}

function formatRows(rows: Readonly<Record<string, MeteredResult>>): readonly string[] {
    return [
        ...formatTable([
            ["run", "sent/s", "served/s", "not run/s", "other", "skipped", "p50 ms", "p99 ms", "CPU ms/request"],
            ...Object.entries(rows).map(([name, row]) => formatRow(name, row)),
        ]),
        ...Object.entries(rows).map(([name, { result, cpuByProgram }]) =>
            `${name}: codes ${JSON.stringify(result.codes)}, others ${JSON.stringify(result.others)}, CPU ms ${
                JSON.stringify(cpuByProgram)
            }`
        ),
    ];
}

function formatRow(name: string, { result, cpuMs }: MeteredResult): readonly string[] {
    const latency = result.served > 0 ? result.latency : result.refusalLatency;
    return [
        name,
        formatNumber(toRate(result.sent, result)),
        formatNumber(toRate(result.served, result)),
        formatNumber(toRate(result.refused, result)),
        String(sumCounts(result.others)),
        String(result.skipped),
        formatNumber(latency.getValueAtPercentile(50) / 1_000),
        formatNumber(latency.getValueAtPercentile(99) / 1_000),
        formatNumber(cpuMs / Math.max(1, result.sent)),
    ];
}

const sumCounts = (counts: Readonly<Record<string, number>>) =>
    Object.values(counts).reduce((sum, count) => sum + count, 0);

const toRate = (count: number, { elapsedMs }: LoadResult) => count / elapsedMs * 1_000;
