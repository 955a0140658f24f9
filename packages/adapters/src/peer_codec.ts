/**
 * Bytes of messages between entries: msgpack, checked against the schema before anyone sees them. Objects
 * travel as rows of their values, in the schema's order of fields, behind the position of the message's
 * type; a UUID travels as its 16 bytes. So a change of the schema's fields changes the wire, and asks for
 * another `protocolVersion`.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import * as wireRows from "./wire_rows.ts";

/** A peer sent bytes that are no message. */
export const BadMessageError = schema.errors.InvalidInputError.subclass("BadMessageError");

/** Plain maps without shared record structures, so that each message stands for itself. */
const PACKR = new Packr({ useRecords: false });

const TYPES = schema.peer.messageSchema.options.map(({ entries }) => entries.type.literal);
const ROW_CODECS = schema.peer.messageSchema.options.map(({ entries: { type: _, ...fields } }) =>
  wireRows.rowCodecOf(v.object(fields))
);

/** Encodes one message. */
export function encode(message: schema.peer.Message): Uint8Array {
  const index = TYPES.indexOf(message.type);
  return PACKR.pack([index, ROW_CODECS[index]?.toWire(message)]);
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
    return ok(messageOf(PACKR.unpack(bytes)));
  } catch (cause) {
    return err(new BadMessageError("A peer message is not msgpack", { cause }));
  }
}

/** The object that a row stands for; undefined where the row or its type is unknown. */
function messageOf(value: unknown): unknown {
  const [index, row] = Array.isArray(value) ? value : [];
  const rowCodec = typeof index === "number" ? ROW_CODECS[index] : undefined;
  const fields = rowCodec?.fromWire(row);
  return fields === undefined ? undefined : { ...fields, type: TYPES[index] };
}
