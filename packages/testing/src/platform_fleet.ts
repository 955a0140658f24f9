/**
 * Serves the stand-in platform's VMs and workers over HTTP. Lists carry entity tags.
 *
 * `GET /fleet/vms`, `POST /fleet/vms/<vm>/<drain|reboot|return>` with `{ operationId }`,
 * `GET /fleet/workers`, `POST /fleet/workers/<worker>/tasks` with a task, `POST
 * /fleet/workers/<worker>/tasks/<task>/<stop|checkpoint|throttle>`. For tests: `GET /fleet/witness`,
 * `POST /fleet/faults`, `POST /fleet/lose-rack`, `POST /fleet/restore`, `PUT /fleet` with a setup.
 *
 * @module
 */
import type { HttpBindings } from "@hono/node-server";
import { Hono } from "hono";
import { etag } from "hono/etag";
import type * as ports from "@jackdawlink/ports";
import { FleetModel, type FleetSetup } from "./fleet_model.ts";

/** Faults of the HTTP interface. */
export interface FleetFaults {
  out: boolean;
  /** Every n-th action takes effect but is answered with an error; zero disables this fault. */
  loseEveryNthAnswer: number;
}

const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;
const VM_ACTIONS = ["drain", "reboot", "return"] as const;

/** The HTTP routes and the fleet model behind them. */
export class PlatformFleet {
  readonly app = new Hono<{ Bindings: HttpBindings }>();
  readonly faults: FleetFaults = { out: false, loseEveryNthAnswer: 0 };
  model: FleetModel;
  #actionCount = 0;

  constructor(setup: FleetSetup = {}) {
    this.model = new FleetModel(setup);
    this.#registerFaultMiddleware();
    this.#registerVmRoutes();
    this.#registerWorkerRoutes();
    this.#registerControlRoutes();
  }

  /** Replaces the answer of an action only after the action took effect. */
  #registerFaultMiddleware(): void {
    this.app.use("/fleet/*", async (context, next) => {
      const isAction = /^\/fleet\/(?:vms|workers)\/./.test(context.req.path);
      const isControl = !/^\/fleet\/(?:vms|workers)(?:\/|$)/.test(context.req.path);
      if (this.faults.out && !isControl) {
        return context.json({ error: "out" }, HTTP_UNAVAILABLE);
      }
      await next();
      this.#actionCount += Number(isAction);
      const every = this.faults.loseEveryNthAnswer;
      if (isAction && every > 0 && this.#actionCount % every === 0) {
        context.res = context.json({ error: "answer lost" }, HTTP_UNAVAILABLE);
      }
    });
  }

  #registerVmRoutes(): void {
    this.app.use("/fleet/vms", etag());
    this.app.get("/fleet/vms", (context) => context.json(this.model.listVms(Date.now())));
    for (const action of VM_ACTIONS) {
      this.app.post(`/fleet/vms/:vm/${action}`, async (context) => {
        const { operationId } = await context.req.json<{ operationId: string }>();
        const vm = context.req.param("vm");
        const outcome = this.model.act(action, { vm, operationId, nowMs: Date.now() });
        return context.json({ outcome }, outcome === "accepted" ? 200 : HTTP_CONFLICT);
      });
    }
  }

  #registerWorkerRoutes(): void {
    const path = "/fleet/workers/:worker/tasks";
    this.app.use("/fleet/workers", etag());
    this.app.get("/fleet/workers", (context) => context.json(this.model.listWorkers(Date.now())));
    this.app.post(path, async (context) => {
      const spec = await context.req.json<ports.platform.TaskSpec>();
      const outcome = this.model.tasks.start(context.req.param("worker"), spec, Date.now());
      return context.json({ outcome }, outcome === "refused" ? HTTP_CONFLICT : 200);
    });
    this.app.post(`${path}/:task/stop`, (context) => {
      const { worker, task } = context.req.param();
      this.model.advance(Date.now());
      return context.json({ outcome: this.model.tasks.stop(worker, task) });
    });
    this.app.post(`${path}/:task/checkpoint`, (context) => {
      const { worker, task } = context.req.param();
      this.model.tasks.checkpoint(worker, task);
      return context.json({ outcome: "accepted" });
    });
    this.app.post(`${path}/:task/throttle`, (context) => context.json({ outcome: "accepted" }));
  }

  #registerControlRoutes(): void {
    this.app.get("/fleet/witness", (context) =>
      context.json({
        events: this.model.events,
        starts: Object.fromEntries(this.model.tasks.starts),
      }));
    this.app.put("/fleet", async (context) => {
      this.model = new FleetModel(await context.req.json<FleetSetup>());
      return context.json({});
    });
    this.app.post("/fleet/faults", async (context) => {
      Object.assign(this.faults, await context.req.json<Partial<FleetFaults>>());
      return context.json({});
    });
    this.app.post("/fleet/lose-rack", async (context) => {
      const place = await context.req.json<{ availabilityZone: string; rack: string }>();
      this.model.loseRack({ ...place, nowMs: Date.now() });
      return context.json({});
    });
    this.app.post("/fleet/restore", async (context) => {
      const { vms } = await context.req.json<{ vms: string[] }>();
      vms.forEach((vm) => this.model.restore(vm, Date.now()));
      return context.json({});
    });
  }
}
