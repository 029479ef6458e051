/**
 * Binds the servers of a program to their addresses.
 */
import type { Server } from "node:net";

/** Address and handlers of `bindServer`. */
export interface BindServerOptions {
    /** IP number. */
    readonly address: string;
    readonly port: number;
    /** Called with errors of the server after it was bound, such as a connection that cannot be accepted. */
    readonly onError: (error: Error) => void;
}

/**
 * Starts to listen. Rejects with the error of the system, for example with code `EADDRINUSE`; then it may be called again.
 * Errors after that end no process, since each concerns one connection.
 */
export function bindServer(server: Server, { address, port, onError }: BindServerOptions): Promise<void> {
    return new Promise((resolve, reject) => {
        const onFailure = (error: Error) => {
            server.off("listening", onListening);
            reject(error);
        };
        const onListening = () => {
            server.off("error", onFailure);
            server.on("error", onError);
            resolve();
        };
        server.once("error", onFailure);
        server.once("listening", onListening);
        server.listen(port, address);
    });
}
