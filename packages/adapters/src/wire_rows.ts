/**
 * Converts objects to rows of field values without names, and back, as described by their valibot
 * schema. Received values of an unexpected shape become undefined or stay unchanged, and then fail
 * validation against the schema.
 *
 * @module
 */
import type * as v from "valibot";

/** Converts values of one schema to and from their wire form. */
export interface RowCodec {
  readonly toWire: (value: unknown) => unknown;
  readonly fromWire: (value: unknown) => unknown;
}

/** The properties of valibot schemas that determine the shape of values. */
interface Shape {
  readonly type: string;
  readonly entries?: Readonly<Record<string, Shape>>;
  readonly item?: Shape;
  readonly wrapped?: Shape;
}

const UUID_PATTERN = /^[\da-f]{8}-[\da-f]{4}-[\da-f]{4}-[\da-f]{4}-[\da-f]{12}$/;
const UUID_BYTES = 16;
/** The start and end of each group of a UUID in its hexadecimal digits. */
const UUID_PARTS = [[0, 8], [8, 12], [12, 16], [16, 20], [20, 32]] as const;

const UNCHANGED: RowCodec = { toWire: (value) => value, fromWire: (value) => value };

const ROW_CODECS_BY_TYPE: Readonly<Record<string, (shape: Shape) => RowCodec>> = {
  object: ({ entries = {} }) => objectCodec(entries),
  array: ({ item }) => arrayCodec(rowCodecOfShape(item!)),
  nullable: ({ wrapped }) => nullableCodec(rowCodecOfShape(wrapped!)),
  string: () => ({ toWire: packUuid, fromWire: unpackUuid }),
};

/** Returns the row codec of a schema. */
export function rowCodecOf(schema: v.GenericSchema): RowCodec {
  return rowCodecOfShape(schema as unknown as Shape);
}

function rowCodecOfShape(shape: Shape): RowCodec {
  return ROW_CODECS_BY_TYPE[shape.type]?.(shape) ?? UNCHANGED;
}

/** A row contains one value per field, in the order of the schema. */
function objectCodec(entries: Readonly<Record<string, Shape>>): RowCodec {
  const fields = Object.entries(entries).map(([name, shape]) => ({
    name,
    codec: rowCodecOfShape(shape),
  }));
  return {
    toWire: (value) => {
      const object = value as Readonly<Record<string, unknown>>;
      return fields.map(({ name, codec }) => codec.toWire(object[name]));
    },
    fromWire: (value) => {
      if (!Array.isArray(value) || value.length !== fields.length) return undefined;
      const object: Record<string, unknown> = {};
      fields.forEach(({ name, codec }, index) => object[name] = codec.fromWire(value[index]));
      return object;
    },
  };
}

function arrayCodec(item: RowCodec): RowCodec {
  return {
    toWire: (value) => (value as readonly unknown[]).map(item.toWire),
    fromWire: (value) => Array.isArray(value) ? value.map(item.fromWire) : value,
  };
}

function nullableCodec(wrapped: RowCodec): RowCodec {
  return {
    toWire: (value) => value === null ? null : wrapped.toWire(value),
    fromWire: (value) => value === null ? null : wrapped.fromWire(value),
  };
}

function packUuid(value: unknown): unknown {
  const isUuid = typeof value === "string" && UUID_PATTERN.test(value);
  return isUuid ? Buffer.from(value.replaceAll("-", ""), "hex") : value;
}

function unpackUuid(value: unknown): unknown {
  if (!(value instanceof Uint8Array) || value.length !== UUID_BYTES) return value;
  const hex = Buffer.from(value).toString("hex");
  return UUID_PARTS.map(([start, end]) => hex.slice(start, end)).join("-");
}
