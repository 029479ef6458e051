/**
 * An entry server on loopback with a fake gateway and fake access control.
 */
import { createFailure, Err, Ok, SystemClock, toId } from "@waxwingroute/core";
import type { ExecutorId, Failure, QueueId, RequestKey, Result, ShardId, TeamId } from "@waxwingroute/core";
import type { Answer, RequestFailure } from "@waxwingroute/routing";
import { EntryServer } from "../entry-server.js";
import { AccessControl, ShardGateway } from "../types.js";
import type {
    AccessFailure,
    AuthorizedCaller,
    EntryRequest,
    EntryRequestOutcome,
    EntryServerOptions,
} from "../types.js";

/** A request key of shard `glasgow/0`. */
export const requestKey = toId<RequestKey>("glasgow.0.1.1.0123456789abcdef");

/** A call that reached the gateway. */
export interface GatewayCall {
    readonly shard: ShardId | undefined;
    readonly request: EntryRequest;
    readonly body: Uint8Array;
}

/** Answers with the body of the request, unless a test replaces `handleCall`. */
export class FakeShardGateway extends ShardGateway {
    readonly calls: GatewayCall[] = [];
    handleCall: (call: GatewayCall) => Promise<Result<Answer, RequestFailure>>;

    constructor() {
        super();
        this.handleCall = call => Promise.resolve(Ok(this.createEchoAnswer(call)));
    }

    execute(
        shard: ShardId | undefined,
        request: EntryRequest,
        body: Uint8Array,
    ): Promise<Result<Answer, RequestFailure>> {
        const call = { shard, request, body };
        this.calls.push(call);
        return this.handleCall(call);
    }

    async issueRequestKey(): Promise<Result<RequestKey, Failure>> {
        return Ok(requestKey);
    }

    /** Creates an answer with the body and content type of the request. */
    createEchoAnswer({ request, body }: GatewayCall, status = 200): Answer {
        const { contentType } = request;
        return {
            requestKey: request.requestKey ?? requestKey,
            executor: toId<ExecutorId>("e"),
            status,
            contentType,
            body,
        };
    }
}

/** Knows the API key `secret` of the team `quotes`, and the queues `orders`, `plans` (another team) and `open`. */
export class FakeAccessControl extends AccessControl {
    authorize(apiKey: string | undefined, queue: QueueId | undefined): Result<AuthorizedCaller, AccessFailure> {
        const refuse = (status: number, code: string) =>
            Err({ ...createFailure(code, `refused with ${code}`, "notRun"), status });
        if (queue === "open") {
            return Ok({ team: toId<TeamId>("public"), defaultDeadlineMs: 1000 });
        }
        if (apiKey !== "secret") {
            return refuse(401, "bad-key");
        }
        if (queue === "plans") {
            return refuse(403, "wrong-team");
        }
        return queue === undefined || queue === "orders"
            ? Ok({ team: toId<TeamId>("quotes"), defaultDeadlineMs: 1000 })
            : refuse(404, "unknown-queue");
    }
}

/** A started entry server with fakes behind it. */
export interface EntryFixture {
    readonly server: EntryServer;
    readonly gateway: FakeShardGateway;
    readonly outcomes: EntryRequestOutcome[];
    readonly port: number;
}

/** Starts an entry server on a free port; `options` replace the fixture's own. */
export async function startEntry(options: Partial<EntryServerOptions> = {}): Promise<EntryFixture> {
    const gateway = new FakeShardGateway();
    const outcomes: EntryRequestOutcome[] = [];
    const server = new EntryServer({
        clock: new SystemClock(),
        gateway,
        accessControl: new FakeAccessControl(),
        onRequestEnd: outcome => outcomes.push(outcome),
        ...options,
    });
    return { server, gateway, outcomes, port: await server.start() };
}
