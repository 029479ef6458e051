/** The program of a host that runs without separate control machines. */
export { runNode } from "./node-program.js";
