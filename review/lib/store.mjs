/**
 * Stand-in of the platform's metadata store: keys, ranges, watches, transactions and leases. Each host gets an address
 * of its own, so that the store can be cut off from single hosts.
 */
import { closeServer, listen, readJson, reply } from "./http.mjs";

/** Most items of one page of a range. */
const pageItems = 500;
/** Answer time of the store, ms. */
const answerMs = 4;

export class Store {
    #items = new Map();
    #leases = new Map();
    #history = [];
    #revision = 1;
    #nextLease = 1;
    #watchers = new Set();
    #servers = [];

    /** Opens an address of the store. `getState` returns `up`, `silent` or `busy` for the host that uses it. */
    async open(getState = () => "up") {
        const server = await listen((request, response) => this.#handle(request, response, getState));
        this.#servers.push(server);
        return server.address;
    }

    close() {
        this.#servers.forEach(closeServer);
        this.#leases.forEach(({ timer }) => clearTimeout(timer));
        this.#watchers.forEach(({ timer }) => clearTimeout(timer));
    }

    /** Writes a key as the operator or as an executor. */
    put(key, content) {
        this.#set(key, Buffer.from(typeof content === "string" ? content : JSON.stringify(content)).toString("base64"), 0);
        this.#notify();
    }

    remove(key) {
        this.#remove(key);
        this.#notify();
    }

    /** Returns the text of a key, or `undefined`. */
    read(key) {
        const item = this.#items.get(key);
        return item === undefined ? undefined : Buffer.from(item.value, "base64").toString("utf8");
    }

    listKeys(prefix) {
        return [...this.#items.keys()].filter(key => key.startsWith(prefix)).sort();
    }

    async #handle(request, response, getState) {
        const body = await readJson(request);
        const state = getState();
        if (state === "silent") {
            return;
        }
        if (state === "busy") {
            reply(response, 503, {});
            return;
        }
        setTimeout(() => {
            // A cut that began meanwhile also holds back the answer.
            if (getState() !== "silent") {
                this.#execute(request, response, body, getState);
            }
        }, answerMs);
    }

    #execute(request, response, body, getState) {
        const url = new URL(request.url, "http://store");
        const query = url.searchParams;
        const path = url.pathname.replace("/waxwingroute/kv-", "");
        if (request.method === "GET" && path === "key") {
            const item = this.#items.get(query.get("key"));
            const found = { ...item, store_revision: this.#revision };
            reply(response, item === undefined ? 404 : 200, item === undefined ? { store_revision: this.#revision } : found);
        }
        else if (request.method === "GET" && path === "range") {
            const after = query.get("after") ?? "";
            const keys = this.listKeys(query.get("prefix")).filter(key => key > after);
            const items = keys.slice(0, pageItems).map(key => this.#items.get(key));
            reply(response, 200, { items, has_more: keys.length > pageItems, store_revision: this.#revision });
        }
        else if (request.method === "GET" && path === "watch") {
            this.#watch(response, query, getState);
        }
        else if (path === "txn") {
            this.#commit(response, body);
        }
        else if (path === "lease") {
            const lease = this.#nextLease++;
            this.#leases.set(lease, { ttlMs: body.ttl_ms, keys: new Set() });
            this.#renew(lease);
            reply(response, 200, { lease, ttl_ms: body.ttl_ms });
        }
        else if (path.startsWith("keep/")) {
            const lease = Number(path.slice(5));
            const known = this.#leases.get(lease);
            if (known !== undefined) {
                this.#renew(lease);
            }
            reply(response, known === undefined ? 404 : 200, known === undefined ? {} : { ttl_ms: known.ttlMs });
        }
        else if (path.startsWith("lease-end/")) {
            this.#endLease(Number(path.slice(10)));
            reply(response, 200, {});
        }
        else {
            reply(response, 400, {});
        }
    }

    #watch(response, query, getState) {
        const prefix = query.get("prefix");
        const after = Number(query.get("after"));
        const watcher = {
            answer: isLast => {
                const events = this.#history.filter(event => event.revision > after && event.key.startsWith(prefix));
                if (events.length === 0 && !isLast) {
                    return;
                }
                clearTimeout(watcher.timer);
                this.#watchers.delete(watcher);
                const state = getState();
                if (state === "up") {
                    reply(response, 200, { events, store_revision: this.#revision });
                }
                else if (state === "busy") {
                    reply(response, 503, {});
                }
            },
        };
        watcher.timer = setTimeout(() => watcher.answer(true), Number(query.get("wait_ms")));
        this.#watchers.add(watcher);
        response.on("close", () => {
            clearTimeout(watcher.timer);
            this.#watchers.delete(watcher);
        });
        watcher.answer(false);
    }

    #commit(response, body) {
        const conditions = body.expected_rev ?? [];
        const writes = body.set_keys ?? [];
        const holds = conditions.every(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision);
        if (!holds) {
            const items = conditions.map(({ key }) => this.#items.get(key) ?? { key, revision: 0 });
            reply(response, 412, { items });
        }
        else if (writes.some(({ lease }) => lease !== 0 && lease !== undefined && !this.#leases.has(lease))) {
            reply(response, 404, {});
        }
        else {
            this.#revision += 1;
            writes.forEach(({ key, value, lease }) => this.#set(key, value, lease ?? 0, this.#revision));
            (body.remove ?? []).forEach(key => this.#remove(key, this.#revision));
            reply(response, 200, { revision: this.#revision });
            this.#notify();
        }
    }

    #set(key, value, lease, revision = ++this.#revision) {
        const created = this.#items.get(key)?.created ?? revision;
        const item = { key, value, revision, created, lease };
        this.#items.set(key, item);
        this.#leases.get(lease)?.keys.add(key);
        this.#history.push(item);
    }

    #remove(key, revision = ++this.#revision) {
        if (this.#items.delete(key)) {
            this.#history.push({ key, revision, deleted: true });
        }
    }

    #notify() {
        [...this.#watchers].forEach(watcher => watcher.answer(false));
    }

    #renew(lease) {
        const row = this.#leases.get(lease);
        clearTimeout(row.timer);
        row.timer = setTimeout(() => this.#endLease(lease), row.ttlMs);
    }

    #endLease(lease) {
        const row = this.#leases.get(lease);
        if (row === undefined) {
            return;
        }
        clearTimeout(row.timer);
        this.#leases.delete(lease);
        row.keys.forEach(key => {
            if (this.#items.get(key)?.lease === lease) {
                this.#remove(key);
            }
        });
        this.#notify();
    }
}
