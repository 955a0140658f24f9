/**
 * A stand-in for the platform's list of VMs (machines). `interceptOrder` lets a case leave an order without
 * an answer and carry it out late, as the pages allow.
 */
import * as http from "node:http";
import { readJson, reply } from "./http_server.mjs";

export class StandInVmService {
  #server;
  /** By machine: pool, state, zone, labels, total and the id of its worker. */
  machines = new Map();
  #tokens = new Map();
  /** Returns undefined, or `{ delayMs }` for an order that gets no answer and is carried out late. */
  interceptOrder = () => undefined;
  /** Carries an order out; set by the harness. Called with the kind of order and the machine. */
  onOrder = () => {};

  async listen(host, port) {
    this.#server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 600_000;
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  close() {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  async #serve(request, response) {
    const body = await readJson(request);
    const path = request.url.split("?")[0];
    if (path === "/machines") {
      return reply(response, 200, { machines: [...this.machines.values()], "next-token": null });
    }
    if (path !== "/machine-move" && path !== "/machine-upkeep") {
      return reply(response, 404, {});
    }
    const order = {
      kind: path === "/machine-move" ? "move" : "upkeep",
      ...body,
      token: Number(request.headers["x-fencing-token"] ?? 0),
      holder: request.headers["x-lease-holder"],
    };
    const late = this.interceptOrder(order);
    if (late !== undefined) {
      setTimeout(() => this.#carryOut(order), late.delayMs);
      return;
    }
    reply(response, ...this.#carryOut(order));
  }

  #carryOut(order) {
    const machine = this.machines.get(order.machine);
    if (machine === undefined) {
      return [400, {}];
    }
    const seen = this.#tokens.get(order.machine) ?? 0;
    if (order.token < seen) {
      return [409, { reason: "fence" }];
    }
    this.#tokens.set(order.machine, order.token);
    const isDone = order.kind === "move"
      ? machine.pool === order.pool
      : (machine.upkeeps ?? []).includes(order.wave);
    if (isDone) {
      return [200, {}];
    }
    if (machine.state !== "up") {
      return [409, { reason: "busy" }];
    }
    this.onOrder(order);
    return [200, {}];
  }
}
