/** Schemas, checks and the store repository of operator resources. */
export {};
