/**
 * Stand-in for a minion: one process is one life. It runs work items, holds them under a lease, checks
 * fencing tokens and registers with the store. The supervisor gets each start and end over IPC.
 * A work item's duration comes from the `spec`, a JSON object `{"ms": [PER STEP]}`; an item of a step
 * without a number lasts.
 */
import * as http from "node:http";

const options = JSON.parse(process.argv[2]);
const HOLD_MAX_MS = 10_000;
const HEARTBEAT_MS = 1_500;
const STOP_MS = 150;
const born = Date.now();
const clockBaseMs = Math.floor(Math.random() * 1_000);
const clockMs = () => clockBaseMs + Math.floor(performance.now());

let fence = 0;
let leaseUntilMs = 0;
let lastEnd = 0;
let sequence = 0;
let finished = [];
const running = new Map();
/** By work item, the highest run that was stopped or has ended. */
const closedRuns = new Map();
const waiting = new Set();

const tell = (event) => {
  if (process.connected) process.send({ ...event, worker: options.id, born, atMs: Date.now() });
};
process.on("disconnect", () => process.exit(0));

function close(task, run) {
  closedRuns.set(task, Math.max(closedRuns.get(task) ?? 0, run));
}

function end(key, how) {
  const one = running.get(key);
  if (one === undefined) return;
  running.delete(key);
  clearTimeout(one.timer);
  close(one.task, one.run);
  finished.push([++lastEnd, one.task, one.run, how, ""]);
  tell({ kind: "end", task: one.task, run: one.run, how });
  [...waiting].forEach((wake) => wake());
}

function extend(deadlineMs) {
  if (deadlineMs !== undefined) {
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(deadlineMs, clockMs() + HOLD_MAX_MS));
  }
}

setInterval(() => {
  if (running.size > 0 && clockMs() > leaseUntilMs) {
    [...running.keys()].forEach((key) => end(key, "lapsed"));
  }
}, 20);

function start(body) {
  const { task, "run-id": run, "deadline-ms": deadlineMs } = body;
  const key = `${task}#${run}`;
  if (running.has(key)) return [200, {}];
  if (run <= (closedRuns.get(task) ?? 0)) {
    extend(deadlineMs);
    return [409, { reason: "old" }];
  }
  if (deadlineMs < clockMs()) return [409, { reason: "late" }];
  extend(deadlineMs);
  const durationMs = JSON.parse(body.spec).ms?.[Number(task.split(".")[2])];
  const one = { task, run, timer: undefined, percent: 100 };
  if (durationMs !== undefined) one.timer = setTimeout(() => end(key, "done"), durationMs);
  running.set(key, one);
  tell({ kind: "start", task, run, token: body["fencing-token"] });
  return [200, {}];
}

function stop({ task, "run-id": run }) {
  const key = `${task}#${run}`;
  close(task, run);
  if (running.has(key)) {
    tell({ kind: "stop", task, run });
    setTimeout(() => end(key, "stopped"), STOP_MS);
  }
  return [200, {}];
}

async function hold(body) {
  finished = finished.filter(([number]) => number > body["last-seen"]);
  extend(body["deadline-ms"]);
  const untilMs = Date.now() + (body["wait-ms"] ?? 0);
  while (finished.length === 0 && Date.now() < untilMs) {
    await new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, untilMs - Date.now());
      waiting.add(wake);
    });
  }
  return [200, {
    born,
    running: [...running.values()].map(({ task, run, percent }) => [task, run, "", percent, 100]),
    finished: finished.slice(0, 500),
  }];
}

const calls = {
  "/run-start": start,
  "/run-stop": stop,
  "/hold": hold,
  "/pace": ({ task, "run-id": run, percent }) => {
    const one = running.get(`${task}#${run}`);
    if (one === undefined) return [409, { reason: "old" }];
    one.percent = percent;
    return [200, {}];
  },
};

const server = http.createServer(async (request, response) => {
  const chunks = [];
  try {
    for await (const chunk of request) chunks.push(chunk);
  } catch {
    return;
  }
  const reply = ([status, value]) => {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify({ "clock-ms": clockMs(), ...value }));
  };
  if (request.method === "GET") return reply([200, {}]);
  const intended = request.headers["x-expect-instance"];
  if (intended !== undefined && intended !== options.id) return reply([421, {}]);
  const body = JSON.parse(Buffer.concat(chunks).toString());
  const token = body["fencing-token"] ?? 0;
  if (token < fence) return reply([409, { reason: "fence" }]);
  fence = token;
  const call = calls[request.url];
  reply(call === undefined ? [404, {}] : await call(body));
});
server.keepAliveTimeout = 600_000;

async function register() {
  const entry = {
    service: options.service,
    address: options.address,
    zone: options.zone,
    version: "v1",
    capacity: 64,
    state: "ready",
    "warmup-left-ms": 0,
    sequence: ++sequence,
    machine: options.machine,
    labels: options.labels,
    "free-capacity": options.capacity,
    born,
  };
  const body = JSON.stringify({ key: `servers/${options.id}`, entry });
  await fetch(`http://${options.store}/stand-in/register`, { method: "POST", body }).catch(() => {});
}

const [host, port] = options.listenAddress.split(":");
server.listen(Number(port), host, () => {
  tell({ kind: "up" });
  // A life that begins while its path to the store is cut registers once the path is back.
  setTimeout(() => {
    void register();
    setInterval(register, HEARTBEAT_MS);
  }, options.registerAfterMs ?? 0);
});
