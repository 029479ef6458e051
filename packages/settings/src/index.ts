/** The JSON settings of the programs and their checks. */
export {
    chooseEndpointShard,
    findHost,
    getSchedulerAddress,
    listHosts,
    listShards,
    listZoneHosts,
    listZoneShards,
} from "./layout.js";
export type { HostLocation } from "./layout.js";
export { loadSettings, parseSettings } from "./load-settings.js";
export type { HostSettings, Settings, ZoneSettings } from "./schema.js";
