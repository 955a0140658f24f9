import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import * as rendezvous from "./rendezvous.ts";

const membersArbitrary = fc.uniqueArray(
  fc.record({
    memberId: fc.integer({ min: 0, max: 40 }).map((index) => `entry-${index}`),
    availabilityZone: fc.constantFrom("zone-a", "zone-b", "zone-c"),
  }),
  { selector: (member) => member.memberId, minLength: 1, maxLength: 12 },
);

describe("Rendezvous", () => {
  it("keeps the order of the other members when one is removed", () => {
    const property = fc.property(membersArbitrary, fc.string(), fc.nat(), (members, key, pick) => {
      const removed = members[pick % members.length];
      const others = members.filter((member) => member !== removed);
      const before = new rendezvous.Rendezvous(members).orderOf(key);
      const after = new rendezvous.Rendezvous(others).orderOf(key);
      expect(after).toEqual(before.filter((member) => member !== removed));
    });
    fc.assert(property, { seed: 1 });
  });

  it("chooses a witness in another availability zone if there is one", () => {
    const property = fc.property(membersArbitrary, fc.string(), (members, key) => {
      const { coordinator, witness } = new rendezvous.Rendezvous(members).rolesOf(key);
      const membersInOtherZones = members.filter((member) =>
        member.availabilityZone !== coordinator?.availabilityZone
      );
      expect(witness === null).toBe(members.length === 1);
      expect(witness).not.toBe(coordinator);
      if (membersInOtherZones.length > 0) expect(membersInOtherZones).toContain(witness);
    });
    fc.assert(property, { seed: 2 });
  });

  it("spreads coordinators evenly over the members", () => {
    const members = Array.from({ length: 9 }, (_, index) => ({
      memberId: `entry-${index}`,
      availabilityZone: `zone-${index % 3}`,
    }));
    const order = new rendezvous.Rendezvous(members);
    const counts = new Map<string, number>();
    for (let group = 0; group < 900; group += 1) {
      const id = order.rolesOf(`team:team-${group}`).coordinator!.memberId;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    for (const count of counts.values()) expect(Math.abs(count - 100)).toBeLessThan(40);
  });
});
