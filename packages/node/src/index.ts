/** The program of a host without a control machine beside it. */
export { runNode } from "./node-program.js";
