/**
 * Measures the heap that a value retains.
 *
 * @module
 */
import * as v8 from "node:v8";
import * as vm from "node:vm";

/** Returns the bytes of heap that the result of `create` retains. */
export function measureHeapBytes(create: () => unknown): number {
  const collectGarbage = garbageCollector();
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const retained = [create()];
  collectGarbage();
  const bytes = process.memoryUsage().heapUsed - before;
  retained.length = 0;
  return bytes;
}

function garbageCollector(): () => void {
  v8.setFlagsFromString("--expose-gc");
  return vm.runInNewContext("gc") as () => void;
}
