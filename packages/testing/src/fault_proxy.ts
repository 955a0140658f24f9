/**
 * A TCP proxy with named routes, and faults that are injected over HTTP.
 *
 * @module
 */
import * as http from "node:http";
import type * as net from "node:net";
import { errors, names } from "@jackdawlink/schema";
import * as v from "valibot";
import * as control from "./fault_proxy_control.ts";
import { Route } from "./fault_proxy_route.ts";

/** A control request is invalid or names an unknown route. */
export const FaultProxyError = errors.JackdawlinkError.subclass("FaultProxyError");

/** The proxy and its control server. */
export class FaultProxy {
  readonly #routes = new Map<string, Route>();
  readonly #server = http.createServer((request, response) => void this.#serve(request, response));

  /** Listens for control requests and returns `host:port`. */
  listen(address: string): Promise<string> {
    const { host, port } = names.splitAddress(address);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        resolve(`${host}:${(this.#server.address() as net.AddressInfo).port}`);
      });
    });
  }

  async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const handlers: Record<string, (body: unknown) => Promise<unknown>> = {
      "POST /routes": (body) => this.#addRoute(v.parse(control.routeBodySchema, body)),
      "POST /faults": (body) => this.#setFault(v.parse(control.faultBodySchema, body)),
    };
    try {
      const chunks: Buffer[] = [];
      for await (const chunk of request) chunks.push(chunk as Buffer);
      const handler = handlers[`${request.method} ${request.url}`];
      if (handler === undefined) throw new FaultProxyError("No such control path");
      const answer = await handler(JSON.parse(Buffer.concat(chunks).toString()));
      response.writeHead(200, { "content-type": "application/json" });
      response.end(JSON.stringify(answer));
    } catch (error) {
      response.writeHead(400, { "content-type": "application/json" });
      response.end(JSON.stringify({ error: String(error) }));
    }
  }

  async #addRoute({ name, target }: control.RouteBody): Promise<{ address: string }> {
    const route = new Route(target);
    const address = await route.listen();
    this.#routes.set(name, route);
    return { address };
  }

  #setFault(fault: control.FaultBody): Promise<{ routes: readonly string[] }> {
    const routeNames = fault.routes ?? [...this.#routes.keys()];
    for (const name of routeNames) {
      const route = this.#routes.get(name);
      if (route === undefined) throw new FaultProxyError(`No route ${name}`);
      route.apply(fault);
    }
    return Promise.resolve({ routes: routeNames });
  }
}

/** Client of the control interface of a fault proxy process. */
export class FaultProxyClient {
  readonly #address: string;

  constructor(address: string) {
    this.#address = address;
  }

  /** Adds a route and returns the address that it listens on. */
  async addRoute(body: control.RouteBody): Promise<string> {
    const { address } = await this.#post("/routes", body) as { address: string };
    return address;
  }

  /** Sets faults; see `faultBodySchema`. */
  async setFault(body: control.FaultBodyInput): Promise<void> {
    await this.#post("/faults", body);
  }

  async #post(path: string, body: unknown): Promise<unknown> {
    const answer = await fetch(`http://${this.#address}${path}`, {
      method: "POST",
      body: JSON.stringify(body),
    });
    const text = await answer.text();
    if (!answer.ok) throw new FaultProxyError(text);
    return JSON.parse(text);
  }
}
