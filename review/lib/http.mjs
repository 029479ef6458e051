/** Small HTTP helpers of the stand-ins and of the caller. */
import { createServer, request as createRequest } from "node:http";

/** Starts a server on a free port of 127.0.0.1. The result has its `address`. */
export function listen(handle, host = "127.0.0.1") {
    const server = createServer((request, response) => void handle(request, response));
    server.keepAliveTimeout = 0;
    server.requestTimeout = 0;
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, host, () => {
            server.listenAddress = `${host}:${server.address().port}`;
            resolve({ server, address: server.listenAddress });
        });
    });
}

export function closeServer({ server }) {
    server.close();
    server.closeAllConnections();
}

/** Reads a JSON body; an empty or cut body gives `{}`. */
export async function readJson(request) {
    const chunks = [];
    try {
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        return JSON.parse(Buffer.concat(chunks).toString("utf8") || "{}");
    }
    catch {
        return {};
    }
}

export function reply(response, status, content) {
    if (!response.destroyed) {
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(content));
    }
}

/** Sends one request and returns its status and content; status 0 means that no answer came. */
export function send(address, method, path, { headers = {}, content, timeoutMs = 3_000 } = {}) {
    const [host, port] = address.split(":");
    const body = content === undefined ? undefined : JSON.stringify(content);
    return new Promise(resolve => {
        const request = createRequest({
            host,
            port,
            method,
            path,
            agent: false,
            headers: body === undefined ? headers : { ...headers, "content-type": "application/json", "content-length": Buffer.byteLength(body) },
        }, async response => resolve({ status: response.statusCode, content: await readJson(response) }));
        request.setTimeout(timeoutMs, () => request.destroy());
        request.on("error", () => resolve({ status: 0, content: {} }));
        request.end(body);
    });
}
