/** Small stand-ins for the platform, with fault injection, for tests and the demo. */
export {};
