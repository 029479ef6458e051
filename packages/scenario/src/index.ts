/** A small language for failure scenarios, its parser and its runner. */
export {};
