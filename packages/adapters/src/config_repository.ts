/**
 * Reads and publishes configurations. A configuration is stored as content-addressed chunks that
 * the head references.
 *
 * A single transaction writes the missing chunks, the history record and the head, and deletes the
 * chunks that the new head no longer references. The store therefore holds exactly the chunks of
 * the head; a reader that finds a chunk missing has read an old head and reads again. A change that
 * is too large for one transaction writes its chunks beforehand and deletes unused chunks
 * afterwards.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import { err, ok, okAsync, type Result, ResultAsync } from "neverthrow";
import * as v from "valibot";
import * as chunkWrites from "./chunk_writes.ts";
import type { HeadRecord, HeadRepository } from "./head_repository.ts";

type JackdawlinkError = schema.errors.JackdawlinkError;

/** Another operator published first; `changes` is the diff from the checked base to theirs. */
export const ConfigConflictError = schema.errors.ConflictError.subclass("ConfigConflictError", {
  props: { revision: 0, author: "", changes: [] as readonly policy.configDiff.ObjectChange[] },
});

/** The configuration has errors, listed in `findings`. */
export const ConfigCheckError = schema.errors.CheckError.subclass("ConfigCheckError", {
  props: { findings: [] as readonly policy.findings.Finding[] },
});

/** A configuration with its head and the store revision of the head. */
export interface ConfigRecord extends ports.members.Snapshot, HeadRecord {}

/** A configuration to publish, checked against `base`. */
export interface Publication {
  readonly base: ConfigRecord;
  readonly config: schema.config.Config;
  readonly author: string;
  readonly summary: string;
  readonly timeoutMs?: number;
}

/** Options of {@link ConfigRepository}. */
export interface ConfigRepositoryOptions {
  readonly store: ports.store.Store;
  readonly headRepository: HeadRepository;
  /** Caches chunks; it may be shared with code that receives chunks from peers. */
  readonly assembler?: policy.configAssembler.ConfigAssembler;
  /** The maximum number of chunks put, and deleted, in one transaction. */
  readonly maxTransactionChunks?: number;
}

/** The maximum size of a value in the store. */
const MAX_CHUNK_BYTES = 1_000_000;
/** For more missing chunks, listing all chunks is cheaper than individual reads. */
const MAX_SINGLE_CHUNK_READS = 4;
/** How often a read is attempted while the head keeps changing. */
const MAX_READ_ATTEMPTS = 5;
/** How often a publish is retried on a newer head in which only members or fences changed. */
const MAX_REBASES = 20;

/**
 * The configurations in the store. Caches the chunks last read, so that only new ones are fetched.
 */
export class ConfigRepository {
  readonly #store: ports.store.Store;
  readonly #headRepository: HeadRepository;
  readonly #assembler: policy.configAssembler.ConfigAssembler;

  readonly #maxTransactionChunks: number;

  constructor(
    { store, headRepository, assembler, maxTransactionChunks }: ConfigRepositoryOptions,
  ) {
    this.#store = store;
    this.#headRepository = headRepository;
    this.#assembler = assembler ?? new policy.configAssembler.ConfigAssembler();
    this.#maxTransactionChunks = maxTransactionChunks ?? chunkWrites.MAX_TRANSACTION_CHUNKS;
  }

  /** Reads the newest head with its configuration. */
  read(): ResultAsync<ConfigRecord, JackdawlinkError> {
    return new ResultAsync(this.#read());
  }

  /** Reads the head and its configuration if the head has changed since `held`, otherwise null. */
  readNewer(held: HeadRecord): ResultAsync<ConfigRecord | null, JackdawlinkError> {
    return this.#headRepository.readNewer(held.modRevision)
      .andThen((newer) => newer === null ? okAsync(null) : new ResultAsync(this.#read(newer)));
  }

  /**
   * Checks and publishes a configuration. Fails with `ConfigCheckError` or `ConfigConflictError`.
   */
  publish(publication: Publication): ResultAsync<ConfigRecord, JackdawlinkError> {
    return new ResultAsync(this.#publish(publication));
  }

  /** Reads the configuration of `newest` if given, otherwise of the newest head. */
  async #read(newest?: HeadRecord): Promise<Result<ConfigRecord, JackdawlinkError>> {
    for (let attempt = 1; attempt <= MAX_READ_ATTEMPTS; attempt += 1) {
      const isGiven = attempt === 1 && newest !== undefined;
      const record = isGiven ? ok(newest) : await this.#headRepository.read();
      if (record.isErr()) return err(record.error);
      const { chunks } = record.value.head;
      const fetched = await this.#fetchChunks(this.#assembler.missing(chunks));
      if (fetched.isErr()) return err(fetched.error);
      if (this.#assembler.missing(chunks).length > 0) continue;
      return this.#assembler.assemble(chunks).map((config) => ({ ...record.value, config }));
    }
    return err(
      new schema.errors.StoreUnavailableError("The head moved on faster than it could be read"),
    );
  }

  /** Adds the chunks that still exist in the store to the cache. */
  async #fetchChunks(digests: readonly string[]): Promise<Result<void, JackdawlinkError>> {
    const read = await this.#readMissing(digests);
    if (read.isErr()) return err(read.error);
    for (const digest of digests) {
      const text = read.value.get(digest);
      if (text === undefined) continue;
      const added = this.#assembler.add(digest, text);
      if (added.isErr()) return err(added.error);
    }
    return ok(undefined);
  }

  async #readMissing(
    digests: readonly string[],
  ): Promise<Result<Map<string, string>, JackdawlinkError>> {
    if (digests.length === 0) return ok(new Map());
    const { CHUNK_PREFIX, chunkKey } = schema.storeKeys;
    const read = digests.length > MAX_SINGLE_CHUNK_READS
      ? await this.#store.list(CHUNK_PREFIX)
      : await ResultAsync.combine(digests.map((digest) => this.#store.get(chunkKey(digest))));
    return read.map((found) => {
      const values = found.filter((value) => value !== null);
      return new Map(values.map(({ key, value }) => [key.slice(CHUNK_PREFIX.length), value]));
    });
  }

  async #publish(publication: Publication): Promise<Result<ConfigRecord, JackdawlinkError>> {
    const { config } = publication;
    const parsed = v.safeParse(schema.config.configSchema, config);
    if (!parsed.success) return err(invalidConfig(parsed.issues));
    const { checkChange, checkConfig, isError } = policy.configCheck;
    const findings = [...checkConfig(config), ...checkChange(publication.base.config, config)]
      .filter(isError);
    if (findings.length > 0) return err(checkError(findings));
    let base: HeadRecord = publication.base;
    for (let attempt = 0; attempt <= MAX_REBASES; attempt += 1) {
      const published = await this.#tryPublish(base, publication);
      if (published.isOk()) return ok({ ...published.value, config });
      if (!(published.error instanceof schema.errors.ConflictError)) return err(published.error);
      const current = await this.#read();
      if (current.isErr()) return err(current.error);
      if (current.value.head.configRevision !== publication.base.head.configRevision) {
        return err(conflictError(publication.base, current.value));
      }
      base = current.value;
    }
    return err(new schema.errors.ConflictError("The member list changes too fast to publish"));
  }

  /** Publishes on top of `base`; a conflict is returned without a retry. */
  async #tryPublish(
    base: HeadRecord,
    { base: checked, config, author, summary, timeoutMs }: Publication,
  ): Promise<Result<HeadRecord, JackdawlinkError>> {
    const chunks = policy.configChunks.splitConfig(config);
    const tooLarge = chunks.find((chunk) => chunk.bytes > MAX_CHUNK_BYTES);
    if (tooLarge !== undefined) return err(oversizedChunk(tooLarge));
    const stored = new Set(base.head.chunks.map((ref) => ref.digest));
    const missing = chunks.filter((chunk) => !stored.has(chunk.digest));
    const writes = await this.#prepareWrites(missing);
    if (writes.isErr()) return err(writes.error);
    const obsolete = chunkWrites.chunkDeletions(base.head, chunks);
    const changed = await this.#headRepository.change(base, {
      edit: { chunks: chunks.map(({ digest, bytes }) => ({ digest, bytes })) },
      author,
      summary,
      changes: policy.configDiff.diffConfigs(checked.config, config)
        .map(policy.configDiff.describeChange),
      writes: [...writes.value, ...obsolete.slice(0, this.#maxTransactionChunks)],
      timeoutMs,
    });
    const isLarge = missing.length > writes.value.length ||
      obsolete.length > this.#maxTransactionChunks;
    if (changed.isOk() && isLarge) await this.#sweepChunks(changed.value);
    return changed;
  }

  /**
   * Returns the puts to include in the head's transaction. If they exceed one transaction, writes
   * them immediately and returns none.
   */
  async #prepareWrites(
    missing: readonly policy.configChunks.Chunk[],
  ): Promise<Result<readonly ports.store.Write[], JackdawlinkError>> {
    const batches = chunkWrites.batchChunks(missing, this.#maxTransactionChunks);
    if (batches.length <= 1) return ok(batches[0] ?? []);
    for (const batch of batches) {
      const written = await this.#store.transact([], batch);
      if (written.isErr()) return err(written.error);
    }
    return ok([]);
  }

  /**
   * Deletes the chunks that the head does not reference, provided that it is still the newest head.
   * Chunks written after the head belong to a publish in progress and are kept.
   */
  async #sweepChunks(current: HeadRecord): Promise<void> {
    const listed = await this.#store.list(schema.storeKeys.CHUNK_PREFIX);
    if (listed.isErr()) return;
    const unused = chunkWrites.unusedChunks(listed.value, current);
    for (let from = 0; from < unused.length; from += this.#maxTransactionChunks) {
      const group = unused.slice(from, from + this.#maxTransactionChunks);
      await this.#store.transact(
        [{ key: schema.storeKeys.HEAD, modRevision: current.modRevision }, ...group],
        group.map(({ key }) => ({ kind: "delete", key })),
      );
    }
  }
}

function invalidConfig(issues: readonly v.BaseIssue<unknown>[]): JackdawlinkError {
  const lines = issues.map((issue) => `${v.getDotPath(issue) ?? ""}: ${issue.message}`);
  const message = `The configuration does not fit its schema: ${lines.join("; ")}`;
  return new schema.errors.InvalidInputError(message);
}

function checkError(findings: readonly policy.findings.Finding[]): JackdawlinkError {
  const message = `The configuration has ${findings.length} errors; nothing was published`;
  return new ConfigCheckError(message, { props: { findings } });
}

function conflictError(checked: ConfigRecord, current: ConfigRecord): JackdawlinkError {
  const { revision, author } = current.head;
  const changes = policy.configDiff.diffConfigs(checked.config, current.config);
  const message = `The configuration was checked against revision ${checked.head.revision}, ` +
    `but ${author} has published since; the newest is ${revision}`;
  return new ConfigConflictError(message, { props: { revision, author, changes } });
}

function oversizedChunk({ bytes }: policy.configChunks.Chunk): JackdawlinkError {
  const message = `A chunk of the configuration has ${bytes} bytes, more than the store takes`;
  return new schema.errors.InvalidInputError(message);
}
