/**
 * Bounds of every field of a resource. They follow from the target size of the fleet (docs/design.md, section 1.7) with
 * room for one more order of magnitude.
 */

/** Longest JSON text of one resource, in bytes. The store takes at most 1 MB. */
export const maxResourceBytes = 256 * 1024;
/** Largest weight of a team. */
export const maxTeamWeight = 10_000;
/** Largest upper limit of a team in each resource: about a hundred times the target fleet would be absurd. */
export const maxTeamCpuMillis = 1_000_000_000;
export const maxTeamMemoryMb = 4_000_000_000;
export const maxTeamAccelerators = 1_000_000;
export const maxTeamSlots = 1_000_000;
/** Largest size of one task: larger than any worker sold today. */
export const maxTaskCpuMillis = 1_024_000;
export const maxTaskMemoryMb = 16_777_216;
export const maxTaskAccelerators = 64;
/** Most tasks of one job; the fleet runs 190,000 in total. */
export const maxTaskCount = 100_000;
/** Most tasks of a gang, which starts within one shard. */
export const maxGangTaskCount = 1_000;
/** Longest command, in characters. */
export const maxCommandLength = 4_096;
/** Most requests that wait in one queue. */
export const maxWaitingRequests = 100_000;
/** Longest deadline of a request, in milliseconds (one hour). */
export const maxRequestDeadlineMs = 3_600_000;
/** Longest estimated run time of a task, in milliseconds (one year). */
export const maxEstimatedRunMs = 31_536_000_000;
/** Largest priority; higher is more urgent. */
export const maxPriority = 1_000;
/** Longest free text, in characters. */
export const maxReasonLength = 256;
/** Largest revision; above it a number would lose digits. */
export const maxRevision = Number.MAX_SAFE_INTEGER;
