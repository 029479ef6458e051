/**
 * Routing: a request with a request key runs once; a repeat with the same key receives the first response.
 */
import { Ok, SystemClock, SystemRandom, toId } from "@waxwingroute/core";
import type { ExecutorId, QueueId, ShardId, TeamId } from "@waxwingroute/core";
import { Executor } from "@waxwingroute/platform";
import type { ExecutorRequest } from "@waxwingroute/platform";
import { RequestRouter } from "@waxwingroute/routing";

const executor = toId<ExecutorId>("echo");
let runCount = 0;

class CountingExecutor extends Executor {
    async execute({ attempt }: ExecutorRequest) {
        runCount++;
        return Ok({ attempt, status: 200, contentType: "text/plain", body: Buffer.from(`run ${runCount}`) });
    }

    async list() {
        return Ok({ executor, slots: 8, isDraining: false, running: [] });
    }
}

const clock = new SystemClock();
const router = new RequestRouter({
    clock,
    random: new SystemRandom(),
    shard: toId<ShardId>("glasgow/0"),
    epoch: 1,
    // The scheduler returns whether this owner still holds the right to place.
    canSend: () => true,
});
const team = toId<TeamId>("quotes");
router.updateTeam({ team, weight: 1, slots: 8 });
router.updateExecutor({
    executor,
    access: new CountingExecutor(),
    slots: 8,
    connections: 64,
    queues: [],
    isDraining: false,
});
const timer = setInterval(() => router.tick(clock.getNow()), 20);

const requestKey = router.issueKey();
for (const attempt of ["first", "repeated"]) {
    const result = await router.execute({
        team,
        queue: toId<QueueId>("orders"),
        requestKey,
        isIdempotent: false,
        deadline: clock.getNow() + 5_000,
        body: Buffer.from("order 42"),
        contentType: "text/plain",
    });
    console.log(`${attempt}: ${result.ok ? Buffer.from(result.val.body).toString() : result.val.message}`);
}
await router.stop();
clearInterval(timer);
