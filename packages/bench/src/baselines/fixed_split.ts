/**
 * The baseline for sharing: each entry owns a fixed, even part of the slots, and applies weighted
 * fair queueing to the requests that it receives. The model runs in simulated time with the same
 * arrivals as the real system.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";

/** One request, and the index of the entry that receives it. */
export interface SimulatedRequest {
  readonly entry: number;
  readonly team: string;
  readonly atMs: number;
  readonly runMs: number;
}

/** The time that one request occupied a slot. */
export interface SlotRun {
  readonly team: string;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
}

/** The parameters of the model. */
export interface SplitOptions {
  readonly entryCount: number;
  readonly slots: number;
  readonly maxWaitMs: number;
  readonly weightOf: (team: string) => number;
}

/**
 * The number of slots of each entry; the first entries get one more if the division has a
 * remainder.
 */
export function evenSplit(slots: number, entryCount: number): number[] {
  const quotient = Math.floor(slots / entryCount);
  const remainder = slots % entryCount;
  return Array.from({ length: entryCount }, (_, index) => quotient + (index < remainder ? 1 : 0));
}

/** Simulates all requests; requests that wait longer than `maxWaitMs` are dropped. */
export function simulateFixedSplit(
  requests: readonly SimulatedRequest[],
  options: SplitOptions,
): SlotRun[] {
  return evenSplit(options.slots, options.entryCount).flatMap((slots, entry) => {
    const ownRequests = requests.filter((request) => request.entry === entry);
    ownRequests.sort((left, right) => left.atMs - right.atMs);
    return new EntryModel(slots, options).run(ownRequests);
  });
}

/** Simulates one entry and its part of the slots. */
class EntryModel {
  readonly #slots: number;
  readonly #options: SplitOptions;
  readonly #dispatcher = new policy.requests.dispatcher.Dispatcher();
  readonly #runMsById = new Map<string, number>();
  readonly #runs: SlotRun[] = [];
  #endTimesMs: number[] = [];

  constructor(slots: number, options: SplitOptions) {
    this.#slots = slots;
    this.#options = options;
  }

  run(requests: readonly SimulatedRequest[]): SlotRun[] {
    for (const [index, request] of requests.entries()) {
      this.#advanceTo(request.atMs);
      this.#enqueue(String(index), request);
      this.#fillSlots(request.atMs);
    }
    return this.#runs;
  }

  /** Ends the runs that are over by `nowMs`, and starts waiting requests in the freed slots. */
  #advanceTo(nowMs: number): void {
    for (;;) {
      const endMs = Math.min(...this.#endTimesMs);
      if (endMs > nowMs) return;
      this.#endTimesMs = this.#endTimesMs.filter((each) => each !== endMs);
      this.#fillSlots(endMs);
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

  #fillSlots(nowMs: number): void {
    this.#dispatcher.expire(nowMs);
    while (this.#endTimesMs.length < this.#slots && this.#startNext(nowMs));
  }

  #startNext(nowMs: number): boolean {
    const teamStateOf = (team: string) => ({
      running: 0,
      target: null,
      weight: this.#options.weightOf(team),
    });
    for (const { requestId, team } of this.#dispatcher.candidates(nowMs, teamStateOf)) {
      const endedAtMs = nowMs + this.#runMsById.get(requestId)!;
      this.#dispatcher.recordStart(requestId, { nowMs, weight: this.#options.weightOf(team) });
      this.#endTimesMs.push(endedAtMs);
      this.#runs.push({ team, startedAtMs: nowMs, endedAtMs });
      return true;
    }
    return false;
  }
}
