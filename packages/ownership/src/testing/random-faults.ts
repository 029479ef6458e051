/**
 * Random faults for a simulated cell.
 */
import { SimulatedCell } from "./simulated-cell.js";
import type { CellOptions, SimulatedHost } from "./simulated-cell.js";

/** Runs a cell under random faults and returns it. */
export function exploreFaults(options: CellOptions, durationMs: number): SimulatedCell {
    const cell = new SimulatedCell(options);
    // Half of the runs are calm at first, so that a successor is named.
    cell.queue.runUntil(cell.random.getFloat() < 0.5 ? 6_000 : 500);
    while (cell.queue.now < durationMs) {
        applyRandomFault(cell);
        const waitMs = cell.random.getFloat() < 0.4 ? 300 : 3_500;
        cell.queue.runUntil(cell.queue.now + cell.random.getFloat() * waitMs);
    }
    return cell;
}

function applyRandomFault(cell: SimulatedCell): void {
    const { random } = cell;
    const host = random.pickOne(cell.hosts) as SimulatedHost;
    const other = random.pickOne(cell.hosts) as SimulatedHost;
    const owner = cell.hosts.find(({ state }) => state?.owner !== undefined) ?? host;
    const successor = cell.hosts.find(({ id }) => id === cell.record?.record.successor) ?? other;
    const faults: (() => void)[] = [
        () => cell.setStore(false),
        () => cell.setStore(false),
        () => cell.setStore(true),
        () => cell.setStore(true),
        () => cell.setStore(false, host.id),
        () => cell.setStore(true, host.id),
        () => cell.setStore(true, owner.id),
        () => cell.disconnectHosts(host.id, other.id),
        () => cell.disconnectHosts(owner.id, other.id),
        () => void cell.cutLinks.add(`${host.id}>${other.id}`),
        () => cell.disconnectHosts(owner.id, successor.id),
        () => cell.cutLinks.clear(),
        () => cell.cutLinks.clear(),
        () => restartHost(cell, successor),
        () => restartHost(cell, owner),
        () => pauseHost(cell, successor),
        () => {
            cell.setStore(false);
            cell.setStore(true, host.id);
        },
        () => {
            cell.storeLossRate = cell.random.getFloat();
            cell.storeDelayRate = cell.random.getFloat() * 0.6;
        },
        () => pauseHost(cell, host),
        () => pauseHost(cell, owner),
        () => cell.stopHost(host),
        () => cell.stopHost(owner),
        () => cell.hosts.forEach(each => cell.startHost(each)),
        () => cell.startHost(host),
        () => cell.processEvent(owner, owner.incarnation, { kind: "handOver" }),
        () => setNetwork(cell),
        () => {
            cell.lossRate = 0;
            cell.delayRate = 0;
            cell.storeLossRate = 0;
            cell.storeDelayRate = 0;
        },
    ];
    random.pickOne(faults)?.();
}

function restartHost(cell: SimulatedCell, host: SimulatedHost): void {
    cell.stopHost(host);
    cell.startHost(host);
}

function pauseHost(cell: SimulatedCell, host: SimulatedHost): void {
    host.pausedUntil = cell.queue.now + cell.random.getFloat() * 9_000;
}

function setNetwork(cell: SimulatedCell): void {
    cell.lossRate = cell.random.getFloat() * 0.5;
    cell.delayRate = cell.random.getFloat() * 0.3;
}
