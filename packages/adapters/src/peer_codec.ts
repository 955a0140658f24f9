/**
 * Bytes of messages between entries: msgpack, checked against the schema before anyone sees them.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";

/** A peer sent bytes that are no message. */
export const BadMessageError = schema.errors.InvalidInputError.subclass("BadMessageError");

/** Plain maps without shared record structures, so that each message stands for itself. */
const PACKR = new Packr({ useRecords: false });

/** Encodes one message. */
export function encode(message: schema.peer.Message): Uint8Array {
  return PACKR.pack(message);
}

/** Decodes and checks one message. */
export function decode(
  bytes: Uint8Array,
): Result<schema.peer.Message, schema.errors.JackdawlinkError> {
  return unpack(bytes).andThen((value) => {
    const parsed = v.safeParse(schema.peer.messageSchema, value);
    if (parsed.success) {
      return ok(parsed.output);
    }
    const issues = parsed.issues.map((issue) =>
      `${v.getDotPath(issue) ?? "message"}: ${issue.message}`
    );
    return err(new BadMessageError(`A peer message does not fit its schema: ${issues.join("; ")}`));
  });
}

function unpack(bytes: Uint8Array): Result<unknown, schema.errors.JackdawlinkError> {
  try {
    return ok(PACKR.unpack(bytes));
  } catch (cause) {
    return err(new BadMessageError("A peer message is not msgpack", { cause }));
  }
}
