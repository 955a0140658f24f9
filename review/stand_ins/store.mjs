/**
 * A stand-in for the platform's key-value store. It has two ports: one for the system, which may not write
 * below `op/` and `servers/`, and one for the operator and the workers. `interceptTransaction` lets a case
 * answer late or not at all, as the pages allow.
 */
import * as http from "node:http";
import { readJson, reply } from "./http_server.mjs";

const PAGE_SIZE = 500;
const HISTORY_MS = 20_000;
const WORKER_PREFIX = "servers/";
/** Workers' entries go after three heartbeats of silence. */
const WORKER_ENTRY_TTL_MS = 4_500;

export class StandInStore {
  #items = new Map();
  /** The keys in order; undefined when keys have come or gone since it was made. */
  #sortedKeys;
  #events = [];
  #leases = new Map();
  #waiters = new Set();
  #revision = 10;
  #lastLease = 0;
  #historyFrom = 0;
  #entryWrittenAt = new Map();
  #servers = [];
  #timer;
  /** Called with each transaction of the system; returns undefined, or `{ delayMs }` for one that gets no
   * answer and is carried out after the delay, if its conditions still hold then. */
  interceptTransaction = () => undefined;

  async listen(host, systemPort, operatorPort) {
    for (const [port, isSystem] of [[systemPort, true], [operatorPort, false]]) {
      const server = http.createServer((request, response) => {
        this.#serve(request, response, isSystem).catch(() => response.destroy());
      });
      server.keepAliveTimeout = 600_000;
      await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
      });
      this.#servers.push(server);
    }
    this.#timer = setInterval(() => this.#expire(), 20);
  }

  close() {
    clearInterval(this.#timer);
    this.#servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  /** Writes as the operator; returns the revision. */
  put(key, value) {
    return this.#commit([{ key, value: Buffer.from(JSON.stringify(value)).toString("base64"), lease: 0 }], []);
  }

  /** Reads a document; undefined if it does not exist. */
  read(key) {
    const item = this.#items.get(key);
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, "base64").toString());
  }

  /** Whether a worker is registered. */
  hasWorker(id) {
    return this.#items.has(WORKER_PREFIX + id);
  }

  /** When a worker wrote its registration last, on the monotonic clock. */
  workerWrittenAtMs(id) {
    return this.#entryWrittenAt.get(WORKER_PREFIX + id);
  }

  #expire() {
    const now = performance.now();
    for (const [id, lease] of this.#leases) {
      if (now >= lease.endsAt) {
        this.#endLease(id);
      }
    }
    for (const [key, at] of this.#entryWrittenAt) {
      if (now - at > WORKER_ENTRY_TTL_MS) {
        this.#entryWrittenAt.delete(key);
        if (this.#items.has(key)) {
          this.#commit([], [key]);
        }
      }
    }
    const recent = this.#events.findIndex(({ at }) => now - at <= HISTORY_MS);
    const dropped = this.#events.splice(0, recent < 0 ? this.#events.length : recent);
    this.#historyFrom = dropped.at(-1)?.revision ?? this.#historyFrom;
  }

  #endLease(id) {
    this.#leases.delete(id);
    const keys = [...this.#items.values()].filter(({ lease }) => lease === id).map(({ key }) => key);
    if (keys.length > 0) {
      this.#commit([], keys);
    }
  }

  #commit(puts, removes) {
    const revision = ++this.#revision;
    const at = performance.now();
    for (const { key, value, lease = 0 } of puts) {
      const known = this.#items.get(key);
      const created = known?.created ?? revision;
      if (known === undefined) {
        this.#sortedKeys = undefined;
      }
      const item = { key, value, revision, created, lease };
      this.#items.set(key, item);
      this.#events.push({ at, revision, event: item });
      if (key.startsWith(WORKER_PREFIX)) {
        this.#entryWrittenAt.set(key, at);
      }
    }
    for (const key of removes) {
      if (this.#items.delete(key)) {
        this.#sortedKeys = undefined;
        this.#entryWrittenAt.delete(key);
        this.#events.push({ at, revision, event: { key, revision, deleted: true } });
      }
    }
    [...this.#waiters].forEach((wake) => wake());
    return revision;
  }

  /** Up to `count` keys from the given one on, in order. */
  #keysFrom(first, count) {
    this.#sortedKeys ??= [...this.#items.keys()].sort();
    let low = 0;
    for (let high = this.#sortedKeys.length; low < high;) {
      const middle = (low + high) >> 1;
      if (this.#sortedKeys[middle] < first) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return this.#sortedKeys.slice(low, low + count);
  }

  #transact({ expected = [], puts = [], remove = [] }) {
    const isMet = expected.every(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision);
    if (!isMet) {
      const items = expected.map(({ key }) => this.#items.get(key) ?? { key, revision: 0 });
      return [412, { items }];
    }
    if (puts.some(({ lease }) => lease && !this.#leases.has(lease))) {
      return [404, {}];
    }
    const hasChange = puts.length > 0 || remove.some((key) => this.#items.has(key));
    return [200, { revision: hasChange ? this.#commit(puts, remove) : this.#revision }];
  }

  async #serve(request, response, isSystem) {
    const url = new URL(request.url, "http://store");
    const body = await readJson(request);
    const [, name, id] = url.pathname.split("/");
    const query = url.searchParams;
    switch (name) {
      case "kv-key": {
        const item = this.#items.get(query.get("key"));
        return item === undefined
          ? reply(response, 404, { "as-of": this.#revision })
          : reply(response, 200, { ...item, "as-of": this.#revision });
      }
      case "kv-range": {
        const prefix = query.get("prefix") ?? "";
        const after = query.get("after") ?? "";
        const keys = this.#keysFrom(prefix > after ? prefix : after, PAGE_SIZE + 2)
          .filter((key) => key.startsWith(prefix) && key > after);
        return reply(response, 200, {
          items: keys.slice(0, PAGE_SIZE).map((key) => this.#items.get(key)),
          "has-more": keys.length > PAGE_SIZE,
          "as-of": this.#revision,
        });
      }
      case "kv-watch":
        return await this.#watch(query, response);
      case "kv-txn": {
        const keys = [...(body.puts ?? []).map(({ key }) => key), ...(body.remove ?? [])];
        if (isSystem && keys.some((key) => key.startsWith("op/") || key.startsWith(WORKER_PREFIX))) {
          return reply(response, 403, {});
        }
        const late = isSystem ? this.interceptTransaction(body) : undefined;
        if (late !== undefined) {
          setTimeout(() => this.#transact(body), late.delayMs);
          return;
        }
        return reply(response, ...this.#transact(body));
      }
      case "kv-lease": {
        const lease = ++this.#lastLease;
        const ttlMs = body["ttl-ms"];
        this.#leases.set(lease, { ttlMs, endsAt: performance.now() + ttlMs });
        return reply(response, 200, { lease, "ttl-ms": ttlMs });
      }
      case "kv-keep": {
        const lease = this.#leases.get(Number(id));
        if (lease === undefined) {
          return reply(response, 404, {});
        }
        lease.endsAt = performance.now() + lease.ttlMs;
        return reply(response, 200, { "ttl-ms": lease.ttlMs });
      }
      case "kv-lease-end":
        this.#endLease(Number(id));
        return reply(response, 200, {});
      default:
        return reply(response, 404, {});
    }
  }

  #firstEventAfter(revision) {
    let index = this.#events.length;
    while (index > 0 && this.#events[index - 1].revision > revision) {
      index--;
    }
    return index;
  }

  async #watch(query, response) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const untilMs = performance.now() + Number(query.get("wait-ms"));
    let isClosed = false;
    response.once("close", () => isClosed = true);
    for (;;) {
      if (after < this.#historyFrom) {
        return reply(response, 410, {});
      }
      const from = this.#firstEventAfter(after);
      const events = this.#events.slice(from).filter(({ event }) => event.key.startsWith(prefix));
      const leftMs = untilMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return reply(response, 200, { events: events.map(({ event }) => event), "as-of": this.#revision });
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.#waiters.add(wake);
      });
      if (isClosed) {
        return;
      }
    }
  }
}
