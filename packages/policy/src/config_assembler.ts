/**
 * Holds the parsed chunks of one configuration and assembles the next one from unchanged and new
 * chunks, so that only new chunks are parsed.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";
import * as configChunks from "./config_chunks.ts";

interface HeldChunk {
  readonly text: string;
  readonly tables: configChunks.ChunkTables;
}

type Refs = readonly Pick<schema.head.ChunkRef, "digest">[];

/** Parsed chunks by digest. */
export class ConfigAssembler {
  #chunks = new Map<string, HeldChunk>();

  /** The digests of the referenced chunks that are not held. */
  missing(refs: Refs): readonly string[] {
    return refs.map(({ digest }) => digest).filter((digest) => !this.#chunks.has(digest));
  }

  /** The digests of all held chunks. */
  heldDigests(): string[] {
    return [...this.#chunks.keys()];
  }

  /** The text of a held chunk, to send to a peer that lacks it. */
  textOf(digest: string): string | undefined {
    return this.#chunks.get(digest)?.text;
  }

  /** Adds a chunk. Fails if the text doesn't match the digest or the schema. */
  add(digest: string, text: string): Result<void, schema.errors.JackdawlinkError> {
    if (configChunks.digestOf(text) !== digest) {
      const message = `Chunk ${digest} does not have its digest`;
      return err(new schema.errors.InvalidInputError(message));
    }
    return configChunks.parseChunk(text).map((tables) => {
      this.#chunks.set(digest, { text, tables });
    });
  }

  /** Assembles a configuration and drops all other chunks. Fails if a chunk is missing. */
  assemble(refs: Refs): Result<schema.config.Config, schema.errors.JackdawlinkError> {
    const held = new Map<string, HeldChunk>();
    for (const { digest } of refs) {
      const chunk = this.#chunks.get(digest);
      if (chunk === undefined) {
        const message = `Chunk ${digest} is missing`;
        return err(new schema.errors.InvalidInputError(message));
      }
      held.set(digest, chunk);
    }
    this.#chunks = held;
    return ok(configChunks.mergeChunks([...held.values()].map(({ tables }) => tables)));
  }
}
