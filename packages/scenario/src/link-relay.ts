/**
 * A TCP relay between two processes of a test, so that the link between them can be cut without their help.
 */
import type { Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** Options of `LinkRelay`. */
export interface LinkRelayOptions {
    /** IP address on which it listens. */
    readonly address: string;
    readonly targetAddress: string;
    readonly targetPort: number;
}

/** Forwards connections to one target. While cut, it takes connections and bytes and forwards nothing, as a lost link does. */
export class LinkRelay {
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private isOpen = true;
    private bytes = 0;

    constructor(private readonly options: LinkRelayOptions) {
        this.server = createServer(incoming => this.accept(incoming));
    }

    /** Port on which it listens; valid after `listen`. */
    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Bytes forwarded in both directions since it was created. */
    get byteCount(): number {
        return this.bytes;
    }

    /** Begins to listen on a free port. */
    listen(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(0, this.options.address, () => resolve());
        });
    }

    /** Opens or cuts the link. Opening it ends the connections that lost bytes while it was cut. */
    setOpen(isOpen: boolean): void {
        if (isOpen && !this.isOpen) {
            this.dropSockets();
        }
        this.isOpen = isOpen;
    }

    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.dropSockets();
        });
    }

    private accept(incoming: Socket): void {
        this.track(incoming);
        if (!this.isOpen) {
            // Reads and drops, so that the sender sees neither an answer nor an end.
            incoming.resume();
            return;
        }
        const { targetAddress, targetPort } = this.options;
        const outgoing = connect(targetPort, targetAddress);
        this.track(outgoing);
        this.forward(incoming, outgoing);
        this.forward(outgoing, incoming);
    }

    private forward(from: Socket, to: Socket): void {
        from.on("data", (chunk: Buffer) => {
            this.bytes += chunk.length;
            if (this.isOpen && !to.write(chunk)) {
                from.pause();
                to.once("drain", () => from.resume());
            }
        });
        from.on("end", () => this.isOpen && to.end());
        from.on("close", () => this.isOpen && to.destroy());
    }

    private track(socket: Socket): void {
        this.sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
    }

    private dropSockets(): void {
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }
}
