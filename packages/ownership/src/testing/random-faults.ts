/**
 * Random faults for a simulated cell.
 */
import { SimulatedCell } from "./simulated-cell.js";
import type { CellOptions, SimulatedHost } from "./simulated-cell.js";

/** The hosts that a fault can aim at: any one, the owner and its successor. */
interface Targets {
    readonly host: SimulatedHost;
    readonly owner: SimulatedHost;
    readonly successor: SimulatedHost;
}

type Fault = (cell: SimulatedCell, targets: Targets) => void;

const faults: readonly Fault[] = [
    cell => cell.setStore(false),
    cell => cell.setStore(true),
    (cell, { host }) => cell.setStore(false, host.id),
    (cell, { owner }) => cell.setStore(false, owner.id),
    (cell, { owner }) => cell.setStore(true, owner.id),
    (cell, { successor }) => cell.setStore(true, successor.id),
    (cell, { host }) => {
        cell.setStore(false);
        cell.setStore(true, host.id);
    },
    (cell, { owner, successor }) => cell.disconnectHosts(owner.id, successor.id),
    (cell, { host, owner }) => cell.disconnectHosts(host.id, owner.id),
    (cell, { host, successor }) => void cell.cutLinks.add(`${host.id}>${successor.id}`),
    (cell, { host, owner }) => void cell.cutLinks.add(`${host.id}>${owner.id}`),
    cell => cell.cutLinks.clear(),
    (cell, { host }) => pauseHost(cell, host),
    (cell, { owner }) => pauseHost(cell, owner),
    (cell, { successor }) => pauseHost(cell, successor),
    (cell, { host }) => cell.stopHost(host),
    (cell, { owner }) => cell.stopHost(owner),
    (cell, { successor }) => restartHost(cell, successor),
    (cell, { owner }) => restartHost(cell, owner),
    cell => cell.hosts.forEach(host => cell.startHost(host)),
    (cell, { owner }) => cell.processEvent(owner, owner.incarnation, { kind: "handOver" }),
    cell => {
        cell.lossRate = cell.random.getFloat() * 0.5;
        cell.delayRate = cell.random.getFloat() * 0.3;
    },
    cell => {
        cell.storeLossRate = cell.random.getFloat();
        cell.storeDelayRate = cell.random.getFloat() * 0.6;
    },
    resetFaults,
    // A long outage of the store is the only way into consent mode, so that it is aimed at directly.
    cell => {
        resetFaults(cell);
        cell.setStore(false);
    },
    (cell, { owner, successor }) => {
        cell.setStore(false);
        cell.setStore(true, owner.id);
        cell.disconnectHosts(owner.id, successor.id);
    },
];

/**
 * Runs a cell under random faults and returns it. Each run draws from its own part of the faults, because sequences that
 * need a few certain faults are rare when every fault is equally likely.
 */
export function exploreFaults(options: CellOptions, durationMs: number): SimulatedCell {
    const cell = new SimulatedCell(options);
    const part = 0.15 + cell.random.getFloat() * 0.6;
    const chosen = faults.filter(() => cell.random.getFloat() < part);
    // Most runs are calm at first, so that a successor is named.
    cell.queue.runUntil(cell.random.getFloat() < 0.8 ? 5_000 : 500);
    if (cell.random.getFloat() < 0.5) {
        cell.setStore(false);
        cell.queue.runUntil(cell.queue.now + cell.random.getFloat() * 6_000);
    }
    while (cell.queue.now < durationMs) {
        cell.random.pickOne(chosen)?.(cell, chooseTargets(cell));
        const waitMs = cell.random.getFloat() < 0.4 ? 300 : 4_500;
        cell.queue.runUntil(cell.queue.now + cell.random.getFloat() * waitMs);
    }
    return cell;
}

function chooseTargets(cell: SimulatedCell): Targets {
    const host = cell.random.pickOne(cell.hosts) ?? cell.getHost("a");
    const owner = cell.hosts.find(({ state }) => state?.owner !== undefined) ?? host;
    const successor = cell.hosts.find(({ id }) => id === cell.record?.record.successor) ?? host;
    return { host, owner, successor };
}

/** Ends all faults and starts the hosts that do not run. */
export function resetFaults(cell: SimulatedCell): void {
    cell.lossRate = 0;
    cell.delayRate = 0;
    cell.storeLossRate = 0;
    cell.storeDelayRate = 0;
    cell.cutLinks.clear();
    cell.setStore(true);
    cell.hosts.forEach(host => cell.startHost(host));
}

function restartHost(cell: SimulatedCell, host: SimulatedHost): void {
    cell.stopHost(host);
    cell.startHost(host);
}

function pauseHost(cell: SimulatedCell, host: SimulatedHost): void {
    host.pausedUntil = cell.queue.now + cell.random.getFloat() * 9_000;
}
