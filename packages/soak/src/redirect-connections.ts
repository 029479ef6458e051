/**
 * Loaded into the process of a host before its program. Connections to the addresses in an environment variable go to
 * other addresses, where the soak can cut single ways between hosts and executors.
 */
import { Socket } from "node:net";

/** Environment variable with a JSON object of addresses `<ip>:<port>`. */
export const redirectsVariable = "WAXWING_SOAK_REDIRECTS";

interface Destination {
    host?: string;
    port?: number | string;
}

type Connect = (this: Socket, ...values: unknown[]) => Socket;

function installRedirects(redirects: Readonly<Record<string, string>>): void {
    const prototype = Socket.prototype as unknown as { connect: Connect; };
    const { connect } = prototype;
    prototype.connect = function(this: Socket, ...values: unknown[]): Socket {
        // `net.connect` passes an array of the options and the listener.
        const [options, listener] = Array.isArray(values[0]) ? values[0] as unknown[] : values;
        if (typeof options === "object" && options !== null) {
            const { host, port } = options as Destination;
            const redirect = redirects[`${host}:${port}`];
            if (redirect !== undefined) {
                const [newHost, newPort] = redirect.split(":");
                // Agents find their sockets by the options, which therefore stay as they are.
                return connect.call(this, { ...options, host: newHost, port: Number(newPort) }, listener);
            }
        }
        return connect.apply(this, values);
    };
}

const content = process.env[redirectsVariable];
if (content !== undefined) {
    installRedirects(JSON.parse(content) as Record<string, string>);
}
