/**
 * The HTTP interface for operators: `/healthz`, `/readyz`, `/metrics`, `GET /v1/status`, `GET
 * /v1/explain/<subject>`, and `POST /v1/vms/<vm>/<drain|release|reboot|move>`.
 *
 * @module
 */
import { Hono } from "hono";
import * as v from "valibot";
import * as schema from "@jackdawlink/schema";
import type { Metrics } from "./metrics.ts";
import type { Steward } from "./steward.ts";

const DEFAULT_DRAIN_TIMEOUT_MS = 600_000;
const DEFAULT_MAINTENANCE_MS = 300_000;

/** The body of a request that starts an operation. */
const operationBodySchema = v.strictObject({
  reason: v.optional(v.string(), "An operator asked for it"),
  toPool: v.optional(schema.names.nameSchema),
  drainTimeoutMs: v.optional(schema.names.durationMsSchema, DEFAULT_DRAIN_TIMEOUT_MS),
  maintenanceMs: v.optional(schema.names.durationMsSchema, DEFAULT_MAINTENANCE_MS),
});

/** The routes for operators. */
export function operatorApp(
  steward: Steward,
  { metrics, isStopping }: { metrics: Metrics; isStopping: () => boolean },
): Hono {
  const app = new Hono();
  app.get("/healthz", (context) => context.text("ok"));
  app.get("/readyz", (context) => {
    const isReady = steward.round !== undefined && !isStopping();
    return context.text(isReady ? "ready" : "not ready", isReady ? 200 : 503);
  });
  app.get("/metrics", async (context) => context.text(await metrics.text()));
  app.get("/v1/status", (context) => context.json(statusOf(steward)));
  app.get(
    "/v1/explain/:subject",
    async (context) => context.json(await explain(steward, context.req.param("subject"))),
  );
  addOperations(app, steward);
  return app;
}

/** Adds the routes that start or end operations; a refusal is a 409 response with the reason. */
function addOperations(app: Hono, steward: Steward): void {
  app.post("/v1/vms/:vm/release", async (context) => {
    const released = await steward.vms.release(context.req.param("vm"));
    return released.match(
      (done) => context.json({ released: done }, done ? 202 : 409),
      (error) => context.json({ error: { type: error.name, message: error.message } }, 409),
    );
  });
  for (const kind of schema.fleet.operationKindSchema.options) {
    app.post(`/v1/vms/:vm/${kind}`, async (context) => {
      const { round } = steward;
      if (round === undefined) {
        const message = "The steward does nothing without the store";
        return context.json({ error: { type: "StoreUnavailableError", message } }, 503);
      }
      const body: unknown = await context.req.json().catch(() => ({}));
      const parsed = v.safeParse(operationBodySchema, body);
      if (!parsed.success || (kind === "move") !== (parsed.output.toPool !== undefined)) {
        const message = "A move names toPool, other operations don't; see the manual";
        return context.json({ error: { type: "InvalidInputError", message } }, 400);
      }
      const request = { vm: context.req.param("vm"), kind, ...parsed.output };
      const started = await steward.vms.start(request, round);
      return started.match(
        (operationId) => context.json({ operationId }, 202),
        (error) => context.json({ error: { type: error.name, message: error.message } }, 409),
      );
    });
  }
}

/** The state of the fleet according to the steward's records. */
function statusOf(steward: Steward): object {
  const { state, round, stewards } = steward;
  const pools = Object.keys(round?.config.pools ?? {}).map((pool) => ({
    pool,
    vms: state.vmsOfPool(pool).length,
    tokens: state.pool(pool).tokens,
  }));
  const operations = [...state.vms.values()]
    .filter((record) => record.operation !== undefined)
    .map(({ vm, pool, operation }) => ({ vm, pool, operation }));
  const waves = [...state.waves.values()];
  const quarantined = [...state.workers.values()].filter((each) =>
    each.quarantinedUntilMs !== undefined
  );
  return { hasStore: round !== undefined, stewards, pools, operations, waves, quarantined };
}

/** The records of a subject, with its recorded history and this steward's decisions by time. */
async function explain(
  { state, decisions, jobs, round }: Steward,
  subject: string,
): Promise<object> {
  const vm = state.vms.get(subject);
  const isPool = round?.config.pools[subject] !== undefined;
  const job = (await jobs.find(subject)).unwrapOr(undefined);
  const recorded = (vm?.history ?? []).map(({ atMs, text }) => ({
    atMs,
    part: "record",
    message: text,
    fields: {},
  }));
  const decided = decisions.about(subject).map(({ atMs, message, fields }) => ({
    atMs,
    part: "steward",
    message,
    fields,
  }));
  return {
    subject,
    vm,
    pool: isPool ? state.pool(subject) : undefined,
    wave: state.waves.get(subject),
    worker: state.workers.get(subject),
    job,
    lines: [...recorded, ...decided].sort((left, right) => left.atMs - right.atMs),
  };
}
