/**
 * A stand-in for the service that knows which workers a queue's policy allows. It answers each call after
 * the time that the configuration names, one call at a time.
 */
import * as http from "node:http";
import { readJson, reply } from "./http_server.mjs";

export class StandInAdvice {
  #server;
  #lastCall = Promise.resolve();
  decideMs = 5;
  eachMs = 1;
  validMs = 3_000;
  /** Whether a step may run on a worker. */
  isAllowed = () => true;
  /** Called with each call and the workers that were granted. */
  onCall = () => {};

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
    const { step, workers } = await readJson(request);
    this.#lastCall = this.#lastCall.then(() =>
      new Promise((resolve) => setTimeout(resolve, this.decideMs + this.eachMs * workers.length))
    );
    await this.#lastCall;
    const granted = workers.filter((worker) => this.isAllowed(step, worker));
    this.onCall(step, workers, granted);
    reply(response, 200, {
      granted: granted.map((worker) => [worker, `ticket-${step}-${worker}`]),
      "valid-ms": this.validMs,
    });
  }
}
