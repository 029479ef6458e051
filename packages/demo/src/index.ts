/** Starts the small layout on stand-ins and drives it through the command line and HTTP. */
export {};
