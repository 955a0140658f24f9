/**
 * Reads request bodies whole, so that a slow caller holds no permit and a request can be sent again.
 *
 * @module
 */
import type * as nodeHttp from "node:http";
import type { requests as policy } from "@jackdawlink/policy";
import { err, ok, type Result } from "neverthrow";

/** The bytes of all bodies that one entry holds at once. */
const MAX_BUFFERED_BYTES = 33_554_432;

/** A body was not read; null where the caller went away. */
export type BodyRefusal = policy.outcome.RefusalType | null;

/** Reads bodies within one bound for all of them. */
export class BodyReader {
  #bufferedBytes = 0;

  /** Reads a body; the caller gives its bytes back by {@link release}. */
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

  /** Gives back the bytes of a body that is no longer held. */
  release(body: Buffer): void {
    this.#bufferedBytes -= body.length;
  }
}
