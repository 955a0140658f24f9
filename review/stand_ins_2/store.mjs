/**
 * Stand-in for the platform's metadata store: items, pages, watches, transactions and leases that
 * expire. Workers register through a path of the stand-in's own, as only the platform may write
 * their entries.
 */
import * as http from "node:http";

const HISTORY_MS = 20_000;
const MAX_PAGE_ITEMS = 500;
const ANSWER_DELAY_MS = 2;
/** The platform removes an entry after three check-in intervals of silence. */
const ENTRY_TTL_MS = 4_500;

const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export class Store {
  #items = new Map();
  #events = [];
  #leases = new Map();
  #entryTimers = new Map();
  #waiting = new Set();
  #revision = 100;
  #lastLease = 0;
  server = http.createServer((request, response) => void this.#serve(request, response));

  text(key) {
    const item = this.#items.get(key);
    return item === undefined ? undefined : Buffer.from(item.value, "base64").toString();
  }

  /** Writes as the operator or a worker. Returns the revision. */
  put(key, value) {
    this.#revision++;
    this.#write(key, Buffer.from(value).toString("base64"), 0);
    this.#wake();
    return this.#revision;
  }

  remove(key) {
    if (this.#items.delete(key)) {
      this.#revision++;
      this.#events.push({ key, revision: this.#revision, deleted: true, atMs: Date.now() });
      this.#wake();
    }
  }

  register(key, entry) {
    clearTimeout(this.#entryTimers.get(key));
    this.put(key, JSON.stringify(entry));
    this.#entryTimers.set(key, setTimeout(() => this.remove(key), ENTRY_TTL_MS));
  }

  async #serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const url = new URL(request.url, "http://store");
    const text = Buffer.concat(chunks).toString();
    const body = text === "" ? undefined : JSON.parse(text);
    const reply = (status, value) => {
      response.writeHead(status, { "content-type": "application/json" });
      response.end(value === undefined ? "" : JSON.stringify(value));
    };
    if (url.pathname === "/stand-in/register") {
      this.register(body.key, body.entry);
      return reply(200, {});
    }
    await delay(ANSWER_DELAY_MS);
    const [, call, id] = url.pathname.split("/");
    const answer = await this.#handle(request.method, call, id, url.searchParams, body);
    reply(answer[0], answer[1]);
  }

  #handle(method, call, id, query, body) {
    switch (call) {
      case "kv-key": {
        const item = this.#items.get(query.get("key"));
        return item === undefined ? [404] : [200, { ...item, "as-of": this.#revision }];
      }
      case "kv-range": {
        const after = query.get("after") ?? "";
        const found = [...this.#items.values()]
          .filter(({ key }) => key.startsWith(query.get("prefix") ?? "") && key > after)
          .sort((a, b) => a.key < b.key ? -1 : 1);
        return [200, {
          items: found.slice(0, MAX_PAGE_ITEMS),
          "has-more": found.length > MAX_PAGE_ITEMS,
          "as-of": this.#revision,
        }];
      }
      case "kv-watch":
        return this.#watch(query);
      case "kv-txn":
        return this.#transact(body);
      case "kv-lease": {
        const lease = ++this.#lastLease;
        this.#extend(lease, body["ttl-ms"]);
        return [200, { lease, "ttl-ms": body["ttl-ms"] }];
      }
      case "kv-keep": {
        const held = this.#leases.get(Number(id));
        if (held === undefined) return [404];
        this.#extend(Number(id), held.ttlMs);
        return [200, { "ttl-ms": held.ttlMs }];
      }
      case "kv-lease-end":
        if (!this.#leases.has(Number(id))) return [404];
        this.#endLease(Number(id));
        return [200, {}];
    }
    return [404];
  }

  #extend(lease, ttlMs) {
    clearTimeout(this.#leases.get(lease)?.timer);
    const timer = setTimeout(() => this.#endLease(lease), ttlMs);
    this.#leases.set(lease, { ttlMs, timer });
  }

  #endLease(lease) {
    clearTimeout(this.#leases.get(lease)?.timer);
    this.#leases.delete(lease);
    for (const item of [...this.#items.values()]) {
      if (item.lease === lease) this.remove(item.key);
    }
  }

  async #watch(query) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const untilMs = Date.now() + Number(query.get("wait-ms"));
    this.#events = this.#events.filter(({ atMs }) => Date.now() - atMs < HISTORY_MS);
    const read = () =>
      this.#events.filter(({ key, revision }) => key.startsWith(prefix) && revision > after)
        .map(({ atMs: _, ...event }) => event);
    while (read().length === 0 && Date.now() < untilMs) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, untilMs - Date.now());
        this.#waiting.add(wake);
      });
    }
    return [200, { events: read(), "as-of": this.#revision }];
  }

  #transact({ expected = [], puts = [], remove = [] }) {
    const isStale = expected.some(({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) !== revision
    );
    if (isStale) {
      return [412, {
        items: expected.map(({ key }) => this.#items.get(key) ?? { key, revision: 0 }),
      }];
    }
    const keys = [...puts.map(({ key }) => key), ...remove];
    if (keys.some((key) => key.startsWith("op/") || key.startsWith("servers/"))) return [403];
    if (puts.some(({ lease }) => lease && !this.#leases.has(lease))) return [404];
    if (keys.length > 0) {
      this.#revision++;
      puts.forEach(({ key, value, lease = 0 }) => this.#write(key, value, lease));
      for (const key of remove) {
        if (this.#items.delete(key)) {
          this.#events.push({ key, revision: this.#revision, deleted: true, atMs: Date.now() });
        }
      }
      this.#wake();
    }
    return [200, { revision: this.#revision }];
  }

  #write(key, value, lease) {
    const created = this.#items.get(key)?.created ?? this.#revision;
    const item = { key, value, revision: this.#revision, created, lease };
    this.#items.set(key, item);
    this.#events.push({ ...item, atMs: Date.now() });
  }

  #wake() {
    [...this.#waiting].forEach((wake) => wake());
  }
}
