// Writes the layouts under layouts/: the settings of the two deployments, and a small one for a laptop.
import { mkdirSync, writeFileSync } from "node:fs";

const programs = ["scheduler", "entry", "operator", "schedulerHealth", "entryHealth", "operatorHealth"];

function createLayout({ cluster, objective, firstPort, zones, hostsPerZone, workers, executors, cores, memoryMb }) {
    let port = firstPort;
    const takePort = () => port++;
    const storePort = takePort();
    const hostListPort = takePort();
    const settings = {
        cluster,
        objective,
        store: { url: `http://127.0.0.1:${storePort}` },
        hostList: { url: `http://127.0.0.1:${hostListPort}` },
        regions: zones.map(zone => ({
            name: `${zone}-region`,
            zones: [{
                name: zone,
                shards: 1,
                hosts: Array.from({ length: hostsPerZone }, (_, index) => ({
                    name: `${zone}-${index + 1}`,
                    address: "127.0.0.1",
                    ports: Object.fromEntries(programs.map(program => [program, takePort()])),
                })),
            }],
        })),
    };
    const controlPort = takePort();
    const countInZone = (total, index) => Math.floor(total / zones.length) + (index < total % zones.length ? 1 : 0);
    const takePorts = count => {
        const first = port;
        port += count;
        return first;
    };
    const standIns = {
        ports: { store: storePort, hostList: hostListPort, control: controlPort },
        hostListLagMs: 2_000,
        zones: zones.map((zone, index) => ({
            zone,
            workers: {
                count: countInZone(workers, index),
                firstPort: takePorts(countInZone(workers, index)),
                perRack: 8,
                capacity: { cpuMillis: cores * 1_000, memoryMb, accelerators: 0 },
            },
            executors: {
                count: countInZone(executors, index),
                firstPort: takePorts(countInZone(executors, index)),
                slots: 8,
                connections: 64,
            },
        })),
    };
    return { settings, standIns };
}

const layouts = [
    {
        cluster: "kelvinside",
        objective: "waiting",
        firstPort: 21_000,
        zones: ["glasgow", "aberdeen", "dundee"],
        hostsPerZone: 2,
        workers: 33,
        executors: 33,
        cores: 16,
        memoryMb: 32 * 1024,
    },
    {
        cluster: "tavan",
        objective: "fairness",
        firstPort: 22_000,
        zones: ["ulaanbaatar", "darkhan", "erdenet"],
        hostsPerZone: 2,
        workers: 33,
        executors: 33,
        cores: 16,
        memoryMb: 64 * 1024,
    },
    {
        cluster: "laptop",
        objective: "waiting",
        firstPort: 23_000,
        zones: ["north", "south"],
        hostsPerZone: 2,
        workers: 4,
        executors: 4,
        cores: 4,
        memoryMb: 8 * 1024,
    },
];

mkdirSync("layouts", { recursive: true });
for (const layout of layouts) {
    const { settings, standIns } = createLayout(layout);
    writeFileSync(`layouts/${layout.cluster}.json`, `${JSON.stringify(settings, undefined, 4)}\n`);
    writeFileSync(`layouts/${layout.cluster}-stand-ins.json`, `${JSON.stringify(standIns, undefined, 4)}\n`);
}
