/**
 * Stores job records, grouped into segments with one store key each. Updates that arrive while a
 * write of their segment is in flight are written together by the next write (group commit).
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

/** The number of segments; a job's id determines its segment. */
export const JOB_SEGMENT_COUNT = 16;
/** A segment of this size accepts no new jobs, as a value in the store is limited to a megabyte. */
const MAX_SEGMENT_BYTES = 900_000;
/** How long ended jobs are kept, so that a repeated submission is deduplicated. */
const ENDED_JOB_RETENTION_MS = 86_400_000;
const MAX_WRITE_ATTEMPTS = 8;
/** The approximate size of a stored job. */
const ESTIMATED_JOB_BYTES = 400;

/** The stored job's specification or state does not allow the update; nothing was changed. */
export const JobConflictError = schema.errors.ConflictError.subclass("JobConflictError");
/** The segment of a new job is at its maximum size; the job was not stored. */
export const SegmentFullError = schema.errors.JackdawlinkError.subclass("SegmentFullError");

type JobResult = Result<schema.fleet.JobRecord, schema.errors.JackdawlinkError>;

/** An update of one job. */
export interface JobUpdate {
  readonly jobId: string;
  /**
   * Returns the new record, or an error to leave the stored one unchanged. Called again with the
   * job then stored if another process has written the segment meanwhile.
   */
  readonly apply: (job: schema.fleet.JobRecord | undefined) => JobResult;
  /** If given, the update is rejected unless the placer record still has this revision. */
  readonly placerRevision?: number;
}

interface Segment {
  modRevision: number;
  bytes: number;
  jobs: Readonly<Record<string, schema.fleet.JobRecord>>;
  isStale: boolean;
  isCorrupt: boolean;
  queue: { update: JobUpdate; done: (result: JobResult) => void }[];
  isWriting: boolean;
}

/** Reads and updates the segments, with compare-and-swap on their revisions. */
export class JobSegments {
  readonly #store: ports.store.Store;
  readonly #clock: ports.clock.Clock;
  readonly #segments: readonly Segment[];

  constructor(store: ports.store.Store, clock: ports.clock.Clock) {
    this.#store = store;
    this.#clock = clock;
    this.#segments = Array.from({ length: JOB_SEGMENT_COUNT }, newSegment);
  }

  /** All jobs as last read or written by this process. */
  *jobs(): Iterable<schema.fleet.JobRecord> {
    for (const segment of this.#segments) {
      yield* Object.values(segment.jobs);
    }
  }

  /** Reads all segments with one call to the store. */
  async readAll(): Promise<Result<void, schema.errors.JackdawlinkError>> {
    const values = await this.#store.list(schema.storeKeys.JOB_PREFIX);
    return values.map((list) => {
      const byKey = new Map(list.map((stored) => [stored.key, stored]));
      this.#segments.forEach((segment, index) => {
        applyStored(segment, byKey.get(schema.storeKeys.jobSegmentKey(index)) ?? null);
      });
    });
  }

  /** Reads one job from the store. */
  async get(
    jobId: string,
  ): Promise<Result<schema.fleet.JobRecord | undefined, schema.errors.JackdawlinkError>> {
    const index = policy.fleet.assignments.segmentOf(jobId, JOB_SEGMENT_COUNT);
    const stored = await this.#store.get(schema.storeKeys.jobSegmentKey(index));
    return stored.map((value) => {
      const segment = this.#segmentAt(index);
      applyStored(segment, value);
      return segment.jobs[jobId];
    });
  }

  /** Updates a job; resolves once the update is stored or has failed. */
  update(update: JobUpdate): Promise<JobResult> {
    const index = policy.fleet.assignments.segmentOf(update.jobId, JOB_SEGMENT_COUNT);
    const segment = this.#segmentAt(index);
    return new Promise((resolve) => {
      segment.queue.push({ update, done: resolve });
      void this.#writeQueued(index, segment);
    });
  }

  async #writeQueued(index: number, segment: Segment): Promise<void> {
    if (segment.isWriting) {
      return;
    }
    segment.isWriting = true;
    // Updates made in the same turn of the event loop join the first write.
    await Promise.resolve();
    while (segment.queue.length > 0) {
      const batch = segment.queue;
      segment.queue = [];
      await this.#writeBatch(index, { segment, batch });
    }
    segment.isWriting = false;
  }

  async #writeBatch(
    index: number,
    { segment, batch }: { segment: Segment; batch: Segment["queue"] },
  ): Promise<void> {
    let error: schema.errors.JackdawlinkError = new schema.errors.ConflictError(
      "The segment kept changing",
    );
    let pending = batch;
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS && pending.length > 0; attempt += 1) {
      const refreshed = await this.#refresh(index, segment);
      if (refreshed.isErr()) {
        error = refreshed.error;
        continue;
      }
      pending = await this.#rejectOutdatedPlacements(pending);
      const written = await this.#tryWrite(index, { segment, batch: pending });
      if (written.isOk() && written.value) {
        return;
      }
      error = written.isErr() ? written.error : error;
      segment.isStale = true;
    }
    pending.forEach(({ done }) => done(err(error)));
  }

  /** Rejects updates made under an outdated revision of the placer record; returns the others. */
  async #rejectOutdatedPlacements(batch: Segment["queue"]): Promise<Segment["queue"]> {
    if (batch.every(({ update }) => update.placerRevision === undefined)) {
      return batch;
    }
    const placer = await this.#store.get(schema.storeKeys.JOB_PLACER);
    const revision = placer.map((stored) => stored?.modRevision).unwrapOr(undefined);
    return batch.filter(({ update, done }) => {
      const isCurrent = update.placerRevision === undefined || update.placerRevision === revision;
      if (!isCurrent) {
        done(err(new schema.errors.ConflictError("Another steward places jobs now")));
      }
      return isCurrent;
    });
  }

  /** Writes a batch. False after a conflict; then the segment must be read again. */
  async #tryWrite(
    index: number,
    { segment, batch }: { segment: Segment; batch: Segment["queue"] },
  ): Promise<Result<boolean, schema.errors.JackdawlinkError>> {
    const key = schema.storeKeys.jobSegmentKey(index);
    const jobs: Record<string, schema.fleet.JobRecord> = withoutExpired(
      segment.jobs,
      this.#clock.wallMs() - ENDED_JOB_RETENTION_MS,
    );
    let bytes = segment.bytes;
    const results = batch.map(({ update }) => {
      const isNew = jobs[update.jobId] === undefined;
      const result = update.apply(jobs[update.jobId])
        .andThen((job) => isNew ? checkCapacity(job, bytes) : ok(job));
      bytes += isNew ? ESTIMATED_JOB_BYTES : 0;
      if (result.isOk()) {
        jobs[update.jobId] = result.value;
      }
      return result;
    });
    const revisions = batch.flatMap(({ update }) => update.placerRevision ?? []);
    const guards = [...new Set(revisions)].map((modRevision) => ({
      key: schema.storeKeys.JOB_PLACER,
      modRevision,
    }));
    const value = JSON.stringify({ jobs });
    const compares = [{ key, modRevision: segment.modRevision }, ...guards];
    const hasChanges = results.some((result) => result.isOk());
    const outcome = hasChanges
      ? await this.#store.transact(compares, [{ kind: "put", key, value }])
      : ok({ succeeded: true, storeRevision: segment.modRevision });
    return outcome.map(({ succeeded, storeRevision }) => {
      if (succeeded) {
        segment.jobs = hasChanges ? jobs : segment.jobs;
        segment.modRevision = storeRevision;
        segment.bytes = value.length;
        batch.forEach(({ done }, position) => done(results[position] ?? err(missingResultError())));
      }
      return succeeded;
    });
  }

  /** Reads the segment if it is stale; an error if its record does not fit the schema. */
  async #refresh(
    index: number,
    segment: Segment,
  ): Promise<Result<void, schema.errors.JackdawlinkError>> {
    if (segment.isStale) {
      const stored = await this.#store.get(schema.storeKeys.jobSegmentKey(index));
      if (stored.isErr()) {
        return err(stored.error);
      }
      applyStored(segment, stored.value);
    }
    return segment.isCorrupt
      ? err(new schema.fleet.CorruptRecordError(`Segment ${index} does not fit its schema`))
      : ok(undefined);
  }

  #segmentAt(index: number): Segment {
    return this.#segments[index] ?? newSegment();
  }
}

/** Updates a segment from the value read, unless a newer revision is already known. */
function applyStored(segment: Segment, stored: ports.store.StoredValue | null): void {
  if (stored === null || stored.modRevision < segment.modRevision) {
    segment.isStale = segment.isStale && stored !== null;
    return;
  }
  segment.isStale = false;
  segment.modRevision = stored.modRevision;
  segment.bytes = stored.value.length;
  const parsed = schema.fleet.parseRecord(schema.fleet.jobSegmentSchema, stored);
  segment.isCorrupt = parsed.isErr();
  segment.jobs = parsed.map(({ jobs }) => jobs).unwrapOr({});
}

function newSegment(): Segment {
  return {
    modRevision: 0,
    bytes: 0,
    jobs: {},
    isStale: true,
    isCorrupt: false,
    queue: [],
    isWriting: false,
  };
}

/** Drops the jobs that ended before a point in time. */
function withoutExpired(
  jobs: Readonly<Record<string, schema.fleet.JobRecord>>,
  endedBeforeMs: number,
): Record<string, schema.fleet.JobRecord> {
  const kept = Object.entries(jobs).filter(([, job]) =>
    job.endedAtMs === undefined || job.endedAtMs >= endedBeforeMs
  );
  return Object.fromEntries(kept);
}

/** Rejects a new job if its segment is full; updates of stored jobs are not checked. */
function checkCapacity(job: schema.fleet.JobRecord, bytes: number): JobResult {
  return bytes < MAX_SEGMENT_BYTES
    ? ok(job)
    : err(new SegmentFullError("The segment of the job is full"));
}

function missingResultError(): schema.errors.JackdawlinkError {
  return new schema.errors.ConflictError("The update has no result");
}
