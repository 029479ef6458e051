/**
 * The longest time of each part of a caller's call, in milliseconds. What a shutdown leaves for calls is compared with
 * these; docs/platform.md has the sums.
 */

/** A host waits this long until its configuration is confirmed. */
export const configurationConfirmationMs = 400;
/** A question to the owner about a job: a round trip across regions and a busy owner. */
export const ownerQuestionMs = 400;
/** A read of a job from the store. */
export const readStateMs = 1_000;
/** A job or cancellation is tried to be written this long; the last attempt begins before its end. */
export const storeWriteMs = 1_500;
/** One attempt to write to the store. */
export const storeAttemptMs = 600;
/** A stored cancellation is acknowledged after this time although no owner has confirmed it. */
export const ownerConfirmationMs = 2_000;

/** Time before the end of a shutdown's serving time at which open calls are answered, so that the answers arrive. */
export const answerMarginMs = 100;
/**
 * The most time that has to be left for a call to be begun: it is confirmed and tried to be stored once. Less is enough
 * where submissions take less on average.
 */
export const leastServingMs = configurationConfirmationMs + storeAttemptMs + answerMarginMs;
/** The same for cancellations that wait for the owner: they are stored, which the answer should say. */
export const acknowledgementMarginMs = 2 * answerMarginMs;
