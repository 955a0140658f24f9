/**
 * Puts the parts of the member list together.
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

/** What the parts are made of. */
export interface MemberOptions {
  readonly settings: schema.settings.EntrySettings;
  /** The addresses that others are told. */
  readonly peerAddress: string;
  readonly operatorAddress: string;
  readonly store: ports.store.Store;
  readonly links: adapters.peerLinks.PeerLinkMesh;
  readonly clock: ports.clock.Clock;
  readonly log: (part: string) => ports.log.Log;
}

/** The parts that keep this process in the member list and follow the head. */
export interface Member {
  readonly snapshots: SnapshotManager;
  readonly drainingVms: DrainingVmManager;
  readonly membership: MembershipManager;
  readonly leaseKeeper: LeaseKeeper;
}

/** Makes the parts; nothing is started yet. */
export function makeMember(options: MemberOptions): Member {
  const { settings, store, links, clock, log } = options;
  const { memberId, availabilityZone, timing } = settings;
  const headRepository = new adapters.headRepository.HeadRepository({
    store,
    clock,
    log: log("head"),
  });
  const identity = {
    memberId,
    availabilityZone,
    peerAddress: options.peerAddress,
    operatorAddress: options.operatorAddress,
  };
  const assembler = new policy.configAssembler.ConfigAssembler();
  const drainingVms = new DrainingVmManager({
    store,
    links,
    clock,
    log: log("draining"),
    headPollMs: timing.headPollMs,
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
    headPollMs: timing.headPollMs,
    needsAliveKeys: () => membership.needsAliveKeys(),
    readDrainingVms: () => drainingVms.read(),
    onRead: (read) => membership.recordRead(read),
  });
  const leaseKeeper = new LeaseKeeper({
    memberId,
    store,
    clock,
    log: log("lease"),
    leaseSeconds: timing.memberLeaseSeconds,
  });
  const membership: MembershipManager = new MembershipManager({
    identity,
    seedPeerAddresses: settings.seedPeerAddresses,
    timing,
    state: new policy.memberState.MemberState({
      identity,
      incarnation: randomUUID(),
      rules: policy.memberState.rulesOf(timing),
    }),
    snapshots,
    drainingVms,
    headRepository,
    leaseKeeper,
    links,
    clock,
    log: log("members"),
  });
  return { snapshots, drainingVms, membership, leaseKeeper };
}
