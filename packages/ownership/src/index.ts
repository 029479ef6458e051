/** The state machine that decides which entry host may place work in a shard. */
export { OwnershipDriver } from "./driver.js";
export type { OwnershipDriverOptions, OwnershipListener } from "./driver.js";
export { applyOwnershipEvent, createOwnershipState } from "./machine.js";
export type {
    ArmAnswer,
    ArmRequest,
    DisarmAnswer,
    DisarmRequest,
    Heartbeat,
    IdentifyAnswer,
    IdentifyRequest,
    OwnershipRecord,
    ReleaseAnswer,
    ReleaseRequest,
} from "./messages.js";
export { OwnershipPeers } from "./peers.js";
export { encodeOwnershipRecord, parseOwnershipRecord } from "./record.js";
export { canPlace } from "./right.js";
export { defaultOwnershipTimings } from "./types.js";
export type {
    OwnershipAction,
    OwnershipEvent,
    OwnershipSettings,
    OwnershipState,
    OwnershipTimings,
    RightBasis,
} from "./types.js";
