/**
 * The HTTP interface towards operators and the balancer: health, readiness, metrics, status, explain.
 *
 * @module
 */
import { createAdaptorServer } from "@hono/node-server";
import type * as schema from "@jackdawlink/schema";
import { Hono } from "hono";
import type { ResultAsync } from "neverthrow";
import type * as prometheus from "prom-client";
import { HttpListener } from "./http_listener.ts";
import type { MembershipStatus } from "./membership/membership_manager.ts";

/** What an {@link OperatorServer} shows. */
export interface OperatorServerOptions {
  readonly status: () => MembershipStatus;
  readonly isDraining: () => boolean;
  /** What is known of a request; null for an unknown one. */
  readonly explain: (requestId: string) => unknown;
  readonly registry: prometheus.Registry;
}

/** Serves operators. */
export class OperatorServer {
  readonly #options: OperatorServerOptions;
  readonly #listener: HttpListener;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    this.#listener = new HttpListener(createAdaptorServer({ fetch: this.app().fetch }));
  }

  listen(address: string): ResultAsync<string, schema.errors.JackdawlinkError> {
    return this.#listener.listen(address);
  }

  close(): void {
    this.#listener.close();
  }

  /** The routes, also for tests without a socket. */
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
    app.get("/v1/status", (context) => context.json({ ...status(), draining: isDraining() }));
    app.get("/v1/explain/:id", (context) => {
      const requestId = context.req.param("id");
      const explanation = explain(requestId);
      return explanation === null || explanation === undefined
        ? context.json({ error: { type: "NotFound", message: `No request ${requestId}` } }, 404)
        : context.json(explanation);
    });
    return app;
  }
}
