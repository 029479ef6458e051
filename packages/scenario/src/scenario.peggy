// Grammar of the scenario language; docs/scenarios.md describes it. `npm run generate` writes the parser.
{{
    function place(range, step) {
        return { ...step, line: range.start.line, column: range.start.column };
    }
}}

scenario = first:line rest:("\n" @line)* { return [first, ...rest].filter(step => step !== null); }

line = blank step:(@step blank)? comment? "\r"? { return step; }

comment = "#" [^\n\r]*

step
    = action:action { return place(location(), action); }

action
    = start / stop / kill / pause / resume / cut / mend / slow / lose / lapse / withdraw / declare / change / submit / drain
    / executors / tasksFail / hostList / wait / expect

start
    = "start" _ "the" _ "store" { return { kind: "setStore", isUp: true }; }
    / "start" _ name:name { return { kind: "start", name }; }

stop
    = "stop" _ "the" _ "store" { return { kind: "setStore", isUp: false }; }
    / "stop" _ name:name { return { kind: "stop", name }; }

kill = "kill" _ name:name { return { kind: "kill", name }; }

pause = "pause" _ name:name { return { kind: "pause", name }; }

resume = "resume" _ name:name { return { kind: "resume", name }; }

cut = "cut" _ from:name _ "from" _ to:name { return { kind: "setLink", from, to, isOpen: false }; }

mend = "mend" _ from:name _ "to" _ to:name { return { kind: "setLink", from, to, isOpen: true }; }

slow = "slow" _ target:target _ "by" _ delayMs:duration { return { kind: "slow", target, delayMs }; }

lose
    = "lose" _ "the" _ "answer" _ "to" _ "the" _ "next" _ "write" target:(_ "of" _ @name)? {
        return { kind: "loseAnswers", target: target ?? "store", count: 1 };
    }
    / "lose" _ "the" _ "answers" _ "to" _ "the" _ "next" _ count:number _ "writes" target:(_ "of" _ @name)? {
        return { kind: "loseAnswers", target: target ?? "store", count };
    }

lapse = "lapse" _ "the" _ "lease" _ "of" _ "task" _ task:name { return { kind: "expireLease", task }; }

withdraw = "withdraw" _ "key" _ name:name at:at? { return { kind: "revokeKey", name, at: at ?? undefined }; }

declare = "declare" _ resource:resourceKind _ name:name at:at? _ spec:json {
    return { kind: "declare", resource, name, spec, at: at ?? undefined };
}

change = "change" _ resource:resourceKind _ name:name at:at? _ spec:json {
    return { kind: "change", resource, name, spec, at: at ?? undefined };
}

at = _ "at" _ @name

drain
    = "drain" _ name:name { return { kind: "drain", name, isDraining: true }; }
    / "undrain" _ name:name { return { kind: "drain", name, isDraining: false }; }

executors
    = "make" _ target:name _ mode:executorMode _ "requests" queue:(_ "of" _ @name)? delayMs:(_ "after" _ @duration)? {
        return { kind: "setExecutor", target, mode, queue: queue ?? undefined, delayMs: delayMs ?? 0 };
    }

executorMode "echo, fail, refuse, hang, cut, repeat or delay"
    = ("echo" / "fail" / "refuse" / "hang" / "cut") { return text(); }
    / "repeat" { return "twice"; }
    / "delay" { return "late"; }

tasksFail
    = "let" _ target:name _ "fail" _ "tasks" { return { kind: "setFailing", target, isFailing: true }; }
    / "let" _ target:name _ "run" _ "tasks" { return { kind: "setFailing", target, isFailing: false }; }

hostList
    = "show" _ mode:hostListMode _ "host" _ "list" { return { kind: "setHostList", mode }; }

hostListMode "a normal, a frozen, an empty or a wrong"
    = ("a" "n"? _)? mode:$("normal" / "frozen" / "empty" / "wrong") { return mode; }

submit
    = "submit" _ "job" _ name:name _ "for" _ team:name options:(separator @jobOption)* {
        return { kind: "submitJob", name, team, ...Object.assign({}, ...options) };
    }
    / "submit" _ count:number _ ("requests" / "request") _ "to" _ queue:name options:(separator @requestOption)* {
        return { kind: "submitRequests", count, queue, ...Object.assign({}, ...options) };
    }

jobOption "a job option"
    = "kind" _ jobKind:$("batch" / "service" / "gang") { return { jobKind }; }
    / "tasks" _ tasks:number { return { tasks }; }
    / "command" _ command:string { return { command }; }
    / "cpu" _ cpuMillis:number { return { cpuMillis }; }
    / "memory" _ memoryMb:number { return { memoryMb }; }
    / "accelerators" _ accelerators:number { return { accelerators }; }
    / "priority" _ priority:number { return { priority }; }
    / "run" _ "time" _ estimatedRunMs:duration { return { estimatedRunMs }; }
    / "safe" _ "to" _ "repeat" { return { isSafeToRepeat: true }; }
    / "zone" _ zone:name { return { zone }; }
    / "key" _ key:name { return { key }; }
    / "at" _ at:name { return { at }; }

requestOption "a request option"
    = "idempotent" { return { isIdempotent: true }; }
    / "deadline" _ deadlineMs:duration { return { deadlineMs }; }
    / "body" _ bodyBytes:number _ "bytes" { return { bodyBytes }; }
    / "every" _ everyMs:duration { return { everyMs }; }
    / "with" _ "request" _ "keys" { return { hasRequestKeys: true }; }
    / "key" _ key:name { return { key }; }
    / "at" _ at:name { return { at }; }

wait = ("wait" / "advance") _ durationMs:duration { return { kind: "wait", durationMs }; }

expect = "expect" _ expectation:expectation within:(_ "within" _ @duration)? {
    return { kind: "expect", expectation, withinMs: within ?? 0, text: text() };
}

expectation
    = "no" _ "overcommit" { return { kind: "noOvercommit" }; }
    / "no" _ "task" _ "in" _ "two" _ "places" { return { kind: "noTaskInTwoPlaces" }; }
    / "no" _ "request" _ "run" _ "twice" { return { kind: "noRequestRunTwice" }; }
    / "no" _ "executor" _ "above" _ "its" _ "bounds" { return { kind: "noExecutorOverload" }; }
    / "no" _ "refused" _ "work" _ "run" { return { kind: "noRefusedWorkRun" }; }
    / "no" _ "more" _ "than" _ value:number _ amount:amount _ "of" _ "team" _ name:name {
        return { kind: "teamBound", name, amount, value };
    }
    / "every" _ "answer" _ "whole" { return { kind: "everyAnswerWhole" }; }
    / "task" _ name:name _ "not" _ "running" { return { kind: "task", name, isRunning: false }; }
    / "task" _ name:name _ "running" { return { kind: "task", name, isRunning: true }; }
    / "tasks" _ state:taskState _ bound:bound of:(_ "of" _ @group)? {
        return { kind: "tasks", state, bound, group: of ?? undefined };
    }
    / "requests" _ state:requestState _ bound:bound { return { kind: "requests", state, bound }; }
    / "job" _ name:name _ state:$("accepted" / "refused" / "lost" / "waiting") { return { kind: "job", name, state }; }
    / "process" _ name:name _ state:$("running" / "ready" / "ended") { return { kind: "process", name, state }; }

amount "cpu, memory, accelerators or slots"
    = "cpu" { return "cpuMillis"; }
    / "memory" { return "memoryMb"; }
    / "accelerators"
    / "slots"

taskState "running, started, succeeded, failed or stopped"
    = "running" / "started" / "succeeded" / "failed" / "stopped"

requestState "answered, refused, lost or waiting"
    = "answered" / "refused" / "lost" / "waiting"

group = by:$("job" / "team" / "zone") _ name:name { return { by, name }; }

bound "a bound (20, at least 20, at most 20)"
    = "at" _ "least" _ value:number { return { kind: "atLeast", value }; }
    / "at" _ "most" _ value:number { return { kind: "atMost", value }; }
    / value:number { return { kind: "exactly", value }; }

target = ("the" _ @"store") / name

resourceKind "Team, Key, Queue or Drain" = "Team" / "Key" / "Queue" / "Drain"

name "a name" = $([a-zA-Z0-9] [a-zA-Z0-9./_-]*)

number "a whole number" = digits:$[0-9]+ ![a-zA-Z.] { return Number(digits); }

duration "a duration (200ms, 1.5s, 2m)" = value:$([0-9]+ ("." [0-9]+)?) unit:("ms" / "s" / "m") ![a-zA-Z0-9] {
    return Number(value) * { ms: 1, s: 1000, m: 60000 }[unit];
}

string "a quoted text" = "\"" characters:$[^"\n\r]* "\"" { return characters; }

json "a JSON object" = text:$("{" [^\n\r]*) {
    try {
        return JSON.parse(text);
    }
    catch (cause) {
        error(`the JSON object is not valid: ${cause.message}`);
    }
}

separator = blank "," blank

_ "a space" = [ \t]+

blank = [ \t]*
