/**
 * Deterministic random numbers for traces and models.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const MAX_FACTOR = 3;

/** A seeded source of random numbers. */
export class SeededRandom {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A uniformly distributed integer between two inclusive bounds. */
  between(from: number, to: number): number {
    return uniformInt(this.#generator, from, to);
  }

  /** Returns true with the given probability. */
  chance(probability: number): boolean {
    return uniformFloat64(this.#generator) < probability;
  }

  /** The error factor of an estimate: between 1/3 and 3, uniform on a logarithmic scale. */
  factor(): number {
    return MAX_FACTOR ** (2 * uniformFloat64(this.#generator) - 1);
  }
}
