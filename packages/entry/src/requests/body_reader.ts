/**
 * Reads request bodies into memory before a permit is taken, so that a slow caller holds no permit
 * and a request can be retried.
 *
 * @module
 */
import type * as nodeHttp from "node:http";
import type { requests as policy } from "@jackdawlink/policy";
import { err, ok, type Result } from "neverthrow";

/** Upper bound on the total size of the bodies that one entry buffers. */
const MAX_BUFFERED_BYTES = 33_554_432;

/** Why a body was not read; null if the caller disconnected. */
export type BodyRefusal = policy.outcome.RefusalType | null;

/** Reads bodies, with one bound on the total size of all buffered bodies. */
export class BodyReader {
  #bufferedBytes = 0;

  /** Reads a body; it counts towards the bound until it is passed to {@link release}. */
  read(
    message: nodeHttp.IncomingMessage,
    { maxBytes }: { maxBytes: number },
  ): Promise<Result<Buffer, BodyRefusal>> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      const fail = (refusal: BodyRefusal) => {
        message.off("data", onData);
        message.resume();
        this.#bufferedBytes -= bytes;
        bytes = 0;
        resolve(err(refusal));
      };
      const onData = (chunk: Buffer) => {
        bytes += chunk.length;
        this.#bufferedBytes += chunk.length;
        chunks.push(chunk);
        if (bytes > maxBytes) fail("requestTooLarge");
        else if (this.#bufferedBytes > MAX_BUFFERED_BYTES) fail("bodiesFull");
      };
      message.on("data", onData);
      message.once("end", () => resolve(ok(Buffer.concat(chunks, bytes))));
      message.once("close", () => {
        if (!message.complete) fail(null);
      });
    });
  }

  /** Removes a body that is no longer needed from the count. */
  release(body: Buffer): void {
    this.#bufferedBytes -= body.length;
  }
}
