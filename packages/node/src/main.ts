/** Entry point of `waxwing-node`. */
import { runNode } from "./node-program.js";

void runNode();
