import type * as testing from "@jackdawlink/testing";
import type * as v from "valibot";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { MembershipStatus } from "../src/membership/membership_manager.ts";
import { type EntryProgram, type Program, Programs, TIMING, waitUntil } from "./processes.ts";

const MEMBER_IDS = Array.from({ length: 9 }, (_, index) => `entry-${index}`);
/** The interval between status reads while all entries must stay fresh. */
const STATUS_POLL_MS = 50;

describe("membership of nine entries", () => {
  let programs: Programs;
  let platform: Program<{ address: string }>;
  let entries: Map<string, EntryProgram>;

  beforeEach(async () => {
    programs = new Programs();
    platform = await programs.startPlatform();
    entries = new Map();
    await startAll();
    await waitUntilListed(MEMBER_IDS);
  });

  afterEach(() => programs.killAll());

  it("lists all entries as members, and each is fresh", async () => {
    for (const memberId of MEMBER_IDS) {
      expect((await statusOf(memberId)).fresh).toBe(true);
    }
  });

  it("fences a killed entry, which joins again after a restart", async () => {
    const before = await statusOf("entry-3");
    entryOf("entry-3").child.kill("SIGKILL");
    await waitUntilListed(MEMBER_IDS.filter((memberId) => memberId !== "entry-3"));
    await start("entry-3");
    await waitUntilListed(MEMBER_IDS);
    expect((await statusOf("entry-3")).incarnation).not.toBe(before.incarnation);
  });

  it("fences an entry frozen beyond its lease and lets it rejoin as a new incarnation", async () => {
    const before = await statusOf("entry-4");
    entryOf("entry-4").child.kill("SIGSTOP");
    await waitUntilListed(MEMBER_IDS.filter((memberId) => memberId !== "entry-4"));
    entryOf("entry-4").child.kill("SIGCONT");
    await waitUntil(() => statusOf("entry-4"), (status) => {
      const isOld = status.incarnation === before.incarnation;
      expect(isOld && status.fresh).toBe(false);
      return status.fresh && !isOld;
    });
    await waitUntilListed(MEMBER_IDS);
  });

  it("stays fresh by majority during a store outage and by the store afterwards", async () => {
    await setFaults({ rules: [{ outage: "refused" }] });
    await waitUntil(() => statusOf("entry-0"), (status) => status.freshBy === "majority");
    const endMs = Date.now() + 4 * TIMING.freshForMs;
    let reads = 0;
    let unfreshReads = 0;
    while (Date.now() < endMs) {
      for (const memberId of MEMBER_IDS) {
        reads += 1;
        unfreshReads += (await statusOf(memberId)).fresh ? 0 : 1;
      }
      await new Promise((resolve) => setTimeout(resolve, STATUS_POLL_MS));
    }
    expect(unfreshReads / reads).toBeLessThan(0.01);
    await setFaults({});
    await waitUntil(() => statusOf("entry-0"), (status) => status.freshBy === "store");
    await waitUntilListed(MEMBER_IDS);
  });

  it("sends head and configuration to an entry that starts without store access", async () => {
    const { revision } = await statusOf("entry-0");
    await setFaults({ rules: [{ clients: ["entry-9"], outage: "refused" }] });
    await start("entry-9", { seedPeerAddresses: [entryOf("entry-1").ready.peerAddress] });
    const status = await waitUntil(() => statusOf("entry-9"), (seen) => seen.revision >= revision);
    expect(status).toMatchObject({ fresh: false, incarnation: null });
    await setFaults({});
    await waitUntilListed([...MEMBER_IDS, "entry-9"]);
  });

  it("recovers after all entries are killed and restarted at once", async () => {
    entries.forEach((entry) => entry.child.kill("SIGKILL"));
    await startAll();
    await waitUntilListed(MEMBER_IDS);
  });

  it("reports not ready on SIGTERM, then leaves the member list without being fenced", async () => {
    const entry = entryOf("entry-5");
    entry.child.kill("SIGTERM");
    const response = await waitUntil(
      () => get("entry-5", "/readyz"),
      ({ status }) => status === 503,
    );
    expect(await response.json()).toMatchObject({ draining: true, fresh: true });
    expect(await entry.exitCode()).toBe(0);
    const rest = MEMBER_IDS.filter((memberId) => memberId !== "entry-5");
    await waitUntilListed(rest);
    expect(entryOf("entry-0").logLines.join("\n")).not.toContain("fences entry-5");
  });

  async function startAll(): Promise<void> {
    await Promise.all(MEMBER_IDS.map((memberId) => start(memberId)));
  }

  async function start(memberId: string, changes: object = {}): Promise<void> {
    const entry = await programs.startEntry(memberId, {
      availabilityZone: "zone-a",
      callerAddress: "127.0.0.1:0",
      operatorAddress: "127.0.0.1:0",
      peerAddress: "127.0.0.1:0",
      shutdownGraceMs: 500,
      store: { url: `http://${platform.ready.address}` },
      timing: TIMING,
      ...changes,
    });
    entries.set(memberId, entry);
  }

  function entryOf(memberId: string): EntryProgram {
    const entry = entries.get(memberId);
    if (entry === undefined) {
      throw new Error(`${memberId} has not been started`);
    }
    return entry;
  }

  function get(memberId: string, path: string): Promise<Response> {
    return fetch(`http://${entryOf(memberId).ready.operatorAddress}${path}`);
  }

  async function statusOf(memberId: string): Promise<MembershipStatus> {
    const response = await get(memberId, "/v1/status");
    return await response.json() as MembershipStatus;
  }

  /** Waits until each given member is fresh and lists exactly the given members. */
  async function waitUntilListed(memberIds: readonly string[]): Promise<void> {
    for (const memberId of memberIds) {
      await waitUntil(() => statusOf(memberId), (status) => {
        const names = status.members.map((member) => member.memberId);
        return status.fresh && names.join() === memberIds.join();
      });
    }
  }

  async function setFaults(
    faults: Partial<v.InferInput<typeof testing.platformFaults.faultsSchema>>,
  ): Promise<void> {
    await fetch(`http://${platform.ready.address}/control/faults`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(faults),
    });
  }
});
