/**
 * The HTTP server for operators and the load balancer: health, readiness, metrics, status and
 * explain.
 *
 * @module
 */
import { createAdaptorServer } from "@hono/node-server";
import * as schema from "@jackdawlink/schema";
import { Hono } from "hono";
import type { ResultAsync } from "neverthrow";
import type * as prometheus from "prom-client";
import { HttpListener } from "./http_listener.ts";
import type { MembershipStatus } from "./membership/membership_manager.ts";

/** Options of an {@link OperatorServer}. */
export interface OperatorServerOptions {
  readonly status: () => MembershipStatus;
  readonly isDraining: () => boolean;
  /** Returns the recorded decisions about a request; an unknown request has no lines. */
  readonly explain: (requestId: string) => schema.operator.Explanation;
  readonly registry: prometheus.Registry;
}

/** Serves the operator endpoints. */
export class OperatorServer {
  readonly #options: OperatorServerOptions;
  readonly #listener: HttpListener;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    this.#listener = new HttpListener(createAdaptorServer({ fetch: this.app().fetch }));
  }

  /** Starts to listen and returns the bound address. */
  listen(address: string): ResultAsync<string, schema.errors.JackdawlinkError> {
    return this.#listener.listen(address);
  }

  /** Closes all connections and stops listening. */
  close(): void {
    this.#listener.close();
  }

  /** Returns the routes; tests call them without a socket. */
  app(): Hono {
    const { status, isDraining, explain, registry } = this.#options;
    const app = new Hono();
    app.get("/healthz", (context) => context.json({ healthy: true }));
    app.get("/readyz", (context) => {
      const draining = isDraining();
      const { fresh } = status();
      const ready = fresh && !draining;
      return context.json({ ready, fresh, draining }, ready ? 200 : 503);
    });
    app.get("/metrics", async (context) => {
      context.header("content-type", registry.contentType);
      return context.body(await registry.metrics());
    });
    app.get(schema.operator.STATUS_PATH, (context) => {
      const answer: schema.operator.Status = { ...status(), draining: isDraining() };
      return context.json(answer);
    });
    app.get(
      `${schema.operator.EXPLAIN_PATH_PREFIX}:id`,
      (context) => context.json(explain(context.req.param("id"))),
    );
    return app;
  }
}
