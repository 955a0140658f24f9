/**
 * Encodes messages between entries as msgpack and validates received messages against the schema. A
 * message is sent as the index of its type followed by a row of field values in schema order; UUIDs
 * are sent as 16 bytes. Any change to the fields of the schema changes the wire format and
 * therefore needs a new `protocolVersion`.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import * as wireRows from "./wire_rows.ts";

/** A peer sent bytes that are not a valid message. */
export const BadMessageError = schema.errors.InvalidInputError.subclass("BadMessageError");

/** Does not share record structures between messages, so that each message is self-contained. */
const PACKR = new Packr({ useRecords: false });

const TYPES = schema.peer.messageSchema.options.map(({ entries }) => entries.type.literal);
const ROW_CODECS = schema.peer.messageSchema.options.map(({ entries: { type: _, ...fields } }) =>
  wireRows.rowCodecOf(v.object(fields))
);

/** Encodes a message. */
export function encode(message: schema.peer.Message): Uint8Array {
  const index = TYPES.indexOf(message.type);
  return PACKR.pack([index, ROW_CODECS[index]?.toWire(message)]);
}

/** Decodes and validates a message. */
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
    return ok(messageOf(PACKR.unpack(bytes)));
  } catch (cause) {
    return err(new BadMessageError("A peer message is not msgpack", { cause }));
  }
}

/** Converts a row to a message object; undefined if the row is malformed or its type unknown. */
function messageOf(value: unknown): unknown {
  const [index, row] = Array.isArray(value) ? value : [];
  const rowCodec = typeof index === "number" ? ROW_CODECS[index] : undefined;
  const fields = rowCodec?.fromWire(row);
  return fields === undefined ? undefined : { ...fields, type: TYPES[index] };
}
