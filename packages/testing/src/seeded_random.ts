/**
 * Random numbers of traces and models, the same for each seed.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const MAX_FACTOR = 3;

/** A seeded source. */
export class SeededRandom {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A whole number, both bounds included. */
  between(from: number, to: number): number {
    return uniformInt(this.#generator, from, to);
  }

  /** Whether something of a probability happens. */
  chance(probability: number): boolean {
    return uniformFloat64(this.#generator) < probability;
  }

  /** By how much a declaration is off: between a third and three, evenly on a logarithmic scale. */
  factor(): number {
    return MAX_FACTOR ** (2 * uniformFloat64(this.#generator) - 1);
  }
}
