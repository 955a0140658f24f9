import * as v from "valibot";
import { describe, expect, it } from "vitest";
import * as names from "./names.ts";

describe("nameSchema", () => {
  it.each([
    { name: "billing", valid: true },
    { name: "st-brigids-2", valid: true },
    { name: "", valid: false },
    { name: "Billing", valid: false },
    { name: "2nd", valid: false },
    { name: "ends-", valid: false },
    { name: "a".repeat(64), valid: false },
  ])("accepts $name: $valid", ({ name, valid }) => {
    expect(v.is(names.nameSchema, name)).toBe(valid);
  });
});

describe("splitAddress", () => {
  it.each([
    { address: "127.0.0.1:80", host: "127.0.0.1", port: 80 },
    { address: "[::1]:7100", host: "::1", port: 7100 },
  ])("splits $address", ({ address, host, port }) => {
    expect(v.is(names.addressSchema, address)).toBe(true);
    expect(names.splitAddress(address)).toEqual({ host, port });
  });
});
