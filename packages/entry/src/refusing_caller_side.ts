/**
 * A caller side that refuses everything with "not run".
 *
 * @module
 */
import { createAdaptorServer } from "@hono/node-server";
import * as schema from "@jackdawlink/schema";
import { Hono } from "hono";
import type { ResultAsync } from "neverthrow";
import type { CallerSide } from "./caller_side.ts";
import { HttpListener } from "./http_listener.ts";

/** Refuses every request. */
export class RefusingCallerSide implements CallerSide {
  readonly #listener: HttpListener;

  constructor() {
    const app = new Hono();
    app.all("*", (context) => {
      context.header(schema.http.OUTCOME_HEADER, "not-run");
      return context.json({ error: { type: "Unavailable", outcome: "not-run" } }, 503);
    });
    this.#listener = new HttpListener(createAdaptorServer({ fetch: app.fetch }));
  }

  listen(address: string): ResultAsync<string, schema.errors.JackdawlinkError> {
    return this.#listener.listen(address);
  }

  drain(): Promise<void> {
    return Promise.resolve();
  }

  close(): void {
    this.#listener.close();
  }

  explain(): schema.operator.Explanation {
    return { lines: [] };
  }
}
