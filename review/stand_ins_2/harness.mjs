/**
 * Starts nodes with the command of the deploy file, worker processes, and the platform's store and VM
 * service on loopback addresses; records what was sent, answered and run.
 */
import { spawn } from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";

export const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const isTrouble = process.env.TROUBLE !== "0";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const WORKER = fileURLToPath(new URL("worker.mjs", import.meta.url));
const HOST = "127.0.0.1";

function deployCommand() {
  const deploy = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
}

/** A free port below those that outgoing connections get, as a listener may come back to it later. */
async function freePort(host) {
  for (let attempt = 0; attempt < 100; attempt++) {
    const port = 12_000 + Math.floor(Math.random() * 18_000);
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false)).listen(port, host, () => resolve(true));
    });
    if (isFree) {
      await new Promise((resolve) => server.close(resolve));
      return port;
    }
  }
  throw new Error(`no free port on ${host}`);
}

/**
 * Forwards connections to one address. While it is cut, nothing passes: new connections open, as those to a
 * process that hangs, and get no answer.
 */
class Link {
  #isCut = false;
  #pairs = new Set();
  #server;

  async open(target) {
    const [host, port] = target.split(":");
    this.#server = net.createServer((near) => {
      near.on("error", () => {});
      if (this.#isCut) {
        this.#pairs.add([near]);
        return;
      }
      const far = net.connect(Number(port), host);
      const pair = [near, far];
      this.#pairs.add(pair);
      far.on("error", () => near.destroy());
      near.on("close", () => far.destroy());
      far.on("close", () => {
        if (!this.#isCut) near.destroy();
        this.#pairs.delete(pair);
      });
      near.pipe(far, { end: true });
      far.pipe(near, { end: true });
    });
    await new Promise((resolve) => this.#server.listen(0, HOST, resolve));
    return `${HOST}:${this.#server.address().port}`;
  }

  cut() {
    this.#isCut = true;
    for (const [near, far] of this.#pairs) {
      near.unpipe();
      near.pause();
      far?.unpipe();
      far?.pause();
    }
  }

  /** Restores the link; what was open before is reset. */
  heal() {
    this.#isCut = false;
    this.#pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
    this.#pairs.clear();
  }

  close() {
    this.heal();
    this.#server.close();
  }
}

/** The platform with nodes and workers; `config` is the first configuration. */
export class Deployment {
  store = new Store();
  machines = new Map();
  nodes = [];
  /** What workers did: `start`, `stop` (order taken), `end`, `up` and `died`, with their times. */
  events = [];
  #record;
  #dir = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
  #startedAtMs = Date.now();
  #children = new Set();
  #cloud;
  #vmTokens = new Map();

  constructor(caseUrl) {
    const folder = path.dirname(fileURLToPath(caseUrl));
    this.#record = fs.createWriteStream(path.join(folder, "record.txt"));
    this.#cloud = http.createServer((request, response) => void this.#serveCloud(request, response));
  }

  note(text) {
    const atS = ((Date.now() - this.#startedAtMs) / 1_000).toFixed(3).padStart(8);
    this.#record.write(`${atS} s  ${text}\n`);
  }

  async start({ config, nodeCount = 3 }) {
    if (!fs.existsSync(path.join(ROOT, "target/jackdawlink-node.js"))) {
      throw new Error("target/jackdawlink-node.js is missing: build the deploy file first");
    }
    this.storeAddress = await this.#listen(this.store.server);
    this.cloudAddress = await this.#listen(this.#cloud);
    this.putConfig(config);
    for (let index = 0; index < nodeCount; index++) {
      await this.#addNode(index);
    }
  }

  async #listen(server) {
    await new Promise((resolve) => server.listen(0, HOST, resolve));
    return `${HOST}:${server.address().port}`;
  }

  putConfig(config) {
    this.config = config;
    this.store.put("op/config", JSON.stringify(config));
    this.note(`operator: configuration ${config.version} acknowledged, routes ${
      config.routes.map(({ name }) => name).join(" ")
    }`);
  }

  async #addNode(index) {
    // The metrics port of the deploy command is fixed, so each node has a loopback address of its own.
    const ip = `127.${10 + process.pid % 200}.${1 + Math.floor(Math.random() * 250)}.${index + 1}`;
    const ports = [];
    for (let count = 0; count < 4; count++) ports.push(await freePort(ip));
    const node = {
      name: `edge-zone-a-${index + 1}`,
      address: `${ip}:${ports[0]}`,
      readyAddress: `${ip}:${ports[1]}`,
      file: path.join(this.#dir, `node${index}.conf`),
      log: path.join(this.#dir, `node${index}.log`),
      child: undefined,
    };
    fs.writeFileSync(
      node.file,
      [
        `node-name=${node.name}`,
        "role=node",
        "machine-class=edge",
        "serves=edge",
        `ip=${ip}`,
        "zone=zone-a",
        "region=region-a",
        "zones.zone-a=region-a",
        `listen-addrs.frontend=${node.address}`,
        `listen-addrs.ready=${node.readyAddress}`,
        `listen-addrs.control=${ip}:${ports[2]}`,
        `port-range=${ports[3]},${ports[3]}`,
        "bootstrap=true",
        "limits.cpu-share=0.675",
        "limits.cores=1",
        "limits.memory-mb=350",
        "limits.link-mbps=1000.0",
        "bounds.contact-ms=3000",
        "bounds.strict-revoke=true",
        "bounds.revoke-ms=5000",
        "bounds.grace-s=6",
        "bounds.lease-ms=3000",
        "heartbeat-ms=1500",
        "commands=invoke",
        "advice=",
        `platform.address=${this.storeAddress}`,
        "platform.form=kv",
        "platform.ttl-min-ms=1000",
        `cloud.address=${this.cloudAddress}`,
        "",
      ].join("\n"),
    );
    this.nodes.push(node);
    this.startNode(node);
  }

  startNode(node) {
    const [command, ...args] = deployCommand();
    const log = fs.openSync(node.log, "a");
    node.child = spawn(command === "node" ? process.execPath : command, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? "C",
        JACKDAWLINK_CONFIG: node.file,
      },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    this.#track(node.child);
    this.note(`${node.name} started, pid ${node.child.pid}`);
  }

  #track(child) {
    this.#children.add(child);
    child.once("exit", () => this.#children.delete(child));
  }

  /** The node that the store names as the owner. */
  owner() {
    const text = this.store.text("jackdawlink/owner");
    const record = text === undefined ? undefined : JSON.parse(text);
    return record?.isHeld ? this.nodes.find(({ name }) => name === record.node) : undefined;
  }

  /** Stops a node as planned work does, with SIGTERM, and starts it again once it has ended. */
  async restartNode(node) {
    this.note(`${node.name} gets SIGTERM`);
    const exited = new Promise((resolve) => node.child.once("exit", resolve));
    node.child.kill("SIGTERM");
    await exited;
    this.note(`${node.name} has ended`);
    await delay(500);
    this.startNode(node);
  }

  /** Adds a machine with a worker; nodes reach it through a link that can be cut. */
  async addMachine({ service, rack, cpu = 16_000, memMb = 32_768, gpu = 0 }) {
    const name = `m-${this.machines.size + 1}`;
    const listenAddress = `${HOST}:${await freePort(HOST)}`;
    const link = new Link();
    const machine = {
      name,
      service,
      labels: ["a", rack],
      capacity: { cpu, "mem-mb": memMb, gpu },
      link,
      listenAddress,
      address: await link.open(listenAddress),
      lives: 0,
      state: "down",
      id: undefined,
      child: undefined,
    };
    this.machines.set(name, machine);
    this.startWorker(machine);
    return machine;
  }

  /** Starts a life of a machine's worker, under a new id unless one is given. */
  startWorker(machine, { id = `i-${machine.name}-${machine.lives + 1}`, registerAfterMs = 0 } = {}) {
    machine.lives++;
    machine.id = id;
    const options = {
      id,
      registerAfterMs,
      service: machine.service,
      zone: "zone-a",
      listenAddress: machine.listenAddress,
      address: machine.address,
      machine: machine.name,
      labels: machine.labels,
      capacity: machine.capacity,
      store: this.storeAddress,
    };
    const child = spawn(process.execPath, [WORKER, JSON.stringify(options)], {
      env: { PATH: process.env.PATH },
      stdio: ["ignore", "ignore", "inherit", "ipc"],
    });
    machine.child = child;
    this.#track(child);
    child.on("message", (event) => {
      if (event.kind === "up") machine.state = "up";
      this.events.push({ ...event, machine: machine.name });
      const detail = event.task === undefined ? "" : ` ${event.task} run ${event.run}`;
      this.note(`${machine.name} (${event.worker}): ${event.kind}${detail} ${event.how ?? ""}`);
    });
  }

  /** Ends a life with all that runs in it. */
  async crashWorker(machine) {
    const { child, id } = machine;
    const exited = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await exited;
    machine.state = "down";
    this.events.push({ kind: "died", worker: id, machine: machine.name, atMs: Date.now() });
    this.note(`${machine.name} (${id}): its process is killed`);
  }

  /** The runs that workers have begun and not ended, by the workers' own word. */
  runs(taskPrefix = "") {
    const runs = new Map();
    for (const { kind, worker, born, task, run, atMs, machine } of this.events) {
      if (kind === "start") runs.set(`${worker}/${born}/${task}#${run}`, { worker, born, task, run, atMs, machine });
      if (kind === "end") runs.delete(`${worker}/${born}/${task}#${run}`);
      if (kind === "died") {
        for (const [key, one] of runs) if (one.machine === machine) runs.delete(key);
      }
    }
    return [...runs.values()].filter(({ task }) => task.startsWith(taskPrefix));
  }

  async #serveCloud(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const reply = (status, value) => {
      response.writeHead(status, { "content-type": "application/json" });
      response.end(JSON.stringify(value));
    };
    if (request.method === "GET") {
      const machines = [...this.machines.values()].map((machine) => ({
        machine: machine.name,
        pool: machine.service,
        state: machine.state,
        zone: "zone-a",
        labels: machine.labels,
        "free-capacity": machine.capacity,
        id: machine.state === "up" ? machine.id : "",
      }));
      return reply(200, { machines, "next-token": "" });
    }
    const body = JSON.parse(Buffer.concat(chunks).toString());
    const machine = this.machines.get(body.machine);
    const token = Number(request.headers["x-fencing-token"] ?? 0);
    this.note(`VM service: ${request.url} ${JSON.stringify(body)} token ${token}`);
    if (machine === undefined) return reply(400, {});
    if (token < (this.#vmTokens.get(machine.name) ?? 0)) return reply(409, { reason: "fence" });
    this.#vmTokens.set(machine.name, token);
    // No case moves or maintains machines; such an order is refused as one for another pool's machine.
    return reply(400, {});
  }

  /** One call of a client, as a response or `status` 0. */
  async call(node, method, target, { host, key, body, timeoutMs = 3_000 }) {
    const [ip, port] = node.address.split(":");
    const result = await new Promise((resolve) => {
      const request = http.request({
        host: ip,
        port,
        method,
        path: target,
        headers: {
          host,
          "x-deadline-ms": String(timeoutMs),
          ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
          ...(body === undefined ? {} : { "content-type": "application/json" }),
        },
        timeout: timeoutMs,
        agent: false,
      }, (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("end", () => {
          const text = Buffer.concat(chunks).toString();
          let parsed;
          try {
            parsed = JSON.parse(text);
          } catch {
            parsed = undefined;
          }
          resolve({ status: response.statusCode, body: parsed });
        });
        response.on("error", () => resolve({ status: 0 }));
      });
      request.on("timeout", () => request.destroy(new Error("time limit")));
      request.on("error", () => resolve({ status: 0 }));
      request.end(body === undefined ? undefined : JSON.stringify(body));
    });
    this.note(`client: ${method} ${target} at ${node.name} -> ${result.status} ${
      JSON.stringify(result.body?.state ?? result.body?.error ?? "")
    }`);
    return result;
  }

  /** Submits until a node accepts, as clients retry; false if none does. */
  async submit(target, options) {
    for (let attempt = 0; attempt < 10; attempt++) {
      const node = this.nodes[attempt % this.nodes.length];
      if ((await this.call(node, "POST", target, options)).status === 200) return true;
      await delay(300);
    }
    return false;
  }

  /** Waits until `isTrue` returns something; undefined after `maxMs`. */
  async until(isTrue, maxMs) {
    const untilMs = Date.now() + maxMs;
    while (Date.now() < untilMs) {
      const value = await isTrue();
      if (value) return value;
      await delay(50);
    }
    return undefined;
  }

  /** Waits until all nodes are ready and one owns the scheduling. */
  async ready(maxMs = 20_000) {
    const isReady = async (node) => {
      const answer = await fetch(`http://${node.readyAddress}/readyz`).catch(() => undefined);
      return answer?.status === 200;
    };
    return await this.until(async () =>
      this.owner() !== undefined && (await Promise.all(this.nodes.map(isReady))).every(Boolean), maxMs);
  }

  /** Copies the last lines of interest of the nodes' logs into the record. */
  noteLogs(pattern) {
    for (const node of this.nodes) {
      for (const line of fs.readFileSync(node.log, "utf8").split("\n")) {
        if (pattern.test(line)) this.#record.write(`log of ${node.name}: ${line.slice(0, 600)}\n`);
      }
    }
  }

  async stop() {
    const exits = [...this.#children].map((child) =>
      new Promise((resolve) => child.once("exit", resolve))
    );
    this.#children.forEach((child) => child.kill("SIGKILL"));
    await Promise.race([Promise.all(exits), delay(2_000)]);
    this.machines.forEach(({ link }) => link.close());
    this.store.server.closeAllConnections();
    this.store.server.close();
    this.#cloud.closeAllConnections();
    this.#cloud.close();
    await new Promise((resolve) => this.#record.end(resolve));
    fs.rmSync(this.#dir, { recursive: true, force: true });
  }
}

/** Runs a case: `play` returns the faults that it saw, or undefined if the case could not run. */
export async function runCase(caseUrl, play) {
  const deployment = new Deployment(caseUrl);
  let code = 2;
  const limit = setTimeout(() => {
    deployment.note("the case took too long");
    void deployment.stop().then(() => process.exit(2));
  }, 115_000);
  // Whatever ends the case early, no process is left behind.
  const abort = (reason) => {
    console.log(`could not run: ${reason?.stack ?? reason}`);
    void deployment.stop().then(() => process.exit(2));
  };
  process.once("uncaughtException", abort);
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) process.once(signal, () => abort(signal));
  try {
    const faults = await play(deployment);
    if (faults !== undefined) {
      faults.forEach((fault) => deployment.note(`BROKEN ${fault}`));
      faults.forEach((fault) => console.log(`BROKEN ${fault}`));
      code = faults.length > 0 ? 1 : 0;
    }
  } catch (error) {
    deployment.note(`the case could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  }
  deployment.note(`result: ${["the rule held", "the rule was broken", "could not run"][code]}`);
  clearTimeout(limit);
  await deployment.stop();
  process.exit(code);
}
