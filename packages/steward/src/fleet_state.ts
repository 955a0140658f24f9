/**
 * A steward's working copy of the fleet's records. It is read from the store in one consistent list,
 * later ones limited to what has changed, and changed only through compare-and-swap on the versions read.
 *
 * @module
 */
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type * as v from "valibot";
import type * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

/** The kinds of records, each with its prefix and schema. */
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

/** The records with the versions at which they were read. */
export class FleetState {
  readonly #store: ports.store.Store;
  readonly #log: ports.log.Log;
  readonly #versions = new Map<string, number>();
  readonly #corruptKeys = new Set<string>();
  #tables: Tables = emptyTables();
  #draining: schema.fleet.DrainingRecord = { operations: {} };
  #isStale = true;
  /** The store's revision at the last read. */
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

  /** True after a conflict, a lost answer or a hint that something changed. */
  get isStale(): boolean {
    return this.#isStale;
  }

  markStale(): void {
    this.#isStale = true;
  }

  /** The record of a pool; one without tokens where none is stored. */
  pool(name: string): schema.fleet.PoolRecord {
    return this.#tables.pools.get(name) ?? { pool: name, tokens: [] };
  }

  /** Whether a VM has a record, be it one that does not fit its schema. */
  hasVm(vm: string): boolean {
    return this.#versions.has(schema.storeKeys.vmKey(vm));
  }

  /** The VMs that belong to a pool. */
  vmsOfPool(name: string): readonly schema.fleet.VmRecord[] {
    return [...this.#tables.vms.values()].filter((record) => record.pool === name);
  }

  /** Reads what has changed since the last read, or all records where one was deleted since. */
  read(): StoreResult<void> {
    this.#isStale = false;
    const { FLEET_PREFIX } = schema.storeKeys;
    return this.#store.listChanges(FLEET_PREFIX, this.#readRevision + 1)
      .andThen((changes) => {
        this.#applyChanges(changes);
        if (changes.keyCount === this.#versions.size) return okAsync(undefined);
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
   * Writes a change if no record in it has changed since it was read. True once it is written; false
   * after a conflict, which has changed nothing. After an error it may be written: read again.
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
    const compares = keys.map((key) => ({ key, modRevision: this.#versions.get(key) ?? 0 }));
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
      this.#versions.set(key, outcome.storeRevision);
    }
    for (const vm of change.removedVms ?? []) {
      this.#tables.vms.delete(vm);
      this.#versions.delete(schema.storeKeys.vmKey(vm));
    }
    change.vms?.forEach((record) => this.#tables.vms.set(record.vm, record));
    change.pools?.forEach((record) => this.#tables.pools.set(record.pool, record));
    change.waves?.forEach((record) => this.#tables.waves.set(record.wave, record));
    change.workers?.forEach((record) => this.#tables.workers.set(record.worker, record));
    this.#draining = change.draining ?? this.#draining;
    return true;
  }

  #clear(): void {
    this.#versions.clear();
    this.#corruptKeys.clear();
    this.#tables = emptyTables();
    this.#draining = { operations: {} };
  }

  /** A commit that was answered before the read may be newer than what the read found. */
  #applyChanges({ values, storeRevision }: ports.store.ListedChanges): void {
    for (const stored of values) {
      if (stored.modRevision <= (this.#versions.get(stored.key) ?? 0)) continue;
      this.#versions.set(stored.key, stored.modRevision);
      this.#corruptKeys.delete(stored.key);
      this.#applyStored(stored);
    }
    this.#readRevision = Math.max(this.#readRevision, storeRevision);
  }

  /** A record that does not fit is forgotten rather than kept as it was. */
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
      this.#log.error("Record left alone", { key: stored.key, reason: error.message });
    });
  }
}

/** The keys and records that a change writes. */
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
