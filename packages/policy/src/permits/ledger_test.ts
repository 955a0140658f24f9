import { describe, expect, it } from "vitest";
import * as ledgers from "./ledger.ts";

describe("Ledger", () => {
  it("can grant permits again that a member reported as held and has returned since", () => {
    let seq = 0;
    const ledger = new ledgers.Ledger("team:billing", { total: 1, nextSeq: () => seq += 1 });
    const account = ledger.open("entry-a", { incarnation: "entry-a-1", held: 1 });
    ledger.acknowledge(account, { held: 0, grantSeq: 0 });
    expect(ledger.unallocated()).toBe(1);
    expect(ledger.grant(account, 1)).toBe(true);
    expect([account.bound, ledger.unallocated()]).toEqual([1, 0]);
  });
});
