/**
 * A TCP proxy that can hang: while it is cut, bytes are held up and new connections get no answer, as behind
 * a partition. When the cut ends, what was held up is delivered, but for connections that either side has
 * closed meanwhile, and connections that were opened meanwhile are reset.
 */
import * as net from "node:net";

export class Proxy {
  #server;
  #pairs = new Set();
  isCut = false;

  async listen(host, port, target) {
    this.#server = net.createServer((incoming) => {
      const outgoing = net.connect(target);
      const pair = { incoming, outgoing, heldUp: [], wasOpenedInCut: this.isCut };
      this.#pairs.add(pair);
      for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]]) {
        from.on("data", (chunk) => {
          if (this.isCut) {
            pair.heldUp.push([to, chunk]);
          } else {
            to.write(chunk);
          }
        });
        from.on("error", () => this.#close(pair));
        from.on("end", () => this.#close(pair));
        from.on("close", () => this.#close(pair));
      }
    });
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  cut() {
    this.isCut = true;
  }

  heal() {
    this.isCut = false;
    for (const pair of [...this.#pairs]) {
      if (pair.isClosed || pair.wasOpenedInCut) {
        this.#destroy(pair);
      }
      pair.heldUp.splice(0).forEach(([to, chunk]) => to.write(chunk));
    }
  }

  close() {
    this.#server?.close();
    [...this.#pairs].forEach((pair) => this.#destroy(pair));
  }

  /** Closes both sides; during a cut, the other side learns of it only at its end. */
  #close(pair) {
    if (this.isCut) {
      pair.isClosed = true;
      pair.heldUp = [];
    } else {
      this.#destroy(pair);
    }
  }

  #destroy(pair) {
    this.#pairs.delete(pair);
    pair.heldUp = [];
    pair.incoming.destroy();
    pair.outgoing.destroy();
  }
}
