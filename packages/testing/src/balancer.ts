/**
 * A stand-in for the platform's load balancer: it routes callers only to entries that report ready.
 *
 * @module
 */

const POLL_INTERVAL_MS = 100;

/** The two addresses of one entry. */
export interface BalancedEntry {
  readonly callerUrl: string;
  readonly operatorUrl: string;
}

/** Polls the readiness endpoint of each entry; entries count as ready until the first poll. */
export class Balancer {
  readonly #entries: readonly BalancedEntry[];
  readonly #readyUrls = new Set<string>();
  #isStopped = false;

  constructor(entries: readonly BalancedEntry[]) {
    this.#entries = entries;
    for (const entry of entries) {
      this.#readyUrls.add(entry.callerUrl);
      void this.#poll(entry);
    }
  }

  /** Whether callers may use this entry. */
  isReady(callerUrl: string): boolean {
    return this.#readyUrls.has(callerUrl);
  }

  /** The number of ready entries. */
  get readyCount(): number {
    return this.#entries.filter(({ callerUrl }) => this.isReady(callerUrl)).length;
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #poll({ callerUrl, operatorUrl }: BalancedEntry): Promise<void> {
    while (!this.#isStopped) {
      const isReady = await fetch(`${operatorUrl}/readyz`).then(({ ok }) => ok, () => false);
      if (isReady) this.#readyUrls.add(callerUrl);
      else this.#readyUrls.delete(callerUrl);
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }
}
