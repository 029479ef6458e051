/** Scenarios that prove the promises, in process and over real processes. */
export {};
