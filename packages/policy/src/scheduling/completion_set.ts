/**
 * Remembers which of a fixed number of items are done, in a byte for each item at the most. A job may
 * have many thousands of tasks and occurrences.
 *
 * @module
 */

/** First and last number of a run of consecutive items. */
export type NumberRange = readonly [first: number, last: number];

/** The items 0 to `count` - 1 that are done. */
export class CompletionSet {
  readonly #count: number;
  /** One byte for each item; allocated with the first item that is done out of order. */
  #flags: Uint8Array | undefined;
  /** All items below this number are done. */
  #firstOpen = 0;
  #size = 0;

  constructor(count: number) {
    this.#count = count;
  }

  get size(): number {
    return this.#size;
  }

  get isComplete(): boolean {
    return this.#size === this.#count;
  }

  /** The lowest number that is not done; the number of items if all are. */
  get firstOpen(): number {
    return this.#firstOpen;
  }

  has(number: number): boolean {
    return number < this.#firstOpen || this.#flags?.[number] === 1;
  }

  add(number: number): void {
    if (number < 0 || number >= this.#count || this.has(number)) {
      return;
    }
    this.#size++;
    if (number > this.#firstOpen) {
      this.#flags ??= new Uint8Array(this.#count);
      this.#flags[number] = 1;
      return;
    }
    do {
      this.#firstOpen++;
    } while (this.#flags?.[this.#firstOpen] === 1);
  }

  /** Adds all numbers of a range, as far as there are such items. */
  addRange([first, last]: NumberRange): void {
    for (let number = first; number <= Math.min(last, this.#count - 1); number++) {
      this.add(number);
    }
  }

  /** The numbers that are done, in ascending order. */
  *[Symbol.iterator](): Generator<number> {
    for (let number = 0; number < this.#count; number++) {
      if (this.has(number)) {
        yield number;
      }
    }
  }

  /** The numbers that are done, as ranges in ascending order. */
  ranges(): NumberRange[] {
    const ranges: [number, number][] = [];
    for (const number of this) {
      const last = ranges.at(-1);
      if (last !== undefined && last[1] === number - 1) {
        last[1] = number;
      } else {
        ranges.push([number, number]);
      }
    }
    return ranges;
  }
}
