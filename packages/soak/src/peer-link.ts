/**
 * The way from one host to the peer port of another. A link that is cut holds back all bytes of both directions, as a
 * network that drops packets does, and passes them on when it is restored.
 */
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";

/** Pause after a port could not be taken, ms. */
const retryMs = 20;

/** One direction of calls between two hosts. */
export class PeerLink {
    private server: Server | undefined;
    private port = 0;
    private readonly sockets = new Set<Socket>();
    private readonly waiting = new Set<Socket>();
    private readonly cuts = new Set<object>();
    private readonly silent = new WeakSet<Socket>();
    private isTargetUp = false;

    /** `ip`: a loopback address of this run only, so that no other process takes the port while the target is gone. */
    constructor(
        readonly from: string,
        readonly to: string,
        private readonly ip: string,
        private readonly target: { readonly ip: string; readonly port: number; },
    ) {}

    async open(): Promise<void> {
        await this.listen();
        this.port = (this.server!.address() as AddressInfo).port;
        this.closeServer();
    }

    get address(): string {
        return `${this.ip}:${this.port}`;
    }

    /** Listens while the target does, so that connections are refused while it is gone. */
    async setTargetUp(isUp: boolean): Promise<void> {
        this.isTargetUp = isUp;
        await this.updateServer();
    }

    /** Cuts the link until the returned function is called. */
    pause(): () => void {
        const id = {};
        this.cuts.add(id);
        this.sockets.forEach(socket => socket.pause());
        void this.updateServer();
        return () => {
            this.cuts.delete(id);
            if (this.cuts.size === 0) {
                this.sockets.forEach(socket => socket.resume());
                const held = [...this.waiting];
                this.waiting.clear();
                held.forEach(socket => this.forward(socket));
                void this.updateServer();
            }
        };
    }

    /** Lets nothing pass over the present connections any more, also not their ends. New ones work. */
    dropTraffic(): void {
        this.sockets.forEach(socket => this.silent.add(socket));
    }

    close(): void {
        this.closeServer();
        this.sockets.forEach(socket => socket.destroy());
        this.waiting.forEach(socket => socket.destroy());
    }

    private async updateServer(): Promise<void> {
        const mustListen = this.isTargetUp || this.cuts.size > 0;
        if (mustListen && this.server === undefined) {
            await this.listen();
        }
        else if (!mustListen) {
            this.closeServer();
        }
    }

    private closeServer(): void {
        this.server?.close();
        this.server = undefined;
    }

    private listen(): Promise<void> {
        const server = createServer(socket => this.accept(socket));
        this.server = server;
        return new Promise(resolve => {
            // The port may still be in use by the server that was closed just before.
            server.on("error", () => {
                setTimeout(() => {
                    if (this.server === server) {
                        server.listen(this.port, this.ip);
                    }
                }, retryMs);
            });
            server.once("listening", () => resolve());
            server.listen(this.port, this.ip);
        });
    }

    private accept(socket: Socket): void {
        socket.on("error", () => socket.destroy());
        socket.once("close", () => this.waiting.delete(socket));
        if (this.cuts.size > 0) {
            socket.pause();
            this.waiting.add(socket);
        }
        else {
            this.forward(socket);
        }
    }

    private forward(client: Socket): void {
        if (client.destroyed) {
            return;
        }
        const { ip, port } = this.target;
        const upstream = connect({ host: ip, port });
        this.join(client, upstream);
        this.join(upstream, client);
    }

    private join(from: Socket, to: Socket): void {
        this.sockets.add(from);
        from.on("data", chunk => {
            if (!this.silent.has(from)) {
                to.write(chunk);
            }
        });
        from.on("error", () => {
            from.destroy();
            if (!this.silent.has(from)) {
                // A reset would leave the handle open if the end of the stream is on its way.
                to.destroy();
            }
        });
        from.once("close", () => {
            this.sockets.delete(from);
            if (!to.destroyed && !this.silent.has(from)) {
                to.end();
            }
        });
        if (this.cuts.size > 0) {
            from.pause();
        }
    }
}
