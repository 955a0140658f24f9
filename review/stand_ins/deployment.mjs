/**
 * A small deployment on loopback addresses: the project's own nodes, started with the command of the deploy
 * file, and stand-ins for the store, the list of VMs, the workers and the clients. Writes what was sent,
 * answered and run to `record.txt`.
 */
import { spawn } from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { Proxy } from "./proxy.mjs";
import { StandInAdvice } from "./advice.mjs";
import { StandInStore } from "./store.mjs";
import { StandInVmService } from "./vm_service.mjs";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const MAX_SCRIPT_MS = 115_000;
export const KEY = "key-of-the-shop";
export const HOST = "jobs.example";
export const PREFIX = "/jobs/";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The words of the deploy file's run command. */
function runCommand() {
  const text = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Whether nothing listens on a port of a loopback address. */
function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** A loopback /24 whose ports are free; each process gets an address of its own. */
async function freeNetwork() {
  for (let attempt = 0; attempt < 50; attempt++) {
    const prefix = `127.${60 + Math.floor(Math.random() * 120)}.${Math.floor(Math.random() * 250)}`;
    const checks = [["1", 8344], ["2", 8344], ["3", 8344], ["11", 8340], ["11", 7000], ["101", 8080]];
    const free = await Promise.all(checks.map(([last, port]) => isFree(`${prefix}.${last}`, port)));
    if (free.every(Boolean)) {
      return prefix;
    }
  }
  throw new Error("no free loopback addresses");
}

export class Deployment {
  store = new StandInStore();
  vms = new StandInVmService();
  advice = new StandInAdvice();
  nodes = new Map();
  workers = new Map();
  /** Called when a node's process has ended. */
  onNodeEnd = () => {};
  /** All events of workers, in the order of their arrival. */
  events = [];
  /** All calls of clients with their answers. */
  calls = [];
  #record;
  #startedAt = Date.now();
  #children = new Set();
  #directory;
  #network;
  #isEnding = false;

  constructor(folder) {
    this.#record = fs.openSync(path.join(folder, "record.txt"), "w");
    this.#directory = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
  }

  get elapsedMs() {
    return Date.now() - this.#startedAt;
  }

  log(text, fields = {}, at = Date.now()) {
    const details = Object.entries(fields).map(([name, value]) => ` ${name}=${value}`).join("");
    fs.writeSync(this.#record, `${((at - this.#startedAt) / 1_000).toFixed(3).padStart(8)} ${text}${details}\n`);
  }

  /** Starts everything, and waits until a node owns the scheduling and each node serves clients. */
  async start({ nodeCount = 3, config, workers }) {
    this.#network = await freeNetwork();
    await this.store.listen(`${this.#network}.1`, 8344, 8345);
    await this.vms.listen(`${this.#network}.2`, 8344);
    await this.advice.listen(`${this.#network}.3`, 8344);
    this.store.put("op/config", config);
    for (const worker of workers) {
      await this.addWorker(worker);
    }
    for (let index = 1; index <= nodeCount; index++) {
      this.startNode(`node-${index}`);
    }
    await until(() => this.owner() !== undefined, "a node owns the scheduling");
    for (const node of this.nodes.values()) {
      await until(async () => (await this.call("GET", "", { node })).status === 200, `${node.name} serves clients`);
    }
  }

  // Nodes

  startNode(name) {
    const index = Number(name.split("-")[1]);
    const ip = `${this.#network}.${10 + index}`;
    const file = path.join(this.#directory, `${name}.conf`);
    fs.writeFileSync(
      file,
      [
        `node-name=${name}`,
        "role=node",
        "machine-class=edge",
        "serves=edge",
        `ip=${ip}`,
        `zone=zone-${"abc"[(index - 1) % 3]}`,
        "region=region-1",
        `listen-addrs.frontend=${ip}:8340`,
        `listen-addrs.ready=${ip}:8343`,
        `listen-addrs.control=${ip}:8345`,
        "port-range=7000,7015",
        "limits.cpu-share=0.675",
        "limits.cores=1",
        "limits.memory-mb=350",
        "limits.link-mbps=1000.0",
        "heartbeat-ms=1500",
        "bounds.revoke-ms=5000",
        "bounds.grace-s=6",
        "bounds.config-apply-ms=2000",
        "bounds.hold-max-ms=10000",
        "bounds.lease-ms=3000",
        "commands=invoke",
        `platform.address=${this.#network}.1:8344`,
        "platform.form=kv",
        `cloud.address=${this.#network}.2:8344`,
        `advice=${this.#network}.3:8344`,
        "",
      ].join("\n"),
    );
    const [command, ...args] = runCommand();
    const child = spawn(command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? "C", JACKDAWLINK_CONFIG: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#children.add(child);
    const node = { name, ip, child, isUp: true };
    this.nodes.set(name, node);
    readLines(child.stdout, (line) => this.#handleNodeLine(node, line));
    readLines(child.stderr, (line) => this.log(`${name} stderr: ${line.slice(0, 300)}`));
    child.once("exit", (code, signal) => {
      node.isUp = false;
      this.#children.delete(child);
      this.log(`${name} ended`, { code, signal });
      if (!this.#isEnding) {
        this.onNodeEnd(name);
      }
    });
    this.log(`${name} started`, { ip });
  }

  #handleNodeLine(node, line) {
    let entry;
    try {
      entry = JSON.parse(line);
    } catch {
      return;
    }
    const { message, level, at, part, ...fields } = entry;
    if (/^Ownership (taken|ended)|^Takeover|^Worker (crashed|added|entry)|^Task given up|^Job finished|^Run lost|^Run taken|^Unneeded|^Stopping|^VM order|^Evacuating/.test(message)) {
      this.log(`${node.name} log: ${message}`, fields);
    }
  }

  /** The node that the store's owner record names; undefined if there is none. */
  owner() {
    const record = this.store.read("jackdawlink/owner");
    return record?.isHeld ? this.nodes.get(record.node) : undefined;
  }

  signalNode(node, signal) {
    this.log(`${signal} to ${node.name}`);
    node.child.kill(signal);
  }

  // Workers

  async addWorker(spec) {
    const { machine, pool, zone = "zone-a", rack, cpu = 16_000 } = spec;
    const labels = ["a", rack];
    this.vms.machines.set(machine, {
      machine,
      pool,
      state: "down",
      zone,
      labels,
      "free-capacity": { cpu, "mem-mb": 32_768, gpu: 0 },
      id: null,
    });
    const index = this.workers.size + 1;
    const ip = `${this.#network}.${100 + index}`;
    const worker = { ...spec, zone, cpu, ip, lives: 0, child: undefined };
    if (spec.isProxied) {
      worker.proxy = new Proxy();
      await worker.proxy.listen(ip, 8081, { host: ip, port: 8080 });
      worker.storeProxy = new Proxy();
      await worker.storeProxy.listen(ip, 8082, { host: `${this.#network}.1`, port: 8345 });
    }
    this.workers.set(machine, worker);
    await this.startWorker(machine);
  }

  /** Starts a worker's process; `id` is a new one unless it is given. */
  startWorker(machine, id) {
    const worker = this.workers.get(machine);
    worker.lives++;
    worker.id = id ?? `i-${machine}-${worker.lives}`;
    const args = [
      fileURLToPath(new URL("worker.mjs", import.meta.url)),
      "--address", `${worker.ip}:8080`,
      ...(worker.isProxied ? ["--public-address", `${worker.ip}:8081`] : []),
      "--id", worker.id,
      "--machine", machine,
      "--pool", this.vms.machines.get(machine).pool,
      "--store", worker.isProxied ? `${worker.ip}:8082` : `${this.#network}.1:8345`,
      "--zone", worker.zone,
      "--rack", worker.rack,
      "--cpu", String(worker.cpu),
      "--register-after-ms", String(worker.registerAfterMs ?? 0),
    ];
    const child = spawn(process.execPath, args, { stdio: ["pipe", "pipe", "inherit"] });
    this.#children.add(child);
    const life = { id: worker.id, number: worker.lives };
    worker.child = child;
    return new Promise((resolve) => {
      readLines(child.stdout, (line) => {
        const event = { ...JSON.parse(line), life: life.number };
        this.events.push(event);
        const { at, event: kind, worker: _id, ...fields } = event;
        this.log(`worker ${event.worker}: ${kind}`, fields, at);
        if (kind === "up") {
          Object.assign(this.vms.machines.get(machine), { state: "up", id: worker.id });
          resolve();
        }
      });
      child.once("exit", () => {
        this.#children.delete(child);
        this.events.push({ at: Date.now(), event: "down", worker: life.id, machine, life: life.number });
        if (worker.child === child) {
          Object.assign(this.vms.machines.get(machine), { state: "down", id: null });
        }
        if (!this.#isEnding) {
          this.log(`worker ${life.id} ended`);
        }
      });
    });
  }

  /** Starts a node again shortly after its process has ended, as the platform does. */
  restartNodes() {
    for (const { name, child } of [...this.nodes.values()]) {
      const restart = () => {
        if (!this.#isEnding) {
          setTimeout(() => {
            if (!this.#isEnding) {
              this.startNode(name);
              this.nodes.get(name).child.once("exit", restart);
            }
          }, 500);
        }
      };
      child.once("exit", restart);
    }
  }

  /** Cuts a worker off from all nodes and from the store; it runs on. */
  cutWorker(machine) {
    const { proxy, storeProxy, id } = this.workers.get(machine);
    this.log(`worker ${id} is cut off`);
    proxy.cut();
    storeProxy.cut();
  }

  healWorker(machine) {
    const { proxy, storeProxy, id } = this.workers.get(machine);
    this.log(`worker ${id} is reachable again`);
    proxy.heal();
    storeProxy.heal();
  }

  /** Makes a worker `hang`, `recover` or `drain`. */
  tellWorker(machine, command) {
    const { child, id } = this.workers.get(machine);
    this.log(`worker ${id} is told to ${command}`);
    child.stdin.write(`${command}\n`);
  }

  /** Kills a worker's process and waits until it has ended. */
  async crashWorker(machine) {
    const { child, id } = this.workers.get(machine);
    this.log(`SIGKILL to worker ${id}`);
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await ended;
  }

  /** The runs of workers: task, run, machine, life, from and to (undefined while it is at work), and how. */
  runs() {
    const open = new Map();
    const runs = [];
    for (const event of this.events) {
      const key = `${event.worker}/${event.life}/${event.task}#${event.run}`;
      if (event.event === "start") {
        const run = { ...event, from: event.at, to: undefined, how: undefined };
        open.set(key, run);
        runs.push(run);
      } else if (event.event === "end") {
        const run = open.get(key);
        Object.assign(run, { to: event.at, how: event.how });
      } else if (event.event === "down") {
        for (const run of open.values()) {
          if (run.worker === event.worker && run.life === event.life && run.to === undefined) {
            Object.assign(run, { to: event.at, how: "lost with its worker" });
          }
        }
      }
    }
    return runs;
  }

  /** The runs of one job that are at work now. */
  runsAtWork(jobId = "") {
    return this.runs().filter((run) => run.to === undefined && run.task.startsWith(jobId));
  }

  /**
   * The length in ms of the longest span after `fromMs` in which nothing of the job was at work; until now, if
   * nothing is at work.
   */
  longestIdleMs(jobId, fromMs) {
    const runs = this.runs().filter(({ task }) => task.startsWith(jobId)).sort((a, b) => a.from - b.from);
    let idleSinceMs = fromMs;
    let longestMs = 0;
    for (const { from, to = Number.POSITIVE_INFINITY } of runs) {
      longestMs = Math.max(longestMs, from - idleSinceMs);
      idleSinceMs = Math.max(idleSinceMs, to);
    }
    return Math.max(longestMs, Date.now() - idleSinceMs);
  }

  // Clients

  /** One call of a client at a node; status 0 if there was no answer. */
  call(method, jobId, { node, body, key = KEY, deadlineMs = 3_000 } = {}) {
    const target = node ?? this.anyNode();
    const sentAt = Date.now();
    const text = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve) => {
      const finish = (status, answer) => {
        const call = { method, jobId, node: target.name, sentAt, answeredAt: Date.now(), status, answer };
        this.calls.push(call);
        this.log(`client: ${method} ${jobId || "(queue)"} at ${target.name}`, {
          status,
          answer: JSON.stringify(answer),
          tookMs: call.answeredAt - sentAt,
        }, sentAt);
        resolve(call);
      };
      const request = http.request({
        host: target.ip,
        port: 8340,
        method,
        path: PREFIX + jobId,
        agent: false,
        headers: {
          host: HOST,
          authorization: `Bearer ${key}`,
          "x-deadline-ms": String(deadlineMs),
          ...(text === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
        },
      }, (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("end", () => {
          clearTimeout(timer);
          let answer;
          try {
            answer = JSON.parse(Buffer.concat(chunks).toString());
          } catch {
            answer = undefined;
          }
          finish(response.statusCode, answer);
        });
        response.on("error", () => finish(0));
      });
      const timer = setTimeout(() => request.destroy(new Error("deadline")), deadlineMs);
      request.once("error", () => {
        clearTimeout(timer);
        finish(0);
      });
      request.end(text);
    });
  }

  anyNode() {
    const up = [...this.nodes.values()].filter(({ isUp }) => isUp);
    return up[Math.floor(Math.random() * up.length)];
  }

  /** Submits a job, and repeats it at other nodes until it is accepted; returns the time of the ack. */
  async submit(jobId, body, { tries = 20 } = {}) {
    for (let attempt = 0; attempt < tries; attempt++) {
      const { status, answeredAt } = await this.call("POST", jobId, { body });
      if (status >= 200 && status < 300) {
        return answeredAt;
      }
      await sleep(200);
    }
    throw new CannotRun(`job ${jobId} was not accepted`);
  }

  async stateOf(jobId, options) {
    const { status, answer } = await this.call("GET", jobId, options);
    return status === 200 ? answer?.state : `status ${status}`;
  }

  async end() {
    this.#isEnding = true;
    for (const child of this.#children) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    this.workers.forEach(({ proxy, storeProxy }) => {
      proxy?.close();
      storeProxy?.close();
    });
    this.store.close();
    this.vms.close();
    this.advice.close();
    await sleep(100);
    fs.rmSync(this.#directory, { recursive: true, force: true });
  }
}

function readLines(stream, handle) {
  let rest = "";
  stream.setEncoding("utf8");
  stream.on("data", (chunk) => {
    const lines = (rest + chunk).split("\n");
    rest = lines.pop();
    lines.filter((line) => line !== "").forEach(handle);
  });
}

/** Thrown when a case cannot run; the script exits with 2. */
export class CannotRun extends Error {}

/** Waits until the condition holds. */
export async function until(condition, what, timeoutMs = 20_000) {
  const untilMs = Date.now() + timeoutMs;
  while (!await condition()) {
    if (Date.now() > untilMs) {
      throw new CannotRun(`timed out waiting until ${what}`);
    }
    await sleep(20);
  }
}

/** The id of a job, as clients choose it: 16 hexadecimal digits. */
export function newJobId() {
  return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join("");
}

/** A body of a submission with one step; `taskMs` is how long each of its tasks works. */
export function jobOf({ taskCount, taskMs, cpu = 1_000, memoryMb = 512 }) {
  return {
    spec: JSON.stringify({ ms: taskMs }),
    phases: [{ count: taskCount, cpu, "mem-mb": memoryMb, "estimate-ms": taskMs }],
  };
}

/** Workers on VMs m-1 to m-N in racks of four. */
export function workersOf(count, options = {}) {
  return Array.from({ length: count }, (_, index) => ({
    machine: `m-${index + 1}`,
    pool: "pool-1",
    rack: `r${Math.floor(index / 4) + 1}`,
    ...options,
  }));
}

/** A configuration with one queue, whose tasks run in one pool. */
export function configOf({ pool = "pool-1", attempts = 4, maxCount = {}, priority = 1 } = {}) {
  return {
    version: 1,
    routes: [{
      name: "queue-1",
      host: HOST,
      prefix: PREFIX,
      type: "unsafe",
      "timeout-ms": 3_000,
      "target-latency-ms": 600,
      priority,
      service: pool,
      attempts,
      extension: 2,
      public: false,
    }],
    services: [{ name: pool, "enforces-capacity": false }],
    limits: { "max-body-bytes": 262_144 },
    tenants: [{ name: "shop", "api-keys": [KEY], weight: 50, "max-count": maxCount }],
  };
}

/** Whether the case plays its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/**
 * Runs the case of a module; its record goes into the folder of the module. `play` returns the broken rule as text, or undefined if the rule
 * held. Exits with 1 if it was broken, 0 if it held, and 2 if the case could not run.
 */
export async function runCase(caseUrl, play) {
  if (!fs.existsSync(path.join(ROOT, "target/jackdawlink-node.js"))) {
    console.log("could not run: build the deploy file first");
    process.exit(2);
  }
  const deployment = new Deployment(fileURLToPath(new URL(".", caseUrl)));
  let code = 2;
  const watchdog = setTimeout(() => {
    deployment.log("the case took too long");
    void deployment.end().then(() => process.exit(2));
  }, MAX_SCRIPT_MS);
  try {
    const broken = await play(deployment);
    code = broken === undefined ? 0 : 1;
    const verdict = broken === undefined ? "HELD" : `BROKEN: ${broken}`;
    deployment.log(verdict);
    console.log(verdict);
  } catch (error) {
    deployment.log(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  }
  clearTimeout(watchdog);
  await deployment.end();
  process.exit(code);
}
