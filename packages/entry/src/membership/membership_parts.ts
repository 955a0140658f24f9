/**
 * Creates and connects the objects behind the membership of this process.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import * as adapters from "@jackdawlink/adapters";
import type * as ports from "@jackdawlink/ports";
import * as policy from "@jackdawlink/policy";
import type * as schema from "@jackdawlink/schema";
import { DrainingVmManager } from "./draining_vm_manager.ts";
import { LeaseKeeper } from "./lease_keeper.ts";
import { MembershipManager } from "./membership_manager.ts";
import { SnapshotManager } from "./snapshot_manager.ts";

/** Options of {@link createMembershipParts}. */
export interface MembershipPartsOptions {
  readonly settings: schema.settings.EntrySettings;
  /** The addresses that are published in the member list. */
  readonly peerAddress: string;
  readonly operatorAddress: string;
  readonly store: ports.store.Store;
  readonly links: adapters.peerLinks.PeerLinkMesh;
  readonly clock: ports.clock.Clock;
  readonly log: (part: string) => ports.log.Log;
}

/** The objects that keep this process in the member list and follow the head. */
export interface MembershipParts {
  readonly snapshots: SnapshotManager;
  readonly drainingVms: DrainingVmManager;
  readonly membership: MembershipManager;
  readonly leaseKeeper: LeaseKeeper;
}

type HeadRepository = adapters.headRepository.HeadRepository;

/** Creates the objects without starting them. */
export function createMembershipParts(options: MembershipPartsOptions): MembershipParts {
  const { store, clock, log } = options;
  const headRepository = new adapters.headRepository.HeadRepository({
    store,
    clock,
    log: log("head"),
  });
  const followers = createStoreFollowers(options, { headRepository, membership: () => membership });
  const leaseKeeper = createLeaseKeeper(options);
  const membership: MembershipManager = createMembershipManager(options, {
    ...followers,
    headRepository,
    leaseKeeper,
  });
  return { ...followers, membership, leaseKeeper };
}

/**
 * Creates the objects that poll the store. They report to the membership manager, created later.
 */
function createStoreFollowers(
  options: MembershipPartsOptions,
  parts: { headRepository: HeadRepository; membership: () => MembershipManager },
): Pick<MembershipParts, "snapshots" | "drainingVms"> {
  const { store, links, clock, log } = options;
  const { headPollMs } = options.settings.timing;
  const { headRepository, membership } = parts;
  const assembler = new policy.configAssembler.ConfigAssembler();
  const drainingVms = new DrainingVmManager({
    store,
    links,
    clock,
    log: log("draining"),
    headPollMs,
  });
  const snapshots = new SnapshotManager({
    store,
    headRepository,
    configRepository: new adapters.configRepository.ConfigRepository({
      store,
      headRepository,
      assembler,
    }),
    assembler,
    links,
    clock,
    log: log("snapshot"),
    headPollMs,
    needsAliveKeys: () => membership().needsAliveKeys(),
    readDrainingVms: () => drainingVms.read(),
    onRead: (read) => membership().recordRead(read),
  });
  return { snapshots, drainingVms };
}

function createLeaseKeeper({ settings, store, clock, log }: MembershipPartsOptions): LeaseKeeper {
  return new LeaseKeeper({
    memberId: settings.memberId,
    store,
    clock,
    log: log("lease"),
    leaseSeconds: settings.timing.memberLeaseSeconds,
  });
}

function createMembershipManager(
  options: MembershipPartsOptions,
  parts: Omit<MembershipParts, "membership"> & { headRepository: HeadRepository },
): MembershipManager {
  const { settings, links, clock, log } = options;
  const { memberId, availabilityZone, timing, seedPeerAddresses } = settings;
  const { peerAddress, operatorAddress } = options;
  const identity = { memberId, availabilityZone, peerAddress, operatorAddress };
  return new MembershipManager({
    ...parts,
    identity,
    seedPeerAddresses,
    timing,
    state: new policy.memberState.MemberState({
      identity,
      incarnation: randomUUID(),
      rules: policy.memberState.rulesOf(timing),
    }),
    links,
    clock,
    log: log("members"),
  });
}
