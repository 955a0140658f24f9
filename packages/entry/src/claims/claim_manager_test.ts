import * as testing from "@jackdawlink/testing";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ClaimManager } from "./claim_manager.ts";

const SEED = 20261204;
const MEMBER_IDS = ["entry-a", "entry-b", "entry-c"];
const KEYS = ["019a0000-0000-7000-8000-000000000001", "019a0000-0000-7000-8000-000000000002"];
/** The wall clock starts shortly after the time inside the keys. */
const WALL_START_MS = 0x019a00000000 + 1_000;
const CALL_OUTCOMES: testing.memoryStore.CallOutcome[] = [
  "answered",
  "lost-before",
  "lost-after",
  "late",
];
const SILENT_LOG: ports.log.Log = { debug() {}, info() {}, warn() {}, error() {} };

/** Lets all pending promise callbacks of store calls run. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 4; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function memberOf(memberId: string): schema.head.Member {
  return {
    memberId,
    incarnation: `${memberId}-1`,
    peerAddress: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:1",
    availabilityZone: "zone-a",
    leaving: false,
  };
}

type Handler = (message: schema.peer.Message, sender: ports.peers.Sender) => void;

/** Claim managers with a shared store; messages are queued until a test delivers or drops them. */
class Cluster {
  readonly clock = new testing.testClock.TestClock({ wallStartMs: WALL_START_MS });
  callOutcome: testing.memoryStore.CallOutcome = "answered";
  writeCount = 0;
  readonly store = new testing.memoryStore.MemoryStore({
    nowMs: () => this.clock.nowMs(),
    outcomeOf: (call) => {
      this.writeCount += call === "write" ? 1 : 0;
      return this.callOutcome;
    },
  });
  readonly managers: ClaimManager[];
  readonly #handlers = new Map<string, Map<string, Handler>>();
  readonly #visibleMembers = new Map<string, string[]>();
  #wire: { from: string; to: string; message: schema.peer.Message }[] = [];

  constructor() {
    this.managers = MEMBER_IDS.map((memberId) => this.#createManager(memberId));
  }

  /** Limits the members in one manager's snapshot, as if it had missed a head revision. */
  setView(memberId: string, visible: string[]): void {
    this.#visibleMembers.set(memberId, visible);
  }

  deliver(index: number, copies: 0 | 1 | 2): void {
    const [sent] = this.#wire.splice(index % Math.max(1, this.#wire.length), 1);
    for (let copy = 0; sent !== undefined && copy < copies; copy += 1) {
      const handler = this.#handlers.get(sent.to)?.get(sent.message.type);
      handler?.(sent.message, { memberId: sent.from, incarnation: `${sent.from}-1` });
    }
  }

  async deliverAll(): Promise<void> {
    for (let round = 0; round < 20; round += 1) {
      while (this.#wire.length > 0) {
        this.deliver(0, 1);
      }
      await settle();
      this.clock.advance(20);
      await settle();
    }
  }

  #createManager(memberId: string): ClaimManager {
    const handlers = new Map<string, Handler>();
    this.#handlers.set(memberId, handlers);
    return new ClaimManager({
      memberId,
      shardCount: 1,
      window: { windowMs: 600_000, clockSkewMs: 60_000 },
      store: this.store,
      clock: this.clock,
      log: SILENT_LOG,
      peers: {
        send: (to, message) => this.#wire.push({ from: memberId, to, message }),
        on: (type, handler) => handlers.set(type, handler as unknown as Handler),
      },
      snapshots: {
        current: () => {
          const members = (this.#visibleMembers.get(memberId) ?? MEMBER_IDS).map(memberOf);
          return {
            head: { ...schema.head.EMPTY_HEAD, members },
            config: schema.config.emptyConfig(),
          };
        },
        onChange: () => {},
      },
    });
  }
}

function askOf(idempotencyKey: string, fingerprint = "body"): ports.claims.KeyedRequest {
  return { team: "billing", idempotencyKey, fingerprint, timeoutMs: 2_000 };
}

describe("ClaimManager", () => {
  it("grants a key once when all entries claim it", async () => {
    const cluster = new Cluster();
    const answers = cluster.managers.map((manager) => manager.claim(askOf(KEYS[0]!)));
    await cluster.deliverAll();
    const results = (await Promise.all(answers)).map((answer) => answer.result);
    expect(results.toSorted()).toEqual(["granted", "running", "running"]);
  });

  it("answers with the stored outcome, or with a mismatch for another request", async () => {
    const cluster = new Cluster();
    const [first, second] = cluster.managers;
    const granted = first!.claim(askOf(KEYS[0]!));
    await cluster.deliverAll();
    expect((await granted).result).toBe("granted");
    first!.finish(askOf(KEYS[0]!), { outcome: "answered", status: 201 });
    await cluster.deliverAll();
    const repeated = second!.claim(askOf(KEYS[0]!));
    const other = second!.claim(askOf(KEYS[0]!, "another body"));
    await cluster.deliverAll();
    expect(await repeated).toEqual({ result: "answered", status: 201 });
    expect((await other).result).toBe("mismatch");
  });

  it("refuses a claim while the store is unavailable and grants it afterwards", async () => {
    const cluster = new Cluster();
    cluster.callOutcome = "lost-before";
    const refused = cluster.managers[0]!.claim(askOf(KEYS[0]!));
    for (let round = 0; round < 10; round += 1) {
      await cluster.deliverAll();
    }
    expect((await refused).result).toBe("unavailable");
    cluster.callOutcome = "answered";
    const granted = cluster.managers[1]!.claim(askOf(KEYS[0]!));
    await cluster.deliverAll();
    expect((await granted).result).toBe("granted");
  });

  it("commits many claims with at most two writes", async () => {
    const cluster = new Cluster();
    const warmUp = cluster.managers[0]!.claim(askOf(KEYS[1]!));
    await cluster.deliverAll();
    await warmUp;
    const writesBefore = cluster.writeCount;
    const asks = Array.from({ length: 100 }, (_, index) => {
      const key = `019a0000-0000-7000-8000-${String(index + 100).padStart(12, "0")}`;
      return cluster.managers[index % 3]!.claim(askOf(key));
    });
    await cluster.deliverAll();
    const results = await Promise.all(asks);
    expect(results.every(({ result }) => result === "granted")).toBe(true);
    expect(cluster.writeCount - writesBefore).toBeLessThanOrEqual(2);
  });

  it("grants a key at most once despite lost messages, lost answers and competing owners", async () => {
    const step = fc.oneof(
      {
        weight: 4,
        arbitrary: fc.record({ kind: fc.constant("claim"), a: fc.nat(2), b: fc.nat(1) }),
      },
      {
        weight: 8,
        arbitrary: fc.record({ kind: fc.constant("deliver"), a: fc.nat(9), b: fc.nat(2) }),
      },
      {
        weight: 4,
        arbitrary: fc.record({ kind: fc.constant("advance"), a: fc.nat(900), b: fc.nat(0) }),
      },
      {
        weight: 2,
        arbitrary: fc.record({ kind: fc.constant("view"), a: fc.nat(2), b: fc.nat(2) }),
      },
      {
        weight: 2,
        arbitrary: fc.record({ kind: fc.constant("store"), a: fc.nat(3), b: fc.nat(0) }),
      },
      {
        weight: 2,
        arbitrary: fc.record({ kind: fc.constant("finish"), a: fc.nat(2), b: fc.nat(1) }),
      },
    );
    const steps = fc.array(step, { minLength: 20, maxLength: 80 });
    await fc.assert(
      fc.asyncProperty(steps, async (script) => {
        const cluster = new Cluster();
        const runs = new Map<string, number>(KEYS.map((key) => [key, 0]));
        const running: { key: string; manager: ClaimManager }[] = [];
        const actions: Record<string, (a: number, b: number) => void> = {
          claim: (a, b) => {
            const manager = cluster.managers[a]!;
            const key = KEYS[b]!;
            void manager.claim(askOf(key)).then(({ result }) => {
              if (result === "granted") {
                runs.set(key, runs.get(key)! + 1);
                running.push({ key, manager });
              }
            });
          },
          deliver: (a, b) => cluster.deliver(a, b as 0 | 1 | 2),
          advance: (a) => cluster.clock.advance(a),
          view: (a, b) => cluster.setView(MEMBER_IDS[a]!, MEMBER_IDS.slice(b)),
          store: (a) => {
            cluster.callOutcome = CALL_OUTCOMES[a]!;
          },
          finish: (a) => {
            const run = running.splice(a, 1)[0];
            run?.manager.finish(askOf(run.key), { outcome: "answered", status: 200 });
          },
        };
        for (const { kind, a, b } of script) {
          actions[kind]!(a, b);
          await settle();
        }
        cluster.callOutcome = "answered";
        MEMBER_IDS.forEach((memberId) => cluster.setView(memberId, MEMBER_IDS));
        await cluster.deliverAll();
        expect([...runs.values()].every((count) => count <= 1)).toBe(true);
      }),
      { seed: SEED, numRuns: 150 },
    );
  });
});
