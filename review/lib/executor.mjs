/**
 * Stand-in of an executor: starts whatever it is told to start, keeps leases, lists runs and ends, and registers itself
 * in the store. The payload `ms=N` of a task gives its run time.
 */
import { closeServer, listen, readJson, reply } from "./http.mjs";

/** Ends that one listing holds at most. */
const listedEnds = 500;
/** Longest lease that is granted, ms. */
const holdMaxMs = 6_000;
/** Time from a stop to the end of the run, ms. */
const stopMs = 50;
/** Interval of the entries in the store, ms. */
const heartbeatMs = 1_500;

export class Executor {
    /** Starts that were carried out: task, run, begin and end on the clock of the test, how, and when it was acked. */
    runs = [];
    #running = new Map();
    #finished = [];
    #nextEnd = 1;
    #endedRuns = new Map();
    #token = 0;
    #leaseEndsAt = 0;
    #waiting = new Set();
    #timers = new Set();
    #sequence = 0;
    #sockets = new Map();
    #isUp = false;

    /** `isReachable(socket)` says whether the sender of a connection reaches this executor at present. */
    constructor({ id, service, zone, labels, capacity, store, record, isReachable = () => true }) {
        Object.assign(this, { id, service, zone, labels, capacity, store, record, isReachable });
    }

    async open() {
        this.http = await listen((request, response) => this.#handle(request, response));
        this.address = this.http.address;
        this.#boot();
    }

    /** Ends this life of the executor: all that ran is gone, and connections to it are reset. */
    crash() {
        this.#isUp = false;
        this.record.write("executor-crash", { executor: this.id });
        clearInterval(this.heartbeat);
        this.#running.forEach(run => this.#finish(run, "crashed"));
        this.http.server.closeAllConnections();
    }

    /** Begins a new life under the same id and at the same address. */
    restart(changes = {}) {
        Object.assign(this, changes);
        this.#running.clear();
        this.#finished = [];
        this.#nextEnd = 1;
        this.#endedRuns.clear();
        this.#token = 0;
        this.#leaseEndsAt = 0;
        this.record.write("executor-start", { executor: this.id, ...changes });
        this.#boot();
    }

    close() {
        clearInterval(this.heartbeat);
        clearInterval(this.leaseTimer);
        this.#timers.forEach(clearTimeout);
        closeServer(this.http);
    }

    #boot() {
        this.born = Date.now();
        this.bootedAt = performance.now();
        this.#isUp = true;
        this.#register();
        clearInterval(this.heartbeat);
        clearInterval(this.leaseTimer);
        this.heartbeat = setInterval(() => this.#register(), heartbeatMs);
        this.leaseTimer = setInterval(() => this.#expire(), 20);
    }

    #register() {
        const { service, address, zone, capacity, labels, born } = this;
        this.store.put(`servers/${this.id}`, {
            service, address, zone, version: "v1", slots: 8, state: "ready", cold_remaining_ms: 0, capacity, labels,
            clock_ms: this.clock, sequence: ++this.#sequence, born,
        });
    }

    get clock() {
        return Math.floor(performance.now() - this.bootedAt);
    }

    async #handle(request, response) {
        const body = await readJson(request);
        if (!this.#isUp) {
            request.socket.destroy();
            return;
        }
        if (!this.isReachable(request.socket)) {
            return;
        }
        const answer = (status, content) => {
            // A cut that began meanwhile also holds back the answer.
            if (this.isReachable(request.socket)) {
                reply(response, status, { clock_ms: this.clock, born: this.born, ...content });
            }
        };
        if (request.headers["x-expected-instance"] !== this.id) {
            answer(421, {});
        }
        else if ((body.fencing_token ?? 0) < this.#token) {
            answer(409, { reason: "fence" });
        }
        else {
            this.#token = Math.max(this.#token, body.fencing_token ?? 0);
            const operation = request.url.replace("/waxwingroute/", "");
            if (this.isShedding && operation === "run-start") {
                this.record.write("shed", { executor: this.id, task: body.task, run: body.run });
                answer(503, {});
                return;
            }
            if (operation === "run-start") {
                this.#start(body, answer);
            }
            else if (operation === "run-stop") {
                this.#stop(body, answer);
            }
            else if (operation === "hold") {
                this.#hold(body, answer);
            }
            else {
                answer(operation === "pace" ? 200 : 404, {});
            }
        }
    }

    #extend(deadlineMs) {
        if (deadlineMs !== undefined) {
            this.#leaseEndsAt = Math.max(this.#leaseEndsAt, Math.min(deadlineMs, this.clock + holdMaxMs));
        }
    }

    #start({ task, run, spec, deadline_ms: deadlineMs, fencing_token: token }, answer) {
        if (this.#running.get(task)?.run === run) {
            answer(200, {});
        }
        else if (run <= (this.#endedRuns.get(task) ?? 0) || this.#running.has(task)) {
            this.#extend(deadlineMs);
            answer(409, { reason: "old" });
        }
        else if (deadlineMs < this.clock) {
            answer(409, { reason: "late" });
        }
        else {
            this.#extend(deadlineMs);
            const row = { executor: this.id, task, run, beganAt: this.record.now, token, isEnded: false };
            this.runs.push(row);
            this.#running.set(task, row);
            this.record.write("start", { executor: this.id, task, run, token });
            row.workMs = Number(/ms=(\d+)/.exec(spec)?.[1] ?? 1_000);
            this.#schedule(row.workMs, () => this.#end(row, "done"));
            answer(200, {});
        }
    }

    #schedule(ms, action) {
        const timer = setTimeout(() => {
            this.#timers.delete(timer);
            action();
        }, ms);
        this.#timers.add(timer);
    }

    #stop({ task, run }, answer) {
        this.#endedRuns.set(task, Math.max(this.#endedRuns.get(task) ?? 0, run));
        const row = this.#running.get(task);
        if (row?.run === run) {
            this.#schedule(stopMs, () => this.#end(row, "stopped"));
        }
        answer(200, {});
    }

    #end(row, how) {
        if (!row.isEnded) {
            this.#finish(row, how);
            this.#running.delete(row.task);
            this.#endedRuns.set(row.task, Math.max(this.#endedRuns.get(row.task) ?? 0, row.run));
            row.number = this.#nextEnd++;
            this.#finished.push(row);
            [...this.#waiting].forEach(wake => wake());
        }
    }

    #finish(row, how) {
        row.isEnded = true;
        row.how = how;
        row.endedAt = this.record.now;
        this.record.write("end", { executor: this.id, task: row.task, run: row.run, how });
    }

    /** Ends everything when the lease has run out, and notes for the ends that wait that it has. */
    #expire() {
        if (this.clock > this.#leaseEndsAt) {
            [...this.#running.values()].forEach(row => this.#end(row, "lapsed"));
            this.#finished.forEach(row => {
                row.hasLapsed = true;
            });
        }
    }

    #hold({ acked = 0, deadline_ms: deadlineMs, wait_ms: waitMs = 0 }, answer) {
        this.#extend(deadlineMs);
        this.#finished.filter(row => row.number <= acked).forEach(row => {
            row.ackedAt = this.record.now;
            this.record.write("acked", { executor: this.id, task: row.task, run: row.run, how: row.how });
        });
        this.#finished = this.#finished.filter(row => row.number > acked);
        const list = () =>
            answer(200, {
                running: [...this.#running.values()].map(row => [row.task, row.run, "", this.#getPercent(row)]),
                finished: this.#finished.slice(0, listedEnds).map(row => [row.number, row.task, row.run, row.how, ""]),
            });
        if (waitMs === 0 || this.#finished.length > 0) {
            list();
            return;
        }
        const wake = () => {
            clearTimeout(timer);
            this.#timers.delete(timer);
            this.#waiting.delete(wake);
            list();
        };
        const timer = setTimeout(wake, waitMs);
        this.#timers.add(timer);
        this.#waiting.add(wake);
    }

    #getPercent(row) {
        return Math.min(99, Math.floor((this.record.now - row.beganAt) / row.workMs * 100));
    }
}
