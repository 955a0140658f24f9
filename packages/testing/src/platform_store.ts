/**
 * A stand-in for the platform's key-value service: a subset of etcd's JSON gateway with call counters
 * and fault injection.
 *
 * @module
 */
import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono } from "hono";
import * as v from "valibot";
import * as messages from "./gateway_messages.ts";
import { CallRefusedError, KeyValueCalls } from "./key_value_calls.ts";
import { KeyValueTable } from "./key_value_table.ts";
import * as platformFaults from "./platform_faults.ts";
import { WatchStreams } from "./watch_streams.ts";

/** Header with the id of a client, which lets fault rules select that client. */
export const CLIENT_HEADER = "jackdawlink-client";

/** Interval between checks for expired leases. */
const LEASE_CHECK_INTERVAL_MS = 50;

type StoreContext = Context<{ Bindings: HttpBindings }>;

interface Call {
  readonly kind: platformFaults.CallKind;
  readonly run: (body: unknown) => Record<string, unknown>;
}

/** Call counts by kind and by client since the start or the last reset. */
export interface Counters {
  readonly byKind: Record<platformFaults.CallKind, number>;
  readonly byClient: Record<string, Record<platformFaults.CallKind, number>>;
  readonly openWatches: number;
  readonly refusedOverRate: number;
}

function zeroCounts(): Record<platformFaults.CallKind, number> {
  return { read: 0, write: 0, lease: 0, watch: 0 };
}

/** The HTTP application: key-value calls, fault injection, counters and control routes. */
export class PlatformStore {
  readonly table: KeyValueTable;
  readonly faults: platformFaults.FaultPlan;
  readonly app = new Hono<{ Bindings: HttpBindings }>();
  readonly #calls: KeyValueCalls;
  readonly #watches: WatchStreams;
  readonly #leaseTimer: NodeJS.Timeout;
  #byKind = zeroCounts();
  #byClient = new Map<string, Record<platformFaults.CallKind, number>>();
  #refusedOverRate = 0;

  constructor({ nowMs = () => performance.now() }: { nowMs?: () => number } = {}) {
    this.table = new KeyValueTable(nowMs);
    this.faults = new platformFaults.FaultPlan(nowMs);
    this.#calls = new KeyValueCalls(this.table);
    this.#watches = new WatchStreams({ table: this.table, faults: this.faults });
    this.#leaseTimer = setInterval(() => this.table.expireLeases(), LEASE_CHECK_INTERVAL_MS);
    this.#registerCalls();
    this.#registerControlRoutes();
  }

  /** Stops the lease timer and closes the open watches. */
  close(): void {
    clearInterval(this.#leaseTimer);
    this.#watches.close();
  }

  counters(): Counters {
    return {
      byKind: { ...this.#byKind },
      byClient: Object.fromEntries(this.#byClient),
      openWatches: this.#watches.openCount,
      refusedOverRate: this.#refusedOverRate,
    };
  }

  resetCounters(): void {
    this.#byKind = zeroCounts();
    this.#byClient = new Map();
    this.#refusedOverRate = 0;
  }

  #registerCalls(): void {
    const calls = this.#calls;
    this.#registerCall("/v3/kv/range", "read", {
      schema: messages.rangeSchema,
      run: (r) => calls.range(r),
    });
    this.#registerCall("/v3/kv/put", "write", {
      schema: messages.putSchema,
      run: (r) => calls.put(r),
    });
    this.#registerCall("/v3/kv/deleterange", "write", {
      schema: messages.deleteRangeSchema,
      run: (request) => calls.deleteRange(request),
    });
    this.#registerCall("/v3/kv/txn", "write", {
      schema: messages.transactionSchema,
      run: (request) => calls.transact(request),
    });
    this.#registerCall("/v3/lease/grant", "lease", {
      schema: messages.grantSchema,
      run: (request) => calls.grantLease(request),
    });
    this.#registerCall("/v3/lease/revoke", "lease", {
      schema: messages.leaseSchema,
      run: (request) => calls.revokeLease(request),
    });
    this.#registerCall("/v3/lease/keepalive", "lease", {
      schema: messages.leaseSchema,
      run: (request) => calls.keepLeaseAlive(request),
    });
    this.app.post("/v3/watch", async (context) => {
      const caller = this.#countCall(context, "watch");
      const early = await this.#applyFaultsBeforeCall(context, this.faults.faultsFor(caller));
      if (early !== null) return early;
      const body = messages.withCamelCaseNames(await readJson(context));
      const parsed = v.safeParse(messages.watchSchema, body);
      if (!parsed.success) return refuse(context, new CallRefusedError("malformed watch request"));
      const { key, rangeEnd } = parsed.output.createRequest;
      this.#watches.open({ range: { key, end: rangeEnd }, caller, outgoing: context.env.outgoing });
      return RESPONSE_ALREADY_SENT;
    });
  }

  #registerCall<TSchema extends v.GenericSchema>(
    path: string,
    kind: platformFaults.CallKind,
    { schema, run }: {
      schema: TSchema;
      run: (request: v.InferOutput<TSchema>) => Record<string, unknown>;
    },
  ): void {
    const call: Call = { kind, run: (body) => run(v.parse(schema, body)) };
    this.app.post(path, (context) => this.#answer(context, call));
  }

  async #answer(context: StoreContext, call: Call): Promise<Response> {
    const callFaults = this.faults.faultsFor(this.#countCall(context, call.kind));
    const body = messages.withCamelCaseNames(await readJson(context));
    const early = await this.#applyFaultsBeforeCall(context, callFaults);
    if (early !== null) return early;
    try {
      const answer = call.run(body);
      if (callFaults.isAnswerLost) return cut(context);
      return context.json(answer);
    } catch (error) {
      return refuse(context, error);
    }
  }

  async #applyFaultsBeforeCall(
    context: StoreContext,
    callFaults: platformFaults.CallFaults,
  ): Promise<Response | null> {
    if (callFaults.delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, callFaults.delayMs));
    }
    if (callFaults.isOverRate) {
      this.#refusedOverRate += 1;
      return context.json({ error: "etcdserver: too many requests", code: 8 }, 429);
    }
    const outages = {
      refused: () => cut(context),
      hung: () => RESPONSE_ALREADY_SENT,
      error: () => context.json({ error: "etcdserver: no leader", code: 14 }, 503),
    };
    return callFaults.outage === undefined ? null : outages[callFaults.outage]();
  }

  #countCall(context: StoreContext, kind: platformFaults.CallKind): platformFaults.Caller {
    const client = context.req.header(CLIENT_HEADER) ?? "";
    const clientAddress = context.env.incoming.socket.remoteAddress ?? "";
    const ofClient = this.#byClient.get(client) ?? zeroCounts();
    this.#byClient.set(client, ofClient);
    this.#byKind[kind] += 1;
    ofClient[kind] += 1;
    return { client, clientAddress, kind };
  }

  #registerControlRoutes(): void {
    this.app.post("/control/faults", async (context) => {
      const parsed = v.safeParse(platformFaults.faultsSchema, await readJson(context));
      if (!parsed.success) return context.json({ error: v.flatten(parsed.issues) }, 400);
      this.faults.set(parsed.output);
      this.#watches.applyFaults();
      return context.json(parsed.output);
    });
    this.app.get("/control/counters", (context) => context.json(this.counters()));
    this.app.post("/control/counters/reset", (context) => {
      this.resetCounters();
      return context.json(this.counters());
    });
  }
}

async function readJson(context: StoreContext): Promise<unknown> {
  try {
    return await context.req.json();
  } catch {
    return null;
  }
}

/** Destroys the connection, as a crash of the service or a network failure would. */
function cut(context: StoreContext): Response {
  context.env.incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
}

function refuse(context: StoreContext, error: unknown): Response {
  if (error instanceof CallRefusedError) {
    const body = { error: error.message, code: error.grpcCode };
    return context.json(body, error.status as 400 | 404);
  }
  return context.json({ error: "malformed request", code: 3 }, 400);
}
