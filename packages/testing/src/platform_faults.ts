/**
 * Faults of the stand-in's key-value service, which tests set through its control endpoint.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import * as v from "valibot";

/** Kinds of call to the service. */
export const callKindSchema = v.picklist(["read", "write", "lease", "watch"]);

const probabilitySchema = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
const delaySchema = v.pipe(v.number(), v.minValue(0));
const rateSchema = v.pipe(v.number(), v.minValue(0));

/** One rule. It applies to the listed clients, addresses and kinds; without a list, to all. */
export const faultRuleSchema = v.strictObject({
  /** Values of the client id header. */
  clients: v.optional(v.array(v.string())),
  /** Client IP addresses. */
  clientAddresses: v.optional(v.array(v.string())),
  kinds: v.optional(v.array(callKindSchema)),
  /** `refused` cuts the connection, `hung` never answers, `error` answers 503. */
  outage: v.optional(v.picklist(["refused", "hung", "error"])),
  delayMs: v.optional(delaySchema, 0),
  delayJitterMs: v.optional(delaySchema, 0),
  /** Probability that the connection is cut after the call has taken effect. */
  loseAnswerProbability: v.optional(probabilitySchema, 0),
});

/** The complete set of faults. A new set replaces the old one; `{}` clears all faults. */
export const faultsSchema = v.strictObject({
  seed: v.optional(v.pipe(v.number(), v.integer()), 1),
  rules: v.optional(v.array(faultRuleSchema), []),
  readsPerSecond: v.optional(rateSchema),
  writesPerSecond: v.optional(rateSchema),
});

export type CallKind = v.InferOutput<typeof callKindSchema>;
export type FaultRule = v.InferOutput<typeof faultRuleSchema>;
export type Faults = v.InferOutput<typeof faultsSchema>;

/** The client that makes a call, and the kind of the call. */
export interface Caller {
  readonly client: string;
  readonly clientAddress: string;
  readonly kind: CallKind;
}

/** The faults that apply to one call. */
export interface CallFaults {
  readonly outage: FaultRule["outage"];
  readonly isOverRate: boolean;
  readonly delayMs: number;
  readonly isAnswerLost: boolean;
}

const MS_PER_SECOND = 1_000;
const RANDOM_STEPS = 1_000_000;

/** Decides the faults of each call from the active rules and a seeded random generator. */
export class FaultPlan {
  readonly #nowMs: () => number;
  #faults: Faults = v.parse(faultsSchema, {});
  #random: RandomGenerator = xoroshiro128plus(1);
  #windowStartMs = 0;
  readonly #callsInWindow = { read: 0, write: 0 };

  constructor(nowMs: () => number) {
    this.#nowMs = nowMs;
  }

  get faults(): Faults {
    return this.#faults;
  }

  set(faults: Faults): void {
    this.#faults = faults;
    this.#random = xoroshiro128plus(faults.seed);
  }

  /** The outage that currently applies to a caller; also used for open watches. */
  outageOf(caller: Caller): FaultRule["outage"] {
    return this.#rulesFor(caller).find((rule) => rule.outage !== undefined)?.outage;
  }

  faultsFor(caller: Caller): CallFaults {
    const rules = this.#rulesFor(caller);
    const delaysMs = rules.map((rule) => rule.delayMs + this.#nextFraction() * rule.delayJitterMs);
    return {
      outage: this.outageOf(caller),
      isOverRate: this.#isOverRate(caller.kind),
      delayMs: delaysMs.reduce((sum, delayMs) => sum + delayMs, 0),
      isAnswerLost: rules.some((rule) => this.#nextFraction() < rule.loseAnswerProbability),
    };
  }

  #rulesFor(caller: Caller): readonly FaultRule[] {
    return this.#faults.rules.filter((rule) =>
      (rule.clients?.includes(caller.client) ?? true) &&
      (rule.clientAddresses?.includes(caller.clientAddress) ?? true) &&
      (rule.kinds?.includes(caller.kind) ?? true)
    );
  }

  #isOverRate(kind: CallKind): boolean {
    const nowMs = this.#nowMs();
    if (nowMs - this.#windowStartMs >= MS_PER_SECOND) {
      this.#windowStartMs = nowMs;
      this.#callsInWindow.read = 0;
      this.#callsInWindow.write = 0;
    }
    const group = kind === "read" || kind === "watch" ? "read" : "write";
    this.#callsInWindow[group] += 1;
    const limits = { read: this.#faults.readsPerSecond, write: this.#faults.writesPerSecond };
    return this.#callsInWindow[group] > (limits[group] ?? Number.POSITIVE_INFINITY);
  }

  #nextFraction(): number {
    return uniformInt(this.#random, 0, RANDOM_STEPS - 1) / RANDOM_STEPS;
  }
}
