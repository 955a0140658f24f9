/**
 * A steward's copy of the fleet's records. The first read lists all records consistently, later
 * reads list only changes. Writes use compare-and-swap on the revisions read.
 *
 * @module
 */
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type * as v from "valibot";
import type * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

/** The kinds of records, with the prefix of their keys and their schema. */
const RECORD_KINDS = {
  vms: { prefix: schema.storeKeys.VM_PREFIX, schema: schema.fleet.vmRecordSchema },
  pools: { prefix: schema.storeKeys.POOL_PREFIX, schema: schema.fleet.poolRecordSchema },
  waves: { prefix: schema.storeKeys.WAVE_PREFIX, schema: schema.fleet.waveRecordSchema },
  workers: { prefix: schema.storeKeys.WORKER_PREFIX, schema: schema.fleet.workerRecordSchema },
} as const;

type RecordKind = keyof typeof RECORD_KINDS;
type RecordOf<TKind extends RecordKind> = v.InferOutput<typeof RECORD_KINDS[TKind]["schema"]>;
type Tables = { readonly [TKind in RecordKind]: Map<string, RecordOf<TKind>> };
type StoreResult<T> = ResultAsync<T, schema.errors.JackdawlinkError>;

const KIND_NAMES = Object.keys(RECORD_KINDS) as RecordKind[];

/** The records with the revisions at which they were read. */
export class FleetState {
  readonly #store: ports.store.Store;
  readonly #log: ports.log.Log;
  readonly #revisions = new Map<string, number>();
  readonly #corruptKeys = new Set<string>();
  #tables: Tables = emptyTables();
  #draining: schema.fleet.DrainingRecord = { operations: {} };
  #isStale = true;
  /** The revision of the store at the last read. */
  #readRevision = 0;

  constructor(store: ports.store.Store, log: ports.log.Log) {
    this.#store = store;
    this.#log = log;
  }

  get vms(): ReadonlyMap<string, schema.fleet.VmRecord> {
    return this.#tables.vms;
  }

  get waves(): ReadonlyMap<string, schema.fleet.WaveRecord> {
    return this.#tables.waves;
  }

  get workers(): ReadonlyMap<string, schema.fleet.WorkerRecord> {
    return this.#tables.workers;
  }

  get draining(): schema.fleet.DrainingRecord {
    return this.#draining;
  }

  /** Whether the records must be read again: after a conflict, a lost answer or a watch event. */
  get isStale(): boolean {
    return this.#isStale;
  }

  markStale(): void {
    this.#isStale = true;
  }

  /** The record of a pool; one without tokens if none is stored. */
  pool(name: string): schema.fleet.PoolRecord {
    return this.#tables.pools.get(name) ?? { pool: name, tokens: [] };
  }

  /** Whether a VM has a record, including one that does not fit its schema. */
  hasVm(vm: string): boolean {
    return this.#revisions.has(schema.storeKeys.vmKey(vm));
  }

  /** The VMs that belong to a pool. */
  vmsOfPool(name: string): readonly schema.fleet.VmRecord[] {
    return [...this.#tables.vms.values()].filter((record) => record.pool === name);
  }

  /** Reads the changes since the last read, or all records if one has been deleted since then. */
  read(): StoreResult<void> {
    this.#isStale = false;
    const { FLEET_PREFIX } = schema.storeKeys;
    return this.#store.listChanges(FLEET_PREFIX, this.#readRevision + 1)
      .andThen((changes) => {
        this.#applyChanges(changes);
        if (changes.keyCount === this.#revisions.size) return okAsync(undefined);
        return this.#store.listChanges(FLEET_PREFIX, 0).map((all) => {
          this.#clear();
          this.#applyChanges(all);
        });
      })
      .mapErr((error) => {
        this.#isStale = true;
        return error;
      });
  }

  /**
   * Writes a change if none of its records has changed since it was read. Returns true once it is
   * written and false after a conflict, when nothing was written. After an error the outcome is
   * unknown until the next read.
   */
  commit(change: policy.fleet.vmTransitions.FleetChange): StoreResult<boolean> {
    const entries = entriesOf(change);
    const guards = (change.unchangedWaves ?? []).map(schema.storeKeys.waveKey);
    const removed = (change.removedVms ?? []).map(schema.storeKeys.vmKey);
    const keys = [...entries.map(({ key }) => key), ...removed, ...guards];
    const corrupt = keys.find((key) => this.#corruptKeys.has(key));
    if (corrupt !== undefined) {
      const message = `Record ${corrupt} does not fit its schema and is left alone`;
      return errAsync(new schema.fleet.CorruptRecordError(message));
    }
    if (entries.length + removed.length === 0) {
      return okAsync(false);
    }
    const compares = keys.map((key) => ({ key, modRevision: this.#revisions.get(key) ?? 0 }));
    const puts = entries.map(({ key, record }) =>
      ({ kind: "put", key, value: JSON.stringify(record) }) as const
    );
    const writes = [...puts, ...removed.map((key) => ({ kind: "delete", key }) as const)];
    return this.#store.transact(compares, writes)
      .map((outcome) => this.#afterCommit(change, outcome))
      .mapErr((error) => {
        this.#isStale = true;
        return error;
      });
  }

  #afterCommit(
    change: policy.fleet.vmTransitions.FleetChange,
    outcome: ports.store.TransactionOutcome,
  ): boolean {
    if (!outcome.succeeded) {
      this.#isStale = true;
      return false;
    }
    for (const { key } of entriesOf(change)) {
      this.#revisions.set(key, outcome.storeRevision);
    }
    for (const vm of change.removedVms ?? []) {
      this.#tables.vms.delete(vm);
      this.#revisions.delete(schema.storeKeys.vmKey(vm));
    }
    change.vms?.forEach((record) => this.#tables.vms.set(record.vm, record));
    change.pools?.forEach((record) => this.#tables.pools.set(record.pool, record));
    change.waves?.forEach((record) => this.#tables.waves.set(record.wave, record));
    change.workers?.forEach((record) => this.#tables.workers.set(record.worker, record));
    this.#draining = change.draining ?? this.#draining;
    return true;
  }

  #clear(): void {
    this.#revisions.clear();
    this.#corruptKeys.clear();
    this.#tables = emptyTables();
    this.#draining = { operations: {} };
  }

  /**
   * Applies the changes read, except those older than a commit that was answered before the read.
   */
  #applyChanges({ values, storeRevision }: ports.store.ListedChanges): void {
    for (const stored of values) {
      if (stored.modRevision <= (this.#revisions.get(stored.key) ?? 0)) continue;
      this.#revisions.set(stored.key, stored.modRevision);
      this.#corruptKeys.delete(stored.key);
      this.#applyStored(stored);
    }
    this.#readRevision = Math.max(this.#readRevision, storeRevision);
  }

  /** Applies one record. If it does not fit its schema, its previous version is removed as well. */
  #applyStored(stored: ports.store.StoredValue): void {
    if (stored.key === schema.storeKeys.DRAINING) {
      this.#draining = { operations: {} };
      this.#parse(schema.fleet.drainingRecordSchema, stored, (record) => this.#draining = record);
      return;
    }
    const kind = KIND_NAMES.find((name) => stored.key.startsWith(RECORD_KINDS[name].prefix));
    if (kind === undefined) {
      return;
    }
    const name = stored.key.slice(RECORD_KINDS[kind].prefix.length);
    const table = this.#tables[kind] as Map<string, unknown>;
    table.delete(name);
    this.#parse(RECORD_KINDS[kind].schema, stored, (record) => table.set(name, record));
  }

  #parse<TSchema extends v.GenericSchema>(
    recordSchema: TSchema,
    stored: ports.store.StoredValue,
    onRecord: (record: v.InferOutput<TSchema>) => void,
  ): void {
    schema.fleet.parseRecord(recordSchema, stored).match(onRecord, (error) => {
      this.#corruptKeys.add(stored.key);
      this.#log.error("Stored record does not fit its schema; leaving it unchanged", {
        key: stored.key,
        reason: error.message,
      });
    });
  }
}

/** The keys and records that a change puts. */
function entriesOf(
  change: policy.fleet.vmTransitions.FleetChange,
): readonly { key: string; record: object }[] {
  const { vmKey, poolKey, waveKey, workerKey, DRAINING } = schema.storeKeys;
  return [
    ...(change.vms ?? []).map((record) => ({ key: vmKey(record.vm), record })),
    ...(change.pools ?? []).map((record) => ({ key: poolKey(record.pool), record })),
    ...(change.waves ?? []).map((record) => ({ key: waveKey(record.wave), record })),
    ...(change.workers ?? []).map((record) => ({ key: workerKey(record.worker), record })),
    ...(change.draining === undefined ? [] : [{ key: DRAINING, record: change.draining }]),
  ];
}

function emptyTables(): Tables {
  return { vms: new Map(), pools: new Map(), waves: new Map(), workers: new Map() };
}
