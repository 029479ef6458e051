/** A replica of the configuration, kept current by one store watch a zone and digests between zones. */
export {};
