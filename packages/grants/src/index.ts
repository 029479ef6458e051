/** Splits each team's upper limit into grants to shards. */
export { fitsGrant, intersectGrants, sumGrants, zeroGrant } from "./grant-vector.js";
export type { GrantVector } from "./grant-vector.js";
export { GrantsDriver } from "./grants-driver.js";
export type { GrantsDriverOptions } from "./grants-driver.js";
export { planGrants } from "./plan.js";
export type { TeamLimit, TeamUsage } from "./plan.js";
export { reclaimGrants } from "./reclaim.js";
