/**
 * A stand-in for a worker process (a minion): takes orders, runs tasks that only wait, and writes its
 * registration to the store. Prints one JSON line for each thing that happens to a run.
 *
 * The payload of a job says how long a task takes: {"ms":2000}; the tasks of a long-running step work until
 * they are stopped.
 */
import * as http from "node:http";
import { createInterface } from "node:readline";
import { parseArgs } from "node:util";
import { readJson, reply } from "./http_server.mjs";

const HEARTBEAT_MS = 1_500;
const HOLD_MAX_MS = 10_000;
const STOP_MS = 100;
const LASTING_STARTUP_MS = 500;
const CHECKPOINT_MS = 1_000;

const { values: options } = parseArgs({
  options: {
    address: { type: "string" },
    /** The address that the registration names; a proxy's, if the case cuts the worker off. */
    "public-address": { type: "string" },
    id: { type: "string" },
    machine: { type: "string" },
    pool: { type: "string" },
    store: { type: "string" },
    zone: { type: "string", default: "zone-a" },
    rack: { type: "string", default: "r1" },
    cpu: { type: "string", default: "16000" },
    /** How long after the first order can be taken the worker writes its first registration. */
    "register-after-ms": { type: "string", default: "0" },
  },
});
const born = Date.now();
const free = { cpu: Number(options.cpu), "mem-mb": 32_768, gpu: 0 };
const runs = new Map();
const highestOver = new Map();
const ends = [];
const endWaiters = new Set();
let highestToken = 0;
let lastEndNumber = 0;
let leaseEndsAtMs = 0;
let leaseTimer;
let sequence = 0;

let isHanging = false;
let isDraining = false;

const clockMs = () => Math.round(performance.now());
const say = (event, fields) =>
  process.stdout.write(`${JSON.stringify({ at: Date.now(), event, worker: options.id, machine: options.machine, ...fields })}\n`);

function extendLease(deadlineMs) {
  if (deadlineMs === undefined) {
    return;
  }
  leaseEndsAtMs = Math.max(leaseEndsAtMs, Math.min(deadlineMs, clockMs() + HOLD_MAX_MS));
  clearTimeout(leaseTimer);
  leaseTimer = setTimeout(() => {
    for (const run of [...runs.values()]) {
      end(run, "lapsed");
    }
  }, Math.max(0, leaseEndsAtMs - clockMs()));
}

function end(run, how) {
  if (runs.get(run.key) !== run) {
    return;
  }
  clearTimeout(run.timer);
  runs.delete(run.key);
  highestOver.set(run.task, Math.max(highestOver.get(run.task) ?? 0, run.runId));
  const saved = how === "stopped" ? checkpointOf(run) : "";
  ends.push([++lastEndNumber, run.task, run.runId, how, saved]);
  say("end", { task: run.task, run: run.runId, how, number: lastEndNumber });
  [...endWaiters].forEach((wake) => wake());
}

const checkpointOf = (run) =>
  clockMs() - run.startedAtMs < CHECKPOINT_MS ? "" : `${run.task}@${Math.floor((clockMs() - run.startedAtMs) / CHECKPOINT_MS)}`;

/** Whether the token is current; remembers a higher one. */
function passesFence(token = 0) {
  highestToken = Math.max(highestToken, token);
  return token >= highestToken;
}

const handlers = {
  "/run-start": (order) => {
    const { task, "run-id": runId, spec } = order;
    if (!passesFence(order["fencing-token"])) {
      return [409, { reason: "fence" }];
    }
    const key = `${task}#${runId}`;
    if (runs.has(key)) {
      return [200, {}];
    }
    if (order["deadline-ms"] <= clockMs()) {
      return [409, { reason: "late" }];
    }
    extendLease(order["deadline-ms"]);
    if (runId <= (highestOver.get(task) ?? 0)) {
      return [409, { reason: "old" }];
    }
    const { ms, lasting = false } = JSON.parse(spec);
    const run = { key, task, runId, lasting, startedAtMs: clockMs(), ms };
    if (!lasting) {
      run.timer = setTimeout(() => end(run, "done"), ms);
    }
    runs.set(key, run);
    say("start", { task, run: runId, token: order["fencing-token"] });
    return [200, {}];
  },
  "/run-stop": (order) => {
    if (!passesFence(order["fencing-token"])) {
      return [409, { reason: "fence" }];
    }
    const { task, "run-id": runId } = order;
    highestOver.set(task, Math.max(highestOver.get(task) ?? 0, runId));
    const run = runs.get(`${task}#${runId}`);
    if (run !== undefined && !run.isStopping) {
      run.isStopping = true;
      say("stop-ordered", { task, run: runId, token: order["fencing-token"] });
      setTimeout(() => end(run, "stopped"), STOP_MS);
    }
    return [200, {}];
  },
  "/hold": async (order) => {
    if (!passesFence(order["fencing-token"])) {
      return [409, { reason: "fence" }];
    }
    extendLease(order["deadline-ms"]);
    const lastSeen = order["last-seen"] ?? 0;
    while (ends.length > 0 && ends[0][0] <= lastSeen) {
      const [number, task, runId, how] = ends.shift();
      say("noted", { task, run: runId, how, number });
    }
    if (ends.length === 0 && order["wait-ms"] > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          endWaiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(2_000, order["wait-ms"]));
        endWaiters.add(wake);
      });
    }
    return [200, {
      born,
      running: [...runs.values()].map((run) => [run.task, run.runId, checkpointOf(run), percentOf(run), 0]),
      finished: ends.slice(0, 500),
    }];
  },
  "/pace": (order) => passesFence(order["fencing-token"]) ? [200, {}] : [409, { reason: "fence" }],
};

function percentOf(run) {
  const workedMs = clockMs() - run.startedAtMs;
  return run.lasting
    ? workedMs >= LASTING_STARTUP_MS ? 100 : 0
    : Math.min(99, Math.floor((100 * workedMs) / run.ms));
}

const server = http.createServer(async (request, response) => {
  try {
    const body = await readJson(request);
    if (isHanging) {
      return;
    }
    if ((request.headers["x-expect-instance"] ?? options.id) !== options.id) {
      return reply(response, 421, {});
    }
    const handler = handlers[request.url];
    const [status, answer] = handler === undefined ? [404, {}] : await handler(body);
    reply(response, status, { "clock-ms": clockMs(), ...answer });
  } catch {
    response.destroy();
  }
});
server.keepAliveTimeout = 600_000;

async function register() {
  const entry = {
    born,
    service: options.pool,
    machine: options.machine,
    address: options["public-address"] ?? options.address,
    zone: options.zone,
    version: "v1",
    capacity: 8,
    state: isDraining ? "draining" : "ready",
    "warmup-left-ms": 0,
    "free-capacity": free,
    labels: ["a", options.rack],
    "clock-ms": clockMs(),
    sequence: ++sequence,
  };
  const body = JSON.stringify({
    expected: [],
    puts: [{ key: `servers/${options.id}`, value: Buffer.from(JSON.stringify(entry)).toString("base64"), lease: 0 }],
    remove: [],
  });
  const [host, port] = options.store.split(":");
  await new Promise((resolve) => {
    const request = http.request(
      { host, port, path: "/kv-txn", method: "POST", timeout: 1_000, headers: { "content-type": "application/json" } },
      (response) => response.resume().once("end", resolve),
    );
    request.once("error", resolve);
    request.once("timeout", () => request.destroy());
    request.end(body);
  });
}

/** What the case tells the worker: `hang` and `recover`, which leave calls without an answer, and `drain`. */
const commands = {
  hang: () => isHanging = true,
  recover: () => isHanging = false,
  drain: async () => {
    isDraining = true;
    await register();
    say("draining", {});
  },
};
createInterface({ input: process.stdin }).on("line", (line) => void commands[line]?.());

const [host, port] = options.address.split(":");
server.listen(Number(port), host, () => {
  say("up", { born });
  setTimeout(() => {
    void register();
    setInterval(register, HEARTBEAT_MS);
  }, Number(options["register-after-ms"]));
});
