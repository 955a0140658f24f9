/**
 * Generates seeded run times for stand-in backend servers.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Exponentially distributed run times around a mean. */
export class RunTimes {
  readonly #meanRunMs: number;
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor({ meanRunMs, seed }: { meanRunMs: number; seed: number }) {
    this.#meanRunMs = meanRunMs;
    this.#generator = xoroshiro128plus(seed);
  }

  /** The next run time, in milliseconds. */
  next(): number {
    return -Math.log(1 - uniformFloat64(this.#generator)) * this.#meanRunMs;
  }
}
