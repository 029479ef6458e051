// Stand-in of the platform's metadata store, by PROTOCOL.md, "The platform's metadata store".
import { createServer } from "node:http";

const pageItems = 500;

/** The store's content and its HTTP interface. `mode`: `up`, `busy` (503 to each call) or `silent`. */
export class Store {
    mode = "up";
    revision = 1;
    items = new Map();
    leases = new Map();
    history = [];
    watchers = new Set();
    nextLease = 1;

    async listen(ip) {
        this.server = createServer((request, response) => this.receive(request, response));
        this.server.keepAliveTimeout = 120_000;
        await new Promise(resolve => this.server.listen(0, ip, resolve));
        this.address = `${ip}:${this.server.address().port}`;
    }

    close() {
        this.leases.forEach(lease => clearTimeout(lease.timer));
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Writes a key as the operator or an executor does. */
    put(key, value) {
        this.revision += 1;
        this.set(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
        this.notify();
    }

    /** Removes a key as the platform does. */
    remove(key) {
        if (this.items.has(key)) {
            this.revision += 1;
            this.drop(key);
            this.notify();
        }
    }

    set(key, value, lease) {
        const created = this.items.get(key)?.created ?? this.revision;
        const item = { key, value, revision: this.revision, created, lease };
        this.items.set(key, item);
        this.leases.get(lease)?.keys.add(key);
        this.history.push(item);
    }

    drop(key) {
        if (this.items.delete(key)) {
            this.history.push({ key, revision: this.revision, deleted: true });
        }
    }

    notify() {
        [...this.watchers].forEach(watcher => watcher(false));
    }

    async receive(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString("utf8"));
        setTimeout(() => this.answer(request, body, response), 4);
    }

    answer(request, body, response) {
        if (this.mode === "silent") {
            return;
        }
        if (this.mode === "busy") {
            this.reply(response, 503, {});
            return;
        }
        const url = new URL(request.url, "http://store");
        const path = url.pathname.replace("/waxwingroute/", "");
        const query = url.searchParams;
        if (path === "kv-key") {
            const item = this.items.get(query.get("key"));
            this.reply(response, item === undefined ? 404 : 200, { ...item, store_revision: this.revision });
        }
        else if (path === "kv-range") {
            const prefix = query.get("prefix") ?? "";
            const after = query.get("after") ?? "";
            const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
            this.reply(response, 200, {
                items: keys.slice(0, pageItems).map(key => this.items.get(key)),
                has_more: keys.length > pageItems,
                store_revision: this.revision,
            });
        }
        else if (path === "kv-watch") {
            this.watch(response, query.get("prefix") ?? "", Number(query.get("after")), Number(query.get("wait_ms")));
        }
        else if (path === "kv-txn") {
            this.commit(response, body);
        }
        else if (path === "kv-lease") {
            const lease = this.nextLease++;
            this.leases.set(lease, { ttlMs: body.ttl_ms, keys: new Set(), timer: undefined });
            this.renew(lease);
            this.reply(response, 200, { lease, ttl_ms: body.ttl_ms });
        }
        else if (path.startsWith("kv-keep/")) {
            const lease = Number(path.slice("kv-keep/".length));
            const isKnown = this.leases.has(lease);
            if (isKnown) {
                this.renew(lease);
            }
            this.reply(response, isKnown ? 200 : 404, { ttl_ms: this.leases.get(lease)?.ttlMs });
        }
        else if (path.startsWith("kv-lease-end/")) {
            this.endLease(Number(path.slice("kv-lease-end/".length)));
            this.reply(response, 200, {});
        }
        else {
            this.reply(response, 400, {});
        }
    }

    watch(response, prefix, after, waitMs) {
        const finish = () => {
            clearTimeout(timer);
            this.watchers.delete(watcher);
        };
        const watcher = isLast => {
            const events = this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
            if (events.length > 0 || isLast) {
                finish();
                this.reply(response, this.mode === "up" ? 200 : 503, { events, store_revision: this.revision });
            }
        };
        const timer = setTimeout(() => watcher(true), waitMs);
        response.once("close", finish);
        this.watchers.add(watcher);
        watcher(false);
    }

    commit(response, { expected_rev: conditions = [], set_keys: writes = [], remove: removals = [] }) {
        if (conditions.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
            this.reply(response, 412, {
                items: conditions.map(({ key }) => this.items.get(key) ?? { key, revision: 0 }),
            });
            return;
        }
        if (writes.some(({ lease }) => lease !== 0 && !this.leases.has(lease))) {
            this.reply(response, 404, {});
            return;
        }
        this.revision += 1;
        writes.forEach(({ key, value, lease }) => this.set(key, value, lease));
        removals.forEach(key => this.drop(key));
        this.reply(response, 200, { revision: this.revision });
        this.notify();
    }

    renew(id) {
        const lease = this.leases.get(id);
        clearTimeout(lease.timer);
        lease.timer = setTimeout(() => this.endLease(id), lease.ttlMs);
    }

    endLease(id) {
        const lease = this.leases.get(id);
        if (lease === undefined) {
            return;
        }
        // While the store is down, leases pause.
        if (this.mode !== "up") {
            this.renew(id);
            return;
        }
        clearTimeout(lease.timer);
        this.leases.delete(id);
        this.revision += 1;
        [...lease.keys].filter(key => this.items.get(key)?.lease === id).forEach(key => this.drop(key));
        this.notify();
    }

    reply(response, status, content) {
        if (!response.destroyed && this.mode !== "silent") {
            const body = JSON.stringify(content);
            response.writeHead(status, {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
            });
            response.end(body);
        }
    }
}
