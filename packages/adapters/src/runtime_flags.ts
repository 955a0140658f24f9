/**
 * Settings of the JavaScript engine for processes that should stay small.
 *
 * @module
 */
import * as v8 from "node:v8";

/**
 * Flags of V8. The HTTP client's parser is a WebAssembly module, whose optimizing compiler takes up to 40
 * MB at once, and the allocator keeps most of it.
 */
const V8_FLAGS = ["--liftoff-only"];

/** Sets the flags; to be called before the first connection of the HTTP client. */
export function reduceMemoryUse(): void {
  V8_FLAGS.forEach((flag) => v8.setFlagsFromString(flag));
}
