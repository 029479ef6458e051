/** Measurements of decisions, waiting time, packing, shares, request path and control cost. */
export {};
