/**
 * V8 flags that reduce the memory use of a process.
 *
 * @module
 */
import * as v8 from "node:v8";

/**
 * The HTTP client's parser is a WebAssembly module. Its optimizing compiler allocates up to 40 MB
 * at once, most of which the allocator never returns to the system, so only the baseline compiler
 * is used.
 */
const V8_FLAGS = ["--liftoff-only"];

/** Sets the flags. Call it before the HTTP client opens its first connection. */
export function reduceMemoryUse(): void {
  V8_FLAGS.forEach((flag) => v8.setFlagsFromString(flag));
}
