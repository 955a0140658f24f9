/**
 * The baseline of sharing: each entry has a fixed, even part of the slots, and serves its own teams by
 * weighted fair queueing. Driven by the same arrivals as the real system, in simulated time.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";

/** One request with the entry that it comes to. */
export interface SimulatedRequest {
  readonly entry: number;
  readonly team: string;
  readonly atMs: number;
  readonly runMs: number;
}

/** One run of a request in a slot. */
export interface SlotRun {
  readonly team: string;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
}

/** What the slots are split by. */
export interface SplitOptions {
  readonly entryCount: number;
  readonly slots: number;
  readonly maxWaitMs: number;
  readonly weightOf: (team: string) => number;
}

/** The slots of each entry; the first ones get what can't be divided. */
export function evenSplit(slots: number, entryCount: number): number[] {
  const whole = Math.floor(slots / entryCount);
  const rest = slots % entryCount;
  return Array.from({ length: entryCount }, (_, index) => whole + (index < rest ? 1 : 0));
}

/** Runs all requests; requests that wait for too long are dropped. */
export function simulateFixedSplit(
  requests: readonly SimulatedRequest[],
  options: SplitOptions,
): SlotRun[] {
  return evenSplit(options.slots, options.entryCount).flatMap((slots, entry) => {
    const own = requests.filter((request) => request.entry === entry);
    own.sort((left, right) => left.atMs - right.atMs);
    return new EntryModel(slots, options).run(own);
  });
}

/** One entry with its own slots. */
class EntryModel {
  readonly #slots: number;
  readonly #options: SplitOptions;
  readonly #dispatcher = new policy.requests.dispatcher.Dispatcher();
  readonly #runMsById = new Map<string, number>();
  readonly #runs: SlotRun[] = [];
  #endsMs: number[] = [];

  constructor(slots: number, options: SplitOptions) {
    this.#slots = slots;
    this.#options = options;
  }

  run(requests: readonly SimulatedRequest[]): SlotRun[] {
    for (const [index, request] of requests.entries()) {
      this.#runUntil(request.atMs);
      this.#enqueue(String(index), request);
      this.#fill(request.atMs);
    }
    return this.#runs;
  }

  /** Ends the runs that are over, and starts others in their slots. */
  #runUntil(nowMs: number): void {
    for (;;) {
      const endMs = Math.min(...this.#endsMs);
      if (endMs > nowMs) return;
      this.#endsMs = this.#endsMs.filter((each) => each !== endMs);
      this.#fill(endMs);
    }
  }

  #enqueue(requestId: string, { team, atMs, runMs }: SimulatedRequest): void {
    this.#runMsById.set(requestId, runMs);
    this.#dispatcher.add({
      requestId,
      team,
      service: "",
      urgency: "normal",
      enqueuedAtMs: atMs,
      expiresAtMs: atMs + this.#options.maxWaitMs,
    });
  }

  #fill(nowMs: number): void {
    this.#dispatcher.expire(nowMs);
    while (this.#endsMs.length < this.#slots && this.#startOne(nowMs));
  }

  #startOne(nowMs: number): boolean {
    const standingOf = (team: string) => ({
      running: 0,
      target: null,
      weight: this.#options.weightOf(team),
    });
    for (const { requestId, team } of this.#dispatcher.candidates(nowMs, standingOf)) {
      const endedAtMs = nowMs + this.#runMsById.get(requestId)!;
      this.#dispatcher.recordStart(requestId, { nowMs, weight: this.#options.weightOf(team) });
      this.#endsMs.push(endedAtMs);
      this.#runs.push({ team, startedAtMs: nowMs, endedAtMs });
      return true;
    }
    return false;
  }
}
