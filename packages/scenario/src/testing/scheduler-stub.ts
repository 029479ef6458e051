/**
 * The stub as `waxwing-scheduler`; the name of the file tells the stub which ports are its own.
 */
import "./stub-program.js";
